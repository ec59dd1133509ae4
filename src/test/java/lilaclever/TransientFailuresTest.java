package lilaclever;

import static lilaclever.DecisionModuleHarness.MILLISECOND_MICROS;
import static lilaclever.DecisionModuleHarness.SECOND_MICROS;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import lilaclever.PolicyState.Endpoint;
import org.junit.jupiter.api.Test;

class TransientFailuresTest {
    private final PolicyFixture fixture = new PolicyFixture();
    private final TransientFailures failures = new TransientFailures(fixture.state);
    private final Endpoint endpoint = fixture.addEndpoint();

    private void failAndRecover(boolean connectRejected, long durationMicros) {
        endpoint.failingSinceMicros = fixture.state.nowMicros;
        failures.onFailure(endpoint, connectRejected);
        fixture.advanceClock(durationMicros);
        failures.onDelivered(endpoint);
        endpoint.failingSinceMicros = 0;
    }

    @Test
    void initiallyRejectedConnectsAreTakenAsCommonAndLostCallsAsRare() {
        assertTrue(failures.connectsOftenRejected(endpoint));
        assertFalse(failures.connectsRejectedMoreThanAssumed(endpoint));
        assertFalse(failures.callsOftenLost());
    }

    @Test
    void briefFailuresAreTransient() {
        failAndRecover(false, 100 * MILLISECOND_MICROS);
        assertFalse(failures.callsOftenLost(), "one gives the bound of 0.3, which is not above it");
        failAndRecover(false, 100 * MILLISECOND_MICROS);
        assertTrue(failures.callsOftenLost());
        assertFalse(failures.connectsRejectedMoreThanAssumed(endpoint), "no connect was rejected");
    }

    @Test
    void rejectedConnectsAreCountedSeparately() {
        failAndRecover(true, 100 * MILLISECOND_MICROS);
        assertTrue(failures.connectsRejectedMoreThanAssumed(endpoint));
        failAndRecover(true, 100 * MILLISECOND_MICROS);
        assertFalse(failures.callsOftenLost());
    }

    @Test
    void lastingFailuresAreNotTransient() {
        failAndRecover(false, 4 * SECOND_MICROS);
        failAndRecover(false, 4 * SECOND_MICROS);
        assertFalse(failures.callsOftenLost());
        endpoint.failingSinceMicros = fixture.state.nowMicros - 3 * SECOND_MICROS;
        assertFalse(failures.isBrief(endpoint));
        failures.onFailure(endpoint, true);
        failures.onFailure(endpoint, true);
        assertFalse(failures.connectsOftenRejected(endpoint), "0.45 times 0.7 squared");
    }
}
