package lilaclever;

import static lilaclever.Rig.MS;
import static lilaclever.Rig.S;
import static lilaclever.Rig.SAFE;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import lilaclever.DecisionModule.AttemptResult;
import lilaclever.PolicyState.DestinationLimit;
import lilaclever.PolicyState.Endpoint;
import org.junit.jupiter.api.Test;

/** There are four slots: three of them for one limit, one for all stalled endpoints. */
class EndpointAvailabilityTest {
    private final PolicyFixture fixture = new PolicyFixture();
    private final PolicyParts parts = new PolicyParts(fixture.state);
    private final Endpoint endpoint = fixture.endpoint();

    private long readyIn(Endpoint which) {
        return parts.availability.readyAtMicros(which) - fixture.state.nowMicros;
    }

    private boolean isReady(Endpoint which) {
        return readyIn(which) <= 0;
    }

    private boolean isNeverReady(Endpoint which) {
        return parts.availability.readyAtMicros(which) == PolicyState.NEVER;
    }

    /** An endpoint with a limit of its own. */
    private Endpoint elsewhere() {
        Endpoint other = new Endpoint("other", fixture.queue, new DestinationLimit(), 0, 0, 1);
        other.active = true;
        other.limit.endpoints.add(other);
        return other;
    }

    @Test
    void anEndpointThatIsWellIsReadyWhileItsLimitHasSlots() {
        for (int i = 0; i < 3; i++) {
            assertTrue(isReady(endpoint));
            fixture.call(fixture.message(SAFE), endpoint);
        }
        assertTrue(isNeverReady(endpoint));
        assertTrue(isReady(elsewhere()));
    }

    @Test
    void aToldWaitAndAvoidanceAreBothKept() {
        parts.limits.onRetryAfter(fixture.limit, S);
        assertEquals(S, readyIn(endpoint));
        endpoint.avoidUntilMicros = fixture.state.nowMicros + 2 * S;
        assertEquals(2 * S, readyIn(endpoint));
    }

    @Test
    void inAnOutageOneTrialIsInFlightAtATime() {
        endpoint.trialIntervalMicros = S;
        endpoint.inOutage = true;
        assertTrue(isReady(endpoint));
        fixture.call(fixture.message(SAFE), endpoint);
        assertTrue(isNeverReady(endpoint));
    }

    @Test
    void afterATrialThePauseOfTheOutageIsKept() {
        endpoint.trialIntervalMicros = 500 * MS;
        endpoint.inOutage = true;
        endpoint.lastSentAtMicros = fixture.state.nowMicros;
        // A cold destination's part, 0.425, of an even share of 0.75 calls a second.
        assertEquals(S / (0.425 * 2), readyIn(endpoint), 1, "two calls a second for one that was out only now");
        fixture.limit.failingForMicros = 60 * S;
        assertEquals(S / (0.425 * 0.75), readyIn(endpoint), 1);
        endpoint.trialIntervalMicros = 4 * S;
        assertEquals(4 * S, readyIn(endpoint), "the pause between trials");
    }

    @Test
    void slowStartEndsAtItsTime() {
        PolicyFixture large = new PolicyFixture(PolicyFixture.LARGE);
        PolicyParts inFleet = new PolicyParts(large.state);
        Endpoint cold = large.endpoint();
        large.limit.failingForMicros = 60 * S;
        inFleet.slowStart.begin(cold);
        cold.lastSentAtMicros = large.state.nowMicros;
        assertEquals(10 * S, inFleet.availability.readyAtMicros(cold) - large.state.nowMicros, "not a call in 141 s");
    }

    @Test
    void whereConnectionsAreScarceAFurtherCallNeedsAnIdleOne() {
        endpoint.failingSinceMicros = fixture.state.nowMicros;
        parts.transientFailures.onFailure(endpoint, true);
        parts.transientFailures.onDelivered(endpoint);
        assertTrue(isReady(endpoint));
        fixture.call(fixture.message(SAFE), endpoint);
        assertTrue(isNeverReady(endpoint));
        parts.connections.onCallEnded(endpoint, AttemptResult.DELIVERED);
        assertTrue(isReady(endpoint));
    }

    @Test
    void stalledEndpointsShareAPartOfTheSlots() {
        Endpoint hanging = elsewhere();
        hanging.timingOut = true;
        assertTrue(isReady(hanging));
        endpoint.timingOut = true;
        fixture.call(fixture.message(SAFE), endpoint);
        assertTrue(isNeverReady(hanging), "their one slot is taken");
        endpoint.timingOut = false;
        assertTrue(isReady(hanging));
    }

    @Test
    void aCallInFlightForLongStallsItsEndpointUnlessLaterOnesCameBack() {
        parts.timeouts.onDelivered(fixture.limit, 100 * MS);
        fixture.call(fixture.message(SAFE), endpoint);
        fixture.later(400 * MS);
        assertTrue(isReady(endpoint));
        fixture.later(1);
        assertTrue(isNeverReady(endpoint), "over four times the usual");
        endpoint.lastDeliveredSentAtMicros = fixture.state.nowMicros - 100 * MS;
        assertTrue(isReady(endpoint));
    }

    @Test
    void slowAnswersStallToo() {
        fixture.call(fixture.message(SAFE), endpoint);
        fixture.state.overallMeanResponseMicros = 100 * MS;
        fixture.limit.meanResponseMicros = 401 * MS;
        assertTrue(isNeverReady(endpoint));
    }
}
