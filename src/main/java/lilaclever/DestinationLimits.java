package lilaclever;

import static lilaclever.PolicyState.LONG_AGO;
import static lilaclever.PolicyState.NEVER;
import static lilaclever.PolicyState.MICROS_PER_SECOND;

import lilaclever.DecisionModule.LimitReport;
import lilaclever.PolicyState.DestinationLimit;
import lilaclever.PolicyState.Endpoint;

/**
 * Rate limits of destinations: told waits, the pace after a refusal as full (ten calls a second at most, until five
 * quiet seconds have passed), and telling a limit that is reached from a destination that is shut.
 */
final class DestinationLimits {
    /** Calls a second at most to a limit that has refused as full (the design's). */
    private static final double MAX_THROTTLED_RATE = 10;
    /** A limit is no longer throttled after so long without a refusal, microseconds (the design's). */
    private static final long THROTTLING_MICROS = 5_000_000;
    /** Slowest rate of a throttled limit, calls a second: a quarter of the first by each refusal in a row ... */
    private static final double FIRST_MIN_RATE = 0.5;
    /** ... to an even share of the limit, and to this in the end. */
    private static final double FINAL_MIN_RATE = 0.02;
    /** Most refusals in a row that divide the slowest rate by four. */
    private static final int MAX_QUARTERINGS = 6;
    /** The first slowest rate, in even shares: where the allowance is used up, and where no rate is told. */
    private static final double EXHAUSTED_SHARES = 2, UNANNOUNCED_SHARES = 10;
    /** Part of the told rate that the fleet keeps to while nothing of the allowance is left: so it fills again. */
    private static final double EXHAUSTED_RATE_FACTOR = 0.7;
    /** The slowest rate is no less than this part of the usual one: a limit may shrink, but seldom to nothing. */
    private static final double MIN_SHARE_OF_USUAL_RATE = 0.5;
    /** A refusal lowers the rate to this part of what was lately taken ... */
    private static final double REDUCED_SHARE_OF_RECENT_RATE = 0.8;
    /** ... or of a rate that was not used up. */
    private static final double REDUCED_SHARE_OF_THROTTLED_RATE = 0.6;
    /** Rate gained by a call delivered while throttled, calls a second: finds lost room again in a few seconds. */
    private static final double RATE_GAIN_PER_DELIVERY = 0.2;
    /** Growth, in a second, of the rate that is kept to after a limit was throttled. */
    private static final double CEILING_GROWTH_PER_SECOND = 1.1;
    /** How long that rate is kept to, microseconds. */
    private static final long CEILING_MICROS = 15_000_000;
    /** Refusals within this time lower the rate once, microseconds: they are one piece of news. */
    private static final long MIN_REDUCTION_INTERVAL_MICROS = 500_000;
    /** Limits are in calls a second, so room comes back within about that; a longer wait means shut, microseconds. */
    private static final long LONG_RETRY_AFTER_MICROS = 2_500_000;
    /** So many refusals in a row, over so many microseconds, mean shut rather than over the limit. */
    private static final long UNAVAILABLE_REFUSALS = 4, UNAVAILABLE_MICROS = 2_000_000;
    /** How long an outage lasts at the least where this forwarder can't know it, microseconds. */
    private static final long MIN_OUTAGE_MICROS = 8_000_000;
    /** Refusals, counted as those of an outage, from which calls keep to an outage's pace. */
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

    /** Takes over what a destination reports of its limit, if it does; {@code report} may be null. */
    void onReport(DestinationLimit limit, LimitReport report) {
        if (report != null && report.callsPerSecond() > 0) {
            limit.announcedRate = report.callsPerSecond();
            limit.rateReported = true;
            limit.allowanceLeft = report.allowanceLeft();
        }
    }

    /** Keeps a told wait, microseconds from now; 0 or less is none. */
    void onRetryAfter(DestinationLimit limit, long retryAfterMicros) {
        if (retryAfterMicros > 0) {
            limit.retryAfterUntilMicros = Math.max(limit.retryAfterUntilMicros, state.nowMicros + retryAfterMicros);
            limit.shortRetryAfterAtMicros = retryAfterMicros < LONG_RETRY_AFTER_MICROS ? state.nowMicros : limit.shortRetryAfterAtMicros;
        }
    }

    /** A call was delivered: the rate of a throttled limit grows, and refusals in a row end. */
    void onDelivered(DestinationLimit limit) {
        limit.throttledRate += RATE_GAIN_PER_DELIVERY;
        limit.suspectedOutageRefusals = 0;
        limit.exhausted = false;
        limit.recentRefusals /= 2;
    }

