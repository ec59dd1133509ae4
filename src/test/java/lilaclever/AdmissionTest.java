package lilaclever;

import static lilaclever.Rig.MS;
import static lilaclever.Rig.S;
import static lilaclever.Rig.SAFE;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import lilaclever.PolicyState.DestinationQueue;
import lilaclever.PolicyState.Endpoint;
import lilaclever.PolicyState.Message;
import org.junit.jupiter.api.Test;

/** Tenants have a quota of 5 messages a second, 50 messages may be open, and the longest retry-after is 2 s. */
class AdmissionTest {
    private final PolicyFixture fixture = new PolicyFixture();
    private final PolicyParts parts = new PolicyParts(fixture.state);
    private final Admission admission = parts.admission;

    @Test
    void aTenantMaySendThreeSecondsOfItsQuotaAtOnce() {
        for (int i = 0; i < 15; i++) {
            assertFalse(admission.isOverQuota(0));
        }
        assertTrue(admission.isOverQuota(0));
        assertFalse(admission.isOverQuota(1), "each tenant has its own quota");
        fixture.later(200 * MS);
        assertFalse(admission.isOverQuota(0));
        assertTrue(admission.isOverQuota(0));
    }

    @Test
    void aTenantThatIsNotInTheSettingsHasNoQuota() {
        for (int i = 0; i < 100; i++) {
            assertFalse(admission.isOverQuota(-1) || admission.isOverQuota(2));
        }
    }

    @Test
    void itIsNearlyFullAboveNineteenTwentieths() {
        fixture.state.openMessages = 47;
        assertFalse(admission.isNearlyFull());
        fixture.state.openMessages = 48;
        assertTrue(admission.isNearlyFull());
    }

    @Test
    void theLeastWorthIsRefusedAndOfEqualOnesTheLatest() {
        assertNull(admission.leastWorth());
        fixture.message(SAFE);
        Message latest = fixture.message(SAFE);
        assertEquals(latest, admission.leastWorth());
        Message low = fixture.message(SAFE);
        low.worth = 0.1;
        fixture.message(SAFE);
        assertEquals(low, admission.leastWorth());
    }

    @Test
    void whatMayHaveRunOrOutlivedAProcessIsKept() {
        Message fresh = fixture.message(SAFE);
        fixture.message(SAFE).mayHaveRun = true;
        Message resumed = fixture.message(SAFE);
        resumed.resumed = true;
        assertEquals(fresh, admission.leastWorth());
        fixture.state.dequeue(fresh);
        assertTrue(admission.leastWorth().mayHaveRun, "it is refused later than others, not never");
        fixture.state.dequeue(admission.leastWorth());
        assertNull(admission.leastWorth());
    }

    @Test
    void itIsRefusedWhereMostWaitsForTheRate() {
        Message crowded = fixture.message(SAFE);
        DestinationQueue other = new DestinationQueue();
        fixture.state.queues.put(2, other);
        Message alone = fixture.message(SAFE);
        fixture.state.dequeue(alone);
        alone.queue = other;
        fixture.state.enqueue(alone);
        fixture.message(SAFE);
        assertTrue(admission.leastWorth().queue == crowded.queue);
        Endpoint endpoint = fixture.endpoint();
        for (int i = 0; i < 100; i++) {
            fixture.later(100 * MS);
            parts.rates.onDelivered(fixture.limit, endpoint);
        }
        assertEquals(alone, admission.leastWorth(), "the other destination soon accepts its two messages");
    }

    @Test
    void aRefusedClientComesAgainWhenThereWillBeRoom() {
        fixture.endpoint();
        assertEquals(0, admission.comeBackAfter(fixture.queue), "no message is waiting");
        parts.limits.onWait(fixture.limit, 300 * MS);
        assertEquals(300 * MS, admission.comeBackAfter(fixture.queue));
        fixture.message(SAFE);
        assertEquals(2 * S, admission.comeBackAfter(fixture.queue), "at half a call a second: the longest retry-after");
        fixture.limit.usualRate = 10;
        fixture.limit.usualUnseen = 0;
        assertEquals(400 * MS, admission.comeBackAfter(fixture.queue), "at ten calls a second");
    }

    @Test
    void whereNoEndpointIsListedItIsTheMostThatIsTold() {
        fixture.endpoint().active = false;
        assertEquals(2 * S, admission.comeBackAfter(fixture.queue));
    }
}
