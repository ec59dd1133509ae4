package lilaclever;

import static lilaclever.PolicyState.LONG_AGO;
import static lilaclever.PolicyState.NEVER;
import static lilaclever.PolicyState.SECOND;

import lilaclever.DecisionModule.LimitReport;
import lilaclever.PolicyState.DestinationLimit;
import lilaclever.PolicyState.Endpoint;

/**
 * Rate limits of destinations: told waits, the pace after a refusal as full (ten calls a second at most, until five
 * quiet seconds have passed), and telling a limit that is reached from a destination that is shut.
 */
final class DestinationLimits {
    /** Calls a second at most to a limit that has refused as full (the design's). */
    private static final double MOST_THROTTLED_RATE = 10;
    /** A limit is no longer throttled after so long without a refusal, microseconds (the design's). */
    private static final long QUIET_SPAN = 5_000_000;
    /** Slowest rate of a throttled limit, calls a second: a quarter of the first by each refusal in a row ... */
    private static final double FIRST_LEAST_RATE = 0.5;
    /** ... to an even share of the limit, and to this in the end. */
    private static final double LEAST_RATE = 0.02;
    /** Most refusals in a row that divide the slowest rate by four. */
    private static final int MOST_QUARTERINGS = 6;
    /** The first slowest rate, in even shares: where the allowance is used up, and where no rate is told. */
    private static final double SHARES_IF_EXHAUSTED = 2, SHARES_IF_UNTOLD = 10;
    /** Part of the told rate that the fleet keeps to while nothing of the allowance is left: so it fills again. */
    private static final double PART_IF_EXHAUSTED = 0.7;
    /** The slowest rate is no less than this part of the usual one: a limit may shrink, but seldom to nothing. */
    private static final double LEAST_PART_OF_USUAL = 0.5;
    /** A refusal lowers the rate to this part of what was lately taken ... */
    private static final double PART_OF_RECENT = 0.8;
    /** ... or of a rate that was not used up. */
    private static final double PART_OF_RATE = 0.6;
    /** Rate gained by a call delivered while throttled, calls a second: finds lost room again in a few seconds. */
    private static final double RATE_GAIN = 0.2;
    /** Growth, in a second, of the rate that is kept to after a limit was throttled. */
    private static final double CEILING_GROWTH = 1.1;
    /** How long that rate is kept to, microseconds. */
    private static final long CEILING_SPAN = 15_000_000;
    /** Refusals within this time lower the rate once, microseconds: they are one piece of news. */
    private static final long REDUCTION_SPAN = 500_000;
    /** Limits are in calls a second, so room comes back within about that; a longer wait means shut, microseconds. */
    private static final long SHUT_WAIT = 2_500_000;
    /** So many refusals in a row, over so many microseconds, mean shut rather than over the limit. */
    private static final long SHUT_REFUSALS = 4, SHUT_SPAN = 2_000_000;
    /** How long an outage lasts at the least where this forwarder can't know it, microseconds. */
    private static final long LEAST_OUTAGE = 8_000_000;
    /** Refusals, counted as those of an outage, from which calls keep to an outage's pace. */
    private static final int REFUSALS_AS_OUTAGE = 2;

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
        if (report != null && report.perSecond() > 0) {
            limit.announcedRate = report.perSecond();
            limit.rateReported = true;
            limit.allowanceLeft = report.left();
        }
    }

    /** Keeps a told wait, microseconds from now; 0 or less is none. */
    void onRetryAfter(DestinationLimit limit, long waitMicros) {
        if (waitMicros > 0) {
            limit.retryAfterUntilMicros = Math.max(limit.retryAfterUntilMicros, state.nowMicros + waitMicros);
            limit.shortWaitAt = waitMicros < SHUT_WAIT ? state.nowMicros : limit.shortWaitAt;
        }
    }

    /** A call was delivered: the rate of a throttled limit grows, and refusals in a row end. */
    void onDelivered(DestinationLimit limit) {
        limit.throttledRate += RATE_GAIN;
        limit.suspectedOutageRefusals = 0;
        limit.exhausted = false;
        limit.recentRefusals /= 2;
    }

    /** A call was refused as full, with a wait told (microseconds, 0 for none) and maybe a report (else null). */
    void onRefused(DestinationLimit limit, Endpoint endpoint, long waitMicros, LimitReport report) {
        countAsOutage(limit, report);
        if (state.nowMicros >= limit.throttledUntilMicros) {
            limit.throttledRate = PART_OF_RECENT * limit.recentRate / PART_OF_RATE;
            limit.rateCeiling = Math.max(PART_OF_RECENT * limit.recentRate, MOST_THROTTLED_RATE);
        }
        outages.noteTrouble(limit);
        limit.recentRefusals++;
        if (isShut(limit, waitMicros)) {
            limit.endpoints.forEach(outages::beginOrContinueOutage);
            if (waitMicros >= SHUT_WAIT) {
                spreadReopening(limit);
            }
        } else if (slowStart.isActive(endpoint)) {
            slowStart.halveAge(endpoint);
        }
        if (state.nowMicros - limit.reducedAt >= REDUCTION_SPAN) {
            reduceRate(limit, endpoint);
        }
        limit.throttledUntilMicros = state.nowMicros + throttledFor(limit);
    }

    /**
     * A full queue, a limit used up by refused calls and a shut one look alike to a forwarder that comes by once: the
     * second refusal in a row, or the first with nothing left, sets the pace of an outage. Few forwarders see each
     * destination often enough to tell an outage by its length.
     */
    private void countAsOutage(DestinationLimit limit, LimitReport report) {
        limit.exhausted = report != null && report.perSecond() > 0 && report.left() <= 0;
        if (limit.exhausted) {
            limit.suspectedOutageRefusals += 2;
        } else if (state.largeFleet) {
            limit.suspectedOutageRefusals++;
        }
    }

    /** Refusals alone, none with a short wait, or a wait longer than any rate asks for: it is shut. */
    private boolean isShut(DestinationLimit limit, long waitMicros) {
        boolean forLong = limit.recentRefusals >= SHUT_REFUSALS && state.nowMicros - limit.failingSinceMicros >= SHUT_SPAN;
        return waitMicros >= SHUT_WAIT || forLong && limit.shortWaitAt < limit.failingSinceMicros;
    }

    /**
     * It told all forwarders when it opens, and they must not all come then. What one saw of it is short of what it
     * lasted. Holds for any fleet at a told time; a lone forwarder hardly waits.
     */
    private void spreadReopening(DestinationLimit limit) {
        limit.failingForMicros = Math.max(LEAST_OUTAGE, limit.retryAfterUntilMicros - limit.failingSinceMicros);
        double pause =
                SECOND / recoveryPace.recoveryRate(limit, state.settings.rules().overloadWindowMicros());
        limit.resumeAtMicros = limit.retryAfterUntilMicros + (long) (state.random.nextDouble() * pause);
    }

    private void reduceRate(DestinationLimit limit, Endpoint endpoint) {
        limit.reducedAt = state.nowMicros;
        rates.decay(limit, endpoint);
        double most = limit.announcedRate > 0 ? Math.min(limit.announcedRate, MOST_THROTTLED_RATE) : MOST_THROTTLED_RATE;
        double least = assuredRate(limit);
        // What was taken bounds it from below: with few messages to send it says little of the room.
        double reduced = Math.max(PART_OF_RATE * limit.throttledRate, PART_OF_RECENT * limit.recentRate);
        limit.throttledRate = Math.max(least, Math.min(most, reduced));
    }

    /**
     * Quiet seconds in which nothing could be sent say nothing: a limit is throttled for two calls at its rate. For one
     * forwarder of a large fleet, which sends seldom, that is far longer than a burst.
     */
    private long throttledFor(DestinationLimit limit) {
        if (state.largeFleet) {
            return (long) (QUIET_SPAN * state.jitterFactor());
        }
        double rate = Math.max(limit.throttledRate, assuredRate(limit));
        return (long) Math.max(QUIET_SPAN, 2 * SECOND / rate);
    }

    /** Calls a second that a throttled limit surely has for this forwarder: if all keep to it, they stay within it. */
    double assuredRate(DestinationLimit limit) {
        double share = rates.evenShare(limit);
        int quarterings = Math.min(Math.max(0, limit.recentRefusals - 1), MOST_QUARTERINGS);
        double least = Math.min(FIRST_LEAST_RATE, firstShares(limit) * share) / (1 << 2 * quarterings);
        least = Math.max(least, Math.max(LEAST_RATE, Math.min(share, FIRST_LEAST_RATE)));
        return Math.max(LEAST_PART_OF_USUAL * rates.usual(limit), least);
    }

    private static double firstShares(DestinationLimit limit) {
        if (limit.announcedRate <= 0) {
            return SHARES_IF_UNTOLD;
        }
        // Nothing at all left: refused calls use up the limit, and any more keep it at nothing.
        return limit.allowanceLeft > 0 ? NEVER : SHARES_IF_EXHAUSTED;
    }

    /** Calls a second that a limit gets after a refusal; {@link PolicyState#NEVER} on the ordinary path. */
    double allowedRate(DestinationLimit limit) {
        if (state.nowMicros < limit.throttledUntilMicros) {
            return Math.min(MOST_THROTTLED_RATE, limit.throttledRate);
        }
        // What waited must not come at once when it is no longer throttled: it would be refused again.
        long after = state.nowMicros - limit.throttledUntilMicros;
        return limit.rateCeiling == 0 || after > CEILING_SPAN
                ? NEVER
                : limit.rateCeiling * Math.pow(CEILING_GROWTH, after / SECOND);
    }

    /** When the limit takes a further call, microseconds: after its told wait, and at its pace after refusals. */
    long readyAtMicros(DestinationLimit limit) {
        long waitOver = Math.max(limit.retryAfterUntilMicros, limit.resumeAtMicros);
        return Math.max(waitOver, Math.max(readyAfterThrottling(limit), readyInOutage(limit)));
    }

    private long readyAfterThrottling(DestinationLimit limit) {
        double rate = allowedRate(limit);
        if (rate >= NEVER) {
            return LONG_AGO;
        }
        long free = state.nowMicros < limit.throttledUntilMicros ? limit.throttledUntilMicros : NEVER;
        return Math.min(free, limit.lastSentAtMicros + (long) (SECOND / rate));
    }

    private long readyInOutage(DestinationLimit limit) {
        double rate = NEVER;
        if (limit.suspectedOutageRefusals >= REFUSALS_AS_OUTAGE) {
            rate = recoveryPace.outageRate(limit) / limit.outageRateDivisor;
        }
        if (limit.exhausted) {
            rate = Math.min(rate, PART_IF_EXHAUSTED * rates.evenShare(limit));
        }
        return rate >= NEVER ? LONG_AGO : limit.lastSentAtMicros + (long) (SECOND / rate);
    }
}
