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
 * Random runs in which operations of the folder fail, each at a chosen step of the journal, once or for ten seconds of
 * the test's clock, and runs that are killed meanwhile. What was covered is counted: step, operation, error, duration,
 * kill.
 */
class StorageFaultTest {
    private static final long QUOTA_BYTES = 160 * 1024;
    private static final long TEN_SECONDS_MICROS = 10_000_000;
    private static final long TURN_MICROS = 20_000;
    private static final int LARGEST_BODY_BYTES = 2000, PENDING_MESSAGES = 40;

    /** What the journal was at as an operation failed. */
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

    /** The operation that fails, at a step; what else of that kind fails at other steps goes well. */
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

    /** What a restart must know of a message; the earliest moment at which it may have run. */
    private record KnownState(int attempts, long mayHaveRunSince) {
        static KnownState of(PendingMessage m) {
            long since = m.mayHaveRun()
                    ? m.possibleRunWallMicros()
                    : m.isInFlight() ? m.lastAttemptWallMicros() : Long.MAX_VALUE;
            return new KnownState(m.attempts(), since);
        }

        boolean isCoveredBy(KnownState found) {
            return found.attempts >= attempts && found.mayHaveRunSince <= mayHaveRunSince;
        }
    }

    /** The model after a step, and how many operations the disk had seen by then. */
    private record Checkpoint(int operations, Map<String, KnownState> messages) {}

    private final SimDisk disk = new SimDisk();
    /** Bytes that the files may take together. */
    private long quotaBytes = QUOTA_BYTES;

    private final List<Checkpoint> checkpoints = new ArrayList<>();
    private final LinkedBlockingQueue<Runnable> loop = new LinkedBlockingQueue<>();
    private SegmentedJournal journal;
    private RandomRun randomRun;
    private long clockMicros;
    /** Whether operations fail now, and how many of them did. */
    private volatile boolean failing;

    private volatile int failures;

    /** Each target and any operation at all, both errors, both durations, with and without a kill. */
    @AfterAll
    static void everyCombinationWasCovered() {
        assertEquals((TARGETS.size() + 1) * ERRORS.size() * FaultDuration.values().length * 2, COVERED.size(), "" + COVERED);
    }

