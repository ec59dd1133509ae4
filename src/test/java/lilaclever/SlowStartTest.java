package lilaclever;

import static lilaclever.DecisionModuleHarness.SECOND_MICROS;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import lilaclever.PolicyState.Endpoint;
import org.junit.jupiter.api.Test;

/** The rules give slow start 10 s. */
class SlowStartTest {
    private final PolicyFixture fixture = new PolicyFixture();
    private final SlowStart slowStart = new SlowStart(fixture.state);
    private final Endpoint endpoint = fixture.addEndpoint();

    @Test
    void anEndpointThatWasNeverInAnOutageIsNotInSlowStart() {
        assertFalse(slowStart.isActive(endpoint));
    }

    @Test
    void slowStartLastsAsLongAsTheRulesSay() {
        slowStart.begin(endpoint);
        assertEquals(fixture.state.nowMicros + 10 * SECOND_MICROS, slowStart.endsAtMicros(endpoint));
        fixture.advanceClock(10 * SECOND_MICROS - 1);
        assertTrue(slowStart.isActive(endpoint));
        fixture.advanceClock(1);
        assertFalse(slowStart.isActive(endpoint));
    }

    @Test
    void settingSlowStartBackHalvesItsAge() {
        slowStart.begin(endpoint);
        fixture.advanceClock(6 * SECOND_MICROS);
        slowStart.halveAge(endpoint);
        assertEquals(3 * SECOND_MICROS, slowStart.ageMicros(endpoint));
        fixture.advanceClock(5 * SECOND_MICROS);
        assertTrue(slowStart.isActive(endpoint), "11 s after its beginning 2 s are left");
    }
}
