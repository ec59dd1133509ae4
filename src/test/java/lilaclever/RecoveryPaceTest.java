package lilaclever;

import static lilaclever.Rig.S;
import static org.junit.jupiter.api.Assertions.assertEquals;

import lilaclever.PolicyState.Endpoint;
import org.junit.jupiter.api.Test;

/**
 * The rig's rules: slow start of 10 s from a fifth of the capacity, and a destination that falls over at 2.5 times what
 * it can take; of that budget 0.85 is used.
 */
class RecoveryPaceTest {
    private final PolicyFixture fixture = new PolicyFixture();
    private final SlowStart slowStart = new SlowStart(fixture.state);
    private final RecoveryPace pace = pace(fixture, slowStart);
    private final Endpoint endpoint = fixture.endpoint();

    private static RecoveryPace pace(PolicyFixture fixture, SlowStart slowStart) {
        RateEstimates rates = new RateEstimates(fixture.state, slowStart);
        return new RecoveryPace(fixture.state, slowStart, rates, new TransientFailures(fixture.state));
    }

    @Test
    void anEndpointThatIsWellIsNotLimited() {
        assertEquals(PolicyState.NEVER, pace.callsPerSecond(endpoint));
    }

    @Test
    void inAnOutageItGetsItsPartOfAColdDestinationsBudget() {
        fixture.limit.announcedRate = 8;
        endpoint.inOutage = true;
        endpoint.trialIntervalMicros = S / 2;
        assertEquals(0.85 * 2.5 * 0.2 * 4, pace.callsPerSecond(endpoint), 1e-9, "of an even share of 4 a second");
        assertEquals(0.85 * 2.5 * 0.2 * 4, pace.outageRate(fixture.limit), 1e-9);
        fixture.endpoint();
        assertEquals(0.85 * 2.5 * 0.2 * 2, pace.callsPerSecond(endpoint), 1e-9, "two endpoints share it");
        fixture.limit.outageRateDivisor = 1.5;
        assertEquals(0.85 * 2.5 * 0.2 * 2 / 1.5, pace.callsPerSecond(endpoint), 1e-9, "spread by chance");
    }

    @Test
    void trialCallsKeepToTheirPause() {
        fixture.limit.announcedRate = 8;
        endpoint.inOutage = true;
        endpoint.trialIntervalMicros = 2 * S;
        assertEquals(0.5, pace.callsPerSecond(endpoint), 1e-9);
    }

    @Test
    void inSlowStartTheBudgetGrowsWithTheWarmth() {
        fixture.limit.announcedRate = 8;
        slowStart.begin(endpoint);
        fixture.later(5 * S);
        assertEquals(0.85 * 2.5 * 0.6 * 4, pace.callsPerSecond(endpoint), 1e-9);
        assertEquals(pace.callsPerSecond(endpoint), pace.recoveryRate(fixture.limit, 5 * S));
        fixture.later(5 * S);
        assertEquals(PolicyState.NEVER, pace.callsPerSecond(endpoint), "and then it is over");
    }

    @Test
    void whatIsHardlyUsedMayStillBeTriedOnceInTheLengthOfItsOutage() {
        PolicyFixture large = new PolicyFixture(PolicyFixture.LARGE);
        Endpoint out = large.endpoint();
        out.inOutage = true;
        out.trialIntervalMicros = S / 2;
        RecoveryPace inFleet = pace(large, new SlowStart(large.state));
        large.limit.failingForMicros = 10 * S;
        assertEquals(0.425 / 10, inFleet.callsPerSecond(out), 1e-9);
        large.limit.failingForMicros = 0;
        assertEquals(0.425 * 2, inFleet.callsPerSecond(out), 1e-9, "half a second at the least");
    }

    @Test
    void aSureOutageInALargeFleetIsTakenForALongOne() {
        PolicyFixture large = new PolicyFixture(PolicyFixture.LARGE);
        Endpoint out = large.endpoint();
        out.connectsFailing = true;
        out.trialIntervalMicros = S / 2;
        double firstPause = 20 * 0.425 / (1 + 1 / 0.425);
        assertEquals(0.425 / firstPause, pace(large, new SlowStart(large.state)).callsPerSecond(out), 1e-9);
        out.connectsFailing = false;
        out.inOutage = true;
        large.limit.severalEndpointsFailing = true;
        assertEquals(0.425 / firstPause, pace(large, new SlowStart(large.state)).callsPerSecond(out), 1e-9);
    }
}
