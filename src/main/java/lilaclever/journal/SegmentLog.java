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
 * The files of the log: full ones in their order, the one in use, and spare ones. A file is allocated in full, with
 * zeros, before it is used, and given another name when its use changes; so room that was promised can't be taken by
 * others, and a kill at any moment leaves each file as one thing or the other.
 */
final class SegmentLog {
    static final String SPARE_PREFIX = "spare-", DAMAGED_PREFIX = "damaged-";
    private static final int ZERO_BUFFER_BYTES = 64 * 1024;

    /** A file without content, ready for use. */
    private record PreallocatedFile(String name, long length) {}

    /**
     * A file without content that is not filled with zeros yet.
     *
     * @param namedAtSync the forcings that had begun when it got its name: until a later one has ended well, a failure of
     *     the machine may bring its old name back, and its old content has to be there then
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
    /** Files that hold records which may not outlast the machine yet. */
    private final List<Disk.DiskFile> unsyncedFiles = new ArrayList<>();

    private final boolean syncEnabled;
    /** How many forcings have begun. */
    private final LongSupplier syncsStarted;

    private boolean folderChanged;
    /** What the file in use begins with: its header and first record. */
    private byte[] segmentStart;

    private Segment active;
    private Disk.DiskFile activeFile;
    private long salt;
    private long allocatedBytes;
    private long nextSequence = 1;
    private long nextSpareNumber;
    private long quarantinedBytes, unfilledBytes;
    private boolean allocationFailed;

    /** {@code forces}: files are to be forced, so they are kept open until then. */
    SegmentLog(
            Disk disk,
            SpacePolicy plan,
            long most,
            RandomGenerator random,
            boolean forces,
            LongSupplier forcings,
            JournalClocks times) {
        this.disk = disk;
        this.policy = plan;
        this.quotaBytes = most;
        this.random = random;
        this.syncEnabled = forces;
        this.syncsStarted = forcings;
        this.clocks = times;
    }

    // ---- opening ----------------------------------------------------------------------------------------
    /** A segment of an earlier life. In order. */
    void addRecovered(Segment s) {
        fullSegments.add(s);
        allocatedBytes += s.lengthBytes;
        nextSequence = Math.max(nextSequence, s.sequence + 1);
    }

    /** An empty file of an earlier life: it is made ready again, or given up. */
    void addRecoveredSpare(String name) throws IOException {
        nextSpareNumber = Math.max(nextSpareNumber, 1 + spareNumber(name));
        long length = disk.length(name);
        allocatedBytes += SpacePolicy.roundUpToBlocks(length);
        fillOrDefer(name, length);
    }

    /** A file that was kept aside for people to look at. */
    void addQuarantined(String name) throws IOException {
        long bytes = SpacePolicy.roundUpToBlocks(disk.length(name));
        quarantinedBytes += bytes;
        allocatedBytes += bytes;
    }

    private static long spareNumber(String spare) {
        try {
            return Long.parseLong(spare.substring(SPARE_PREFIX.length()));
        } catch (NumberFormatException e) {
            return 0;
        }
    }

