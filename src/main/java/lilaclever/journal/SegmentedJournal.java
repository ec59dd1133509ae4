package lilaclever.journal;

import java.io.IOException;
import java.util.AbstractCollection;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Executor;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import lilaclever.identity.Past;
import lilaclever.journal.Format.Writer;
import lilaclever.log.Logs;
import lilaclever.routing.Handin;
import lilaclever.routing.Journal;
import lilaclever.routing.Owed;
import lilaclever.routing.Verdict;

/**
 * The journal: a log of segments that is emptied from its oldest end, a slice a turn, by copying forward what is live.
 * What it says in memory and what the folder says may differ while a disk fails; each record that could not be written
 * is kept in mind and written, as the state of its message then, once the disk takes it.
 */
public final class SegmentedJournal implements Journal {
    /** Files may be asked for again after so long without room, microseconds. */
    private static final long ASK_AGAIN = 1_000_000;

    private static final int EXPIRE_A_TURN = 256;

    private final Disk disk;
    private final Plan plan;
    private final SegmentLog log;
    private final Held held = new Held();
    private final Syncer syncer;
    private final LongSupplier micros;
    private final Writer writer = new Writer();
    private final Writer copies = new Writer();
    private final Recovery.Report recovered;
    /** Messages and remembered ends whose last change could not be written. */
    private final Set<String> unwritten = new LinkedHashSet<>(), unwrittenEnds = new LinkedHashSet<>();

    private boolean failing;
    private long retryAt, askAgainAt;
    private long copied, failures;

    /**
     * Opens the journal in the folder and reads what an earlier life left.
     *
     * @param mostBytes what all its files may take together, each in whole blocks of 512 bytes
     * @param random where salts come from
     */
    public SegmentedJournal(Disk disk, long mostBytes, Durability durability, Times times, RandomGenerator random)
            throws IOException {
        this.disk = disk;
        micros = times.micros();
        plan = new Plan(mostBytes);
        syncer = new Syncer(durability, disk, this::writeAllAgain);
        log = new SegmentLog(disk, plan, mostBytes, random, syncer.forces(), times);
        Recovery recovery = new Recovery(disk, held, times.boot(), line -> Logs.warn("journal", "recovery", line));
        recovered = recovery.scan();
        recovery.settle(log);
        carryOver(recovered.cleanUpTo());
    }

    /** What has no place in the log any more, damaged files and one of the first format, is left behind for good. */
    private void carryOver(long upTo) throws IOException {
        while (log.oldest() != null && log.oldest().sequence <= upTo) {
            if (!copy(Long.MAX_VALUE)) {
                throw new JournalException("no room to carry over " + log.oldest().name);
            }
            if (log.oldest().liveRecords == 0) {
                forceNow();
                log.release(held);
            }
        }
    }

    /** Copies all that is live into as few files as hold it, and gives up the others. For a program that is stopped. */
    void compactAll() throws IOException {
        log.giveUpActive();
        long last = log.newest();
        while (log.oldest() != null && log.oldest().sequence <= last) {
            if (!copy(Long.MAX_VALUE)) {
                throw new JournalException("no room to copy " + log.oldest().name);
            }
            forceNow();
            log.release(held);
        }
        log.giveUpSpares();
    }

    // ---- records ----------------------------------------------------------------------------------------
    @Override
    public boolean taken(String front, Handin handin, long deadlineWall, long nowWall) {
        Owed owed = new Owed(front, handin, deadlineWall);
        Held.taken(writer.clear(), owed);
        int size = writer.size();
        if (size > Format.LARGEST || !hasRoom(size, Held.growth(handin)) || !append()) {
            return false;
        }
        held.taken(owed, log.active(), size);
        return true;
    }

    @Override
    public boolean attempt(String id, String host, int zone, long wall) {
        Held.attempt(writer.clear(), id, host, zone, wall);
        if (!append()) {
            return false;
        }
        Held.Slot<Owed> slot = held.owed.get(id);
        if (slot != null) {
            slot.value.attempt(host, zone, wall);
        }
        return true;
    }

    @Override
    public void outcome(String id, boolean neverRan) {
        Held.Slot<Owed> slot = held.owed.get(id);
        if (slot != null) {
            slot.value.outcome(neverRan);
            Held.outcome(writer.clear(), id, neverRan);
            appendOrKeep(id);
        }
    }

    @Override
    public void verdict(String id, Verdict verdict) {
        Held.Slot<Owed> slot = held.owed.get(id);
        if (slot != null) {
            slot.value.verdict(verdict);
            Held.verdict(writer.clear(), id, verdict);
            appendOrKeep(id);
        }
    }

    @Override
    public void ended(String id) {
        if (held.owed.containsKey(id)) {
            held.drop(id);
            Held.ended(writer.clear(), id);
            appendOrKeep(id);
        }
    }

