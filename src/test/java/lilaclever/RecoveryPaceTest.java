package lilaclever;

import static lilaclever.DecisionModuleHarness.SECOND_MICROS;
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
    private final RecoveryPace recoveryPace = recoveryPaceFor(fixture, slowStart);
    private final Endpoint endpoint = fixture.addEndpoint();

    private static RecoveryPace recoveryPaceFor(PolicyFixture fixture, SlowStart slowStart) {
        RateEstimates rates = new RateEstimates(fixture.state, slowStart);
        return new RecoveryPace(fixture.state, slowStart, rates, new TransientFailures(fixture.state));
    }

    @Test
    void aHealthyEndpointIsNotLimited() {
        assertEquals(PolicyState.NEVER, recoveryPace.callsPerSecond(endpoint));
    }

    @Test
    void anEndpointInAnOutageGetsItsPartOfARecoveringDestinationsBudget() {
        fixture.limit.announcedRate = 8;
        endpoint.inOutage = true;
        endpoint.trialIntervalMicros = SECOND_MICROS / 2;
        assertEquals(
                0.85 * 2.5 * 0.2 * 4, recoveryPace.callsPerSecond(endpoint), 1e-9, "of an even share of 4 a second");
        assertEquals(0.85 * 2.5 * 0.2 * 4, recoveryPace.outageRate(fixture.limit), 1e-9);
        fixture.addEndpoint();
        assertEquals(0.85 * 2.5 * 0.2 * 2, recoveryPace.callsPerSecond(endpoint), 1e-9, "two endpoints share it");
        fixture.limit.outageRateDivisor = 1.5;
        assertEquals(
                0.85 * 2.5 * 0.2 * 2 / 1.5,
                recoveryPace.callsPerSecond(endpoint),
                1e-9,
                "the rate is spread by chance");
    }

    @Test
    void trialCallsKeepToTheirDelay() {
        fixture.limit.announcedRate = 8;
        endpoint.inOutage = true;
        endpoint.trialIntervalMicros = 2 * SECOND_MICROS;
        assertEquals(0.5, recoveryPace.callsPerSecond(endpoint), 1e-9);
    }

    @Test
    void inSlowStartTheBudgetGrowsWithTheCapacity() {
        fixture.limit.announcedRate = 8;
        slowStart.begin(endpoint);
        fixture.advanceClock(5 * SECOND_MICROS);
        assertEquals(0.85 * 2.5 * 0.6 * 4, recoveryPace.callsPerSecond(endpoint), 1e-9);
        assertEquals(
                recoveryPace.callsPerSecond(endpoint), recoveryPace.recoveryRate(fixture.limit, 5 * SECOND_MICROS));
        fixture.advanceClock(5 * SECOND_MICROS);
        assertEquals(PolicyState.NEVER, recoveryPace.callsPerSecond(endpoint), "slow start is over");
    }

    @Test
    void aRarelyUsedEndpointGetsARateFromTheLengthOfItsOutage() {
        PolicyFixture fixtureOfLargeFleet = new PolicyFixture(PolicyFixture.LARGE_FLEET_SIZE);
        Endpoint endpointInOutage = fixtureOfLargeFleet.addEndpoint();
        endpointInOutage.inOutage = true;
        endpointInOutage.trialIntervalMicros = SECOND_MICROS / 2;
        RecoveryPace recoveryPaceInFleet =
                recoveryPaceFor(fixtureOfLargeFleet, new SlowStart(fixtureOfLargeFleet.state));
        fixtureOfLargeFleet.limit.failingForMicros = 10 * SECOND_MICROS;
        assertEquals(0.425 / 10, recoveryPaceInFleet.callsPerSecond(endpointInOutage), 1e-9);
        fixtureOfLargeFleet.limit.failingForMicros = 0;
        assertEquals(
                0.425 * 2,
                recoveryPaceInFleet.callsPerSecond(endpointInOutage),
                1e-9,
                "half a second is the shortest assumed length");
    }

    @Test
    void aCertainOutageInALargeFleetIsTreatedAsALongOne() {
        PolicyFixture fixtureOfLargeFleet = new PolicyFixture(PolicyFixture.LARGE_FLEET_SIZE);
        Endpoint endpointInOutage = fixtureOfLargeFleet.addEndpoint();
        endpointInOutage.connectsFailing = true;
        endpointInOutage.trialIntervalMicros = SECOND_MICROS / 2;
        double firstDelaySeconds = 20 * 0.425 / (1 + 1 / 0.425);
        assertEquals(
                0.425 / firstDelaySeconds,
                recoveryPaceFor(fixtureOfLargeFleet, new SlowStart(fixtureOfLargeFleet.state))
                        .callsPerSecond(endpointInOutage),
                1e-9);
        endpointInOutage.connectsFailing = false;
        endpointInOutage.inOutage = true;
        fixtureOfLargeFleet.limit.severalEndpointsFailing = true;
        assertEquals(
                0.425 / firstDelaySeconds,
                recoveryPaceFor(fixtureOfLargeFleet, new SlowStart(fixtureOfLargeFleet.state))
                        .callsPerSecond(endpointInOutage),
                1e-9);
    }
}
