package lilaclever.journal;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import lilaclever.journal.StorageFaultTest.Step;
import lilaclever.routing.FinalStatus;
import lilaclever.routing.PendingMessage;
import lilaclever.routing.Submission;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Single cases of a failing disk; {@link StorageFaultTest} has random ones. */
class DiskFailureTest {
    private static final long QUOTA_BYTES = 1024 * 1024;
    private static final Durability GROUP = new Durability(Durability.Mode.GROUP, 0);
    private static final long TURN_MICROS = 20_000, TEN_SECONDS_MICROS = 10_000_000;

    private final SimDisk disk = new SimDisk();
    private final LinkedBlockingQueue<Runnable> loop = new LinkedBlockingQueue<>();
    private long clockMicros;

    private SegmentedJournal open(Durability durability) throws IOException {
        SegmentedJournal journal = new SegmentedJournal(
                disk, QUOTA_BYTES, durability, RandomRun.clocks(() -> clockMicros), new SplittableRandom(3));
        journal.setLoop(loop::add);
        return journal;
    }

    private static boolean accept(SegmentedJournal journal, String id) {
        return journal.recordAccepted(
                "http", new Submission(id, null, 2, 7, "key", new byte[300], false, true, 28), 99, 0);
    }

    private void failOperations(Set<SimDisk.OperationKind> kinds) {
        disk.faults = (kind, name) ->
                kinds.contains(kind) ? new SimDisk.Failure(new IOException("Input/output error"), 0) : null;
    }

    private void repairDisk() {
        disk.faults = (kind, name) -> null;
    }

    private static List<String> ids(SegmentedJournal journal) {
        return journal.pendingMessages().stream()
                .map(m -> m.submission().id())
                .sorted()
                .toList();
    }

    // Without syncs

    /** If files can't be renamed or deleted for ten seconds, records are still written. */
    @ParameterizedTest
    @EnumSource(
            value = SimDisk.OperationKind.class,
            names = {"RENAME", "DELETE", "OPEN"})
    void recordsAreWrittenWhileSegmentsCannotBeReleased(SimDisk.OperationKind kind) throws IOException {
        try (SegmentedJournal journal = open(Durability.NONE)) {
            disk.faults = (failing, name) -> failing == kind && StorageFaultTest.currentStep() == Step.COMPACTION
                    ? new SimDisk.Failure(new IOException("Input/output error"), 0)
                    : null;
            for (int turn = 0; turn * TURN_MICROS < TEN_SECONDS_MICROS; turn++) {
                assertTrue(accept(journal, "m" + turn), kind + " " + turn);
                assertTrue(journal.recordAttempt("m" + turn, "a", 0, 1), kind + " " + turn);
                journal.recordSettled("m" + turn);
                journal.maintain(0);
                clockMicros += TURN_MICROS;
            }
            assertEquals(0, journal.unwrittenCount());
            repairDisk();
        }
    }

    /**
     * The disk rejects the outcome of an attempt that may have run, but accepts a further attempt: after a restart the
     * time of the first attempt is still known, from which the repeat window counts.
     */
    @Test
    void attemptIsNotWrittenBeforeOutcomeOfPreviousOne() throws IOException {
        SegmentedJournal journal = open(Durability.NONE);
        accept(journal, "m");
        journal.recordAttempt("m", "a", 0, 100);
        failOperations(EnumSet.of(SimDisk.OperationKind.WRITE));
        journal.recordOutcome("m", false);
        repairDisk();
        clockMicros += 2 * SpacePolicy.DISK_RETRY_DELAY_MICROS;
        assertTrue(journal.recordAttempt("m", "b", 0, 5_000));
        try (SegmentedJournal next = RandomRun.open(
                SimDisk.afterKill(disk.operations, disk.operations.size(), 0), QUOTA_BYTES, Durability.NONE)) {
            PendingMessage message = next.pendingMessages().iterator().next();
            assertEquals(
                    "2 true a 100",
                    message.attempts() + " " + message.mayHaveRun() + " " + message.uncertainHost() + " "
                            + message.uncertainSentWallMicros());
        }
        journal.close();
    }