    /** A call was refused as full, with a wait told (microseconds, 0 for none) and maybe a report (else null). */
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
     * A full queue, a limit used up by refused calls and a shut one look alike to a forwarder that comes by once: the
     * second refusal in a row, or the first with nothing left, sets the pace of an outage. Few forwarders see each
     * destination often enough to tell an outage by its length.
     */
    private void countSuspectedOutage(DestinationLimit limit, LimitReport report) {
        limit.exhausted = report != null && report.callsPerSecond() > 0 && report.allowanceLeft() <= 0;
        if (limit.exhausted) {
            limit.suspectedOutageRefusals += 2;
        } else if (state.largeFleet) {
            limit.suspectedOutageRefusals++;
        }
    }

    /** Refusals alone, none with a short wait, or a wait longer than any rate asks for: it is shut. */
    private boolean isUnavailable(DestinationLimit limit, long retryAfterMicros) {
        boolean forLong = limit.recentRefusals >= UNAVAILABLE_REFUSALS && state.nowMicros - limit.failingSinceMicros >= UNAVAILABLE_MICROS;
        return retryAfterMicros >= LONG_RETRY_AFTER_MICROS || forLong && limit.shortRetryAfterAtMicros < limit.failingSinceMicros;
    }

    /**
     * It told all forwarders when it opens, and they must not all come then. What one saw of it is short of what it
     * lasted. Holds for any fleet at a told time; a lone forwarder hardly waits.
     */
    private void spreadResumption(DestinationLimit limit) {
        limit.failingForMicros = Math.max(MIN_OUTAGE_MICROS, limit.retryAfterUntilMicros - limit.failingSinceMicros);
        double intervalMicros =
                MICROS_PER_SECOND / recoveryPace.recoveryRate(limit, state.settings.rules().overloadWindowMicros());
        limit.resumeAtMicros = limit.retryAfterUntilMicros + (long) (state.random.nextDouble() * intervalMicros);
    }

    private void reduceRate(DestinationLimit limit, Endpoint endpoint) {
        limit.rateReducedAtMicros = state.nowMicros;
        rates.decay(limit, endpoint);
        double maxRate = limit.announcedRate > 0 ? Math.min(limit.announcedRate, MAX_THROTTLED_RATE) : MAX_THROTTLED_RATE;
        double minRate = assuredRate(limit);
        // What was taken bounds it from below: with few messages to send it says little of the room.
        double reducedRate = Math.max(REDUCED_SHARE_OF_THROTTLED_RATE * limit.throttledRate, REDUCED_SHARE_OF_RECENT_RATE * limit.recentRate);
        limit.throttledRate = Math.max(minRate, Math.min(maxRate, reducedRate));
    }

    /**
     * Quiet seconds in which nothing could be sent say nothing: a limit is throttled for two calls at its rate. For one
     * forwarder of a large fleet, which sends seldom, that is far longer than a burst.
     */
    private long throttlingMicros(DestinationLimit limit) {
        if (state.largeFleet) {
            return (long) (THROTTLING_MICROS * state.jitterFactor());
        }
        double rate = Math.max(limit.throttledRate, assuredRate(limit));
        return (long) Math.max(THROTTLING_MICROS, 2 * MICROS_PER_SECOND / rate);
    }

    /** Calls a second that a throttled limit surely has for this forwarder: if all keep to it, they stay within it. */
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
        // Nothing at all left: refused calls use up the limit, and any more keep it at nothing.
        return limit.allowanceLeft > 0 ? NEVER : EXHAUSTED_SHARES;
    }

    /** Calls a second that a limit gets after a refusal; {@link PolicyState#NEVER} on the ordinary path. */
    double allowedRate(DestinationLimit limit) {
        if (state.nowMicros < limit.throttledUntilMicros) {
            return Math.min(MAX_THROTTLED_RATE, limit.throttledRate);
        }
        // What waited must not come at once when it is no longer throttled: it would be refused again.
        long sinceMicros = state.nowMicros - limit.throttledUntilMicros;
        return limit.rateCeiling == 0 || sinceMicros > CEILING_MICROS
                ? NEVER
                : limit.rateCeiling * Math.pow(CEILING_GROWTH_PER_SECOND, sinceMicros / MICROS_PER_SECOND);
    }

    /** When the limit takes a further call, microseconds: after its told wait, and at its pace after refusals. */
    long readyAtMicros(DestinationLimit limit) {
        long retryAfterOverMicros = Math.max(limit.retryAfterUntilMicros, limit.resumeAtMicros);
        return Math.max(retryAfterOverMicros, Math.max(readyAfterThrottlingMicros(limit), readyInOutageMicros(limit)));
    }

    private long readyAfterThrottlingMicros(DestinationLimit limit) {
        double rate = allowedRate(limit);
        if (rate >= NEVER) {
            return LONG_AGO;
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
        return rate >= NEVER ? LONG_AGO : limit.lastSentAtMicros + (long) (MICROS_PER_SECOND / rate);
    }
}
