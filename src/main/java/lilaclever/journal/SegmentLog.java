package lilaclever.journal;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.function.LongPredicate;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import lilaclever.journal.SegmentFormat.RecordWriter;
import lilaclever.log.Logs;

/**
 * The files of the log: full segments in order, the active one, and preallocated ones. A file is filled with zeros
 * before use, so that others can't take space that was promised, and is renamed when its role changes, so that a kill
 * at any moment leaves each file in exactly one role.
 */
final class SegmentLog {
    /** File name prefixes of preallocated segments and of damaged files that are kept for inspection. */
    static final String PREALLOCATED_PREFIX = "spare-", DAMAGED_PREFIX = "damaged-";

    private static final int ZERO_BUFFER_BYTES = 64 * 1024;

    /** A zero-filled file, ready for use. */
    private record PreallocatedFile(String name, long length) {}

    /**
     * A file without live content that is not filled with zeros yet.
     *
     * @param namedAtSync number of syncs started when the file got its name: until a later sync has succeeded, a
     *     machine failure may restore its old name, and its old content must still be there then
     */
    private record UnfilledFile(String name, long length, long namedAtSync) {}

    private static final long NO_SYNC_NEEDED = -1;

    private final Disk disk;
    private final SpacePolicy policy;
    private final long quotaBytes;
    private final RandomGenerator random;
    private final JournalClocks clocks;
    private final ArrayDeque<Segment> fullSegments = new ArrayDeque<>();
    private final ArrayDeque<PreallocatedFile> preallocated = new ArrayDeque<>();
    private final ArrayDeque<UnfilledFile> unfilled = new ArrayDeque<>();
    /** Open files of full segments whose records may not be durable yet. */
    private final List<Disk.DiskFile> unsyncedFiles = new ArrayList<>();

    private final boolean syncEnabled;
    /** Number of syncs started so far. */
    private final LongSupplier syncsStarted;

    private boolean folderChanged;
    /** The start of the active segment: its header and first record. */
    private byte[] segmentStart;

    private Segment active;
    private Disk.DiskFile activeFile;
    private long salt;
    private long allocatedBytes;
    private long nextSequence = 1;
    private long nextPreallocatedNumber;
    private long quarantinedBytes, unfilledBytes;
    private boolean allocationFailed;

    /** With {@code syncEnabled}, files stay open until they are synced. */
    SegmentLog(
            Disk disk,
            SpacePolicy policy,
            long quotaBytes,
            RandomGenerator random,
            boolean syncEnabled,
            LongSupplier syncsStarted,
            JournalClocks clocks) {
        this.disk = disk;
        this.policy = policy;
        this.quotaBytes = quotaBytes;
        this.random = random;
        this.syncEnabled = syncEnabled;
        this.syncsStarted = syncsStarted;
        this.clocks = clocks;
    }

    // Opening

    /** Adds a segment of an earlier run; called in order of sequence numbers. */
    void addRecovered(Segment segment) {
        fullSegments.add(segment);
        allocatedBytes += segment.lengthBytes;
        nextSequence = Math.max(nextSequence, segment.sequence + 1);
    }

    /** Adds a preallocated file of an earlier run: it is filled with zeros again, or deleted. */
    void addRecoveredPreallocated(String name) throws IOException {
        nextPreallocatedNumber = Math.max(nextPreallocatedNumber, 1 + preallocatedNumber(name));
        long length = disk.length(name);
        allocatedBytes += SpacePolicy.roundUpToBlocks(length);
        fillOrDefer(name, length);
    }

    /** Counts a damaged file that was kept for inspection by an operator. */
    void addQuarantined(String name) throws IOException {
        long fileBytes = SpacePolicy.roundUpToBlocks(disk.length(name));
        quarantinedBytes += fileBytes;
        allocatedBytes += fileBytes;
    }

    private static long preallocatedNumber(String fileName) {
        try {
            return Long.parseLong(fileName.substring(PREALLOCATED_PREFIX.length()));
        } catch (NumberFormatException e) {
            return 0;
        }
    }

