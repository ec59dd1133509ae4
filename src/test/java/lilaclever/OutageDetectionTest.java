package lilaclever;

import static lilaclever.Rig.MS;
import static lilaclever.Rig.S;
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
    private final Endpoint endpoint = fixture.endpoint();

    private static OutageDetection detection(PolicyFixture fixture, SlowStart slowStart) {
        TransientFailures failures = new TransientFailures(fixture.state);
        CallTimeouts timeouts = new CallTimeouts(fixture.state, failures);
        return new OutageDetection(fixture.state, slowStart, failures, timeouts, new ConnectionReuse(fixture.state));
    }

    private void fail(Endpoint at, Ending ending, int times) {
        for (int i = 0; i < times; i++) {
            fixture.later(100 * MS);
            outages.onFailure(fixture.limit, at, ending, 10 * MS);
        }
    }

    private void deliver(Endpoint at) {
        outages.onDelivered(fixture.limit, at);
        at.lastDeliveredSentAt = fixture.state.now;
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
    void aDeliveryBetweenEndsTheRow() {
        for (int i = 0; i < 3; i++) {
            fail(endpoint, Ending.ERROR, 2);
            deliver(endpoint);
        }
        assertFalse(endpoint.inOutage);
        assertFalse(slowStart.isActive(endpoint), "there was no outage to recover from");
    }

    @Test
    void oneThatMostlyFailsIsInAnOutageToo() {
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
    void failuresAtSeveralEndpointsOfALimitSpeakOfAllThatFailed() {
        Endpoint second = fixture.endpoint();
        Endpoint third = fixture.endpoint();
        fail(endpoint, Ending.ERROR, 2);
        fail(second, Ending.ERROR, 1);
        assertFalse(endpoint.inOutage);
        fail(second, Ending.ERROR, 1);
        assertTrue(endpoint.inOutage && second.inOutage);
        assertFalse(third.inOutage, "it has not failed");
    }

    @Test
    void trialPausesGrowToTwoSeconds() {
        endpoint.trialPause = OutageDetection.FIRST_TRIAL_PAUSE;
        outages.beginOutage(endpoint);
        assertEquals(500 * MS, endpoint.trialPause);
        outages.beginOutage(endpoint);
        assertEquals(750 * MS, endpoint.trialPause);
        for (int i = 0; i < 5; i++) {
            outages.beginOutage(endpoint);
        }
        assertEquals(2 * S, endpoint.trialPause);
    }

    @Test
    void fromTheSecondFailureOnAnEndpointIsAvoidedForAWhile() {
        fail(endpoint, Ending.ERROR, 1);
        assertEquals(0, endpoint.avoidUntil);
        for (long longest : new long[] {750 * MS, 1_500 * MS, 3 * S, 3 * S}) {
            fail(endpoint, Ending.ERROR, 1);
            long pause = endpoint.avoidUntil - fixture.state.now;
            assertTrue(pause >= longest / 3 && pause <= longest, pause + " instead of at most " + longest);
        }
    }

    @Test
    void anEndpointWithoutRoomForConnectionsIsNotInAnOutageUntilItLasts() {
        fail(endpoint, Ending.NO_ROOM, 10);
        assertFalse(endpoint.inOutage);
        for (int i = 0; i < 10; i++) {
            fixture.later(S);
            outages.onFailure(fixture.limit, endpoint, Ending.NO_ROOM, 10 * MS);
        }
        assertTrue(endpoint.inOutage);
    }

    @Test
    void aConnectThatTimesOutFoundNothingThere() {
        for (int i = 0; i < 4; i++) {
            outages.onFailure(fixture.limit, endpoint, Ending.NO_CONNECTION, S);
        }
        assertTrue(endpoint.inOutage);
    }

    @Test
    void aTimeOutMarksAnEndpointThatHangs() {
        fail(endpoint, Ending.TIMED_OUT, 1);
        assertTrue(endpoint.timingOut);
        assertEquals(1, fixture.limit.timeoutFactor);
        fail(endpoint, Ending.TIMED_OUT, 1);
        assertEquals(2, fixture.limit.timeoutFactor, "the second in a row lengthens the timeout");
        deliver(endpoint);
        assertFalse(endpoint.timingOut);
    }

    @Test
    void inSlowStartMostCallsFailingBeginsItAnew() {
        slowStart.begin(endpoint);
        fixture.later(5 * S);
        endpoint.failureShare = 0.5;
        outages.onFailure(fixture.limit, endpoint, Ending.ERROR, 10 * MS);
        assertEquals(0, slowStart.age(endpoint));
    }

    @Test
    void inALargeFleetOneFailureIsAnOutageAndAFailedConnectSlowsDown() {
        PolicyFixture large = new PolicyFixture(PolicyFixture.LARGE);
        OutageDetection inFleet = detection(large, new SlowStart(large.state));
        Endpoint first = large.endpoint();
        inFleet.onFailure(large.limit, first, Ending.ERROR, 10 * MS);
        assertTrue(first.inOutage);
        assertTrue(large.limit.paceSpread > 1 && large.limit.paceSpread < 2, "the rate is spread by chance");
        Endpoint second = large.endpoint();
        second.lastDeliveredSentAt = large.state.now - S;
        inFleet.onFailure(large.limit, second, Ending.NO_CONNECTION, 10 * MS);
        assertFalse(second.refusingConnections, "it accepted a call a second ago: it is busy");
        large.later(3 * S);
        inFleet.onFailure(large.limit, second, Ending.NO_CONNECTION, 10 * MS);
        assertTrue(second.refusingConnections);
    }
}
