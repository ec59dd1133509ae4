package lilaclever.journal;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.zip.CRC32;
import lilaclever.routing.FinalStatus;
import lilaclever.routing.Submission;

/**
 * The journal as it was before the segments, kept to be measured beside them: one append-only file that is written anew
 * as a whole, on the caller's thread, when most of it is past.
 */
final class OneFileJournal implements AutoCloseable {
    private static final int HEAD = 8;
    private static final int LARGEST = 1 << 20;
    private static final long BLOCK = 512;
    /** Room kept for the ends of what is already held, so that new work can't use it up. */
    private static final long RESERVE = 128 * 1024;
    /** A file under this size is not worth writing anew. */
    private static final long SMALL = 128 * 1024;

    private enum Type {
        TAKEN,
        ATTEMPT,
        OUTCOME,
        VERDICT,
        ENDED,
        REMEMBERED,
        PAST
    }

    /** What replay found of one message; fields as in the core's message. */
    public static final class Entry {
        final String front;
        final Submission submission;
        final long deadlineWall;
        final int bytes;
        int attempts;
        boolean out, mayHaveRun;
        String host = "", riskHost = "";
        int zone, riskZone;
        long sentWall, riskWall;
        FinalStatus verdict;

        Entry(String front, Submission submission, long deadlineWall, int bytes) {
            this.bytes = bytes;
            this.front = front;
            this.submission = submission;
            this.deadlineWall = deadlineWall;
        }

        void risk() {
            if (!mayHaveRun) {
                mayHaveRun = true;
                riskHost = host;
                riskZone = zone;
                riskWall = sentWall;
            }
        }
    }

    /** The end of a message whose resending gets it again, and when that is forgotten. */
    record Remembered(FinalStatus verdict, long untilWall) {}

    private interface Content {
        void write(DataOutputStream out) throws IOException;
    }

    private final Path path;
    private final long most;
    /** What is owed, and what is remembered: the state that a compaction writes. */
    final Map<String, Entry> owed = new LinkedHashMap<>();

    final Map<String, Remembered> remembered = new LinkedHashMap<>();
    private FileChannel file;
    private long size;
    private long live;

    /** Opens the journal in the folder and replays it; it keeps within so many bytes, compaction included. */
    OneFileJournal(Path folder, long mostBytes) throws IOException {
        this.path = folder.resolve("journal");
        this.most = mostBytes;
        Files.createDirectories(folder);
        Files.deleteIfExists(unfinished());
        if (Files.exists(path)) {
            size = replay(Files.readAllBytes(path));
            try (FileChannel torn = FileChannel.open(path, StandardOpenOption.WRITE)) {
                torn.truncate(size); // what follows a torn record could not be read
            }
        }
        if (!compact()) {
            open();
        }
    }

    private void open() throws IOException {
        file = FileChannel.open(path, StandardOpenOption.WRITE, StandardOpenOption.APPEND);
    }

    private Path unfinished() {
        return path.resolveSibling("journal.new");
    }

    // ---- writing ----------------------------------------------------------------------------------------
    /** Takes a message on; false if there is no room for it, and then nothing was written. */
    boolean taken(String front, Submission submission, long deadlineWall, long nowWall) {
        byte[] record = taken(front, submission, deadlineWall);
        if (!room(record.length) && !(compactAgain(nowWall) && room(record.length)) || !append(record)) {
            return false;
        }
        live += record.length;
        owed.put(submission.id(), new Entry(front, submission, deadlineWall, record.length));
        return true;
    }

    /** An attempt is about to be made. */
    boolean attempt(String id, String host, int zone, long wall) {
        return write(Type.ATTEMPT, out -> {
            out.writeUTF(id);
            out.writeUTF(host);
            out.writeInt(zone);
            out.writeLong(wall);
        });
    }

    /** An attempt has ended. */
    boolean outcome(String id, boolean neverRan) {
        return write(Type.OUTCOME, out -> {
            out.writeUTF(id);
            out.writeBoolean(neverRan);
        });
    }

    /** The message's end is decided and owed to its client. */
    boolean verdict(String id, FinalStatus verdict) {
        return write(Type.VERDICT, out -> {
            out.writeUTF(id);
            write(out, verdict);
        });
    }

    /** Nothing more is owed. */
    void ended(String id) {
        write(Type.ENDED, out -> out.writeUTF(id));
    }

