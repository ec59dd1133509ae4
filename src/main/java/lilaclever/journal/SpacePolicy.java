package lilaclever.journal;

/**
 * The space policy of the journal, without I/O: how long a segment is, whether there is space to accept a message, and
 * when files are allocated, compacted, reused or deleted.
 *
 * <p>The log is compacted from its oldest end: live records there are copied to the head, then the file is free. So the
 * record that ends a message is never removed before the one that began it. Space is promised only where files are
 * already allocated: live records, with all their possible growth, fit into them with {@link #reserveBytes} to spare,
 * and with that reserve one pass over the log can always reclaim all obsolete records. Hence the attempts and results
 * of accepted messages can be written even if others fill the disk.
 *
 * <p>The end of a file stays unused if the next record does not fit. Two adjacent files together hold more than one of
 * them has space for (next-fit), so at most half is lost, and per file no more than the largest record.
 */
final class SpacePolicy {
    private static final long MIN_SEGMENT_BYTES = 16 * 1024, MAX_SEGMENT_BYTES = 256 * 1024;
    private static final int TARGET_SEGMENTS = 64, RESERVED_SEGMENTS = 4;
    /** Preallocated segments that only compaction may use. */
    static final int SEGMENTS_FOR_COMPACTION = 2;
    /** How many segments to compact for each one put into use while space is scarce. */
    private static final int FORCED_COMPACTIONS = 2;

    private static final long SLICE_BYTES = 64 * 1024, LOW_SPACE_SLICE_BYTES = 256 * 1024;
    /** How long to wait before a disk that failed a write is tried again. */
    static final long DISK_RETRY_DELAY_MICROS = 200_000;

    /**
     * A snapshot of the space in use, all sizes in bytes.
     *
     * @param quotaBytes quota for all files together
     * @param allocatedBytes size of all files
     * @param freeBytes space that can still be written
     * @param liveBytes size of live records
     * @param growthBytes by how much these may still grow when they are copied
     * @param largestRecordBytes an upper bound on the size of a live record
     * @param preallocatedSegments number of preallocated segments
     */
    record SpaceUsage(
            long quotaBytes,
            long allocatedBytes,
            long freeBytes,
            long liveBytes,
            long growthBytes,
            long largestRecordBytes,
            int preallocatedSegments) {}

    private final long segmentBytes;

    /** Creates a policy for files of this total size. */
    SpacePolicy(long quotaBytes) {
        segmentBytes =
                roundUpToBlocks(Math.max(MIN_SEGMENT_BYTES, Math.min(MAX_SEGMENT_BYTES, quotaBytes / TARGET_SEGMENTS)));
    }

    /** Rounds up to whole blocks. */
    static long roundUpToBlocks(long bytes) {
        return (bytes + SegmentFormat.BLOCK_BYTES - 1) / SegmentFormat.BLOCK_BYTES * SegmentFormat.BLOCK_BYTES;
    }

    /** The usual length of a segment. */
    long segmentBytes() {
        return segmentBytes;
    }

    /** The length of a segment that can hold a record of this size. */
    long segmentBytesFor(long recordBytes) {
        return Math.max(segmentBytes, roundUpToBlocks(recordBytes + SegmentFormat.OVERHEAD_BYTES));
    }

    /**
     * Space that messages may not use: for the active segment, one pass of compaction, and records written meanwhile.
     */
    long reserveBytes(long largestBytes) {
        long longestBytes = segmentBytesFor(largestBytes);
        return RESERVED_SEGMENTS * segmentBytes + (longestBytes > segmentBytes ? longestBytes : 0);
    }

    /** How many bytes of message records the allocated files can hold, whatever the order of the records. */
    long usableBytes(long allocatedBytes, long largestBytes) {
        long capacity = segmentBytes - SegmentFormat.OVERHEAD_BYTES;
        long guaranteedFill = capacity - Math.min(largestBytes, capacity / 2);
        return Math.max(0, allocatedBytes - reserveBytes(largestBytes)) / segmentBytes * guaranteedFill;
    }

    /** True if space can be promised for a message's record and its possible growth. */
    boolean hasSpace(SpaceUsage usage, long recordBytes, long growthBytes) {
        return usage.liveBytes() + usage.growthBytes() + recordBytes + growthBytes
                <= usableBytes(usage.allocatedBytes(), Math.max(usage.largestRecordBytes(), recordBytes));
    }

    /** The length of a further segment that can hold a record of this size; 0 if the quota does not allow it. */
    long newSegmentBytes(SpaceUsage usage, long recordBytes) {
        long lengthBytes = segmentBytesFor(recordBytes);
        long quotaLeft = usage.quotaBytes() - usage.allocatedBytes();
        return lengthBytes <= quotaLeft ? lengthBytes : 0;
    }

    /** True if a segment should be preallocated now, before it is needed. */
    boolean shouldPreallocate(SpaceUsage usage) {
        return usage.preallocatedSegments() < RESERVED_SEGMENTS - 1 && newSegmentBytes(usage, 0) > 0;
    }

    /** True if a released segment should be deleted instead of kept for reuse. */
    boolean isSurplus(SpaceUsage usage, long lengthBytes) {
        // 1.5 times the need of the live records, so that a steady load keeps its files.
        long neededBytes = 2 * reserveBytes(usage.largestRecordBytes()) + 3 * (usage.liveBytes() + usage.growthBytes());
        return lengthBytes != segmentBytes
                        && newSegmentBytes(usage, 0) > 0 // one of the usual length can take its place
                || usage.preallocatedSegments() >= RESERVED_SEGMENTS - 1
                        && usage.allocatedBytes() - lengthBytes >= neededBytes;
    }

    /**
     * True if little space is left to write to: live records may need more space when they are copied than they take
     * now.
     */
    boolean isSpaceScarce(SpaceUsage usage) {
        return usage.freeBytes() < RESERVED_SEGMENTS * segmentBytes + usage.growthBytes();
    }

    /** How many bytes to copy forward from the oldest segment in this turn; 0 if there is no need. */
    long sliceBytes(SpaceUsage usage) {
        long obsoleteBytes = usage.allocatedBytes() - usage.freeBytes() - usage.liveBytes();
        if (isSpaceScarce(usage) && newSegmentBytes(usage, 0) == 0) {
            return obsoleteBytes > 0 ? LOW_SPACE_SLICE_BYTES : 0;
        }
        return obsoleteBytes > 2 * usage.liveBytes() + RESERVED_SEGMENTS * segmentBytes ? SLICE_BYTES : 0;
    }

    /**
     * How many segments to compact, at least, before another one is put into use. Usually the slices of earlier turns
     * have done this work. But records that grow when copied need more space than they release until the obsolete ones
     * are reached, so compaction begins while that space is still there.
     */
    int forcedCompactions(SpaceUsage usage) {
        return isSpaceScarce(usage) && newSegmentBytes(usage, 0) == 0 ? FORCED_COMPACTIONS : 0;
    }
}
