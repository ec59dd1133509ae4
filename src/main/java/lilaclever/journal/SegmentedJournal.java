package lilaclever.journal;

import java.io.IOException;
import java.util.Collection;
import java.util.List;
import java.util.concurrent.Executor;
import java.util.function.LongSupplier;
import java.util.function.UnaryOperator;
import java.util.random.RandomGenerator;
import lilaclever.identity.CompletedMessage;
import lilaclever.journal.SegmentFormat.RecordWriter;
import lilaclever.log.Logs;
import lilaclever.routing.ClassVersion;
import lilaclever.routing.FinalStatus;
import lilaclever.routing.Journal;
import lilaclever.routing.PendingMessage;
import lilaclever.routing.Submission;
import lilaclever.routing.ZoneNames;

/**
 * The journal: a log of segments that is compacted from its oldest end, one slice a turn, by copying live records
 * forward ({@link Compactor}). While the disk fails, the state in memory may be ahead of the folder. Each change that
 * could not be written is noted, and the then current state of its message is written once the disk accepts records
 * ({@link UnwrittenChanges}).
 */
public final class SegmentedJournal implements Journal {
    /** How long to wait after a failed allocation before the next one. */
    private static final long ALLOCATION_RETRY_MICROS = 1_000_000;

    private static final int MAX_EXPIRIES_PER_TURN = 256;
    /** A body is reduced if a new record of its message saves at least so much. */
    private static final int MIN_REMOVED_BODY_BYTES = 1_024;

    private final Disk disk;
    private final SpacePolicy policy;
    private final SegmentLog log;
    private final JournalState state = new JournalState();
    private ZoneNames zones = new ZoneNames(List.of());
    private final Syncer syncer;
    private final LongSupplier monotonicMicros;
    private final RecordWriter writer = new RecordWriter();
    private final Recovery.Report recoveryReport;
    private final LogAppender appender;
    private final Compactor compactor;
    private final UnwrittenChanges unwrittenChanges;
    /** After a disk failure: when to retry allocation, the release of segments, and zero-filling. */
    private long allocateAgainAtMicros, releaseAgainAtMicros, fillAgainAtMicros;

    /**
     * Opens the journal in the folder and recovers the state that an earlier run left.
     *
     * @param quotaBytes quota for all its files together, each counted in whole blocks of 512 bytes
     * @param random source of the salts
     */
    public SegmentedJournal(
            Disk disk, long quotaBytes, Durability durability, JournalClocks clocks, RandomGenerator random)
            throws IOException {
        this.disk = disk;
        monotonicMicros = clocks.monotonicMicros();
        policy = new SpacePolicy(quotaBytes);
        syncer = new Syncer(durability, disk, new SyncListener());
        log = new SegmentLog(disk, policy, quotaBytes, random, syncer.isEnabled(), syncer::started, clocks);
        appender = new LogAppender(log, policy, state, syncer, monotonicMicros);
        compactor = new Compactor(log, policy, state, syncer, appender);
        unwrittenChanges = new UnwrittenChanges(state, log, writer, syncer.isEnabled(), this::appendUnwritten);
        Recovery recovery =
                new Recovery(disk, state, clocks.bootClock(), line -> Logs.warn("journal", "recovery", line));
        recoveryReport = recovery.scan();
        recovery.handOver(log);
        compactor.migrateUpTo(recoveryReport.lastToMigrate());
    }

    /**
     * Gives the class of each recovered message its number in this process. Before the event loop starts.
     *
     * @param resolver returns the version with its number for one without; its definition is null in earlier formats
     */
    public void resolveClasses(UnaryOperator<ClassVersion> resolver) {
        for (PendingMessage message : state.pendingMessages()) {
            state.assignClass(message, resolver.apply(message.submission().messageClass()));
        }
    }

    /** Sets the names under which the zones of attempts are stored. Before the event loop starts. */
    public void useZones(ZoneNames names) {
        zones = names;
    }

    /** Copies all live records into as few files as possible and deletes the others. For a stopped program. */
    void compactAll() throws IOException {
        compactor.compactAll();
    }

    // Records

