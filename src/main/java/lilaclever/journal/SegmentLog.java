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
import lilaclever.journal.Format.Writer;
import lilaclever.log.Logs;

/**
 * The files of the log: full segments in order, the active one, and preallocated ones. A file is filled with zeros
 * before use, so that others can't take space that was promised, and is renamed when its role changes, so that a kill
 * at any moment leaves each file in exactly one role.
 */
final class SegmentLog {
    static final String SPARE = "spare-", DAMAGED = "damaged-";
    private static final int ZEROS = 64 * 1024;

    /** A zero-filled file, ready for use. */
    private record Spare(String name, long length) {}

    /**
     * A file without live content that is not filled with zeros yet.
     *
     * @param forcing number of syncs started when the file got its name: until a later sync has succeeded, a machine
     *     failure may restore its old name, and its old content must still be there then
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
    /** Open files of full segments whose records may not be durable yet. */
    private final List<Disk.DiskFile> unforced = new ArrayList<>();

    private final boolean forces;
    /** Number of syncs started so far. */
    private final LongSupplier forcings;

    private boolean namesChanged;
    /** The start of the active segment: its header and first record. */
    private byte[] beginning;

    private Segment active;
    private Disk.DiskFile activeFile;
    private long salt;
    private long allocated;
    private long nextSequence = 1;
    private long nextSpare;
    private long asideBytes, unreadyBytes;
    private boolean cannotGrow;

    /** {@code forces}: files are synced, so they stay open until then. */
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

    // Opening

    /** Adds a segment of an earlier run; called in order of sequence numbers. */
    void found(Segment s) {
        full.add(s);
        allocated += s.length;
        nextSequence = Math.max(nextSequence, s.sequence + 1);
    }

    /** Adds a preallocated file of an earlier run: it is filled with zeros again, or deleted. */
    void foundSpare(String name) throws IOException {
        nextSpare = Math.max(nextSpare, 1 + number(name));
        long length = disk.length(name);
        allocated += Plan.blocks(length);
        prepareOrKeep(name, length);
    }

    /** Counts a damaged file that was kept for inspection by an operator. */
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

    // Sizes

    Plan.Space space(JournalState state) {
        long free = left();
        for (Spare s : spares) {
            free += s.length() - Format.OVERHEAD;
        }
        // If allocation failed, the files have all the space they will get.
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

    /** The sequence number of the newest full segment; -1 if there is none. */
    long newest() {
        return full.isEmpty() ? -1 : full.peekLast().sequence;
    }

    /** True if this number of bytes fits into the active segment. */
    boolean fits(long bytes) {
        return active != null && bytes <= left();
    }

    /**
     * True if a segment for this number of bytes can be provided that leaves at least {@code keep} preallocated ones.
     */
    boolean canTake(long bytes, int keep) {
        long room = most - allocated;
        int left = spares.size();
        for (Spare s : spares) {
            if (s.length() >= bytes + Format.OVERHEAD && spares.size() > keep) {
                return true;
            }
            room += left-- > keep ? s.length() : 0; // could be deleted to allocate a longer one
        }
        return room >= plan.lengthFor(bytes);
    }

    /** Space left in the active segment, in bytes. */
    long left() {
        return active == null ? 0 : active.length - active.used;
    }

    // Writing

    /**
     * Appends the records to the active segment. On failure the segment is truncated to its previous end and not
     * written to any more.
     */
    void write(Writer records) throws IOException {
        try {
            activeFile.write(records.sealed(salt), active.used);
        } catch (IOException e) {
            cut();
            leaveAfterFailure();
            throw e;
        }
        active.used += records.size();
        active.writtenAt = forcings.getAsLong();
    }

    /**
     * Removes a partly written record, which must not be read as a complete one: what it announces has not happened.
     */
    private void cut() {
        try {
            activeFile.truncate(active.used);
        } catch (IOException e) {
            Logs.warn("journal", "cut-failed", active.name + " could not be truncated: " + e, "segment", active.name);
        }
    }

    /**
     * A segment with records stays in the log. An empty one becomes a preallocated one again: it could be released only
     * after all segments before it, and a disk that fails for some time would use up all preallocated segments, so that
     * none would be left for copying live records.
     */
    private void leaveAfterFailure() {
        if (active.used > Format.OVERHEAD) {
            leave();
            return;
        }
        String name = SPARE + nextSpare++;
        try {
            disk.rename(active.name, name);
        } catch (IOException e) {
            Logs.warn("journal", "rename-failed", active.name + " could not be renamed: " + e, "segment", active.name);
            return;
        }
        namesChanged = true;
        nextSequence = active.sequence;
        if (forces) {
            unforced.add(activeFile); // a sync of it may be in progress
        } else {
            close(activeFile);
        }
        long length = active.length;
        active = null;
        activeFile = null;
        prepareOrKeep(name, length);
    }

    /**
     * Puts a segment into use that has space for this number of bytes, and notes in it where the previous one ended.
     */
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
            next.used = Format.OVERHEAD;
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
        ByteBuffer all = ByteBuffer.allocate(Format.OVERHEAD);
        all.put(Format.header(new Format.Header(
                Format.VERSION, sequence, nextSalt, times.wall().getAsLong(), times.boot())));
        Segment last = full.peekLast();
        Writer first = new Writer();
        RecordEncoder.previous(first, last == null ? 0 : last.sequence, last == null ? 0 : last.used);
        return all.put(first.sealed(nextSalt)).flip();
    }

