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
 * Runs are recorded operation by operation, cut at each, and opened: what was acknowledged must be there, and nothing
 * else but the one change that was under way.
 */
class CrashTest {
    private static final long MOST = 160 * 1024;

    /** The states that may be found after a cut: as of the last step that was acknowledged, or the next one. */
    private static void check(Script script, int done, SimDisk disk, String what) throws IOException {
        int k = 0;
        while (k + 1 < script.marks.size() && script.marks.get(k + 1).ops() <= done) {
            k++;
        }
        try (SegmentedJournal found = Script.open(disk, MOST, Durability.NONE)) {
            String state = Script.text(found, 0);
            assertEquals(List.of(), found.recovered().damages(), what);
            boolean good = strip(state).equals(strip(script.marks.get(k).state()))
                    || k + 1 < script.marks.size()
                            && strip(state).equals(strip(script.marks.get(k + 1).state()));
            if (!good) {
                assertEquals(script.marks.get(k).state(), state, what);
            }
            assertTrue(disk.total() <= MOST, what + ": " + disk.total());
        }
    }

    /** Ends past their time are forgotten when there is a turn for it: they may be there or not. */
    private static String strip(String state) {
        return state.substring(0, state.lastIndexOf('{'));
    }

    /** A kill at any operation and inside any write, compaction, rolls and reuse of files included. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void aKillAnywhereLosesNothingThatWasAcknowledged(long seed) throws IOException {
        SimDisk disk = new SimDisk();
        Script script = new Script(disk, seed);
        SegmentedJournal journal = Script.open(disk, MOST, Durability.NONE);
        script.use(journal);
        script.run(1500, 3000, 60);
        assertTrue(journal.copied() > 5_000, "copied forward: " + journal.copied());
        for (int done = 0; done <= disk.ops.size(); done++) {
            check(script, done, SimDisk.killed(disk.ops, done, 0), "after " + done);
            if (done < disk.ops.size() && disk.ops.get(done).kind() == SimDisk.Kind.WRITE) {
                int length = disk.ops.get(done).bytes().length;
                for (int part : new int[] {1, length / 2, length - 1}) {
                    check(script, done, SimDisk.killed(disk.ops, done, part), part + " bytes after " + done);
                }
            }
        }
    }

    /** A second kill while the first one's folder is being opened, and a third. */
    @Test
    void killsInARowDuringRecoveryLoseNothing() throws IOException {
        SimDisk disk = new SimDisk();
        Script script = new Script(disk, 11);
        script.use(Script.open(disk, MOST, Durability.NONE));
        script.run(800, 3000, 60);
        SplittableRandom random = new SplittableRandom(5);
        for (int i = 0; i < 300; i++) {
            int done = random.nextInt(disk.ops.size());
            List<SimDisk.Op> ops = disk.ops.subList(0, done);
            for (int life = 0; life < 2; life++) {
                SimDisk again = SimDisk.killed(ops, ops.size(), 0);
                try (SegmentedJournal found = Script.open(again, MOST, Durability.NONE)) {
                    found.maintain(0);
                }
                List<SimDisk.Op> more = new ArrayList<>(ops);
                more.addAll(again.ops.subList(0, random.nextInt(again.ops.size() + 1)));
                ops = more;
            }
            check(script, done, SimDisk.killed(ops, ops.size(), 0), "cut " + i + " after " + done);
        }
    }

    /** With a group commit, what was acknowledged after a forcing outlasts a failure of the machine. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void aPowerCutLosesNothingThatWasForced(long seed) throws Exception {
        SimDisk disk = new SimDisk();
        SplittableRandom random = new SplittableRandom(seed);
        List<Integer> forcedAt = new ArrayList<>();
        List<List<String>> idsThen = new ArrayList<>();
        try (SegmentedJournal journal = Script.open(disk, MOST, new Durability(Durability.How.GROUP, 0))) {
            java.util.concurrent.LinkedBlockingQueue<Runnable> loop = new java.util.concurrent.LinkedBlockingQueue<>();
            journal.setLoop(loop::add);
            Script script = new Script(disk, seed);
            script.use(journal);
            for (int turn = 0; turn < 150; turn++) {
                script.run(8, 2000, 50);
                boolean[] durable = {false};
                journal.whenDurable(() -> durable[0] = true);
                List<String> ids = journal.pendingMessages().stream()
                        .map(o -> o.submission().id() + " " + o.attempts())
                        .toList();
                while (!durable[0]) {
                    journal.maintain(script.now);
                    if (!durable[0]) {
                        loop.take().run();
                    }
                }
                forcedAt.add(disk.ops.size());
                idsThen.add(ids);
            }
        }
        for (int turn = 0; turn < forcedAt.size(); turn++) {
            for (int cut = 0; cut < 4; cut++) {
                int next = turn + 1 < forcedAt.size() ? forcedAt.get(turn + 1) : disk.ops.size();
                int done = forcedAt.get(turn) + random.nextInt(next - forcedAt.get(turn) + 1);
                SimDisk left = SimDisk.powerCut(disk.ops, done, random);
                try (SegmentedJournal found = Script.open(left, 4 * MOST, Durability.NONE)) {
                    List<String> there = found.pendingMessages().stream()
                            .map(o -> o.submission().id())
                            .toList();
                    List<String> later = turn + 1 < idsThen.size() ? idsThen.get(turn + 1) : List.of();
                    for (String id : idsThen.get(turn)) {
                        // What ended since may be gone or not; all else must be there.
                        boolean stays = later.stream().anyMatch(l -> l.split(" ")[0].equals(id.split(" ")[0]));
                        assertTrue(!stays || there.contains(id.split(" ")[0]), id + " cut at " + done);
                    }
                    for (PendingMessage o : found.pendingMessages()) {
                        checkAttempts(o, idsThen.get(turn));
                    }
                }
            }
        }
    }

    private static void checkAttempts(PendingMessage o, List<String> idsThen) {
        for (String was : idsThen) {
            if (was.startsWith(o.submission().id() + " ")) {
                int attempts = Integer.parseInt(was.split(" ")[1]);
                assertTrue(o.attempts() >= attempts || o.mayHaveRun(), was + " " + Script.text(o));
            }
        }
    }
}
