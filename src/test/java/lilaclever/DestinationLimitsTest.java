package lilaclever;

import static lilaclever.DecisionModuleHarness.MILLISECOND_MICROS;
import static lilaclever.DecisionModuleHarness.SECOND_MICROS;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import lilaclever.DecisionModule.LimitReport;
import lilaclever.PolicyState.DestinationLimit;
import lilaclever.PolicyState.Endpoint;
import org.junit.jupiter.api.Test;

class DestinationLimitsTest {
    private final PolicyFixture fixture = new PolicyFixture();
    private final SlowStart slowStart = new SlowStart(fixture.state);
    private final RateEstimates rates = new RateEstimates(fixture.state, slowStart);
    private final DestinationLimits limits = limits(fixture, slowStart, rates);
    private final DestinationLimit limit = fixture.limit;
    private final Endpoint endpoint = fixture.addEndpoint();

    private static DestinationLimits limits(PolicyFixture fixture, SlowStart slowStart, RateEstimates rates) {
        PolicyState state = fixture.state;
        TransientFailures failures = new TransientFailures(state);
        CallTimeouts timeouts = new CallTimeouts(state, failures);
        OutageDetection outages = new OutageDetection(state, slowStart, failures, timeouts, new ConnectionReuse(state));
        RecoveryPace recoveryPace = new RecoveryPace(state, slowStart, rates, failures);
        return new DestinationLimits(state, rates, slowStart, outages, recoveryPace);
    }

    private void refuse(long retryAfterMicros) {
        limits.onRetryAfter(limit, retryAfterMicros);
        limits.onRefused(limit, endpoint, retryAfterMicros, null);
    }

    /** Delivers calls at this rate for 30 s, so that it is both the recent and the usual rate. */
    private void deliverAtRate(double perSecond) {
        for (int i = 0; i < 30 * perSecond; i++) {
            fixture.advanceClock((long) (SECOND_MICROS / perSecond));
            rates.onDelivered(limit, endpoint);
            limits.onDelivered(limit);
        }
    }

    @Test
    void withoutRefusalsTheRateIsUnlimited() {
        assertEquals(PolicyState.NEVER, limits.allowedRate(limit));
        assertTrue(limits.readyAtMicros(limit) <= fixture.state.nowMicros);
    }

    @Test
    void aRetryAfterIsHonouredAndNeverShortened() {
        limits.onRetryAfter(limit, 2 * SECOND_MICROS);
        limits.onRetryAfter(limit, SECOND_MICROS);
        limits.onRetryAfter(limit, 0);
        assertEquals(fixture.state.nowMicros + 2 * SECOND_MICROS, limits.readyAtMicros(limit));
    }

    @Test
    void aRefusalAllowsTenCallsASecondAtMostForFiveSeconds() {
        deliverAtRate(50);
        refuse(0);
        assertEquals(10, limits.allowedRate(limit));
        limit.lastSentAtMicros = fixture.state.nowMicros;
        assertEquals(fixture.state.nowMicros + 100 * MILLISECOND_MICROS, limits.readyAtMicros(limit));
        fixture.advanceClock(5 * SECOND_MICROS - 1);
        assertEquals(10, limits.allowedRate(limit));
        fixture.advanceClock(1);
        assertTrue(limits.allowedRate(limit) > 30, "the rate before the refusal is its ceiling now");
        fixture.advanceClock(16 * SECOND_MICROS);
        assertEquals(PolicyState.NEVER, limits.allowedRate(limit), "the ceiling ends as well");
    }

    @Test
    void refusalsCloseTogetherLowerTheRateOnceAndDeliveriesRaiseIt() {
        deliverAtRate(5);
        refuse(0);
        double rateAfterOne = limits.allowedRate(limit);
        assertEquals(4, rateAfterOne, 0.4, "four fifths of the rate before");
        fixture.advanceClock(400 * MILLISECOND_MICROS);
        refuse(0);
        assertEquals(rateAfterOne, limits.allowedRate(limit));
        fixture.advanceClock(500 * MILLISECOND_MICROS);
        refuse(0);
        double rateAfterTwo = limits.allowedRate(limit);
        assertTrue(
                rateAfterTwo < rateAfterOne && rateAfterTwo > 0.5 * rateAfterOne,
                rateAfterTwo + " after " + rateAfterOne);
        limits.onDelivered(limit);
        assertEquals(rateAfterTwo + 0.2, limits.allowedRate(limit), 1e-9);
    }

    @Test
    void refusalsQuarterTheAssuredRateDownToAnEvenShare() {
        limit.announcedRate = 0.1;
        limit.allowanceLeft = 0.5;
        assertEquals(0.5, limits.assuredRate(limit));
        limit.recentRefusals = 2;
        assertEquals(0.125, limits.assuredRate(limit));
        limit.recentRefusals = 3;
        assertEquals(0.05, limits.assuredRate(limit), "an even share of 0.1");
        limit.recentRefusals = 0;
        limit.allowanceLeft = 0;
        assertEquals(0.1, limits.assuredRate(limit), "two even shares where the allowance is used up");
    }

