package lilaclever;

import static lilaclever.DecisionModuleHarness.MILLISECOND_MICROS;
import static lilaclever.DecisionModuleHarness.SECOND_MICROS;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import lilaclever.DecisionModule.Action;
import lilaclever.DecisionModule.AttemptResult;
import lilaclever.DecisionModule.EndpointEntry;
import lilaclever.DecisionModule.Event;
import lilaclever.DecisionModule.ListingKind;
import lilaclever.DecisionModule.Presence;
import org.junit.jupiter.api.Test;

/** The checker must find each kind of breach, and none in an ordinary delivery. */
class RuleCheckerTest {
    private final RuleChecker checker = new RuleChecker(DecisionModuleHarness.settings(10, 50, 2, false));
    private long nowMicros = SECOND_MICROS;

    RuleCheckerTest() {
        checkEvents(new Event.Listing(
                ListingKind.ALL,
                1,
                List.of(
                        DecisionModuleHarness.entry("a1", 1, 0, 0),
                        DecisionModuleHarness.entry("a2", 1, 1, 0),
                        DecisionModuleHarness.entry("b1", 2, 0, 1),
                        DecisionModuleHarness.entry("b2", 2, 0, 1))));
    }

    private void checkEvents(Event... events) {
        checker.checkRound(nowMicros, List.of(events), List.of());
    }

    private void submit(String id, int messageClass) {
        checkEvents(new Event.Submit(id, messageClass, 1, 0, "k", false, false, 20 * SECOND_MICROS));
    }

    private void checkActions(Action... actions) {
        checker.checkRound(nowMicros, List.of(), List.of(actions));
    }

    private void send(String id, String host) {
        checkActions(new Action.Send(id, host, nowMicros + SECOND_MICROS));
    }

    private void outcome(String id, int attempt, AttemptResult result, long retryAfterMicros) {
        checkEvents(new Event.Outcome(
                id, "a1", attempt, result, 1, retryAfterMicros, false, result == AttemptResult.DELIVERED, null));
    }

    private void assertBreach(String rule) {
        assertEquals(1, checker.breaches().size(), checker.breaches().toString());
        assertTrue(
                checker.breaches().get(0).startsWith(rule + ":"),
                checker.breaches().toString());
    }

    @Test
    void aDeliveryIsNoBreach() {
        submit("m", DecisionModuleHarness.UNSAFE);
        send("m", "a1");
        outcome("m", 0, AttemptResult.DELIVERED, 0);
        nowMicros += 30 * SECOND_MICROS;
        checkActions();
        assertEquals(List.of(), checker.breaches());
    }

    @Test
    void findsAMessageWithoutAnAnswer() {
        submit("m", DecisionModuleHarness.SAFE);
        nowMicros += 20 * SECOND_MICROS + 21 * MILLISECOND_MICROS;
        checkActions();
        assertBreach("lost");
    }

    @Test
    void findsASecondAnswer() {
        submit("m", DecisionModuleHarness.SAFE);
        checkActions(new Action.Refuse("m", 0), new Action.Fail("m"));
        assertBreach("lost");
    }

    @Test
    void findsASendOfAFinishedMessage() {
        submit("m", DecisionModuleHarness.SAFE);
        checkActions(new Action.Refuse("m", 0), new Action.Send("m", "a1", nowMicros + SECOND_MICROS));
        assertBreach("lost");
    }

    @Test
    void findsTwoAttemptsAtOnce() {
        submit("m", DecisionModuleHarness.SAFE);
        send("m", "a1");
        send("m", "a2");
        assertBreach("effect");
    }

    @Test
    void findsARepeatOfAnUnsafeMessage() {
        submit("m", DecisionModuleHarness.UNSAFE);
        send("m", "a1");
        outcome("m", 0, AttemptResult.ERROR, 0);
        send("m", "a1");
        assertBreach("effect");
    }

