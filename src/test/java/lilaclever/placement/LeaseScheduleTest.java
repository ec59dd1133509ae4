package lilaclever.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Optional;
import java.util.function.Function;
import lilaclever.placement.LeaseSchedule.Breach;
import lilaclever.placement.LeaseSchedule.Coverage;
import lilaclever.placement.LeaseSchedule.Variant;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import org.junit.jupiter.api.Test;

/** No two holders may send for a shard in random schedules, and the removal of any guard is detected. */
class LeaseScheduleTest {
    /** Schedules to run for each faulty variant; the seeds are 1, 2, ... */
    private static final int SCHEDULES_PER_VARIANT = 400;

    @Property(tries = 1000, seed = "32", shrinking = ShrinkingMode.OFF)
    void atMostOneHolderMaySendForAShard(@ForAll long seed) {
        assertEquals(Optional.empty(), new LeaseSchedule(seed, Variant.CORRECT).run());
    }

    @Test
    void schedulesHaveCallsHandoversExpirationsAndOldPermissions() {
        Coverage total = Coverage.NONE;
        for (long seed = 1; seed <= 100; seed++) {
            LeaseSchedule schedule = new LeaseSchedule(seed, Variant.CORRECT);
            assertEquals(Optional.empty(), schedule.run());
            total = total.plus(schedule.coverage());
        }
        String coverage = total.toString();
        assertTrue(total.calls() > 10_000 && total.handovers() > 1000 && total.grants() > 2000, coverage);
        assertTrue(total.expirations() > 500 && total.lost() > 10_000 && total.refusedOlderEpoch() > 3, coverage);
    }

    @Test
    void sameSeedGivesTheSameSchedule() {
        LeaseSchedule first = new LeaseSchedule(5, Variant.CORRECT);
        LeaseSchedule second = new LeaseSchedule(5, Variant.CORRECT);
        assertEquals(first.run(), second.run());
        assertEquals(first.coverage(), second.coverage());
    }

    @Test
    void holderWithoutMarginIsDetected() {
        assertEquals(
                Breach.Kind.SEND_DURING_ANOTHERS_WRITE,
                firstBreach(withGuards(timing -> new LeaseGuards(timing) {
                            @Override
                            long sendUntilMicros(long leaseEndMicros) {
                                return leaseEndMicros;
                            }
                        }))
                        .kind());
    }

    @Test
    void holderThatIgnoresExpiryIsDetected() {
        assertEquals(
                Breach.Kind.TWO_MAY_SEND,
                firstBreach(withGuards(timing -> new LeaseGuards(timing) {
                            @Override
                            boolean expired(long nowMicros, long untilMicros) {
                                return false;
                            }
                        }))
                        .kind());
    }

    @Test
    void holderThatIgnoresEpochsIsDetected() {
        assertEquals(
                Breach.Kind.CALL_WITH_OLDER_EPOCH,
                firstBreach(withGuards(timing -> new LeaseGuards(timing) {
                            @Override
                            boolean isOlderEpoch(long epoch, long leastEpoch) {
                                return false;
                            }
                        }))
                        .kind());
    }

    @Test
    void holderWhoseRenewalsCoverEveryRevisionIsDetected() {
        assertEquals(
                Breach.Kind.TWO_MAY_SEND,
                firstBreach(withGuards(timing -> new LeaseGuards(timing) {
                            @Override
                            boolean covers(long renewedRevision, long grantedRevision, long appliedRevision) {
                                return true;
                            }
                        }))
                        .kind());
    }

    @Test
    void controllerWithoutMarginAndDriftAllowanceIsDetected() {
        firstBreach(new Variant(
                LeaseGuards::new, timing -> new LeaseTiming(timing.heartbeatMicros(), timing.leaseMicros(), 0, 0), 1));
    }

    @Test
    void clocksThatDriftBeyondTheBoundAreDetected() {
        firstBreach(new Variant(LeaseGuards::new, timing -> timing, 20));
    }

    private static Variant withGuards(Function<LeaseTiming, LeaseGuards> guards) {
        return new Variant(guards, timing -> timing, 1);
    }

    private static Breach firstBreach(Variant variant) {
        for (long seed = 1; seed <= SCHEDULES_PER_VARIANT; seed++) {
            Optional<Breach> breach = new LeaseSchedule(seed, variant).run();
            if (breach.isPresent()) {
                return breach.get();
            }
        }
        throw new AssertionError("no breach in " + SCHEDULES_PER_VARIANT + " schedules");
    }
}
