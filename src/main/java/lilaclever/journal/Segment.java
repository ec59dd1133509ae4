package lilaclever.journal;

/** One file of the log, and what of it is still needed. */
final class Segment {
    private static final String FILE_PREFIX = "segment-";
    /** The number of a folder's one file of the first format, older than all segments. */
    static final long LEGACY_SEQUENCE = 0;

    final long sequence;
    final String name;
    /** Bytes on disk, and how far records reach. */
    final long lengthBytes;

    long usedBytes;
    /** Records that the state rests on, and their bytes. */
    int liveRecords;

    long liveBytes;
    /** Forcings that had begun when nothing rested on it any more; -1 until then. */
    long emptiedAtSync = -1;
    /** Forcings that had begun when it was taken into use, and when it was written to last. */
    long startedAtSync, lastWrittenAtSync;
    /** True if a part of it can't be read: it is kept aside, not used again. */
    boolean damaged;

    Segment(long sequence, String name, long length) {
        this.sequence = sequence;
        this.name = name;
        this.lengthBytes = length;
    }

    static String fileName(long sequence) {
        return FILE_PREFIX + String.format("%016x", sequence);
    }

    /** The sequence number in a file's name; -1 if it is no segment's. */
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
