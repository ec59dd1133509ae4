package lilaclever;

import static lilaclever.PolicyState.NEVER;

import lilaclever.DecisionModule.Group;
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
                && state.now >= endpoint.limit.waitUntil
                && keyOrder.permits(message)
                && endsBeforeTheProgram(message, endpoint)
                && isHarmless(message, endpoint)
                && availability.readyAt(endpoint) <= state.now;
    }

    private boolean isDue(Message message) {
        return !message.finished
                && message.inFlightTo == null
                && message.attempts < state.settings.limits().maxAttempts()
                && state.now >= message.notBefore
                && message.deadline - state.now >= CallTimeouts.SHORTEST;
    }

    /** A call cut off by shutdown may have taken effect, so one that may not end in time isn't started. */
    private boolean endsBeforeTheProgram(Message message, Endpoint endpoint) {
        return state.stopAt >= NEVER || state.now + timeouts.timeout(message, endpoint.limit) <= state.stopAt;
    }

    /** Whether the message has no uncertain attempt, or another attempt at this endpoint is allowed nevertheless. */
    private boolean isHarmless(Message message, Endpoint endpoint) {
        if (!message.mayHaveRun) {
            return true;
        }
        return switch (message.messageClass.repeat()) {
            case SAFE -> true;
            case KEYED -> state.now < retries.windowEnd(message) && remembersKey(message, endpoint);
            case UNSAFE -> false;
        };
    }

    private static boolean remembersKey(Message message, Endpoint endpoint) {
        return message.messageClass.group() != Group.ZONE || endpoint.zone == message.mayHaveRunZone;
    }
}
