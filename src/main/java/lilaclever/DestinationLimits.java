package lilaclever;

import static lilaclever.PolicyState.LONG_AGO;
import static lilaclever.PolicyState.NEVER;
import static lilaclever.PolicyState.SECOND;

import lilaclever.DecisionModule.Report;
import lilaclever.PolicyState.DestinationLimit;
import lilaclever.PolicyState.Endpoint;

/**
 * Rate limits of destinations: retry-after periods, the throttled rate after a call was refused as full (at most ten
 * calls a second, until five seconds without a refusal have passed), and distinguishing an exceeded limit from an
 * unavailable destination.
 */
final class DestinationLimits {
    /** Highest rate to a throttled limit, calls a second. */
    private static final double MOST_THROTTLED_RATE = 10;
    /** A limit is no longer throttled after this time without a refusal. */
    private static final long QUIET_SPAN = 5_000_000;
    /** Lowest rate of a throttled limit, calls a second: at first this; divided by four by each further refusal ... */
    private static final double FIRST_LEAST_RATE = 0.5;
    /** ... down to an even share of the limit, but no less than this. */
    private static final double LEAST_RATE = 0.02;
    /** Most refusals that divide the lowest rate by four. */
    private static final int MOST_QUARTERINGS = 6;
    /** Initial lowest rate, in even shares: if the allowance is used up, and if no rate is announced. */
    private static final double SHARES_IF_EXHAUSTED = 2, SHARES_IF_UNTOLD = 10;
    /** Share of the announced rate that the fleet uses while nothing of the allowance is left, so that it refills. */
    private static final double PART_IF_EXHAUSTED = 0.7;
    /** Lower bound of the lowest rate, as a share of the usual rate: limits are seldom lowered to nearly nothing. */
    private static final double LEAST_PART_OF_USUAL = 0.5;
    /** A refusal lowers the throttled rate to this share of the recent rate ... */
    private static final double PART_OF_RECENT = 0.8;
    /** ... or to this share of the throttled rate, if that wasn't used up. */
    private static final double PART_OF_RATE = 0.6;
    /** Increase of the throttled rate by each delivered call, calls a second: recovers lost rate in a few seconds. */
    private static final double RATE_GAIN = 0.2;
    /** Growth per second of the rate ceiling that applies after a limit was throttled. */
    private static final double CEILING_GROWTH = 1.1;
    /** How long the rate ceiling applies. */
    private static final long CEILING_SPAN = 15_000_000;
    /** Refusals within this time lower the rate only once, as they have the same cause. */
    private static final long REDUCTION_SPAN = 500_000;
    /** A retry-after from this length means unavailable; limits are per second, so their capacity returns sooner. */
    private static final long SHUT_WAIT = 2_500_000;
    /** So many refusals, over at least this time, mean unavailable rather than over the limit. */
    private static final long SHUT_REFUSALS = 4, SHUT_SPAN = 2_000_000;
    /** Assumed least length of an outage whose length this forwarder can't know. */
    private static final long LEAST_OUTAGE = 8_000_000;
    /** Refusals counted as due to an outage from which calls are limited to the rate of an outage. */
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

    /** Records a destination's report of its limit; {@code report} may be null. */
    void onReport(DestinationLimit limit, Report report) {
        if (report != null && report.perSecond() > 0) {
            limit.toldRate = report.perSecond();
            limit.rateReported = true;
            limit.allowanceLeft = report.left();
        }
    }

    /** Records a retry-after period, in microseconds from now; 0 or less is none. */
    void onWait(DestinationLimit limit, long waitMicros) {
        if (waitMicros > 0) {
            limit.waitUntil = Math.max(limit.waitUntil, state.now + waitMicros);
            limit.shortWaitAt = waitMicros < SHUT_WAIT ? state.now : limit.shortWaitAt;
        }
    }

    /** A call was delivered: the throttled rate grows, and the counts of refusals are reset or halved. */
    void onDelivered(DestinationLimit limit) {
        limit.throttledRate += RATE_GAIN;
        limit.refusalsAsOutage = 0;
        limit.exhausted = false;
        limit.refusals /= 2;
    }

    /** A call was refused as full, with a retry-after period (0 for none) and a report of the limit (may be null). */
    void onRefused(DestinationLimit limit, Endpoint endpoint, long waitMicros, Report report) {
        countAsOutage(limit, report);
        if (state.now >= limit.throttledUntil) {
            limit.throttledRate = PART_OF_RECENT * limit.recentRate / PART_OF_RATE;
            limit.rateCeiling = Math.max(PART_OF_RECENT * limit.recentRate, MOST_THROTTLED_RATE);
        }
        outages.noteTrouble(limit);
        limit.refusals++;
        if (isShut(limit, waitMicros)) {
            limit.endpoints.forEach(outages::beginOutage);
            if (waitMicros >= SHUT_WAIT) {
                spreadReopening(limit);
            }
        } else if (slowStart.isActive(endpoint)) {
            slowStart.setBack(endpoint);
        }
        if (state.now - limit.reducedAt >= REDUCTION_SPAN) {
            reduceRate(limit, endpoint);
        }
        limit.throttledUntil = state.now + throttledFor(limit);
    }