    /** Closes the active segment for writing. */
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
                Logs.warn("journal", "close-failed", "a file could not be closed: " + e);
            }
        }
    }

    // Allocation and release

    private Spare take(long bytes) throws IOException {
        long needed = bytes + Format.OVERHEAD;
        for (Iterator<Spare> all = spares.iterator(); all.hasNext(); ) {
            Spare spare = all.next();
            if (spare.length() >= needed) {
                all.remove();
                return spare;
            }
        }
        long length = plan.lengthFor(bytes);
        while (allocated + length > most && !spares.isEmpty()) {
            // Files too short for this record are deleted to allocate a longer one.
            Spare shortest = spares.peekFirst();
            disk.delete(shortest.name());
            spares.pollFirst();
            allocated -= Plan.blocks(shortest.length());
        }
        if (allocated + length > most) {
            length = (most - allocated) / Format.BLOCK * Format.BLOCK;
        }
        if (length < needed) {
            throw new NoRoom();
        }
        if (!grow(length)) {
            throw new NoRoom();
        }
        return spares.pollLast();
    }

    /** Thrown if no segment has space for a record. */
    static final class NoRoom extends IOException {
        private static final long serialVersionUID = 1L;

        NoRoom() {
            super("no space left in the journal's files");
        }
    }

    /** Preallocates a further segment; false if the disk has no space for it. */
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

    /** Resets the note that the disk has no space, so that allocation is tried again. */
    void mayGrowAgain() {
        cannotGrow = false;
    }

    private static void zero(Disk.DiskFile file, long from, long to) throws IOException {
        ByteBuffer zeros = ByteBuffer.allocate((int) Math.min(ZEROS, to - from));
        for (long at = from; at < to; at += zeros.capacity()) {
            file.write(zeros.clear().limit((int) Math.min(zeros.capacity(), to - at)), at);
        }
    }

    /** Deletes a file that could not be filled; if that fails too, the file is counted and filled later. */
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

    /** Removes the oldest segment, which has no live records, from the log. */
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

    /** Turns a file without live content into a preallocated segment, now or as soon as the disk allows it. */
    private void prepareOrKeep(String name, long length) {
        try {
            prepare(name, length);
        } catch (IOException e) {
            Logs.warn("journal", "not-ready", name + " could not be filled with zeros, tried again later: " + e, "segment", name);
            keepUnready(name, length, AT_ONCE);
        }
    }

    /**
     * Fills deferred files with zeros, up to the first one that fails or has to wait.
     *
     * @param covers true if a sync that started after the given count has succeeded
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

    /**
     * Fills a file with zeros and adds it to the preallocated segments, or deletes it if only little of it can be
     * written. On failure nothing changes.
     */
    private void prepare(String name, long length) throws IOException {
        long good = fillWithZeros(name, length);
        boolean worthIt = good > 2 * Format.OVERHEAD;
        if (!worthIt) {
            disk.delete(name);
        }
        allocated -= Plan.blocks(length) - (worthIt ? Plan.blocks(good) : 0);
        if (worthIt) {
            spares.add(new Spare(name, good));
        }
    }

    /**
     * Fills a file with zeros and returns its length. If only the rest of it can't be written, it is truncated there.
     */
    private long fillWithZeros(String name, long length) throws IOException {
        try (Disk.DiskFile file = disk.open(name)) {
            try {
                zero(file, 0, length);
                return length;
            } catch (IOException e) {
                long good = firstThatFails(file, length) / Format.BLOCK * Format.BLOCK;
                if (good == 0 && length > 0) {
                    throw e; // the disk fails, not just the end of this file
                }
                file.truncate(good);
                return good;
            }
        }
    }

    private static long firstThatFails(Disk.DiskFile file, long length) {
        long at = 0;
        try {
            for (; at < length; at += Format.BLOCK) {
                file.write(ByteBuffer.allocate((int) Math.min(Format.BLOCK, length - at)), at);
            }
        } catch (IOException e) {
            return at;
        }
        return length;
    }

    // Durability

    /** What must be synced to make everything written so far durable. */
    record Pending(List<Disk.DiskFile> full, Disk.DiskFile active, boolean names) {}

    /** Hands over what is to be synced; whoever syncs the full segments closes them. */
    Pending pending() {
        Pending p = new Pending(List.copyOf(unforced), activeFile, namesChanged);
        unforced.clear();
        namesChanged = false;
        return p;
    }

    /** Deletes all files without content. */
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
     * After a failed sync the system may have dropped the start of the active segment. It is written again, so that the
     * next sync has something to write.
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

    /** After a failed sync, copies of records from empty segments may not be durable. */
    void keepEmptySegments() {
        for (Segment s : full) {
            s.emptyAt = -1;
        }
    }

    /** Stops writing to the active segment. */
    void giveUpActive() {
        leave();
    }

    void close() {
        leave();
        unforced.forEach(SegmentLog::close);
        unforced.clear();
    }
}