    // Sizes

    SpacePolicy.SpaceUsage spaceUsage(JournalState state) {
        long freeBytes = activeBytesLeft();
        for (PreallocatedFile file : preallocated) {
            freeBytes += file.length() - SegmentFormat.OVERHEAD_BYTES;
        }
        // If allocation failed, the files have all the space they will get.
        return new SpacePolicy.SpaceUsage(
                (allocationFailed ? allocatedBytes : quotaBytes) - quarantinedBytes - unfilledBytes,
                allocatedBytes - quarantinedBytes - unfilledBytes,
                freeBytes,
                state.liveBytes(),
                state.growthBytes(),
                state.largestRecordBytes(),
                preallocated.size());
    }

    long allocatedBytes() {
        return allocatedBytes;
    }

    int fileCount() {
        return fullSegments.size() + preallocated.size() + unfilled.size() + (active == null ? 0 : 1);
    }

    Segment active() {
        return active;
    }

    Segment oldest() {
        return fullSegments.peekFirst();
    }

    /** The sequence number of the newest full segment; -1 if there is none. */
    long newestSequence() {
        return fullSegments.isEmpty() ? -1 : fullSegments.peekLast().sequence;
    }

    /** True if this number of bytes fits into the active segment. */
    boolean fitsActive(long bytes) {
        return active != null && bytes <= activeBytesLeft();
    }

    /**
     * True if a segment for this number of bytes can be provided that leaves at least {@code minPreallocatedLeft}
     * preallocated ones.
     */
    boolean canProvide(long bytes, int minPreallocatedLeft) {
        long available = quotaBytes - allocatedBytes;
        int preallocatedLeft = preallocated.size();
        for (PreallocatedFile file : preallocated) {
            if (file.length() >= bytes + SegmentFormat.OVERHEAD_BYTES && preallocated.size() > minPreallocatedLeft) {
                return true;
            }
            // A file that is too short could be deleted to allocate a longer one.
            available += preallocatedLeft-- > minPreallocatedLeft ? file.length() : 0;
        }
        return available >= policy.segmentBytesFor(bytes);
    }

    /** Space left in the active segment, in bytes. */
    long activeBytesLeft() {
        return active == null ? 0 : active.lengthBytes - active.usedBytes;
    }

    // Writing

    /**
     * Appends the records to the active segment. On failure the segment is truncated to its previous end and not
     * written to any more.
     */
    void write(RecordWriter records) throws IOException {
        try {
            activeFile.write(records.withChecksums(salt), active.usedBytes);
        } catch (IOException e) {
            truncateFailedWrite();
            retireAfterFailure();
            throw e;
        }
        active.usedBytes += records.size();
        active.lastWrittenAtSync = syncsStarted.getAsLong();
    }

    /**
     * Removes a partly written record, which must not be read as a complete one: what it announces has not happened.
     */
    private void truncateFailedWrite() {
        try {
            activeFile.truncate(active.usedBytes);
        } catch (IOException e) {
            Logs.warn("journal", "cut-failed", active.name + " could not be truncated: " + e, "segment", active.name);
        }
    }

    /**
     * A segment with records stays in the log. An empty one becomes a preallocated one again: it could be released only
     * after all segments before it, and a disk that fails for some time would use up all preallocated segments, so that
     * none would be left for copying live records.
     */
    private void retireAfterFailure() {
        if (active.usedBytes > SegmentFormat.OVERHEAD_BYTES) {
            retireActive();
            return;
        }
        String name = PREALLOCATED_PREFIX + nextPreallocatedNumber++;
        try {
            disk.rename(active.name, name);
        } catch (IOException e) {
            Logs.warn("journal", "rename-failed", active.name + " could not be renamed: " + e, "segment", active.name);
            return;
        }
        folderChanged = true;
        nextSequence = active.sequence;
        if (syncEnabled) {
            unsyncedFiles.add(activeFile); // a sync of it may be in progress
        } else {
            close(activeFile);
        }
        long length = active.lengthBytes;
        active = null;
        activeFile = null;
        fillOrDefer(name, length);
    }

