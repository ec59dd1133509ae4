package lilaclever;

import static lilaclever.PolicyState.MICROS_PER_SECOND;
import static lilaclever.PolicyState.NEVER;

import lilaclever.DecisionModule.Rules;
import lilaclever.PolicyState.DestinationLimit;
import lilaclever.PolicyState.Endpoint;

/**
 * Rate of trial calls in an outage and of calls in slow start, such that the whole fleet stays within the rate that the
 * rules in the settings allow for a recovering destination.
 */
final class RecoveryPace {
    /** Share of the allowed rate that is used; the rest is for random variation and for other forwarders' calls. */
    private static final double BUDGET_SHARE = 0.85;
    /** Assumed length of an outage whose length this forwarder can't know; all but few are shorter. */
    private static final long LONG_OUTAGE_MICROS = 20_000_000;

    private final PolicyState state;
    private final SlowStart slowStart;
    private final RateEstimates rates;
    private final TransientFailures transientFailures;

    RecoveryPace(PolicyState state, SlowStart slowStart, RateEstimates rates, TransientFailures transientFailures) {
        this.state = state;
        this.slowStart = slowStart;
        this.rates = rates;
        this.transientFailures = transientFailures;
    }

    /** Calls a second that an endpoint may get in an outage or in slow start; {@link PolicyState#NEVER} otherwise. */
    double callsPerSecond(Endpoint endpoint) {
        DestinationLimit limit = endpoint.limit;
        long activeCount =
                Math.max(1, limit.endpoints.stream().filter(each -> each.active).count());
        if (endpoint.inOutage || endpoint.connectsFailing) {
            double rate = budget(limit, 0, isCertainlyInOutage(endpoint)) / activeCount;
            return Math.min(MICROS_PER_SECOND / endpoint.trialIntervalMicros, rate) / limit.outageRateDivisor;
        }
        return slowStart.isActive(endpoint) ? budget(limit, slowStart.ageMicros(endpoint), false) / activeCount : NEVER;
    }

    private boolean isCertainlyInOutage(Endpoint endpoint) {
        boolean severalInOutage =
                state.largeFleet && endpoint.limit.severalEndpointsFailing && !transientFailures.callsOftenLost();
        return endpoint.connectsFailing || severalInOutage;
    }

    /** Calls a second for a limit that is in an outage. */
    double outageRate(DestinationLimit limit) {
        return budget(limit, 0, false);
    }

    /** Calls a second for a limit that recovered the given time ago. */
    double recoveryRate(DestinationLimit limit, long ageMicros) {
        return budget(limit, ageMicros, false);
    }

    /**
     * This forwarder's share, in calls a second, of the rate allowed for a destination that recovered the given time
     * ago. It is shared by all forwarders that saw a failure. Their number is at most that of the fleet, and at most
     * that of the messages since the outage began, which is the rate times the length of the outage. So one call in
     * that length is always within a forwarder's share, whether the rate is known or not.
     */
    private double budget(DestinationLimit limit, long ageMicros, boolean certainlyInOutage) {
        Rules rules = state.settings.rules();
        double rampShare = Math.min(1.0, ageMicros / (double) Math.max(1, rules.rampMicros()));
        double capacityShare = rules.initialCapacityShare() + (1 - rules.initialCapacityShare()) * rampShare;
        double budgetFactor = BUDGET_SHARE * rules.overloadMultiple() * capacityShare;
        // The interval between trials is 1 / budgetFactor times the length of the outage so far. With this minimum
        // length, the first interval is LONG_OUTAGE_MICROS / (1 + 1 / budgetFactor), so that the third call, counting
        // the one that failed first, comes after the end of a long outage.
        double minLengthMicros = certainlyInOutage
                ? LONG_OUTAGE_MICROS * budgetFactor / (1 + 1 / budgetFactor)
                : OutageDetection.FIRST_TRIAL_INTERVAL_MICROS;
        double oneCallRate = MICROS_PER_SECOND / Math.max(minLengthMicros, limit.failingForMicros);
        return budgetFactor * Math.max(Math.max(rates.usual(limit), rates.evenShare(limit)), oneCallRate);
    }
}
