package lilaclever;

import static lilaclever.DecisionModuleHarness.KEYED;
import static lilaclever.DecisionModuleHarness.MILLISECOND_MICROS;
import static lilaclever.DecisionModuleHarness.SAFE;
import static lilaclever.DecisionModuleHarness.SECOND_MICROS;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import lilaclever.DecisionModule.Action;
import lilaclever.PolicyState.DestinationLimit;
import lilaclever.PolicyState.DestinationQueue;
import lilaclever.PolicyState.Endpoint;
import lilaclever.PolicyState.Message;
import org.junit.jupiter.api.Test;

/** There are four slots, of which one limit may use three. */
class CallDispatchTest {
    private final PolicyFixture fixture = new PolicyFixture();
    private final PolicyParts parts = new PolicyParts(fixture.state);

    private long dispatch() {
        return parts.dispatch.send(parts.dispatch.candidates());
    }

    private List<String> idsSent() {
        return fixture.state.actions.stream()
                .filter(Action.Send.class::isInstance)
                .map(action -> ((Action.Send) action).id())
                .toList();
    }

    /** Adds an endpoint of another destination, which takes up to {@code batch} messages in a call. */
    private Endpoint endpointOfOtherDestination(int batch) {
        DestinationQueue queue = new DestinationQueue();
        queue.latestLimit = new DestinationLimit();
        Endpoint endpoint = new Endpoint("other", queue, queue.latestLimit, 0, 0, batch);
        endpoint.active = true;
        endpoint.trialIntervalMicros = SECOND_MICROS;
        queue.endpoints.add(endpoint);
        queue.latestLimit.endpoints.add(endpoint);
        fixture.state.queues.put(2, queue);
        return endpoint;
    }

    private Message messageFor(Endpoint endpoint, double worth) {
        Message message = fixture.addMessage(SAFE);
        fixture.state.dequeue(message);
        message.queue = endpoint.queue;
        message.worth = worth;
        fixture.state.enqueue(message);
        return message;
    }

    @Test
    void messagesGoInOrderOfWorthUntilSlotsAreUsedUp() {
        Endpoint endpoint = fixture.addEndpoint();
        Endpoint other = endpointOfOtherDestination(1);
        Message first = fixture.addMessage(SAFE);
        Message second = fixture.addMessage(SAFE);
        Message worthMore = messageFor(other, 2);
        Message worthLess = messageFor(other, 0.5);
        Message third = fixture.addMessage(SAFE);
        dispatch();
        assertEquals(List.of(worthMore.id, first.id, second.id, third.id), idsSent());
        assertEquals(
                List.of(worthLess),
                List.copyOf(fixture.state.nonEmptyQueues.iterator().next().waiting));
        assertEquals(4, fixture.state.slotsInUse);
        assertEquals(3, endpoint.callsInFlight);
    }

    @Test
    void anAttemptIsDroppedAtItsTimeoutItsDeadlineOrTheEndOfItsRepeatWindow() {
        fixture.addEndpoint();
        Message message = fixture.addMessage(SAFE);
        Message shortOfTime = fixture.addMessage(SAFE);
        shortOfTime.deadlineAtMicros = fixture.state.nowMicros + SECOND_MICROS;
        Message repeated = fixture.addMessage(KEYED);
        repeated.mayHaveRun = true;
        repeated.uncertainSentAtMicros = fixture.state.nowMicros - 4 * SECOND_MICROS;
        dispatch();
        assertEquals(
                List.of(
                        new Action.Send(repeated.id, "e0", fixture.state.nowMicros + 995 * MILLISECOND_MICROS),
                        new Action.Send(message.id, "e0", fixture.state.nowMicros + 2 * SECOND_MICROS),
                        new Action.Send(shortOfTime.id, "e0", fixture.state.nowMicros + SECOND_MICROS)),
                fixture.state.actions);
    }

    @Test
    void messagesOfOneQueueAreBatchedIntoCalls() {
        Endpoint batching = endpointOfOtherDestination(3);
        Message first = messageFor(batching, 1);
        Message second = messageFor(batching, 1);
        Message third = messageFor(batching, 1);
        Message fourth = messageFor(batching, 1);
        dispatch();
        assertEquals(List.of(first.id, second.id, third.id, fourth.id), idsSent());
        assertEquals(2, fixture.state.slotsInUse);
        assertEquals(3, first.call.pendingOutcomes);
        assertEquals(1, fourth.call.pendingOutcomes);
    }

    @Test
    void aTrialCallCarriesOneMessage() {
        Endpoint batching = endpointOfOtherDestination(3);
        batching.inOutage = true;
        Message first = messageFor(batching, 1);
        messageFor(batching, 1);
        dispatch();
        assertEquals(List.of(first.id), idsSent());
    }

    @Test
    void theNextCheckIsWhenAMessageMayFirstBeSent() {
        Endpoint endpoint = fixture.addEndpoint();
        fixture.addMessage(SAFE);
        endpoint.avoidUntilMicros = fixture.state.nowMicros + 300 * MILLISECOND_MICROS;
        assertEquals(fixture.state.nowMicros + 300 * MILLISECOND_MICROS, dispatch());
        assertEquals(List.of(), idsSent());
    }

    @Test
    void overdueCallsAreCancelledWhenAllSlotsAreTaken() {
        Endpoint endpoint = fixture.addEndpoint();
        Message unanswered = fixture.addMessage(SAFE);
        fixture.startCall(unanswered, endpoint);
        fixture.state.slotsInUse = 4;
        messageFor(endpointOfOtherDestination(1), 1);
        assertEquals(fixture.state.nowMicros + 400 * MILLISECOND_MICROS, dispatch());
        fixture.advanceClock(400 * MILLISECOND_MICROS);
        dispatch();
        assertEquals(List.of(new Action.Cancel(unanswered.id, 0)), fixture.state.actions);
    }

    @Test
    void anEndedCallFreesItsSlot() {
        Endpoint endpoint = fixture.addEndpoint();
        Message message = fixture.addMessage(SAFE);
        dispatch();
        parts.dispatch.releaseSlot(message.call);
        assertEquals(0, fixture.state.slotsInUse);
        assertEquals(0, endpoint.callsInFlight);
        assertEquals(0, fixture.limit.callsInFlight);
        assertTrue(fixture.state.calls.isEmpty() && endpoint.calls.isEmpty());
    }
}