    /**
     * Puts a segment into use that has space for this number of bytes, and notes in it where the previous one ended.
     */
    void roll(long bytes) throws IOException {
        retireActive();
        PreallocatedFile target = takePreallocated(bytes);
        long sequence = nextSequence;
        Segment next = new Segment(sequence, Segment.fileName(sequence), target.length());
        Disk.DiskFile file = null;
        try {
            long nextSalt = random.nextLong();
            file = disk.open(target.name());
            ByteBuffer startBytes = encodeSegmentStart(sequence, nextSalt);
            file.write(startBytes.duplicate(), 0);
            disk.rename(target.name(), next.name);
            folderChanged = true;
            nextSequence++;
            next.usedBytes = SegmentFormat.OVERHEAD_BYTES;
            next.startedAtSync = syncsStarted.getAsLong();
            next.lastWrittenAtSync = next.startedAtSync;
            segmentStart = startBytes.array();
            active = next;
            activeFile = file;
            salt = nextSalt;
        } catch (IOException e) {
            close(file);
            preallocated.addLast(target);
            throw e;
        }
    }

    private ByteBuffer encodeSegmentStart(long sequence, long nextSalt) {
        ByteBuffer startBytes = ByteBuffer.allocate(SegmentFormat.OVERHEAD_BYTES);
        startBytes.put(SegmentFormat.encodeHeader(new SegmentFormat.Header(
                SegmentFormat.VERSION, sequence, nextSalt, clocks.wallMicros().getAsLong(), clocks.bootClock())));
        Segment previous = fullSegments.peekLast();
        RecordWriter firstRecord = new RecordWriter();
        RecordEncoder.previous(
                firstRecord, previous == null ? 0 : previous.sequence, previous == null ? 0 : previous.usedBytes);
        return startBytes.put(firstRecord.withChecksums(nextSalt)).flip();
    }

    /** Closes the active segment for writing. */
    private void retireActive() {
        if (active == null) {
            return;
        }
        if (syncEnabled) {
            unsyncedFiles.add(activeFile);
        } else {
            close(activeFile);
        }
        fullSegments.add(active);
        active = null;
        activeFile = null;
    }

    private static void close(Disk.DiskFile file) {
        if (file != null) {
            try {
                file.close();
            } catch (IOException e) {
                Logs.warn("journal", "close-failed", "a file could not be closed: " + e);
            }
        }
    }

    // Allocation and release

    private PreallocatedFile takePreallocated(long bytes) throws IOException {
        long neededBytes = bytes + SegmentFormat.OVERHEAD_BYTES;
        for (Iterator<PreallocatedFile> all = preallocated.iterator(); all.hasNext(); ) {
            PreallocatedFile file = all.next();
            if (file.length() >= neededBytes) {
                all.remove();
                return file;
            }
        }
        long lengthBytes = policy.segmentBytesFor(bytes);
        while (allocatedBytes + lengthBytes > quotaBytes && !preallocated.isEmpty()) {
            // Files too short for this record are deleted to allocate a longer one.
            PreallocatedFile shortest = preallocated.peekFirst();
            disk.delete(shortest.name());
            preallocated.pollFirst();
            allocatedBytes -= SpacePolicy.roundUpToBlocks(shortest.length());
        }
        if (allocatedBytes + lengthBytes > quotaBytes) {
            lengthBytes = (quotaBytes - allocatedBytes) / SegmentFormat.BLOCK_BYTES * SegmentFormat.BLOCK_BYTES;
        }
        if (lengthBytes < neededBytes) {
            throw new OutOfSpace();
        }
        if (!preallocate(lengthBytes)) {
            throw new OutOfSpace();
        }
        return preallocated.pollLast();
    }

    /** Thrown if no segment has space for a record. */
    static final class OutOfSpace extends IOException {
        private static final long serialVersionUID = 1L;

        OutOfSpace() {
            super("no space left in the journal's files");
        }
    }

