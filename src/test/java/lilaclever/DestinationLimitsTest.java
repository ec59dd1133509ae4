package lilaclever;

import static lilaclever.Rig.MS;
import static lilaclever.Rig.S;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import lilaclever.DecisionModule.Report;
import lilaclever.PolicyState.DestinationLimit;
import lilaclever.PolicyState.Endpoint;
import org.junit.jupiter.api.Test;

class DestinationLimitsTest {
    private final PolicyFixture fixture = new PolicyFixture();
    private final SlowStart slowStart = new SlowStart(fixture.state);
    private final RateEstimates rates = new RateEstimates(fixture.state, slowStart);
    private final DestinationLimits limits = limits(fixture, slowStart, rates);
    private final DestinationLimit limit = fixture.limit;
    private final Endpoint endpoint = fixture.endpoint();

    private static DestinationLimits limits(PolicyFixture fixture, SlowStart slowStart, RateEstimates rates) {
        PolicyState state = fixture.state;
        TransientFailures failures = new TransientFailures(state);
        CallTimeouts timeouts = new CallTimeouts(state, failures);
        OutageDetection outages = new OutageDetection(state, slowStart, failures, timeouts, new ConnectionReuse(state));
        RecoveryPace recoveryPace = new RecoveryPace(state, slowStart, rates, failures);
        return new DestinationLimits(state, rates, slowStart, outages, recoveryPace);
    }

    private void refuse(long waitMicros) {
        limits.onWait(limit, waitMicros);
        limits.onRefused(limit, endpoint, waitMicros, null);
    }

    /** Delivers calls at this rate for 30 s, so that it is both the recent and the usual rate. */
    private void take(double perSecond) {
        for (int i = 0; i < 30 * perSecond; i++) {
            fixture.later((long) (S / perSecond));
            rates.onDelivered(limit, endpoint);
            limits.onDelivered(limit);
        }
    }

    @Test
    void onTheOrdinaryPathThereIsNoRate() {
        assertEquals(PolicyState.NEVER, limits.allowedRate(limit));
        assertTrue(limits.readyAt(limit) <= fixture.state.now);
    }

    @Test
    void aToldWaitIsKeptAndNeverShortened() {
        limits.onWait(limit, 2 * S);
        limits.onWait(limit, S);
        limits.onWait(limit, 0);
        assertEquals(fixture.state.now + 2 * S, limits.readyAt(limit));
    }

    @Test
    void aRefusalAllowsTenASecondAtMostUntilFiveQuietSeconds() {
        take(50);
        refuse(0);
        assertEquals(10, limits.allowedRate(limit));
        limit.lastSentAt = fixture.state.now;
        assertEquals(fixture.state.now + 100 * MS, limits.readyAt(limit));
        fixture.later(5 * S - 1);
        assertEquals(10, limits.allowedRate(limit));
        fixture.later(1);
        assertTrue(limits.allowedRate(limit) > 30, "the rate before the refusal is its ceiling now");
        fixture.later(16 * S);
        assertEquals(PolicyState.NEVER, limits.allowedRate(limit), "the ceiling ends as well");
    }

    @Test
    void refusalsTogetherLowerTheRateOnceAndDeliveriesRaiseIt() {
        take(5);
        refuse(0);
        double once = limits.allowedRate(limit);
        assertEquals(4, once, 0.4, "four fifths of the rate before");
        fixture.later(400 * MS);
        refuse(0);
        assertEquals(once, limits.allowedRate(limit));
        fixture.later(500 * MS);
        refuse(0);
        double twice = limits.allowedRate(limit);
        assertTrue(twice < once && twice > 0.5 * once, twice + " after " + once);
        limits.onDelivered(limit);
        assertEquals(twice + 0.2, limits.allowedRate(limit), 1e-9);
    }

