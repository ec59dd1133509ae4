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
    private static final long LAST_TRIAL_PAUSE = 2_000_000;
    /** Hard failures in a row that mean an outage. */
    private static final int FAILURES_IN_ROW = 4;
    /** The same by all forwarders together: many forwarders see fewer each. */
    private static final int FAILURES_IN_FLEET = PolicyState.LARGE_FLEET_THRESHOLD;
    /** Weight of one outcome in the share that fails. */
    private static final double OUTCOME_WEIGHT = 0.1;
    /** Share failing from which an endpoint is in an outage: half, and chance. */
    private static final double OUTAGE_SHARE = 0.65;
    /** Share failing from which slow start begins anew, and the most that is remembered after an outage. */
    private static final double UNHEALTHY_SHARE = 0.5;
    /** A connect that fails before this part of its time-out was turned away; later, nothing was there. */
    private static final double CONNECT_PART = 0.9;
    /** An endpoint is passed over for so long after the second hard failure, microseconds; each further doubles it. */
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

    /** A call was delivered: failures in a row end, and so does an outage. */
    void onDelivered(DestinationLimit limit, Endpoint endpoint) {
        limit.failingSinceMicros = 0;
        limit.failuresInRow = 0;
        limit.severalEndpointsFailing = false;
        boolean connectsFailedLong = endpoint.connectsFailing && !transientFailures.isBrief(endpoint);
        boolean returned = endpoint.inOutage || connectsFailedLong;
        endpoint.failuresInRow = 0;
        endpoint.connectsFailing = false;
        endpoint.timingOut = false;
        transientFailures.onDelivered(endpoint);
        endpoint.failingSinceMicros = 0;
        endpoint.failureShare *= 1 - OUTCOME_WEIGHT;
        if (returned) {
            // Back from an outage, or from connects that failed for long: it is cold now.
            endpoint.inOutage = false;
            slowStart.begin(endpoint);
            endpoint.failureShare = Math.min(endpoint.failureShare, UNHEALTHY_SHARE);
        }
        endpoint.trialIntervalMicros = FIRST_TRIAL_INTERVAL_MICROS;
    }

    /** Notes that a limit has just refused or failed: since when it does, and a new spread of the pace. */
    void noteTrouble(DestinationLimit limit) {
        limit.failingSinceMicros = limit.failingSinceMicros == 0 ? state.nowMicros : limit.failingSinceMicros;
        limit.failingForMicros = state.nowMicros - limit.failingSinceMicros;
        // A burst that was refused together comes again apart.
        limit.outageRateDivisor = state.largeFleet ? 1 + state.random.nextDouble() : 1;
    }

    /** A call failed hard, {@code elapsed} microseconds after it was sent. */
    void onFailure(DestinationLimit limit, Endpoint endpoint, AttemptResult reported, long elapsed) {
        // What was given up for want of an answer has timed out too.
        AttemptResult ending = reported == AttemptResult.CANCELED ? AttemptResult.TIMED_OUT : reported;
        noteTrouble(limit);
        endpoint.failuresInRow++;
        // One that has no room for a connection is there; if it says only that for long, it may be shut.
        boolean isThere =
                ending == AttemptResult.NO_ROOM && (endpoint.failingSinceMicros == 0 || transientFailures.isBrief(endpoint));
        if (!isThere) {
            count(limit, endpoint);
        }
        avoid(endpoint);
        if (ending == AttemptResult.TIMED_OUT) {
            onTimeout(limit, endpoint);
        }
        if (ending == AttemptResult.NO_CONNECTION) {
            connections.onConnectFailed(endpoint);
        }
        if (slowStart.isActive(endpoint) && endpoint.failureShare >= UNHEALTHY_SHARE) {
            slowStart.begin(endpoint);
        }
        boolean turnedAway = isTurnedAway(ending, elapsed);
        endpoint.failingSinceMicros = endpoint.failingSinceMicros == 0 ? state.nowMicros : endpoint.failingSinceMicros;
        transientFailures.onFailure(endpoint, turnedAway);
        noteRefusedConnection(endpoint, ending);
        if (turnedAway) {
            connections.onConnectRejected(endpoint);
            if (isThere || transientFailures.connectsOftenRejected(endpoint)) {
                avoidForAsLong(limit, endpoint);
                return;
            }
        }
        detect(limit, endpoint);
    }

    private void count(DestinationLimit limit, Endpoint endpoint) {
        limit.severalEndpointsFailing |= limit.failuresInRow > 0 && limit.lastFailedEndpoint != endpoint;
        limit.lastFailedEndpoint = endpoint;
        limit.failuresInRow++;
        endpoint.failureShare += OUTCOME_WEIGHT * (1 - endpoint.failureShare);
    }

    private void avoid(Endpoint endpoint) {
        if (endpoint.failuresInRow > 1) {
            int doublings = Math.min(endpoint.failuresInRow - 2, MOST_DOUBLINGS);
            endpoint.avoidUntilMicros = state.nowMicros + (long) ((FIRST_AVOIDANCE << doublings) * state.jitterFactor());
        }
    }

    private void onTimeout(DestinationLimit limit, Endpoint endpoint) {
        if (endpoint.failuresInRow > 1) {
            // All are slow: wait longer. A part that hangs while others answer must not hold slots longer.
            timeouts.lengthen(limit);
        }
        endpoint.timingOut |= endpoint.failuresInRow > 1 || !transientFailures.callsOftenLost();
    }

    private boolean isTurnedAway(AttemptResult ending, long elapsed) {
        boolean early = elapsed < CONNECT_PART * state.settings.limits().connectTimeoutMicros();
        return ending == AttemptResult.NO_ROOM || ending == AttemptResult.NO_CONNECTION && early;
    }

    private void noteRefusedConnection(Endpoint endpoint, AttemptResult ending) {
        // One that took a call just now and turns the next away is full, not down: a busy one must not be left alone
        // for it. In an outage this ends with the fourth failure in a row, or three seconds in.
        boolean busy = transientFailures.isBriefSince(endpoint.lastDeliveredSentAtMicros)
                && endpoint.failuresInRow < FAILURES_IN_ROW;
        endpoint.connectsFailing |= state.largeFleet && ending == AttemptResult.NO_CONNECTION && !busy;
    }

    private void avoidForAsLong(DestinationLimit limit, Endpoint endpoint) {
        long longer = state.largeFleet ? state.nowMicros - limit.failingSinceMicros : 0;
        long until = state.nowMicros + (long) (longer * state.jitterFactor());
        endpoint.avoidUntilMicros = Math.max(endpoint.avoidUntilMicros, until);
    }

    private void detect(DestinationLimit limit, Endpoint endpoint) {
        int seenByEach = Math.max(1, FAILURES_IN_FLEET / state.settings.forwarders());
        int needed = transientFailures.callsOftenLost() ? FAILURES_IN_ROW : Math.min(FAILURES_IN_ROW, seenByEach);
        if (limit.severalEndpointsFailing && limit.failuresInRow >= needed) {
            limit.endpoints.stream().filter(each -> each.failuresInRow > 0).forEach(this::beginOrContinueOutage);
        } else if (endpoint.failuresInRow >= needed || endpoint.failureShare >= OUTAGE_SHARE) {
            beginOrContinueOutage(endpoint);
        }
    }

    /** Begins an outage of the endpoint, or goes on with it; the pause between trial calls grows by half. */
    void beginOrContinueOutage(Endpoint endpoint) {
        long longer = endpoint.trialIntervalMicros * (endpoint.inOutage ? 3 : 2) / 2;
        endpoint.trialIntervalMicros = Math.min(LAST_TRIAL_PAUSE, longer);
        endpoint.inOutage = true;
    }
}
