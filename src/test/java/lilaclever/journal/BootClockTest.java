package lilaclever.journal;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.util.SplittableRandom;
import lilaclever.routing.PendingMessage;
import lilaclever.routing.Submission;
import org.junit.jupiter.api.Test;

class BootClockTest {
    private static final long SECOND_MICROS = 1_000_000;

    /**
     * Guards against wall times being shifted in a process whose clocks are simulated: both of its clocks advance by
     * 2 s over a restart, the machine's by 9 s. When deadlines and repeat windows were shifted by the difference,
     * messages were lost and orders were resent after their repeat window.
     */
    @Test
    void simulatedClocksShiftNothing() throws IOException {
        SimDisk disk = new SimDisk();
        long[] wallTimesMicros = {1_000 * SECOND_MICROS, 1_002 * SECOND_MICROS},
                monotonicTimesMicros = {500 * SECOND_MICROS, 502 * SECOND_MICROS},
                uptimesMicros = {800 * SECOND_MICROS, 809 * SECOND_MICROS};
        for (int run = 0; run < 2; run++) {
            long wallMicros = wallTimesMicros[run];
            BootClock clock = BootClock.fromUptime(
                    77,
                    monotonicTimesMicros[run],
                    uptimesMicros[run],
                    monotonicTimesMicros[run],
                    wallMicros - monotonicTimesMicros[run]);
            assertEquals(BootClock.UNKNOWN, clock);
            try (SegmentedJournal journal = new SegmentedJournal(
                    disk,
                    1 << 20,
                    Durability.NONE,
                    new JournalClocks(() -> 0, () -> wallMicros, clock),
                    new SplittableRandom(run))) {
                if (run == 0) {
                    journal.recordAccepted(
                            "http",
                            new Submission("m", null, 0, 7, null, new byte[3], false, false, 5 * SECOND_MICROS),
                            wallMicros + 5 * SECOND_MICROS,
                            wallMicros);
                    journal.recordAttempt("m", "a", 0, wallMicros + SECOND_MICROS);
                } else {
                    PendingMessage message =
                            journal.pendingMessages().iterator().next();
                    assertEquals(1_005 * SECOND_MICROS, message.deadlineWallMicros());
                    assertEquals(1_001 * SECOND_MICROS, message.lastAttemptWallMicros());
                }
            }
        }
    }

    /**
     * After a suspension of the machine nothing is shifted: its wall clock was not set, although the monotonic clock
     * stood still.
     */
    @Test
    void monotonicClockThatStoodStillIsNotTrusted() {
        assertEquals(
                BootClock.UNKNOWN,
                BootClock.fromUptime(77, 500 * SECOND_MICROS, 560 * SECOND_MICROS, 500 * SECOND_MICROS, SECOND_MICROS));
    }

    @Test
    void wallClockStepIsDetectedWhereClocksAgree() {
        BootClock earlier = BootClock.fromUptime(
                77, 500 * SECOND_MICROS, 500 * SECOND_MICROS - 9_999, 500 * SECOND_MICROS + 40, 9 * SECOND_MICROS);
        BootClock now = BootClock.fromUptime(
                77, 600 * SECOND_MICROS, 600 * SECOND_MICROS - 1, 600 * SECOND_MICROS + 40, 3 * SECOND_MICROS);
        assertEquals(-6 * SECOND_MICROS, now.wallShiftMicrosSince(earlier));
        assertEquals(0, new BootClock(78, 3 * SECOND_MICROS).wallShiftMicrosSince(earlier), "another boot");
        assertEquals(0, BootClock.UNKNOWN.wallShiftMicrosSince(earlier));
    }
}
