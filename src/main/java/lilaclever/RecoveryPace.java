package lilaclever;

import static lilaclever.PolicyState.NEVER;
import static lilaclever.PolicyState.MICROS_PER_SECOND;

import lilaclever.DecisionModule.Rules;
import lilaclever.PolicyState.DestinationLimit;
import lilaclever.PolicyState.Endpoint;

/**
 * The pace of trial calls in an outage and of calls in slow start, so that the whole fleet stays within the budget that
 * the settings' rules give a destination that comes back cold.
 */
final class RecoveryPace {
    /** Part of the budget that is used: the rest is for chance and for other forwarders' calls. */
    private static final double BUDGET_SHARE = 0.85;
    /** How long all but few outages last where this forwarder can't know it, microseconds. */
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

    /** Calls a second that an endpoint may get in an outage and in slow start; {@link PolicyState#NEVER} otherwise. */
    double callsPerSecond(Endpoint endpoint) {
        DestinationLimit limit = endpoint.limit;
        long active =
                Math.max(1, limit.endpoints.stream().filter(each -> each.active).count());
        if (endpoint.inOutage || endpoint.connectsFailing) {
            double rate = budget(limit, 0, isCertainlyInOutage(endpoint)) / active;
            return Math.min(MICROS_PER_SECOND / endpoint.trialIntervalMicros, rate) / limit.outageRateDivisor;
        }
        return slowStart.isActive(endpoint) ? budget(limit, slowStart.ageMicros(endpoint), false) / active : NEVER;
    }

    private boolean isCertainlyInOutage(Endpoint endpoint) {
        boolean severalInOutage = state.largeFleet && endpoint.limit.severalEndpointsFailing && !transientFailures.callsOftenLost();
        return endpoint.connectsFailing || severalInOutage;
    }

    /** Calls a second for a limit that is in an outage. */
    double outageRate(DestinationLimit limit) {
        return budget(limit, 0, false);
    }

    /** Calls a second for a limit that came back so many microseconds ago. */
    double recoveryRate(DestinationLimit limit, long ageMicros) {
        return budget(limit, ageMicros, false);
    }

    /**
     * This forwarder's part of what a destination that came back so long ago can be sent. All forwarders that saw a
     * failure share it. They are no more than the forwarders, and than the messages since the outage began: the rate
     * times its length. So each has one part in that length of the rate, known or not.
     */
    private double budget(DestinationLimit limit, long ageMicros, boolean certainlyInOutage) {
        Rules rules = state.settings.rules();
        double rampShare = Math.min(1.0, ageMicros / (double) Math.max(1, rules.rampMicros()));
        double capacityShare = rules.initialCapacityShare() + (1 - rules.initialCapacityShare()) * rampShare;
        double budgetFactor = BUDGET_SHARE * rules.overloadMultiple() * capacityShare;
        // Pauses grow by 1 / part of what it lasted: the first is so long that a third try is past its end.
        double minLengthMicros = certainlyInOutage ? LONG_OUTAGE_MICROS * budgetFactor / (1 + 1 / budgetFactor) : OutageDetection.FIRST_TRIAL_INTERVAL_MICROS;
        double oneCallRate = MICROS_PER_SECOND / Math.max(minLengthMicros, limit.failingForMicros);
        return budgetFactor * Math.max(Math.max(rates.usual(limit), rates.evenShare(limit)), oneCallRate);
    }
}
