package lilaclever;

import static lilaclever.DecisionModuleHarness.KEYED;
import static lilaclever.DecisionModuleHarness.MILLISECOND_MICROS;
import static lilaclever.DecisionModuleHarness.SAFE;
import static lilaclever.DecisionModuleHarness.SECOND_MICROS;
import static lilaclever.DecisionModuleHarness.UNSAFE;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import lilaclever.DecisionModule.AttemptResult;
import lilaclever.PolicyState.Endpoint;
import lilaclever.PolicyState.Message;
import org.junit.jupiter.api.Test;

/** The forwarder is in zone 0; message classes have an aim of 2 s and a deadline of 20 s. */
class EndpointSelectionTest {
    private final PolicyFixture fixture = new PolicyFixture();
    private final PolicyParts parts = new PolicyParts(fixture.state);
    private final EndpointSelection selection = parts.selection;
    private final Endpoint endpoint = fixture.addEndpoint();

    private Message selected() {
        fixture.queue.nextCheckAtMicros = PolicyState.NEVER;
        return selection.select(fixture.queue).message();
    }

    private Endpoint chosen(Message message) {
        return selection.choose(message, fixture.queue.endpoints);
    }

    private Message aged(int messageClass, long ageMicros) {
        Message message = fixture.addMessage(messageClass);
        message.acceptedAtMicros -= ageMicros;
        message.deadlineAtMicros -= ageMicros;
        return message;
    }

    @Test
    void nothingIsSelectedFromAnEmptyQueue() {
        assertNull(selection.select(fixture.queue));
    }

    @Test
    void theFirstOfEqualMessagesGoesFirst() {
        Message first = fixture.addMessage(SAFE);
        fixture.addMessage(SAFE);
        assertEquals(first, selected());
    }

    @Test
    void messagesAboutToMissTheirAimGoFirst() {
        aged(SAFE, 15 * SECOND_MICROS);
        aged(SAFE, SECOND_MICROS);
        Message nearlyLate = aged(SAFE, 1_900 * MILLISECOND_MICROS);
        fixture.addMessage(SAFE);
        assertEquals(nearlyLate, selected());
    }

    @Test
    void worthFallsLinearlyAfterTheAim() {
        double worthAtAim = selection.rank(aged(SAFE, 2 * SECOND_MICROS), endpoint);
        assertEquals(worthAtAim / 2, selection.rank(aged(SAFE, 11 * SECOND_MICROS), endpoint), worthAtAim / 1_000);
        assertEquals(0, selection.rank(aged(SAFE, 20 * SECOND_MICROS), endpoint), worthAtAim / 1_000);
    }

    @Test
    void aMessageWithARunningRepeatWindowGoesBeforeOthers() {
        fixture.addMessage(KEYED);
        Message repeated = fixture.addMessage(KEYED);
        repeated.mayHaveRun = true;
        repeated.uncertainSentAtMicros = fixture.state.nowMicros;
        assertEquals(repeated, selected());
    }

    @Test
    void aFailingEndpointIsTriedWithMessagesThatCanBeRepeated() {
        endpoint.trialIntervalMicros = SECOND_MICROS;
        endpoint.inOutage = true;
        fixture.addMessage(UNSAFE);
        fixture.addMessage(KEYED);
        Message safe = fixture.addMessage(SAFE);
        assertEquals(safe, selected());
        fixture.state.dequeue(safe);
        assertEquals(KEYED, fixture.state.settings.classes().indexOf(selected().messageClass));
    }

    @Test
    void aShorterAnswerTimeRanksHigher() {
        Message message = fixture.addMessage(SAFE);
        fixture.limit.meanResponseMicros = 100 * MILLISECOND_MICROS;
        double promptRank = selection.rank(message, endpoint);
        fixture.limit.meanResponseMicros = 200 * MILLISECOND_MICROS;
        assertEquals(promptRank / 2, selection.rank(message, endpoint), promptRank / 1_000);
    }

    @Test
    void endpointsAreChosenByCallsInFlightThenZoneThenIdleConnection() {
        Endpoint otherZone = new Endpoint("far", fixture.queue, fixture.limit, 1, 0, 1);
        otherZone.active = true;
        fixture.queue.endpoints.add(otherZone);
        Message message = fixture.addMessage(SAFE);
        assertEquals(endpoint, chosen(message));
        fixture.startCall(fixture.addMessage(SAFE), endpoint);
        fixture.startCall(fixture.addMessage(SAFE), endpoint);
        assertEquals(otherZone, chosen(message));
        Endpoint connected = fixture.addEndpoint();
        connected.callsInFlight = 1;
        assertEquals(otherZone, chosen(message), "both cost as much as one call; the first is chosen");
        parts.connections.onCallEnded(connected, AttemptResult.DELIVERED);
        assertEquals(connected, chosen(message));
        message.lastEndpoint = connected;
        assertEquals(connected, chosen(message), "having had the last attempt costs less than a new connection");
        connected.callsInFlight = 2;
        assertEquals(otherZone, chosen(message));
    }

    @Test
    void theQueueIsCheckedAgainWhenAMessageMayFirstBeSent() {
        fixture.queue.nextCheckAtMicros = PolicyState.NEVER;
        Message message = fixture.addMessage(SAFE);
        message.notBeforeMicros = fixture.state.nowMicros + 300 * MILLISECOND_MICROS;
        assertNull(selection.select(fixture.queue));
        assertEquals(message.notBeforeMicros, fixture.queue.nextCheckAtMicros);
        endpoint.avoidUntilMicros = fixture.state.nowMicros + 200 * MILLISECOND_MICROS;
        assertNull(selection.select(fixture.queue));
        assertEquals(endpoint.avoidUntilMicros, fixture.queue.nextCheckAtMicros);
    }

    @Test
    void messagesThatCannotGoInTimeAreUndeliverableUnlessACallIsInFlight() {
        Message shortOfTime = aged(SAFE, 19 * SECOND_MICROS);
        fixture.addMessage(SAFE);
        parts.limits.onRetryAfter(fixture.limit, 2 * SECOND_MICROS);
        assertNull(selection.select(fixture.queue));
        assertEquals(List.of(shortOfTime), selection.undeliverable());
        selection.clearUndeliverable();
        endpoint.callsInFlight = 1;
        assertNull(selection.select(fixture.queue));
        assertTrue(selection.undeliverable().isEmpty());
    }

    @Test
    void onlyTheFirstPartOfALongQueueIsConsidered() {
        for (int i = 0; i < 500; i++) {
            fixture.addMessage(SAFE);
        }
        Message beyondLimit = fixture.addMessage(SAFE);
        beyondLimit.worth = 100;
        assertEquals(fixture.queue.waiting.iterator().next(), selected());
        fixture.state.dequeue(fixture.queue.waiting.iterator().next());
        assertEquals(beyondLimit, selected());
    }
}
