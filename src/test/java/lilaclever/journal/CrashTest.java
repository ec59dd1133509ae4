package lilaclever.journal;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import lilaclever.routing.PendingMessage;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Records the disk operations of a run, cuts them off at each one, and opens the journal: every acknowledged change
 * must be there, and nothing else but the one change in progress.
 */
class CrashTest {
    private static final long QUOTA_BYTES = 160 * 1024;

    /** Checks the state recovered after a cut: that of the last acknowledged step, or of the next one. */
    private static void check(RandomRun randomRun, int doneOperations, SimDisk disk, String description)
            throws IOException {
        int checkpoint = 0;
        while (checkpoint + 1 < randomRun.checkpoints.size()
                && randomRun.checkpoints.get(checkpoint + 1).operations() <= doneOperations) {
            checkpoint++;
        }
        try (SegmentedJournal recovered = RandomRun.open(disk, QUOTA_BYTES, Durability.NONE)) {
            String state = RandomRun.describe(recovered, 0);
            assertEquals(List.of(), recovered.recoveryReport().damages(), description);
            boolean matches = withoutRemembered(state)
                            .equals(withoutRemembered(
                                    randomRun.checkpoints.get(checkpoint).state()))
                    || checkpoint + 1 < randomRun.checkpoints.size()
                            && withoutRemembered(state)
                                    .equals(withoutRemembered(randomRun
                                            .checkpoints
                                            .get(checkpoint + 1)
                                            .state()));
            if (!matches) {
                assertEquals(randomRun.checkpoints.get(checkpoint).state(), state, description);
            }
            assertTrue(disk.totalBytes() <= QUOTA_BYTES, description + ": " + disk.totalBytes());
        }
    }

    /** Expired results are removed as turns allow, so they may be there or not. */
    private static String withoutRemembered(String state) {
        return state.substring(0, state.lastIndexOf('{'));
    }

    /** A kill at any operation and inside any write, including compaction, rolls and reuse of files. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void killAtAnyOperationLosesNoAcknowledgedChange(long seed) throws IOException {
        SimDisk disk = new SimDisk();
        RandomRun randomRun = new RandomRun(disk, seed);
        SegmentedJournal journal = RandomRun.open(disk, QUOTA_BYTES, Durability.NONE);
        randomRun.useJournal(journal);
        randomRun.run(1500, 3000, 60);
        assertTrue(journal.copiedBytes() > 5_000, "copied forward: " + journal.copiedBytes());
        for (int doneOperations = 0; doneOperations <= disk.operations.size(); doneOperations++) {
            check(
                    randomRun,
                    doneOperations,
                    SimDisk.afterKill(disk.operations, doneOperations, 0),
                    "after " + doneOperations);
            if (doneOperations < disk.operations.size()
                    && disk.operations.get(doneOperations).kind() == SimDisk.OperationKind.WRITE) {
                int length = disk.operations.get(doneOperations).bytes().length;
                for (int part : new int[] {1, length / 2, length - 1}) {
                    check(
                            randomRun,
                            doneOperations,
                            SimDisk.afterKill(disk.operations, doneOperations, part),
                            part + " bytes after " + doneOperations);
                }
            }
        }
    }

    /** A second and a third kill while the journal is being opened after the first. */
    @Test
    void repeatedKillsDuringRecoveryLoseNothing() throws IOException {
        SimDisk disk = new SimDisk();
        RandomRun randomRun = new RandomRun(disk, 11);
        randomRun.useJournal(RandomRun.open(disk, QUOTA_BYTES, Durability.NONE));
        randomRun.run(800, 3000, 60);
        SplittableRandom random = new SplittableRandom(5);
        for (int i = 0; i < 300; i++) {
            int doneOperations = random.nextInt(disk.operations.size());
            List<SimDisk.Operation> recordedOperations = disk.operations.subList(0, doneOperations);
            for (int run = 0; run < 2; run++) {
                SimDisk restarted = SimDisk.afterKill(recordedOperations, recordedOperations.size(), 0);
                try (SegmentedJournal recovered = RandomRun.open(restarted, QUOTA_BYTES, Durability.NONE)) {
                    recovered.maintain(0);
                }
                List<SimDisk.Operation> extendedOperations = new ArrayList<>(recordedOperations);
                extendedOperations.addAll(
                        restarted.operations.subList(0, random.nextInt(restarted.operations.size() + 1)));
                recordedOperations = extendedOperations;
            }
            check(
                    randomRun,
                    doneOperations,
                    SimDisk.afterKill(recordedOperations, recordedOperations.size(), 0),
                    "cut " + i + " after " + doneOperations);
        }
    }

