package lilaclever.journal;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.stream.Stream;
import lilaclever.routing.PendingMessage;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Random runs in which disk operations fail, each at a chosen step of the journal, once or for ten seconds of simulated
 * time, with and without a kill meanwhile. The combinations covered are counted: step, operation, error, duration,
 * kill.
 */
class StorageFaultTest {
    private static final long QUOTA_BYTES = 160 * 1024;
    private static final long TEN_SECONDS_MICROS = 10_000_000;
    private static final long TURN_MICROS = 20_000;
    private static final int LARGEST_BODY_BYTES = 2000, PENDING_MESSAGES = 40;

    /** What the journal was doing when an operation failed. */
    enum Step {
        APPEND,
        ROTATION,
        ALLOCATION,
        COMPACTION,
        GROUP_SYNC
    }

    enum FaultDuration {
        ONCE,
        TEN_SECONDS
    }

    /** The operation that fails, and the step at which it does; operations of this kind succeed at other steps. */
    record FaultTarget(Step step, SimDisk.OperationKind kind) {}

    private static final List<FaultTarget> TARGETS = List.of(
            new FaultTarget(Step.APPEND, SimDisk.OperationKind.WRITE),
            new FaultTarget(Step.ROTATION, SimDisk.OperationKind.OPEN),
            new FaultTarget(Step.ROTATION, SimDisk.OperationKind.WRITE),
            new FaultTarget(Step.ROTATION, SimDisk.OperationKind.RENAME),
            new FaultTarget(Step.ALLOCATION, SimDisk.OperationKind.CREATE),
            new FaultTarget(Step.ALLOCATION, SimDisk.OperationKind.WRITE),
            new FaultTarget(Step.COMPACTION, SimDisk.OperationKind.OPEN),
            new FaultTarget(Step.COMPACTION, SimDisk.OperationKind.WRITE),
            new FaultTarget(Step.COMPACTION, SimDisk.OperationKind.RENAME),
            new FaultTarget(Step.COMPACTION, SimDisk.OperationKind.DELETE));

    private static final List<String> ERRORS = List.of("No space left on device", "Input/output error");

    private static final Set<String> COVERED = new TreeSet<>();

    /** What must be known of a message after a restart, with the earliest time at which it may have run. */
    private record KnownState(int attempts, long mayHaveRunSinceMicros) {
        static KnownState of(PendingMessage message) {
            long sinceMicros = message.mayHaveRun()
                    ? message.uncertainSentWallMicros()
                    : message.isInFlight() ? message.lastAttemptWallMicros() : Long.MAX_VALUE;
            return new KnownState(message.attempts(), sinceMicros);
        }

        boolean isCoveredBy(KnownState recovered) {
            return recovered.attempts >= attempts && recovered.mayHaveRunSinceMicros <= mayHaveRunSinceMicros;
        }
    }

    /** The model after a step, and the number of disk operations by then. */
    private record Checkpoint(int operations, Map<String, KnownState> messages) {}

    private final SimDisk disk = new SimDisk();
    /** Quota for all files together, in bytes. */
    private long quotaBytes = QUOTA_BYTES;

    private final List<Checkpoint> checkpoints = new ArrayList<>();
    private final LinkedBlockingQueue<Runnable> loop = new LinkedBlockingQueue<>();
    private SegmentedJournal journal;
    private RandomRun randomRun;
    private long clockMicros;
    /** Whether operations fail now. */
    private volatile boolean failing;
    /** Number of operations that have failed since faults were last injected. */
    private volatile int failures;

    /** Each target and any operation at all, both errors, both durations, with and without a kill. */
    @AfterAll
    static void everyCombinationWasCovered() {
        assertEquals(
                (TARGETS.size() + 1) * ERRORS.size() * FaultDuration.values().length * 2, COVERED.size(), "" + COVERED);
    }

    private void open(Durability durability, long seed) throws IOException {
        journal = new SegmentedJournal(
                disk, quotaBytes, durability, RandomRun.clocks(() -> clockMicros), new SplittableRandom(seed));
        journal.setLoop(loop::add);
        randomRun = new RandomRun(disk, seed);
        randomRun.useJournal(journal);
    }