    @Test
    void inTheLargestFleetsTheAssuredRateIsOneCallInFiftySeconds() {
        PolicyFixture fixtureOfLargeFleet = new PolicyFixture(1_000);
        SlowStart slowStartInFleet = new SlowStart(fixtureOfLargeFleet.state);
        DestinationLimits limitsInFleet = limits(
                fixtureOfLargeFleet, slowStartInFleet, new RateEstimates(fixtureOfLargeFleet.state, slowStartInFleet));
        assertEquals(
                0.02, limitsInFleet.assuredRate(fixtureOfLargeFleet.limit), "ten shares of 1.5 a second are 0.015");
        fixtureOfLargeFleet.limit.recentRefusals = 9;
        assertEquals(0.02, limitsInFleet.assuredRate(fixtureOfLargeFleet.limit));
    }

    @Test
    void aLongRetryAfterIsAnOutageWhoseEndIsSpreadByChance() {
        refuse(4 * SECOND_MICROS);
        assertTrue(endpoint.inOutage);
        assertTrue(limit.resumeAtMicros >= limit.retryAfterUntilMicros
                && limit.resumeAtMicros < limit.retryAfterUntilMicros + 20 * SECOND_MICROS);
        assertEquals(8 * SECOND_MICROS, limit.failingForMicros, "the shortest assumed length of an outage");
    }

    @Test
    void persistentRefusalsWithoutAShortRetryAfterAreAnOutage() {
        for (int i = 0; i < 3; i++) {
            refuse(0);
            fixture.advanceClock(SECOND_MICROS);
        }
        assertFalse(endpoint.inOutage);
        refuse(0);
        assertTrue(endpoint.inOutage);
    }

    @Test
    void refusalsWithAShortRetryAfterAreNoOutage() {
        for (int i = 0; i < 6; i++) {
            refuse(200 * MILLISECOND_MICROS);
            fixture.advanceClock(SECOND_MICROS);
        }
        assertFalse(endpoint.inOutage);
    }

    @Test
    void aRefusalInSlowStartHalvesItsAge() {
        slowStart.begin(endpoint);
        fixture.advanceClock(4 * SECOND_MICROS);
        refuse(0);
        assertEquals(2 * SECOND_MICROS, slowStart.ageMicros(endpoint));
    }

    @Test
    void aUsedUpAllowanceLimitsTheFleetToPartOfTheReportedRate() {
        LimitReport exhausted = new LimitReport(0, 2);
        limits.onReport(limit, exhausted);
        limits.onRefused(limit, endpoint, 0, exhausted);
        limit.lastSentAtMicros = fixture.state.nowMicros;
        assertEquals(2, limit.suspectedOutageRefusals);
        assertEquals(
                fixture.state.nowMicros + 2 * SECOND_MICROS,
                limits.readyAtMicros(limit),
                "throttled to half a call a second");
        limit.throttledUntilMicros = 0;
        limit.rateCeiling = 0;
        // An even share is 1 call a second; the rate in an outage is 0.425 of two calls a second.
        assertEquals(fixture.state.nowMicros + (long) (SECOND_MICROS / 0.7), limits.readyAtMicros(limit), 1);
        limits.onDelivered(limit);
        assertFalse(limit.exhausted);
    }

    @Test
    void inALargeFleetTheSecondRefusalLimitsCallsToTheRateOfAnOutage() {
        PolicyFixture fixtureOfLargeFleet = new PolicyFixture(PolicyFixture.LARGE_FLEET_SIZE);
        SlowStart slowStartInFleet = new SlowStart(fixtureOfLargeFleet.state);
        DestinationLimits limitsInFleet = limits(
                fixtureOfLargeFleet, slowStartInFleet, new RateEstimates(fixtureOfLargeFleet.state, slowStartInFleet));
        Endpoint endpointInFleet = fixtureOfLargeFleet.addEndpoint();
        limitsInFleet.onRefused(fixtureOfLargeFleet.limit, endpointInFleet, 0, null);
        long throttledForMicros = fixtureOfLargeFleet.limit.throttledUntilMicros - fixtureOfLargeFleet.state.nowMicros;
        assertTrue(
                throttledForMicros >= 2_500 * MILLISECOND_MICROS && throttledForMicros <= 7_500 * MILLISECOND_MICROS,
                "throttled for " + throttledForMicros);
        fixtureOfLargeFleet.advanceClock(10 * SECOND_MICROS);
        limitsInFleet.onRefused(fixtureOfLargeFleet.limit, endpointInFleet, 0, null);
        fixtureOfLargeFleet.limit.lastSentAtMicros = fixtureOfLargeFleet.state.nowMicros;
        fixtureOfLargeFleet.limit.throttledUntilMicros = 0;
        fixtureOfLargeFleet.limit.rateCeiling = 0;
        long delayMicros = limitsInFleet.readyAtMicros(fixtureOfLargeFleet.limit) - fixtureOfLargeFleet.state.nowMicros;
        // A recovering destination's part, 0.425, of one call in the 10 s of the outage, divided by a factor of 1 to 2.
        assertTrue(
                delayMicros >= 10 * SECOND_MICROS / 0.425 - 1 && delayMicros <= 20 * SECOND_MICROS / 0.425,
                "delay " + delayMicros);
    }
}
