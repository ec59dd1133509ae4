package lilaclever;

import static lilaclever.Rig.MS;
import static lilaclever.Rig.S;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import lilaclever.DecisionModule.Action;
import lilaclever.DecisionModule.Ending;
import lilaclever.DecisionModule.Entry;
import lilaclever.DecisionModule.Event;
import lilaclever.DecisionModule.ListingKind;
import lilaclever.DecisionModule.Presence;
import org.junit.jupiter.api.Test;

/** The checker must find each kind of breach, and none in an ordinary delivery. */
class RuleCheckerTest {
    private final RuleChecker checker = new RuleChecker(Rig.settings(10, 50, 2, false));
    private long now = S;

    RuleCheckerTest() {
        events(new Event.Listing(
                ListingKind.ALL,
                1,
                List.of(
                        Rig.entry("a1", 1, 0, 0),
                        Rig.entry("a2", 1, 1, 0),
                        Rig.entry("b1", 2, 0, 1),
                        Rig.entry("b2", 2, 0, 1))));
    }

    private void events(Event... events) {
        checker.round(now, List.of(events), List.of());
    }

    private void take(String id, int messageClass) {
        events(new Event.Submit(id, messageClass, 1, 0, "k", false, false, 20 * S));
    }

    private void act(Action... actions) {
        checker.round(now, List.of(), List.of(actions));
    }

    private void send(String id, String host) {
        act(new Action.Send(id, host, now + S));
    }

    private void outcome(String id, int attempt, Ending ending, long wait) {
        events(new Event.Outcome(id, "a1", attempt, ending, 1, wait, false, ending == Ending.DELIVERED, null));
    }

    private void assertBreach(String rule) {
        assertEquals(1, checker.breaches().size(), checker.breaches().toString());
        assertTrue(
                checker.breaches().get(0).startsWith(rule + ":"),
                checker.breaches().toString());
    }

    @Test
    void allowsADelivery() {
        take("m", Rig.UNSAFE);
        send("m", "a1");
        outcome("m", 0, Ending.DELIVERED, 0);
        now += 30 * S;
        act();
        assertEquals(List.of(), checker.breaches());
    }

    @Test
    void findsAMessageWithoutAnswer() {
        take("m", Rig.SAFE);
        now += 20 * S + 21 * MS;
        act();
        assertBreach("lost");
    }

    @Test
    void findsASecondAnswer() {
        take("m", Rig.SAFE);
        act(new Action.Refuse("m", 0), new Action.Fail("m"));
        assertBreach("lost");
    }

    @Test
    void findsASendAfterTheEnd() {
        take("m", Rig.SAFE);
        act(new Action.Refuse("m", 0), new Action.Send("m", "a1", now + S));
        assertBreach("lost");
    }

    @Test
    void findsTwoAttemptsAtOnce() {
        take("m", Rig.SAFE);
        send("m", "a1");
        send("m", "a2");
        assertBreach("effect");
    }

    @Test
    void findsAnUnsafeRepeat() {
        take("m", Rig.UNSAFE);
        send("m", "a1");
        outcome("m", 0, Ending.ERROR, 0);
        send("m", "a1");
        assertBreach("effect");
    }

    @Test
    void findsAnUnsafeRefusal() {
        take("m", Rig.UNSAFE);
        send("m", "a1");
        act(new Action.Refuse("m", 0));
        assertBreach("effect");
    }

    @Test
    void findsAKeyedRepeatAfterItsWindow() {
        take("m", Rig.KEYED);
        send("m", "a1");
        outcome("m", 0, Ending.TIMED_OUT, 0);
        now += 5 * S + 1;
        send("m", "a1");
        assertBreach("effect");
    }

    @Test
    void findsAKeyedRepeatOutsideItsGroup() {
        take("m", Rig.ZONED);
        send("m", "a1");
        outcome("m", 0, Ending.ERROR, 0);
        send("m", "a2");
        assertBreach("effect");
    }

    @Test
    void findsAZonedRefusal() {
        take("m", Rig.ZONED);
        send("m", "a1");
        outcome("m", 0, Ending.ERROR, 0);
        act(new Action.Refuse("m", 0));
        assertBreach("effect");
    }

    @Test
    void findsASendToADrainedHost() {
        take("m", Rig.SAFE);
        events(new Event.Listing(ListingKind.CHANGES, 2, List.of(new Entry("a1", 1, 0, 0, Presence.LEAVING, 1, 0))));
        now += S + 1;
        send("m", "a1");
        assertBreach("drain");
    }

    @Test
    void findsASendToAHostThatAWholeListDropped() {
        take("m", Rig.SAFE);
        events(new Event.Listing(ListingKind.ALL, 2, List.of(Rig.entry("a2", 1, 0, 0))));
        now += S + 1;
        send("m", "a1");
        assertBreach("drain");
    }

    @Test
    void findsASendDuringAWait() {
        take("m", Rig.SAFE);
        take("n", Rig.SAFE);
        send("m", "a1");
        outcome("m", 0, Ending.FULL, 500 * MS);
        now += 499 * MS;
        send("n", "a2");
        assertBreach("wait");
    }

    @Test
    void findsAnOrderBroken() {
        take("m", Rig.UNSAFE);
        take("n", Rig.UNSAFE);
        send("n", "a1");
        assertBreach("order");
    }

    @Test
    void findsAKeyThatDidNotRest() {
        take("m", Rig.UNSAFE);
        take("n", Rig.UNSAFE);
        send("m", "a1");
        outcome("m", 0, Ending.TIMED_OUT, 0);
        act(new Action.Fail("m"));
        now += 99 * MS;
        send("n", "a1");
        assertBreach("order");
    }

    @Test
    void findsAnAttemptTooMany() {
        take("m", Rig.SAFE);
        for (int i = 0; i < 3; i++) {
            send("m", "a1");
            outcome("m", i, Ending.FULL, 0);
        }
        assertBreach("attempts");
    }

    @Test
    void findsAReturningDestinationPushedOver() {
        checker.returned("a1", now, 10);
        for (int i = 0; i < 19; i++) {
            now += MS;
            events(new Event.Submit("m" + i, Rig.SAFE, 1, 0, null, false, false, 20 * S));
            send("m" + i, "a1");
        }
        assertBreach("fail-back");
    }
}