    /** Preallocates a further segment; false if the disk has no space for it. */
    boolean preallocate(long length) {
        String name = PREALLOCATED_PREFIX + nextPreallocatedNumber++;
        allocationFailed = true;
        try (Disk.DiskFile file = disk.open(name)) {
            writeZeros(file, 0, length);
            allocationFailed = false;
        } catch (IOException e) {
            deleteOrDefer(name, length);
            return false;
        }
        folderChanged = true;
        allocatedBytes += SpacePolicy.roundUpToBlocks(length);
        preallocated.add(new PreallocatedFile(name, length));
        return true;
    }

    /** Resets the note that the disk has no space, so that allocation is tried again. */
    void resetAllocationFailure() {
        allocationFailed = false;
    }

    private static void writeZeros(Disk.DiskFile file, long from, long to) throws IOException {
        ByteBuffer zeros = ByteBuffer.allocate((int) Math.min(ZERO_BUFFER_BYTES, to - from));
        for (long at = from; at < to; at += zeros.capacity()) {
            file.write(zeros.clear().limit((int) Math.min(zeros.capacity(), to - at)), at);
        }
    }

    /** Deletes a file that could not be filled; if that fails too, the file is counted and filled later. */
    private void deleteOrDefer(String name, long length) {
        try {
            disk.delete(name);
        } catch (IOException e) {
            Logs.warn("journal", "delete-failed", name + " could not be deleted: " + e, "segment", name);
            allocatedBytes += SpacePolicy.roundUpToBlocks(length);
            deferFill(name, length, NO_SYNC_NEEDED);
        }
    }

    private void deferFill(String name, long length, long namedAtSync) {
        unfilled.addLast(new UnfilledFile(name, length, namedAtSync));
        unfilledBytes += SpacePolicy.roundUpToBlocks(length);
    }

    /** Removes the oldest segment, which has no live records, from the log. */
    void releaseOldest(JournalState state) throws IOException {
        Segment oldest = fullSegments.peekFirst();
        assert oldest.liveRecords == 0 : oldest.name;
        if (oldest.damaged && quarantinedBytes + oldest.lengthBytes <= quotaBytes / 8) {
            disk.rename(oldest.name, DAMAGED_PREFIX + oldest.name);
            fullSegments.pollFirst();
            quarantinedBytes += oldest.lengthBytes;
        } else if (oldest.damaged
                || oldest.sequence == Segment.LEGACY_SEQUENCE
                || policy.isSurplus(spaceUsage(state), oldest.lengthBytes)) {
            disk.delete(oldest.name);
            fullSegments.pollFirst();
            allocatedBytes -= oldest.lengthBytes;
        } else {
            String name = PREALLOCATED_PREFIX + nextPreallocatedNumber++;
            disk.rename(oldest.name, name);
            fullSegments.pollFirst();
            if (syncEnabled) {
                deferFill(name, oldest.lengthBytes, syncsStarted.getAsLong());
            } else {
                fillOrDefer(name, oldest.lengthBytes);
            }
        }
        folderChanged = true;
    }

    /** Turns a file without live content into a preallocated segment, now or as soon as the disk allows it. */
    private void fillOrDefer(String name, long length) {
        try {
            fillAndAdd(name, length);
        } catch (IOException e) {
            Logs.warn(
                    "journal",
                    "not-ready",
                    name + " could not be filled with zeros, tried again later: " + e,
                    "segment",
                    name);
            deferFill(name, length, NO_SYNC_NEEDED);
        }
    }

    /**
     * Fills deferred files with zeros, up to the first one that fails or has to wait.
     *
     * @param covers true if a sync that started after the given count has succeeded
     */
    void fillDeferred(LongPredicate covers) {
        for (UnfilledFile first = unfilled.peekFirst(); first != null; first = unfilled.peekFirst()) {
            if (first.namedAtSync() != NO_SYNC_NEEDED && !covers.test(first.namedAtSync())) {
                return;
            }
            try {
                fillAndAdd(first.name(), first.length());
            } catch (IOException e) {
                return;
            }
            unfilled.pollFirst();
            unfilledBytes -= SpacePolicy.roundUpToBlocks(first.length());
        }
    }

