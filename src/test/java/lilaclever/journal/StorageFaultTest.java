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
    private static final long MOST = 160 * 1024;
    private static final long TEN_SECONDS = 10_000_000;
    private static final long TURN = 20_000;
    private static final int LARGEST = 2000, HOLD = 40;

    /** What the journal was at as an operation failed. */
    enum Step {
        APPEND,
        ROTATION,
        ALLOCATION,
        COMPACTION,
        GROUP_SYNC
    }

    enum Duration {
        ONCE,
        TEN_SECONDS
    }

    /** The operation that fails, at a step; what else of that kind fails at other steps goes well. */
    record Target(Step step, SimDisk.Kind kind) {}

    private static final List<Target> TARGETS = List.of(
            new Target(Step.APPEND, SimDisk.Kind.WRITE),
            new Target(Step.ROTATION, SimDisk.Kind.OPEN),
            new Target(Step.ROTATION, SimDisk.Kind.WRITE),
            new Target(Step.ROTATION, SimDisk.Kind.RENAME),
            new Target(Step.ALLOCATION, SimDisk.Kind.CREATE),
            new Target(Step.ALLOCATION, SimDisk.Kind.WRITE),
            new Target(Step.COMPACTION, SimDisk.Kind.OPEN),
            new Target(Step.COMPACTION, SimDisk.Kind.WRITE),
            new Target(Step.COMPACTION, SimDisk.Kind.RENAME),
            new Target(Step.COMPACTION, SimDisk.Kind.DELETE));

    private static final List<String> ERRORS = List.of("No space left on device", "Input/output error");

    private static final Set<String> COVERED = new TreeSet<>();

    /** What a restart must know of a message; the earliest moment at which it may have run. */
    private record Known(int attempts, long mayHaveRunSince) {
        static Known of(PendingMessage m) {
            long since = m.mayHaveRun()
                    ? m.possibleRunWallMicros()
                    : m.isInFlight() ? m.lastAttemptWallMicros() : Long.MAX_VALUE;
            return new Known(m.attempts(), since);
        }

        boolean isCoveredBy(Known found) {
            return found.attempts >= attempts && found.mayHaveRunSince <= mayHaveRunSince;
        }
    }

    /** The model after a step, and how many operations the disk had seen by then. */
    private record Mark(int operations, Map<String, Known> messages) {}

    private final SimDisk disk = new SimDisk();
    /** Bytes that the files may take together. */
    private long most = MOST;

    private final List<Mark> marks = new ArrayList<>();
    private final LinkedBlockingQueue<Runnable> loop = new LinkedBlockingQueue<>();
    private SegmentedJournal journal;
    private Script script;
    private long clock;
    /** Whether operations fail now, and how many of them did. */
    private volatile boolean failing;

    private volatile int failures;

    /** Each target and any operation at all, both errors, both durations, with and without a kill. */
    @AfterAll
    static void everyPointWasCovered() {
        assertEquals((TARGETS.size() + 1) * ERRORS.size() * Duration.values().length * 2, COVERED.size(), "" + COVERED);
    }

    private void open(Durability durability, long seed) throws IOException {
        journal = new SegmentedJournal(disk, most, durability, Script.times(() -> clock), new SplittableRandom(seed));
        journal.setLoop(loop::add);
        script = new Script(disk, seed);
        script.use(journal);
    }

    static Step stepNow() {
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

    private void fail(Target target, String error, Duration duration, SplittableRandom random) {
        failing = true;
        failures = 0;
        disk.faults = (kind, name) -> {
            if (!failing || target != null && (kind != target.kind() || stepNow() != target.step())) {
                return null;
            }
            failures++;
            failing = duration != Duration.ONCE;
            return new SimDisk.Failure(new IOException(error), random.nextInt(3) == 0 ? 0 : random.nextInt(300));
        };
    }

    /** One step of the run and a turn of the loop; the model and the journal's memory agree, and the quota holds. */
    private void turn() throws InterruptedException {
        script.runOn(1, LARGEST, HOLD);
        endTurn();
    }

    private void endTurn() {
        journal.maintain(script.now);
        clock += TURN;
        Map<String, Known> known = new TreeMap<>();
        script.messages().forEach((id, m) -> known.put(id, Known.of(m)));
        marks.add(new Mark(disk.ops.size(), known));
        assertEquals(script.model(), owed(journal));
        assertTrue(disk.total() <= most, "bytes: " + disk.total());
    }

    private void turnsFor(long micros) throws InterruptedException {
        for (long end = clock + micros; clock < end; ) {
            turn();
        }
    }

    private static String owed(SegmentedJournal journal) {
        TreeMap<String, PendingMessage> all = new TreeMap<>();
        journal.pendingMessages().forEach(m -> all.put(m.submission().id(), m));
        return Script.text(all, Map.of());
    }

    /** The disk is good again: all is written, room is not lost, and new messages are taken, with no restart. */
    private void checkRecovered(String what) throws Exception {
        failing = false;
        clock += 2_000_000;
        journal.maintain(script.now);
        clock += 2_000_000;
        journal.maintain(script.now);
        assertEquals(0, journal.unwritten(), what);
        checkFiles(what);
        endAll();
        int refused = script.refused;
        turnsFor(50 * TURN);
        assertEquals(refused, script.refused, what + ": refused though the disk is good");
        checkFiles(what);
        journal.close();
        try (SegmentedJournal next = Script.open(disk, most, Durability.NONE)) {
            assertEquals(script.model(), owed(next), what);
            assertEquals(List.of(), next.recovered().damages(), what);
        }
    }

    private void endAll() {
        for (String id : List.copyOf(script.messages().keySet())) {
            journal.recordSettled(id);
            script.messages().remove(id);
            endTurn();
        }
    }

    /** The journal knows every file in the folder: one that it lost sight of would take room until a restart. */
    private void checkFiles(String what) {
        assertEquals(journal.files(), disk.names().size(), what + ": files " + disk.names());
        assertTrue(disk.total() <= journal.allocated(), what + ": " + disk.total() + " of " + journal.allocated());
    }

    /** A kill after so many operations, inside the next write perhaps: what was acknowledged is there. */
    private void checkKilled(int operations, int bytesOfNext, String what) throws IOException {
        int k = 0;
        while (k + 1 < marks.size() && marks.get(k + 1).operations() <= operations) {
            k++;
        }
        Map<String, Known> before = marks.get(k).messages();
        Map<String, Known> after = k + 1 < marks.size() ? marks.get(k + 1).messages() : before;
        Set<String> taken = new HashSet<>();
        marks.subList(0, Math.min(k + 2, marks.size()))
                .forEach(m -> taken.addAll(m.messages().keySet()));
        SimDisk left = SimDisk.killed(disk.ops, operations, bytesOfNext);
        try (SegmentedJournal next = Script.open(left, most, Durability.NONE)) {
            Map<String, Known> found = new TreeMap<>();
            next.pendingMessages().forEach(m -> found.put(m.submission().id(), Known.of(m)));
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
            assertEquals(List.of(), next.recovered().damages(), what);
        }
    }

    private void run(Target target, String error, Duration duration, boolean kill, long seed) throws Exception {
        String what = target + " " + error + " " + duration + (kill ? " kill" : "") + " seed " + seed;
        SplittableRandom random = new SplittableRandom(seed);
        most = target != null && target.kind() == SimDisk.Kind.DELETE ? 4 * MOST : MOST;
        open(Durability.NONE, seed);
        if (most > MOST) {
            script.runOn(1500, LARGEST, 400); // more files than what is live needs once it has ended: some are deleted
        }
        for (int i = 0; i < 200 + random.nextInt(400); i++) {
            turn();
        }
        int from = disk.ops.size();
        fail(target, error, duration, random);
        if (most > MOST) {
            endAll();
        }
        if (duration == Duration.ONCE) {
            for (int i = 0; i < 1500 && failures == 0; i++) {
                turn();
            }
            turnsFor(20 * TURN);
        } else {
            turnsFor(TEN_SECONDS);
        }
        if (failures > 0) {
            COVERED.add((target == null ? "ANY" : target.step() + " " + target.kind()) + " " + error + " " + duration
                    + (kill ? " kill" : ""));
        }
        if (kill) {
            for (int i = 0; i < 60; i++) {
                int at = from + random.nextInt(disk.ops.size() - from + 1);
                checkKilled(at, random.nextInt(2) * random.nextInt(400), what + " after " + at);
            }
        }
        checkRecovered(what);
    }

    /** How long operations fail, and whether the process is killed meanwhile. */
    private record Outage(Duration duration, boolean hasKill) {}

    /** Plays one combination; gives what was broken. */
    private static Optional<String> runOne(Target target, String error, Outage outage, long seed) throws Exception {
        try {
            new StorageFaultTest().run(target, error, outage.duration(), outage.hasKill(), seed);
            return Optional.empty();
        } catch (AssertionError | RuntimeException e) {
            return Optional.of(e.toString().lines().findFirst().orElse(""));
        }
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void everyStepOutlastsEveryFault(long seed) throws Exception {
        List<String> broken = new ArrayList<>();
        int runs = 0;
        List<Target> targets = new ArrayList<>(TARGETS);
        targets.add(null); // whatever the operation
        List<Outage> outages = Stream.of(Duration.values())
                .flatMap(duration -> Stream.of(new Outage(duration, false), new Outage(duration, true)))
                .toList();
        for (Target target : targets) {
            for (String error : ERRORS) {
                for (Outage outage : outages) {
                    runs++;
                    runOne(target, error, outage, 1000 * seed + runs).ifPresent(broken::add);
                }
            }
        }
        assertEquals(List.of(), broken, broken.size() + " of " + runs);
    }
}