    private void open(Durability durability, long seed) throws IOException {
        journal = new SegmentedJournal(disk, quotaBytes, durability, RandomRun.clocks(() -> clockMicros), new SplittableRandom(seed));
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
                        && frame.getMethodName().equals("grow")) {
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

    /** One step of the run and a turn of the loop; the model and the journal's memory agree, and the quota holds. */
    private void runTurn() throws InterruptedException {
        randomRun.runWithoutCheckpoints(1, LARGEST_BODY_BYTES, PENDING_MESSAGES);
        endTurn();
    }

    private void endTurn() {
        journal.maintain(randomRun.nowMicros);
        clockMicros += TURN_MICROS;
        Map<String, KnownState> known = new TreeMap<>();
        randomRun.pendingMessages().forEach((id, m) -> known.put(id, KnownState.of(m)));
        checkpoints.add(new Checkpoint(disk.operations.size(), known));
        assertEquals(randomRun.describeModel(), describePending(journal));
        assertTrue(disk.totalBytes() <= quotaBytes, "bytes: " + disk.totalBytes());
    }

    private void runTurnsFor(long micros) throws InterruptedException {
        for (long end = clockMicros + micros; clockMicros < end; ) {
            runTurn();
        }
    }

    private static String describePending(SegmentedJournal journal) {
        TreeMap<String, PendingMessage> all = new TreeMap<>();
        journal.pendingMessages().forEach(m -> all.put(m.submission().id(), m));
        return RandomRun.describe(all, Map.of());
    }

    /** The disk is good again: all is written, room is not lost, and new messages are taken, with no restart. */
    private void checkRecovered(String what) throws Exception {
        failing = false;
        clockMicros += 2_000_000;
        journal.maintain(randomRun.nowMicros);
        clockMicros += 2_000_000;
        journal.maintain(randomRun.nowMicros);
        assertEquals(0, journal.unwrittenCount(), what);
        checkFiles(what);
        endAllMessages();
        int refused = randomRun.rejectedMessages;
        runTurnsFor(50 * TURN_MICROS);
        assertEquals(refused, randomRun.rejectedMessages, what + ": refused though the disk is good");
        checkFiles(what);
        journal.close();
        try (SegmentedJournal next = RandomRun.open(disk, quotaBytes, Durability.NONE)) {
            assertEquals(randomRun.describeModel(), describePending(next), what);
            assertEquals(List.of(), next.recoveryReport().damages(), what);
        }
    }

    private void endAllMessages() {
        for (String id : List.copyOf(randomRun.pendingMessages().keySet())) {
            journal.recordSettled(id);
            randomRun.pendingMessages().remove(id);
            endTurn();
        }
    }

    /** The journal knows every file in the folder: one that it lost sight of would take room until a restart. */
    private void checkFiles(String what) {
        assertEquals(journal.fileCount(), disk.fileNames().size(), what + ": files " + disk.fileNames());
        assertTrue(disk.totalBytes() <= journal.allocatedBytes(), what + ": " + disk.totalBytes() + " of " + journal.allocatedBytes());
    }

    /** A kill after so many operations, inside the next write perhaps: what was acknowledged is there. */
    private void checkKilled(int operations, int bytesOfNext, String what) throws IOException {
        int k = 0;
        while (k + 1 < checkpoints.size() && checkpoints.get(k + 1).operations() <= operations) {
            k++;
        }
        Map<String, KnownState> before = checkpoints.get(k).messages();
        Map<String, KnownState> after = k + 1 < checkpoints.size() ? checkpoints.get(k + 1).messages() : before;
        Set<String> taken = new HashSet<>();
        checkpoints.subList(0, Math.min(k + 2, checkpoints.size()))
                .forEach(m -> taken.addAll(m.messages().keySet()));
        SimDisk left = SimDisk.afterKill(disk.operations, operations, bytesOfNext);
        try (SegmentedJournal next = RandomRun.open(left, quotaBytes, Durability.NONE)) {
            Map<String, KnownState> found = new TreeMap<>();
            next.pendingMessages().forEach(m -> found.put(m.submission().id(), KnownState.of(m)));
            before.forEach((id, known) -> {
                if (after.containsKey(id)) {
                    assertNotNull(found.get(id), what + ": " + id + " is lost");
                    boolean covered =
                            known.isCoveredBy(found.get(id)) || after.get(id).isCoveredBy(found.get(id));
                    assertTrue(covered, what + ": " + id + " " + known + found.get(id));
                }
            });
            Set<String> unknown = new TreeSet<>(found.keySet());
            unknown.removeAll(taken);
            assertEquals(Set.of(), unknown, what + ": messages that were refused");
            assertEquals(List.of(), next.recoveryReport().damages(), what);
        }
    }

    private void run(FaultTarget target, String error, FaultDuration duration, boolean kill, long seed) throws Exception {
        String what = target + " " + error + " " + duration + (kill ? " kill" : "") + " seed " + seed;
        SplittableRandom random = new SplittableRandom(seed);
        quotaBytes = target != null && target.kind() == SimDisk.OperationKind.DELETE ? 4 * QUOTA_BYTES : QUOTA_BYTES;
        open(Durability.NONE, seed);
        if (quotaBytes > QUOTA_BYTES) {
            randomRun.runWithoutCheckpoints(1500, LARGEST_BODY_BYTES, 400); // more files than what is live needs once it has ended: some are deleted
        }
        for (int i = 0; i < 200 + random.nextInt(400); i++) {
            runTurn();
        }
        int from = disk.operations.size();
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
                int at = from + random.nextInt(disk.operations.size() - from + 1);
                checkKilled(at, random.nextInt(2) * random.nextInt(400), what + " after " + at);
            }
        }
        checkRecovered(what);
    }

    /** How long operations fail, and whether the process is killed meanwhile. */
    private record FaultScenario(FaultDuration duration, boolean hasKill) {}

    /** Plays one combination; gives what was broken. */
    private static Optional<String> runOne(FaultTarget target, String error, FaultScenario outage, long seed) throws Exception {
        try {
            new StorageFaultTest().run(target, error, outage.duration(), outage.hasKill(), seed);
            return Optional.empty();
        } catch (AssertionError | RuntimeException e) {
            return Optional.of(e.toString().lines().findFirst().orElse(""));
        }
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void everyStepSurvivesEveryFault(long seed) throws Exception {
        List<String> broken = new ArrayList<>();
        int runs = 0;
        List<FaultTarget> targets = new ArrayList<>(TARGETS);
        targets.add(null); // whatever the operation
        List<FaultScenario> outages = Stream.of(FaultDuration.values())
                .flatMap(duration -> Stream.of(new FaultScenario(duration, false), new FaultScenario(duration, true)))
                .toList();
        for (FaultTarget target : targets) {
            for (String error : ERRORS) {
                for (FaultScenario outage : outages) {
                    runs++;
                    runOne(target, error, outage, 1000 * seed + runs).ifPresent(broken::add);
                }
            }
        }
        assertEquals(List.of(), broken, broken.size() + " of " + runs);
    }
}
