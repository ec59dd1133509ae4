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
    private static final long MILLISECOND_MICROS = 1_000,
            SECOND_MICROS = 1_000_000,
            HOUR_MICROS = 3_600 * SECOND_MICROS;
    private static final long QUOTA_BYTES = 512 * 1024;
    /** The clocks of the first run at the moment of the kill; the second run starts 2 s later. */
    private static final long WALL_AT_KILL_MICROS = 50_000 * HOUR_MICROS,
            MONOTONIC_AT_KILL_MICROS = 7 * HOUR_MICROS,
            DOWNTIME_MICROS = 2 * SECOND_MICROS;
    /**
     * At the kill: time to the deadline of a message, time to the expiry of a remembered result, and age of the
     * attempt.
     */
    private static final long TIME_LEFT_MICROS = 20 * SECOND_MICROS,
            REMEMBERED_FOR_MICROS = HOUR_MICROS,
            ATTEMPT_AGE_MICROS = 3 * SECOND_MICROS;

    private final SimDisk disk = new SimDisk();

    private SegmentedJournal open(LongSupplier wallMicros, BootClock bootClock) throws IOException {
        return new SegmentedJournal(
                disk,
                QUOTA_BYTES,
                Durability.NONE,
                new JournalClocks(() -> 0, wallMicros, bootClock),
                new SplittableRandom(1));
    }

    private void writeAndKill(SegmentedJournal journal) {
        Submission submission = new Submission("m", null, 2, 7, "key", new byte[3], false, false, TIME_LEFT_MICROS);
        journal.recordAccepted(
                "http", submission, WALL_AT_KILL_MICROS + TIME_LEFT_MICROS, WALL_AT_KILL_MICROS - ATTEMPT_AGE_MICROS);
        journal.recordAttempt("m", "a", 0, WALL_AT_KILL_MICROS - ATTEMPT_AGE_MICROS);
        journal.remember(
                "identity", FinalStatus.of(FinalStatus.Kind.DELIVERED), WALL_AT_KILL_MICROS + REMEMBERED_FOR_MICROS);
    }

    private static void checkSpans(SegmentedJournal journal, long nowMicros, long errorMicros) {
        PendingMessage message = journal.pendingMessages().iterator().next();
        assertEquals(
                TIME_LEFT_MICROS - DOWNTIME_MICROS + errorMicros,
                message.deadlineWallMicros() - nowMicros,
                "time left");
        assertEquals(
                ATTEMPT_AGE_MICROS + DOWNTIME_MICROS - errorMicros,
                nowMicros - message.lastAttemptWallMicros(),
                "age of the attempt, from which the window counts");
        assertEquals(
                REMEMBERED_FOR_MICROS - DOWNTIME_MICROS + errorMicros,
                journal.remembered("identity").untilWallMicros() - nowMicros,
                "remembered for");
    }

    /**
     * The clock is set between a kill and a restart without a reboot: every time span continues as if it had not been.
     */
    @ParameterizedTest
    @ValueSource(
            longs = {
                -HOUR_MICROS,
                -5 * SECOND_MICROS,
                -60 * MILLISECOND_MICROS,
                0,
                60 * MILLISECOND_MICROS,
                5 * SECOND_MICROS,
                HOUR_MICROS
            })
    void stepBetweenKillAndStartChangesNoSpan(long stepMicros) throws IOException {
        writeAndKill(
                open(() -> WALL_AT_KILL_MICROS, new BootClock(77, WALL_AT_KILL_MICROS - MONOTONIC_AT_KILL_MICROS)));
        long nowMicros = WALL_AT_KILL_MICROS + DOWNTIME_MICROS + stepMicros;
        try (SegmentedJournal next =
                open(() -> nowMicros, new BootClock(77, nowMicros - MONOTONIC_AT_KILL_MICROS - DOWNTIME_MICROS))) {
            checkSpans(next, nowMicros, 0);
        }
        // What the second run has copied is read by a third one, after the clock is set back to the time of the first.
        long laterMicros = WALL_AT_KILL_MICROS + DOWNTIME_MICROS;
        try (SegmentedJournal last =
                open(() -> laterMicros, new BootClock(77, laterMicros - MONOTONIC_AT_KILL_MICROS - DOWNTIME_MICROS))) {
            checkSpans(last, laterMicros, 0);
        }
    }

    /**
     * The clock is set during a run: the wall clock of a run continues from its start. The wall time in a file's header
     * is only informative.
     */
    @ParameterizedTest
    @ValueSource(longs = {-HOUR_MICROS, -5 * SECOND_MICROS, 5 * SECOND_MICROS, HOUR_MICROS})
    void stepDuringRunChangesNoSpan(long stepMicros) throws IOException {
        long[] wallMicros = {WALL_AT_KILL_MICROS};
        SegmentedJournal journal =
                open(() -> wallMicros[0], new BootClock(77, WALL_AT_KILL_MICROS - MONOTONIC_AT_KILL_MICROS));
        for (int i = 0; i < 60; i++) {
            journal.recordAccepted(
                    "http", new Submission("x" + i, null, 0, 7, null, new byte[500], false, false, 1), 1, 0);
            journal.recordSettled("x" + i);
        }
        wallMicros[0] += stepMicros; // the next files are created under the other clock
        writeAndKill(journal);
        for (int i = 0; i < 60; i++) {
            journal.recordAccepted(
                    "http", new Submission("y" + i, null, 0, 7, null, new byte[500], false, false, 1), 1, 0);
            journal.recordSettled("y" + i);
        }
        try (SegmentedJournal next = open(
                () -> WALL_AT_KILL_MICROS + DOWNTIME_MICROS,
                new BootClock(77, WALL_AT_KILL_MICROS - MONOTONIC_AT_KILL_MICROS))) {
            checkSpans(next, WALL_AT_KILL_MICROS + DOWNTIME_MICROS, 0);
        }
    }

    /**
     * A known limit: without a clock that outlasts the process (after a reboot or a suspension, or with simulated
     * clocks), a step between kill and restart becomes part of every time span.
     */
    @ParameterizedTest
    @ValueSource(longs = {-HOUR_MICROS, -5 * SECOND_MICROS, 5 * SECOND_MICROS, HOUR_MICROS})
    void stepChangesSpansWithoutBootClock(long stepMicros) throws IOException {
        writeAndKill(open(() -> WALL_AT_KILL_MICROS, BootClock.UNKNOWN));
        long nowMicros = WALL_AT_KILL_MICROS + DOWNTIME_MICROS + stepMicros;
        try (SegmentedJournal next = open(() -> nowMicros, BootClock.UNKNOWN)) {
            checkSpans(next, nowMicros, -stepMicros);
        }
    }

    /** Guards the core's wall clock: its distance to the monotonic clock is constant for a whole run. */
    @Test
    void wallClockOfRunFollowsMonotonicClock() {
        long offsetMicros = BootClock.wallOffsetMicros(Core::monotonicMicros, Core::wallMicros);
        assertEquals(
                offsetMicros, BootClock.wallOffsetMicros(Core::monotonicMicros, Core::wallMicros), MILLISECOND_MICROS);
    }

    /** A process that is delayed for 150 ms between its readings of the two clocks still determines their offset. */
    @Test
    void delayBetweenReadingsIsNoStep() {
        long[] nowMicros = {0};
        int[] readings = {0};
        LongSupplier monotonic = () -> {
            nowMicros[0] += readings[0]++ == 0 ? 150 * MILLISECOND_MICROS : 1;
            return nowMicros[0];
        };
        assertEquals(
                9 * SECOND_MICROS,
                BootClock.wallOffsetMicros(monotonic, () -> nowMicros[0] + 9 * SECOND_MICROS),
                MILLISECOND_MICROS);
    }
}
