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
        endpoint.failingSinceMicros = fixture.state.nowMicros;
        failures.onFailure(endpoint, turnedAway);
        fixture.later(lastsMicros);
        failures.onDelivered(endpoint);
        endpoint.failingSinceMicros = 0;
    }

    @Test
    void atFirstConnectsMayBeTurnedAwayAndCallsAreNotLost() {
        assertTrue(failures.connectsOftenRejected(endpoint));
        assertFalse(failures.connectsRejectedMoreThanAssumed(endpoint));
        assertFalse(failures.callsOftenLost());
    }

    @Test
    void failuresThatSoonPassAreTransient() {
        failure(false, 100 * MS);
        assertFalse(failures.callsOftenLost(), "one is at the bound of 0.3, not above");
        failure(false, 100 * MS);
        assertTrue(failures.callsOftenLost());
        assertFalse(failures.connectsRejectedMoreThanAssumed(endpoint), "they say nothing of connects");
    }

    @Test
    void connectsCountApart() {
        failure(true, 100 * MS);
        assertTrue(failures.connectsRejectedMoreThanAssumed(endpoint));
        failure(true, 100 * MS);
        assertFalse(failures.callsOftenLost());
    }

    @Test
    void failuresThatLastAreNone() {
        failure(false, 4 * S);
        failure(false, 4 * S);
        assertFalse(failures.callsOftenLost());
        endpoint.failingSinceMicros = fixture.state.nowMicros - 3 * S;
        assertFalse(failures.isBrief(endpoint));
        failures.onFailure(endpoint, true);
        failures.onFailure(endpoint, true);
        assertFalse(failures.connectsOftenRejected(endpoint), "0.45 times 0.7 twice");
    }
}
