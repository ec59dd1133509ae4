package lilaclever;

import java.util.Arrays;
import lilaclever.PolicyState.Endpoint;

/**
 * How often failures are transient: the share of series of failures that a delivery ends within three seconds. It is
 * kept separately for the rejected connects of each endpoint kind and for all other failures. Where the share is high,
 * a single failure doesn't indicate an outage.
 */
final class TransientFailures {
    /** A series of failures that ends sooner was transient. */
    private static final long MAX_TRANSIENT_MICROS = 3_000_000;
    /** Weight of one series of failures in the share. */
    private static final double SERIES_WEIGHT = 0.3;
    /** Share above which a single failure doesn't indicate an outage. */
    private static final double OFTEN_SHARE = 0.3;
    /** Initial share for rejected connects. */
    private static final double INITIAL_SHARE = 0.45;

    private final PolicyState state;
    /** By endpoint kind: the share for rejected connects. The last element is the share for all other failures. */
    private final double[] shares;

    TransientFailures(PolicyState state) {
        this.state = state;
        this.shares = new double[Math.max(1, state.settings.kinds().size()) + 1];
        Arrays.fill(shares, 0, shares.length - 1, INITIAL_SHARE);
    }

    /** Whether the endpoint's series of failures is still short enough to be transient. */
    boolean isBrief(Endpoint endpoint) {
        return isRecent(endpoint.failingSinceMicros);
    }

    /** Whether an instant is less than three seconds ago. */
    boolean isRecent(long timeMicros) {
        return state.nowMicros - timeMicros < MAX_TRANSIENT_MICROS;
    }

    /** Counts a delivery; must be called before {@link Endpoint#failingSinceMicros} is reset. */
    void onDelivered(Endpoint endpoint) {
        if (endpoint.failingSinceMicros > 0 && isBrief(endpoint)) {
            shares[endpoint.lastFailureCategory] += SERIES_WEIGHT * (1 - shares[endpoint.lastFailureCategory]);
        }
    }

    /**
     * Counts a failure; must be called after {@link Endpoint#failingSinceMicros} is set. {@code connectRejected}: the
     * failure is a connect that the host rejected.
     */
    void onFailure(Endpoint endpoint, boolean connectRejected) {
        endpoint.lastFailureCategory = connectRejected ? endpoint.kindIndex : shares.length - 1;
        shares[endpoint.lastFailureCategory] *= isBrief(endpoint) ? 1 : 1 - SERIES_WEIGHT;
    }

    /**
     * Whether endpoints of this kind accept few connections: deliveries followed soon after rejected connects. There, a
     * rejected connect isn't an outage and is just retried, so a real outage of such a kind is detected seconds late.
     */
    boolean connectsOftenRejected(Endpoint endpoint) {
        return shares[endpoint.kindIndex] > OFTEN_SHARE;
    }

    /** Whether rejected connects to endpoints of this kind were transient more often than initially assumed. */
    boolean connectsRejectedMoreThanAssumed(Endpoint endpoint) {
        return shares[endpoint.kindIndex] > INITIAL_SHARE;
    }

    /** Whether failures are often transient at all destinations, so that a single one doesn't indicate an outage. */
    boolean callsOftenLost() {
        return shares[shares.length - 1] > OFTEN_SHARE;
    }
}
