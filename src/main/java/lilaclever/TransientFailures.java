package lilaclever;

import java.util.Arrays;
import lilaclever.PolicyState.Endpoint;

/**
 * How often failures pass by themselves: the share of rows of failures that a delivery ends within three seconds, apart
 * for connects that each kind of destination turns away and for all other failures. Where that share is high, a single
 * failure does not tell of an outage.
 */
final class TransientFailures {
    /** A row of failures that ends sooner was transient, microseconds. */
    private static final long MAX_TRANSIENT_MICROS = 3_000_000;
    /** Weight of one row of failures in the share. */
    private static final double SERIES_WEIGHT = 0.3;
    /** Share above which single failures tell nothing. */
    private static final double OFTEN_SHARE = 0.3;
    /** The share assumed at first for connects that were turned away. */
    private static final double INITIAL_SHARE = 0.45;

    private final PolicyState state;
    /** For each kind its connects that were turned away, and last all other failures. */
    private final double[] shares;

    TransientFailures(PolicyState state) {
        this.state = state;
        this.shares = new double[Math.max(1, state.settings.kinds().size()) + 1];
        Arrays.fill(shares, 0, shares.length - 1, INITIAL_SHARE);
    }

    /** Whether the endpoint's row of failures is still short enough to be transient. */
    boolean isBrief(Endpoint endpoint) {
        return isRecent(endpoint.failingSinceMicros);
    }

    /** Whether a time, in microseconds, lies less than three seconds back. */
    boolean isRecent(long timeMicros) {
        return state.nowMicros - timeMicros < MAX_TRANSIENT_MICROS;
    }

    /** Counts a delivery; the endpoint's {@code failingSince} still tells of the row of failures that it ends. */
    void onDelivered(Endpoint endpoint) {
        if (endpoint.failingSinceMicros > 0 && isBrief(endpoint)) {
            shares[endpoint.lastFailureCategory] += SERIES_WEIGHT * (1 - shares[endpoint.lastFailureCategory]);
        }
    }

    /** Counts a failure, by now part of the endpoint's row; {@code turnedAway}: a connect that found a host there. */
    void onFailure(Endpoint endpoint, boolean connectRejected) {
        endpoint.lastFailureCategory = connectRejected ? endpoint.kindIndex : shares.length - 1;
        shares[endpoint.lastFailureCategory] *= isBrief(endpoint) ? 1 : 1 - SERIES_WEIGHT;
    }

    /**
     * Endpoints of this kind take few connections: failed connects soon turned into deliveries. There one is no outage,
     * and is tried again as pauses allow. May hurt for seconds where such a kind goes down.
     */
    boolean connectsOftenRejected(Endpoint endpoint) {
        return shares[endpoint.kindIndex] > OFTEN_SHARE;
    }

    /** Connects turned away by endpoints of this kind were transient more often than assumed at first. */
    boolean connectsRejectedMoreThanAssumed(Endpoint endpoint) {
        return shares[endpoint.kindIndex] > INITIAL_SHARE;
    }

    /** Most failures are transient: calls are lost everywhere, and a single failure tells nothing. */
    boolean callsOftenLost() {
        return shares[shares.length - 1] > OFTEN_SHARE;
    }
}
