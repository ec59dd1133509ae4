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
 * The journal format used before segments, retained for comparison: a single append-only file that is rewritten as a
 * whole, on the caller's thread, when most of it is obsolete.
 */
final class OneFileJournal implements AutoCloseable {
    private static final int HEADER_BYTES = 8;
    private static final int MAX_RECORD_BYTES = 1 << 20;
    private static final long BLOCK_BYTES = 512;
    /** Space reserved for the final statuses of pending messages, so that new messages can't use it up. */
    private static final long RESERVED_BYTES = 128 * 1024;
    /** A smaller file is not worth rewriting. */
    private static final long MIN_COMPACTION_BYTES = 128 * 1024;

    private enum Type {
        ACCEPTED,
        ATTEMPT,
        OUTCOME,
        FINAL_STATUS,
        SETTLED,
        REMEMBERED,
        PREVIOUS_ATTEMPTS
    }

    /** State of one pending message as recovered from the file; its fields mirror those of the core's message. */
    public static final class Entry {
        final String front;
        final Submission submission;
        final long deadlineWallMicros;
        final int recordBytes;
        int attemptCount;
        boolean inProgress, mayHaveRun;
        String host = "", uncertainHost = "";
        int zone, uncertainZone;
        long sentWallMicros, uncertainSentWallMicros;
        FinalStatus finalStatus;

        Entry(String front, Submission submission, long deadlineWallMicros, int recordBytes) {
            this.recordBytes = recordBytes;
            this.front = front;
            this.submission = submission;
            this.deadlineWallMicros = deadlineWallMicros;
        }

        void markMayHaveRun() {
            if (!mayHaveRun) {
                mayHaveRun = true;
                uncertainHost = host;
                uncertainZone = zone;
                uncertainSentWallMicros = sentWallMicros;
            }
        }
    }

    /** Final status that is returned for a resubmitted message, and when it expires. */
    record Remembered(FinalStatus finalStatus, long untilWallMicros) {}

    private interface RecordContent {
        void write(DataOutputStream out) throws IOException;
    }

    private final Path path;
    private final long maxBytes;
    /** Pending messages and remembered final statuses: the state that a compaction writes. */
    final Map<String, Entry> pending = new LinkedHashMap<>();

    final Map<String, Remembered> remembered = new LinkedHashMap<>();
    private FileChannel file;
    private long fileBytes;
    private long liveBytes;

    /**
     * Opens the journal in the folder and replays it; its size stays within {@code maxBytes}, also during a compaction.
     */
    OneFileJournal(Path folder, long maxBytes) throws IOException {
        this.path = folder.resolve("journal");
        this.maxBytes = maxBytes;
        Files.createDirectories(folder);
        Files.deleteIfExists(temporaryPath());
        if (Files.exists(path)) {
            fileBytes = replay(Files.readAllBytes(path));
            try (FileChannel torn = FileChannel.open(path, StandardOpenOption.WRITE)) {
                torn.truncate(fileBytes); // records after a torn one would be unreadable
            }
        }
        if (!compact()) {
            open();
        }
    }

    private void open() throws IOException {
        file = FileChannel.open(path, StandardOpenOption.WRITE, StandardOpenOption.APPEND);
    }

    private Path temporaryPath() {
        return path.resolveSibling("journal.new");
    }

    // Writing
    /** Records an accepted message; false if there is no space for it, in which case nothing is written. */
    boolean recordAccepted(String front, Submission submission, long deadlineWallMicros, long nowWallMicros) {
        byte[] record = acceptedRecord(front, submission, deadlineWallMicros);
        if (!hasSpace(record.length) && !(tryCompact(nowWallMicros) && hasSpace(record.length)) || !append(record)) {
            return false;
        }
        liveBytes += record.length;
        pending.put(submission.id(), new Entry(front, submission, deadlineWallMicros, record.length));
        return true;
    }

    /** Records that an attempt is about to start. */
    boolean recordAttempt(String id, String host, int zone, long wallMicros) {
        return write(Type.ATTEMPT, out -> {
            out.writeUTF(id);
            out.writeUTF(host);
            out.writeInt(zone);
            out.writeLong(wallMicros);
        });
    }

    /** Records the end of an attempt. */
    boolean recordOutcome(String id, boolean neverRan) {
        return write(Type.OUTCOME, out -> {
            out.writeUTF(id);
            out.writeBoolean(neverRan);
        });
    }

    /** Records a message's final status, which its client has yet to receive. */
    boolean recordFinalStatus(String id, FinalStatus finalStatus) {
        return write(Type.FINAL_STATUS, out -> {
            out.writeUTF(id);
            write(out, finalStatus);
        });
    }

    /** Records that a message is settled. */
    void recordSettled(String id) {
        write(Type.SETTLED, out -> out.writeUTF(id));
    }

