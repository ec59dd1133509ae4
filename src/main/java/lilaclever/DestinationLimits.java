package lilaclever;

import static lilaclever.PolicyState.LONG_AGO_MICROS;
import static lilaclever.PolicyState.MICROS_PER_SECOND;
import static lilaclever.PolicyState.NEVER;

import lilaclever.DecisionModule.LimitReport;
import lilaclever.PolicyState.DestinationLimit;
import lilaclever.PolicyState.Endpoint;

/**
 * Rate limits of destinations: retry-after periods, the throttled rate after a call was refused as full (at most ten
 * calls a second, until five seconds without a refusal have passed), and distinguishing an exceeded limit from an
 * unavailable destination.
 */
final class DestinationLimits {
    /** Highest rate to a throttled limit, calls a second. */
    private static final double MAX_THROTTLED_RATE = 10;
    /** A limit is no longer throttled after this time without a refusal. */
    private static final long THROTTLING_MICROS = 5_000_000;
    /** Lowest rate of a throttled limit, calls a second: at first this; divided by four by each further refusal ... */
    private static final double FIRST_MIN_RATE = 0.5;
    /** ... down to an even share of the limit, but no less than this. */
    private static final double FINAL_MIN_RATE = 0.02;
    /** Most refusals that divide the lowest rate by four. */
    private static final int MAX_QUARTERINGS = 6;
    /** Initial lowest rate, in even shares: if the allowance is used up, and if no rate is announced. */
    private static final double EXHAUSTED_SHARES = 2, UNANNOUNCED_SHARES = 10;
    /** Share of the announced rate that the fleet uses while nothing of the allowance is left, so that it refills. */
    private static final double EXHAUSTED_RATE_FACTOR = 0.7;
    /** Lower bound of the lowest rate, as a share of the usual rate: limits are seldom lowered to nearly nothing. */
    private static final double MIN_SHARE_OF_USUAL_RATE = 0.5;
    /** A refusal lowers the throttled rate to this share of the recent rate ... */
    private static final double REDUCED_SHARE_OF_RECENT_RATE = 0.8;
    /** ... or to this share of the throttled rate, if that is more because the rate wasn't used up. */
    private static final double REDUCED_SHARE_OF_THROTTLED_RATE = 0.6;
    /** Increase of the throttled rate by each delivered call, calls a second: recovers lost rate in a few seconds. */
    private static final double RATE_GAIN_PER_DELIVERY = 0.2;
    /** Growth per second of the rate ceiling that applies after a limit was throttled. */
    private static final double CEILING_GROWTH_PER_SECOND = 1.1;
    /** How long the rate ceiling applies. */
    private static final long CEILING_MICROS = 15_000_000;
    /** Refusals within this time lower the rate only once, as they have the same cause. */
    private static final long MIN_REDUCTION_INTERVAL_MICROS = 500_000;
    /** A retry-after from this length means unavailable; limits are per second, so their capacity returns sooner. */
    private static final long LONG_RETRY_AFTER_MICROS = 2_500_000;
    /** So many refusals, over at least this time without a delivery, mean unavailable rather than over the limit. */
    private static final long UNAVAILABLE_REFUSALS = 4, UNAVAILABLE_MICROS = 2_000_000;
    /** Assumed least length of an outage whose length this forwarder can't know. */
    private static final long MIN_OUTAGE_MICROS = 8_000_000;
    /** From this many refusals that may be due to an outage, calls are limited to the rate of an outage. */
    private static final int SUSPECTED_OUTAGE_REFUSALS = 2;

    private final PolicyState state;
    private final RateEstimates rates;
    private final SlowStart slowStart;
    private final OutageDetection outages;
    private final RecoveryPace recoveryPace;

    DestinationLimits(
            PolicyState state,
            RateEstimates rates,
            SlowStart slowStart,
            OutageDetection outages,
            RecoveryPace recoveryPace) {
        this.state = state;
        this.rates = rates;
        this.slowStart = slowStart;
        this.outages = outages;
        this.recoveryPace = recoveryPace;
    }

    /** Records a destination's report of its limit; {@code report} may be null. */
    void onReport(DestinationLimit limit, LimitReport report) {
        if (report != null && report.callsPerSecond() > 0) {
            limit.announcedRate = report.callsPerSecond();
            limit.rateReported = true;
            limit.allowanceLeft = report.allowanceLeft();
        }
    }

