package lilaclever;

import static lilaclever.DecisionModuleHarness.MILLISECOND_MICROS;
import static lilaclever.DecisionModuleHarness.SAFE;
import static lilaclever.DecisionModuleHarness.SECOND_MICROS;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import lilaclever.DecisionModule.AttemptResult;
import lilaclever.PolicyState.DestinationLimit;
import lilaclever.PolicyState.Endpoint;
import org.junit.jupiter.api.Test;

/** There are four slots: one limit may use three of them, all stalled endpoints together one. */
class EndpointAvailabilityTest {
    private final PolicyFixture fixture = new PolicyFixture();
    private final PolicyParts parts = new PolicyParts(fixture.state);
    private final Endpoint endpoint = fixture.addEndpoint();

    private long microsUntilReady(Endpoint candidate) {
        return parts.availability.readyAtMicros(candidate) - fixture.state.nowMicros;
    }

    private boolean isReady(Endpoint candidate) {
        return microsUntilReady(candidate) <= 0;
    }

    private boolean isNeverReady(Endpoint candidate) {
        return parts.availability.readyAtMicros(candidate) == PolicyState.NEVER;
    }

    /** Creates an active endpoint with a limit of its own. */
    private Endpoint endpointWithOwnLimit() {
        Endpoint other = new Endpoint("other", fixture.queue, new DestinationLimit(), 0, 0, 1);
        other.active = true;
        other.limit.endpoints.add(other);
        return other;
    }

    @Test
    void aHealthyEndpointIsReadyWhileItsLimitHasSlots() {
        for (int i = 0; i < 3; i++) {
            assertTrue(isReady(endpoint));
            fixture.startCall(fixture.addMessage(SAFE), endpoint);
        }
        assertTrue(isNeverReady(endpoint));
        assertTrue(isReady(endpointWithOwnLimit()));
    }

    @Test
    void aRetryAfterAndAvoidanceAreBothHonoured() {
        parts.limits.onRetryAfter(fixture.limit, SECOND_MICROS);
        assertEquals(SECOND_MICROS, microsUntilReady(endpoint));
        endpoint.avoidUntilMicros = fixture.state.nowMicros + 2 * SECOND_MICROS;
        assertEquals(2 * SECOND_MICROS, microsUntilReady(endpoint));
    }

    @Test
    void inAnOutageOneTrialCallIsInFlightAtATime() {
        endpoint.trialIntervalMicros = SECOND_MICROS;
        endpoint.inOutage = true;
        assertTrue(isReady(endpoint));
        fixture.startCall(fixture.addMessage(SAFE), endpoint);
        assertTrue(isNeverReady(endpoint));
    }

    @Test
    void trialCallsKeepToTheRateAndDelayOfTheOutage() {
        endpoint.trialIntervalMicros = 500 * MILLISECOND_MICROS;
        endpoint.inOutage = true;
        endpoint.lastSentAtMicros = fixture.state.nowMicros;
        // A recovering destination's part, 0.425, of an even share of 0.75 calls a second.
        assertEquals(
                SECOND_MICROS / (0.425 * 2),
                microsUntilReady(endpoint),
                1,
                "two calls a second where the outage has just begun");
        fixture.limit.failingForMicros = 60 * SECOND_MICROS;
        assertEquals(SECOND_MICROS / (0.425 * 0.75), microsUntilReady(endpoint), 1);
        endpoint.trialIntervalMicros = 4 * SECOND_MICROS;
        assertEquals(4 * SECOND_MICROS, microsUntilReady(endpoint), "the delay between trial calls");
    }

    @Test
    void anEndpointIsReadyAtTheLatestWhenItsSlowStartEnds() {
        PolicyFixture fixtureOfLargeFleet = new PolicyFixture(PolicyFixture.LARGE_FLEET_SIZE);
        PolicyParts partsInFleet = new PolicyParts(fixtureOfLargeFleet.state);
        Endpoint recovering = fixtureOfLargeFleet.addEndpoint();
        fixtureOfLargeFleet.limit.failingForMicros = 60 * SECOND_MICROS;
        partsInFleet.slowStart.begin(recovering);
        recovering.lastSentAtMicros = fixtureOfLargeFleet.state.nowMicros;
        assertEquals(
                10 * SECOND_MICROS,
                partsInFleet.availability.readyAtMicros(recovering) - fixtureOfLargeFleet.state.nowMicros,
                "at the end of slow start, not after 141 s");
    }

    @Test
    void whereConnectionsAreScarceAFurtherCallNeedsAnIdleConnection() {
        endpoint.failingSinceMicros = fixture.state.nowMicros;
        parts.transientFailures.onFailure(endpoint, true);
        parts.transientFailures.onDelivered(endpoint);
        assertTrue(isReady(endpoint));
        fixture.startCall(fixture.addMessage(SAFE), endpoint);
        assertTrue(isNeverReady(endpoint));
        parts.connections.onCallEnded(endpoint, AttemptResult.DELIVERED);
        assertTrue(isReady(endpoint));
    }

    @Test
    void stalledEndpointsShareOnePartOfTheSlots() {
        Endpoint unresponsive = endpointWithOwnLimit();
        unresponsive.timingOut = true;
        assertTrue(isReady(unresponsive));
        endpoint.timingOut = true;
        fixture.startCall(fixture.addMessage(SAFE), endpoint);
        assertTrue(isNeverReady(unresponsive), "the one slot for stalled endpoints is taken");
        endpoint.timingOut = false;
        assertTrue(isReady(unresponsive));
    }

    @Test
    void aLongCallMarksItsEndpointAsStalledUnlessLaterCallsWereDelivered() {
        parts.timeouts.onDelivered(fixture.limit, 100 * MILLISECOND_MICROS);
        fixture.startCall(fixture.addMessage(SAFE), endpoint);
        fixture.advanceClock(400 * MILLISECOND_MICROS);
        assertTrue(isReady(endpoint));
        fixture.advanceClock(1);
        assertTrue(isNeverReady(endpoint), "over four times the usual answer time");
        endpoint.lastDeliveredSentAtMicros = fixture.state.nowMicros - 100 * MILLISECOND_MICROS;
        assertTrue(isReady(endpoint));
    }

    @Test
    void slowAnswersMarkAnEndpointAsStalled() {
        fixture.startCall(fixture.addMessage(SAFE), endpoint);
        fixture.state.overallMeanResponseMicros = 100 * MILLISECOND_MICROS;
        fixture.limit.meanResponseMicros = 401 * MILLISECOND_MICROS;
        assertTrue(isNeverReady(endpoint));
    }
}
