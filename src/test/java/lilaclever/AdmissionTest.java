package lilaclever;

import static lilaclever.DecisionModuleHarness.MILLISECOND_MICROS;
import static lilaclever.DecisionModuleHarness.SAFE;
import static lilaclever.DecisionModuleHarness.SECOND_MICROS;
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
    void aTenantMaySubmitThreeSecondsOfItsQuotaInABurst() {
        for (int i = 0; i < 15; i++) {
            assertFalse(admission.isOverQuota(0));
        }
        assertTrue(admission.isOverQuota(0));
        assertFalse(admission.isOverQuota(1), "each tenant has its own quota");
        fixture.advanceClock(200 * MILLISECOND_MICROS);
        assertFalse(admission.isOverQuota(0));
        assertTrue(admission.isOverQuota(0));
    }

    @Test
    void aTenantMissingFromTheSettingsHasNoQuota() {
        for (int i = 0; i < 100; i++) {
            assertFalse(admission.isOverQuota(-1) || admission.isOverQuota(2));
        }
    }

    @Test
    void theForwarderIsNearlyFullAbove95PercentOfItsOpenMessages() {
        fixture.state.openMessages = 47;
        assertFalse(admission.isNearlyFull());
        fixture.state.openMessages = 48;
        assertTrue(admission.isNearlyFull());
    }

    @Test
    void theMessageOfLowestWorthIsRefusedAndTheNewestOfEqualOnes() {
        assertNull(admission.leastWorthMessage());
        fixture.addMessage(SAFE);
        Message newest = fixture.addMessage(SAFE);
        assertEquals(newest, admission.leastWorthMessage());
        Message lowWorth = fixture.addMessage(SAFE);
        lowWorth.worth = 0.1;
        fixture.addMessage(SAFE);
        assertEquals(lowWorth, admission.leastWorthMessage());
    }

    @Test
    void messagesThatMayHaveRunAreRefusedLastAndRecoveredOnesNever() {
        Message untried = fixture.addMessage(SAFE);
        fixture.addMessage(SAFE).mayHaveRun = true;
        Message recovered = fixture.addMessage(SAFE);
        recovered.resumed = true;
        assertEquals(untried, admission.leastWorthMessage());
        fixture.state.dequeue(untried);
        assertTrue(admission.leastWorthMessage().mayHaveRun, "it is refused later than others, not never");
        fixture.state.dequeue(admission.leastWorthMessage());
        assertNull(admission.leastWorthMessage());
    }

    @Test
    void theDestinationWithTheLargestBacklogForItsRateLosesAMessage() {
        Message inLargestBacklog = fixture.addMessage(SAFE);
        DestinationQueue otherQueue = new DestinationQueue();
        fixture.state.queues.put(2, otherQueue);
        Message inOtherQueue = fixture.addMessage(SAFE);
        fixture.state.dequeue(inOtherQueue);
        inOtherQueue.queue = otherQueue;
        fixture.state.enqueue(inOtherQueue);
        fixture.addMessage(SAFE);
        assertTrue(admission.leastWorthMessage().queue == inLargestBacklog.queue);
        Endpoint endpoint = fixture.addEndpoint();
        for (int i = 0; i < 100; i++) {
            fixture.advanceClock(100 * MILLISECOND_MICROS);
            parts.rates.onDelivered(fixture.limit, endpoint);
        }
        assertEquals(
                inOtherQueue, admission.leastWorthMessage(), "the other destination soon accepts its two messages");
    }

    @Test
    void theRetryAfterOfARefusalIsWhenCapacityIsExpected() {
        fixture.addEndpoint();
        assertEquals(0, admission.retryAfterMicros(fixture.queue), "no message is waiting");
        parts.limits.onRetryAfter(fixture.limit, 300 * MILLISECOND_MICROS);
        assertEquals(300 * MILLISECOND_MICROS, admission.retryAfterMicros(fixture.queue));
        fixture.addMessage(SAFE);
        assertEquals(
                2 * SECOND_MICROS,
                admission.retryAfterMicros(fixture.queue),
                "at half a call a second: the longest retry-after");
        fixture.limit.usualRate = 10;
        fixture.limit.usualRateUnfilled = 0;
        assertEquals(400 * MILLISECOND_MICROS, admission.retryAfterMicros(fixture.queue), "at ten calls a second");
    }

    @Test
    void withoutAnActiveEndpointTheRetryAfterIsTheLongest() {
        fixture.addEndpoint().active = false;
        assertEquals(2 * SECOND_MICROS, admission.retryAfterMicros(fixture.queue));
    }
}