    @Override
    public boolean joined(String id, String front, String claim) {
        Held.Slot<Owed> slot = held.owed.get(id);
        if (slot == null) {
            return false;
        }
        Owed.Claim joins = new Owed.Claim(front, claim);
        Held.joined(writer.clear(), id, joins);
        if (unwritten.contains(id) || !hasRoom(writer.size(), Held.growth(joins)) || !append()) {
            return false;
        }
        held.join(slot.value, joins);
        return true;
    }

    @Override
    public void remember(String identity, Past<Verdict> past) {
        Held.remembered(writer.clear(), identity, past);
        int size = writer.size();
        if (append()) {
            held.put(identity, past, log.active(), size);
        } else {
            held.put(identity, past, null, 0);
            unwrittenEnds.add(identity);
        }
    }

    @Override
    public void forgetSoonest() {
        held.forgetSoonest();
    }

    @Override
    public Past<Verdict> remembered(String identity) {
        Held.Slot<Past<Verdict>> slot = held.remembered.get(identity);
        return slot == null ? null : slot.value;
    }

    @Override
    public Collection<Owed> owed() {
        return new AbstractCollection<>() {
            @Override
            public Iterator<Owed> iterator() {
                Iterator<Held.Slot<Owed>> slots = held.owed.values().iterator();
                return new Iterator<>() {
                    @Override
                    public boolean hasNext() {
                        return slots.hasNext();
                    }

                    @Override
                    public Owed next() {
                        return slots.next().value;
                    }
                };
            }

            @Override
            public int size() {
                return held.owed.size();
            }
        };
    }

    @Override
    public int rememberedCount() {
        return held.remembered.size();
    }

    // ---- writing ----------------------------------------------------------------------------------------
    private void appendOrKeep(String id) {
        if (!unwritten.isEmpty() && unwritten.contains(id) || !append()) {
            unwritten.add(id); // an earlier change of it is not written: only its whole state makes sense
        }
    }

    private boolean append() {
        return append(writer, false);
    }

    /** Writes the records behind all others, in a further file if one fails; false if none takes them. */
    private boolean append(Writer records, boolean copying) {
        if (failing && micros.getAsLong() < retryAt) {
            return false;
        }
        IOException last = null;
        for (int tries = log.files() + 2; tries > 0; tries--) {
            try {
                if (!log.fits(records.size()) && !copying) {
                    makeRoom(records.size());
                }
                if (!log.fits(records.size())) {
                    if (!copying && !log.canTake(records.size(), Plan.FOR_COPIES)) {
                        throw new SegmentLog.NoRoom();
                    }
                    log.roll(records.size());
                }
                log.write(records);
                syncer.wrote();
                if (failing) {
                    failing = false;
                    Logs.info("journal", "disk-good", "the disk takes records again");
                }
                return true;
            } catch (SegmentLog.NoRoom e) {
                last = e;
                break;
            } catch (IOException e) {
                last = e;
            }
        }
        failed(last);
        return false;
    }

    private void failed(IOException e) {
        failures++;
        retryAt = micros.getAsLong() + Plan.PAUSE;
        if (!failing) {
            failing = true;
            Logs.error(
                    "journal",
                    "disk-bad",
                    "the disk takes no records, asked again every " + Plan.PAUSE / 1000 + " ms: " + e);
        }
    }

    private boolean hasRoom(long record, long growth) {
        if (failing && micros.getAsLong() < retryAt) {
            return false;
        }
        while (!plan.hasRoom(log.space(held), record, growth)) {
            if (plan.growth(log.space(held), record) == 0 || !log.grow(plan.lengthFor(record))) {
                return false;
            }
        }
        return true;
    }

    // ---- emptying ---------------------------------------------------------------------------------------
    /** Empties files where that can't wait for the turn's slice. */
    private void makeRoom(long bytes) throws IOException {
        int wanted = plan.forced(log.space(held));
        for (int n = log.files(); n > 0 && log.oldest() != null; n--) {
            if (wanted-- <= 0 && log.canTake(bytes, Plan.FOR_COPIES) || !copy(Long.MAX_VALUE) || !releaseEmpty()) {
                return;
            }
        }
    }

    /** Copies live records of the oldest file forward, so many bytes of them; false if they could not be written. */
    private boolean copy(long most) {
        Segment from = log.oldest();
        return copy(held.owed, from, most, (out, id, o) -> Held.snapshot(out, o))
                && copy(held.remembered, from, most, Held::remembered);
    }

    private interface Snapshot<T> {
        void write(Writer out, String key, T value);
    }

