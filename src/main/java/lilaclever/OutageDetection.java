package lilaclever;

import lilaclever.DecisionModule.AttemptResult;
import lilaclever.PolicyState.DestinationLimit;
import lilaclever.PolicyState.Endpoint;

/**
 * The circuit breaker: tells an outage of an endpoint from single failures, and ends it with a delivery. Health is the
 * endpoint's, as one may be bad alone; failures at several of a limit, nothing delivered between, speak of all. May
 * hurt where all endpoints fail with successes between.
 */
final class OutageDetection {
    /** First pause between trial calls in an outage, microseconds. */
    static final long FIRST_TRIAL_INTERVAL_MICROS = 500_000;
    /** Longest pause between trial calls in an outage, microseconds. */
    private static final long MAX_TRIAL_INTERVAL_MICROS = 2_000_000;
    /** Hard failures in a row that mean an outage. */
    private static final int OUTAGE_FAILURES = 4;
    /** The same by all forwarders together: many forwarders see fewer each. */
    private static final int OUTAGE_FAILURES_IN_FLEET = PolicyState.LARGE_FLEET_THRESHOLD;
    /** Weight of one outcome in the share that fails. */
    private static final double OUTCOME_WEIGHT = 0.1;
    /** Share failing from which an endpoint is in an outage: half, and chance. */
    private static final double OUTAGE_FAILURE_SHARE = 0.65;
    /** Share failing from which slow start begins anew, and the most that is remembered after an outage. */
    private static final double UNHEALTHY_FAILURE_SHARE = 0.5;
    /** A connect that fails before this part of its time-out was turned away; later, nothing was there. */
    private static final double REJECTION_SHARE_OF_TIMEOUT = 0.9;
    /** An endpoint is passed over for so long after the second hard failure, microseconds; each further doubles it. */
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

    /** A call was delivered: failures in a row end, and so does an outage. */
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
            // Back from an outage, or from connects that failed for long: it is cold now.
            endpoint.inOutage = false;
            slowStart.begin(endpoint);
            endpoint.failureShare = Math.min(endpoint.failureShare, UNHEALTHY_FAILURE_SHARE);
        }
        endpoint.trialIntervalMicros = FIRST_TRIAL_INTERVAL_MICROS;
    }

    /** Notes that a limit has just refused or failed: since when it does, and a new spread of the pace. */
    void noteRefusalOrFailure(DestinationLimit limit) {
        limit.failingSinceMicros = limit.failingSinceMicros == 0 ? state.nowMicros : limit.failingSinceMicros;
        limit.failingForMicros = state.nowMicros - limit.failingSinceMicros;
        // A burst that was refused together comes again apart.
        limit.outageRateDivisor = state.largeFleet ? 1 + state.random.nextDouble() : 1;
    }

    /** A call failed hard, {@code elapsed} microseconds after it was sent. */
    void onFailure(DestinationLimit limit, Endpoint endpoint, AttemptResult reported, long elapsedMicros) {
        // What was given up for want of an answer has timed out too.
        AttemptResult result = reported == AttemptResult.CANCELED ? AttemptResult.TIMED_OUT : reported;
        noteRefusalOrFailure(limit);
        endpoint.consecutiveFailures++;
        // One that has no room for a connection is there; if it says only that for long, it may be shut.
        boolean isReachable =
                result == AttemptResult.NO_ROOM && (endpoint.failingSinceMicros == 0 || transientFailures.isBrief(endpoint));
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
            endpoint.avoidUntilMicros = state.nowMicros + (long) ((FIRST_AVOIDANCE_MICROS << doublings) * state.jitterFactor());
        }
    }

    private void onTimeout(DestinationLimit limit, Endpoint endpoint) {
        if (endpoint.consecutiveFailures > 1) {
            // All are slow: wait longer. A part that hangs while others answer must not hold slots longer.
            timeouts.lengthen(limit);
        }
        endpoint.timingOut |= endpoint.consecutiveFailures > 1 || !transientFailures.callsOftenLost();
    }

    private boolean isConnectRejected(AttemptResult result, long elapsedMicros) {
        boolean isEarly = elapsedMicros < REJECTION_SHARE_OF_TIMEOUT * state.settings.limits().connectTimeoutMicros();
        return result == AttemptResult.NO_ROOM || result == AttemptResult.NO_CONNECTION && isEarly;
    }

    private void noteFailedConnect(Endpoint endpoint, AttemptResult result) {
        // One that took a call just now and turns the next away is full, not down: a busy one must not be left alone
        // for it. In an outage this ends with the fourth failure in a row, or three seconds in.
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
        int failuresNeeded = transientFailures.callsOftenLost() ? OUTAGE_FAILURES : Math.min(OUTAGE_FAILURES, seenByEach);
        if (limit.severalEndpointsFailing && limit.consecutiveFailures >= failuresNeeded) {
            limit.endpoints.stream().filter(each -> each.consecutiveFailures > 0).forEach(this::beginOrContinueOutage);
        } else if (endpoint.consecutiveFailures >= failuresNeeded || endpoint.failureShare >= OUTAGE_FAILURE_SHARE) {
            beginOrContinueOutage(endpoint);
        }
    }

    /** Begins an outage of the endpoint, or goes on with it; the pause between trial calls grows by half. */
    void beginOrContinueOutage(Endpoint endpoint) {
        long longerMicros = endpoint.trialIntervalMicros * (endpoint.inOutage ? 3 : 2) / 2;
        endpoint.trialIntervalMicros = Math.min(MAX_TRIAL_INTERVAL_MICROS, longerMicros);
        endpoint.inOutage = true;
    }
}
