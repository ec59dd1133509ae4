package lilaclever.journal;

/**
 * The space policy of the journal, without I/O: how long a segment is, whether there is space to accept a message, and
 * when files are allocated, compacted, reused or deleted.
 *
 * <p>The log is compacted from its oldest end: live records there are copied to the head, then the file is free. So the
 * record that ends a message is never removed before the one that began it. Space is promised only where files are
 * already allocated: live records, with all their possible growth, fit into them with {@link #reserve} to spare, and
 * with that reserve one pass over the log can always reclaim all obsolete records. Hence the attempts and results of
 * accepted messages can be written even if others fill the disk.
 *
 * <p>The end of a file stays unused if the next record does not fit. Two adjacent files together hold more than one of
 * them has space for (next-fit), so at most half is lost, and per file no more than the largest record.
 */
final class Plan {
    private static final long SHORTEST = 16 * 1024, LONGEST = 256 * 1024;
    private static final int PARTS = 64, RESERVED = 4;
    /** Preallocated segments that only compaction may use. */
    static final int FOR_COPIES = 2;
    /** How many segments to compact for each one put into use while space is scarce. */
    private static final int FORCED = 2;

    private static final long SLICE = 64 * 1024, HASTY_SLICE = 256 * 1024;
    /** How long to wait before a disk that failed a write is tried again. */
    static final long PAUSE = 200_000;

    /**
     * A snapshot of the space in use, all sizes in bytes.
     *
     * @param most quota for all files together
     * @param allocated size of all files
     * @param free space that can still be written
     * @param live size of live records
     * @param growth by how much these may still grow when they are copied
     * @param largest an upper bound on the size of a live record
     * @param spares number of preallocated segments
     */
    record Space(long most, long allocated, long free, long live, long growth, long largest, int spares) {}

    private final long segment;

    /** Creates a policy for files of this total size. */
    Plan(long most) {
        segment = blocks(Math.max(SHORTEST, Math.min(LONGEST, most / PARTS)));
    }

    /** Rounds up to whole blocks. */
    static long blocks(long bytes) {
        return (bytes + Format.BLOCK - 1) / Format.BLOCK * Format.BLOCK;
    }

    /** The usual length of a segment. */
    long segment() {
        return segment;
    }

    /** The length of a segment that can hold a record of this size. */
    long lengthFor(long record) {
        return Math.max(segment, blocks(record + Format.OVERHEAD));
    }

    /**
     * Space that messages may not use: for the active segment, one pass of compaction, and records written meanwhile.
     */
    long reserve(long largest) {
        long longest = lengthFor(largest);
        return RESERVED * segment + (longest > segment ? longest : 0);
    }

    /** How many bytes of message records the allocated files can hold, whatever the order of the records. */
    long usable(long allocated, long largest) {
        long proper = segment - Format.OVERHEAD;
        long filled = proper - Math.min(largest, proper / 2);
        return Math.max(0, allocated - reserve(largest)) / segment * filled;
    }

    /** True if space can be promised for a message's record and its possible growth. */
    boolean hasRoom(Space s, long record, long growth) {
        return s.live() + s.growth() + record + growth <= usable(s.allocated(), Math.max(s.largest(), record));
    }

    /** The length of a further segment that can hold a record of this size; 0 if the quota does not allow it. */
    long growth(Space s, long record) {
        long length = lengthFor(record);
        long left = s.most() - s.allocated();
        return length <= left ? length : 0;
    }

    /** True if a segment should be preallocated now, before it is needed. */
    boolean wantsSpare(Space s) {
        return s.spares() < RESERVED - 1 && growth(s, 0) > 0;
    }

    /** True if a released segment should be deleted instead of kept for reuse. */
    boolean surplus(Space s, long length) {
        // 1.5 times the need of the live records, so that a steady load keeps its files.
        long needed = 2 * reserve(s.largest()) + 3 * (s.live() + s.growth());
        return length != segment && growth(s, 0) > 0 // one of the usual length can take its place
                || s.spares() >= RESERVED - 1 && s.allocated() - length >= needed;
    }

    /**
     * True if little space is left to write to: live records may need more space when they are copied than they take
     * now.
     */
    boolean scarce(Space s) {
        return s.free() < RESERVED * segment + s.growth();
    }

    /** How many bytes to copy forward from the oldest segment in this turn; 0 if there is no need. */
    long slice(Space s) {
        long past = s.allocated() - s.free() - s.live();
        if (scarce(s) && growth(s, 0) == 0) {
            return past > 0 ? HASTY_SLICE : 0;
        }
        return past > 2 * s.live() + RESERVED * segment ? SLICE : 0;
    }

    /**
     * How many segments to compact, at least, before another one is put into use. Usually the slices of earlier turns
     * have done this work. But records that grow when copied need more space than they release until the obsolete ones
     * are reached, so compaction begins while that space is still there.
     */
    int forced(Space s) {
        return scarce(s) && growth(s, 0) == 0 ? FORCED : 0;
    }
}
