package lilaclever;

import static lilaclever.Rig.S;
import static org.junit.jupiter.api.Assertions.assertEquals;

import lilaclever.PolicyState.Endpoint;
import org.junit.jupiter.api.Test;

/**
 * The rules give slow start 10 s, beginning at a fifth of the capacity; a destination is overloaded at 2.5 times its
 * present capacity, and 0.85 of that budget is used.
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
        fixture.limit.toldRate = 8;
        endpoint.inOutage = true;
        endpoint.trialPause = S / 2;
        assertEquals(0.85 * 2.5 * 0.2 * 4, pace.callsPerSecond(endpoint), 1e-9, "of an even share of 4 a second");
        assertEquals(0.85 * 2.5 * 0.2 * 4, pace.inOutage(fixture.limit), 1e-9);
        fixture.endpoint();
        assertEquals(0.85 * 2.5 * 0.2 * 2, pace.callsPerSecond(endpoint), 1e-9, "two endpoints share it");
        fixture.limit.paceSpread = 1.5;
        assertEquals(0.85 * 2.5 * 0.2 * 2 / 1.5, pace.callsPerSecond(endpoint), 1e-9, "the rate is spread by chance");
    }

    @Test
    void trialCallsKeepToTheirPause() {
        fixture.limit.toldRate = 8;
        endpoint.inOutage = true;
        endpoint.trialPause = 2 * S;
        assertEquals(0.5, pace.callsPerSecond(endpoint), 1e-9);
    }

    @Test
    void inSlowStartTheBudgetGrowsWithTheWarmth() {
        fixture.limit.toldRate = 8;
        slowStart.begin(endpoint);
        fixture.later(5 * S);
        assertEquals(0.85 * 2.5 * 0.6 * 4, pace.callsPerSecond(endpoint), 1e-9);
        assertEquals(pace.callsPerSecond(endpoint), pace.afterReturn(fixture.limit, 5 * S));
        fixture.later(5 * S);
        assertEquals(PolicyState.NEVER, pace.callsPerSecond(endpoint), "slow start is over");
    }

    @Test
    void whatIsHardlyUsedMayStillBeTriedOnceInTheLengthOfItsOutage() {
        PolicyFixture large = new PolicyFixture(PolicyFixture.LARGE);
        Endpoint out = large.endpoint();
        out.inOutage = true;
        out.trialPause = S / 2;
        RecoveryPace inFleet = pace(large, new SlowStart(large.state));
        large.limit.failingFor = 10 * S;
        assertEquals(0.425 / 10, inFleet.callsPerSecond(out), 1e-9);
        large.limit.failingFor = 0;
        assertEquals(0.425 * 2, inFleet.callsPerSecond(out), 1e-9, "half a second is the shortest assumed length");
    }

    @Test
    void aSureOutageInALargeFleetIsTakenForALongOne() {
        PolicyFixture large = new PolicyFixture(PolicyFixture.LARGE);
        Endpoint out = large.endpoint();
        out.refusingConnections = true;
        out.trialPause = S / 2;
        double firstPause = 20 * 0.425 / (1 + 1 / 0.425);
        assertEquals(0.425 / firstPause, pace(large, new SlowStart(large.state)).callsPerSecond(out), 1e-9);
        out.refusingConnections = false;
        out.inOutage = true;
        large.limit.severalFail = true;
        assertEquals(0.425 / firstPause, pace(large, new SlowStart(large.state)).callsPerSecond(out), 1e-9);
    }
}
