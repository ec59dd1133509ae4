package lilaclever;

import static lilaclever.Rig.S;

import java.util.ArrayList;
import lilaclever.DecisionModule.MessageClass;
import lilaclever.DecisionModule.Settings;
import lilaclever.PolicyState.Call;
import lilaclever.PolicyState.DestinationLimit;
import lilaclever.PolicyState.DestinationQueue;
import lilaclever.PolicyState.Endpoint;
import lilaclever.PolicyState.Message;

/** State for tests of single parts of the decision module: one destination, its endpoints and messages. */
final class PolicyFixture {
    /** Above {@link PolicyState#LARGE_FLEET_THRESHOLD}. */
    static final int LARGE = 200;

    final PolicyState state;
    final DestinationQueue queue;
    final DestinationLimit limit;
    private int names;

    PolicyFixture() {
        this(2);
    }

    /** State of one of {@code relays} forwarders at 1,000 s. */
    PolicyFixture(int relays) {
        this(Rig.settings(4, 50, 6, false, relays));
    }

    PolicyFixture(Settings settings) {
        state = new PolicyState(settings, 1);
        state.nowMicros = 1000 * S;
        queue = new DestinationQueue();
        limit = new DestinationLimit();
        queue.latestLimit = limit;
        state.queues.put(1, queue);
    }

    /** Adds an active endpoint in zone 0, of kind 0. */
    Endpoint endpoint() {
        Endpoint endpoint = new Endpoint("e" + names++, queue, limit, 0, 0, 1);
        endpoint.active = true;
        queue.endpoints.add(endpoint);
        limit.endpoints.add(endpoint);
        return endpoint;
    }

    /** A message of a class of {@link Rig#settings}, accepted now, that waits. */
    Message message(int messageClass) {
        MessageClass kind = state.settings.classes().get(messageClass);
        Message message = new Message("m" + names++, kind);
        message.queue = queue;
        message.worth = kind.worth();
        message.acceptedAtMicros = state.nowMicros;
        message.deadlineAtMicros = state.nowMicros + kind.deadlineMicros();
        state.enqueue(message);
        return message;
    }

    /** Puts a call of the message in flight, sent now. */
    Call call(Message message, Endpoint endpoint) {
        Call call = new Call();
        call.endpoint = endpoint;
        call.sentAtMicros = state.nowMicros;
        call.pendingOutcomes = 1;
        call.messages.add(message);
        state.dequeue(message);
        message.call = call;
        message.inFlightEndpoint = endpoint;
        message.sentAtMicros = state.nowMicros;
        message.attempts++;
        endpoint.calls.add(call);
        endpoint.callsInFlight++;
        endpoint.limit.callsInFlight++;
        endpoint.lastSentAtMicros = state.nowMicros;
        endpoint.limit.lastSentAtMicros = state.nowMicros;
        state.calls.add(call);
        state.slotsInUse++;
        return call;
    }

    /** Starts a round, so many microseconds later, with no actions yet. */
    void later(long micros) {
        state.nowMicros += micros;
        state.actions = new ArrayList<>();
    }
}
