package lilaclever;

import static lilaclever.Rig.MS;
import static lilaclever.Rig.S;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import lilaclever.PolicyState.DestinationQueue;
import lilaclever.PolicyState.Endpoint;
import org.junit.jupiter.api.Test;

class RateEstimatesTest {
    private final PolicyFixture fixture = new PolicyFixture();
    private final SlowStart slowStart = new SlowStart(fixture.state);
    private final RateEstimates rates = new RateEstimates(fixture.state, slowStart);
    private final Endpoint endpoint = fixture.endpoint();

    private void deliver(int calls, long apartMicros) {
        for (int i = 0; i < calls; i++) {
            fixture.later(apartMicros);
            rates.onDelivered(fixture.limit, endpoint);
        }
    }

    @Test
    void aSteadyRateIsFound() {
        deliver(200, 200 * MS);
        assertEquals(5, rates.usual(fixture.limit), 0.6);
        assertEquals(5, fixture.limit.recentRate, 0.6);
    }

    @Test
    void theUsualRateIsAMeanOfWhatWasSeenSoFar() {
        deliver(20, 200 * MS);
        assertEquals(5, rates.usual(fixture.limit), 1, "after 4 s, with a memory of 15 s");
    }

    @Test
    void theRecentRateForgetsInSecondsTheUsualOneDoesNot() {
        deliver(200, 200 * MS);
        fixture.later(6 * S);
        rates.decay(fixture.limit, endpoint);
        assertTrue(fixture.limit.recentRate < 0.5, "recent " + fixture.limit.recentRate);
        assertTrue(rates.usual(fixture.limit) > 3, "usual " + rates.usual(fixture.limit));
    }

    @Test
    void anOutageAndSlowStartDoNotCountAsUsual() {
        deliver(200, 200 * MS);
        double usual = rates.usual(fixture.limit);
        endpoint.inOutage = true;
        fixture.later(20 * S);
        rates.decay(fixture.limit, endpoint);
        assertEquals(usual, rates.usual(fixture.limit));
        endpoint.inOutage = false;
        slowStart.begin(endpoint);
        deliver(1, S);
        assertEquals(usual, rates.usual(fixture.limit));
    }

    @Test
    void aToldRateIsSharedEvenly() {
        fixture.limit.toldRate = 8;
        assertEquals(4, rates.evenShare(fixture.limit), "half for each of two forwarders");
    }

    @Test
    void withoutAToldRateTheShareIsAGuessFromAllDestinations() {
        assertEquals(0.75, rates.evenShare(fixture.limit), "at first 1.5 calls a second for both forwarders");
        deliver(200, 100 * MS);
        double guess = rates.evenShare(fixture.limit);
        assertEquals(2.5, guess, 0.3, "a quarter of the mean rate of all destinations");
        fixture.state.queues.put(2, new DestinationQueue());
        assertEquals(guess / 2, rates.evenShare(fixture.limit), 1e-9, "the mean over two destinations is half as high");
    }
}