    /** Records a final status to be returned for a resubmitted message. */
    void remember(String identity, FinalStatus finalStatus, long untilWallMicros) {
        write(Type.REMEMBERED, out -> writeRemembered(out, identity, new Remembered(finalStatus, untilWallMicros)));
    }

    private boolean write(Type type, RecordContent content) {
        byte[] record = record(type, content);
        boolean written = append(record);
        if (written) {
            apply(ByteBuffer.wrap(record).position(HEADER_BYTES).slice());
        }
        return written;
    }

    private static byte[] acceptedRecord(String front, Submission submission, long deadlineWallMicros) {
        return record(Type.ACCEPTED, out -> {
            out.writeUTF(front);
            out.writeUTF(submission.id());
            out.writeUTF(submission.identity() == null ? "" : submission.identity());
            out.writeInt(submission.messageClass());
            out.writeInt(submission.destination());
            out.writeUTF(submission.key() == null ? "" : submission.key());
            out.writeBoolean(submission.resubmitted());
            out.writeBoolean(submission.inherited());
            out.writeLong(submission.budgetMicros());
            out.writeLong(deadlineWallMicros);
            out.writeInt(submission.body().length);
            out.write(submission.body());
        });
    }

    private static void write(DataOutputStream out, FinalStatus finalStatus) throws IOException {
        out.writeByte(finalStatus.kind().ordinal());
        out.writeLong(finalStatus.retryAfterMicros());
        out.writeUTF(finalStatus.detail());
    }

    private static void writeRemembered(DataOutputStream out, String identity, Remembered r) throws IOException {
        out.writeUTF(identity);
        write(out, r.finalStatus());
        out.writeLong(r.untilWallMicros());
    }

    private static byte[] record(Type type, RecordContent content) {
        try {
            ByteArrayOutputStream bytes = new ByteArrayOutputStream();
            DataOutputStream out = new DataOutputStream(bytes);
            out.writeLong(0);
            out.writeByte(type.ordinal());
            content.write(out);
            byte[] record = bytes.toByteArray();
            CRC32 sum = new CRC32();
            sum.update(record, HEADER_BYTES, record.length - HEADER_BYTES);
            ByteBuffer.wrap(record).putInt(record.length - HEADER_BYTES).putInt((int) sum.getValue());
            return record;
        } catch (IOException e) {
            throw new UncheckedIOException(e); // can't happen when writing to memory
        }
    }

    /** Writes all previous attempts of a message as one record, for a compaction. */
    private static void writePreviousAttempts(DataOutputStream out, Entry e) throws IOException {
        out.writeUTF(e.submission.id());
        out.writeInt(e.attemptCount);
        out.writeBoolean(e.inProgress);
        out.writeUTF(e.host);
        out.writeInt(e.zone);
        out.writeLong(e.sentWallMicros);
        out.writeBoolean(e.mayHaveRun);
        out.writeUTF(e.uncertainHost);
        out.writeInt(e.uncertainZone);
        out.writeLong(e.uncertainSentWallMicros);
    }

    private boolean append(byte[] record) {
        if (fileBytes + record.length > maxBytes - BLOCK_BYTES) {
            return false;
        }
        try {
            ByteBuffer buffer = ByteBuffer.wrap(record);
            while (buffer.hasRemaining()) {
                file.write(buffer);
            }
            fileBytes += record.length;
            return true;
        } catch (IOException e) {
            // A part of the record may be in the file. It is cut off, since records after it would be unreadable.
            try {
                file.truncate(fileBytes);
            } catch (IOException again) {
                e.addSuppressed(again);
            }
            System.err.println("lilaclever: journal: " + e);
            return false;
        }
    }

    // Free space and compaction
    /** True while the file, one more record and the file of the next compaction fit into the limit together. */
    private boolean hasSpace(long record) {
        return fileBytes + liveBytes + 2 * record + RESERVED_BYTES + 2 * BLOCK_BYTES <= maxBytes;
    }

    /** Compacts the file if most of it is obsolete, or if the reserved space runs short; called once a turn. */
    void compactIfNeeded(long nowWallMicros) {
        boolean scarce =
                fileBytes + liveBytes + RESERVED_BYTES > maxBytes && fileBytes > liveBytes + RESERVED_BYTES / 4;
        if (fileBytes > MIN_COMPACTION_BYTES && fileBytes > 3 * liveBytes || scarce) {
            tryCompact(nowWallMicros);
        }
    }

    private boolean tryCompact(long nowWallMicros) {
        remembered.values().removeIf(r -> r.untilWallMicros() <= nowWallMicros);
        try {
            return compact();
        } catch (IOException e) {
            System.err.println("lilaclever: journal: " + e);
            temporaryPath().toFile().delete(); // a partial file would take space from the valid one
            return false;
        }
    }