    /** Records a retry-after period, in microseconds from now; 0 or less is none. */
    void onRetryAfter(DestinationLimit limit, long retryAfterMicros) {
        if (retryAfterMicros > 0) {
            limit.retryAfterUntilMicros = Math.max(limit.retryAfterUntilMicros, state.nowMicros + retryAfterMicros);
            limit.shortRetryAfterAtMicros =
                    retryAfterMicros < LONG_RETRY_AFTER_MICROS ? state.nowMicros : limit.shortRetryAfterAtMicros;
        }
    }

    /** A call was delivered: the throttled rate grows, and the counts of refusals are reset or halved. */
    void onDelivered(DestinationLimit limit) {
        limit.throttledRate += RATE_GAIN_PER_DELIVERY;
        limit.suspectedOutageRefusals = 0;
        limit.exhausted = false;
        limit.recentRefusals /= 2;
    }

    /** A call was refused as full, with a retry-after period (0 for none) and a report of the limit (may be null). */
    void onRefused(DestinationLimit limit, Endpoint endpoint, long retryAfterMicros, LimitReport report) {
        countSuspectedOutage(limit, report);
        if (state.nowMicros >= limit.throttledUntilMicros) {
            limit.throttledRate = REDUCED_SHARE_OF_RECENT_RATE * limit.recentRate / REDUCED_SHARE_OF_THROTTLED_RATE;
            limit.rateCeiling = Math.max(REDUCED_SHARE_OF_RECENT_RATE * limit.recentRate, MAX_THROTTLED_RATE);
        }
        outages.noteRefusalOrFailure(limit);
        limit.recentRefusals++;
        if (isUnavailable(limit, retryAfterMicros)) {
            limit.endpoints.forEach(outages::beginOrContinueOutage);
            if (retryAfterMicros >= LONG_RETRY_AFTER_MICROS) {
                spreadResumption(limit);
            }
        } else if (slowStart.isActive(endpoint)) {
            slowStart.halveAge(endpoint);
        }
        if (state.nowMicros - limit.rateReducedAtMicros >= MIN_REDUCTION_INTERVAL_MICROS) {
            reduceRate(limit, endpoint);
        }
        limit.throttledUntilMicros = state.nowMicros + throttlingMicros(limit);
    }

    /**
     * A full queue, a limit used up by refused calls and an unavailable destination look alike to a forwarder that
     * calls only once: the second consecutive refusal, or the first with nothing left of the allowance, limits calls to
     * the rate of an outage. The forwarders of a small fleet see each destination often enough to detect an outage by
     * its length.
     */
    private void countSuspectedOutage(DestinationLimit limit, LimitReport report) {
        limit.exhausted = report != null && report.callsPerSecond() > 0 && report.allowanceLeft() <= 0;
        if (limit.exhausted) {
            limit.suspectedOutageRefusals += 2;
        } else if (state.largeFleet) {
            limit.suspectedOutageRefusals++;
        }
    }

    /**
     * Whether it is unavailable rather than over its limit: there were only refusals for some time, none with a short
     * retry-after, or the retry-after is longer than any rate limit needs.
     */
    private boolean isUnavailable(DestinationLimit limit, long retryAfterMicros) {
        boolean refusesForLong = limit.recentRefusals >= UNAVAILABLE_REFUSALS
                && state.nowMicros - limit.failingSinceMicros >= UNAVAILABLE_MICROS;
        return retryAfterMicros >= LONG_RETRY_AFTER_MICROS
                || refusesForLong && limit.shortRetryAfterAtMicros < limit.failingSinceMicros;
    }

    /**
     * The destination has announced to all forwarders when it will be available again, and they must not all call it at
     * that time. What one forwarder has seen of the outage is shorter than its length. Applies to fleets of any size; a
     * single forwarder hardly waits.
     */
    private void spreadResumption(DestinationLimit limit) {
        limit.failingForMicros = Math.max(MIN_OUTAGE_MICROS, limit.retryAfterUntilMicros - limit.failingSinceMicros);
        double intervalMicros = MICROS_PER_SECOND
                / recoveryPace.recoveryRate(limit, state.settings.rules().overloadWindowMicros());
        limit.resumeAtMicros = limit.retryAfterUntilMicros + (long) (state.random.nextDouble() * intervalMicros);
    }

