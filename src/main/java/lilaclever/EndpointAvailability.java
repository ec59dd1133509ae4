package lilaclever;

import static lilaclever.PolicyState.NEVER;
import static lilaclever.PolicyState.MICROS_PER_SECOND;

import lilaclever.PolicyState.Call;
import lilaclever.PolicyState.DestinationLimit;
import lilaclever.PolicyState.Endpoint;

/** When an endpoint takes a further call: as its limit, its health and the slots that calls to it may occupy allow. */
final class EndpointAvailability {
    /** Part of the slots that calls to one limit may occupy: one that hangs leaves room for the rest. */
    private static final double MAX_SLOT_SHARE_OF_LIMIT = 0.6;
    /** Part of the slots that calls to all stalled endpoints together may occupy. */
    private static final double MAX_SLOT_SHARE_OF_STALLED = 0.3;

    private final PolicyState state;
    private final SlowStart slowStart;
    private final TransientFailures transientFailures;
    private final CallTimeouts timeouts;
    private final ConnectionReuse connections;
    private final RecoveryPace recoveryPace;
    private final DestinationLimits limits;

    EndpointAvailability(
            PolicyState state,
            SlowStart slowStart,
            TransientFailures transientFailures,
            CallTimeouts timeouts,
            ConnectionReuse connections,
            RecoveryPace recoveryPace,
            DestinationLimits limits) {
        this.state = state;
        this.slowStart = slowStart;
        this.transientFailures = transientFailures;
        this.timeouts = timeouts;
        this.connections = connections;
        this.recoveryPace = recoveryPace;
        this.limits = limits;
    }

    /**
     * When the endpoint takes a further call, microseconds on the module's clock: after its limit's wait and at its
     * pace, and at its own after an outage. {@link PolicyState#NEVER} while that hangs on a call that is in flight.
     */
    long readyAtMicros(Endpoint endpoint) {
        if (!hasFreeSlot(endpoint.limit) || awaitsOutcome(endpoint) || isStalled(endpoint) && !stalledHaveFreeSlot()) {
            return NEVER;
        }
        long limitReadyMicros = Math.max(limits.readyAtMicros(endpoint.limit), endpoint.avoidUntilMicros);
        double rate = recoveryPace.callsPerSecond(endpoint);
        if (rate >= NEVER) {
            return limitReadyMicros;
        }
        long atRateMicros = endpoint.lastSentAtMicros + (long) (MICROS_PER_SECOND / rate);
        // The pace of slow start is at its slowest now: at its end the endpoint is free.
        boolean onlySlowStart = slowStart.isActive(endpoint) && !endpoint.inOutage && !endpoint.connectsFailing;
        long endpointReadyMicros = onlySlowStart ? Math.min(atRateMicros, slowStart.endsAtMicros(endpoint)) : atRateMicros;
        return Math.max(limitReadyMicros, endpointReadyMicros);
    }

    private boolean hasFreeSlot(DestinationLimit limit) {
        int slots = state.settings.limits().slots();
        return limit.callsInFlight < Math.max(1, (int) Math.ceil(MAX_SLOT_SHARE_OF_LIMIT * slots));
    }

    /** A call is in flight whose outcome decides: a trial in an outage, or a connect where few are taken. */
    private boolean awaitsOutcome(Endpoint endpoint) {
        if (endpoint.callsInFlight == 0) {
            return false;
        }
        boolean connectionsScarce = transientFailures.connectsRejectedMoreThanAssumed(endpoint);
        return endpoint.inOutage || connectionsScarce && !connections.hasIdleConnection(endpoint);
    }

    private boolean stalledHaveFreeSlot() {
        int stalled = 0;
        for (Call call : state.calls) {
            stalled += isStalled(call.endpoint) ? 1 : 0;
        }
        int slots = state.settings.limits().slots();
        return stalled < Math.max(1, (int) (MAX_SLOT_SHARE_OF_STALLED * slots));
    }

    /**
     * Calls here occupy slots and deliver little: an outage, a time-out, slow answers, or a call in flight for long.
     * All such endpoints share a part of the slots. Guards against several that hang or crawl at once and starve the
     * rest; measured against the forwarder's usual answer time, so where all are slow none is stalled.
     */
    private boolean isStalled(Endpoint endpoint) {
        double slowMicros = timeouts.slowResponseMicros();
        for (Call call : endpoint.calls) {
            // A call that hangs while later ones come back says nothing of the endpoint.
            boolean isSentSinceLastDelivered = call.sentAtMicros > endpoint.lastDeliveredSentAtMicros;
            if (state.overallMeanResponseMicros > 0 && isSentSinceLastDelivered && state.nowMicros - call.sentAtMicros > slowMicros) {
                return true;
            }
        }
        boolean hasSlowResponses = state.overallMeanResponseMicros > 0 && endpoint.limit.meanResponseMicros > slowMicros;
        return endpoint.inOutage || endpoint.timingOut || hasSlowResponses;
    }
}