    private <T> boolean copy(Map<String, Held.Slot<T>> map, Segment from, long most, Snapshot<T> how) {
        long left = most;
        while (left > 0) {
            List<String> keys = new ArrayList<>();
            List<Integer> sizes = new ArrayList<>();
            copies.clear();
            for (Map.Entry<String, Held.Slot<T>> e : map.entrySet()) {
                Held.Slot<T> slot = e.getValue();
                if (slot.base != from || copies.size() >= left) {
                    break;
                }
                int before = copies.size();
                how.write(copies, e.getKey(), slot.value);
                if (!keys.isEmpty() && copies.size() > log.left()) {
                    copies.cut(before); // it goes into the next file, and none of this one's room is lost to a batch
                    break;
                }
                keys.add(e.getKey());
                sizes.add(copies.size() - before);
            }
            if (keys.isEmpty()) {
                return true;
            }
            if (!append(copies, true)) {
                return false;
            }
            for (int i = 0; i < keys.size(); i++) {
                held.moved(map, keys.get(i), log.active(), sizes.get(i));
            }
            copied += copies.size();
            left -= copies.size();
        }
        return true;
    }

    /** Takes files out of the log on which nothing rests any more; true if there was one. */
    private boolean releaseEmpty() throws IOException {
        boolean any = false;
        for (Segment s = log.oldest(); s != null && s.liveRecords == 0; s = log.oldest()) {
            if (s.emptyAt < 0) {
                s.emptyAt = syncer.begun();
            }
            if (!syncer.coversAfter(s.emptyAt)) {
                break; // its records' copies might not outlast the machine yet
            }
            log.release(held);
            any = true;
        }
        return any;
    }

    @Override
    public void tidy(long nowWall) {
        long now = micros.getAsLong();
        if (now >= askAgainAt) {
            askAgainAt = now + ASK_AGAIN;
            log.mayGrowAgain();
        }
        writeLate();
        held.expire(nowWall, EXPIRE_A_TURN);
        if (!failing || now >= retryAt) {
            try {
                releaseEmpty();
                long slice = plan.slice(log.space(held));
                if (slice > 0 && log.oldest() != null) {
                    copy(slice);
                    releaseEmpty();
                }
            } catch (IOException e) {
                failed(e);
            }
            if (log.active() != null && plan.wantsSpare(log.space(held))) { // nothing before the first record
                log.grow(plan.segment());
            }
        }
        syncer.turn(now, log);
    }

    // ---- what a failing disk has left -------------------------------------------------------------------
    /** Writes what could not be written at its time, as the state is now. */
    private void writeLate() {
        while (!unwritten.isEmpty()) {
            String id = unwritten.iterator().next();
            Held.Slot<Owed> slot = held.owed.get(id);
            if (slot == null) {
                Held.ended(writer.clear(), id);
            } else {
                Held.snapshot(writer.clear(), slot.value);
            }
            int size = writer.size();
            if (!append()) {
                return;
            }
            if (slot != null) {
                held.moved(held.owed, id, log.active(), size);
            }
            unwritten.remove(id);
        }
        while (!unwrittenEnds.isEmpty()) {
            String identity = unwrittenEnds.iterator().next();
            Held.Slot<Past<Verdict>> slot = held.remembered.get(identity);
            if (slot != null) {
                Held.remembered(writer.clear(), identity, slot.value);
                int size = writer.size();
                if (!append()) {
                    return;
                }
                held.moved(held.remembered, identity, log.active(), size);
            }
            unwrittenEnds.remove(identity);
        }
    }

    /** A forcing has failed: nothing since the last good one can be relied on. */
    private void writeAllAgain() {
        log.giveUpActive();
        unwritten.addAll(held.owed.keySet());
        unwrittenEnds.addAll(held.remembered.keySet());
    }

    // ---- durability -------------------------------------------------------------------------------------
    /** Where the loop takes tasks from other threads; before anything is written by the loop. */
    @Override
    public void attach(Executor loop) {
        syncer.attach(loop);
    }

    @Override
    public void whenDurable(Runnable consequence) {
        syncer.whenDurable(consequence);
    }

    private void forceNow() throws IOException {
        if (syncer.forces()) {
            IOException failure = Syncer.force(disk, log.pending());
            if (failure != null) {
                throw failure;
            }
        }
    }

    // ---- figures ----------------------------------------------------------------------------------------
    /** What the opening found. */
    public Recovery.Report recovered() {
        return recovered;
    }

    /** Bytes that the files take, in whole blocks. */
    public long allocated() {
        return log.allocated();
    }

    /** Files. */
    public int files() {
        return log.files();
    }

    /** Bytes copied forward so far. */
    public long copied() {
        return copied;
    }

    /** Writes that no file took. */
    public long failures() {
        return failures + syncer.failures();
    }

    /** Changes that are known in memory and not yet written. */
    public int unwritten() {
        return unwritten.size() + unwrittenEnds.size();
    }

    @Override
    public void close() throws IOException {
        syncer.close();
        retryAt = Long.MIN_VALUE;
        writeLate();
        try {
            forceNow();
        } finally {
            log.close();
            disk.close();
        }
    }
}