    /**
     * A full queue, a limit used up by refused calls and an unavailable destination look alike to a forwarder that
     * calls only once: the second consecutive refusal, or the first with nothing left of the allowance, limits calls to
     * the rate of an outage. The forwarders of a small fleet see each destination often enough to detect an outage by
     * its length.
     */
    private void countAsOutage(DestinationLimit limit, Report report) {
        limit.exhausted = report != null && report.perSecond() > 0 && report.left() <= 0;
        if (limit.exhausted) {
            limit.refusalsAsOutage += 2;
        } else if (state.largeFleet) {
            limit.refusalsAsOutage++;
        }
    }

    /** Whether there were only refusals for some time, none with a short retry-after, or the retry-after is long. */
    private boolean isShut(DestinationLimit limit, long waitMicros) {
        boolean forLong = limit.refusals >= SHUT_REFUSALS && state.now - limit.failingSince >= SHUT_SPAN;
        return waitMicros >= SHUT_WAIT || forLong && limit.shortWaitAt < limit.failingSince;
    }

    /**
     * The destination told all forwarders when it will be available again, and they must not all call it at that time.
     * What one forwarder has seen of the outage is shorter than its length. Applies to fleets of any size; a single
     * forwarder hardly waits.
     */
    private void spreadReopening(DestinationLimit limit) {
        limit.failingFor = Math.max(LEAST_OUTAGE, limit.waitUntil - limit.failingSince);
        double pause =
                SECOND / recoveryPace.afterReturn(limit, state.settings.rules().overloadMicros());
        limit.reopensAt = limit.waitUntil + (long) (state.random.nextDouble() * pause);
    }

    private void reduceRate(DestinationLimit limit, Endpoint endpoint) {
        limit.reducedAt = state.now;
        rates.decay(limit, endpoint);
        double most = limit.toldRate > 0 ? Math.min(limit.toldRate, MOST_THROTTLED_RATE) : MOST_THROTTLED_RATE;
        double least = assuredRate(limit);
        // The recent rate is a lower bound: while few messages are sent, the throttled rate says little of the limit.
        double reduced = Math.max(PART_OF_RATE * limit.throttledRate, PART_OF_RECENT * limit.recentRate);
        limit.throttledRate = Math.max(least, Math.min(most, reduced));
    }

    /**
     * How long a limit is throttled from now: for at least two calls at its rate, as time without refusals means
     * nothing if nothing could be sent. Not so in a large fleet, where each forwarder sends seldom, and that would be
     * far longer than a burst.
     */
    private long throttledFor(DestinationLimit limit) {
        if (state.largeFleet) {
            return (long) (QUIET_SPAN * state.randomFactor());
        }
        double rate = Math.max(limit.throttledRate, assuredRate(limit));
        return (long) Math.max(QUIET_SPAN, 2 * SECOND / rate);
    }

    /** Calls a second that a throttled limit is sure to accept from each forwarder, even if all send at this rate. */
    double assuredRate(DestinationLimit limit) {
        double share = rates.evenShare(limit);
        int quarterings = Math.min(Math.max(0, limit.refusals - 1), MOST_QUARTERINGS);
        double least = Math.min(FIRST_LEAST_RATE, firstShares(limit) * share) / (1 << 2 * quarterings);
        least = Math.max(least, Math.max(LEAST_RATE, Math.min(share, FIRST_LEAST_RATE)));
        return Math.max(LEAST_PART_OF_USUAL * rates.usual(limit), least);
    }

    private static double firstShares(DestinationLimit limit) {
        if (limit.toldRate <= 0) {
            return SHARES_IF_UNTOLD;
        }
        // Nothing left means that refused calls use up the limit too, and more of them would keep it at nothing.
        return limit.allowanceLeft > 0 ? NEVER : SHARES_IF_EXHAUSTED;
    }

    /** Calls a second that a limit may get after a refusal; {@link PolicyState#NEVER} if it isn't restricted. */
    double allowedRate(DestinationLimit limit) {
        if (state.now < limit.throttledUntil) {
            return Math.min(MOST_THROTTLED_RATE, limit.throttledRate);
        }
        // Messages that waited must not all be sent when throttling ends: they would be refused again.
        long after = state.now - limit.throttledUntil;
        return limit.rateCeiling == 0 || after > CEILING_SPAN
                ? NEVER
                : limit.rateCeiling * Math.pow(CEILING_GROWTH, after / SECOND);
    }

    /** When the limit may get another call, microseconds: after the retry-after period, at the rate after refusals. */
    long readyAt(DestinationLimit limit) {
        long waitOver = Math.max(limit.waitUntil, limit.reopensAt);
        return Math.max(waitOver, Math.max(readyAfterThrottling(limit), readyInOutage(limit)));
    }

    private long readyAfterThrottling(DestinationLimit limit) {
        double rate = allowedRate(limit);
        if (rate >= NEVER) {
            return LONG_AGO;
        }
        long free = state.now < limit.throttledUntil ? limit.throttledUntil : NEVER;
        return Math.min(free, limit.lastSentAt + (long) (SECOND / rate));
    }

    private long readyInOutage(DestinationLimit limit) {
        double rate = NEVER;
        if (limit.refusalsAsOutage >= REFUSALS_AS_OUTAGE) {
            rate = recoveryPace.inOutage(limit) / limit.paceSpread;
        }
        if (limit.exhausted) {
            rate = Math.min(rate, PART_IF_EXHAUSTED * rates.evenShare(limit));
        }
        return rate >= NEVER ? LONG_AGO : limit.lastSentAt + (long) (SECOND / rate);
    }
}
