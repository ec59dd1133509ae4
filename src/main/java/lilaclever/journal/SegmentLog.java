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
    static final String SPARE = "spare-", DAMAGED = "damaged-";
    private static final int ZEROS = 64 * 1024;

    /** A file without content, ready for use. */
    private record Spare(String name, long length) {}

    /**
     * A file without content that is not filled with zeros yet.
     *
     * @param forcing the forcings that had begun when it got its name: until a later one has ended well, a failure of
     *     the machine may bring its old name back, and its old content has to be there then
     */
    private record Unready(String name, long length, long forcing) {}

    private static final long AT_ONCE = -1;

    private final Disk disk;
    private final Plan plan;
    private final long most;
    private final RandomGenerator random;
    private final JournalClocks times;
    private final ArrayDeque<Segment> full = new ArrayDeque<>();
    private final ArrayDeque<Spare> spares = new ArrayDeque<>();
    private final ArrayDeque<Unready> unready = new ArrayDeque<>();
    /** Files that hold records which may not outlast the machine yet. */
    private final List<Disk.DiskFile> unforced = new ArrayList<>();

    private final boolean forces;
    /** How many forcings have begun. */
    private final LongSupplier forcings;

    private boolean namesChanged;
    /** What the file in use begins with: its header and first record. */
    private byte[] beginning;

    private Segment active;
    private Disk.DiskFile activeFile;
    private long salt;
    private long allocated;
    private long nextSequence = 1;
    private long nextSpare;
    private long asideBytes, unreadyBytes;
    private boolean cannotGrow;

    /** {@code forces}: files are to be forced, so they are kept open until then. */
    SegmentLog(
            Disk disk,
            Plan plan,
            long most,
            RandomGenerator random,
            boolean forces,
            LongSupplier forcings,
            JournalClocks times) {
        this.disk = disk;
        this.plan = plan;
        this.most = most;
        this.random = random;
        this.forces = forces;
        this.forcings = forcings;
        this.times = times;
    }

    // ---- opening ----------------------------------------------------------------------------------------
    /** A segment of an earlier life. In order. */
    void found(Segment s) {
        full.add(s);
        allocated += s.length;
        nextSequence = Math.max(nextSequence, s.sequence + 1);
    }

    /** An empty file of an earlier life: it is made ready again, or given up. */
    void foundSpare(String name) throws IOException {
        nextSpare = Math.max(nextSpare, 1 + number(name));
        long length = disk.length(name);
        allocated += Plan.blocks(length);
        prepareOrKeep(name, length);
    }

    /** A file that was kept aside for people to look at. */
    void foundAside(String name) throws IOException {
        long bytes = Plan.blocks(disk.length(name));
        asideBytes += bytes;
        allocated += bytes;
    }

    private static long number(String spare) {
        try {
            return Long.parseLong(spare.substring(SPARE.length()));
        } catch (NumberFormatException e) {
            return 0;
        }
    }

    // ---- figures ----------------------------------------------------------------------------------------
    Plan.Space space(JournalState state) {
        long free = left();
        for (Spare s : spares) {
            free += s.length() - SegmentFormat.OVERHEAD;
        }
        // What can't grow now has all the room it will get.
        return new Plan.Space(
                (cannotGrow ? allocated : most) - asideBytes - unreadyBytes,
                allocated - asideBytes - unreadyBytes,
                free,
                state.live(),
                state.growth(),
                state.largest(),
                spares.size());
    }

    long allocated() {
        return allocated;
    }

    int files() {
        return full.size() + spares.size() + unready.size() + (active == null ? 0 : 1);
    }

    Segment active() {
        return active;
    }

    Segment oldest() {
        return full.peekFirst();
    }

    /** The sequence number of the newest file that is not in use any more; -1 if there is none. */
    long newest() {
        return full.isEmpty() ? -1 : full.peekLast().sequence;
    }

    /** True if the bytes fit into the file in use. */
    boolean fits(long bytes) {
        return active != null && bytes <= left();
    }

    /** True if a file for so many bytes can be had that leaves at least so many spare ones. */
    boolean canTake(long bytes, int keep) {
        long room = most - allocated;
        int left = spares.size();
        for (Spare s : spares) {
            if (s.length() >= bytes + SegmentFormat.OVERHEAD && spares.size() > keep) {
                return true;
            }
            room += left-- > keep ? s.length() : 0; // it could make way for a longer one
        }
        return room >= plan.lengthFor(bytes);
    }

    /** What the file in use still has room for. */
    long left() {
        return active == null ? 0 : active.length - active.used;
    }

    // ---- writing ----------------------------------------------------------------------------------------
    /** Writes the records behind the others; on a failure the file is cut off before them and not used further. */
    void write(RecordWriter records) throws IOException {
        try {
            activeFile.write(records.withChecksums(salt), active.used);
        } catch (IOException e) {
            cut();
            leaveAfterFailure();
            throw e;
        }
        active.used += records.size();
        active.writtenAt = forcings.getAsLong();
    }

    /** What a failed write left of a record must not pass for one: its consequence has not happened. */
    private void cut() {
        try {
            activeFile.truncate(active.used);
        } catch (IOException e) {
            Logs.warn("journal", "cut-failed", active.name + " could not be cut off: " + e, "segment", active.name);
        }
    }

    /**
     * A file with records stays in the log. An empty one becomes a spare again: it would be emptied only after
     * all files before it, and a disk that fails for some time would use up all spares, with none left to copy
     * what is live to.
     */
    private void leaveAfterFailure() {
        if (active.used > SegmentFormat.OVERHEAD) {
            leave();
            return;
        }
        String name = SPARE + nextSpare++;
        try {
            disk.rename(active.name, name);
        } catch (IOException e) {
            Logs.warn("journal", "rename-failed", active.name + " stays in use: " + e, "segment", active.name);
            return;
        }
        namesChanged = true;
        nextSequence = active.sequence;
        if (forces) {
            unforced.add(activeFile); // it may be under a forcing just now
        } else {
            close(activeFile);
        }
        long length = active.length;
        active = null;
        activeFile = null;
        prepareOrKeep(name, length);
    }

    /** Takes a file into use that has room for so many bytes, and notes in it where the last one ended. */
    void roll(long bytes) throws IOException {
        leave();
        Spare spare = take(bytes);
        long sequence = nextSequence;
        Segment next = new Segment(sequence, Segment.name(sequence), spare.length());
        Disk.DiskFile file = null;
        try {
            long nextSalt = random.nextLong();
            file = disk.open(spare.name());
            ByteBuffer start = beginning(sequence, nextSalt);
            file.write(start.duplicate(), 0);
            disk.rename(spare.name(), next.name);
            namesChanged = true;
            nextSequence++;
            next.used = SegmentFormat.OVERHEAD;
            next.startedAt = forcings.getAsLong();
            next.writtenAt = next.startedAt;
            beginning = start.array();
            active = next;
            activeFile = file;
            salt = nextSalt;
        } catch (IOException e) {
            close(file);
            spares.addLast(spare);
            throw e;
        }
    }

    private ByteBuffer beginning(long sequence, long nextSalt) {
        ByteBuffer all = ByteBuffer.allocate(SegmentFormat.OVERHEAD);
        all.put(SegmentFormat.header(new SegmentFormat.Header(
                SegmentFormat.VERSION, sequence, nextSalt, times.wall().getAsLong(), times.boot())));
        Segment last = full.peekLast();
        RecordWriter first = new RecordWriter();
        RecordEncoder.previous(first, last == null ? 0 : last.sequence, last == null ? 0 : last.used);
        return all.put(first.withChecksums(nextSalt)).flip();
    }

    /** Nothing more goes into the file in use. */
    private void leave() {
        if (active == null) {
            return;
        }
        if (forces) {
            unforced.add(activeFile);
        } else {
            close(activeFile);
        }
        full.add(active);
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
    private Spare take(long bytes) throws IOException {
        long needed = bytes + SegmentFormat.OVERHEAD;
        for (Iterator<Spare> all = spares.iterator(); all.hasNext(); ) {
            Spare spare = all.next();
            if (spare.length() >= needed) {
                all.remove();
                return spare;
            }
        }
        long length = plan.lengthFor(bytes);
        while (allocated + length > most && !spares.isEmpty()) {
            // Spare files that are too short for this one record make way for a longer one.
            Spare shortest = spares.peekFirst();
            disk.delete(shortest.name());
            spares.pollFirst();
            allocated -= Plan.blocks(shortest.length());
        }
        if (allocated + length > most) {
            length = (most - allocated) / SegmentFormat.BLOCK * SegmentFormat.BLOCK;
        }
        if (length < needed) {
            throw new NoRoom();
        }
        if (!grow(length)) {
            throw new NoRoom();
        }
        return spares.pollLast();
    }

    /** No file is left to write to. */
    static final class NoRoom extends IOException {
        private static final long serialVersionUID = 1L;

        NoRoom() {
            super("no room left in the journal's files");
        }
    }

    /** Makes a further spare file; false if the disk gives no room for it. */
    boolean grow(long length) {
        String name = SPARE + nextSpare++;
        cannotGrow = true;
        try (Disk.DiskFile file = disk.open(name)) {
            zero(file, 0, length);
            cannotGrow = false;
        } catch (IOException e) {
            deleteOrKeep(name, length);
            return false;
        }
        namesChanged = true;
        allocated += Plan.blocks(length);
        spares.add(new Spare(name, length));
        return true;
    }

    /** Forgets that the disk gave no room, so that it is asked again. */
    void mayGrowAgain() {
        cannotGrow = false;
    }

    private static void zero(Disk.DiskFile file, long from, long to) throws IOException {
        ByteBuffer zeros = ByteBuffer.allocate((int) Math.min(ZEROS, to - from));
        for (long at = from; at < to; at += zeros.capacity()) {
            file.write(zeros.clear().limit((int) Math.min(zeros.capacity(), to - at)), at);
        }
    }

    /** Deletes a file that could not be filled; where that fails too it counts, and is filled later. */
    private void deleteOrKeep(String name, long length) {
        try {
            disk.delete(name);
        } catch (IOException e) {
            Logs.warn("journal", "delete-failed", name + " could not be deleted: " + e, "segment", name);
            allocated += Plan.blocks(length);
            keepUnready(name, length, AT_ONCE);
        }
    }

    private void keepUnready(String name, long length, long forcing) {
        unready.addLast(new Unready(name, length, forcing));
        unreadyBytes += Plan.blocks(length);
    }

    /** Takes the oldest file, on which nothing rests any more, out of the log. */
    void release(JournalState state) throws IOException {
        Segment s = full.peekFirst();
        assert s.liveRecords == 0 : s.name;
        if (s.damaged && asideBytes + s.length <= most / 8) {
            disk.rename(s.name, DAMAGED + s.name);
            full.pollFirst();
            asideBytes += s.length;
        } else if (s.damaged || s.sequence == Segment.LEGACY || plan.surplus(space(state), s.length)) {
            disk.delete(s.name);
            full.pollFirst();
            allocated -= s.length;
        } else {
            String name = SPARE + nextSpare++;
            disk.rename(s.name, name);
            full.pollFirst();
            if (forces) {
                keepUnready(name, s.length, forcings.getAsLong());
            } else {
                prepareOrKeep(name, s.length);
            }
        }
        namesChanged = true;
    }

    /** Makes a file without content a spare, now or as soon as the disk allows that. */
    private void prepareOrKeep(String name, long length) {
        try {
            prepare(name, length);
        } catch (IOException e) {
            Logs.warn("journal", "not-ready", name + " is made ready later: " + e, "segment", name);
            keepUnready(name, length, AT_ONCE);
        }
    }

    /**
     * Makes spares of files that are not ready yet, up to the first that fails or has to wait.
     *
     * @param covers true if a forcing that began after the given count has ended well
     */
    void prepareUnready(LongPredicate covers) {
        for (Unready first = unready.peekFirst(); first != null; first = unready.peekFirst()) {
            if (first.forcing() != AT_ONCE && !covers.test(first.forcing())) {
                return;
            }
            try {
                prepare(first.name(), first.length());
            } catch (IOException e) {
                return;
            }
            unready.pollFirst();
            unreadyBytes -= Plan.blocks(first.length());
        }
    }

    /** Makes a file without content a spare; one of which little can be written is given up. On a failure as before. */
    private void prepare(String name, long length) throws IOException {
        long good = fillWithZeros(name, length);
        boolean worthIt = good > 2 * SegmentFormat.OVERHEAD;
        if (!worthIt) {
            disk.delete(name);
        }
        allocated -= Plan.blocks(length) - (worthIt ? Plan.blocks(good) : 0);
        if (worthIt) {
            spares.add(new Spare(name, good));
        }
    }

    /** Fills a file with zeros and gives its length then: where only the rest of it fails, it is cut off there. */
    private long fillWithZeros(String name, long length) throws IOException {
        try (Disk.DiskFile file = disk.open(name)) {
            try {
                zero(file, 0, length);
                return length;
            } catch (IOException e) {
                long good = firstThatFails(file, length) / SegmentFormat.BLOCK * SegmentFormat.BLOCK;
                if (good == 0 && length > 0) {
                    throw e; // it is the disk that fails, not this file's end
                }
                file.truncate(good);
                return good;
            }
        }
    }

    private static long firstThatFails(Disk.DiskFile file, long length) {
        long at = 0;
        try {
            for (; at < length; at += SegmentFormat.BLOCK) {
                file.write(ByteBuffer.allocate((int) Math.min(SegmentFormat.BLOCK, length - at)), at);
            }
        } catch (IOException e) {
            return at;
        }
        return length;
    }

    // ---- durability -------------------------------------------------------------------------------------
    /** What must be forced so that all written so far outlasts the machine. */
    record Pending(List<Disk.DiskFile> full, Disk.DiskFile active, boolean names) {}

    /** Hands over what is to be forced; the full files are closed by whoever forces them. */
    Pending pending() {
        Pending p = new Pending(List.copyOf(unforced), activeFile, namesChanged);
        unforced.clear();
        namesChanged = false;
        return p;
    }

    /** Deletes all files that are empty. */
    void giveUpSpares() throws IOException {
        for (Spare s = spares.pollFirst(); s != null; s = spares.pollFirst()) {
            disk.delete(s.name());
            allocated -= Plan.blocks(s.length());
        }
        for (Unready u = unready.pollFirst(); u != null; u = unready.pollFirst()) {
            disk.delete(u.name());
            unreadyBytes -= Plan.blocks(u.length());
            allocated -= Plan.blocks(u.length());
        }
    }

    /**
     * A forcing has failed, and the system may have dropped the beginning of the file in use: it is written again, so
     * that the next forcing has something to write.
     */
    void writeBeginningAgain() {
        namesChanged = true;
        if (active != null) {
            try {
                activeFile.write(ByteBuffer.wrap(beginning), 0);
            } catch (IOException e) {
                leave();
            }
        }
    }

    /** A forcing has failed: what was copied from segments that are empty now may not outlast the machine. */
    void keepEmptySegments() {
        for (Segment s : full) {
            s.emptyAt = -1;
        }
    }

    /** The file in use is not used further. */
    void giveUpActive() {
        leave();
    }

    void close() {
        leave();
        unforced.forEach(SegmentLog::close);
        unforced.clear();
    }
}
