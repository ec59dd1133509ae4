package lilaclever;

import static lilaclever.DecisionModuleHarness.KEYED;
import static lilaclever.DecisionModuleHarness.MILLISECOND_MICROS;
import static lilaclever.DecisionModuleHarness.SAFE;
import static lilaclever.DecisionModuleHarness.SECOND_MICROS;
import static lilaclever.DecisionModuleHarness.UNSAFE;
import static lilaclever.DecisionModuleHarness.ZONED;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import lilaclever.PolicyState.DestinationLimit;
import lilaclever.PolicyState.DestinationQueue;
import lilaclever.PolicyState.Endpoint;
import lilaclever.PolicyState.Message;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class SendRulesTest {
    private final PolicyFixture fixture = new PolicyFixture();
    private final PolicyParts parts = new PolicyParts(fixture.state);
    private final SendRules rules = parts.rules;
    private final Endpoint endpoint = fixture.addEndpoint();

    private Message messageThatMayHaveRun(int messageClass) {
        Message message = fixture.addMessage(messageClass);
        message.attempts = 1;
        message.mayHaveRun = true;
        message.uncertainSentAtMicros = fixture.state.nowMicros;
        return message;
    }

    @ParameterizedTest
    @ValueSource(ints = {SAFE, KEYED, UNSAFE, ZONED})
    void anUntriedMessageMayBeSent(int messageClass) {
        assertTrue(rules.permit(fixture.addMessage(messageClass), endpoint));
    }

    @Test
    void noMessageIsSentBeforeItsRetryDelayIsOver() {
        Message message = fixture.addMessage(SAFE);
        message.notBeforeMicros = fixture.state.nowMicros + 1;
        assertFalse(rules.permit(message, endpoint));
        fixture.advanceClock(1);
        assertTrue(rules.permit(message, endpoint));
    }

    @Test
    void noMessageIsSentWithLessTimeLeftThanTheShortestCall() {
        Message message = fixture.addMessage(SAFE);
        message.deadlineAtMicros = fixture.state.nowMicros + 60 * MILLISECOND_MICROS;
        assertTrue(rules.permit(message, endpoint));
        fixture.advanceClock(1);
        assertFalse(rules.permit(message, endpoint));
    }

    @Test
    void noMessageIsSentWhileAnAttemptIsInFlightOrOnceItIsFinished() {
        Message message = fixture.addMessage(SAFE);
        fixture.startCall(message, endpoint);
        assertFalse(rules.permit(message, endpoint));
        message.inFlightEndpoint = null;
        assertTrue(rules.permit(message, endpoint));
        message.finished = true;
        assertFalse(rules.permit(message, endpoint));
    }

    @Test
    void noMessageIsSentAfterItsLastAttempt() {
        Message message = fixture.addMessage(SAFE);
        message.attempts = 6;
        assertFalse(rules.permit(message, endpoint));
    }

    @Test
    void noMessageIsSentDuringARetryAfterOrToADrainingEndpoint() {
        Message message = fixture.addMessage(SAFE);
        parts.limits.onRetryAfter(fixture.limit, SECOND_MICROS);
        assertFalse(rules.permit(message, endpoint));
        fixture.advanceClock(SECOND_MICROS);
        assertTrue(rules.permit(message, endpoint));
        endpoint.active = false;
        assertFalse(rules.permit(message, endpoint));
    }

    @Test
    void noMessageIsSentToAnEndpointOfAnotherDestination() {
        Endpoint other = new Endpoint("other", new DestinationQueue(), new DestinationLimit(), 0, 0, 1);
        other.active = true;
        assertFalse(rules.permit(fixture.addMessage(SAFE), other));
    }

    @Test
    void noMessageIsSentOutOfTheOrderOfItsKey() {
        Message first = fixture.addMessage(UNSAFE);
        Message second = fixture.addMessage(UNSAFE);
        parts.keyOrder.add(first, "key");
        parts.keyOrder.add(second, "key");
        assertTrue(rules.permit(first, endpoint));
        assertFalse(rules.permit(second, endpoint));
    }

    @Test
    void noMessageIsSentWhoseCallTheEndOfTheProgramCouldCutOff() {
        fixture.state.stopAtMicros = fixture.state.nowMicros + 2 * SECOND_MICROS;
        assertTrue(rules.permit(fixture.addMessage(SAFE), endpoint), "its call may take 2 s");
        assertFalse(rules.permit(fixture.addMessage(UNSAFE), endpoint), "its call may take 4 s");
    }

    @Test
    void messagesThatMayHaveRunAreRepeatedOnlyWhereThatIsHarmless() {
        Endpoint otherZone = new Endpoint("other", fixture.queue, fixture.limit, 1, 0, 1);
        otherZone.active = true;
        assertTrue(rules.permit(messageThatMayHaveRun(SAFE), otherZone));
        assertTrue(rules.permit(messageThatMayHaveRun(KEYED), otherZone));
        assertFalse(rules.permit(messageThatMayHaveRun(UNSAFE), otherZone));
        assertFalse(rules.permit(messageThatMayHaveRun(ZONED), otherZone));
        assertTrue(rules.permit(messageThatMayHaveRun(ZONED), endpoint));
    }

    @Test
    void aKeyedMessageIsRepeatedOnlyWithinItsRepeatWindow() {
        Message message = messageThatMayHaveRun(KEYED);
        fixture.advanceClock(5 * SECOND_MICROS - 5 * MILLISECOND_MICROS - 1);
        assertTrue(rules.permit(message, endpoint));
        fixture.advanceClock(1);
        assertFalse(rules.permit(message, endpoint));
    }

    @Test
    void noMessageIsSentToAnEndpointThatIsNotReady() {
        endpoint.avoidUntilMicros = fixture.state.nowMicros + 1;
        assertFalse(rules.permit(fixture.addMessage(SAFE), endpoint));
    }
}
