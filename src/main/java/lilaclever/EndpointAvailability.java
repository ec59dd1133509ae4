package lilaclever;

import static lilaclever.PolicyState.MICROS_PER_SECOND;
import static lilaclever.PolicyState.NEVER;

import lilaclever.PolicyState.Call;
import lilaclever.PolicyState.DestinationLimit;
import lilaclever.PolicyState.Endpoint;

/** When an endpoint may get another call: by its limit, its health and its share of the slots. */
final class EndpointAvailability {
    /** Share of the slots that calls to one limit may use, so that a hanging one leaves slots for the others. */
    private static final double MAX_SLOT_SHARE_OF_LIMIT = 0.6;
    /** Share of the slots that calls to all stalled endpoints together may use. */
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
     * When the endpoint may get another call, microseconds on the module's clock: after the retry-after period and at
     * the rate of its limit, and at the recovery rate in and after an outage. {@link PolicyState#NEVER} while that
     * depends on a call in flight.
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
        // The rate of slow start only grows, and at its end the endpoint is unrestricted.
        boolean onlySlowStart = slowStart.isActive(endpoint) && !endpoint.inOutage && !endpoint.connectsFailing;
        long endpointReadyMicros =
                onlySlowStart ? Math.min(atRateMicros, slowStart.endsAtMicros(endpoint)) : atRateMicros;
        return Math.max(limitReadyMicros, endpointReadyMicros);
    }

    private boolean hasFreeSlot(DestinationLimit limit) {
        int slots = state.settings.limits().slots();
        return limit.callsInFlight < Math.max(1, (int) Math.ceil(MAX_SLOT_SHARE_OF_LIMIT * slots));
    }

    /** Whether to await the outcome of a call in flight: a trial in an outage, or a connect where few are accepted. */
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
     * Whether calls to the endpoint use slots but deliver little: it is in an outage, times out, answers slowly or has
     * had a call in flight for long. All such endpoints share a part of the slots, so that several that hang or are
     * slow at once don't starve the others. Slow is relative to the mean over all destinations: if all are slow, none
     * is stalled.
     */
    private boolean isStalled(Endpoint endpoint) {
        double slowMicros = timeouts.slowResponseMicros();
        for (Call call : endpoint.calls) {
            // A call that hangs while later ones are delivered says nothing of the endpoint.
            boolean isSentSinceLastDelivered = call.sentAtMicros > endpoint.lastDeliveredSentAtMicros;
            if (state.overallMeanResponseMicros > 0
                    && isSentSinceLastDelivered
                    && state.nowMicros - call.sentAtMicros > slowMicros) {
                return true;
            }
        }
        boolean hasSlowResponses =
                state.overallMeanResponseMicros > 0 && endpoint.limit.meanResponseMicros > slowMicros;
        return endpoint.inOutage || endpoint.timingOut || hasSlowResponses;
    }
}
