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

/** What a failing disk must not do, each case by itself. {@link StorageFaultTest} has the random runs. */
class DiskFailureTest {
    private static final long MOST = 1024 * 1024;
    private static final Durability GROUP = new Durability(Durability.How.GROUP, 0);
    private static final long TURN = 20_000, TEN_SECONDS = 10_000_000;

    private final SimDisk disk = new SimDisk();
    private final LinkedBlockingQueue<Runnable> loop = new LinkedBlockingQueue<>();
    private long clock;

    private SegmentedJournal open(Durability durability) throws IOException {
        SegmentedJournal journal =
                new SegmentedJournal(disk, MOST, durability, Script.times(() -> clock), new SplittableRandom(3));
        journal.setLoop(loop::add);
        return journal;
    }

    private static boolean take(SegmentedJournal journal, String id) {
        return journal.recordAccepted(
                "http", new Submission(id, null, 2, 7, "key", new byte[300], false, true, 28), 99, 0);
    }

    private void fail(Set<SimDisk.Kind> kinds) {
        disk.faults = (kind, name) ->
                kinds.contains(kind) ? new SimDisk.Failure(new IOException("Input/output error"), 0) : null;
    }

    private void recover() {
        disk.faults = (kind, name) -> null;
    }

    private static List<String> ids(SegmentedJournal journal) {
        return journal.pendingMessages().stream()
                .map(m -> m.submission().id())
                .sorted()
                .toList();
    }

    // ---- without forcing ------------------------------------------------------------------------------------
    /** Files that can't be renamed or deleted for ten seconds keep nobody from writing records. */
    @ParameterizedTest
    @EnumSource(
            value = SimDisk.Kind.class,
            names = {"RENAME", "DELETE", "OPEN"})
    void whatIsTakenIsDeliveredWhileEmptySegmentsCanNotBeReleased(SimDisk.Kind kind) throws IOException {
        try (SegmentedJournal journal = open(Durability.NONE)) {
            disk.faults = (failing, name) -> failing == kind && StorageFaultTest.stepNow() == Step.COMPACTION
                    ? new SimDisk.Failure(new IOException("Input/output error"), 0)
                    : null;
            for (int turn = 0; turn * TURN < TEN_SECONDS; turn++) {
                assertTrue(take(journal, "m" + turn), kind + " " + turn);
                assertTrue(journal.recordAttempt("m" + turn, "a", 0, 1), kind + " " + turn);
                journal.recordSettled("m" + turn);
                journal.maintain(0);
                clock += TURN;
            }
            assertEquals(0, journal.unwritten());
            recover();
        }
    }

    /**
     * An attempt that may have run, whose outcome the disk did not take, and a further attempt that it takes: a restart
     * still knows the first one's time, from which the window for repeats counts.
     */
    @Test
    void anAttemptIsNotWrittenBeforeTheOutcomeOfTheOneBefore() throws IOException {
        SegmentedJournal journal = open(Durability.NONE);
        take(journal, "m");
        journal.recordAttempt("m", "a", 0, 100);
        fail(EnumSet.of(SimDisk.Kind.WRITE));
        journal.recordOutcome("m", false);
        recover();
        clock += 2 * Plan.PAUSE;
        assertTrue(journal.recordAttempt("m", "b", 0, 5_000));
        try (SegmentedJournal next = Script.open(SimDisk.killed(disk.ops, disk.ops.size(), 0), MOST, Durability.NONE)) {
            PendingMessage m = next.pendingMessages().iterator().next();
            assertEquals(
                    "2 true a 100",
                    m.attempts() + " " + m.mayHaveRun() + " " + m.possibleRunHost() + " " + m.possibleRunWallMicros());
        }
        journal.close();
    }

