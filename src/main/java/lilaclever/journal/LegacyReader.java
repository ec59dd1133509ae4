package lilaclever.journal;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.zip.CRC32;
import lilaclever.identity.CompletedMessage;
import lilaclever.routing.FinalStatus;
import lilaclever.routing.PendingMessage;
import lilaclever.routing.Submission;
import lilaclever.routing.ZoneNames;

/**
 * Reads the single file of the legacy format: length, CRC32, content. It has no version and no record markers, so
 * nothing after the first bad record can be read. The file is only ever read: its live records are copied forward like
 * those of a segment.
 */
final class LegacyReader {
    static final String FILE_NAME = "journal", UNFINISHED_FILE_NAME = "journal.new";
    private static final int RECORD_HEADER_BYTES = 8, MAX_CONTENT_BYTES = 1 << 20;
    /** Codes of the record types; those of the same name in {@link SegmentFormat.RecordType} have other codes. */
    private static final int TAKEN = 0, ATTEMPT = 1, OUTCOME = 2, VERDICT = 3, REMEMBERED = 5, ATTEMPT_SUMMARY = 6;

    private final JournalState state;
    private final Segment segment;
    private boolean damaged;

    LegacyReader(JournalState state, Segment segment) {
        this.state = state;
        this.segment = segment;
    }

    /** Applies all records up to the first that is incomplete or corrupt, and returns the position of that one. */
    long read(Disk disk) throws IOException {
        long length = disk.length(FILE_NAME);
        long position = 0;
        try (Disk.DiskFile file = disk.open(FILE_NAME)) {
            ByteBuffer header = ByteBuffer.allocate(RECORD_HEADER_BYTES);
            while (file.readFully(header.clear(), position)) {
                int size = header.getInt(0);
                if (size <= 0 || size > MAX_CONTENT_BYTES || size > length - position - RECORD_HEADER_BYTES) {
                    break;
                }
                ByteBuffer content = ByteBuffer.allocate(size);
                file.readFully(content, position + RECORD_HEADER_BYTES);
                CRC32 crc = new CRC32();
                crc.update(content.flip().duplicate());
                if ((int) crc.getValue() != header.getInt(4)) {
                    damaged = true; // the record is complete, so what it announced may have happened
                    break;
                }
                apply(content, size + RECORD_HEADER_BYTES);
                position += RECORD_HEADER_BYTES + size;
            }
        }
        return position;
    }

    /** True if reading stopped at a record that had been written completely. */
    boolean damaged() {
        return damaged;
    }

    private void apply(ByteBuffer in, int size) {
        int type = in.get();
        if (type == TAKEN) {
            state.put(readAccepted(in), segment, size);
            return;
        }
        String id = readText(in);
        if (type == REMEMBERED) {
            state.put(id, new CompletedMessage<>(readFinalStatus(in), null, in.getLong()), segment, size);
            return;
        }
        JournalState.Entry<PendingMessage> entry = state.pending.get(id);
        if (entry == null) {
            return;
        }
        PendingMessage message = entry.value;
        switch (type) {
            case ATTEMPT -> message.attemptStarted(readText(in), skipZone(in), in.getLong());
            case OUTCOME -> message.attemptEnded(in.get() != 0);
            case ATTEMPT_SUMMARY -> {
                message.restoreAttempts(in.getInt(), in.get() != 0, readText(in), skipZone(in), in.getLong());
                boolean mayHaveRun = in.get() != 0;
                String host = readText(in);
                String zone = skipZone(in);
                long wallMicros = in.getLong();
                if (mayHaveRun) {
                    message.markMayHaveRun(host, zone, wallMicros);
                }
            }
            case VERDICT -> message.setFinalStatus(readFinalStatus(in));
            default -> state.removeMessage(id);
        }
    }

    private static PendingMessage readAccepted(ByteBuffer in) {
        String front = readText(in);
        String id = readText(in);
        String identity = readText(in);
        int messageClass = in.getInt();
        int destination = in.getInt();
        String key = readText(in);
        boolean resubmitted = in.get() != 0;
        boolean inherited = in.get() != 0;
        long budgetMicros = in.getLong();
        long deadlineWallMicros = in.getLong();
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
                        resubmitted,
                        inherited,
                        budgetMicros),
                deadlineWallMicros);
    }

    /** That format has the zone's number, whose meaning is not certain. */
    private static String skipZone(ByteBuffer in) {
        in.getInt();
        return ZoneNames.UNKNOWN_NAME;
    }

    private static FinalStatus readFinalStatus(ByteBuffer in) {
        return new FinalStatus(FinalStatus.Kind.values()[in.get()], in.getLong(), readText(in));
    }

    /** Encoded by DataOutput.writeUTF; ids of that format were plain ASCII. */
    private static String readText(ByteBuffer in) {
        byte[] bytes = new byte[in.getShort() & 0xffff];
        in.get(bytes);
        return new String(bytes, StandardCharsets.UTF_8);
    }
}