    @Test
    void theAssuredRateFallsByQuartersToAnEvenShare() {
        limit.toldRate = 0.1;
        limit.allowanceLeft = 0.5;
        assertEquals(0.5, limits.assuredRate(limit));
        limit.refusals = 2;
        assertEquals(0.125, limits.assuredRate(limit));
        limit.refusals = 3;
        assertEquals(0.05, limits.assuredRate(limit), "an even share of 0.1");
        limit.refusals = 0;
        limit.allowanceLeft = 0;
        assertEquals(0.1, limits.assuredRate(limit), "two even shares where the allowance is used up");
    }

    @Test
    void inTheLargestFleetsItIsOneCallInFiftySeconds() {
        PolicyFixture large = new PolicyFixture(1_000);
        SlowStart start = new SlowStart(large.state);
        DestinationLimits inFleet = limits(large, start, new RateEstimates(large.state, start));
        assertEquals(0.02, inFleet.assuredRate(large.limit), "ten shares of 1.5 a second are 0.015");
        large.limit.refusals = 9;
        assertEquals(0.02, inFleet.assuredRate(large.limit));
    }

    @Test
    void aLongWaitMeansThatAllIsShutAndItsEndIsSpread() {
        refuse(4 * S);
        assertTrue(endpoint.inOutage);
        assertTrue(limit.reopensAt >= limit.waitUntil && limit.reopensAt < limit.waitUntil + 20 * S);
        assertEquals(8 * S, limit.failingFor, "the shortest assumed length of an outage");
    }

    @Test
    void refusalsForLongWithoutAShortWaitMeanShutToo() {
        for (int i = 0; i < 3; i++) {
            refuse(0);
            fixture.later(S);
        }
        assertFalse(endpoint.inOutage);
        refuse(0);
        assertTrue(endpoint.inOutage);
    }

    @Test
    void aShortWaitSpeaksOfTheLimit() {
        for (int i = 0; i < 6; i++) {
            refuse(200 * MS);
            fixture.later(S);
        }
        assertFalse(endpoint.inOutage);
    }

    @Test
    void aRefusalInSlowStartSetsItBack() {
        slowStart.begin(endpoint);
        fixture.later(4 * S);
        refuse(0);
        assertEquals(2 * S, slowStart.age(endpoint));
    }

    @Test
    void withNothingLeftTheFleetKeepsToPartOfTheRate() {
        Report exhausted = new Report(0, 2);
        limits.onReport(limit, exhausted);
        limits.onRefused(limit, endpoint, 0, exhausted);
        limit.lastSentAt = fixture.state.now;
        assertEquals(2, limit.refusalsAsOutage);
        assertEquals(fixture.state.now + 2 * S, limits.readyAt(limit), "throttled to half a call a second");
        limit.throttledUntil = 0;
        limit.rateCeiling = 0;
        // An even share is 1 call a second; the rate in an outage is 0.425 of two calls a second.
        assertEquals(fixture.state.now + (long) (S / 0.7), limits.readyAt(limit), 1);
        limits.onDelivered(limit);
        assertFalse(limit.exhausted);
    }

    @Test
    void inALargeFleetTheSecondRefusalSetsThePaceOfAnOutage() {
        PolicyFixture large = new PolicyFixture(PolicyFixture.LARGE);
        SlowStart start = new SlowStart(large.state);
        DestinationLimits inFleet = limits(large, start, new RateEstimates(large.state, start));
        Endpoint there = large.endpoint();
        inFleet.onRefused(large.limit, there, 0, null);
        long first = large.limit.throttledUntil - large.state.now;
        assertTrue(first >= 2_500 * MS && first <= 7_500 * MS, "throttled for " + first);
        large.later(10 * S);
        inFleet.onRefused(large.limit, there, 0, null);
        large.limit.lastSentAt = large.state.now;
        large.limit.throttledUntil = 0;
        large.limit.rateCeiling = 0;
        long pause = inFleet.readyAt(large.limit) - large.state.now;
        // A recovering destination's part, 0.425, of one call in the 10 s of the outage, divided by a factor of 1 to 2.
        assertTrue(pause >= 10 * S / 0.425 - 1 && pause <= 20 * S / 0.425, "delay " + pause);
    }
}
