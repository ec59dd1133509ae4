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
import lilaclever.DecisionModule.Ending;
import lilaclever.PolicyState.Endpoint;
import lilaclever.PolicyState.Message;
import org.junit.jupiter.api.Test;

/** The forwarder is in zone 0; message classes have an aim of 2 s and a deadline of 20 s. */
class EndpointSelectionTest {
    private final PolicyFixture fixture = new PolicyFixture();
    private final PolicyParts parts = new PolicyParts(fixture.state);
    private final EndpointSelection selection = parts.selection;
    private final Endpoint endpoint = fixture.endpoint();

    private Message selected() {
        fixture.queue.nextCheckAt = PolicyState.NEVER;
        return selection.select(fixture.queue).message();
    }

    private Endpoint chosen(Message message) {
        return selection.choose(message, fixture.queue.endpoints);
    }

    private Message aged(int messageClass, long micros) {
        Message message = fixture.message(messageClass);
        message.acceptedAt -= micros;
        message.deadline -= micros;
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
        repeated.mayHaveRunSince = fixture.state.now;
        assertEquals(repeated, selected());
    }

    @Test
    void anEndpointThatFailsIsTriedWithWhatCanBeRepeated() {
        endpoint.trialPause = S;
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
        fixture.limit.answerTime = 100 * MS;
        double prompt = selection.rank(message, endpoint);
        fixture.limit.answerTime = 200 * MS;
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
        assertEquals(otherZone, chosen(message), "both cost as much as one call; the first is chosen");
        parts.connections.onCallEnded(warm, Ending.DELIVERED);
        assertEquals(warm, chosen(message));
        message.lastEndpoint = warm;
        assertEquals(warm, chosen(message), "having had the last attempt costs less than a new connection");
        warm.callsInFlight = 2;
        assertEquals(otherZone, chosen(message));
    }

    @Test
    void theQueueIsLookedAtAgainWhenSomethingMayGo() {
        fixture.queue.nextCheckAt = PolicyState.NEVER;
        Message message = fixture.message(SAFE);
        message.notBefore = fixture.state.now + 300 * MS;
        assertNull(selection.select(fixture.queue));
        assertEquals(message.notBefore, fixture.queue.nextCheckAt);
        endpoint.avoidUntil = fixture.state.now + 200 * MS;
        assertNull(selection.select(fixture.queue));
        assertEquals(endpoint.avoidUntil, fixture.queue.nextCheckAt);
    }

    @Test
    void whatCannotGoInTimeIsHopelessUnlessACallIsInFlight() {
        Message shortOfTime = aged(SAFE, 19 * S);
        fixture.message(SAFE);
        parts.limits.onWait(fixture.limit, 2 * S);
        assertNull(selection.select(fixture.queue));
        assertEquals(List.of(shortOfTime), selection.hopeless());
        selection.clearHopeless();
        endpoint.callsInFlight = 1;
        assertNull(selection.select(fixture.queue));
        assertTrue(selection.hopeless().isEmpty());
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
