package lilaclever;

import static lilaclever.PolicyState.NEVER;

import lilaclever.DecisionModule.KeyScope;
import lilaclever.PolicyState.Endpoint;
import lilaclever.PolicyState.Message;

/**
 * Conditions that every send must satisfy: the message's state, attempts and deadline, retry-after periods, drains, the
 * order of its key, the shutdown of the program, and whether a repeat is allowed at that endpoint.
 */
final class SendRules {
    private final PolicyState state;
    private final CallTimeouts timeouts;
    private final RetrySchedule retries;
    private final KeyOrder keyOrder;
    private final EndpointAvailability availability;

    SendRules(
            PolicyState state,
            CallTimeouts timeouts,
            RetrySchedule retries,
            KeyOrder keyOrder,
            EndpointAvailability availability) {
        this.state = state;
        this.timeouts = timeouts;
        this.retries = retries;
        this.keyOrder = keyOrder;
        this.availability = availability;
    }

    /** Whether the message may be sent to the endpoint now. */
    boolean permit(Message message, Endpoint endpoint) {
        return isDue(message)
                && endpoint.queue == message.queue
                && endpoint.active
                && state.nowMicros >= endpoint.limit.retryAfterUntilMicros
                && keyOrder.permits(message)
                && endsBeforeShutdown(message, endpoint)
                && isRepeatAllowed(message, endpoint)
                && availability.readyAtMicros(endpoint) <= state.nowMicros;
    }

    private boolean isDue(Message message) {
        return !message.finished
                && message.inFlightEndpoint == null
                && message.attempts < state.settings.limits().maxAttempts()
                && state.nowMicros >= message.notBeforeMicros
                && message.deadlineAtMicros - state.nowMicros >= CallTimeouts.MIN_TIMEOUT_MICROS;
    }

    /** A call cut off by shutdown may have taken effect, so one that may not end in time isn't started. */
    private boolean endsBeforeShutdown(Message message, Endpoint endpoint) {
        return state.stopAtMicros >= NEVER
                || state.nowMicros + timeouts.timeoutMicros(message, endpoint.limit) <= state.stopAtMicros;
    }

    /** Whether the message has no uncertain attempt, or another attempt at this endpoint is allowed nevertheless. */
    private boolean isRepeatAllowed(Message message, Endpoint endpoint) {
        if (!message.mayHaveRun) {
            return true;
        }
        return switch (message.messageClass.repeat()) {
            case SAFE -> true;
            case KEYED -> state.nowMicros < retries.repeatWindowEndMicros(message) && remembersKey(message, endpoint);
            case UNSAFE -> false;
        };
    }

    private static boolean remembersKey(Message message, Endpoint endpoint) {
        return message.messageClass.group() != KeyScope.ZONE || endpoint.zone == message.uncertainZone;
    }
}
