package lilaclever;

import lilaclever.DecisionModule.Ending;
import lilaclever.PolicyState.DestinationLimit;
import lilaclever.PolicyState.Endpoint;

/**
 * Circuit breaker: distinguishes an outage of an endpoint from single failures, and ends it at the first delivery. Each
 * endpoint has its own health, as one may fail alone; failures at several endpoints of a limit without a delivery in
 * between count for all of these. May be slow to detect that all endpoints fail if there are deliveries in between.
 */
final class OutageDetection {
    /** First interval between trial calls in an outage. */
    static final long FIRST_TRIAL_PAUSE = 500_000;
    /** Longest interval between trial calls in an outage. */
    private static final long LAST_TRIAL_PAUSE = 2_000_000;
    /** Consecutive hard failures that mean an outage. */
    private static final int FAILURES_IN_ROW = 4;
    /** The same seen by all forwarders together; in a large fleet each sees fewer. */
    private static final int FAILURES_IN_FLEET = PolicyState.LARGE_FLEET;
    /** Weight of one outcome in the share of failures. */
    private static final double OUTCOME_WEIGHT = 0.1;
    /** Share of failures that means an outage: half, plus random variation. */
    private static final double OUTAGE_SHARE = 0.65;
    /** Share of failures from which slow start begins again, and the highest one retained after an outage. */
    private static final double UNHEALTHY_SHARE = 0.5;
    /** A connect that fails before this share of its time-out was rejected by the host; later, there was no host. */
    private static final double CONNECT_PART = 0.9;
    /** How long an endpoint gets no calls after the second consecutive hard failure; each further one doubles it. */
    private static final long FIRST_AVOIDANCE = 500_000;

    private static final int MOST_DOUBLINGS = 2;

    private final PolicyState state;
    private final SlowStart slowStart;
    private final TransientFailures transientFailures;
    private final CallTimeouts timeouts;
    private final ConnectionReuse connections;

    OutageDetection(
            PolicyState state,
            SlowStart slowStart,
            TransientFailures transientFailures,
            CallTimeouts timeouts,
            ConnectionReuse connections) {
        this.state = state;
        this.slowStart = slowStart;
        this.transientFailures = transientFailures;
        this.timeouts = timeouts;
        this.connections = connections;
    }

    /** A call was delivered: resets the counts of consecutive failures and ends an outage. */
    void onDelivered(DestinationLimit limit, Endpoint endpoint) {
        limit.failingSince = 0;
        limit.failuresInRow = 0;
        limit.severalFail = false;
        boolean connectsFailedLong = endpoint.refusingConnections && !transientFailures.isBrief(endpoint);
        boolean returned = endpoint.inOutage || connectsFailedLong;
        endpoint.failuresInRow = 0;
        endpoint.refusingConnections = false;
        endpoint.timingOut = false;
        transientFailures.onDelivered(endpoint);
        endpoint.failingSince = 0;
        endpoint.failureShare *= 1 - OUTCOME_WEIGHT;
        if (returned) {
            // It recovered from an outage or a long series of failed connects, and hasn't its full capacity yet.
            endpoint.inOutage = false;
            slowStart.begin(endpoint);
            endpoint.failureShare = Math.min(endpoint.failureShare, UNHEALTHY_SHARE);
        }
        endpoint.trialPause = FIRST_TRIAL_PAUSE;
    }

    /** Records a refusal or failure: since when the limit has trouble, and a new random divisor of its outage rate. */
    void noteTrouble(DestinationLimit limit) {
        limit.failingSince = limit.failingSince == 0 ? state.now : limit.failingSince;
        limit.failingFor = state.now - limit.failingSince;
        // Spreads the retries of a burst that was refused at once.
        limit.paceSpread = state.largeFleet ? 1 + state.random.nextDouble() : 1;
    }

