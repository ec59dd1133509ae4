package lilaclever.journal;

/**
 * All choices of the journal, without I/O: how long a segment is, whether there is room to take a message, when files
 * are made, emptied by copying forward, used again or given back.
 *
 * <p>The log is emptied from its oldest end: what is live there is copied to its head, then the file is free. So a
 * record that ends a message is never gone before the one that began it. Room is promised only where files really are
 * allocated: what is live, with all it may still grow by, fits into them with {@link #reserve} to spare, and with that
 * reserve a pass over the log can always win back all that is past. Hence ends and attempts of what was taken can be
 * written even on a disk that others have filled.
 *
 * <p>A file's end stays unused where the next record does not fit. Two neighbours together hold more than one of them
 * has room for (next-fit), so at most half is lost, and no more than the largest record.
 */
final class Plan {
    private static final long SHORTEST = 16 * 1024, LONGEST = 256 * 1024;
    private static final int PARTS = 64, RESERVED = 4;
    /** Spare files that only copying may use. */
    static final int FOR_COPIES = 2;
    /** Files emptied for each that is taken into use, where room is scarce. */
    private static final int FORCED = 2;

    private static final long SLICE = 64 * 1024, HASTY_SLICE = 256 * 1024;
    /** How long to leave a disk alone that has failed a write, microseconds. */
    static final long PAUSE = 200_000;

    /**
     * What there is, all in bytes.
     *
     * @param most what the files may take together
     * @param allocated what they take
     * @param free what of it can be written to
     * @param live what the state rests on
     * @param growth what that may still grow by when it is copied
     * @param largest the largest record that is live
     * @param spares files that are empty
     */
    record Space(long most, long allocated, long free, long live, long growth, long largest, int spares) {}

    private final long segment;

    /** Choices for files of so many bytes together. */
    Plan(long most) {
        segment = blocks(Math.max(SHORTEST, Math.min(LONGEST, most / PARTS)));
    }

    /** Whole blocks. */
    static long blocks(long bytes) {
        return (bytes + SegmentFormat.BLOCK - 1) / SegmentFormat.BLOCK * SegmentFormat.BLOCK;
    }

    /** How long a file is made. */
    long segment() {
        return segment;
    }

    /** How long a file must be to hold a record of this size. */
    long lengthFor(long record) {
        return Math.max(segment, blocks(record + SegmentFormat.OVERHEAD));
    }

    /** What is kept from messages: room for the file in use, for one pass of copying, and for records meanwhile. */
    long reserve(long largest) {
        long longest = lengthFor(largest);
        return RESERVED * segment + (longest > segment ? longest : 0);
    }

    /** How much the allocated files can hold for messages, whatever the order of records. */
    long usable(long allocated, long largest) {
        long proper = segment - SegmentFormat.OVERHEAD;
        long filled = proper - Math.min(largest, proper / 2);
        return Math.max(0, allocated - reserve(largest)) / segment * filled;
    }

    /** True if a message's record, with what it may grow by, can be promised its room. */
    boolean hasRoom(Space s, long record, long growth) {
        return s.live() + s.growth() + record + growth <= usable(s.allocated(), Math.max(s.largest(), record));
    }

    /** How long a further file may be that is to hold at least a record of this size; 0 if there is no room. */
    long growth(Space s, long record) {
        long length = lengthFor(record);
        long left = s.most() - s.allocated();
        return length <= left ? length : 0;
    }

    /** True if a spare file should be made ready now, ahead of need. */
    boolean wantsSpare(Space s) {
        return s.spares() < RESERVED - 1 && growth(s, 0) > 0;
    }

    /** True if a file that has become free should be given back instead of kept for use. */
    boolean surplus(Space s, long length) {
        // As much as what is live needs, and half of that again, so that a steady load keeps its files.
        long needed = 2 * reserve(s.largest()) + 3 * (s.live() + s.growth());
        return length != segment && growth(s, 0) > 0 // one of the usual length can take its place
                || s.spares() >= RESERVED - 1 && s.allocated() - length >= needed;
    }

    /** True if little is left to write to: what is live may need more room when it is copied than it has now. */
    boolean scarce(Space s) {
        return s.free() < RESERVED * segment + s.growth();
    }

    /** How much to copy forward from the oldest file in this turn; 0 if there is no need. */
    long slice(Space s) {
        long past = s.allocated() - s.free() - s.live();
        if (scarce(s) && growth(s, 0) == 0) {
            return past > 0 ? HASTY_SLICE : 0;
        }
        return past > 2 * s.live() + RESERVED * segment ? SLICE : 0;
    }

    /**
     * How many files to empty at once before a further one is taken into use, at least. Nearly always the slices of the
     * turns have done it. But records that grow when they are copied need more room than they give back until what is
     * past is reached, so this begins while there is still that room.
     */
    int forced(Space s) {
        return scarce(s) && growth(s, 0) == 0 ? FORCED : 0;
    }
}
