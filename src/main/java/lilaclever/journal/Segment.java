package lilaclever.journal;

/** A file of the log, and its live records. */
final class Segment {
    private static final String PREFIX = "segment-";
    /** The sequence number of the legacy file, older than all segments. */
    static final long LEGACY = 0;

    final long sequence;
    final String name;
    /** Size on disk. {@link #used} is the end of the last record. */
    final long length;

    long used;
    /** Live records in this segment, and their size. */
    int liveRecords;

    long liveBytes;
    /** Number of syncs started when the last live record left this segment; -1 until then. */
    long emptyAt = -1;
    /** Number of syncs started when the segment was put into use, and at its last write. */
    long startedAt, writtenAt;
    /** True if a part of it is unreadable: the file is then kept under another name instead of being reused. */
    boolean damaged;

    Segment(long sequence, String name, long length) {
        this.sequence = sequence;
        this.name = name;
        this.length = length;
    }

    static String name(long sequence) {
        return PREFIX + String.format("%016x", sequence);
    }

    /** The sequence number in a file name; -1 if it does not name a segment. */
    static long sequence(String name) {
        if (!name.startsWith(PREFIX)) {
            return -1;
        }
        try {
            return Long.parseLong(name.substring(PREFIX.length()), 16);
        } catch (NumberFormatException e) {
            return -1;
        }
    }

    void gains(int bytes) {
        liveRecords++;
        liveBytes += bytes;
    }

    void loses(int bytes) {
        liveRecords--;
        liveBytes -= bytes;
        assert liveRecords >= 0 && liveBytes >= 0 : name + " has " + liveRecords + " live records, " + liveBytes;
    }
}
