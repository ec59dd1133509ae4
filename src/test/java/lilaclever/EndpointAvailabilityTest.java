package lilaclever;

import static lilaclever.Rig.MS;
import static lilaclever.Rig.S;
import static lilaclever.Rig.SAFE;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import lilaclever.DecisionModule.Ending;
import lilaclever.PolicyState.DestinationLimit;
import lilaclever.PolicyState.Endpoint;
import org.junit.jupiter.api.Test;

/** There are four slots: one limit may use three of them, all stalled endpoints together one. */
class EndpointAvailabilityTest {
    private final PolicyFixture fixture = new PolicyFixture();
    private final PolicyParts parts = new PolicyParts(fixture.state);
    private final Endpoint endpoint = fixture.endpoint();

    private long readyIn(Endpoint which) {
        return parts.availability.readyAt(which) - fixture.state.now;
    }

    private boolean isReady(Endpoint which) {
        return readyIn(which) <= 0;
    }

    private boolean isNeverReady(Endpoint which) {
        return parts.availability.readyAt(which) == PolicyState.NEVER;
    }

    /** Creates an active endpoint with a limit of its own. */
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
        parts.limits.onWait(fixture.limit, S);
        assertEquals(S, readyIn(endpoint));
        endpoint.avoidUntil = fixture.state.now + 2 * S;
        assertEquals(2 * S, readyIn(endpoint));
    }

    @Test
    void inAnOutageOneTrialIsInFlightAtATime() {
        endpoint.trialPause = S;
        endpoint.inOutage = true;
        assertTrue(isReady(endpoint));
        fixture.call(fixture.message(SAFE), endpoint);
        assertTrue(isNeverReady(endpoint));
    }

    @Test
    void afterATrialThePauseOfTheOutageIsKept() {
        endpoint.trialPause = 500 * MS;
        endpoint.inOutage = true;
        endpoint.lastSentAt = fixture.state.now;
        // A recovering destination's part, 0.425, of an even share of 0.75 calls a second.
        assertEquals(S / (0.425 * 2), readyIn(endpoint), 1, "two calls a second where the outage has just begun");
        fixture.limit.failingFor = 60 * S;
        assertEquals(S / (0.425 * 0.75), readyIn(endpoint), 1);
        endpoint.trialPause = 4 * S;
        assertEquals(4 * S, readyIn(endpoint), "the delay between trial calls");
    }

    @Test
    void slowStartEndsAtItsTime() {
        PolicyFixture large = new PolicyFixture(PolicyFixture.LARGE);
        PolicyParts inFleet = new PolicyParts(large.state);
        Endpoint cold = large.endpoint();
        large.limit.failingFor = 60 * S;
        inFleet.slowStart.begin(cold);
        cold.lastSentAt = large.state.now;
        assertEquals(10 * S, inFleet.availability.readyAt(cold) - large.state.now, "not one call in 141 s");
    }

    @Test
    void whereConnectionsAreScarceAFurtherCallNeedsAnIdleOne() {
        endpoint.failingSince = fixture.state.now;
        parts.transientFailures.onFailure(endpoint, true);
        parts.transientFailures.onDelivered(endpoint);
        assertTrue(isReady(endpoint));
        fixture.call(fixture.message(SAFE), endpoint);
        assertTrue(isNeverReady(endpoint));
        parts.connections.onCallEnded(endpoint, Ending.DELIVERED);
        assertTrue(isReady(endpoint));
    }

    @Test
    void stalledEndpointsShareAPartOfTheSlots() {
        Endpoint hanging = elsewhere();
        hanging.timingOut = true;
        assertTrue(isReady(hanging));
        endpoint.timingOut = true;
        fixture.call(fixture.message(SAFE), endpoint);
        assertTrue(isNeverReady(hanging), "the one slot for stalled endpoints is taken");
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
        assertTrue(isNeverReady(endpoint), "over four times the usual answer time");
        endpoint.lastDeliveredSentAt = fixture.state.now - 100 * MS;
        assertTrue(isReady(endpoint));
    }

    @Test
    void slowAnswersStallToo() {
        fixture.call(fixture.message(SAFE), endpoint);
        fixture.state.usualAnswerTime = 100 * MS;
        fixture.limit.answerTime = 401 * MS;
        assertTrue(isNeverReady(endpoint));
    }
}
