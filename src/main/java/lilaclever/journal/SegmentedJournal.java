package lilaclever.journal;

import java.io.IOException;
import java.util.Collection;
import java.util.concurrent.Executor;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import lilaclever.identity.CompletedMessage;
import lilaclever.journal.Format.Writer;
import lilaclever.log.Logs;
import lilaclever.routing.FinalStatus;
import lilaclever.routing.Journal;
import lilaclever.routing.PendingMessage;
import lilaclever.routing.Submission;

/**
 * The journal: a log of segments that is compacted from its oldest end, one slice a turn, by copying live records
 * forward ({@link Compactor}). While the disk fails, the state in memory may be ahead of the folder. Each change that
 * could not be written is noted, and the then current state of its message is written once the disk accepts records
 * ({@link UnwrittenChanges}).
 */
public final class SegmentedJournal implements Journal {
    /** How long to wait after a failed allocation before the next one. */
    private static final long ASK_AGAIN = 1_000_000;

    private static final int EXPIRE_A_TURN = 256;

    private final Disk disk;
    private final Plan plan;
    private final SegmentLog log;
    private final JournalState state = new JournalState();
    private final Syncer syncer;
    private final LongSupplier micros;
    private final Writer writer = new Writer();
    private final Recovery.Report recovered;
    private final LogAppender appender;
    private final Compactor compactor;
    private final UnwrittenChanges unwritten;
    /** After a disk failure: when to retry allocation, the release of segments, and zero-filling. */
    private long askAgainAt, releaseAgainAt, prepareAgainAt;

    /**
     * Opens the journal in the folder and recovers the state that an earlier run left.
     *
     * @param mostBytes quota for all its files together, each counted in whole blocks of 512 bytes
     * @param random source of the salts
     */
    public SegmentedJournal(
            Disk disk, long mostBytes, Durability durability, JournalClocks times, RandomGenerator random)
            throws IOException {
        this.disk = disk;
        micros = times.micros();
        plan = new Plan(mostBytes);
        syncer = new Syncer(durability, disk, new ForcingListener());
        log = new SegmentLog(disk, plan, mostBytes, random, syncer.forces(), syncer::begun, times);
        appender = new LogAppender(log, plan, state, syncer, micros);
        compactor = new Compactor(log, plan, state, syncer, appender);
        unwritten = new UnwrittenChanges(state, log, writer, syncer.forces(), this::appendUnwritten);
        Recovery recovery = new Recovery(disk, state, times.boot(), line -> Logs.warn("journal", "recovery", line));
        recovered = recovery.scan();
        recovery.settle(log);
        compactor.carryOver(recovered.cleanUpTo());
    }

    /** Copies all live records into as few files as possible and deletes the others. For a stopped program. */
    void compactAll() throws IOException {
        compactor.compactAll();
    }

    // Records

    @Override
    public boolean taken(String front, Submission submission, long deadlineWall, long nowWall) {
        if (unwritten.isRewriting()) {
            return false; // it could not be made durable
        }
        PendingMessage owed = new PendingMessage(front, submission, deadlineWall);
        RecordEncoder.taken(writer.clear(), owed);
        int size = writer.size();
        if (size > Format.LARGEST || !appender.hasRoom(size, JournalState.growth(submission)) || !append()) {
            return false;
        }
        state.taken(owed, log.active(), size);
        unwritten.messageWritten(submission.id());
        return true;
    }

    @Override
    public boolean attempt(String id, String host, int zone, long wall) {
        // An earlier change is still unwritten. Behind it, this record would hide when the message may first have run.
        if (!unwritten.writeMessage(id)) {
            return false;
        }
        RecordEncoder.attempt(writer.clear(), id, host, zone, wall);
        if (!append()) {
            return false;
        }
        unwritten.messageWritten(id);
        JournalState.Slot<PendingMessage> slot = state.owed.get(id);
        if (slot != null) {
            slot.value.attempt(host, zone, wall);
        }
        return true;
    }

    @Override
    public void outcome(String id, boolean neverRan) {
        JournalState.Slot<PendingMessage> slot = state.owed.get(id);
        if (slot != null) {
            slot.value.outcome(neverRan);
            RecordEncoder.outcome(writer.clear(), id, neverRan);
            appendOrKeep(id);
        }
    }

    @Override
    public void verdict(String id, FinalStatus verdict) {
        JournalState.Slot<PendingMessage> slot = state.owed.get(id);
        if (slot != null) {
            slot.value.verdict(verdict);
            RecordEncoder.verdict(writer.clear(), id, verdict);
            appendOrKeep(id);
        }
    }

    @Override
    public void ended(String id) {
        if (state.owed.containsKey(id)) {
            state.drop(id);
            RecordEncoder.ended(writer.clear(), id);
            appendOrKeep(id);
        }
    }

