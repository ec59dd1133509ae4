package lilaclever;

import static lilaclever.Rig.MS;
import static lilaclever.Rig.S;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import lilaclever.PolicyState.Endpoint;
import org.junit.jupiter.api.Test;

class TransientFailuresTest {
    private final PolicyFixture fixture = new PolicyFixture();
    private final TransientFailures failures = new TransientFailures(fixture.state);
    private final Endpoint endpoint = fixture.endpoint();

    private void failure(boolean turnedAway, long lastsMicros) {
        endpoint.failingSince = fixture.state.now;
        failures.onFailure(endpoint, turnedAway);
        fixture.later(lastsMicros);
        failures.onDelivered(endpoint);
        endpoint.failingSince = 0;
    }

    @Test
    void atFirstConnectsMayBeTurnedAwayAndCallsAreNotLost() {
        assertTrue(failures.connectsOftenTurnedAway(endpoint));
        assertFalse(failures.connectsTurnedAwayMoreThanAssumed(endpoint));
        assertFalse(failures.callsOftenLost());
    }

    @Test
    void failuresThatSoonPassAreTransient() {
        failure(false, 100 * MS);
        assertFalse(failures.callsOftenLost(), "one gives the bound of 0.3, which is not above it");
        failure(false, 100 * MS);
        assertTrue(failures.callsOftenLost());
        assertFalse(failures.connectsTurnedAwayMoreThanAssumed(endpoint), "no connect was rejected");
    }

    @Test
    void connectsCountApart() {
        failure(true, 100 * MS);
        assertTrue(failures.connectsTurnedAwayMoreThanAssumed(endpoint));
        failure(true, 100 * MS);
        assertFalse(failures.callsOftenLost());
    }

    @Test
    void failuresThatLastAreNone() {
        failure(false, 4 * S);
        failure(false, 4 * S);
        assertFalse(failures.callsOftenLost());
        endpoint.failingSince = fixture.state.now - 3 * S;
        assertFalse(failures.isBrief(endpoint));
        failures.onFailure(endpoint, true);
        failures.onFailure(endpoint, true);
        assertFalse(failures.connectsOftenTurnedAway(endpoint), "0.45 times 0.7 squared");
    }
}
