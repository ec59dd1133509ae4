package lilaclever;

import lilaclever.DecisionModule.AttemptResult;
import lilaclever.PolicyState.DestinationLimit;
import lilaclever.PolicyState.Endpoint;

/**
 * Circuit breaker: distinguishes an outage of an endpoint from single failures, and ends it at the first delivery. Each
 * endpoint has its own health, as one may fail alone; failures at several endpoints of a limit without a delivery in
 * between count for all of these. May be slow to detect that all endpoints fail if there are deliveries in between.
 */
final class OutageDetection {
    /** First interval between trial calls in an outage. */
    static final long FIRST_TRIAL_INTERVAL_MICROS = 500_000;
    /** Longest interval between trial calls in an outage. */
    private static final long MAX_TRIAL_INTERVAL_MICROS = 2_000_000;
    /** Consecutive hard failures that mean an outage. */
    private static final int OUTAGE_FAILURES = 4;
    /** The same seen by all forwarders together; in a large fleet each sees fewer. */
    private static final int OUTAGE_FAILURES_IN_FLEET = PolicyState.LARGE_FLEET_THRESHOLD;
    /** Weight of one outcome in the share of failures. */
    private static final double OUTCOME_WEIGHT = 0.1;
    /** Share of failures that means an outage: half, plus random variation. */
    private static final double OUTAGE_FAILURE_SHARE = 0.65;
    /** Share of failures from which slow start begins again, and the highest one retained after an outage. */
    private static final double UNHEALTHY_FAILURE_SHARE = 0.5;
    /** A connect that fails before this share of its timeout was rejected by the host; later, there was no host. */
    private static final double REJECTION_SHARE_OF_TIMEOUT = 0.9;
    /** How long an endpoint gets no calls after the second consecutive hard failure; each further one doubles it. */
    private static final long FIRST_AVOIDANCE_MICROS = 500_000;