    /** The folder is read at a start though nothing in it can be changed, and is used once it can be. */
    @Test
    void aFolderThatCanNotBeChangedIsReadAndUsedLater() throws IOException {
        try (SegmentedJournal journal = open(Durability.NONE)) {
            for (int i = 0; i < 100; i++) {
                take(journal, "m" + i);
            }
        }
        disk.put("journal.new", new byte[5]);
        fail(EnumSet.complementOf(EnumSet.of(SimDisk.Kind.OPEN)));
        try (SegmentedJournal journal = open(Durability.NONE)) {
            assertEquals(100, journal.pendingMessages().size());
            assertFalse(take(journal, "refused"));
            journal.recordSettled("m0");
            recover();
            clock += 2 * Plan.PAUSE;
            journal.maintain(0);
            assertEquals(0, journal.unwritten());
            assertTrue(take(journal, "after"));
            assertTrue(disk.total() <= MOST);
        }
    }

    // ---- with forcing ---------------------------------------------------------------------------------------
    /** One turn, and the end of the forcing that it began, if it began one. */
    private void turn(SegmentedJournal journal) throws InterruptedException {
        journal.maintain(0);
        clock += TURN;
        finishForcing(journal);
    }

    private void finishForcing(SegmentedJournal journal) throws InterruptedException {
        if (journal.isForcing()) {
            Runnable ended = loop.poll(10, TimeUnit.SECONDS);
            ended.run();
        }
    }

    /** A forcing that went well proves nothing while what the failed one was for is not written again. */
    @Test
    void aGoodForcingDoesNotStandInForTheOneThatFailed() throws Exception {
        SegmentedJournal journal = open(GROUP);
        assertTrue(take(journal, "m"));
        boolean[] told = {false};
        journal.whenDurable(() -> told[0] = true);
        fail(EnumSet.of(SimDisk.Kind.FORCE));
        turn(journal);
        fail(EnumSet.of(SimDisk.Kind.WRITE)); // forcings go well again, writes do not
        for (int i = 0; i < 20; i++) {
            turn(journal);
            assertFalse(told[0], "in turn " + i);
        }
        recover();
        for (int i = 0; i < 20; i++) {
            turn(journal);
        }
        assertTrue(told[0]);
        SimDisk left = SimDisk.powerCut(disk.ops, disk.ops.size(), new SplittableRandom(1));
        try (SegmentedJournal next = Script.open(left, MOST, Durability.NONE)) {
            assertEquals(List.of("m"), ids(next));
        }
        journal.close();
    }

    /** What ended before a forcing that failed stays ended: its record is written again too. */
    @Test
    void anEndThatWasNotForcedIsWrittenAgain() throws Exception {
        SegmentedJournal journal = open(GROUP);
        take(journal, "m");
        take(journal, "other");
        turn(journal);
        journal.recordSettled("m");
        fail(EnumSet.of(SimDisk.Kind.FORCE));
        turn(journal);
        recover();
        boolean[] durable = {false};
        journal.whenDurable(() -> durable[0] = true);
        for (int i = 0; i < 20; i++) {
            turn(journal);
        }
        assertTrue(durable[0]);
        for (int seed = 0; seed < 50; seed++) {
            SimDisk left = SimDisk.powerCut(disk.ops, disk.ops.size(), new SplittableRandom(seed));
            try (SegmentedJournal next = Script.open(left, MOST, Durability.NONE)) {
                assertEquals(List.of("other"), ids(next), "seed " + seed);
            }
        }
        journal.close();
    }

    /** While forcings fail no message is taken that could not be promised to outlast the machine. */
    @Test
    void newMessagesAreRefusedWhileForcingsFail() throws Exception {
        SegmentedJournal journal = open(GROUP);
        assertTrue(take(journal, "m"));
        fail(EnumSet.of(SimDisk.Kind.FORCE));
        turn(journal);
        for (int i = 0; i < 50; i++) {
            assertFalse(take(journal, "refused" + i));
            turn(journal);
        }
        recover();
        for (int i = 0; i < 20; i++) {
            turn(journal);
        }
        assertTrue(take(journal, "after"));
        journal.recordFinalStatus("m", FinalStatus.of(FinalStatus.Kind.FAILED));
        assertEquals(List.of("after", "m"), ids(journal));
        journal.close();
    }

