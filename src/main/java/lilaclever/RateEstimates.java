package lilaclever;

import static lilaclever.PolicyState.MICROS_PER_SECOND;

import lilaclever.PolicyState.DestinationLimit;
import lilaclever.PolicyState.Endpoint;

/**
 * Estimates of the rate that a limit accepts from this forwarder, in calls a second: the recent rate, the usual rate
 * and an even share of the fleet's rate. The means decay exponentially; the usual rate isn't updated while the endpoint
 * is in an outage or in slow start, as its rate isn't the usual one then.
 */
final class RateEstimates {
    /** Decay time of the recent rate: a few of the periods over which limits are counted. */
    private static final double RECENT_DECAY_MICROS = 2_000_000;
    /** Decay time of the usual rate: long compared with a burst, short compared with a day. */
    private static final double USUAL_DECAY_MICROS = 15_000_000;
    /** Lower bound of the weight of samples by which the usual rate is divided, for the time just after the start. */
    private static final double MIN_FILLED_SHARE = 0.1;
    /** Rate that a limit is assumed to accept from all forwarders together if none is announced, calls a second. */
    private static final double DEFAULT_FLEET_RATE = 1.5;
    /** Lower bound of an even share if no rate is announced, as a share of the mean rate over all destinations. */
    private static final double MIN_SHARE_OF_MEAN = 0.25;

    private final PolicyState state;
    private final SlowStart slowStart;
    /** All destinations together; their mean rate is the estimate for one that nothing is known of. */
    private final DestinationLimit allDestinations = new DestinationLimit();

    RateEstimates(PolicyState state, SlowStart slowStart) {
        this.state = state;
        this.slowStart = slowStart;
    }

    /** Counts a delivered call. */
    void onDelivered(DestinationLimit limit, Endpoint endpoint) {
        count(limit, endpoint);
        count(allDestinations, endpoint);
    }

    private void count(DestinationLimit limit, Endpoint endpoint) {
        decay(limit, endpoint);
        limit.recentRate += MICROS_PER_SECOND / RECENT_DECAY_MICROS;
        if (isUsual(endpoint)) {
            limit.usualRate += MICROS_PER_SECOND / USUAL_DECAY_MICROS;
        }
    }

    /** Decays the means of a limit to the current time; {@code endpoint} is the one whose outcome was reported. */
    void decay(DestinationLimit limit, Endpoint endpoint) {
        double elapsedMicros = limit.ratesUpdatedAtMicros == 0 ? 0 : state.nowMicros - limit.ratesUpdatedAtMicros;
        limit.recentRate *= Math.exp(-elapsedMicros / RECENT_DECAY_MICROS);
        if (isUsual(endpoint)) {
            limit.usualRate *= Math.exp(-elapsedMicros / USUAL_DECAY_MICROS);
            limit.usualRateUnfilled *= Math.exp(-elapsedMicros / USUAL_DECAY_MICROS);
        }
        limit.ratesUpdatedAtMicros = state.nowMicros;
    }

    private boolean isUsual(Endpoint endpoint) {
        return !endpoint.inOutage && !slowStart.isActive(endpoint);
    }

    /** Usual rate, calls a second; corrected for the time before the first sample. */
    double usual(DestinationLimit limit) {
        return limit.usualRate / Math.max(MIN_FILLED_SHARE, 1 - limit.usualRateUnfilled);
    }

    /** This forwarder's even share of a limit's announced rate, calls a second; an estimate if none is announced. */
    double evenShare(DestinationLimit limit) {
        int forwarders = state.settings.forwarders();
        double estimate = Math.max(
                DEFAULT_FLEET_RATE / forwarders, MIN_SHARE_OF_MEAN * usual(allDestinations) / state.queues.size());
        return limit.announcedRate > 0 ? limit.announcedRate / forwarders : estimate;
    }
}
