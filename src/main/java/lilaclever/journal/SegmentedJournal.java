package lilaclever.journal;

import java.io.IOException;
import java.util.Collection;
import java.util.concurrent.Executor;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import lilaclever.identity.CompletedMessage;
import lilaclever.journal.SegmentFormat.RecordWriter;
import lilaclever.log.Logs;
import lilaclever.routing.FinalStatus;
import lilaclever.routing.Journal;
import lilaclever.routing.PendingMessage;
import lilaclever.routing.Submission;

/**
 * The journal: a log of segments that is emptied from its oldest end, a slice a turn, by copying forward what is live
 * ({@link Compactor}). What it says in memory and what the folder says may differ while a disk fails; each record that
 * could not be written is kept in mind and written, as the state of its message then, once the disk takes it ({@link
 * UnwrittenChanges}).
 */
public final class SegmentedJournal implements Journal {
    /** Files may be asked for again after so long without room, microseconds. */
    private static final long ASK_AGAIN = 1_000_000;

    private static final int EXPIRE_A_TURN = 256;

    private final Disk disk;
    private final Plan plan;
    private final SegmentLog log;
    private final JournalState state = new JournalState();
    private final Syncer syncer;
    private final LongSupplier micros;
    private final RecordWriter writer = new RecordWriter();
    private final Recovery.Report recovered;
    private final LogAppender appender;
    private final Compactor compactor;
    private final UnwrittenChanges unwritten;
    /** After the disk failed: when files are asked for, segments released and spare files made ready again. */
    private long askAgainAt, releaseAgainAt, prepareAgainAt;

    /**
     * Opens the journal in the folder and reads what an earlier life left.
     *
     * @param mostBytes what all its files may take together, each in whole blocks of 512 bytes
     * @param random where salts come from
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

    /** Copies all that is live into as few files as hold it, and gives up the others. For a program that is stopped. */
    void compactAll() throws IOException {
        compactor.compactAll();
    }

    // ---- records ----------------------------------------------------------------------------------------
    @Override
    public boolean recordAccepted(String front, Submission submission, long deadlineWall, long nowWall) {
        if (unwritten.isRewriting()) {
            return false; // it could not be promised to outlast the machine
        }
        PendingMessage owed = new PendingMessage(front, submission, deadlineWall);
        RecordEncoder.accepted(writer.clear(), owed);
        int size = writer.size();
        if (size > SegmentFormat.LARGEST || !appender.hasRoom(size, JournalState.growth(submission)) || !append()) {
            return false;
        }
        state.taken(owed, log.active(), size);
        unwritten.messageWritten(submission.id());
        return true;
    }

    @Override
    public boolean recordAttempt(String id, String host, int zone, long wall) {
        // Behind an earlier change that is not written this record would hide when the message may first have run.
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
            slot.value.attemptStarted(host, zone, wall);
        }
        return true;
    }

    @Override
    public void recordOutcome(String id, boolean neverRan) {
        JournalState.Slot<PendingMessage> slot = state.owed.get(id);
        if (slot != null) {
            slot.value.attemptEnded(neverRan);
            RecordEncoder.outcome(writer.clear(), id, neverRan);
            appendOrKeep(id);
        }
    }

    @Override
    public void recordFinalStatus(String id, FinalStatus verdict) {
        JournalState.Slot<PendingMessage> slot = state.owed.get(id);
        if (slot != null) {
            slot.value.setFinalStatus(verdict);
            RecordEncoder.verdict(writer.clear(), id, verdict);
            appendOrKeep(id);
        }
    }

    @Override
    public void recordSettled(String id) {
        if (state.owed.containsKey(id)) {
            state.drop(id);
            RecordEncoder.ended(writer.clear(), id);
            appendOrKeep(id);
        }
    }

    @Override
    public boolean recordAttached(String id, String front, String claim) {
        JournalState.Slot<PendingMessage> slot = state.owed.get(id);
        if (slot == null) {
            return false;
        }
        PendingMessage.Submitter joins = new PendingMessage.Submitter(front, claim);
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
    public void forgetSoonestExpiring() {
        state.forgetSoonest();
    }

    @Override
    public CompletedMessage<FinalStatus> remembered(String identity) {
        JournalState.Slot<CompletedMessage<FinalStatus>> slot = state.remembered.get(identity);
        return slot == null ? null : slot.value;
    }

    @Override
    public Collection<PendingMessage> pendingMessages() {
        return state.messages();
    }

    @Override
    public int rememberedCount() {
        return state.remembered.size();
    }

    // ---- writing ----------------------------------------------------------------------------------------
    private void appendOrKeep(String id) {
        if (unwritten.hasMessage(id) || !append()) {
            unwritten.addMessage(id); // an earlier change of it is not written: only its whole state makes sense
        } else {
            unwritten.messageWritten(id);
        }
    }

    private boolean append() {
        return appender.append(writer, compactor);
    }

    /** What a failed forcing was for may use all the room: segments are released only once it is forced. */
    private boolean appendUnwritten(RecordWriter records) {
        return unwritten.isRewriting() ? appender.appendCopies(records) : appender.append(records, compactor);
    }

    @Override
    public void maintain(long nowWall) {
        long now = micros.getAsLong();
        if (now >= askAgainAt) {
            askAgainAt = now + ASK_AGAIN;
            log.mayGrowAgain();
        }
        if (now >= prepareAgainAt || syncer.forces()) {
            prepareAgainAt = now + Plan.PAUSE;
            log.prepareUnready(
                    syncer::coversAfter); // whether records are written or not: they may wait for just these files
        }
        unwritten.write();
        state.expire(nowWall, EXPIRE_A_TURN);
        if (!appender.isPausedAt(now)) {
            compact(now);
            if (log.active() != null && plan.wantsSpare(log.space(state))) { // nothing before the first record
                log.grow(plan.segment());
            }
        }
        if (syncer.isTrying() || !unwritten.isRewriting()) {
            syncer.turn(now, log); // else a good forcing would stand in for the one that failed
        }
    }

    /** A segment that can't be released is tried again later; records are written meanwhile. */
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

    // ---- durability -------------------------------------------------------------------------------------
    /** Where the loop takes tasks from other threads; before anything is written by the loop. */
    @Override
    public void setLoop(Executor loop) {
        syncer.attach(loop);
    }

    @Override
    public void whenDurable(Runnable consequence) {
        syncer.whenDurable(consequence);
    }

    // ---- figures ----------------------------------------------------------------------------------------
    /** What the opening found. */
    public Recovery.Report recoveryReport() {
        return recovered;
    }

    /** Bytes that the files take, in whole blocks. */
    public long allocatedBytes() {
        return log.allocated();
    }

    /** Files. */
    public int fileCount() {
        return log.files();
    }

    /** Bytes copied forward so far. */
    public long copiedBytes() {
        return compactor.copied();
    }

    /** Writes that no file took. */
    public long failureCount() {
        return appender.failures() + syncer.failures();
    }

    /** True while a forcing is under way. */
    boolean isForcing() {
        return syncer.isRunning();
    }

    /** Changes that are known in memory and not yet written. */
    public int unwrittenCount() {
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
