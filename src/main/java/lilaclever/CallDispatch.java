package lilaclever;

import static lilaclever.PolicyState.NEVER;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import lilaclever.DecisionModule.Action;
import lilaclever.PolicyState.Call;
import lilaclever.PolicyState.DestinationQueue;
import lilaclever.PolicyState.Endpoint;
import lilaclever.PolicyState.Message;
import lilaclever.PolicyState.SendCandidate;

/** Sends candidates by descending rank while slots are free, and keeps track of calls in flight. */
final class CallDispatch {
    private final PolicyState state;
    private final CallTimeouts timeouts;
    private final ConnectionReuse connections;
    private final RetrySchedule retries;
    private final SendRules rules;
    private final EndpointSelection selection;

    CallDispatch(
            PolicyState state,
            CallTimeouts timeouts,
            ConnectionReuse connections,
            RetrySchedule retries,
            SendRules rules,
            EndpointSelection selection) {
        this.state = state;
        this.timeouts = timeouts;
        this.connections = connections;
        this.retries = retries;
        this.rules = rules;
        this.selection = selection;
    }

    /**
     * Returns the best candidate of each destination with waiting messages, in the order in which they began to wait.
     */
    List<SendCandidate> candidates() {
        List<SendCandidate> candidates = new ArrayList<>();
        for (DestinationQueue queue : state.nonEmptyQueues) {
            queue.nextCheckAtMicros = NEVER;
            SendCandidate candidate = selection.select(queue);
            if (candidate != null) {
                candidates.add(candidate);
            }
        }
        return candidates;
    }

    /**
     * Sends the candidates by descending rank, each followed by the next one of its destination, until slots or
     * candidates are used up. Returns when to try again, in microseconds.
     */
    long send(List<SendCandidate> candidates) {
        while (!candidates.isEmpty()
                && state.slotsInUse < state.settings.limits().slots()) {
            SendCandidate best = Collections.max(candidates, Comparator.comparingDouble(SendCandidate::rank));
            candidates.remove(best);
            // Calls sent since it was selected may have used up its share of the slots.
            if (rules.permit(best.message(), best.endpoint())) {
                startCall(best.message(), best.endpoint());
            }
            SendCandidate nextCandidate = selection.select(best.message().queue);
            if (nextCandidate != null) {
                candidates.add(nextCandidate);
            }
        }
        long nextCheckAtMicros = state.nonEmptyQueues.stream()
                .mapToLong(queue -> queue.nextCheckAtMicros)
                .min()
                .orElse(NEVER);
        return candidates.isEmpty()
                ? nextCheckAtMicros
                : Math.min(nextCheckAtMicros, timeouts.cancelOverdue(candidates.size()));
    }

    /** Starts a call with the message and, where calls may carry several, others of its queue. */
    private void startCall(Message message, Endpoint endpoint) {
        Call call = new Call();
        call.sentAtMicros = state.nowMicros;
        call.endpoint = endpoint;
        endpoint.calls.add(call);
        state.calls.add(call);
        startAttempt(message, call);
        if (endpoint.maxBatchSize > 1 && !endpoint.inOutage) {
            fillBatch(call);
        }
        state.slotsInUse++;
        endpoint.callsInFlight++;
        endpoint.limit.callsInFlight++;
        endpoint.limit.lastSentAtMicros = state.nowMicros;
        endpoint.lastSentAtMicros = state.nowMicros;
        connections.onSend(endpoint);
    }

    /**
     * Adds waiting messages to the call, which is free as limits count calls. Trial calls get none, as their failure
     * would fail all messages in them.
     */
    private void fillBatch(Call call) {
        for (Message message : List.copyOf(call.endpoint.queue.waiting)) {
            if (call.pendingOutcomes >= call.endpoint.maxBatchSize) {
                break;
            }
            if (rules.permit(message, call.endpoint)) {
                startAttempt(message, call);
            }
        }
    }

    private void startAttempt(Message message, Call call) {
        Endpoint endpoint = call.endpoint;
        state.dequeue(message);
        message.attempts++;
        message.inFlightEndpoint = endpoint;
        message.call = call;
        call.messages.add(message);
        message.sentAtMicros = state.nowMicros;
        message.lastEndpoint = endpoint;
        call.pendingOutcomes++;
        // A connection that is established late must not carry the message after its repeat window.
        long timeoutAtMicros = state.nowMicros + timeouts.timeoutMicros(message, endpoint.limit);
        long dropAtMicros =
                Math.min(Math.min(message.deadlineAtMicros, timeoutAtMicros), retries.repeatWindowEndMicros(message));
        state.actions.add(new Action.Send(message.id, endpoint.host, dropAtMicros));
    }

    /** Frees the slot of a call after the outcomes of all its messages were reported. */
    void releaseSlot(Call call) {
        Endpoint endpoint = call.endpoint;
        state.slotsInUse--;
        endpoint.callsInFlight--;
        endpoint.calls.remove(call);
        state.calls.remove(call);
        endpoint.limit.callsInFlight--;
    }
}
