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
    private static final long ALLOCATION_RETRY_MICROS = 1_000_000;

    private static final int MAX_EXPIRIES_PER_TURN = 256;

    private final Disk disk;
    private final SpacePolicy policy;
    private final SegmentLog log;
    private final JournalState state = new JournalState();
    private final Syncer syncer;
    private final LongSupplier monotonicMicros;
    private final RecordWriter writer = new RecordWriter();
    private final Recovery.Report recoveryReport;
    private final LogAppender appender;
    private final Compactor compactor;
    private final UnwrittenChanges unwrittenChanges;
    /** After the disk failed: when files are asked for, segments released and spare files made ready again. */
    private long allocateAgainAtMicros, releaseAgainAtMicros, fillAgainAtMicros;

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
        monotonicMicros = times.monotonicMicros();
        policy = new SpacePolicy(mostBytes);
        syncer = new Syncer(durability, disk, new SyncListener());
        log = new SegmentLog(disk, policy, mostBytes, random, syncer.isEnabled(), syncer::started, times);
        appender = new LogAppender(log, policy, state, syncer, monotonicMicros);
        compactor = new Compactor(log, policy, state, syncer, appender);
        unwrittenChanges = new UnwrittenChanges(state, log, writer, syncer.isEnabled(), this::appendUnwritten);
        Recovery recovery = new Recovery(disk, state, times.bootClock(), line -> Logs.warn("journal", "recovery", line));
        recoveryReport = recovery.scan();
        recovery.handOver(log);
        compactor.migrateUpTo(recoveryReport.lastToMigrate());
    }

    /** Copies all that is live into as few files as hold it, and gives up the others. For a program that is stopped. */
    void compactAll() throws IOException {
        compactor.compactAll();
    }

    // ---- records ----------------------------------------------------------------------------------------
    @Override
    public boolean recordAccepted(String front, Submission submission, long deadlineWall, long nowWall) {
        if (unwrittenChanges.isRewriting()) {
            return false; // it could not be promised to outlast the machine
        }
        PendingMessage owed = new PendingMessage(front, submission, deadlineWall);
        RecordEncoder.accepted(writer.clear(), owed);
        int size = writer.size();
        if (size > SegmentFormat.MAX_CONTENT_BYTES || !appender.ensureSpace(size, JournalState.growthBytes(submission)) || !append()) {
            return false;
        }
        state.addAccepted(owed, log.active(), size);
        unwrittenChanges.messageWritten(submission.id());
        return true;
    }

    @Override
    public boolean recordAttempt(String id, String host, int zone, long wall) {
        // Behind an earlier change that is not written this record would hide when the message may first have run.
        if (!unwrittenChanges.writeMessage(id)) {
            return false;
        }
        RecordEncoder.attempt(writer.clear(), id, host, zone, wall);
        if (!append()) {
            return false;
        }
        unwrittenChanges.messageWritten(id);
        JournalState.Entry<PendingMessage> slot = state.pending.get(id);
        if (slot != null) {
            slot.value.attemptStarted(host, zone, wall);
        }
        return true;
    }

    @Override
    public void recordOutcome(String id, boolean neverRan) {
        JournalState.Entry<PendingMessage> slot = state.pending.get(id);
        if (slot != null) {
            slot.value.attemptEnded(neverRan);
            RecordEncoder.outcome(writer.clear(), id, neverRan);
            appendOrDefer(id);
        }
    }

    @Override
    public void recordFinalStatus(String id, FinalStatus verdict) {
        JournalState.Entry<PendingMessage> slot = state.pending.get(id);
        if (slot != null) {
            slot.value.setFinalStatus(verdict);
            RecordEncoder.finalStatus(writer.clear(), id, verdict);
            appendOrDefer(id);
        }
    }

    @Override
    public void recordSettled(String id) {
        if (state.pending.containsKey(id)) {
            state.removeMessage(id);
            RecordEncoder.ended(writer.clear(), id);
            appendOrDefer(id);
        }
    }

    @Override
    public boolean recordAttached(String id, String front, String claim) {
        JournalState.Entry<PendingMessage> slot = state.pending.get(id);
        if (slot == null) {
            return false;
        }
        PendingMessage.Submitter joins = new PendingMessage.Submitter(front, claim);
        RecordEncoder.joined(writer.clear(), id, joins);
        if (unwrittenChanges.hasMessage(id) || !appender.ensureSpace(writer.size(), JournalState.growthBytes(joins)) || !append()) {
            return false;
        }
        state.addClaim(slot.value, joins);
        unwrittenChanges.messageWritten(id);
        return true;
    }

    @Override
    public void remember(String identity, CompletedMessage<FinalStatus> past) {
        RecordEncoder.remembered(writer.clear(), identity, past);
        int size = writer.size();
        if (append()) {
            state.put(identity, past, log.active(), size);
            unwrittenChanges.rememberedWritten(identity);
        } else {
            state.put(identity, past, null, 0);
            unwrittenChanges.addRemembered(identity);
        }
    }

    @Override
    public void forgetSoonestExpiring() {
        state.removeFirstToExpire();
    }

    @Override
    public CompletedMessage<FinalStatus> remembered(String identity) {
        JournalState.Entry<CompletedMessage<FinalStatus>> slot = state.remembered.get(identity);
        return slot == null ? null : slot.value;
    }

    @Override
    public Collection<PendingMessage> pendingMessages() {
        return state.pendingMessages();
    }

    @Override
    public int rememberedCount() {
        return state.remembered.size();
    }

    // ---- writing ----------------------------------------------------------------------------------------
    private void appendOrDefer(String id) {
        if (unwrittenChanges.hasMessage(id) || !append()) {
            unwrittenChanges.addMessage(id); // an earlier change of it is not written: only its whole state makes sense
        } else {
            unwrittenChanges.messageWritten(id);
        }
    }

    private boolean append() {
        return appender.append(writer, compactor);
    }

    /** What a failed forcing was for may use all the room: segments are released only once it is forced. */
    private boolean appendUnwritten(RecordWriter records) {
        return unwrittenChanges.isRewriting() ? appender.appendCopies(records) : appender.append(records, compactor);
    }

    @Override
    public void maintain(long nowWall) {
        long now = monotonicMicros.getAsLong();
        if (now >= allocateAgainAtMicros) {
            allocateAgainAtMicros = now + ALLOCATION_RETRY_MICROS;
            log.resetAllocationFailure();
        }
        if (now >= fillAgainAtMicros || syncer.isEnabled()) {
            fillAgainAtMicros = now + SpacePolicy.DISK_RETRY_DELAY_MICROS;
            log.fillDeferred(
                    syncer::hasSucceededAfter); // whether records are written or not: they may wait for just these files
        }
        unwrittenChanges.write();
        state.removeExpired(nowWall, MAX_EXPIRIES_PER_TURN);
        if (!appender.isBackingOffAt(now)) {
            compactSlice(now);
            if (log.active() != null && policy.shouldPreallocate(log.spaceUsage(state))) { // nothing before the first record
                log.preallocate(policy.segmentBytes());
            }
        }
        if (syncer.isProbing() || !unwrittenChanges.isRewriting()) {
            syncer.startIfDue(now, log); // else a good forcing would stand in for the one that failed
        }
    }

    /** A segment that can't be released is tried again later; records are written meanwhile. */
    private void compactSlice(long now) {
        if (now < releaseAgainAtMicros || unwrittenChanges.isRewriting()) {
            return;
        }
        try {
            compactor.runSlice();
        } catch (IOException e) {
            releaseAgainAtMicros = now + SpacePolicy.DISK_RETRY_DELAY_MICROS;
            Logs.warn("journal", "release-failed", "an empty segment could not be released, tried again later: " + e);
        }
    }

    private final class SyncListener implements Syncer.Listener {
        @Override
        public void syncStarted() {
            unwrittenChanges.syncStarted();
        }

        @Override
        public void syncSucceeded() {
            unwrittenChanges.syncSucceeded();
        }

        @Override
        public void syncFailed() {
            log.abandonActive();
            log.resetEmptied();
            unwrittenChanges.addUnsynced(syncer.lastSuccessful());
        }

        @Override
        public void syncFailedAgain() {
            log.resetEmptied();
            unwrittenChanges.waitForProbe();
        }

        @Override
        public void probeStarting() {
            log.rewriteSegmentStart();
        }

        @Override
        public void probeSucceeded() {
            log.rewriteSegmentStart();
            unwrittenChanges.addUnsynced(syncer.lastSuccessful());
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
        return recoveryReport;
    }

    /** Bytes that the files take, in whole blocks. */
    public long allocatedBytes() {
        return log.allocatedBytes();
    }

    /** Files. */
    public int fileCount() {
        return log.fileCount();
    }

    /** Bytes copied forward so far. */
    public long copiedBytes() {
        return compactor.copiedBytes();
    }

    /** Writes that no file took. */
    public long failureCount() {
        return appender.failureCount() + syncer.failureCount();
    }

    /** True while a forcing is under way. */
    boolean isSyncing() {
        return syncer.isRunning();
    }

    /** Changes that are known in memory and not yet written. */
    public int unwrittenCount() {
        return unwrittenChanges.count();
    }

    @Override
    public void close() throws IOException {
        syncer.close();
        appender.endBackoff();
        unwrittenChanges.write();
        try {
            syncer.syncNow(log);
        } finally {
            log.close();
            disk.close();
        }
    }
}
