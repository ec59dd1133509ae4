package lilaclever;

import static lilaclever.Rig.KEYED;
import static lilaclever.Rig.MS;
import static lilaclever.Rig.S;
import static lilaclever.Rig.SAFE;
import static lilaclever.Rig.UNSAFE;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import lilaclever.DecisionModule.AttemptResult;
import lilaclever.PolicyState.Endpoint;
import lilaclever.PolicyState.Message;
import org.junit.jupiter.api.Test;

/** The rig's forwarder is in zone 0; its classes have an aim of 2 s and a deadline of 20 s. */
class EndpointSelectionTest {
    private final PolicyFixture fixture = new PolicyFixture();
    private final PolicyParts parts = new PolicyParts(fixture.state);
    private final EndpointSelection selection = parts.selection;
    private final Endpoint endpoint = fixture.endpoint();

    private Message selected() {
        fixture.queue.nextCheckAtMicros = PolicyState.NEVER;
        return selection.select(fixture.queue).message();
    }

    private Endpoint chosen(Message message) {
        return selection.choose(message, fixture.queue.endpoints);
    }

    private Message aged(int messageClass, long micros) {
        Message message = fixture.message(messageClass);
        message.acceptedAtMicros -= micros;
        message.deadlineAtMicros -= micros;
        return message;
    }

    @Test
    void nothingIsSelectedFromAnEmptyQueue() {
        assertNull(selection.select(fixture.queue));
    }

    @Test
    void theFirstOfEqualMessagesGoesFirst() {
        Message first = fixture.message(SAFE);
        fixture.message(SAFE);
        assertEquals(first, selected());
    }

    @Test
    void whatIsAboutToBeLateGoesFirstAndWhatIsLateLast() {
        aged(SAFE, 15 * S);
        aged(SAFE, S);
        Message nearlyLate = aged(SAFE, 1_900 * MS);
        fixture.message(SAFE);
        assertEquals(nearlyLate, selected());
    }

    @Test
    void worthFallsEvenlyAfterTheAim() {
        double fresh = selection.rank(aged(SAFE, 2 * S), endpoint);
        assertEquals(fresh / 2, selection.rank(aged(SAFE, 11 * S), endpoint), fresh / 1_000);
        assertEquals(0, selection.rank(aged(SAFE, 20 * S), endpoint), fresh / 1_000);
    }

    @Test
    void aMessageWhoseWindowIsRunningGoesBeforeOthers() {
        fixture.message(KEYED);
        Message repeated = fixture.message(KEYED);
        repeated.mayHaveRun = true;
        repeated.uncertainSentAtMicros = fixture.state.nowMicros;
        assertEquals(repeated, selected());
    }

    @Test
    void anEndpointThatFailsIsTriedWithWhatCanBeRepeated() {
        endpoint.trialIntervalMicros = S;
        endpoint.inOutage = true;
        fixture.message(UNSAFE);
        fixture.message(KEYED);
        Message safe = fixture.message(SAFE);
        assertEquals(safe, selected());
        fixture.state.dequeue(safe);
        assertEquals(KEYED, fixture.state.settings.classes().indexOf(selected().messageClass));
    }

    @Test
    void whatIsSoonerDoneRanksHigher() {
        Message message = fixture.message(SAFE);
        fixture.limit.meanResponseMicros = 100 * MS;
        double prompt = selection.rank(message, endpoint);
        fixture.limit.meanResponseMicros = 200 * MS;
        assertEquals(prompt / 2, selection.rank(message, endpoint), prompt / 1_000);
    }

    @Test
    void theEndpointWithFewerCallsIsChosenThenTheOwnZoneThenAnIdleConnection() {
        Endpoint otherZone = new Endpoint("far", fixture.queue, fixture.limit, 1, 0, 1);
        otherZone.active = true;
        fixture.queue.endpoints.add(otherZone);
        Message message = fixture.message(SAFE);
        assertEquals(endpoint, chosen(message));
        fixture.call(fixture.message(SAFE), endpoint);
        fixture.call(fixture.message(SAFE), endpoint);
        assertEquals(otherZone, chosen(message));
        Endpoint warm = fixture.endpoint();
        warm.callsInFlight = 1;
        assertEquals(otherZone, chosen(message), "both cost one call; the first of them");
        parts.connections.onCallEnded(warm, AttemptResult.DELIVERED);
        assertEquals(warm, chosen(message));
        message.lastEndpoint = warm;
        assertEquals(warm, chosen(message), "half a call for being the last one is less than a connect");
        warm.callsInFlight = 2;
        assertEquals(otherZone, chosen(message));
    }

    @Test
    void theQueueIsLookedAtAgainWhenSomethingMayGo() {
        fixture.queue.nextCheckAtMicros = PolicyState.NEVER;
        Message message = fixture.message(SAFE);
        message.notBeforeMicros = fixture.state.nowMicros + 300 * MS;
        assertNull(selection.select(fixture.queue));
        assertEquals(message.notBeforeMicros, fixture.queue.nextCheckAtMicros);
        endpoint.avoidUntilMicros = fixture.state.nowMicros + 200 * MS;
        assertNull(selection.select(fixture.queue));
        assertEquals(endpoint.avoidUntilMicros, fixture.queue.nextCheckAtMicros);
    }

    @Test
    void whatCannotGoInTimeIsHopelessUnlessACallIsInFlight() {
        Message shortOfTime = aged(SAFE, 19 * S);
        fixture.message(SAFE);
        parts.limits.onRetryAfter(fixture.limit, 2 * S);
        assertNull(selection.select(fixture.queue));
        assertEquals(List.of(shortOfTime), selection.undeliverable());
        selection.clearUndeliverable();
        endpoint.callsInFlight = 1;
        assertNull(selection.select(fixture.queue));
        assertTrue(selection.undeliverable().isEmpty());
    }

    @Test
    void aLongQueueIsNotLookedThroughToItsEnd() {
        for (int i = 0; i < 500; i++) {
            fixture.message(SAFE);
        }
        Message beyond = fixture.message(SAFE);
        beyond.worth = 100;
        assertEquals(fixture.queue.waiting.iterator().next(), selected());
        fixture.state.dequeue(fixture.queue.waiting.iterator().next());
        assertEquals(beyond, selected());
    }
}
