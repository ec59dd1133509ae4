package lilaclever;

import static lilaclever.Rig.S;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import lilaclever.PolicyState.Endpoint;
import org.junit.jupiter.api.Test;

/** The rules give slow start 10 s. */
class SlowStartTest {
    private final PolicyFixture fixture = new PolicyFixture();
    private final SlowStart slowStart = new SlowStart(fixture.state);
    private final Endpoint endpoint = fixture.endpoint();

    @Test
    void anEndpointThatWasNeverOutIsNotInSlowStart() {
        assertFalse(slowStart.isActive(endpoint));
    }

    @Test
    void itLastsAsLongAsTheRulesSay() {
        slowStart.begin(endpoint);
        assertEquals(fixture.state.now + 10 * S, slowStart.endsAt(endpoint));
        fixture.later(10 * S - 1);
        assertTrue(slowStart.isActive(endpoint));
        fixture.later(1);
        assertFalse(slowStart.isActive(endpoint));
    }

    @Test
    void aSetBackHalvesItsAge() {
        slowStart.begin(endpoint);
        fixture.later(6 * S);
        slowStart.setBack(endpoint);
        assertEquals(3 * S, slowStart.age(endpoint));
        fixture.later(5 * S);
        assertTrue(slowStart.isActive(endpoint), "11 s after its beginning 2 s are left");
    }
}