    // ---- figures ----------------------------------------------------------------------------------------
    SpacePolicy.SpaceUsage spaceUsage(JournalState state) {
        long free = activeBytesLeft();
        for (PreallocatedFile s : preallocated) {
            free += s.length() - SegmentFormat.OVERHEAD_BYTES;
        }
        // What can't grow now has all the room it will get.
        return new SpacePolicy.SpaceUsage(
                (allocationFailed ? allocatedBytes : quotaBytes) - quarantinedBytes - unfilledBytes,
                allocatedBytes - quarantinedBytes - unfilledBytes,
                free,
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

    /** The sequence number of the newest file that is not in use any more; -1 if there is none. */
    long newestSequence() {
        return fullSegments.isEmpty() ? -1 : fullSegments.peekLast().sequence;
    }

    /** True if the bytes fit into the file in use. */
    boolean fitsActive(long bytes) {
        return active != null && bytes <= activeBytesLeft();
    }

    /** True if a file for so many bytes can be had that leaves at least so many spare ones. */
    boolean canProvide(long bytes, int keep) {
        long room = quotaBytes - allocatedBytes;
        int left = preallocated.size();
        for (PreallocatedFile s : preallocated) {
            if (s.length() >= bytes + SegmentFormat.OVERHEAD_BYTES && preallocated.size() > keep) {
                return true;
            }
            room += left-- > keep ? s.length() : 0; // it could make way for a longer one
        }
        return room >= policy.segmentBytesFor(bytes);
    }

    /** What the file in use still has room for. */
    long activeBytesLeft() {
        return active == null ? 0 : active.lengthBytes - active.usedBytes;
    }

    // ---- writing ----------------------------------------------------------------------------------------
    /** Writes the records behind the others; on a failure the file is cut off before them and not used further. */
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

    /** What a failed write left of a record must not pass for one: its consequence has not happened. */
    private void truncateFailedWrite() {
        try {
            activeFile.truncate(active.usedBytes);
        } catch (IOException e) {
            Logs.warn("journal", "cut-failed", active.name + " could not be cut off: " + e, "segment", active.name);
        }
    }

    /**
     * A file with records stays in the log. An empty one becomes a spare again: it would be emptied only after
     * all files before it, and a disk that fails for some time would use up all spares, with none left to copy
     * what is live to.
     */
    private void retireAfterFailure() {
        if (active.usedBytes > SegmentFormat.OVERHEAD_BYTES) {
            retireActive();
            return;
        }
        String name = SPARE_PREFIX + nextSpareNumber++;
        try {
            disk.rename(active.name, name);
        } catch (IOException e) {
            Logs.warn("journal", "rename-failed", active.name + " stays in use: " + e, "segment", active.name);
            return;
        }
        folderChanged = true;
        nextSequence = active.sequence;
        if (syncEnabled) {
            unsyncedFiles.add(activeFile); // it may be under a forcing just now
        } else {
            close(activeFile);
        }
        long length = active.lengthBytes;
        active = null;
        activeFile = null;
        fillOrDefer(name, length);
    }

    /** Takes a file into use that has room for so many bytes, and notes in it where the last one ended. */
    void roll(long bytes) throws IOException {
        retireActive();
        PreallocatedFile spare = takePreallocated(bytes);
        long sequence = nextSequence;
        Segment next = new Segment(sequence, Segment.fileName(sequence), spare.length());
        Disk.DiskFile file = null;
        try {
            long nextSalt = random.nextLong();
            file = disk.open(spare.name());
            ByteBuffer start = encodeSegmentStart(sequence, nextSalt);
            file.write(start.duplicate(), 0);
            disk.rename(spare.name(), next.name);
            folderChanged = true;
            nextSequence++;
            next.usedBytes = SegmentFormat.OVERHEAD_BYTES;
            next.startedAtSync = syncsStarted.getAsLong();
            next.lastWrittenAtSync = next.startedAtSync;
            segmentStart = start.array();
            active = next;
            activeFile = file;
            salt = nextSalt;
        } catch (IOException e) {
            close(file);
            preallocated.addLast(spare);
            throw e;
        }
    }

    private ByteBuffer encodeSegmentStart(long sequence, long nextSalt) {
        ByteBuffer all = ByteBuffer.allocate(SegmentFormat.OVERHEAD_BYTES);
        all.put(SegmentFormat.encodeHeader(new SegmentFormat.Header(
                SegmentFormat.VERSION, sequence, nextSalt, clocks.wallMicros().getAsLong(), clocks.bootClock())));
        Segment last = fullSegments.peekLast();
        RecordWriter first = new RecordWriter();
        RecordEncoder.previous(first, last == null ? 0 : last.sequence, last == null ? 0 : last.usedBytes);
        return all.put(first.withChecksums(nextSalt)).flip();
    }

    /** Nothing more goes into the file in use. */
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
                Logs.warn("journal", "close-failed", "a file did not close: " + e);
            }
        }
    }

    // ---- files ------------------------------------------------------------------------------------------
    private PreallocatedFile takePreallocated(long bytes) throws IOException {
        long needed = bytes + SegmentFormat.OVERHEAD_BYTES;
        for (Iterator<PreallocatedFile> all = preallocated.iterator(); all.hasNext(); ) {
            PreallocatedFile spare = all.next();
            if (spare.length() >= needed) {
                all.remove();
                return spare;
            }
        }
        long length = policy.segmentBytesFor(bytes);
        while (allocatedBytes + length > quotaBytes && !preallocated.isEmpty()) {
            // Spare files that are too short for this one record make way for a longer one.
            PreallocatedFile shortest = preallocated.peekFirst();
            disk.delete(shortest.name());
            preallocated.pollFirst();
            allocatedBytes -= SpacePolicy.roundUpToBlocks(shortest.length());
        }
        if (allocatedBytes + length > quotaBytes) {
            length = (quotaBytes - allocatedBytes) / SegmentFormat.BLOCK_BYTES * SegmentFormat.BLOCK_BYTES;
        }
        if (length < needed) {
            throw new OutOfSpace();
        }
        if (!preallocate(length)) {
            throw new OutOfSpace();
        }
        return preallocated.pollLast();
    }

    /** No file is left to write to. */
    static final class OutOfSpace extends IOException {
        private static final long serialVersionUID = 1L;

        OutOfSpace() {
            super("no room left in the journal's files");
        }
    }

    /** Makes a further spare file; false if the disk gives no room for it. */
    boolean preallocate(long length) {
        String name = SPARE_PREFIX + nextSpareNumber++;
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

    /** Forgets that the disk gave no room, so that it is asked again. */
    void resetAllocationFailure() {
        allocationFailed = false;
    }

    private static void writeZeros(Disk.DiskFile file, long from, long to) throws IOException {
        ByteBuffer zeros = ByteBuffer.allocate((int) Math.min(ZERO_BUFFER_BYTES, to - from));
        for (long at = from; at < to; at += zeros.capacity()) {
            file.write(zeros.clear().limit((int) Math.min(zeros.capacity(), to - at)), at);
        }
    }

    /** Deletes a file that could not be filled; where that fails too it counts, and is filled later. */
    private void deleteOrDefer(String name, long length) {
        try {
            disk.delete(name);
        } catch (IOException e) {
            Logs.warn("journal", "delete-failed", name + " could not be deleted: " + e, "segment", name);
            allocatedBytes += SpacePolicy.roundUpToBlocks(length);
            deferFill(name, length, NO_SYNC_NEEDED);
        }
    }

    private void deferFill(String name, long length, long forcing) {
        unfilled.addLast(new UnfilledFile(name, length, forcing));
        unfilledBytes += SpacePolicy.roundUpToBlocks(length);
    }

    /** Takes the oldest file, on which nothing rests any more, out of the log. */
    void releaseOldest(JournalState state) throws IOException {
        Segment s = fullSegments.peekFirst();
        assert s.liveRecords == 0 : s.name;
        if (s.damaged && quarantinedBytes + s.lengthBytes <= quotaBytes / 8) {
            disk.rename(s.name, DAMAGED_PREFIX + s.name);
            fullSegments.pollFirst();
            quarantinedBytes += s.lengthBytes;
        } else if (s.damaged || s.sequence == Segment.LEGACY_SEQUENCE || policy.isSurplus(spaceUsage(state), s.lengthBytes)) {
            disk.delete(s.name);
            fullSegments.pollFirst();
            allocatedBytes -= s.lengthBytes;
        } else {
            String name = SPARE_PREFIX + nextSpareNumber++;
            disk.rename(s.name, name);
            fullSegments.pollFirst();
            if (syncEnabled) {
                deferFill(name, s.lengthBytes, syncsStarted.getAsLong());
            } else {
                fillOrDefer(name, s.lengthBytes);
            }
        }
        folderChanged = true;
    }

    /** Makes a file without content a spare, now or as soon as the disk allows that. */
    private void fillOrDefer(String name, long length) {
        try {
            fillAndAdd(name, length);
        } catch (IOException e) {
            Logs.warn("journal", "not-ready", name + " is made ready later: " + e, "segment", name);
            deferFill(name, length, NO_SYNC_NEEDED);
        }
    }

    /**
     * Makes spares of files that are not ready yet, up to the first that fails or has to wait.
     *
     * @param covers true if a forcing that began after the given count has ended well
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

    /** Makes a file without content a spare; one of which little can be written is given up. On a failure as before. */
    private void fillAndAdd(String name, long length) throws IOException {
        long good = fillWithZeros(name, length);
        boolean worthIt = good > 2 * SegmentFormat.OVERHEAD_BYTES;
        if (!worthIt) {
            disk.delete(name);
        }
        allocatedBytes -= SpacePolicy.roundUpToBlocks(length) - (worthIt ? SpacePolicy.roundUpToBlocks(good) : 0);
        if (worthIt) {
            preallocated.add(new PreallocatedFile(name, good));
        }
    }

    /** Fills a file with zeros and gives its length then: where only the rest of it fails, it is cut off there. */
    private long fillWithZeros(String name, long length) throws IOException {
        try (Disk.DiskFile file = disk.open(name)) {
            try {
                writeZeros(file, 0, length);
                return length;
            } catch (IOException e) {
                long good = firstFailingOffset(file, length) / SegmentFormat.BLOCK_BYTES * SegmentFormat.BLOCK_BYTES;
                if (good == 0 && length > 0) {
                    throw e; // it is the disk that fails, not this file's end
                }
                file.truncate(good);
                return good;
            }
        }
    }

    private static long firstFailingOffset(Disk.DiskFile file, long length) {
        long at = 0;
        try {
            for (; at < length; at += SegmentFormat.BLOCK_BYTES) {
                file.write(ByteBuffer.allocate((int) Math.min(SegmentFormat.BLOCK_BYTES, length - at)), at);
            }
        } catch (IOException e) {
            return at;
        }
        return length;
    }

    // ---- durability -------------------------------------------------------------------------------------
    /** What must be forced so that all written so far outlasts the machine. */
    record SyncBatch(List<Disk.DiskFile> fullSegments, Disk.DiskFile active, boolean folderChanged) {}

    /** Hands over what is to be forced; the full files are closed by whoever forces them. */
    SyncBatch takeSyncBatch() {
        SyncBatch p = new SyncBatch(List.copyOf(unsyncedFiles), activeFile, folderChanged);
        unsyncedFiles.clear();
        folderChanged = false;
        return p;
    }

    /** Deletes all files that are empty. */
    void deletePreallocated() throws IOException {
        for (PreallocatedFile s = preallocated.pollFirst(); s != null; s = preallocated.pollFirst()) {
            disk.delete(s.name());
            allocatedBytes -= SpacePolicy.roundUpToBlocks(s.length());
        }
        for (UnfilledFile u = unfilled.pollFirst(); u != null; u = unfilled.pollFirst()) {
            disk.delete(u.name());
            unfilledBytes -= SpacePolicy.roundUpToBlocks(u.length());
            allocatedBytes -= SpacePolicy.roundUpToBlocks(u.length());
        }
    }

    /**
     * A forcing has failed, and the system may have dropped the beginning of the file in use: it is written again, so
     * that the next forcing has something to write.
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

    /** A forcing has failed: what was copied from segments that are empty now may not outlast the machine. */
    void resetEmptied() {
        for (Segment s : fullSegments) {
            s.emptiedAtSync = -1;
        }
    }

    /** The file in use is not used further. */
    void abandonActive() {
        retireActive();
    }

    void close() {
        retireActive();
        unsyncedFiles.forEach(SegmentLog::close);
        unsyncedFiles.clear();
    }
}
