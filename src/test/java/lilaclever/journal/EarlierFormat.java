package lilaclever.journal;

import java.nio.ByteBuffer;
import lilaclever.routing.FinalStatus;

/** Segments of format version 2, which stored a class's number instead of the class. */
public final class EarlierFormat {
    /** An identity with a remembered result in each segment. */
    public static final String REMEMBERED_IDENTITY = "id/north/k1";

    private static final int VERSION = 2, SEGMENT_BYTES = 16 * 1024;
    private static final long SALT = 5, BUDGET_MICROS = 20_000_000;

    private EarlierFormat() {}

    /** The name of the first segment in a state folder. */
    public static String firstSegmentName() {
        return Segment.fileName(1);
    }

    /** A segment with a message for destination 7 from the HTTP front, whose first call is out or not yet made. */
    public static byte[] segment(String id, int classNumber, long deadlineWallMicros, boolean isInFlight) {
        SegmentFormat.RecordWriter out = new SegmentFormat.RecordWriter();
        RecordEncoder.previous(out, 0, 0);
        out.beginRecord(SegmentFormat.RecordType.REMEMBERED)
                .putText(REMEMBERED_IDENTITY)
                .putInt(FinalStatus.Kind.DELIVERED.ordinal())
                .putLong(0)
                .putText("")
                .putLong(Long.MAX_VALUE / 2)
                .putFlag(true)
                .putLong(1)
                .putLong(2)
                .endRecord();
        out.beginRecord(SegmentFormat.RecordType.TAKEN)
                .putText("http")
                .putText(id)
                .putFlag(false)
                .putInt(classNumber)
                .putInt(7)
                .putFlag(false)
                .putFlag(false)
                .putFlag(false)
                .putLong(BUDGET_MICROS)
                .putLong(deadlineWallMicros)
                .putBytes(new byte[3])
                .endRecord();
        if (isInFlight) {
            out.beginRecord(SegmentFormat.RecordType.ATTEMPT)
                    .putText(id)
                    .putText("e1")
                    .putInt(0)
                    .putLong(deadlineWallMicros - BUDGET_MICROS)
                    .endRecord();
        }
        ByteBuffer all = ByteBuffer.allocate(SEGMENT_BYTES);
        all.put(SegmentFormat.encodeHeader(new SegmentFormat.Header(VERSION, 1, SALT, 0, BootClock.UNKNOWN)))
                .put(out.withChecksums(SALT));
        return all.array();
    }
}