    /** The end is to be given again to whoever resends the message. */
    void remember(String identity, FinalStatus verdict, long untilWall) {
        write(Type.REMEMBERED, out -> remembered(out, identity, new Remembered(verdict, untilWall)));
    }

    private boolean write(Type type, Content content) {
        byte[] record = record(type, content);
        boolean written = append(record);
        if (written) {
            apply(ByteBuffer.wrap(record).position(HEAD).slice());
        }
        return written;
    }

    private static byte[] taken(String front, Submission h, long deadlineWall) {
        return record(Type.TAKEN, out -> {
            out.writeUTF(front);
            out.writeUTF(h.id());
            out.writeUTF(h.identity() == null ? "" : h.identity());
            out.writeInt(h.messageClass());
            out.writeInt(h.destination());
            out.writeUTF(h.key() == null ? "" : h.key());
            out.writeBoolean(h.resubmitted());
            out.writeBoolean(h.inherited());
            out.writeLong(h.budgetMicros());
            out.writeLong(deadlineWall);
            out.writeInt(h.body().length);
            out.write(h.body());
        });
    }

    private static void write(DataOutputStream out, FinalStatus verdict) throws IOException {
        out.writeByte(verdict.kind().ordinal());
        out.writeLong(verdict.retryAfterMicros());
        out.writeUTF(verdict.detail());
    }

    private static void remembered(DataOutputStream out, String identity, Remembered r) throws IOException {
        out.writeUTF(identity);
        write(out, r.verdict());
        out.writeLong(r.untilWall());
    }

    private static byte[] record(Type type, Content content) {
        try {
            ByteArrayOutputStream bytes = new ByteArrayOutputStream();
            DataOutputStream out = new DataOutputStream(bytes);
            out.writeLong(0);
            out.writeByte(type.ordinal());
            content.write(out);
            byte[] record = bytes.toByteArray();
            CRC32 sum = new CRC32();
            sum.update(record, HEAD, record.length - HEAD);
            ByteBuffer.wrap(record).putInt(record.length - HEAD).putInt((int) sum.getValue());
            return record;
        } catch (IOException e) {
            throw new UncheckedIOException(e); // memory does not fail so
        }
    }

    /** All attempts of a message in one record: what a compaction makes of them. */
    private static void past(DataOutputStream out, Entry e) throws IOException {
        out.writeUTF(e.submission.id());
        out.writeInt(e.attempts);
        out.writeBoolean(e.out);
        out.writeUTF(e.host);
        out.writeInt(e.zone);
        out.writeLong(e.sentWall);
        out.writeBoolean(e.mayHaveRun);
        out.writeUTF(e.riskHost);
        out.writeInt(e.riskZone);
        out.writeLong(e.riskWall);
    }

    private boolean append(byte[] record) {
        if (size + record.length > most - BLOCK) {
            return false;
        }
        try {
            ByteBuffer buffer = ByteBuffer.wrap(record);
            while (buffer.hasRemaining()) {
                file.write(buffer);
            }
            size += record.length;
            return true;
        } catch (IOException e) {
            // A part of the record may be in the file: cut it off, or what follows could not be read.
            try {
                file.truncate(size);
            } catch (IOException again) {
                e.addSuppressed(again);
            }
            System.err.println("lilaclever: journal: " + e);
            return false;
        }
    }

    // ---- room -------------------------------------------------------------------------------------------
    /** True while the file, a further record and the file's next writing fit together. */
    private boolean room(long record) {
        return size + live + 2 * record + RESERVE + 2 * BLOCK <= most;
    }

    /** Writes the file anew if most of it is past, or if the room for ends gets short; called once a turn. */
    void tidy(long nowWall) {
        boolean scarce = size + live + RESERVE > most && size > live + RESERVE / 4;
        if (size > SMALL && size > 3 * live || scarce) {
            compactAgain(nowWall);
        }
    }

    private boolean compactAgain(long nowWall) {
        remembered.values().removeIf(r -> r.untilWall() <= nowWall);
        try {
            return compact();
        } catch (IOException e) {
            System.err.println("lilaclever: journal: " + e);
            unfinished().toFile().delete(); // a part of it would take room from the file that counts
            return false;
        }
    }