    @Test
    void findsARefusalOfAnUnsafeMessageInFlight() {
        submit("m", DecisionModuleHarness.UNSAFE);
        send("m", "a1");
        checkActions(new Action.Refuse("m", 0));
        assertBreach("effect");
    }

    @Test
    void findsARepeatOfAKeyedMessageAfterItsRepeatWindow() {
        submit("m", DecisionModuleHarness.KEYED);
        send("m", "a1");
        outcome("m", 0, AttemptResult.TIMED_OUT, 0);
        nowMicros += 5 * SECOND_MICROS + 1;
        send("m", "a1");
        assertBreach("effect");
    }

    @Test
    void findsARepeatOfAKeyedMessageOutsideItsGroup() {
        submit("m", DecisionModuleHarness.ZONED);
        send("m", "a1");
        outcome("m", 0, AttemptResult.ERROR, 0);
        send("m", "a2");
        assertBreach("effect");
    }

    @Test
    void findsARefusalOfAZonedMessageThatMayHaveRun() {
        submit("m", DecisionModuleHarness.ZONED);
        send("m", "a1");
        outcome("m", 0, AttemptResult.ERROR, 0);
        checkActions(new Action.Refuse("m", 0));
        assertBreach("effect");
    }

    @Test
    void findsASendToADrainedHost() {
        submit("m", DecisionModuleHarness.SAFE);
        checkEvents(new Event.Listing(
                ListingKind.CHANGES, 2, List.of(new EndpointEntry("a1", 1, 0, 0, Presence.LEAVING, 1, 0))));
        nowMicros += SECOND_MICROS + 1;
        send("m", "a1");
        assertBreach("drain");
    }

    @Test
    void findsASendToAHostMissingFromAWholeList() {
        submit("m", DecisionModuleHarness.SAFE);
        checkEvents(new Event.Listing(ListingKind.ALL, 2, List.of(DecisionModuleHarness.entry("a2", 1, 0, 0))));
        nowMicros += SECOND_MICROS + 1;
        send("m", "a1");
        assertBreach("drain");
    }

    @Test
    void findsASendDuringARetryAfterPeriod() {
        submit("m", DecisionModuleHarness.SAFE);
        submit("n", DecisionModuleHarness.SAFE);
        send("m", "a1");
        outcome("m", 0, AttemptResult.FULL, 500 * MILLISECOND_MICROS);
        nowMicros += 499 * MILLISECOND_MICROS;
        send("n", "a2");
        assertBreach("wait");
    }

    @Test
    void findsASendOutOfTheOrderOfItsKey() {
        submit("m", DecisionModuleHarness.UNSAFE);
        submit("n", DecisionModuleHarness.UNSAFE);
        send("n", "a1");
        assertBreach("order");
    }

    @Test
    void findsASendDuringTheDelayOfItsKey() {
        submit("m", DecisionModuleHarness.UNSAFE);
        submit("n", DecisionModuleHarness.UNSAFE);
        send("m", "a1");
        outcome("m", 0, AttemptResult.TIMED_OUT, 0);
        checkActions(new Action.Fail("m"));
        nowMicros += 99 * MILLISECOND_MICROS;
        send("n", "a1");
        assertBreach("order");
    }

    @Test
    void findsAnAttemptBeyondTheLimit() {
        submit("m", DecisionModuleHarness.SAFE);
        for (int i = 0; i < 3; i++) {
            send("m", "a1");
            outcome("m", i, AttemptResult.FULL, 0);
        }
        assertBreach("attempts");
    }

    @Test
    void findsAnOverloadOfARecoveringDestination() {
        checker.startRecovery("a1", nowMicros, 10);
        for (int i = 0; i < 19; i++) {
            nowMicros += MILLISECOND_MICROS;
            checkEvents(new Event.Submit(
                    "m" + i, DecisionModuleHarness.SAFE, 1, 0, null, false, false, 20 * SECOND_MICROS));
            send("m" + i, "a1");
        }
        assertBreach("fail-back");
    }
}
