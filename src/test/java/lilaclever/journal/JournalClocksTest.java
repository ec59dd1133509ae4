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

/** Spans of time that the journal keeps, where the wall clock is stepped: while it runs, and between kill and start. */
class JournalClocksTest {
    private static final long MS = 1_000, SECOND = 1_000_000, HOUR = 3_600 * SECOND;
    private static final long MOST = 512 * 1024;
    /** Of the first life, as its clocks show the moment of the kill; the second one begins 2 s later. */
    private static final long WALL = 50_000 * HOUR, MONOTONIC = 7 * HOUR, DOWN = 2 * SECOND;
    /** What is left at the kill of a message's time and of a remembered end's, and how old its attempt is. */
    private static final long LEFT = 20 * SECOND, REMEMBERED = HOUR, AGE = 3 * SECOND;

    private final SimDisk disk = new SimDisk();

    private SegmentedJournal open(LongSupplier wall, BootClock clock) throws IOException {
        return new SegmentedJournal(
                disk, MOST, Durability.NONE, new JournalClocks(() -> 0, wall, clock), new SplittableRandom(1));
    }

    private void writeAndKill(SegmentedJournal journal) {
        Submission submission = new Submission("m", null, 2, 7, "key", new byte[3], false, false, LEFT);
        journal.recordAccepted("http", submission, WALL + LEFT, WALL - AGE);
        journal.recordAttempt("m", "a", 0, WALL - AGE);
        journal.remember("identity", FinalStatus.of(FinalStatus.Kind.DELIVERED), WALL + REMEMBERED);
    }

    private static void checkSpans(SegmentedJournal journal, long now, long error) {
        PendingMessage m = journal.pendingMessages().iterator().next();
        assertEquals(LEFT - DOWN + error, m.deadlineWallMicros() - now, "time left");
        assertEquals(
                AGE + DOWN - error,
                now - m.lastAttemptWallMicros(),
                "age of the attempt, from which the window counts");
        assertEquals(
                REMEMBERED - DOWN + error, journal.remembered("identity").untilWallMicros() - now, "remembered for");
    }

    /** Between kill and start, with the machine still up: every span goes on as if nothing had been set. */
    @ParameterizedTest
    @ValueSource(longs = {-HOUR, -5 * SECOND, -60 * MS, 0, 60 * MS, 5 * SECOND, HOUR})
    void aStepBetweenKillAndStartMovesNoSpan(long step) throws IOException {
        writeAndKill(open(() -> WALL, new BootClock(77, WALL - MONOTONIC)));
        long now = WALL + DOWN + step;
        try (SegmentedJournal next = open(() -> now, new BootClock(77, now - MONOTONIC - DOWN))) {
            checkSpans(next, now, 0);
        }
        // What the second life has copied is read by a third one, after a step back to where the first one was.
        long later = WALL + DOWN;
        try (SegmentedJournal last = open(() -> later, new BootClock(77, later - MONOTONIC - DOWN))) {
            checkSpans(last, later, 0);
        }
    }

    /** While it runs: a life's wall clock goes on from its beginning; what a file's header says of it is for people. */
    @ParameterizedTest
    @ValueSource(longs = {-HOUR, -5 * SECOND, 5 * SECOND, HOUR})
    void aStepWhileItRunsMovesNoSpan(long step) throws IOException {
        long[] shown = {WALL};
        SegmentedJournal journal = open(() -> shown[0], new BootClock(77, WALL - MONOTONIC));
        for (int i = 0; i < 60; i++) {
            journal.recordAccepted(
                    "http", new Submission("x" + i, null, 0, 7, null, new byte[500], false, false, 1), 1, 0);
            journal.recordSettled("x" + i);
        }
        shown[0] += step; // the next files are made under the other clock
        writeAndKill(journal);
        for (int i = 0; i < 60; i++) {
            journal.recordAccepted(
                    "http", new Submission("y" + i, null, 0, 7, null, new byte[500], false, false, 1), 1, 0);
            journal.recordSettled("y" + i);
        }
        try (SegmentedJournal next = open(() -> WALL + DOWN, new BootClock(77, WALL - MONOTONIC))) {
            checkSpans(next, WALL + DOWN, 0);
        }
    }

    /**
     * Not moved, and so a known limit: without a clock that outlasts the process (the machine was started anew, has
     * slept, or the process's clocks are led) a step between kill and start is part of every span.
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

    /** Guards the core's wall clock: it stands in a fixed distance from the monotonic one for all of a life. */
    @Test
    void theWallClockOfALifeGoesWithTheMonotonicOne() {
        long distance = BootClock.offset(Core::monotonicMicros, Core::wallMicros);
        assertEquals(distance, BootClock.offset(Core::monotonicMicros, Core::wallMicros), MS);
    }

    /** A process that is held up for 150 ms between its readings of the two clocks still knows their distance. */
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
