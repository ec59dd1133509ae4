package lilaclever;

import static lilaclever.DecisionModuleHarness.MILLISECOND_MICROS;
import static lilaclever.DecisionModuleHarness.SECOND_MICROS;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import lilaclever.PolicyState.DestinationQueue;
import lilaclever.PolicyState.Endpoint;
import org.junit.jupiter.api.Test;

class RateEstimatesTest {
    private final PolicyFixture fixture = new PolicyFixture();
    private final SlowStart slowStart = new SlowStart(fixture.state);
    private final RateEstimates rates = new RateEstimates(fixture.state, slowStart);
    private final Endpoint endpoint = fixture.addEndpoint();

    private void deliver(int calls, long intervalMicros) {
        for (int i = 0; i < calls; i++) {
            fixture.advanceClock(intervalMicros);
            rates.onDelivered(fixture.limit, endpoint);
        }
    }

    @Test
    void aSteadyRateIsEstimated() {
        deliver(200, 200 * MILLISECOND_MICROS);
        assertEquals(5, rates.usual(fixture.limit), 0.6);
        assertEquals(5, fixture.limit.recentRate, 0.6);
    }

    @Test
    void theUsualRateIsTheMeanSoFarUntilItsMemoryIsFull() {
        deliver(20, 200 * MILLISECOND_MICROS);
        assertEquals(5, rates.usual(fixture.limit), 1, "after 4 s, with a memory of 15 s");
    }

    @Test
    void theRecentRateDecaysWithinSecondsAndTheUsualRateDoesNot() {
        deliver(200, 200 * MILLISECOND_MICROS);
        fixture.advanceClock(6 * SECOND_MICROS);
        rates.decay(fixture.limit, endpoint);
        assertTrue(fixture.limit.recentRate < 0.5, "recent " + fixture.limit.recentRate);
        assertTrue(rates.usual(fixture.limit) > 3, "usual " + rates.usual(fixture.limit));
    }

    @Test
    void anOutageAndSlowStartLeaveTheUsualRateUnchanged() {
        deliver(200, 200 * MILLISECOND_MICROS);
        double usual = rates.usual(fixture.limit);
        endpoint.inOutage = true;
        fixture.advanceClock(20 * SECOND_MICROS);
        rates.decay(fixture.limit, endpoint);
        assertEquals(usual, rates.usual(fixture.limit));
        endpoint.inOutage = false;
        slowStart.begin(endpoint);
        deliver(1, SECOND_MICROS);
        assertEquals(usual, rates.usual(fixture.limit));
    }

    @Test
    void aKnownRateIsSharedEvenly() {
        fixture.limit.announcedRate = 8;
        assertEquals(4, rates.evenShare(fixture.limit), "half for each of two forwarders");
    }

    @Test
    void withoutAKnownRateTheShareIsEstimatedFromAllDestinations() {
        assertEquals(0.75, rates.evenShare(fixture.limit), "at first 1.5 calls a second for both forwarders");
        deliver(200, 100 * MILLISECOND_MICROS);
        double estimate = rates.evenShare(fixture.limit);
        assertEquals(2.5, estimate, 0.3, "a quarter of the mean rate of all destinations");
        fixture.state.queues.put(2, new DestinationQueue());
        assertEquals(
                estimate / 2, rates.evenShare(fixture.limit), 1e-9, "the mean over two destinations is half as high");
    }
}
