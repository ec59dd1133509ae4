package lilaclever;

import static lilaclever.DecisionModuleHarness.SAFE;
import static lilaclever.DecisionModuleHarness.SECOND_MICROS;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import lilaclever.DecisionModule.Action;
import lilaclever.DecisionModule.AttemptResult;
import lilaclever.PolicyState.Endpoint;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Idle connections are kept for 5 s. */
class ConnectionReuseTest {
    private final PolicyFixture fixture = new PolicyFixture();
    private final ConnectionReuse connections = new ConnectionReuse(fixture.state);
    private final Endpoint endpoint = fixture.addEndpoint();

    @Test
    void aConnectionStaysIdleUntilItIsUsedOrTooOld() {
        assertFalse(connections.hasIdleConnection(endpoint));
        connections.onCallEnded(endpoint, AttemptResult.DELIVERED);
        assertTrue(connections.hasIdleConnection(endpoint));
        connections.onSend(endpoint);
        assertFalse(connections.hasIdleConnection(endpoint));
        connections.onCallEnded(endpoint, AttemptResult.FULL);
        fixture.advanceClock(5 * SECOND_MICROS - 1);
        assertTrue(connections.hasIdleConnection(endpoint));
        fixture.advanceClock(1);
        assertFalse(connections.hasIdleConnection(endpoint));
    }

    @ParameterizedTest
    @EnumSource(
            value = AttemptResult.class,
            names = {"NO_CONNECTION", "NO_ROOM", "RESET", "NOT_SENT"})
    void attemptsThatEndWithoutAConnectionLeaveNoneIdle(AttemptResult result) {
        connections.onCallEnded(endpoint, result);
        assertFalse(connections.hasIdleConnection(endpoint));
    }

    @Test
    void aFailedConnectRemovesTheIdleConnection() {
        connections.onCallEnded(endpoint, AttemptResult.DELIVERED);
        connections.onConnectFailed(endpoint);
        assertFalse(connections.hasIdleConnection(endpoint));
    }

    @Test
    void aSmallFleetKeepsIdleConnections() {
        connections.onCallEnded(endpoint, AttemptResult.DELIVERED);
        connections.closeUnused();
        assertEquals(List.of(), fixture.state.actions);
        assertTrue(connections.hasIdleConnection(endpoint));
    }

    @Test
    void whereConnectionsAreScarceAnIdleOneIsClosedIfNoMessageWaitsForIt() {
        connections.onConnectRejected(endpoint);
        fixture.addMessage(SAFE);
        connections.onCallEnded(endpoint, AttemptResult.DELIVERED);
        connections.closeUnused();
        assertEquals(List.of(), fixture.state.actions, "a message waits for the destination");
        fixture.state.dequeue(fixture.queue.waiting.iterator().next());
        connections.closeUnused();
        assertEquals(List.of(), fixture.state.actions, "closed only in the round in which a call ended");
        connections.onCallEnded(endpoint, AttemptResult.DELIVERED);
        connections.closeUnused();
        assertEquals(List.of(new Action.CloseIdle(endpoint.host)), fixture.state.actions);
        assertFalse(connections.hasIdleConnection(endpoint));
    }

    @Test
    void aLargeFleetClosesIdleConnectionsThatAreNotReusedInTheSameRound() {
        PolicyFixture fixtureOfLargeFleet = new PolicyFixture(PolicyFixture.LARGE_FLEET_SIZE);
        ConnectionReuse reuse = new ConnectionReuse(fixtureOfLargeFleet.state);
        Endpoint first = fixtureOfLargeFleet.addEndpoint();
        Endpoint second = fixtureOfLargeFleet.addEndpoint();
        reuse.onCallEnded(first, AttemptResult.DELIVERED);
        reuse.onCallEnded(second, AttemptResult.DELIVERED);
        reuse.onSend(first);
        reuse.closeUnused();
        assertEquals(List.of(new Action.CloseIdle(second.host)), fixtureOfLargeFleet.state.actions);
    }
}
