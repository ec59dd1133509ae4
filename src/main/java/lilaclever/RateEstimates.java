package lilaclever;

import static lilaclever.PolicyState.MICROS_PER_SECOND;

import lilaclever.PolicyState.DestinationLimit;
import lilaclever.PolicyState.Endpoint;

/**
 * Estimates of what a limit takes from this forwarder, in calls a second: lately, usually, and as an even share of the
 * whole fleet's rate. Means decay exponentially; the usual rate stands still while the endpoint is in an outage or in
 * slow start, as what it takes then is not usual.
 */
final class RateEstimates {
    /** Memory of the recent rate, microseconds: a few of the spans in which limits are counted. */
    private static final double RECENT_DECAY_MICROS = 2_000_000;
    /** Memory of the usual rate, microseconds: long beside a burst, short beside a day. */
    private static final double USUAL_DECAY_MICROS = 15_000_000;
    /** Least part of the usual rate's memory that counts as filled. */
    private static final double MIN_FILLED_SHARE = 0.1;
    /** Rate that a limit which tells none is taken to have for all forwarders together, calls a second. */
    private static final double DEFAULT_FLEET_RATE = 1.5;
    /** The share where no rate is told: at least this part of the mean rate over all destinations. */
    private static final double MIN_SHARE_OF_MEAN = 0.25;

    private final PolicyState state;
    private final SlowStart slowStart;
    /** All destinations together: their mean is a guess for one that nothing is known of. */
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

    /** Brings the means of a limit to the present time; {@code endpoint} is the one whose outcome has come. */
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

    /** Calls a second usually taken: the mean of what was seen, as the memory is empty at first. */
    double usual(DestinationLimit limit) {
        return limit.usualRate / Math.max(MIN_FILLED_SHARE, 1 - limit.usualRateUnfilled);
    }

    /** This forwarder's even share of a limit, calls a second: of its told rate, or a guess where none is told. */
    double evenShare(DestinationLimit limit) {
        int forwarders = state.settings.forwarders();
        double estimate = Math.max(DEFAULT_FLEET_RATE / forwarders, MIN_SHARE_OF_MEAN * usual(allDestinations) / state.queues.size());
        return limit.announcedRate > 0 ? limit.announcedRate / forwarders : estimate;
    }
}