    @Override
    public boolean recordAccepted(String front, Submission submission, long deadlineWallMicros, long nowWallMicros) {
        if (unwrittenChanges.isRewriting()) {
            return false; // it could not be made durable
        }
        PendingMessage message = new PendingMessage(front, submission, deadlineWallMicros);
        RecordEncoder.accepted(writer.clear(), message);
        int recordBytes = writer.size();
        if (recordBytes > SegmentFormat.MAX_CONTENT_BYTES
                || !appender.ensureSpace(recordBytes, JournalState.growthBytes(submission))
                || !append()) {
            return false;
        }
        state.addAccepted(message, log.active(), recordBytes);
        unwrittenChanges.messageWritten(submission.id());
        return true;
    }

    @Override
    public boolean recordAttempt(String id, String host, int zone, long wallMicros) {
        // An earlier change that is still unwritten goes first: without it, this record would hide when the message may
        // first have run.
        if (!unwrittenChanges.writeMessage(id)) {
            return false;
        }
        String zoneName = zones.name(zone);
        RecordEncoder.attempt(writer.clear(), id, host, zoneName, wallMicros);
        if (!append()) {
            return false;
        }
        unwrittenChanges.messageWritten(id);
        JournalState.Entry<PendingMessage> entry = state.pending.get(id);
        if (entry != null) {
            entry.value.attemptStarted(host, zoneName, wallMicros);
        }
        return true;
    }

    @Override
    public int zoneNumber(String zoneName) {
        return zones.number(zoneName);
    }

    @Override
    public void recordOutcome(String id, boolean neverRan) {
        JournalState.Entry<PendingMessage> entry = state.pending.get(id);
        if (entry != null) {
            entry.value.attemptEnded(neverRan);
            RecordEncoder.outcome(writer.clear(), id, neverRan);
            appendOrDefer(id);
        }
    }

    @Override
    public void recordFinalStatus(String id, FinalStatus status) {
        JournalState.Entry<PendingMessage> entry = state.pending.get(id);
        if (entry != null) {
            entry.value.setFinalStatus(status);
            RecordEncoder.finalStatus(writer.clear(), id, status);
            appendOrDefer(id);
        }
    }

    @Override
    public void recordFinalStatus(String id, FinalStatus status, byte[] remainingBody) {
        JournalState.Entry<PendingMessage> entry = state.pending.get(id);
        if (entry == null) {
            return;
        }
        int removedBytes = entry.value.submission().body().length - remainingBody.length;
        if (removedBytes < MIN_REMOVED_BODY_BYTES) {
            recordFinalStatus(id, status);
            return;
        }
        entry.value.setFinalStatus(status);
        entry.value.reduceBody(remainingBody);
        RecordEncoder.snapshot(writer.clear(), entry.value);
        int recordBytes = writer.size();
        if (unwrittenChanges.hasMessage(id) || !append()) {
            unwrittenChanges.addMessage(id);
        } else {
            state.recordMoved(state.pending, id, log.active(), recordBytes);
            unwrittenChanges.messageWritten(id);
        }
    }

    @Override
    public void recordSettled(String id) {
        if (state.pending.containsKey(id)) {
            state.removeMessage(id);
            RecordEncoder.settled(writer.clear(), id);
            appendOrDefer(id);
        }
    }

    @Override
    public boolean recordAttached(String id, String front, String submitterId) {
        JournalState.Entry<PendingMessage> entry = state.pending.get(id);
        if (entry == null) {
            return false;
        }
        PendingMessage.Submitter submitter = new PendingMessage.Submitter(front, submitterId);
        RecordEncoder.attached(writer.clear(), id, submitter);
        if (unwrittenChanges.hasMessage(id)
                || !appender.ensureSpace(writer.size(), JournalState.growthBytes(submitter))
                || !append()) {
            return false;
        }
        state.addSubmitter(entry.value, submitter);
        unwrittenChanges.messageWritten(id);
        return true;
    }