    /**
     * Writes what is live to a new file, then puts it in the old one's place: a kill leaves one or the other.
     * False if the two have no room side by side, and then nothing was done.
     */
    private boolean compact() throws IOException {
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        for (Entry e : owed.values()) {
            String id = e.submission.id();
            all.write(taken(e.front, e.submission, e.deadlineWall));
            if (e.attempts > 0) {
                all.write(record(Type.PAST, out -> past(out, e)));
            }
            if (e.verdict != null) {
                all.write(record(Type.VERDICT, out -> {
                    out.writeUTF(id);
                    write(out, e.verdict);
                }));
            }
        }
        for (Map.Entry<String, Remembered> r : remembered.entrySet()) {
            all.write(record(Type.REMEMBERED, out -> remembered(out, r.getKey(), r.getValue())));
        }
        if (size + all.size() > most - 2 * BLOCK) {
            return false;
        }
        Files.write(unfinished(), all.toByteArray());
        Files.move(unfinished(), path, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        if (file != null) {
            file.close();
        }
        open();
        size = all.size();
        live = size;
        return true;
    }

    // ---- reading ----------------------------------------------------------------------------------------
    /** Applies the whole records; gives their length. */
    private int replay(byte[] bytes) {
        ByteBuffer in = ByteBuffer.wrap(bytes);
        int good = 0;
        while (in.remaining() >= HEAD) {
            int length = in.getInt();
            int sum = in.getInt();
            if (length <= 0 || length > LARGEST || length > in.remaining()) {
                return good; // torn by a kill: its consequence has not happened
            }
            ByteBuffer content = in.slice(in.position(), length);
            in.position(in.position() + length);
            CRC32 crc = new CRC32();
            crc.update(content.duplicate());
            if ((int) crc.getValue() != sum) {
                return good;
            }
            apply(content);
            good = in.position();
        }
        return good;
    }

    private void apply(ByteBuffer content) {
        byte[] bytes = new byte[content.remaining()];
        content.get(bytes);
        try (DataInputStream in = new DataInputStream(new ByteArrayInputStream(bytes))) {
            Type type = Type.values()[in.readByte()];
            if (type == Type.TAKEN) {
                readTaken(in, bytes.length + HEAD);
                return;
            }
            String id = in.readUTF();
            if (type == Type.REMEMBERED) {
                remembered.put(id, new Remembered(readVerdict(in), in.readLong()));
                live += bytes.length + HEAD;
                return;
            }
            Entry e = owed.get(id);
            if (e == null) {
                return;
            }
            switch (type) {
                case ATTEMPT -> {
                    e.attempts++;
                    e.out = true;
                    e.host = in.readUTF();
                    e.zone = in.readInt();
                    e.sentWall = in.readLong();
                }
                case OUTCOME -> {
                    e.out = false;
                    if (!in.readBoolean()) {
                        e.risk();
                    }
                }
                case PAST -> {
                    e.attempts = in.readInt();
                    e.out = in.readBoolean();
                    e.host = in.readUTF();
                    e.zone = in.readInt();
                    e.sentWall = in.readLong();
                    e.mayHaveRun = in.readBoolean();
                    e.riskHost = in.readUTF();
                    e.riskZone = in.readInt();
                    e.riskWall = in.readLong();
                }
                case VERDICT -> e.verdict = readVerdict(in);
                default -> {
                    owed.remove(id);
                    live -= e.bytes;
                }
            }
        } catch (IOException e) {
            throw new UncheckedIOException("a record with a good checksum is too short", e);
        }
    }

    private static FinalStatus readVerdict(DataInputStream in) throws IOException {
        return new FinalStatus(FinalStatus.Kind.values()[in.readByte()], in.readLong(), in.readUTF());
    }

    private void readTaken(DataInputStream in, int recordSize) throws IOException {
        String front = in.readUTF();
        String id = in.readUTF();
        String identity = in.readUTF();
        int messageClass = in.readInt();
        int destination = in.readInt();
        String key = in.readUTF();
        boolean again = in.readBoolean();
        boolean inherited = in.readBoolean();
        long budget = in.readLong();
        long deadline = in.readLong();
        byte[] body = in.readNBytes(in.readInt());
        live += recordSize;
        owed.put(
                id,
                new Entry(
                        front,
                        new Submission(
                                id,
                                identity.isEmpty() ? null : identity,
                                messageClass,
                                destination,
                                key.isEmpty() ? null : key,
                                body,
                                again,
                                inherited,
                                budget),
                        deadline,
                        recordSize));
    }

    @Override
    public void close() throws IOException {
        file.close();
    }
}