    static Step currentStep() {
        return StackWalker.getInstance().walk(frames -> {
            EnumSet<Step> steps = EnumSet.noneOf(Step.class);
            frames.forEach(frame -> {
                String type = frame.getClassName();
                if (type.startsWith(Syncer.class.getName())) {
                    steps.add(Step.GROUP_SYNC);
                } else if (type.equals(SegmentLog.class.getName())
                        && frame.getMethodName().equals("roll")) {
                    steps.add(Step.ROTATION);
                } else if (type.equals(SegmentLog.class.getName())
                        && frame.getMethodName().equals("preallocate")) {
                    steps.add(Step.ALLOCATION);
                } else if (type.startsWith(Compactor.class.getName())) {
                    steps.add(Step.COMPACTION);
                }
            });
            for (Step step : List.of(Step.GROUP_SYNC, Step.ALLOCATION, Step.ROTATION, Step.COMPACTION)) {
                if (steps.contains(step)) {
                    return step;
                }
            }
            return Step.APPEND;
        });
    }

    private void failOperations(FaultTarget target, String error, FaultDuration duration, SplittableRandom random) {
        failing = true;
        failures = 0;
        disk.faults = (kind, name) -> {
            if (!failing || target != null && (kind != target.kind() || currentStep() != target.step())) {
                return null;
            }
            failures++;
            failing = duration != FaultDuration.ONCE;
            return new SimDisk.Failure(new IOException(error), random.nextInt(3) == 0 ? 0 : random.nextInt(300));
        };
    }

    /**
     * Runs one step and one turn of the event loop. The model and the state in memory must agree, and the quota must
     * hold.
     */
    private void runTurn() throws InterruptedException {
        randomRun.runWithoutCheckpoints(1, LARGEST_BODY_BYTES, PENDING_MESSAGES);
        endTurn();
    }

    private void endTurn() {
        journal.maintain(randomRun.nowMicros);
        clockMicros += TURN_MICROS;
        Map<String, KnownState> known = new TreeMap<>();
        randomRun.pendingMessages().forEach((id, message) -> known.put(id, KnownState.of(message)));
        checkpoints.add(new Checkpoint(disk.operations.size(), known));
        assertEquals(randomRun.describeModel(), describePending(journal));
        assertTrue(disk.totalBytes() <= quotaBytes, "bytes: " + disk.totalBytes());
    }

    private void runTurnsFor(long micros) throws InterruptedException {
        for (long endMicros = clockMicros + micros; clockMicros < endMicros; ) {
            runTurn();
        }
    }

    private static String describePending(SegmentedJournal journal) {
        TreeMap<String, PendingMessage> all = new TreeMap<>();
        journal.pendingMessages()
                .forEach(message -> all.put(message.submission().id(), message));
        return RandomRun.describe(all, Map.of());
    }

    /**
     * Once the disk works again, all changes are written, no space is lost, and new messages are accepted, without a
     * restart.
     */
    private void checkRecovered(String description) throws Exception {
        failing = false;
        clockMicros += 2_000_000;
        journal.maintain(randomRun.nowMicros);
        clockMicros += 2_000_000;
        journal.maintain(randomRun.nowMicros);
        assertEquals(0, journal.unwrittenCount(), description);
        checkFiles(description);
        endAllMessages();
        int rejectedBefore = randomRun.rejectedMessages;
        runTurnsFor(50 * TURN_MICROS);
        assertEquals(rejectedBefore, randomRun.rejectedMessages, description + ": rejected although the disk works");
        checkFiles(description);
        journal.close();
        try (SegmentedJournal next = RandomRun.open(disk, quotaBytes, Durability.NONE)) {
            assertEquals(randomRun.describeModel(), describePending(next), description);
            assertEquals(List.of(), next.recoveryReport().damages(), description);
        }
    }

    private void endAllMessages() {
        for (String id : List.copyOf(randomRun.pendingMessages().keySet())) {
            journal.recordSettled(id);
            randomRun.pendingMessages().remove(id);
            endTurn();
        }
    }

    /** The journal must know every file in the folder: any other would take space until a restart. */
    private void checkFiles(String description) {
        assertEquals(journal.fileCount(), disk.fileNames().size(), description + ": files " + disk.fileNames());
        assertTrue(
                disk.totalBytes() <= journal.allocatedBytes(),
                description + ": " + disk.totalBytes() + " of " + journal.allocatedBytes());
    }