    /**
     * Fills a file with zeros and adds it to the preallocated segments, or deletes it if only little of it can be
     * written. On failure nothing changes.
     */
    private void fillAndAdd(String name, long length) throws IOException {
        long writableBytes = fillWithZeros(name, length);
        boolean isWorthKeeping = writableBytes > 2 * SegmentFormat.OVERHEAD_BYTES;
        if (!isWorthKeeping) {
            disk.delete(name);
        }
        allocatedBytes -=
                SpacePolicy.roundUpToBlocks(length) - (isWorthKeeping ? SpacePolicy.roundUpToBlocks(writableBytes) : 0);
        if (isWorthKeeping) {
            preallocated.add(new PreallocatedFile(name, writableBytes));
        }
    }

    /**
     * Fills a file with zeros and returns its length. If only the rest of it can't be written, it is truncated there.
     */
    private long fillWithZeros(String name, long length) throws IOException {
        try (Disk.DiskFile file = disk.open(name)) {
            try {
                writeZeros(file, 0, length);
                return length;
            } catch (IOException e) {
                long writableBytes =
                        firstFailingOffset(file, length) / SegmentFormat.BLOCK_BYTES * SegmentFormat.BLOCK_BYTES;
                if (writableBytes == 0 && length > 0) {
                    throw e; // the disk fails, not just the end of this file
                }
                file.truncate(writableBytes);
                return writableBytes;
            }
        }
    }

    private static long firstFailingOffset(Disk.DiskFile file, long length) {
        long offset = 0;
        try {
            for (; offset < length; offset += SegmentFormat.BLOCK_BYTES) {
                file.write(ByteBuffer.allocate((int) Math.min(SegmentFormat.BLOCK_BYTES, length - offset)), offset);
            }
        } catch (IOException e) {
            return offset;
        }
        return length;
    }

    // Durability

    /** What must be synced to make everything written so far durable. */
    record SyncBatch(List<Disk.DiskFile> fullSegments, Disk.DiskFile active, boolean folderChanged) {}

    /** Hands over what is to be synced; whoever syncs the full segments closes them. */
    SyncBatch takeSyncBatch() {
        SyncBatch batch = new SyncBatch(List.copyOf(unsyncedFiles), activeFile, folderChanged);
        unsyncedFiles.clear();
        folderChanged = false;
        return batch;
    }

    /** Deletes all files without content. */
    void deletePreallocated() throws IOException {
        for (PreallocatedFile file = preallocated.pollFirst(); file != null; file = preallocated.pollFirst()) {
            disk.delete(file.name());
            allocatedBytes -= SpacePolicy.roundUpToBlocks(file.length());
        }
        for (UnfilledFile deferred = unfilled.pollFirst(); deferred != null; deferred = unfilled.pollFirst()) {
            disk.delete(deferred.name());
            unfilledBytes -= SpacePolicy.roundUpToBlocks(deferred.length());
            allocatedBytes -= SpacePolicy.roundUpToBlocks(deferred.length());
        }
    }

    /**
     * After a failed sync the system may have dropped the start of the active segment. It is written again, so that the
     * next sync has something to write.
     */
    void rewriteSegmentStart() {
        folderChanged = true;
        if (active != null) {
            try {
                activeFile.write(ByteBuffer.wrap(segmentStart), 0);
            } catch (IOException e) {
                retireActive();
            }
        }
    }

    /** After a failed sync, copies of records from empty segments may not be durable. */
    void resetEmptied() {
        for (Segment segment : fullSegments) {
            segment.emptiedAtSync = -1;
        }
    }

    /** Stops writing to the active segment. */
    void abandonActive() {
        retireActive();
    }

    void close() {
        retireActive();
        unsyncedFiles.forEach(SegmentLog::close);
        unsyncedFiles.clear();
    }
}
