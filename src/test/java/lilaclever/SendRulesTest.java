package lilaclever;

import static lilaclever.Rig.KEYED;
import static lilaclever.Rig.MS;
import static lilaclever.Rig.S;
import static lilaclever.Rig.SAFE;
import static lilaclever.Rig.UNSAFE;
import static lilaclever.Rig.ZONED;
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
    private final Endpoint endpoint = fixture.endpoint();

    private Message mayHaveRun(int messageClass) {
        Message message = fixture.message(messageClass);
        message.attempts = 1;
        message.mayHaveRun = true;
        message.mayHaveRunSince = fixture.state.now;
        return message;
    }

    @ParameterizedTest
    @ValueSource(ints = {SAFE, KEYED, UNSAFE, ZONED})
    void aFreshMessageMayGo(int messageClass) {
        assertTrue(rules.permit(fixture.message(messageClass), endpoint));
    }

    @Test
    void notBeforeItsPauseIsOver() {
        Message message = fixture.message(SAFE);
        message.notBefore = fixture.state.now + 1;
        assertFalse(rules.permit(message, endpoint));
        fixture.later(1);
        assertTrue(rules.permit(message, endpoint));
    }

    @Test
    void notWithLessTimeThanTheShortestCall() {
        Message message = fixture.message(SAFE);
        message.deadline = fixture.state.now + 60 * MS;
        assertTrue(rules.permit(message, endpoint));
        fixture.later(1);
        assertFalse(rules.permit(message, endpoint));
    }

    @Test
    void notWhileAnAttemptIsInFlightAndNotOnceItIsFinished() {
        Message message = fixture.message(SAFE);
        fixture.call(message, endpoint);
        assertFalse(rules.permit(message, endpoint));
        message.inFlightTo = null;
        assertTrue(rules.permit(message, endpoint));
        message.finished = true;
        assertFalse(rules.permit(message, endpoint));
    }

    @Test
    void notAfterItsLastAttempt() {
        Message message = fixture.message(SAFE);
        message.attempts = 6;
        assertFalse(rules.permit(message, endpoint));
    }

    @Test
    void notToADrainingEndpointAndNotDuringAToldWait() {
        Message message = fixture.message(SAFE);
        parts.limits.onWait(fixture.limit, S);
        assertFalse(rules.permit(message, endpoint));
        fixture.later(S);
        assertTrue(rules.permit(message, endpoint));
        endpoint.active = false;
        assertFalse(rules.permit(message, endpoint));
    }

    @Test
    void notToAnEndpointOfAnotherDestination() {
        Endpoint other = new Endpoint("other", new DestinationQueue(), new DestinationLimit(), 0, 0, 1);
        other.active = true;
        assertFalse(rules.permit(fixture.message(SAFE), other));
    }

    @Test
    void notOutOfTheOrderOfItsKey() {
        Message first = fixture.message(UNSAFE);
        Message second = fixture.message(UNSAFE);
        parts.keyOrder.add(first, "key");
        parts.keyOrder.add(second, "key");
        assertTrue(rules.permit(first, endpoint));
        assertFalse(rules.permit(second, endpoint));
    }

    @Test
    void notIfTheEndOfTheProgramCouldCutItsCall() {
        fixture.state.stopAt = fixture.state.now + 2 * S;
        assertTrue(rules.permit(fixture.message(SAFE), endpoint), "its call may take 2 s");
        assertFalse(rules.permit(fixture.message(UNSAFE), endpoint), "its call may take 4 s");
    }

    @Test
    void whatMayHaveRunGoesAgainOnlyWhereThatIsHarmless() {
        Endpoint otherZone = new Endpoint("other", fixture.queue, fixture.limit, 1, 0, 1);
        otherZone.active = true;
        assertTrue(rules.permit(mayHaveRun(SAFE), otherZone));
        assertTrue(rules.permit(mayHaveRun(KEYED), otherZone));
        assertFalse(rules.permit(mayHaveRun(UNSAFE), otherZone));
        assertFalse(rules.permit(mayHaveRun(ZONED), otherZone));
        assertTrue(rules.permit(mayHaveRun(ZONED), endpoint));
    }

    @Test
    void aKeyedMessageStaysInItsWindow() {
        Message message = mayHaveRun(KEYED);
        fixture.later(5 * S - 5 * MS - 1);
        assertTrue(rules.permit(message, endpoint));
        fixture.later(1);
        assertFalse(rules.permit(message, endpoint));
    }

    @Test
    void notToAnEndpointThatTakesNoCall() {
        endpoint.avoidUntil = fixture.state.now + 1;
        assertFalse(rules.permit(fixture.message(SAFE), endpoint));
    }
}