    /** With group commit, what was acknowledged after a sync survives a machine failure. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void powerCutLosesNoSyncedChange(long seed) throws Exception {
        SimDisk disk = new SimDisk();
        SplittableRandom random = new SplittableRandom(seed);
        List<Integer> operationsAtSync = new ArrayList<>();
        List<List<String>> messagesAtSync = new ArrayList<>();
        try (SegmentedJournal journal = RandomRun.open(disk, QUOTA_BYTES, new Durability(Durability.Mode.GROUP, 0))) {
            java.util.concurrent.LinkedBlockingQueue<Runnable> loop = new java.util.concurrent.LinkedBlockingQueue<>();
            journal.setLoop(loop::add);
            RandomRun randomRun = new RandomRun(disk, seed);
            randomRun.useJournal(journal);
            for (int turn = 0; turn < 150; turn++) {
                randomRun.run(8, 2000, 50);
                boolean[] durable = {false};
                journal.whenDurable(() -> durable[0] = true);
                List<String> ids = journal.pendingMessages().stream()
                        .map(message -> message.submission().id() + " " + message.attempts())
                        .toList();
                while (!durable[0]) {
                    journal.maintain(randomRun.nowMicros);
                    if (!durable[0]) {
                        loop.take().run();
                    }
                }
                operationsAtSync.add(disk.operations.size());
                messagesAtSync.add(ids);
            }
        }
        for (int turn = 0; turn < operationsAtSync.size(); turn++) {
            for (int cut = 0; cut < 4; cut++) {
                int next = turn + 1 < operationsAtSync.size() ? operationsAtSync.get(turn + 1) : disk.operations.size();
                int doneOperations = operationsAtSync.get(turn) + random.nextInt(next - operationsAtSync.get(turn) + 1);
                SimDisk remains = SimDisk.afterPowerCut(disk.operations, doneOperations, random);
                try (SegmentedJournal recovered = RandomRun.open(remains, 4 * QUOTA_BYTES, Durability.NONE)) {
                    List<String> recoveredIds = recovered.pendingMessages().stream()
                            .map(message -> message.submission().id())
                            .toList();
                    List<String> later = turn + 1 < messagesAtSync.size() ? messagesAtSync.get(turn + 1) : List.of();
                    for (String id : messagesAtSync.get(turn)) {
                        // A message that ended since then may be there or not; every other one must be.
                        boolean isStillPending = later.stream().anyMatch(l -> l.split(" ")[0].equals(id.split(" ")[0]));
                        assertTrue(
                                !isStillPending || recoveredIds.contains(id.split(" ")[0]),
                                id + " cut at " + doneOperations);
                    }
                    for (PendingMessage message : recovered.pendingMessages()) {
                        checkAttempts(message, messagesAtSync.get(turn));
                    }
                }
            }
        }
    }

    private static void checkAttempts(PendingMessage message, List<String> messagesAtSync) {
        for (String earlier : messagesAtSync) {
            if (earlier.startsWith(message.submission().id() + " ")) {
                int attempts = Integer.parseInt(earlier.split(" ")[1]);
                assertTrue(
                        message.attempts() >= attempts || message.mayHaveRun(),
                        earlier + " " + RandomRun.describe(message));
            }
        }
    }
}