    /**
     * Checks a kill after this many operations, perhaps inside the next write: every acknowledged change must be there.
     */
    private void checkKilled(int operations, int bytesOfNext, String description) throws IOException {
        int checkpoint = 0;
        while (checkpoint + 1 < checkpoints.size()
                && checkpoints.get(checkpoint + 1).operations() <= operations) {
            checkpoint++;
        }
        Map<String, KnownState> stateBefore = checkpoints.get(checkpoint).messages();
        Map<String, KnownState> stateAfter = checkpoint + 1 < checkpoints.size()
                ? checkpoints.get(checkpoint + 1).messages()
                : stateBefore;
        Set<String> submittedIds = new HashSet<>();
        checkpoints
                .subList(0, Math.min(checkpoint + 2, checkpoints.size()))
                .forEach(earlier -> submittedIds.addAll(earlier.messages().keySet()));
        SimDisk remains = SimDisk.afterKill(disk.operations, operations, bytesOfNext);
        try (SegmentedJournal next = RandomRun.open(remains, quotaBytes, Durability.NONE)) {
            Map<String, KnownState> recovered = new TreeMap<>();
            next.pendingMessages()
                    .forEach(message -> recovered.put(message.submission().id(), KnownState.of(message)));
            stateBefore.forEach((id, known) -> {
                if (stateAfter.containsKey(id)) {
                    assertNotNull(recovered.get(id), description + ": " + id + " is lost");
                    boolean covered = known.isCoveredBy(recovered.get(id))
                            || stateAfter.get(id).isCoveredBy(recovered.get(id));
                    assertTrue(covered, description + ": " + id + " " + known + recovered.get(id));
                }
            });
            Set<String> unknown = new TreeSet<>(recovered.keySet());
            unknown.removeAll(submittedIds);
            assertEquals(Set.of(), unknown, description + ": messages that were rejected");
            assertEquals(List.of(), next.recoveryReport().damages(), description);
        }
    }

    private void run(FaultTarget target, String error, FaultDuration duration, boolean kill, long seed)
            throws Exception {
        String description = target + " " + error + " " + duration + (kill ? " kill" : "") + " seed " + seed;
        SplittableRandom random = new SplittableRandom(seed);
        quotaBytes = target != null && target.kind() == SimDisk.OperationKind.DELETE ? 4 * QUOTA_BYTES : QUOTA_BYTES;
        open(Durability.NONE, seed);
        if (quotaBytes > QUOTA_BYTES) {
            // Creates more files than the live records need once their messages have ended, so that some are deleted.
            randomRun.runWithoutCheckpoints(1500, LARGEST_BODY_BYTES, 400);
        }
        for (int i = 0; i < 200 + random.nextInt(400); i++) {
            runTurn();
        }
        int firstOperation = disk.operations.size();
        failOperations(target, error, duration, random);
        if (quotaBytes > QUOTA_BYTES) {
            endAllMessages();
        }
        if (duration == FaultDuration.ONCE) {
            for (int i = 0; i < 1500 && failures == 0; i++) {
                runTurn();
            }
            runTurnsFor(20 * TURN_MICROS);
        } else {
            runTurnsFor(TEN_SECONDS_MICROS);
        }
        if (failures > 0) {
            COVERED.add((target == null ? "ANY" : target.step() + " " + target.kind()) + " " + error + " " + duration
                    + (kill ? " kill" : ""));
        }
        if (kill) {
            for (int i = 0; i < 60; i++) {
                int at = firstOperation + random.nextInt(disk.operations.size() - firstOperation + 1);
                checkKilled(at, random.nextInt(2) * random.nextInt(400), description + " after " + at);
            }
        }
        checkRecovered(description);
    }

    /** How long operations fail, and whether the process is killed meanwhile. */
    private record FaultScenario(FaultDuration duration, boolean hasKill) {}

    /** Runs one combination; returns the failure, if any. */
    private static Optional<String> runOne(FaultTarget target, String error, FaultScenario scenario, long seed)
            throws Exception {
        try {
            new StorageFaultTest().run(target, error, scenario.duration(), scenario.hasKill(), seed);
            return Optional.empty();
        } catch (AssertionError | RuntimeException e) {
            return Optional.of(e.toString().lines().findFirst().orElse(""));
        }
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void everyStepSurvivesEveryFault(long seed) throws Exception {
        List<String> failedRuns = new ArrayList<>();
        int runs = 0;
        List<FaultTarget> targets = new ArrayList<>(TARGETS);
        targets.add(null); // any operation
        List<FaultScenario> scenarios = Stream.of(FaultDuration.values())
                .flatMap(duration -> Stream.of(new FaultScenario(duration, false), new FaultScenario(duration, true)))
                .toList();
        for (FaultTarget target : targets) {
            for (String error : ERRORS) {
                for (FaultScenario scenario : scenarios) {
                    runs++;
                    runOne(target, error, scenario, 1000 * seed + runs).ifPresent(failedRuns::add);
                }
            }
        }
        assertEquals(List.of(), failedRuns, failedRuns.size() + " of " + runs);
    }
}
