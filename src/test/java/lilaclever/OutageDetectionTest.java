package lilaclever;

import static lilaclever.DecisionModuleHarness.MILLISECOND;
import static lilaclever.DecisionModuleHarness.SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import lilaclever.DecisionModule.Ending;
import lilaclever.PolicyState.Endpoint;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** The connect timeout is 1 s. */
class OutageDetectionTest {
    private final PolicyFixture fixture = new PolicyFixture();
    private final SlowStart slowStart = new SlowStart(fixture.state);
    private final OutageDetection outages = detection(fixture, slowStart);
    private final Endpoint endpoint = fixture.addEndpoint();

    private static OutageDetection detection(PolicyFixture fixture, SlowStart slowStart) {
        TransientFailures failures = new TransientFailures(fixture.state);
        CallTimeouts timeouts = new CallTimeouts(fixture.state, failures);
        return new OutageDetection(fixture.state, slowStart, failures, timeouts, new ConnectionReuse(fixture.state));
    }

    private void fail(Endpoint target, Ending ending, int times) {
        for (int i = 0; i < times; i++) {
            fixture.advanceClock(100 * MILLISECOND);
            outages.onFailure(fixture.limit, target, ending, 10 * MILLISECOND);
        }
    }

    private void deliver(Endpoint target) {
        outages.onDelivered(fixture.limit, target);
        target.lastDeliveredSentAt = fixture.state.now;
    }

    @ParameterizedTest
    @EnumSource(
            value = Ending.class,
            names = {"ERROR", "TIMED_OUT", "RESET", "CANCELED"})
    void fourHardFailuresInARowAreAnOutage(Ending ending) {
        fail(endpoint, ending, 3);
        assertFalse(endpoint.inOutage);
        fail(endpoint, ending, 1);
        assertTrue(endpoint.inOutage);
    }

    @Test
    void aDeliveryBetweenFailuresEndsTheirRow() {
        for (int i = 0; i < 3; i++) {
            fail(endpoint, Ending.ERROR, 2);
            deliver(endpoint);
        }
        assertFalse(endpoint.inOutage);
        assertFalse(slowStart.isActive(endpoint), "there was no outage to recover from");
    }

    @Test
    void anEndpointThatMostlyFailsIsInAnOutage() {
        for (int i = 0; i < 30 && !endpoint.inOutage; i++) {
            fail(endpoint, Ending.ERROR, 3);
            deliver(endpoint);
        }
        fail(endpoint, Ending.ERROR, 3);
        assertTrue(endpoint.failureShare >= 0.65 && endpoint.inOutage, "share failing " + endpoint.failureShare);
    }

    @Test
    void aDeliveryEndsTheOutageAndBeginsSlowStart() {
        fail(endpoint, Ending.ERROR, 8);
        deliver(endpoint);
        assertFalse(endpoint.inOutage);
        assertTrue(slowStart.isActive(endpoint));
        assertTrue(endpoint.failureShare <= 0.5);
        assertEquals(0, fixture.limit.failingSince);
    }

    @Test
    void failuresAtSeveralEndpointsOfALimitAreAnOutageOfAllThatFailed() {
        Endpoint second = fixture.addEndpoint();
        Endpoint third = fixture.addEndpoint();
        fail(endpoint, Ending.ERROR, 2);
        fail(second, Ending.ERROR, 1);
        assertFalse(endpoint.inOutage);
        fail(second, Ending.ERROR, 1);
        assertTrue(endpoint.inOutage && second.inOutage);
        assertFalse(third.inOutage, "it has not failed");
    }

    @Test
    void delaysBetweenTrialCallsGrowToTwoSeconds() {
        endpoint.trialPause = OutageDetection.FIRST_TRIAL_PAUSE;
        outages.beginOutage(endpoint);
        assertEquals(500 * MILLISECOND, endpoint.trialPause);
        outages.beginOutage(endpoint);
        assertEquals(750 * MILLISECOND, endpoint.trialPause);
        for (int i = 0; i < 5; i++) {
            outages.beginOutage(endpoint);
        }
        assertEquals(2 * SECOND, endpoint.trialPause);
    }

