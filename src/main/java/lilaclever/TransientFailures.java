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
    private static final long LONGEST = 3_000_000;
    /** Weight of one series of failures in the share. */
    private static final double WEIGHT = 0.3;
    /** Share above which a single failure doesn't indicate an outage. */
    private static final double OFTEN = 0.3;
    /** Initial share for rejected connects. */
    private static final double FIRST_GUESS = 0.45;

    private final PolicyState state;
    /** By endpoint kind: the share for rejected connects. The last element is the share for all other failures. */
    private final double[] shares;

    TransientFailures(PolicyState state) {
        this.state = state;
        this.shares = new double[Math.max(1, state.settings.kinds().size()) + 1];
        Arrays.fill(shares, 0, shares.length - 1, FIRST_GUESS);
    }

    /** Whether the endpoint's series of failures is still short enough to be transient. */
    boolean isBrief(Endpoint endpoint) {
        return isBriefSince(endpoint.failingSince);
    }

    /** Whether an instant is less than three seconds ago. */
    boolean isBriefSince(long time) {
        return state.now - time < LONGEST;
    }

    /** Counts a delivery; must be called before {@link Endpoint#failingSince} is reset. */
    void onDelivered(Endpoint endpoint) {
        if (endpoint.failingSince > 0 && isBrief(endpoint)) {
            shares[endpoint.failureCause] += WEIGHT * (1 - shares[endpoint.failureCause]);
        }
    }

    /** Counts a failure of the endpoint's current series; {@code connectRejected}: a connect that the host rejected. */
    void onFailure(Endpoint endpoint, boolean turnedAway) {
        endpoint.failureCause = turnedAway ? endpoint.kind : shares.length - 1;
        shares[endpoint.failureCause] *= isBrief(endpoint) ? 1 : 1 - WEIGHT;
    }

    /**
     * Whether endpoints of this kind accept few connections: deliveries followed soon after rejected connects. There, a
     * rejected connect isn't an outage and is just retried, so a real outage of such a kind is detected seconds late.
     */
    boolean connectsOftenTurnedAway(Endpoint endpoint) {
        return shares[endpoint.kind] > OFTEN;
    }

    /** Whether rejected connects to endpoints of this kind were transient more often than initially assumed. */
    boolean connectsTurnedAwayMoreThanAssumed(Endpoint endpoint) {
        return shares[endpoint.kind] > FIRST_GUESS;
    }

    /** Whether failures are often transient at all destinations, so that a single one doesn't indicate an outage. */
    boolean callsOftenLost() {
        return shares[shares.length - 1] > OFTEN;
    }
}