    /** A full folder whose forcings fail for ten seconds: once they go well, all that waited goes on. */
    @Test
    void aFullFolderOutlastsTenSecondsOfFailedForcings() throws Exception {
        SegmentedJournal journal = open(GROUP);
        int taken = 0;
        while (take(journal, "m" + taken)) {
            taken++;
            turn(journal);
        }
        fail(EnumSet.of(SimDisk.Kind.FORCE));
        boolean[] durable = {false};
        for (int turn = 0; turn * TURN < TEN_SECONDS; turn++) {
            String id = "m" + turn % taken;
            if (turn == 0) {
                assertTrue(journal.recordAttempt(id, "a", 0, 1));
                journal.whenDurable(() -> durable[0] = true);
            }
            turn(journal);
            assertFalse(durable[0]);
        }
        recover();
        for (int turn = 0; turn < 300; turn++) {
            turn(journal);
        }
        assertTrue(durable[0]);
        assertEquals(0, journal.unwritten());
        for (int i = 0; i < taken; i++) {
            assertTrue(journal.recordAttempt("m" + i, "a", 0, 2), "m" + i + " of " + taken);
            turn(journal);
        }
        journal.close();
    }

    /** Random runs in which forcings, writes and changes of names fail: what was confirmed outlasts a power cut. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6})
    void whatWasConfirmedOutlastsAPowerCutWhateverFailedBefore(long seed) throws Exception {
        SplittableRandom random = new SplittableRandom(seed);
        SegmentedJournal journal = open(GROUP);
        Script script = new Script(disk, seed);
        script.use(journal);
        List<EnumSet<SimDisk.Kind>> faults = List.of(
                EnumSet.noneOf(SimDisk.Kind.class),
                EnumSet.of(SimDisk.Kind.FORCE),
                EnumSet.of(SimDisk.Kind.FORCE_NAMES),
                EnumSet.of(SimDisk.Kind.WRITE),
                EnumSet.of(SimDisk.Kind.RENAME, SimDisk.Kind.DELETE),
                EnumSet.allOf(SimDisk.Kind.class));
        List<String> confirmed = new ArrayList<>();
        Set<String> gone = new java.util.HashSet<>();
        int cuts = 0;
        for (int phase = 0; phase < 60; phase++) {
            fail(faults.get(random.nextInt(faults.size())));
            int turns = random.nextInt(10) == 0 ? (int) (TEN_SECONDS / TURN) : 1 + random.nextInt(20);
            for (int i = 0; i < turns; i++) {
                for (int step = 0; step < 3; step++) {
                    script.runOn(1, 2000, 40);
                    finishForcing(journal); // so that the order of operations is the same each time
                }
                List<String> now = ids(journal);
                Set<String> known = new java.util.HashSet<>(now);
                boolean allWritten = journal.unwritten() == 0;
                journal.whenDurable(() -> {
                    if (allWritten) { // an end that the disk did not take may be told all the same
                        confirmed.stream().filter(id -> !known.contains(id)).forEach(gone::add);
                    }
                    confirmed.clear();
                    confirmed.addAll(now);
                });
                turn(journal);
            }
            SimDisk left = SimDisk.powerCut(disk.ops, disk.ops.size(), random);
            try (SegmentedJournal next = Script.open(left, 4 * MOST, Durability.NONE)) {
                List<String> found = ids(next);
                for (String id : confirmed) {
                    boolean stays = script.messages().containsKey(id);
                    assertTrue(!stays || found.contains(id), "phase " + phase + ": " + id + " is lost");
                }
                for (String id : gone) {
                    assertFalse(found.contains(id), "phase " + phase + ": " + id + " is back");
                }
                cuts++;
            }
        }
        assertEquals(60, cuts);
        recover();
        journal.close();
    }
}