    /** A call failed hard, the given time after it was sent. */
    void onFailure(DestinationLimit limit, Endpoint endpoint, Ending reported, long elapsed) {
        // A call that was cancelled because no answer came has timed out as well.
        Ending ending = reported == Ending.CANCELED ? Ending.TIMED_OUT : reported;
        noteTrouble(limit);
        endpoint.failuresInRow++;
        // An endpoint that answers that it has too many connections is running; if it answers only that for long, it
        // may be in an outage.
        boolean isThere =
                ending == Ending.NO_ROOM && (endpoint.failingSince == 0 || transientFailures.isBrief(endpoint));
        if (!isThere) {
            count(limit, endpoint);
        }
        avoid(endpoint);
        if (ending == Ending.TIMED_OUT) {
            onTimeout(limit, endpoint);
        }
        if (ending == Ending.NO_CONNECTION) {
            connections.onConnectFailed(endpoint);
        }
        if (slowStart.isActive(endpoint) && endpoint.failureShare >= UNHEALTHY_SHARE) {
            slowStart.begin(endpoint);
        }
        boolean turnedAway = isTurnedAway(ending, elapsed);
        endpoint.failingSince = endpoint.failingSince == 0 ? state.now : endpoint.failingSince;
        transientFailures.onFailure(endpoint, turnedAway);
        noteRefusedConnection(endpoint, ending);
        if (turnedAway) {
            connections.onTurnedAway(endpoint);
            if (isThere || transientFailures.connectsOftenTurnedAway(endpoint)) {
                avoidForAsLong(limit, endpoint);
                return;
            }
        }
        detect(limit, endpoint);
    }

    private void count(DestinationLimit limit, Endpoint endpoint) {
        limit.severalFail |= limit.failuresInRow > 0 && limit.lastFailedEndpoint != endpoint;
        limit.lastFailedEndpoint = endpoint;
        limit.failuresInRow++;
        endpoint.failureShare += OUTCOME_WEIGHT * (1 - endpoint.failureShare);
    }

    private void avoid(Endpoint endpoint) {
        if (endpoint.failuresInRow > 1) {
            int doublings = Math.min(endpoint.failuresInRow - 2, MOST_DOUBLINGS);
            endpoint.avoidUntil = state.now + (long) ((FIRST_AVOIDANCE << doublings) * state.randomFactor());
        }
    }

    private void onTimeout(DestinationLimit limit, Endpoint endpoint) {
        if (endpoint.failuresInRow > 1) {
            // All calls are slow: wait longer. If only some hang while others are answered, they must not use slots
            // longer.
            timeouts.lengthen(limit);
        }
        endpoint.timingOut |= endpoint.failuresInRow > 1 || !transientFailures.callsOftenLost();
    }

    private boolean isTurnedAway(Ending ending, long elapsed) {
        boolean early = elapsed < CONNECT_PART * state.settings.limits().connectTimeoutMicros();
        return ending == Ending.NO_ROOM || ending == Ending.NO_CONNECTION && early;
    }

    private void noteRefusedConnection(Endpoint endpoint, Ending ending) {
        // An endpoint that accepted a call just now and rejects the next connect is full, not down: a busy one must
        // still get calls. In an outage this exemption ends with the fourth consecutive failure, or after three
        // seconds.
        boolean busy = transientFailures.isBriefSince(endpoint.lastDeliveredSentAt)
                && endpoint.failuresInRow < FAILURES_IN_ROW;
        endpoint.refusingConnections |= state.largeFleet && ending == Ending.NO_CONNECTION && !busy;
    }

    private void avoidForAsLong(DestinationLimit limit, Endpoint endpoint) {
        long longer = state.largeFleet ? state.now - limit.failingSince : 0;
        long until = state.now + (long) (longer * state.randomFactor());
        endpoint.avoidUntil = Math.max(endpoint.avoidUntil, until);
    }

    private void detect(DestinationLimit limit, Endpoint endpoint) {
        int seenByEach = Math.max(1, FAILURES_IN_FLEET / state.settings.relays());
        int needed = transientFailures.callsOftenLost() ? FAILURES_IN_ROW : Math.min(FAILURES_IN_ROW, seenByEach);
        if (limit.severalFail && limit.failuresInRow >= needed) {
            limit.endpoints.stream().filter(each -> each.failuresInRow > 0).forEach(this::beginOutage);
        } else if (endpoint.failuresInRow >= needed || endpoint.failureShare >= OUTAGE_SHARE) {
            beginOutage(endpoint);
        }
    }

    /** Begins an outage of the endpoint, or continues it and lengthens the interval between trial calls by half. */
    void beginOutage(Endpoint endpoint) {
        long longer = endpoint.trialPause * (endpoint.inOutage ? 3 : 2) / 2;
        endpoint.trialPause = Math.min(LAST_TRIAL_PAUSE, longer);
        endpoint.inOutage = true;
    }
}
