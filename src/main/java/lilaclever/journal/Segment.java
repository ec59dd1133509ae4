package lilaclever.journal;

/** One file of the log, and what of it is still needed. */
final class Segment {
    private static final String PREFIX = "segment-";
    /** The number of a folder's one file of the first format, older than all segments. */
    static final long LEGACY = 0;

    final long sequence;
    final String name;
    /** Bytes on disk, and how far records reach. */
    final long length;

    long used;
    /** Records that the state rests on, and their bytes. */
    int liveRecords;

    long liveBytes;
    /** Forcings that had begun when nothing rested on it any more; -1 until then. */
    long emptyAt = -1;
    /** Forcings that had begun when it was taken into use, and when it was written to last. */
    long startedAt, writtenAt;
    /** True if a part of it can't be read: it is kept aside, not used again. */
    boolean damaged;

    Segment(long sequence, String name, long length) {
        this.sequence = sequence;
        this.name = name;
        this.length = length;
    }

    static String name(long sequence) {
        return PREFIX + String.format("%016x", sequence);
    }

    /** The sequence number in a file's name; -1 if it is no segment's. */
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
