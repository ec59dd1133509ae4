package lilaclever.journal;

/**
 * All choices of the journal, without I/O: how long a segment is, whether there is room to take a message, when files
 * are made, emptied by copying forward, used again or given back.
 *
 * <p>The log is emptied from its oldest end: what is live there is copied to its head, then the file is free. So a
 * record that ends a message is never gone before the one that began it. Room is promised only where files really are
 * allocated: what is live, with all it may still grow by, fits into them with {@link #reserveBytes} to spare, and with that
 * reserve a pass over the log can always win back all that is past. Hence ends and attempts of what was taken can be
 * written even on a disk that others have filled.
 *
 * <p>A file's end stays unused where the next record does not fit. Two neighbours together hold more than one of them
 * has room for (next-fit), so at most half is lost, and no more than the largest record.
 */
final class SpacePolicy {
    private static final long MIN_SEGMENT_BYTES = 16 * 1024, MAX_SEGMENT_BYTES = 256 * 1024;
    private static final int TARGET_SEGMENTS = 64, RESERVED_SEGMENTS = 4;
    /** Spare files that only copying may use. */
    static final int SEGMENTS_FOR_COMPACTION = 2;
    /** Files emptied for each that is taken into use, where room is scarce. */
    private static final int FORCED_COMPACTIONS = 2;

    private static final long SLICE_BYTES = 64 * 1024, LOW_SPACE_SLICE_BYTES = 256 * 1024;
    /** How long to leave a disk alone that has failed a write, microseconds. */
    static final long DISK_RETRY_DELAY_MICROS = 200_000;

    /**
     * What there is, all in bytes.
     *
     * @param quotaBytes what the files may take together
     * @param allocatedBytes what they take
     * @param freeBytes what of it can be written to
     * @param liveBytes what the state rests on
     * @param growthBytes what that may still grow by when it is copied
     * @param largestRecordBytes the largest record that is live
     * @param preallocatedSegments files that are empty
     */
    record SpaceUsage(long quotaBytes, long allocatedBytes, long freeBytes, long liveBytes, long growthBytes, long largestRecordBytes, int preallocatedSegments) {}

    private final long segmentBytes;

    /** Choices for files of so many bytes together. */
    SpacePolicy(long most) {
        segmentBytes = roundUpToBlocks(Math.max(MIN_SEGMENT_BYTES, Math.min(MAX_SEGMENT_BYTES, most / TARGET_SEGMENTS)));
    }

    /** Whole blocks. */
    static long roundUpToBlocks(long bytes) {
        return (bytes + SegmentFormat.BLOCK_BYTES - 1) / SegmentFormat.BLOCK_BYTES * SegmentFormat.BLOCK_BYTES;
    }

    /** How long a file is made. */
    long segmentBytes() {
        return segmentBytes;
    }

    /** How long a file must be to hold a record of this size. */
    long segmentBytesFor(long record) {
        return Math.max(segmentBytes, roundUpToBlocks(record + SegmentFormat.OVERHEAD_BYTES));
    }

    /** What is kept from messages: room for the file in use, for one pass of copying, and for records meanwhile. */
    long reserveBytes(long largest) {
        long longest = segmentBytesFor(largest);
        return RESERVED_SEGMENTS * segmentBytes + (longest > segmentBytes ? longest : 0);
    }

    /** How much the allocated files can hold for messages, whatever the order of records. */
    long usableBytes(long allocated, long largest) {
        long proper = segmentBytes - SegmentFormat.OVERHEAD_BYTES;
        long filled = proper - Math.min(largest, proper / 2);
        return Math.max(0, allocated - reserveBytes(largest)) / segmentBytes * filled;
    }

    /** True if a message's record, with what it may grow by, can be promised its room. */
    boolean hasSpace(SpaceUsage s, long record, long growth) {
        return s.liveBytes() + s.growthBytes() + record + growth <= usableBytes(s.allocatedBytes(), Math.max(s.largestRecordBytes(), record));
    }

    /** How long a further file may be that is to hold at least a record of this size; 0 if there is no room. */
    long newSegmentBytes(SpaceUsage s, long record) {
        long length = segmentBytesFor(record);
        long left = s.quotaBytes() - s.allocatedBytes();
        return length <= left ? length : 0;
    }

    /** True if a spare file should be made ready now, ahead of need. */
    boolean shouldPreallocate(SpaceUsage s) {
        return s.preallocatedSegments() < RESERVED_SEGMENTS - 1 && newSegmentBytes(s, 0) > 0;
    }

    /** True if a file that has become free should be given back instead of kept for use. */
    boolean isSurplus(SpaceUsage s, long length) {
        // As much as what is live needs, and half of that again, so that a steady load keeps its files.
        long needed = 2 * reserveBytes(s.largestRecordBytes()) + 3 * (s.liveBytes() + s.growthBytes());
        return length != segmentBytes && newSegmentBytes(s, 0) > 0 // one of the usual length can take its place
                || s.preallocatedSegments() >= RESERVED_SEGMENTS - 1 && s.allocatedBytes() - length >= needed;
    }

    /** True if little is left to write to: what is live may need more room when it is copied than it has now. */
    boolean isSpaceScarce(SpaceUsage s) {
        return s.freeBytes() < RESERVED_SEGMENTS * segmentBytes + s.growthBytes();
    }

    /** How much to copy forward from the oldest file in this turn; 0 if there is no need. */
    long sliceBytes(SpaceUsage s) {
        long past = s.allocatedBytes() - s.freeBytes() - s.liveBytes();
        if (isSpaceScarce(s) && newSegmentBytes(s, 0) == 0) {
            return past > 0 ? LOW_SPACE_SLICE_BYTES : 0;
        }
        return past > 2 * s.liveBytes() + RESERVED_SEGMENTS * segmentBytes ? SLICE_BYTES : 0;
    }

    /**
     * How many files to empty at once before a further one is taken into use, at least. Nearly always the slices of the
     * turns have done it. But records that grow when they are copied need more room than they give back until what is
     * past is reached, so this begins while there is still that room.
     */
    int forcedCompactions(SpaceUsage s) {
        return isSpaceScarce(s) && newSegmentBytes(s, 0) == 0 ? FORCED_COMPACTIONS : 0;
    }
}
