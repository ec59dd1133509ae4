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
     * Guards messages of a restart where the process's clocks are led: there two seconds passed by both of its clocks
     * and nine by the machine's. Deadlines and windows moved by the difference: messages were lost, and orders sent
     * again late.
     */
    @Test
    void simulatedClocksShiftNothing() throws IOException {
        SimDisk disk = new SimDisk();
        long[] walls = {1_000 * SECOND_MICROS, 1_002 * SECOND_MICROS},
                monotonic = {500 * SECOND_MICROS, 502 * SECOND_MICROS},
                ups = {800 * SECOND_MICROS, 809 * SECOND_MICROS};
        for (int life = 0; life < 2; life++) {
            long wall = walls[life];
            BootClock clock = BootClock.fromUptime(77, monotonic[life], ups[life], monotonic[life], wall - monotonic[life]);
            assertEquals(BootClock.UNKNOWN, clock);
            try (SegmentedJournal journal = new SegmentedJournal(
                    disk,
                    1 << 20,
                    Durability.NONE,
                    new JournalClocks(() -> 0, () -> wall, clock),
                    new SplittableRandom(life))) {
                if (life == 0) {
                    journal.recordAccepted(
                            "http",
                            new Submission("m", null, 0, 7, null, new byte[3], false, false, 5 * SECOND_MICROS),
                            wall + 5 * SECOND_MICROS,
                            wall);
                    journal.recordAttempt("m", "a", 0, wall + SECOND_MICROS);
                } else {
                    PendingMessage m = journal.pendingMessages().iterator().next();
                    assertEquals(1_005 * SECOND_MICROS, m.deadlineWallMicros());
                    assertEquals(1_001 * SECOND_MICROS, m.lastAttemptWallMicros());
                }
            }
        }
    }

    /**
     * A machine that slept between: its wall clock was not set, so nothing is moved, though the monotonic one stood
     * still.
     */
    @Test
    void monotonicClockThatStoodStillIsNotTrusted() {
        assertEquals(BootClock.UNKNOWN, BootClock.fromUptime(77, 500 * SECOND_MICROS, 560 * SECOND_MICROS, 500 * SECOND_MICROS, SECOND_MICROS));
    }

    @Test
    void wallClockStepIsDetectedWhereClocksAgree() {
        BootClock then = BootClock.fromUptime(77, 500 * SECOND_MICROS, 500 * SECOND_MICROS - 9_999, 500 * SECOND_MICROS + 40, 9 * SECOND_MICROS);
        BootClock now = BootClock.fromUptime(77, 600 * SECOND_MICROS, 600 * SECOND_MICROS - 1, 600 * SECOND_MICROS + 40, 3 * SECOND_MICROS);
        assertEquals(-6 * SECOND_MICROS, now.wallShiftMicrosSince(then));
        assertEquals(0, new BootClock(78, 3 * SECOND_MICROS).wallShiftMicrosSince(then), "another boot");
        assertEquals(0, BootClock.UNKNOWN.wallShiftMicrosSince(then));
    }
}
