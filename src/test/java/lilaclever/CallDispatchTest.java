package lilaclever;

import static lilaclever.Rig.KEYED;
import static lilaclever.Rig.MS;
import static lilaclever.Rig.S;
import static lilaclever.Rig.SAFE;
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

    private List<String> sent() {
        return fixture.state.actions.stream()
                .filter(Action.Send.class::isInstance)
                .map(action -> ((Action.Send) action).id())
                .toList();
    }

    /** Adds an endpoint of another destination, which takes up to {@code batch} messages in a call. */
    private Endpoint elsewhere(int batch) {
        DestinationQueue queue = new DestinationQueue();
        queue.sharedLimit = new DestinationLimit();
        Endpoint endpoint = new Endpoint("other", queue, queue.sharedLimit, 0, 0, batch);
        endpoint.active = true;
        endpoint.trialPause = S;
        queue.endpoints.add(endpoint);
        queue.sharedLimit.endpoints.add(endpoint);
        fixture.state.queues.put(2, queue);
        return endpoint;
    }

    private Message messageFor(Endpoint endpoint, double worth) {
        Message message = fixture.message(SAFE);
        fixture.state.dequeue(message);
        message.queue = endpoint.queue;
        message.worth = worth;
        fixture.state.enqueue(message);
        return message;
    }

    @Test
    void theMostWorthGoesFirstUntilSlotsAreUsedUp() {
        Endpoint endpoint = fixture.endpoint();
        Endpoint other = elsewhere(1);
        Message first = fixture.message(SAFE);
        Message second = fixture.message(SAFE);
        Message worthMore = messageFor(other, 2);
        Message worthLess = messageFor(other, 0.5);
        Message third = fixture.message(SAFE);
        dispatch();
        assertEquals(List.of(worthMore.id, first.id, second.id, third.id), sent());
        assertEquals(
                List.of(worthLess),
                List.copyOf(fixture.state.queuesWaiting.iterator().next().waiting));
        assertEquals(4, fixture.state.slotsInUse);
        assertEquals(3, endpoint.callsInFlight);
    }

    @Test
    void aMessageIsDroppedAtItsTimeOutOrDeadlineOrTheEndOfItsWindow() {
        fixture.endpoint();
        Message message = fixture.message(SAFE);
        Message shortOfTime = fixture.message(SAFE);
        shortOfTime.deadline = fixture.state.now + S;
        Message repeated = fixture.message(KEYED);
        repeated.mayHaveRun = true;
        repeated.mayHaveRunSince = fixture.state.now - 4 * S;
        dispatch();
        assertEquals(
                List.of(
                        new Action.Send(repeated.id, "e0", fixture.state.now + 995 * MS),
                        new Action.Send(message.id, "e0", fixture.state.now + 2 * S),
                        new Action.Send(shortOfTime.id, "e0", fixture.state.now + S)),
                fixture.state.actions);
    }

    @Test
    void othersOfTheQueueGoAlongInOneCall() {
        Endpoint batching = elsewhere(3);
        Message first = messageFor(batching, 1);
        Message second = messageFor(batching, 1);
        Message third = messageFor(batching, 1);
        Message fourth = messageFor(batching, 1);
        dispatch();
        assertEquals(List.of(first.id, second.id, third.id, fourth.id), sent());
        assertEquals(2, fixture.state.slotsInUse);
        assertEquals(3, first.call.outcomesDue);
        assertEquals(1, fourth.call.outcomesDue);
    }

    @Test
    void aTrialGoesAlone() {
        Endpoint batching = elsewhere(3);
        batching.inOutage = true;
        Message first = messageFor(batching, 1);
        messageFor(batching, 1);
        dispatch();
        assertEquals(List.of(first.id), sent());
    }

    @Test
    void theNextLookIsWhenSomethingMayGo() {
        Endpoint endpoint = fixture.endpoint();
        fixture.message(SAFE);
        endpoint.avoidUntil = fixture.state.now + 300 * MS;
        assertEquals(fixture.state.now + 300 * MS, dispatch());
        assertEquals(List.of(), sent());
    }

    @Test
    void withAllSlotsTakenCallsThatAreOverdueMakeRoom() {
        Endpoint endpoint = fixture.endpoint();
        Message hanging = fixture.message(SAFE);
        fixture.call(hanging, endpoint);
        fixture.state.slotsInUse = 4;
        messageFor(elsewhere(1), 1);
        assertEquals(fixture.state.now + 400 * MS, dispatch());
        fixture.later(400 * MS);
        dispatch();
        assertEquals(List.of(new Action.Cancel(hanging.id, 0)), fixture.state.actions);
    }

    @Test
    void anEndedCallFreesItsSlot() {
        Endpoint endpoint = fixture.endpoint();
        Message message = fixture.message(SAFE);
        dispatch();
        parts.dispatch.end(message.call);
        assertEquals(0, fixture.state.slotsInUse);
        assertEquals(0, endpoint.callsInFlight);
        assertEquals(0, fixture.limit.callsInFlight);
        assertTrue(fixture.state.calls.isEmpty() && endpoint.calls.isEmpty());
    }
}
