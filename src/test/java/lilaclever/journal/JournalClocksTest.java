package lilaclever.journal;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.util.SplittableRandom;
import java.util.function.LongSupplier;
import lilaclever.routing.Core;
import lilaclever.routing.FinalStatus;
import lilaclever.routing.PendingMessage;
import lilaclever.routing.Submission;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Time spans that the journal stores, while the wall clock is set during a run, or between a kill and the next start.
 */
class JournalClocksTest {
    private static final long MS = 1_000, SECOND = 1_000_000, HOUR = 3_600 * SECOND;
    private static final long MOST = 512 * 1024;
    /** The clocks of the first run at the moment of the kill; the second run starts 2 s later. */
    private static final long WALL = 50_000 * HOUR, MONOTONIC = 7 * HOUR, DOWN = 2 * SECOND;
    /**
     * At the kill: time to the deadline of a message, time to the expiry of a remembered result, and age of the
     * attempt.
     */
    private static final long LEFT = 20 * SECOND, REMEMBERED = HOUR, AGE = 3 * SECOND;

    private final SimDisk disk = new SimDisk();

    private SegmentedJournal open(LongSupplier wall, BootClock clock) throws IOException {
        return new SegmentedJournal(
                disk, MOST, Durability.NONE, new JournalClocks(() -> 0, wall, clock), new SplittableRandom(1));
    }

    private void writeAndKill(SegmentedJournal journal) {
        Submission submission = new Submission("m", null, 2, 7, "key", new byte[3], false, false, LEFT);
        journal.taken("http", submission, WALL + LEFT, WALL - AGE);
        journal.attempt("m", "a", 0, WALL - AGE);
        journal.remember("identity", FinalStatus.of(FinalStatus.Kind.DELIVERED), WALL + REMEMBERED);
    }

    private static void checkSpans(SegmentedJournal journal, long now, long error) {
        PendingMessage m = journal.owed().iterator().next();
        assertEquals(LEFT - DOWN + error, m.deadlineWall() - now, "time left");
        assertEquals(AGE + DOWN - error, now - m.sentWall(), "age of the attempt, from which the window counts");
        assertEquals(REMEMBERED - DOWN + error, journal.remembered("identity").untilWall() - now, "remembered for");
    }

    /**
     * The clock is set between a kill and a restart without a reboot: every time span continues as if it had not been.
     */
    @ParameterizedTest
    @ValueSource(longs = {-HOUR, -5 * SECOND, -60 * MS, 0, 60 * MS, 5 * SECOND, HOUR})
    void aStepBetweenKillAndStartMovesNoSpan(long step) throws IOException {
        writeAndKill(open(() -> WALL, new BootClock(77, WALL - MONOTONIC)));
        long now = WALL + DOWN + step;
        try (SegmentedJournal next = open(() -> now, new BootClock(77, now - MONOTONIC - DOWN))) {
            checkSpans(next, now, 0);
        }
        // What the second run has copied is read by a third one, after the clock is set back to the time of the first.
        long later = WALL + DOWN;
        try (SegmentedJournal last = open(() -> later, new BootClock(77, later - MONOTONIC - DOWN))) {
            checkSpans(last, later, 0);
        }
    }

    /**
     * The clock is set during a run: the wall clock of a run continues from its start. The wall time in a file's header
     * is only informative.
     */
    @ParameterizedTest
    @ValueSource(longs = {-HOUR, -5 * SECOND, 5 * SECOND, HOUR})
    void aStepWhileItRunsMovesNoSpan(long step) throws IOException {
        long[] shown = {WALL};
        SegmentedJournal journal = open(() -> shown[0], new BootClock(77, WALL - MONOTONIC));
        for (int i = 0; i < 60; i++) {
            journal.taken("http", new Submission("x" + i, null, 0, 7, null, new byte[500], false, false, 1), 1, 0);
            journal.ended("x" + i);
        }
        shown[0] += step; // the next files are created under the other clock
        writeAndKill(journal);
        for (int i = 0; i < 60; i++) {
            journal.taken("http", new Submission("y" + i, null, 0, 7, null, new byte[500], false, false, 1), 1, 0);
            journal.ended("y" + i);
        }
        try (SegmentedJournal next = open(() -> WALL + DOWN, new BootClock(77, WALL - MONOTONIC))) {
            checkSpans(next, WALL + DOWN, 0);
        }
    }

    /**
     * A known limit: without a clock that outlasts the process (after a reboot or a suspension, or with simulated
     * clocks), a step between kill and restart becomes part of every time span.
     */
    @ParameterizedTest
    @ValueSource(longs = {-HOUR, -5 * SECOND, 5 * SECOND, HOUR})
    void withoutAClockThatOutlastsTheProcessAStepIsBelieved(long step) throws IOException {
        writeAndKill(open(() -> WALL, BootClock.UNKNOWN));
        long now = WALL + DOWN + step;
        try (SegmentedJournal next = open(() -> now, BootClock.UNKNOWN)) {
            checkSpans(next, now, -step);
        }
    }

    /** Guards the core's wall clock: its distance to the monotonic clock is constant for a whole run. */
    @Test
    void theWallClockOfALifeGoesWithTheMonotonicOne() {
        long distance = BootClock.offset(Core::micros, Core::wall);
        assertEquals(distance, BootClock.offset(Core::micros, Core::wall), MS);
    }

    /** A process that is delayed for 150 ms between its readings of the two clocks still determines their offset. */
    @Test
    void aPauseBetweenTwoReadingsIsNoStep() {
        long[] now = {0};
        int[] readings = {0};
        LongSupplier monotonic = () -> {
            now[0] += readings[0]++ == 0 ? 150 * MS : 1;
            return now[0];
        };
        assertEquals(9 * SECOND, BootClock.offset(monotonic, () -> now[0] + 9 * SECOND), MS);
    }
}