    /** A folder that can't be changed at start is read, and is written once that is possible. */
    @Test
    void readOnlyFolderIsReadAndUsedOnceWritable() throws IOException {
        try (SegmentedJournal journal = open(Durability.NONE)) {
            for (int i = 0; i < 100; i++) {
                accept(journal, "m" + i);
            }
        }
        disk.putFile("journal.new", new byte[5]);
        failOperations(EnumSet.complementOf(EnumSet.of(SimDisk.OperationKind.OPEN)));
        try (SegmentedJournal journal = open(Durability.NONE)) {
            assertEquals(100, journal.pendingMessages().size());
            assertFalse(accept(journal, "refused"));
            journal.recordSettled("m0");
            repairDisk();
            clockMicros += 2 * SpacePolicy.DISK_RETRY_DELAY_MICROS;
            journal.maintain(0);
            assertEquals(0, journal.unwrittenCount());
            assertTrue(accept(journal, "after"));
            assertTrue(disk.totalBytes() <= QUOTA_BYTES);
        }
    }

    // With syncs

    /** Runs one turn, and finishes the sync that it started, if any. */
    private void runTurn(SegmentedJournal journal) throws InterruptedException {
        journal.maintain(0);
        clockMicros += TURN_MICROS;
        finishSync(journal);
    }

    private void finishSync(SegmentedJournal journal) throws InterruptedException {
        if (journal.isSyncing()) {
            Runnable completion = loop.poll(10, TimeUnit.SECONDS);
            completion.run();
        }
    }

    /** A successful sync does not count while the records of the failed one are not written again. */
    @Test
    void laterSyncDoesNotReplaceFailedOne() throws Exception {
        SegmentedJournal journal = open(GROUP);
        assertTrue(accept(journal, "m"));
        boolean[] completed = {false};
        journal.whenDurable(() -> completed[0] = true);
        failOperations(EnumSet.of(SimDisk.OperationKind.SYNC));
        runTurn(journal);
        failOperations(EnumSet.of(SimDisk.OperationKind.WRITE)); // syncs succeed again, writes do not
        for (int i = 0; i < 20; i++) {
            runTurn(journal);
            assertFalse(completed[0], "in turn " + i);
        }
        repairDisk();
        for (int i = 0; i < 20; i++) {
            runTurn(journal);
        }
        assertTrue(completed[0]);
        SimDisk remains = SimDisk.afterPowerCut(disk.operations, disk.operations.size(), new SplittableRandom(1));
        try (SegmentedJournal next = RandomRun.open(remains, QUOTA_BYTES, Durability.NONE)) {
            assertEquals(List.of("m"), ids(next));
        }
        journal.close();
    }

    /** A message that ended before a failed sync is not pending after a power cut: its last record is rewritten too. */
    @Test
    void unsyncedEndIsWrittenAgain() throws Exception {
        SegmentedJournal journal = open(GROUP);
        accept(journal, "m");
        accept(journal, "other");
        runTurn(journal);
        journal.recordSettled("m");
        failOperations(EnumSet.of(SimDisk.OperationKind.SYNC));
        runTurn(journal);
        repairDisk();
        boolean[] durable = {false};
        journal.whenDurable(() -> durable[0] = true);
        for (int i = 0; i < 20; i++) {
            runTurn(journal);
        }
        assertTrue(durable[0]);
        for (int seed = 0; seed < 50; seed++) {
            SimDisk remains =
                    SimDisk.afterPowerCut(disk.operations, disk.operations.size(), new SplittableRandom(seed));
            try (SegmentedJournal next = RandomRun.open(remains, QUOTA_BYTES, Durability.NONE)) {
                assertEquals(List.of("other"), ids(next), "seed " + seed);
            }
        }
        journal.close();
    }

    /** While syncs fail, no message is accepted, as it could not be made durable. */
    @Test
    void newMessagesAreRejectedWhileSyncsFail() throws Exception {
        SegmentedJournal journal = open(GROUP);
        assertTrue(accept(journal, "m"));
        failOperations(EnumSet.of(SimDisk.OperationKind.SYNC));
        runTurn(journal);
        for (int i = 0; i < 50; i++) {
            assertFalse(accept(journal, "refused" + i));
            runTurn(journal);
        }
        repairDisk();
        for (int i = 0; i < 20; i++) {
            runTurn(journal);
        }
        assertTrue(accept(journal, "after"));
        journal.recordFinalStatus("m", FinalStatus.of(FinalStatus.Kind.FAILED));
        assertEquals(List.of("after", "m"), ids(journal));
        journal.close();
    }

