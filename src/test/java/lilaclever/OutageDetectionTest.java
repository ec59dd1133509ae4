package lilaclever;

import static lilaclever.Rig.MS;
import static lilaclever.Rig.S;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import lilaclever.DecisionModule.AttemptResult;
import lilaclever.PolicyState.Endpoint;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** The rig's connect time-out is 1 s. */
class OutageDetectionTest {
    private final PolicyFixture fixture = new PolicyFixture();
    private final SlowStart slowStart = new SlowStart(fixture.state);
    private final OutageDetection outages = detection(fixture, slowStart);
    private final Endpoint endpoint = fixture.endpoint();

    private static OutageDetection detection(PolicyFixture fixture, SlowStart slowStart) {
        TransientFailures failures = new TransientFailures(fixture.state);
        CallTimeouts timeouts = new CallTimeouts(fixture.state, failures);
        return new OutageDetection(fixture.state, slowStart, failures, timeouts, new ConnectionReuse(fixture.state));
    }

    private void fail(Endpoint at, AttemptResult ending, int times) {
        for (int i = 0; i < times; i++) {
            fixture.later(100 * MS);
            outages.onFailure(fixture.limit, at, ending, 10 * MS);
        }
    }

    private void deliver(Endpoint at) {
        outages.onDelivered(fixture.limit, at);
        at.lastDeliveredSentAtMicros = fixture.state.nowMicros;
    }

    @ParameterizedTest
    @EnumSource(
            value = AttemptResult.class,
            names = {"ERROR", "TIMED_OUT", "RESET", "CANCELED"})
    void fourHardFailuresInARowAreAnOutage(AttemptResult ending) {
        fail(endpoint, ending, 3);
        assertFalse(endpoint.inOutage);
        fail(endpoint, ending, 1);
        assertTrue(endpoint.inOutage);
    }

    @Test
    void aDeliveryBetweenEndsTheRow() {
        for (int i = 0; i < 3; i++) {
            fail(endpoint, AttemptResult.ERROR, 2);
            deliver(endpoint);
        }
        assertFalse(endpoint.inOutage);
        assertFalse(slowStart.isActive(endpoint), "there was no outage to come back from");
    }

    @Test
    void oneThatMostlyFailsIsInAnOutageToo() {
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
    void failuresAtSeveralEndpointsOfALimitSpeakOfAllThatFailed() {
        Endpoint second = fixture.endpoint();
        Endpoint third = fixture.endpoint();
        fail(endpoint, AttemptResult.ERROR, 2);
        fail(second, AttemptResult.ERROR, 1);
        assertFalse(endpoint.inOutage);
        fail(second, AttemptResult.ERROR, 1);
        assertTrue(endpoint.inOutage && second.inOutage);
        assertFalse(third.inOutage, "it has not failed");
    }

    @Test
    void trialPausesGrowToTwoSeconds() {
        endpoint.trialIntervalMicros = OutageDetection.FIRST_TRIAL_INTERVAL_MICROS;
        outages.beginOrContinueOutage(endpoint);
        assertEquals(500 * MS, endpoint.trialIntervalMicros);
        outages.beginOrContinueOutage(endpoint);
        assertEquals(750 * MS, endpoint.trialIntervalMicros);
        for (int i = 0; i < 5; i++) {
            outages.beginOrContinueOutage(endpoint);
        }
        assertEquals(2 * S, endpoint.trialIntervalMicros);
    }

    @Test
    void fromTheSecondFailureOnAnEndpointIsAvoidedForAWhile() {
        fail(endpoint, AttemptResult.ERROR, 1);
        assertEquals(0, endpoint.avoidUntilMicros);
        for (long longest : new long[] {750 * MS, 1_500 * MS, 3 * S, 3 * S}) {
            fail(endpoint, AttemptResult.ERROR, 1);
            long pause = endpoint.avoidUntilMicros - fixture.state.nowMicros;
            assertTrue(pause >= longest / 3 && pause <= longest, pause + " of at most " + longest);
        }
    }

    @Test
    void anEndpointWithoutRoomForConnectionsIsNotInAnOutageUntilItLasts() {
        fail(endpoint, AttemptResult.NO_ROOM, 10);
        assertFalse(endpoint.inOutage);
        for (int i = 0; i < 10; i++) {
            fixture.later(S);
            outages.onFailure(fixture.limit, endpoint, AttemptResult.NO_ROOM, 10 * MS);
        }
        assertTrue(endpoint.inOutage);
    }

    @Test
    void aConnectThatTimesOutFoundNothingThere() {
        for (int i = 0; i < 4; i++) {
            outages.onFailure(fixture.limit, endpoint, AttemptResult.NO_CONNECTION, S);
        }
        assertTrue(endpoint.inOutage);
    }

    @Test
    void aTimeOutMarksAnEndpointThatHangs() {
        fail(endpoint, AttemptResult.TIMED_OUT, 1);
        assertTrue(endpoint.timingOut);
        assertEquals(1, fixture.limit.timeoutFactor);
        fail(endpoint, AttemptResult.TIMED_OUT, 1);
        assertEquals(2, fixture.limit.timeoutFactor, "the second in a row lengthens the time-out");
        deliver(endpoint);
        assertFalse(endpoint.timingOut);
    }

    @Test
    void inSlowStartMostCallsFailingBeginsItAnew() {
        slowStart.begin(endpoint);
        fixture.later(5 * S);
        endpoint.failureShare = 0.5;
        outages.onFailure(fixture.limit, endpoint, AttemptResult.ERROR, 10 * MS);
        assertEquals(0, slowStart.ageMicros(endpoint));
    }

    @Test
    void inALargeFleetOneFailureIsAnOutageAndAFailedConnectSlowsDown() {
        PolicyFixture large = new PolicyFixture(PolicyFixture.LARGE);
        OutageDetection inFleet = detection(large, new SlowStart(large.state));
        Endpoint first = large.endpoint();
        inFleet.onFailure(large.limit, first, AttemptResult.ERROR, 10 * MS);
        assertTrue(first.inOutage);
        assertTrue(large.limit.outageRateDivisor > 1 && large.limit.outageRateDivisor < 2, "spread by chance");
        Endpoint second = large.endpoint();
        second.lastDeliveredSentAtMicros = large.state.nowMicros - S;
        inFleet.onFailure(large.limit, second, AttemptResult.NO_CONNECTION, 10 * MS);
        assertFalse(second.connectsFailing, "it took a call a second ago: it is busy");
        large.later(3 * S);
        inFleet.onFailure(large.limit, second, AttemptResult.NO_CONNECTION, 10 * MS);
        assertTrue(second.connectsFailing);
    }
}
