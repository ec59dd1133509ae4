package lilaclever;

import static lilaclever.Rig.S;
import static lilaclever.Rig.SAFE;
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

/** The rig keeps idle connections for 5 s. */
class ConnectionReuseTest {
    private final PolicyFixture fixture = new PolicyFixture();
    private final ConnectionReuse connections = new ConnectionReuse(fixture.state);
    private final Endpoint endpoint = fixture.endpoint();

    @Test
    void aConnectionIsIdleUntilItIsUsedOrTooOld() {
        assertFalse(connections.hasIdleConnection(endpoint));
        connections.onCallEnded(endpoint, AttemptResult.DELIVERED);
        assertTrue(connections.hasIdleConnection(endpoint));
        connections.onSend(endpoint);
        assertFalse(connections.hasIdleConnection(endpoint));
        connections.onCallEnded(endpoint, AttemptResult.FULL);
        fixture.later(5 * S - 1);
        assertTrue(connections.hasIdleConnection(endpoint));
        fixture.later(1);
        assertFalse(connections.hasIdleConnection(endpoint));
    }

    @ParameterizedTest
    @EnumSource(
            value = AttemptResult.class,
            names = {"NO_CONNECTION", "NO_ROOM", "RESET", "NOT_SENT"})
    void theseEndingsLeaveNoConnection(AttemptResult ending) {
        connections.onCallEnded(endpoint, ending);
        assertFalse(connections.hasIdleConnection(endpoint));
    }

    @Test
    void afterAFailedConnectNoneIsLeft() {
        connections.onCallEnded(endpoint, AttemptResult.DELIVERED);
        connections.onConnectFailed(endpoint);
        assertFalse(connections.hasIdleConnection(endpoint));
    }

    @Test
    void aSmallFleetKeepsItsConnections() {
        connections.onCallEnded(endpoint, AttemptResult.DELIVERED);
        connections.closeUnused();
        assertEquals(List.of(), fixture.state.actions);
        assertTrue(connections.hasIdleConnection(endpoint));
    }

    @Test
    void whereConnectionsAreScarceNoneIsKeptThatNothingWaitsFor() {
        connections.onConnectRejected(endpoint);
        fixture.message(SAFE);
        connections.onCallEnded(endpoint, AttemptResult.DELIVERED);
        connections.closeUnused();
        assertEquals(List.of(), fixture.state.actions, "a message waits for the destination");
        fixture.state.dequeue(fixture.queue.waiting.iterator().next());
        connections.closeUnused();
        assertEquals(List.of(), fixture.state.actions, "only in the round in which the call came back");
        connections.onCallEnded(endpoint, AttemptResult.DELIVERED);
        connections.closeUnused();
        assertEquals(List.of(new Action.CloseIdle(endpoint.host)), fixture.state.actions);
        assertFalse(connections.hasIdleConnection(endpoint));
    }

    @Test
    void aLargeFleetKeepsNoneButThatOfACallInTheSameRound() {
        PolicyFixture large = new PolicyFixture(PolicyFixture.LARGE);
        ConnectionReuse reuse = new ConnectionReuse(large.state);
        Endpoint first = large.endpoint();
        Endpoint second = large.endpoint();
        reuse.onCallEnded(first, AttemptResult.DELIVERED);
        reuse.onCallEnded(second, AttemptResult.DELIVERED);
        reuse.onSend(first);
        reuse.closeUnused();
        assertEquals(List.of(new Action.CloseIdle(second.host)), large.state.actions);
    }
}