    @Override
    public void remember(String identity, CompletedMessage<FinalStatus> result) {
        RecordEncoder.remembered(writer.clear(), identity, result);
        int recordBytes = writer.size();
        if (append()) {
            state.put(identity, result, log.active(), recordBytes);
            unwrittenChanges.rememberedWritten(identity);
        } else {
            state.put(identity, result, null, 0);
            unwrittenChanges.addRemembered(identity);
        }
    }

    @Override
    public void removeSoonestExpiring() {
        state.removeSoonestExpiring();
    }

    @Override
    public CompletedMessage<FinalStatus> remembered(String identity) {
        JournalState.Entry<CompletedMessage<FinalStatus>> entry = state.remembered.get(identity);
        return entry == null ? null : entry.value;
    }

    @Override
    public Collection<PendingMessage> pendingMessages() {
        return state.pendingMessages();
    }

    @Override
    public int rememberedCount() {
        return state.remembered.size();
    }

    // Writing

    private void appendOrDefer(String id) {
        if (unwrittenChanges.hasMessage(id) || !append()) {
            unwrittenChanges.addMessage(id); // an earlier change is unwritten, so only a snapshot makes sense
        } else {
            unwrittenChanges.messageWritten(id);
        }
    }

    private boolean append() {
        return appender.append(writer, compactor);
    }

    /** Rewriting after a failed sync may use all space, since segments are released only after a successful sync. */
    private boolean appendUnwritten(RecordWriter records) {
        return unwrittenChanges.isRewriting() ? appender.appendCopies(records) : appender.append(records, compactor);
    }

    @Override
    public void maintain(long nowWallMicros) {
        long nowMicros = monotonicMicros.getAsLong();
        if (nowMicros >= allocateAgainAtMicros) {
            allocateAgainAtMicros = nowMicros + ALLOCATION_RETRY_MICROS;
            log.resetAllocationFailure();
        }
        if (nowMicros >= fillAgainAtMicros || syncer.isEnabled()) {
            fillAgainAtMicros = nowMicros + SpacePolicy.DISK_RETRY_DELAY_MICROS;
            log.fillDeferred(
                    syncer::hasSucceededAfter); // even if records can't be written: they may wait for these files
        }
        unwrittenChanges.write();
        state.removeExpired(nowWallMicros, MAX_EXPIRIES_PER_TURN);
        if (!appender.isBackingOffAt(nowMicros)) {
            compactSlice(nowMicros);
            if (log.active() != null
                    && policy.shouldPreallocate(log.spaceUsage(state))) { // none before the first record
                log.preallocate(policy.segmentBytes());
            }
        }
        if (syncer.isProbing() || !unwrittenChanges.isRewriting()) {
            syncer.startIfDue(nowMicros, log); // else a good sync would count in place of the failed one
        }
    }

    /** Runs a slice of compaction. A segment that can't be released is retried later; records are written meanwhile. */
    private void compactSlice(long nowMicros) {
        if (nowMicros < releaseAgainAtMicros || unwrittenChanges.isRewriting()) {
            return;
        }
        try {
            compactor.runSlice();
        } catch (IOException e) {
            releaseAgainAtMicros = nowMicros + SpacePolicy.DISK_RETRY_DELAY_MICROS;
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

    // Durability

    /**
     * Sets the executor of the event loop, to which the sync thread reports. Must be called before the event loop
     * writes anything.
     */
    @Override
    public void setLoop(Executor loop) {
        syncer.attach(loop);
    }

    @Override
    public void whenDurable(Runnable consequence) {
        syncer.whenDurable(consequence);
    }

    // Metrics

    /** The results of recovery. */
    public Recovery.Report recoveryReport() {
        return recoveryReport;
    }

    /** The size of all files in whole blocks. */
    public long allocatedBytes() {
        return log.allocatedBytes();
    }

    /** The number of files. */
    public int fileCount() {
        return log.fileCount();
    }

    /** The number of bytes that compaction has copied so far. */
    public long copiedBytes() {
        return compactor.copiedBytes();
    }

    /** The number of writes and syncs that failed. */
    public long failureCount() {
        return appender.failureCount() + syncer.failureCount();
    }

    /** True while a sync is in progress. */
    boolean isSyncing() {
        return syncer.isRunning();
    }

    /** The number of changes in memory that are not written yet. */
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