    private void reduceRate(DestinationLimit limit, Endpoint endpoint) {
        limit.rateReducedAtMicros = state.nowMicros;
        rates.decay(limit, endpoint);
        double maxRate =
                limit.announcedRate > 0 ? Math.min(limit.announcedRate, MAX_THROTTLED_RATE) : MAX_THROTTLED_RATE;
        double minRate = assuredRate(limit);
        // The recent rate is a lower bound: while few messages are sent, the throttled rate says little of the limit.
        double reducedRate = Math.max(
                REDUCED_SHARE_OF_THROTTLED_RATE * limit.throttledRate, REDUCED_SHARE_OF_RECENT_RATE * limit.recentRate);
        limit.throttledRate = Math.max(minRate, Math.min(maxRate, reducedRate));
    }

    /**
     * How long a limit is throttled from now: for at least two calls at its rate, as time without refusals means
     * nothing if nothing could be sent. Not so in a large fleet, where each forwarder sends seldom, and that would be
     * far longer than a burst.
     */
    private long throttlingMicros(DestinationLimit limit) {
        if (state.largeFleet) {
            return (long) (THROTTLING_MICROS * state.jitterFactor());
        }
        double rate = Math.max(limit.throttledRate, assuredRate(limit));
        return (long) Math.max(THROTTLING_MICROS, 2 * MICROS_PER_SECOND / rate);
    }

    /** Calls a second that a throttled limit is sure to accept from each forwarder, even if all send at this rate. */
    double assuredRate(DestinationLimit limit) {
        double share = rates.evenShare(limit);
        int quarterings = Math.min(Math.max(0, limit.recentRefusals - 1), MAX_QUARTERINGS);
        double minRate = Math.min(FIRST_MIN_RATE, firstEvenShares(limit) * share) / (1 << 2 * quarterings);
        minRate = Math.max(minRate, Math.max(FINAL_MIN_RATE, Math.min(share, FIRST_MIN_RATE)));
        return Math.max(MIN_SHARE_OF_USUAL_RATE * rates.usual(limit), minRate);
    }

    private static double firstEvenShares(DestinationLimit limit) {
        if (limit.announcedRate <= 0) {
            return UNANNOUNCED_SHARES;
        }
        // Nothing left means that refused calls use up the limit too, and more of them would keep it at nothing.
        return limit.allowanceLeft > 0 ? NEVER : EXHAUSTED_SHARES;
    }

    /** Calls a second that a limit may get after a refusal; {@link PolicyState#NEVER} if it isn't restricted. */
    double allowedRate(DestinationLimit limit) {
        if (state.nowMicros < limit.throttledUntilMicros) {
            return Math.min(MAX_THROTTLED_RATE, limit.throttledRate);
        }
        // Messages that waited must not all be sent when throttling ends: they would be refused again.
        long sinceMicros = state.nowMicros - limit.throttledUntilMicros;
        return limit.rateCeiling == 0 || sinceMicros > CEILING_MICROS
                ? NEVER
                : limit.rateCeiling * Math.pow(CEILING_GROWTH_PER_SECOND, sinceMicros / MICROS_PER_SECOND);
    }

    /** When the limit may get another call, microseconds: after the retry-after period, at the rate after refusals. */
    long readyAtMicros(DestinationLimit limit) {
        long retryAfterOverMicros = Math.max(limit.retryAfterUntilMicros, limit.resumeAtMicros);
        return Math.max(retryAfterOverMicros, Math.max(readyAfterThrottlingMicros(limit), readyInOutageMicros(limit)));
    }

    private long readyAfterThrottlingMicros(DestinationLimit limit) {
        double rate = allowedRate(limit);
        if (rate >= NEVER) {
            return LONG_AGO_MICROS;
        }
        long unthrottledMicros = state.nowMicros < limit.throttledUntilMicros ? limit.throttledUntilMicros : NEVER;
        return Math.min(unthrottledMicros, limit.lastSentAtMicros + (long) (MICROS_PER_SECOND / rate));
    }

    private long readyInOutageMicros(DestinationLimit limit) {
        double rate = NEVER;
        if (limit.suspectedOutageRefusals >= SUSPECTED_OUTAGE_REFUSALS) {
            rate = recoveryPace.outageRate(limit) / limit.outageRateDivisor;
        }
        if (limit.exhausted) {
            rate = Math.min(rate, EXHAUSTED_RATE_FACTOR * rates.evenShare(limit));
        }
        return rate >= NEVER ? LONG_AGO_MICROS : limit.lastSentAtMicros + (long) (MICROS_PER_SECOND / rate);
    }
}
