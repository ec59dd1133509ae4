package lilaclever.journal;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.zip.CRC32;
import lilaclever.identity.CompletedMessage;
import lilaclever.routing.FinalStatus;
import lilaclever.routing.PendingMessage;
import lilaclever.routing.Submission;

/**
 * Reads the single file of the original format: length, CRC32, content. It has no version and no record markers, so
 * nothing after the first bad record can be read. The file is only ever read: its live records are copied forward like
 * those of a segment.
 */
final class LegacyReader {
    static final String NAME = "journal", UNFINISHED = "journal.new";
    private static final int HEAD = 8, LARGEST = 1 << 20;
    /** Codes of the record types; those of the same name in {@link Format.Type} have other codes. */
    private static final int TAKEN = 0, ATTEMPT = 1, OUTCOME = 2, VERDICT = 3, REMEMBERED = 5, PAST = 6;

    private final JournalState state;
    private final Segment segment;
    private boolean damaged;

    LegacyReader(JournalState state, Segment segment) {
        this.state = state;
        this.segment = segment;
    }

    /** Applies all records up to the first that is incomplete or corrupt, and returns the position of that one. */
    long read(Disk disk) throws IOException {
        long length = disk.length(NAME);
        long at = 0;
        try (Disk.DiskFile file = disk.open(NAME)) {
            ByteBuffer head = ByteBuffer.allocate(HEAD);
            while (file.fill(head.clear(), at)) {
                int size = head.getInt(0);
                if (size <= 0 || size > LARGEST || size > length - at - HEAD) {
                    break;
                }
                ByteBuffer content = ByteBuffer.allocate(size);
                file.fill(content, at + HEAD);
                CRC32 crc = new CRC32();
                crc.update(content.flip().duplicate());
                if ((int) crc.getValue() != head.getInt(4)) {
                    damaged = true; // the record is complete, so what it announced may have happened
                    break;
                }
                apply(content, size + HEAD);
                at += HEAD + size;
            }
        }
        return at;
    }

    /** True if reading stopped at a record that had been written completely. */
    boolean damaged() {
        return damaged;
    }

    private void apply(ByteBuffer in, int size) {
        int type = in.get();
        if (type == TAKEN) {
            state.put(readTaken(in), segment, size);
            return;
        }
        String id = text(in);
        if (type == REMEMBERED) {
            state.put(id, new CompletedMessage<>(readVerdict(in), null, in.getLong()), segment, size);
            return;
        }
        JournalState.Slot<PendingMessage> slot = state.owed.get(id);
        if (slot == null) {
            return;
        }
        PendingMessage owed = slot.value;
        switch (type) {
            case ATTEMPT -> owed.attempt(text(in), in.getInt(), in.getLong());
            case OUTCOME -> owed.outcome(in.get() != 0);
            case PAST -> {
                owed.past(in.getInt(), in.get() != 0, text(in), in.getInt(), in.getLong());
                boolean mayHaveRun = in.get() != 0;
                String host = text(in);
                int zone = in.getInt();
                long wall = in.getLong();
                if (mayHaveRun) {
                    owed.risk(host, zone, wall);
                }
            }
            case VERDICT -> owed.verdict(readVerdict(in));
            default -> state.drop(id);
        }
    }

    private static PendingMessage readTaken(ByteBuffer in) {
        String front = text(in);
        String id = text(in);
        String identity = text(in);
        int messageClass = in.getInt();
        int destination = in.getInt();
        String key = text(in);
        boolean again = in.get() != 0;
        boolean inherited = in.get() != 0;
        long budget = in.getLong();
        long deadline = in.getLong();
        byte[] body = new byte[in.getInt()];
        in.get(body);
        return new PendingMessage(
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
                deadline);
    }

    private static FinalStatus readVerdict(ByteBuffer in) {
        return new FinalStatus(FinalStatus.Kind.values()[in.get()], in.getLong(), text(in));
    }

    /** Encoded by DataOutput.writeUTF; ids of that format were plain ASCII. */
    private static String text(ByteBuffer in) {
        byte[] bytes = new byte[in.getShort() & 0xffff];
        in.get(bytes);
        return new String(bytes, StandardCharsets.UTF_8);
    }
}