    private static final int MAX_AVOIDANCE_DOUBLINGS = 2;

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
        limit.failingSinceMicros = 0;
        limit.consecutiveFailures = 0;
        limit.severalEndpointsFailing = false;
        boolean connectsFailedLong = endpoint.connectsFailing && !transientFailures.isBrief(endpoint);
        boolean hasRecovered = endpoint.inOutage || connectsFailedLong;
        endpoint.consecutiveFailures = 0;
        endpoint.connectsFailing = false;
        endpoint.timingOut = false;
        transientFailures.onDelivered(endpoint);
        endpoint.failingSinceMicros = 0;
        endpoint.failureShare *= 1 - OUTCOME_WEIGHT;
        if (hasRecovered) {
            // It recovered from an outage or a long series of failed connects, and doesn't have its full capacity yet.
            endpoint.inOutage = false;
            slowStart.begin(endpoint);
            endpoint.failureShare = Math.min(endpoint.failureShare, UNHEALTHY_FAILURE_SHARE);
        }
        endpoint.trialIntervalMicros = FIRST_TRIAL_INTERVAL_MICROS;
    }

    /** Records a refusal or failure: since when the limit has trouble, and a new random divisor of its outage rate. */
    void noteRefusalOrFailure(DestinationLimit limit) {
        limit.failingSinceMicros = limit.failingSinceMicros == 0 ? state.nowMicros : limit.failingSinceMicros;
        limit.failingForMicros = state.nowMicros - limit.failingSinceMicros;
        // Spreads the retries of a burst that was refused at once.
        limit.outageRateDivisor = state.largeFleet ? 1 + state.random.nextDouble() : 1;
    }

    /**
     * A call ended with a hard failure, the given time after it was sent: an error, a timeout, a failed connect or a
     * lost connection, but not a refusal as full.
     */
    void onFailure(DestinationLimit limit, Endpoint endpoint, AttemptResult reported, long elapsedMicros) {
        // A call that was cancelled because no answer came has timed out as well.
        AttemptResult result = reported == AttemptResult.CANCELED ? AttemptResult.TIMED_OUT : reported;
        noteRefusalOrFailure(limit);
        endpoint.consecutiveFailures++;
        // An endpoint that answers that it has too many connections is running; if it answers only that for long, it
        // may be in an outage.
        boolean isReachable = result == AttemptResult.NO_ROOM
                && (endpoint.failingSinceMicros == 0 || transientFailures.isBrief(endpoint));
        if (!isReachable) {
            countFailure(limit, endpoint);
        }
        avoid(endpoint);
        if (result == AttemptResult.TIMED_OUT) {
            onTimeout(limit, endpoint);
        }
        if (result == AttemptResult.NO_CONNECTION) {
            connections.onConnectFailed(endpoint);
        }
        if (slowStart.isActive(endpoint) && endpoint.failureShare >= UNHEALTHY_FAILURE_SHARE) {
            slowStart.begin(endpoint);
        }
        boolean connectRejected = isConnectRejected(result, elapsedMicros);
        endpoint.failingSinceMicros = endpoint.failingSinceMicros == 0 ? state.nowMicros : endpoint.failingSinceMicros;
        transientFailures.onFailure(endpoint, connectRejected);
        noteFailedConnect(endpoint, result);
        if (connectRejected) {
            connections.onConnectRejected(endpoint);
            if (isReachable || transientFailures.connectsOftenRejected(endpoint)) {
                avoidForOutageLength(limit, endpoint);
                return;
            }
        }
        detectOutage(limit, endpoint);
    }

    private void countFailure(DestinationLimit limit, Endpoint endpoint) {
        limit.severalEndpointsFailing |= limit.consecutiveFailures > 0 && limit.lastFailedEndpoint != endpoint;
        limit.lastFailedEndpoint = endpoint;
        limit.consecutiveFailures++;
        endpoint.failureShare += OUTCOME_WEIGHT * (1 - endpoint.failureShare);
    }

    private void avoid(Endpoint endpoint) {
        if (endpoint.consecutiveFailures > 1) {
            int doublings = Math.min(endpoint.consecutiveFailures - 2, MAX_AVOIDANCE_DOUBLINGS);
            endpoint.avoidUntilMicros =
                    state.nowMicros + (long) ((FIRST_AVOIDANCE_MICROS << doublings) * state.jitterFactor());
        }
    }

    private void onTimeout(DestinationLimit limit, Endpoint endpoint) {
        if (endpoint.consecutiveFailures > 1) {
            // All calls time out, so wait longer. Where only some hang, slots must not be used longer for them.
            timeouts.lengthen(limit);
        }
        endpoint.timingOut |= endpoint.consecutiveFailures > 1 || !transientFailures.callsOftenLost();
    }

    private boolean isConnectRejected(AttemptResult result, long elapsedMicros) {
        boolean isEarly = elapsedMicros
                < REJECTION_SHARE_OF_TIMEOUT * state.settings.limits().connectTimeoutMicros();
        return result == AttemptResult.NO_ROOM || result == AttemptResult.NO_CONNECTION && isEarly;
    }

    private void noteFailedConnect(Endpoint endpoint, AttemptResult result) {
        // An endpoint that accepted a call just now and rejects the next connect is full, not down: a busy one must
        // still get calls. In an outage this ends with the fourth consecutive failure, or after three seconds.
        boolean isBusy = transientFailures.isRecent(endpoint.lastDeliveredSentAtMicros)
                && endpoint.consecutiveFailures < OUTAGE_FAILURES;
        endpoint.connectsFailing |= state.largeFleet && result == AttemptResult.NO_CONNECTION && !isBusy;
    }

    private void avoidForOutageLength(DestinationLimit limit, Endpoint endpoint) {
        long outageMicros = state.largeFleet ? state.nowMicros - limit.failingSinceMicros : 0;
        long untilMicros = state.nowMicros + (long) (outageMicros * state.jitterFactor());
        endpoint.avoidUntilMicros = Math.max(endpoint.avoidUntilMicros, untilMicros);
    }

    private void detectOutage(DestinationLimit limit, Endpoint endpoint) {
        int seenByEach = Math.max(1, OUTAGE_FAILURES_IN_FLEET / state.settings.forwarders());
        int failuresNeeded =
                transientFailures.callsOftenLost() ? OUTAGE_FAILURES : Math.min(OUTAGE_FAILURES, seenByEach);
        if (limit.severalEndpointsFailing && limit.consecutiveFailures >= failuresNeeded) {
            limit.endpoints.stream()
                    .filter(each -> each.consecutiveFailures > 0)
                    .forEach(this::beginOrContinueOutage);
        } else if (endpoint.consecutiveFailures >= failuresNeeded || endpoint.failureShare >= OUTAGE_FAILURE_SHARE) {
            beginOrContinueOutage(endpoint);
        }
    }

    /** Begins an outage of the endpoint, or continues it and lengthens the interval between trial calls by half. */
    void beginOrContinueOutage(Endpoint endpoint) {
        long longerMicros = endpoint.trialIntervalMicros * (endpoint.inOutage ? 3 : 2) / 2;
        endpoint.trialIntervalMicros = Math.min(MAX_TRIAL_INTERVAL_MICROS, longerMicros);
        endpoint.inOutage = true;
    }
}