    /** A full folder whose syncs fail for ten seconds: once they succeed, all pending work continues. */
    @Test
    void fullFolderSurvivesTenSecondsOfFailedSyncs() throws Exception {
        SegmentedJournal journal = open(GROUP);
        int accepted = 0;
        while (accept(journal, "m" + accepted)) {
            accepted++;
            runTurn(journal);
        }
        failOperations(EnumSet.of(SimDisk.OperationKind.SYNC));
        boolean[] durable = {false};
        for (int turn = 0; turn * TURN_MICROS < TEN_SECONDS_MICROS; turn++) {
            String id = "m" + turn % accepted;
            if (turn == 0) {
                assertTrue(journal.recordAttempt(id, "a", 0, 1));
                journal.whenDurable(() -> durable[0] = true);
            }
            runTurn(journal);
            assertFalse(durable[0]);
        }
        repairDisk();
        for (int turn = 0; turn < 300; turn++) {
            runTurn(journal);
        }
        assertTrue(durable[0]);
        assertEquals(0, journal.unwrittenCount());
        for (int i = 0; i < accepted; i++) {
            assertTrue(journal.recordAttempt("m" + i, "a", 0, 2), "m" + i + " of " + accepted);
            runTurn(journal);
        }
        journal.close();
    }

    /** Random runs in which syncs, writes and changes of file names fail: what was confirmed survives a power cut. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6})
    void confirmedChangesSurvivePowerCutAfterAnyFaults(long seed) throws Exception {
        SplittableRandom random = new SplittableRandom(seed);
        SegmentedJournal journal = open(GROUP);
        RandomRun randomRun = new RandomRun(disk, seed);
        randomRun.useJournal(journal);
        List<EnumSet<SimDisk.OperationKind>> faults = List.of(
                EnumSet.noneOf(SimDisk.OperationKind.class),
                EnumSet.of(SimDisk.OperationKind.SYNC),
                EnumSet.of(SimDisk.OperationKind.SYNC_FOLDER),
                EnumSet.of(SimDisk.OperationKind.WRITE),
                EnumSet.of(SimDisk.OperationKind.RENAME, SimDisk.OperationKind.DELETE),
                EnumSet.allOf(SimDisk.OperationKind.class));
        List<String> confirmed = new ArrayList<>();
        Set<String> ended = new java.util.HashSet<>();
        int cuts = 0;
        for (int phase = 0; phase < 60; phase++) {
            failOperations(faults.get(random.nextInt(faults.size())));
            int turns = random.nextInt(10) == 0 ? (int) (TEN_SECONDS_MICROS / TURN_MICROS) : 1 + random.nextInt(20);
            for (int i = 0; i < turns; i++) {
                for (int step = 0; step < 3; step++) {
                    randomRun.runWithoutCheckpoints(1, 2000, 40);
                    finishSync(journal); // so that the order of operations is the same each time
                }
                List<String> now = ids(journal);
                Set<String> known = new java.util.HashSet<>(now);
                boolean allWritten = journal.unwrittenCount() == 0;
                journal.whenDurable(() -> {
                    if (allWritten) { // a result that could not be written may be reported all the same
                        confirmed.stream().filter(id -> !known.contains(id)).forEach(ended::add);
                    }
                    confirmed.clear();
                    confirmed.addAll(now);
                });
                runTurn(journal);
            }
            SimDisk remains = SimDisk.afterPowerCut(disk.operations, disk.operations.size(), random);
            try (SegmentedJournal next = RandomRun.open(remains, 4 * QUOTA_BYTES, Durability.NONE)) {
                List<String> recovered = ids(next);
                for (String id : confirmed) {
                    boolean isStillPending = randomRun.pendingMessages().containsKey(id);
                    assertTrue(!isStillPending || recovered.contains(id), "phase " + phase + ": " + id + " is lost");
                }
                for (String id : ended) {
                    assertFalse(recovered.contains(id), "phase " + phase + ": " + id + " is back");
                }
                cuts++;
            }
        }
        assertEquals(60, cuts);
        repairDisk();
        journal.close();
    }
}