    @Override
    public boolean joined(String id, String front, String claim) {
        JournalState.Slot<PendingMessage> slot = state.owed.get(id);
        if (slot == null) {
            return false;
        }
        PendingMessage.Claim joins = new PendingMessage.Claim(front, claim);
        RecordEncoder.joined(writer.clear(), id, joins);
        if (unwritten.hasMessage(id) || !appender.hasRoom(writer.size(), JournalState.growth(joins)) || !append()) {
            return false;
        }
        state.join(slot.value, joins);
        unwritten.messageWritten(id);
        return true;
    }

    @Override
    public void remember(String identity, CompletedMessage<FinalStatus> past) {
        RecordEncoder.remembered(writer.clear(), identity, past);
        int size = writer.size();
        if (append()) {
            state.put(identity, past, log.active(), size);
            unwritten.rememberedWritten(identity);
        } else {
            state.put(identity, past, null, 0);
            unwritten.addRemembered(identity);
        }
    }

    @Override
    public void forgetSoonest() {
        state.forgetSoonest();
    }

    @Override
    public CompletedMessage<FinalStatus> remembered(String identity) {
        JournalState.Slot<CompletedMessage<FinalStatus>> slot = state.remembered.get(identity);
        return slot == null ? null : slot.value;
    }

    @Override
    public Collection<PendingMessage> owed() {
        return state.messages();
    }

    @Override
    public int rememberedCount() {
        return state.remembered.size();
    }

    // Writing

    private void appendOrKeep(String id) {
        if (unwritten.hasMessage(id) || !append()) {
            unwritten.addMessage(id); // an earlier change is unwritten, so only a snapshot makes sense
        } else {
            unwritten.messageWritten(id);
        }
    }

    private boolean append() {
        return appender.append(writer, compactor);
    }

    /** Rewriting after a failed sync may use all space, since segments are released only after a successful sync. */
    private boolean appendUnwritten(Writer records) {
        return unwritten.isRewriting() ? appender.appendCopies(records) : appender.append(records, compactor);
    }

    @Override
    public void tidy(long nowWall) {
        long now = micros.getAsLong();
        if (now >= askAgainAt) {
            askAgainAt = now + ASK_AGAIN;
            log.mayGrowAgain();
        }
        if (now >= prepareAgainAt || syncer.forces()) {
            prepareAgainAt = now + Plan.PAUSE;
            log.prepareUnready(
                    syncer::coversAfter); // even if records can't be written: they may wait for these files
        }
        unwritten.write();
        state.expire(nowWall, EXPIRE_A_TURN);
        if (!appender.isPausedAt(now)) {
            compact(now);
            if (log.active() != null && plan.wantsSpare(log.space(state))) { // none before the first record
                log.grow(plan.segment());
            }
        }
        if (syncer.isTrying() || !unwritten.isRewriting()) {
            syncer.turn(now, log); // else a good sync would count in place of the failed one
        }
    }

    /** Runs a slice of compaction. A segment that can't be released is retried later; records are written meanwhile. */
    private void compact(long now) {
        if (now < releaseAgainAt || unwritten.isRewriting()) {
            return;
        }
        try {
            compactor.runSlice();
        } catch (IOException e) {
            releaseAgainAt = now + Plan.PAUSE;
            Logs.warn("journal", "release-failed", "an empty segment could not be released, tried again later: " + e);
        }
    }

    private final class ForcingListener implements Syncer.Listener {
        @Override
        public void begun() {
            unwritten.forcingBegun();
        }

        @Override
        public void succeeded() {
            unwritten.forcingSucceeded();
        }

        @Override
        public void failed() {
            log.giveUpActive();
            log.keepEmptySegments();
            unwritten.addUnforced(syncer.lastGood());
        }

        @Override
        public void failedAgain() {
            log.keepEmptySegments();
            unwritten.waitForDisk();
        }

        @Override
        public void trying() {
            log.writeBeginningAgain();
        }

        @Override
        public void worksAgain() {
            log.writeBeginningAgain();
            unwritten.addUnforced(syncer.lastGood());
        }
    }

    // Durability

    /**
     * Sets the executor of the event loop for tasks of other threads. Must be called before the loop writes anything.
     */
    @Override
    public void attach(Executor loop) {
        syncer.attach(loop);
    }

    @Override
    public void whenDurable(Runnable consequence) {
        syncer.whenDurable(consequence);
    }

    // Figures

    /** The results of recovery. */
    public Recovery.Report recovered() {
        return recovered;
    }

    /** The size of all files in whole blocks. */
    public long allocated() {
        return log.allocated();
    }

    /** The number of files. */
    public int files() {
        return log.files();
    }

    /** The number of bytes that compaction has copied so far. */
    public long copied() {
        return compactor.copied();
    }

    /** The number of writes and syncs that failed. */
    public long failures() {
        return appender.failures() + syncer.failures();
    }

    /** True while a sync is in progress. */
    boolean isForcing() {
        return syncer.isRunning();
    }

    /** The number of changes in memory that are not written yet. */
    public int unwritten() {
        return unwritten.count();
    }

    @Override
    public void close() throws IOException {
        syncer.close();
        appender.endPause();
        unwritten.write();
        try {
            syncer.forceNow(log);
        } finally {
            log.close();
            disk.close();
        }
    }
}
