package lilaclever;

import static lilaclever.DecisionModuleHarness.SECOND_MICROS;

import java.util.ArrayList;
import lilaclever.DecisionModule.MessageClass;
import lilaclever.DecisionModule.Settings;
import lilaclever.PolicyState.Call;
import lilaclever.PolicyState.DestinationLimit;
import lilaclever.PolicyState.DestinationQueue;
import lilaclever.PolicyState.Endpoint;
import lilaclever.PolicyState.Message;

/** State for tests of single classes of the decision module: one destination, its endpoints and messages. */
final class PolicyFixture {
    /** Above {@link PolicyState#LARGE_FLEET_THRESHOLD}. */
    static final int LARGE_FLEET_SIZE = 200;

    final PolicyState state;
    final DestinationQueue queue;
    final DestinationLimit limit;
    private int namesUsed;

    PolicyFixture() {
        this(2);
    }

    /** State of one of {@code forwarders} forwarders, with the clock at 1,000 s. */
    PolicyFixture(int forwarders) {
        this(DecisionModuleHarness.settings(4, 50, 6, false, forwarders));
    }

    PolicyFixture(Settings settings) {
        state = new PolicyState(settings, 1);
        state.nowMicros = 1000 * SECOND_MICROS;
        queue = new DestinationQueue();
        limit = new DestinationLimit();
        queue.latestLimit = limit;
        state.queues.put(1, queue);
    }

    /** Adds an active endpoint in zone 0, of kind 0. */
    Endpoint addEndpoint() {
        Endpoint endpoint = new Endpoint("e" + namesUsed++, queue, limit, 0, 0, 1);
        endpoint.active = true;
        queue.endpoints.add(endpoint);
        limit.endpoints.add(endpoint);
        return endpoint;
    }

    /** Adds a waiting message, accepted now, of a class of the settings by its index. */
    Message addMessage(int classIndex) {
        MessageClass messageClass = state.settings.classes().get(classIndex);
        Message message = new Message("m" + namesUsed++, messageClass);
        message.queue = queue;
        message.worth = messageClass.worth();
        message.acceptedAtMicros = state.nowMicros;
        message.deadlineAtMicros = state.nowMicros + messageClass.deadlineMicros();
        state.enqueue(message);
        return message;
    }

    /** Starts a call with the message, sent now. */
    Call startCall(Message message, Endpoint endpoint) {
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

    /** Starts a round {@code micros} later, with no actions yet. */
    void advanceClock(long micros) {
        state.nowMicros += micros;
        state.actions = new ArrayList<>();
    }
}