    /**
     * Writes the live state to a new file and atomically replaces the old one with it, so that a kill leaves one or the
     * other. False if there is no space for both, in which case nothing is done.
     */
    private boolean compact() throws IOException {
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        for (Entry e : pending.values()) {
            String id = e.submission.id();
            all.write(acceptedRecord(e.front, e.submission, e.deadlineWallMicros));
            if (e.attemptCount > 0) {
                all.write(record(Type.PREVIOUS_ATTEMPTS, out -> writePreviousAttempts(out, e)));
            }
            if (e.finalStatus != null) {
                all.write(record(Type.FINAL_STATUS, out -> {
                    out.writeUTF(id);
                    write(out, e.finalStatus);
                }));
            }
        }
        for (Map.Entry<String, Remembered> r : remembered.entrySet()) {
            all.write(record(Type.REMEMBERED, out -> writeRemembered(out, r.getKey(), r.getValue())));
        }
        if (fileBytes + all.size() > maxBytes - 2 * BLOCK_BYTES) {
            return false;
        }
        Files.write(temporaryPath(), all.toByteArray());
        Files.move(temporaryPath(), path, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        if (file != null) {
            file.close();
        }
        open();
        fileBytes = all.size();
        liveBytes = fileBytes;
        return true;
    }

    // Reading
    /** Applies all complete records and returns their total length. */
    private int replay(byte[] bytes) {
        ByteBuffer in = ByteBuffer.wrap(bytes);
        int validBytes = 0;
        while (in.remaining() >= HEADER_BYTES) {
            int length = in.getInt();
            int sum = in.getInt();
            if (length <= 0 || length > MAX_RECORD_BYTES || length > in.remaining()) {
                return validBytes; // torn by a kill, so nothing that depends on this record has happened
            }
            ByteBuffer content = in.slice(in.position(), length);
            in.position(in.position() + length);
            CRC32 crc = new CRC32();
            crc.update(content.duplicate());
            if ((int) crc.getValue() != sum) {
                return validBytes;
            }
            apply(content);
            validBytes = in.position();
        }
        return validBytes;
    }

    private void apply(ByteBuffer content) {
        byte[] bytes = new byte[content.remaining()];
        content.get(bytes);
        try (DataInputStream in = new DataInputStream(new ByteArrayInputStream(bytes))) {
            Type type = Type.values()[in.readByte()];
            if (type == Type.ACCEPTED) {
                readAccepted(in, bytes.length + HEADER_BYTES);
                return;
            }
            String id = in.readUTF();
            if (type == Type.REMEMBERED) {
                remembered.put(id, new Remembered(readFinalStatus(in), in.readLong()));
                liveBytes += bytes.length + HEADER_BYTES;
                return;
            }
            Entry e = pending.get(id);
            if (e == null) {
                return;
            }
            switch (type) {
                case ATTEMPT -> {
                    e.attemptCount++;
                    e.inProgress = true;
                    e.host = in.readUTF();
                    e.zone = in.readInt();
                    e.sentWallMicros = in.readLong();
                }
                case OUTCOME -> {
                    e.inProgress = false;
                    if (!in.readBoolean()) {
                        e.markMayHaveRun();
                    }
                }
                case PREVIOUS_ATTEMPTS -> {
                    e.attemptCount = in.readInt();
                    e.inProgress = in.readBoolean();
                    e.host = in.readUTF();
                    e.zone = in.readInt();
                    e.sentWallMicros = in.readLong();
                    e.mayHaveRun = in.readBoolean();
                    e.uncertainHost = in.readUTF();
                    e.uncertainZone = in.readInt();
                    e.uncertainSentWallMicros = in.readLong();
                }
                case FINAL_STATUS -> e.finalStatus = readFinalStatus(in);
                default -> {
                    pending.remove(id);
                    liveBytes -= e.recordBytes;
                }
            }
        } catch (IOException e) {
            throw new UncheckedIOException("a record with a good checksum is too short", e);
        }
    }

    private static FinalStatus readFinalStatus(DataInputStream in) throws IOException {
        return new FinalStatus(FinalStatus.Kind.values()[in.readByte()], in.readLong(), in.readUTF());
    }

    private void readAccepted(DataInputStream in, int recordSize) throws IOException {
        String front = in.readUTF();
        String id = in.readUTF();
        String identity = in.readUTF();
        int messageClass = in.readInt();
        int destination = in.readInt();
        String key = in.readUTF();
        boolean resubmitted = in.readBoolean();
        boolean inherited = in.readBoolean();
        long budgetMicros = in.readLong();
        long deadlineWallMicros = in.readLong();
        byte[] body = in.readNBytes(in.readInt());
        liveBytes += recordSize;
        pending.put(
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
                                resubmitted,
                                inherited,
                                budgetMicros),
                        deadlineWallMicros,
                        recordSize));
    }

    @Override
    public void close() throws IOException {
        file.close();
    }
}