    @Test
    void fromTheSecondFailureOnAnEndpointIsAvoidedForAWhile() {
        fail(endpoint, Ending.ERROR, 1);
        assertEquals(0, endpoint.avoidUntil);
        for (long maxAvoidMicros : new long[] {750 * MILLISECOND, 1_500 * MILLISECOND, 3 * SECOND, 3 * SECOND}) {
            fail(endpoint, Ending.ERROR, 1);
            long avoidMicros = endpoint.avoidUntil - fixture.state.now;
            assertTrue(
                    avoidMicros >= maxAvoidMicros / 3 && avoidMicros <= maxAvoidMicros,
                    avoidMicros + " instead of at most " + maxAvoidMicros);
        }
    }

    @Test
    void rejectedConnectionsAreAnOutageOnlyIfTheyPersist() {
        fail(endpoint, Ending.NO_ROOM, 10);
        assertFalse(endpoint.inOutage);
        for (int i = 0; i < 10; i++) {
            fixture.advanceClock(SECOND);
            outages.onFailure(fixture.limit, endpoint, Ending.NO_ROOM, 10 * MILLISECOND);
        }
        assertTrue(endpoint.inOutage);
    }

    @Test
    void connectTimeoutsAreAnOutage() {
        for (int i = 0; i < 4; i++) {
            outages.onFailure(fixture.limit, endpoint, Ending.NO_CONNECTION, SECOND);
        }
        assertTrue(endpoint.inOutage);
    }

    @Test
    void aTimeoutMarksAnEndpointUntilItsNextDelivery() {
        fail(endpoint, Ending.TIMED_OUT, 1);
        assertTrue(endpoint.timingOut);
        assertEquals(1, fixture.limit.timeoutFactor);
        fail(endpoint, Ending.TIMED_OUT, 1);
        assertEquals(2, fixture.limit.timeoutFactor, "the second in a row lengthens the timeout");
        deliver(endpoint);
        assertFalse(endpoint.timingOut);
    }

    @Test
    void slowStartBeginsAnewWhenHalfOfTheCallsFail() {
        slowStart.begin(endpoint);
        fixture.advanceClock(5 * SECOND);
        endpoint.failureShare = 0.5;
        outages.onFailure(fixture.limit, endpoint, Ending.ERROR, 10 * MILLISECOND);
        assertEquals(0, slowStart.age(endpoint));
    }

    @Test
    void inALargeFleetOneFailureIsAnOutageAndAFailedConnectLowersTheRate() {
        PolicyFixture fixtureOfLargeFleet = new PolicyFixture(PolicyFixture.LARGE_FLEET_SIZE);
        OutageDetection outagesInFleet = detection(fixtureOfLargeFleet, new SlowStart(fixtureOfLargeFleet.state));
        Endpoint first = fixtureOfLargeFleet.addEndpoint();
        outagesInFleet.onFailure(fixtureOfLargeFleet.limit, first, Ending.ERROR, 10 * MILLISECOND);
        assertTrue(first.inOutage);
        assertTrue(
                fixtureOfLargeFleet.limit.paceSpread > 1 && fixtureOfLargeFleet.limit.paceSpread < 2,
                "the rate is spread by chance");
        Endpoint second = fixtureOfLargeFleet.addEndpoint();
        second.lastDeliveredSentAt = fixtureOfLargeFleet.state.now - SECOND;
        outagesInFleet.onFailure(fixtureOfLargeFleet.limit, second, Ending.NO_CONNECTION, 10 * MILLISECOND);
        assertFalse(second.refusingConnections, "it accepted a call a second ago: it is busy");
        fixtureOfLargeFleet.advanceClock(3 * SECOND);
        outagesInFleet.onFailure(fixtureOfLargeFleet.limit, second, Ending.NO_CONNECTION, 10 * MILLISECOND);
        assertTrue(second.refusingConnections);
    }
}
