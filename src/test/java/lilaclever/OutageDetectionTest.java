package lilaclever;

import static lilaclever.DecisionModuleHarness.MILLISECOND_MICROS;
import static lilaclever.DecisionModuleHarness.SECOND_MICROS;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import lilaclever.DecisionModule.AttemptResult;
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

    private void fail(Endpoint target, AttemptResult result, int times) {
        for (int i = 0; i < times; i++) {
            fixture.advanceClock(100 * MILLISECOND_MICROS);
            outages.onFailure(fixture.limit, target, result, 10 * MILLISECOND_MICROS);
        }
    }

    private void deliver(Endpoint target) {
        outages.onDelivered(fixture.limit, target);
        target.lastDeliveredSentAtMicros = fixture.state.nowMicros;
    }

    @ParameterizedTest
    @EnumSource(
            value = AttemptResult.class,
            names = {"ERROR", "TIMED_OUT", "RESET", "CANCELED"})
    void fourHardFailuresInARowAreAnOutage(AttemptResult result) {
        fail(endpoint, result, 3);
        assertFalse(endpoint.inOutage);
        fail(endpoint, result, 1);
        assertTrue(endpoint.inOutage);
    }

    @Test
    void aDeliveryBetweenFailuresEndsTheirRow() {
        for (int i = 0; i < 3; i++) {
            fail(endpoint, AttemptResult.ERROR, 2);
            deliver(endpoint);
        }
        assertFalse(endpoint.inOutage);
        assertFalse(slowStart.isActive(endpoint), "there was no outage to recover from");
    }

    @Test
    void anEndpointThatMostlyFailsIsInAnOutage() {
        for (int i = 0; i < 30 && !endpoint.inOutage; i++) {
            fail(endpoint, AttemptResult.ERROR, 3);
            deliver(endpoint);
        }
        fail(endpoint, AttemptResult.ERROR, 3);
        assertTrue(endpoint.failureShare >= 0.65 && endpoint.inOutage, "share failing " + endpoint.failureShare);
    }

    @Test
    void aDeliveryEndsTheOutageAndBeginsSlowStart() {
        fail(endpoint, AttemptResult.ERROR, 8);
        deliver(endpoint);
        assertFalse(endpoint.inOutage);
        assertTrue(slowStart.isActive(endpoint));
        assertTrue(endpoint.failureShare <= 0.5);
        assertEquals(0, fixture.limit.failingSinceMicros);
    }

    @Test
    void failuresAtSeveralEndpointsOfALimitAreAnOutageOfAllThatFailed() {
        Endpoint second = fixture.addEndpoint();
        Endpoint third = fixture.addEndpoint();
        fail(endpoint, AttemptResult.ERROR, 2);
        fail(second, AttemptResult.ERROR, 1);
        assertFalse(endpoint.inOutage);
        fail(second, AttemptResult.ERROR, 1);
        assertTrue(endpoint.inOutage && second.inOutage);
        assertFalse(third.inOutage, "it has not failed");
    }

    @Test
    void delaysBetweenTrialCallsGrowToTwoSeconds() {
        endpoint.trialIntervalMicros = OutageDetection.FIRST_TRIAL_INTERVAL_MICROS;
        outages.beginOrContinueOutage(endpoint);
        assertEquals(500 * MILLISECOND_MICROS, endpoint.trialIntervalMicros);
        outages.beginOrContinueOutage(endpoint);
        assertEquals(750 * MILLISECOND_MICROS, endpoint.trialIntervalMicros);
        for (int i = 0; i < 5; i++) {
            outages.beginOrContinueOutage(endpoint);
        }
        assertEquals(2 * SECOND_MICROS, endpoint.trialIntervalMicros);
    }

    @Test
    void fromTheSecondFailureOnAnEndpointIsAvoidedForAWhile() {
        fail(endpoint, AttemptResult.ERROR, 1);
        assertEquals(0, endpoint.avoidUntilMicros);
        for (long maxAvoidMicros :
                new long[] {750 * MILLISECOND_MICROS, 1_500 * MILLISECOND_MICROS, 3 * SECOND_MICROS, 3 * SECOND_MICROS
                }) {
            fail(endpoint, AttemptResult.ERROR, 1);
            long avoidMicros = endpoint.avoidUntilMicros - fixture.state.nowMicros;
            assertTrue(
                    avoidMicros >= maxAvoidMicros / 3 && avoidMicros <= maxAvoidMicros,
                    avoidMicros + " instead of at most " + maxAvoidMicros);
        }
    }

    @Test
    void rejectedConnectionsAreAnOutageOnlyIfTheyPersist() {
        fail(endpoint, AttemptResult.NO_ROOM, 10);
        assertFalse(endpoint.inOutage);
        for (int i = 0; i < 10; i++) {
            fixture.advanceClock(SECOND_MICROS);
            outages.onFailure(fixture.limit, endpoint, AttemptResult.NO_ROOM, 10 * MILLISECOND_MICROS);
        }
        assertTrue(endpoint.inOutage);
    }

    @Test
    void connectTimeoutsAreAnOutage() {
        for (int i = 0; i < 4; i++) {
            outages.onFailure(fixture.limit, endpoint, AttemptResult.NO_CONNECTION, SECOND_MICROS);
        }
        assertTrue(endpoint.inOutage);
    }

    @Test
    void aTimeoutMarksAnEndpointUntilItsNextDelivery() {
        fail(endpoint, AttemptResult.TIMED_OUT, 1);
        assertTrue(endpoint.timingOut);
        assertEquals(1, fixture.limit.timeoutFactor);
        fail(endpoint, AttemptResult.TIMED_OUT, 1);
        assertEquals(2, fixture.limit.timeoutFactor, "the second in a row lengthens the timeout");
        deliver(endpoint);
        assertFalse(endpoint.timingOut);
    }

    @Test
    void slowStartBeginsAnewWhenHalfOfTheCallsFail() {
        slowStart.begin(endpoint);
        fixture.advanceClock(5 * SECOND_MICROS);
        endpoint.failureShare = 0.5;
        outages.onFailure(fixture.limit, endpoint, AttemptResult.ERROR, 10 * MILLISECOND_MICROS);
        assertEquals(0, slowStart.ageMicros(endpoint));
    }

    @Test
    void inALargeFleetOneFailureIsAnOutageAndAFailedConnectLowersTheRate() {
        PolicyFixture fixtureOfLargeFleet = new PolicyFixture(PolicyFixture.LARGE_FLEET_SIZE);
        OutageDetection outagesInFleet = detection(fixtureOfLargeFleet, new SlowStart(fixtureOfLargeFleet.state));
        Endpoint first = fixtureOfLargeFleet.addEndpoint();
        outagesInFleet.onFailure(fixtureOfLargeFleet.limit, first, AttemptResult.ERROR, 10 * MILLISECOND_MICROS);
        assertTrue(first.inOutage);
        assertTrue(
                fixtureOfLargeFleet.limit.outageRateDivisor > 1 && fixtureOfLargeFleet.limit.outageRateDivisor < 2,
                "the rate is spread by chance");
        Endpoint second = fixtureOfLargeFleet.addEndpoint();
        second.lastDeliveredSentAtMicros = fixtureOfLargeFleet.state.nowMicros - SECOND_MICROS;
        outagesInFleet.onFailure(
                fixtureOfLargeFleet.limit, second, AttemptResult.NO_CONNECTION, 10 * MILLISECOND_MICROS);
        assertFalse(second.connectsFailing, "it accepted a call a second ago: it is busy");
        fixtureOfLargeFleet.advanceClock(3 * SECOND_MICROS);
        outagesInFleet.onFailure(
                fixtureOfLargeFleet.limit, second, AttemptResult.NO_CONNECTION, 10 * MILLISECOND_MICROS);
        assertTrue(second.connectsFailing);
    }
}
