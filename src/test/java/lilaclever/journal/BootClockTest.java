package lilaclever.journal;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.util.SplittableRandom;
import lilaclever.routing.PendingMessage;
import lilaclever.routing.Submission;
import org.junit.jupiter.api.Test;

class BootClockTest {
    private static final long SECOND = 1_000_000;

    /**
     * Guards against wall times being shifted in a process whose clocks are simulated: both of its clocks advance by 2
     * s over a restart, the machine's by 9 s. Shifting deadlines and repeat windows by the difference lost messages,
     * and sent orders again too late.
     */
    @Test
    void clocksThatDoNotRunWithTheMachinesMoveNothing() throws IOException {
        SimDisk disk = new SimDisk();
        long[] walls = {1_000 * SECOND, 1_002 * SECOND},
                monotonic = {500 * SECOND, 502 * SECOND},
                ups = {800 * SECOND, 809 * SECOND};
        for (int life = 0; life < 2; life++) {
            long wall = walls[life];
            BootClock clock = BootClock.of(77, monotonic[life], ups[life], monotonic[life], wall - monotonic[life]);
            assertEquals(BootClock.UNKNOWN, clock);
            try (SegmentedJournal journal = new SegmentedJournal(
                    disk,
                    1 << 20,
                    Durability.NONE,
                    new JournalClocks(() -> 0, () -> wall, clock),
                    new SplittableRandom(life))) {
                if (life == 0) {
                    journal.taken(
                            "http",
                            new Submission("m", null, 0, 7, null, new byte[3], false, false, 5 * SECOND),
                            wall + 5 * SECOND,
                            wall);
                    journal.attempt("m", "a", 0, wall + SECOND);
                } else {
                    PendingMessage m = journal.owed().iterator().next();
                    assertEquals(1_005 * SECOND, m.deadlineWall());
                    assertEquals(1_001 * SECOND, m.sentWall());
                }
            }
        }
    }

    /**
     * A machine that was suspended in between: its wall clock was not set, so nothing is shifted, although the
     * monotonic clock stood still.
     */
    @Test
    void aMonotonicClockThatStoodStillIsNotBelieved() {
        assertEquals(BootClock.UNKNOWN, BootClock.of(77, 500 * SECOND, 560 * SECOND, 500 * SECOND, SECOND));
    }

    @Test
    void whereBothAgreeAClockThatWasSetIsNoticed() {
        BootClock then = BootClock.of(77, 500 * SECOND, 500 * SECOND - 9_999, 500 * SECOND + 40, 9 * SECOND);
        BootClock now = BootClock.of(77, 600 * SECOND, 600 * SECOND - 1, 600 * SECOND + 40, 3 * SECOND);
        assertEquals(-6 * SECOND, now.shiftFrom(then));
        assertEquals(0, new BootClock(78, 3 * SECOND).shiftFrom(then), "another boot");
        assertEquals(0, BootClock.UNKNOWN.shiftFrom(then));
    }
}
