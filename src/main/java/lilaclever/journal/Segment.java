package lilaclever.journal;

/** A file of the log, and its live records. */
final class Segment {
    private static final String FILE_PREFIX = "segment-";
    /** The sequence number of the legacy file, older than all segments. */
    static final long LEGACY_SEQUENCE = 0;

    final long sequence;
    final String name;
    /** Size on disk. {@link #usedBytes} is the end of the last record. */
    final long lengthBytes;

    long usedBytes;
    /** Live records in this segment, and their size. */
    int liveRecords;

    long liveBytes;
    /** Number of syncs started when the last live record left this segment; -1 until then. */
    long emptiedAtSync = -1;
    /** Number of syncs started when the segment was put into use, and at its last write. */
    long startedAtSync, lastWrittenAtSync;
    /** True if a part of it is unreadable: the file is then kept under another name instead of being reused. */
    boolean damaged;

    Segment(long sequence, String name, long lengthBytes) {
        this.sequence = sequence;
        this.name = name;
        this.lengthBytes = lengthBytes;
    }

    static String fileName(long sequence) {
        return FILE_PREFIX + String.format("%016x", sequence);
    }

    /** The sequence number in a file name; -1 if it does not name a segment. */
    static long sequenceOf(String name) {
        if (!name.startsWith(FILE_PREFIX)) {
            return -1;
        }
        try {
            return Long.parseLong(name.substring(FILE_PREFIX.length()), 16);
        } catch (NumberFormatException e) {
            return -1;
        }
    }

    void addRecord(int bytes) {
        liveRecords++;
        liveBytes += bytes;
    }

    void removeRecord(int bytes) {
        liveRecords--;
        liveBytes -= bytes;
        assert liveRecords >= 0 && liveBytes >= 0 : name + " has " + liveRecords + " live records, " + liveBytes;
    }
}
