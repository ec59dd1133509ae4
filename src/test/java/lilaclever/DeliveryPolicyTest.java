package lilaclever;

import static lilaclever.Rig.KEYED;
import static lilaclever.Rig.MS;
import static lilaclever.Rig.S;
import static lilaclever.Rig.SAFE;
import static lilaclever.Rig.UNSAFE;
import static lilaclever.Rig.ZONED;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import lilaclever.DecisionModule.Action;
import lilaclever.DecisionModule.AttemptResult;
import lilaclever.DecisionModule.EndpointEntry;
import lilaclever.DecisionModule.Event;
import lilaclever.DecisionModule.ListingKind;
import lilaclever.DecisionModule.Presence;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

/** Scripted cases: the design's steps and limits, each rule, each outcome for each repeat class. */
class DeliveryPolicyTest {
    private final Map<String, Integer> attempts = new HashMap<>();
    private Rig rig = Rig.started();

    @AfterEach
    void noRuleIsBroken() {
        assertEquals(List.of(), rig.checker.breaches());
    }

    /** Microseconds until the message is sent again. */
    private long pauseUntilSent(String id, long most) {
        long from = rig.now;
        while (rig.now < from + most) {
            rig.pass(5 * MS);
            if (rig.sent(id)) {
                return rig.now - from;
            }
        }
        return -1;
    }

    // ---- the design ----
    @Test
    void sendsAtOnceOnTheOrdinaryPath() {
        String id = rig.submit(SAFE, 1);
        assertTrue(rig.sent(id));
    }

    @Test
    void pausesGrowByTheSteps() {
        long[] steps = {200 * MS, 600 * MS, 2400 * MS, 6 * S};
        String id = rig.submit(SAFE, 1);
        for (int i = 0; i < steps.length; i++) {
            rig.outcome(id, "a1", i, AttemptResult.FULL);
            long pause = pauseUntilSent(id, 16 * S);
            assertTrue(pause >= steps[i] / 2, "pause " + i + " was " + pause);
            // From the second refusal in a row on, the pace of an outage may add to the step.
            assertTrue(pause <= steps[i] * 3 / 2 + (i == 0 ? 2500 : 6500) * MS, "pause " + i + " was " + pause);
        }
    }

    @Test
    void pausesAreSpreadByChance() {
        List<Long> pauses = new ArrayList<>();
        for (int seed = 0; seed < 5; seed++) {
            DecisionModule relay = DecisionModule.create(rig.settings, seed);
            relay.decide(0, List.of(new Event.Listing(ListingKind.ALL, 1, List.of(Rig.entry("a1", 1, 0, 0)))));
            relay.decide(S, List.of(new Event.Submit("m", SAFE, 1, 0, null, false, false, 20 * S)));
            for (Action a : relay.decide(
                    S, List.of(new Event.Outcome("m", "a1", 0, AttemptResult.NOT_SENT, 1, 0, true, false, null)))) {
                if (a instanceof Action.Wake w) {
                    pauses.add(w.afterMicros());
                }
            }
        }
        assertTrue(pauses.stream().distinct().count() > 2, pauses.toString());
    }

    @Test
    void aRefusalHoldsToTenASecondUntilFiveQuietSeconds() {
        String first = rig.submit(SAFE, 1);
        rig.outcome(first, "a1", 0, AttemptResult.FULL);
        rig.pass(S);
        int sent = 0;
        for (int i = 0; i < 200; i++) {
            rig.now += 5 * MS;
            String id = rig.submit(SAFE, 1);
            for (Action a : rig.actions) {
                if (a instanceof Action.Send s) {
                    sent++;
                    rig.outcome(s.id(), "a1", s.id().equals(first) ? 1 : 0, AttemptResult.DELIVERED);
                }
            }
            assertTrue(id != null);
        }
        assertTrue(sent <= 10, "sent " + sent + " in a second");
    }

    @Test
    void theHoldEndsAfterFiveQuietSecondsAndItsRoofLater() {
        String first = rig.submit(SAFE, 1);
        rig.outcome(first, "a1", 0, AttemptResult.FULL);
        assertTrue(pauseUntilSent(first, 4 * S) > 0);
        rig.outcome(first, "a1", 1, AttemptResult.DELIVERED);
        rig.pass(6 * S);
        assertTrue(fiveAtOnce() < 5, "what waited must not come at once");
        rig.pass(16 * S);
        assertEquals(5, fiveAtOnce(), "that too ends");
    }

    /** Hands in five; gives how many go at once, and has all of them answered. */
    private int fiveAtOnce() {
        List<String> at = new ArrayList<>();
        for (int i = 0; i < 5; i++) {
            String id = rig.submit(SAFE, 1);
            if (rig.sent(id)) {
                at.add(id);
            }
        }
        at.forEach(id -> rig.outcome(id, "a1", 0, AttemptResult.DELIVERED));
        answerAll(new HashMap<>(), S, AttemptResult.DELIVERED);
        return at.size();
    }

    @Test
    void whatIsLateGoesAfterWhatIsFreshAndWhatIsAboutToBeLateFirst() {
        rig = new Rig(Rig.settings(1, 50, 6, false));
        rig.list(ListingKind.REMEMBERED, Rig.entry("a1", 1, 0, 0));
        String out = rig.submit(SAFE, 1);
        String late = rig.submit(SAFE, 1);
        rig.now += 6 * S; // three aims ago
        String near = rig.submit(SAFE, 1);
        rig.now += 1900 * MS; // its aim is 2 s
        String fresh = rig.submit(SAFE, 1);
        List<String> order = new ArrayList<>();
        for (String id = out; id != null; ) {
            rig.outcome(id, "a1", 0, AttemptResult.DELIVERED);
            id = null;
            for (String next : List.of(late, near, fresh)) {
                id = rig.sent(next) ? next : id;
            }
            order.add(id);
        }
        assertEquals(List.of(near, fresh, late), order.subList(0, 3));
    }

    @Test
    void aToldWaitStopsEveryMessageToTheDestination() {
        String id = rig.submit(SAFE, 1);
        rig.outcome(id, "a1", 0, AttemptResult.FULL, 1500 * MS);
        String other = rig.submit(SAFE, 1);
        rig.pass(1490 * MS);
        assertEquals(List.of(), rig.sentTo());
        rig.pass(5 * S);
        assertTrue(rig.sent(other) || rig.sent(id));
    }

    /**
     * A call that was decided before the wait and not written for it was no attempt, and goes once the wait is over.
     */
    @Test
    void aWithheldCallIsNoAttemptAndTellsTheWait() {
        String id = rig.submit(UNSAFE, 1);
        for (int i = 0; i < 8; i++) { // more often than a message may be attempted
            rig.outcome(id, "a1", 0, AttemptResult.WITHHELD, 500 * MS);
            rig.pass(490 * MS);
            assertEquals(List.of(), rig.sentTo());
            rig.pass(600 * MS);
            assertTrue(rig.sent(id));
        }
    }

    /** A wait binds whatever else the answer that told it said. */
    @Test
    void aWaitToldWithAnyOutcomeBinds() {
        String id = rig.submit(SAFE, 1);
        String other = rig.submit(SAFE, 1);
        rig.outcome(id, "a1", 0, AttemptResult.DELIVERED, 1500 * MS);
        rig.outcome(other, "a1", 0, AttemptResult.ERROR, 0);
        rig.submit(SAFE, 1);
        rig.pass(1490 * MS);
        assertEquals(List.of(), rig.sentTo());
    }

    @Test
    void aToldWaitOfARouteApartLeavesTheOtherRoute() {
        rig.list(ListingKind.CHANGES, Rig.entry("b2", 2, 0, 1));
        String id = rig.submit(SAFE, 2);
        String host = rig.sentTo().get(0);
        rig.outcome(id, host, 0, AttemptResult.FULL, 2 * S);
        rig.submit(SAFE, 2);
        assertEquals(List.of(host.equals("b1") ? "b2" : "b1"), rig.sentTo());
    }

    @Test
    void aRouteTakenOffAndListedAgainKeepsItsWait() {
        String id = rig.submit(SAFE, 2);
        rig.outcome(id, "b1", 0, AttemptResult.FULL, 3 * S);
        rig.list(ListingKind.ALL);
        rig.list(ListingKind.ALL, Rig.entry("b1", 2, 0, 1));
        rig.pass(2900 * MS);
        assertEquals(List.of(), rig.sentTo());
    }

    @Test
    void endsAtTheAttemptLimit() {
        String id = rig.submit(SAFE, 1);
        for (int i = 0; i < 6; i++) {
            rig.outcome(id, "a1", i, AttemptResult.NOT_SENT);
            if (i < 5) {
                assertTrue(pauseUntilSent(id, 12 * S) > 0 || rig.now > 1019 * S);
            }
        }
        assertTrue(rig.checker.open().isEmpty());
    }

    // ---- outcomes by repeat class ----
    @ParameterizedTest
    @EnumSource(
            value = AttemptResult.class,
            names = {"FULL", "NO_CONNECTION", "NOT_SENT"})
    void whatNeverRanIsRepeatedInEachClass(AttemptResult ending) {
        for (int c : new int[] {SAFE, KEYED, UNSAFE, ZONED}) {
            rig = Rig.started();
            String id = rig.submit(c, 1, "k");
            rig.outcome(id, "a1", 0, ending);
            assertFalse(rig.refused(id) || rig.failed(id));
            assertTrue(pauseUntilSent(id, 5 * S) > 0, ending + " of class " + c);
            assertEquals(List.of(), rig.checker.breaches());
        }
    }

    @ParameterizedTest
    @EnumSource(
            value = AttemptResult.class,
            names = {"ERROR", "TIMED_OUT", "RESET", "CANCELED"})
    void whatMayHaveRunIsRepeatedUnlessUnsafe(AttemptResult ending) {
        for (int c : new int[] {SAFE, KEYED, ZONED}) {
            rig = Rig.started();
            String id = rig.submit(c, 1, "k");
            rig.outcome(id, "a1", 0, ending);
            long pause = pauseUntilSent(id, 4900 * MS);
            assertTrue(pause > 0, ending + " of class " + c);
            assertEquals(List.of(), rig.checker.breaches());
        }
        rig = Rig.started();
        String id = rig.submit(UNSAFE, 1, "k");
        rig.outcome(id, "a1", 0, ending);
        assertTrue(rig.failed(id));
    }

    @Test
    void aKeyedMessageEndsWithItsWindow() {
        String id = rig.submit(KEYED, 1);
        rig.outcome(id, "a1", 0, AttemptResult.ERROR);
        rig.round(new Event.Listing(ListingKind.ALL, 2, List.of(Rig.entry("b1", 2, 0, 1))));
        rig.pass(5100 * MS);
        assertTrue(rig.refused(id), "all endpoints drop repeats, so a refusal is harmless");
    }

    @Test
    void aZonedMessageIsNotRefusedOnceItMayHaveRun() {
        String id = rig.submit(ZONED, 1);
        rig.outcome(id, "a1", 0, AttemptResult.ERROR);
        rig.round(new Event.Listing(ListingKind.ALL, 2, List.of(Rig.entry("a2", 1, 1, 0))));
        rig.pass(5100 * MS);
        assertTrue(rig.failed(id));
    }

    // ---- ends ----
    @Test
    void aMessageWithNoEndpointIsRefusedInTime() {
        String id = rig.submit(UNSAFE, 9, "k");
        rig.pass(19_990 * MS);
        assertTrue(rig.refused(id));
    }

    @Test
    void aCallWithoutOutcomeAtTheDeadlineIsAnswered() {
        String id = rig.submit(UNSAFE, 1, "k");
        rig.pass(20 * S + 15 * MS);
        assertTrue(rig.failed(id));
    }

    @Test
    void theHoldNearlyFullRefusesTheLeastWorth() {
        rig = new Rig(Rig.settings(1, 20, 6, false));
        rig.list(ListingKind.REMEMBERED, Rig.entry("a1", 1, 0, 0));
        int refused = 0;
        for (int i = 0; i < 30; i++) {
            rig.submit(SAFE, 1);
            refused +=
                    rig.actions.stream().filter(Action.Refuse.class::isInstance).count();
        }
        assertTrue(rig.checker.open().size() <= 20);
        assertEquals(30 - rig.checker.open().size(), refused);
    }

    @Test
    void whatIsWithdrawnIsPassedOver() {
        String id = rig.submit(SAFE, 1);
        rig.round(new Event.Withdrawn(id))
                .outcome(id, "a1", 0, AttemptResult.ERROR)
                .pass(S);
        assertEquals(List.of(), rig.sentTo());
        rig.round(new Event.Withdrawn("unknown"), new Event.Timer(5));
    }

    // ---- drains and lists ----
    @Test
    void aLeavingHostGetsNothingNew() {
        rig.list(ListingKind.CHANGES, new EndpointEntry("a1", 1, 0, 0, Presence.LEAVING, 1, 0));
        rig.submit(SAFE, 1);
        assertEquals(List.of(), rig.sentTo());
        rig.list(ListingKind.CHANGES, Rig.entry("a2", 1, 0, 0));
        assertEquals(List.of("a2"), rig.sentTo());
    }

    @Test
    void aWholeListDropsWhatItDoesNotName() {
        rig.list(ListingKind.ALL, Rig.entry("a2", 1, 0, 0));
        rig.submit(SAFE, 1);
        assertEquals(List.of("a2"), rig.sentTo());
    }

    @Test
    void aRefusedWatchIsAskedAgainLaterAndLater() {
        rig = new Rig(Rig.settings(10, 50, 6, true));
        rig.list(ListingKind.REMEMBERED, Rig.entry("a1", 1, 0, 0));
        assertTrue(rig.actions.contains(new Action.Watch(true)));
        long last = 0;
        for (long least : new long[] {200 * MS, 400 * MS, 800 * MS}) {
            rig.list(ListingKind.REFUSED);
            long from = rig.now;
            do {
                rig.pass(5 * MS);
            } while (!rig.actions.contains(new Action.Watch(true)) && rig.now < from + 10 * S);
            last = rig.now - from;
            assertTrue(last >= least && last < 10 * S, "asked after " + last);
        }
    }

    // ---- order ----
    @Test
    void oneKeyGoesOneAtATimeInOrder() {
        String first = rig.submit(UNSAFE, 1, "k");
        String second = rig.submit(UNSAFE, 1, "k");
        String other = rig.submit(UNSAFE, 1, "other");
        assertTrue(rig.sent(other));
        rig.outcome(first, "a1", 0, AttemptResult.FULL);
        rig.pass(5 * MS);
        assertFalse(rig.sent(second));
        assertTrue(pauseUntilSent(first, 5 * S) > 0);
        rig.outcome(first, "a1", 1, AttemptResult.DELIVERED);
        assertTrue(rig.sent(second) || pauseUntilSent(second, 5 * S) > 0);
    }

    @Test
    void aKeyRestsAfterATimeOut() {
        String first = rig.submit(UNSAFE, 1, "k");
        String second = rig.submit(UNSAFE, 1, "k");
        rig.outcome(first, "a1", 0, AttemptResult.TIMED_OUT);
        assertTrue(pauseUntilSent(second, 5 * S) >= 100 * MS);
    }

    // ---- health ----
    @Test
    void aHangingDestinationLeavesSlotsForOthers() {
        for (int i = 0; i < 10; i++) {
            rig.submit(SAFE, 1);
        }
        assertTrue(rig.sent(rig.submit(SAFE, 2)));
    }

    /** One message for each of so many destinations, all handed in and sent in one round; then what is out hangs. */
    private List<String> sentTogether(int slots, int messageClass) {
        rig = new Rig(Rig.settings(slots, 100, 6, false));
        EndpointEntry[] entries = new EndpointEntry[10];
        for (int d = 0; d < entries.length; d++) {
            entries[d] = Rig.entry("h" + d, d, 0, 0);
        }
        rig.list(ListingKind.REMEMBERED, entries);
        for (int i = 0; i < 10; i++) {
            String id = rig.submit(SAFE, 9);
            rig.now += 50 * MS;
            rig.outcome(id, "h9", 0, AttemptResult.DELIVERED); // what is usual
        }
        List<String> ids = new ArrayList<>();
        Event[] submits = new Event[6];
        for (int d = 0; d < submits.length; d++) {
            ids.add("d" + d);
            submits[d] = new Event.Submit("d" + d, messageClass, d, 0, null, false, false, 20 * S);
        }
        rig.round(submits);
        return ids;
    }

    @Test
    void aReturnIsFedByWhatWasUsualAlsoEarlyInTheDay() {
        for (int i = 0; i < 40; i++) {
            String id = rig.submit(SAFE, 1);
            rig.now += 50 * MS; // twenty a second, for two seconds
            rig.outcome(id, "a1", 0, AttemptResult.DELIVERED);
        }
        String ill = rig.submit(SAFE, 1);
        for (int i = 0; i < 4; i++) {
            rig.outcome(ill, "a1", i, AttemptResult.ERROR);
            pauseUntilSent(ill, 20 * S);
        }
        rig.outcome(ill, "a1", 4, AttemptResult.DELIVERED);
        for (int i = 0; i < 40; i++) {
            rig.submit(SAFE, 1);
        }
        int sent = answerAll(new HashMap<>(), 2 * S, AttemptResult.DELIVERED);
        // 0.85 x 2.5 x 0.2 of twenty a second at first, a little more as it warms.
        assertTrue(sent >= 14 && sent <= 26, "sent " + sent + " in two seconds of a return");
    }

    @Test
    void aDestinationThatNothingIsKnownOfIsFedByTheMeanOfAll() {
        for (int i = 0; i < 200; i++) {
            String id = rig.submit(SAFE, 2);
            rig.now += 10 * MS; // a hundred a second to the other one
            rig.outcome(id, "b1", 0, AttemptResult.DELIVERED);
        }
        String ill = rig.submit(SAFE, 1);
        for (int i = 0; i < 4; i++) {
            rig.outcome(ill, "a1", i, AttemptResult.ERROR);
            pauseUntilSent(ill, 20 * S);
        }
        rig.outcome(ill, "a1", 4, AttemptResult.DELIVERED);
        for (int i = 0; i < 40; i++) {
            rig.submit(SAFE, 1);
        }
        int sent = answerAll(new HashMap<>(), 2 * S, AttemptResult.DELIVERED);
        // 0.85 x 2.5 x 0.2 of a quarter of fifty a second at first, a little more as it warms.
        assertTrue(sent >= 8 && sent <= 18, "sent " + sent + " in two seconds of a return");
    }

    @Test
    void callsFarBeyondUsualGiveUpSlotsThatOthersCouldUse() {
        for (int messageClass : new int[] {SAFE, UNSAFE}) {
            sentTogether(5, messageClass);
            assertEquals(5, rig.sentTo().size());
            rig.pass(5 * S);
            long given =
                    rig.actions.stream().filter(Action.Cancel.class::isInstance).count();
            assertEquals(1, given, "one waits: one is given up, not all five");
            rig = Rig.started();
        }
    }

    @Test
    void callsBeyondUsualStayWhereNobodyNeedsTheirSlots() {
        sentTogether(10, UNSAFE);
        assertEquals(6, rig.sentTo().size());
        rig.pass(1900 * MS);
        assertTrue(rig.actions.stream().noneMatch(Action.Cancel.class::isInstance));
    }

    @Test
    void theShareOfSlotsForHangingEndpointsHoldsWithinOneRound() {
        List<String> ids = sentTogether(20, SAFE);
        rig.now += 2 * S;
        Event[] ends = new Event[6];
        for (int d = 0; d < ends.length; d++) {
            ends[d] = new Event.Outcome(ids.get(d), "h" + d, 0, AttemptResult.TIMED_OUT, 2 * S, 0, false, false, null);
        }
        rig.round(ends);
        rig.now += 400 * MS; // all six may go again now, each to one that hung
        rig.round();
        assertEquals(6, rig.sentTo().size(), "20 slots have room for six");
        sentTogether(10, SAFE);
        rig.now += 2 * S;
        rig.round(ends);
        rig.now += 400 * MS;
        rig.round();
        assertEquals(3, rig.sentTo().size(), "three of ten slots, also where all are picked in one round");
    }

    @Test
    void severalHangingDestinationsTogetherLeaveSlotsForTheRest() {
        rig.list(ListingKind.CHANGES, Rig.entry("d1", 4, 0, 0), Rig.entry("e1", 5, 0, 0));
        String well = rig.submit(SAFE, 2);
        rig.outcome(well, "b1", 0, AttemptResult.DELIVERED);
        int open = 0;
        for (int i = 0; i < 3; i++) {
            for (int dest : new int[] {1, 4, 5}) {
                rig.submit(SAFE, dest);
                open += rig.sentTo().size();
                rig.pass(500 * MS);
                open += rig.sentTo().size();
            }
        }
        assertTrue(open <= 5, "hanging calls hold " + open + " of 10 slots");
        assertTrue(rig.sent(rig.submit(SAFE, 2)));
    }

    @Test
    void aLongToldWaitIsReadAsShutAndItsEndAsAReturn() {
        List<String> ids = List.of(rig.submit(SAFE, 1), rig.submit(SAFE, 1), rig.submit(SAFE, 1));
        rig.outcome(ids.get(0), "a1", 0, AttemptResult.FULL, 6 * S);
        rig.outcome(ids.get(1), "a1", 0, AttemptResult.FULL, 6 * S);
        rig.outcome(ids.get(2), "a1", 0, AttemptResult.FULL, 6 * S);
        rig.pass(10 * S);
        assertEquals(1, rig.sentTo().size(), "one trial after the wait, not all that waits");
    }

    /** Lets time pass; every send comes back with this ending a round later. Gives the number of sends. */
    private int answerAll(Map<String, Integer> tries, long micros, AttemptResult ending) {
        int sent = 0;
        for (long until = rig.now + micros; rig.now < until; ) {
            rig.now += 5 * MS;
            rig.round();
            // What an outcome lets go is answered too.
            List<Action> todo = new ArrayList<>(rig.actions);
            for (int i = 0; i < todo.size(); i++) {
                if (todo.get(i) instanceof Action.Send s) {
                    sent++;
                    rig.now += 5 * MS;
                    rig.outcome(s.id(), s.host(), tries.merge(s.id(), 1, Integer::sum) - 1, ending);
                    todo.addAll(rig.actions);
                }
            }
        }
        return sent;
    }

    @Test
    void fullConnectionTablesAreNoOutageAndIdleConnectionsAreGivenBack() {
        List<String> ids = List.of(
                rig.submit(SAFE, 1),
                rig.submit(SAFE, 1),
                rig.submit(SAFE, 1),
                rig.submit(SAFE, 1),
                rig.submit(SAFE, 1));
        ids.forEach(id -> rig.outcome(id, "a1", 0, AttemptResult.NO_CONNECTION));
        Map<String, Integer> tries = new HashMap<>();
        ids.forEach(id -> tries.put(id, 1));
        int sent = answerAll(tries, 6 * S, AttemptResult.DELIVERED);
        assertEquals(5, sent, "one trial and no ramp: once a call is taken, what waits goes");
        rig.submit(SAFE, 1);
        rig.outcome(((Action.Send) rig.actions.get(0)).id(), "a1", 0, AttemptResult.DELIVERED);
        assertTrue(rig.actions.stream().anyMatch(Action.CloseIdle.class::isInstance), rig.actions.toString());
    }

    /** Guards against relays that have their connections and never hear of those that got none: they shut them out. */
    @Test
    void whereAKindTakesFewConnectionsABusyRelayKeepsNoneEither() {
        rig = new Rig(Rig.settings(10, 50, 12, false, 14));
        rig.list(ListingKind.REMEMBERED, Rig.entry("a1", 1, 0, 0), Rig.entry("c1", 3, 0, 0), Rig.entry("b1", 2, 0, 1));
        for (int i = 0; i < 20; i++) {
            rig.outcome(rig.submit(SAFE, 1), "a1", 0, AttemptResult.DELIVERED).pass(100 * MS);
        }
        assertTrue(rig.actions.stream().noneMatch(Action.CloseIdle.class::isInstance), rig.actions.toString());
        rig.outcome(rig.submit(SAFE, 3), "c1", 0, AttemptResult.NO_CONNECTION);
        rig.outcome(rig.submit(SAFE, 1), "a1", 0, AttemptResult.DELIVERED);
        assertTrue(rig.actions.contains(new Action.CloseIdle("a1")), rig.actions.toString());
        rig.outcome(rig.submit(SAFE, 2), "b1", 0, AttemptResult.DELIVERED);
        assertTrue(
                rig.actions.stream().noneMatch(Action.CloseIdle.class::isInstance), "of another kind nothing is known");
    }

    /** Guards against a return at the pace of a cold partner to one that only has no room for one more connection. */
    @Test
    void anAnswerThatThereIsNoRoomForAConnectionIsNoOutage() {
        rig = new Rig(Rig.settings(10, 50, 12, false, 14));
        rig.list(ListingKind.REMEMBERED, Rig.entry("a1", 1, 0, 0));
        Map<String, Integer> tries = new HashMap<>();
        String first = rig.submit(SAFE, 1);
        rig.outcome(first, "a1", 0, AttemptResult.NO_CONNECTION);
        tries.put(first, 1);
        answerAll(
                tries,
                12 * S,
                AttemptResult.NO_CONNECTION); // down: a failed connect is no sign of a full table any more
        rig.pass(60 * S);
        rig.outcome(rig.submit(SAFE, 1), "a1", 0, AttemptResult.DELIVERED).pass(15 * S); // back, and warm
        List<String> ids = List.of(
                rig.submit(SAFE, 1),
                rig.submit(SAFE, 1),
                rig.submit(SAFE, 1),
                rig.submit(SAFE, 1),
                rig.submit(SAFE, 1));
        ids.forEach(id -> rig.outcome(id, "a1", 0, AttemptResult.NO_ROOM));
        ids.forEach(id -> tries.put(id, 1));
        assertEquals(5, answerAll(tries, 3 * S, AttemptResult.DELIVERED), "all that waits goes once there is room");
    }

    /** Guards against a fleet whose idle connections fill an endpoint that takes few: one each is enough for that. */
    @Test
    void inALargeFleetNoConnectionIsKeptIdle() {
        rig = new Rig(Rig.settings(10, 50, 12, false, 200));
        rig.list(ListingKind.REMEMBERED, Rig.entry("a1", 1, 0, 0));
        rig.outcome(rig.submit(SAFE, 1), "a1", 0, AttemptResult.DELIVERED);
        assertTrue(rig.actions.contains(new Action.CloseIdle("a1")), rig.actions.toString());
    }

    /** Guards against a fleet that stays away from a partner for most of a minute after one refusal by each. */
    @Test
    void oneOfManyRelaysComesBackSoonAfterARefusal() {
        rig = new Rig(Rig.settings(10, 50, 12, false, 200));
        rig.list(ListingKind.REMEMBERED, Rig.entry("a1", 1, 0, 0));
        String id = rig.submit(SAFE, 1);
        rig.outcome(id, "a1", 0, AttemptResult.FULL);
        rig.pass(2 * S);
        assertTrue(!rig.sent(id), "not while what others sent is still over the limit");
        rig.pass(6 * S);
        assertTrue(rig.sent(id), "five quiet seconds, spread, are enough");
    }

    /** Guards against a repeat that its connection, late to come up, carries past the window in which it is dropped. */
    @Test
    void noAttemptOfAKeyedMessageStaysOpenPastItsWindow() {
        String id = rig.submit(KEYED, 1);
        long first = rig.now;
        for (int attempt = 0; rig.checker.open().contains(id); attempt++) {
            rig.outcome(id, "a1", attempt, AttemptResult.ERROR);
            rig.outcome(rig.submit(SAFE, 1), "a1", 0, AttemptResult.DELIVERED); // it is well otherwise
            while (!rig.sent(id) && rig.checker.open().contains(id)) {
                rig.pass(5 * MS);
            }
            for (Action action : rig.actions) {
                assertTrue(!(action instanceof Action.Send s) || s.dropAtMicros() < first + 5 * S, action.toString());
            }
        }
        assertTrue(rig.now > first + 3 * S, "it was sent late enough to matter");
    }

    @Test
    void failedConnectsThatGoOnAreAnOutage() {
        Map<String, Integer> tries = new HashMap<>();
        for (int i = 0; i < 40; i++) {
            rig.submit(SAFE, 1);
        }
        rig.round();
        for (String id : List.copyOf(rig.checker.open())) {
            tries.put(id, 0);
        }
        int sent = 0;
        List<String> open = new ArrayList<>(rig.checker.open());
        for (String id : open.subList(0, 6)) {
            rig.outcome(id, "a1", 0, AttemptResult.NO_CONNECTION);
            tries.merge(id, 1, Integer::sum);
        }
        sent = answerAll(tries, 8 * S, AttemptResult.NO_CONNECTION);
        int later = answerAll(tries, 8 * S, AttemptResult.NO_CONNECTION);
        assertTrue(later <= 8, "trials only: " + sent + " then " + later);
    }

    @Test
    void inALargeFleetOneFailureTellsAndTrialsComeApartAsTheOutageLasts() {
        rig = new Rig(Rig.settings(10, 50, 12, false, 200));
        rig.list(ListingKind.REMEMBERED, Rig.entry("a1", 1, 0, 0));
        Map<String, Integer> tries = new HashMap<>();
        for (int i = 0; i < 6; i++) {
            tries.put(rig.submit(SAFE, 1), 1);
        }
        tries.keySet().forEach(id -> rig.outcome(id, "a1", 0, AttemptResult.ERROR));
        answerAll(tries, 5 * S, AttemptResult.ERROR);
        int later = answerAll(tries, 10 * S, AttemptResult.ERROR);
        assertTrue(later <= 2, "hundreds of relays may have seen it: " + later + " trials in ten seconds");
    }

    @Test
    void whereFailuresAreBlipsASingleOneIsNoOutage() {
        rig = new Rig(Rig.settings(10, 50, 12, false, 200));
        rig.list(ListingKind.REMEMBERED, Rig.entry("a1", 1, 0, 0), Rig.entry("c1", 3, 0, 0));
        for (int i = 0; i < 6; i++) {
            String id = rig.submit(SAFE, 1);
            if (!rig.sent(id)) {
                pauseUntilSent(id, 30 * S);
            }
            rig.outcome(id, "a1", 0, AttemptResult.TIMED_OUT);
            assertTrue(pauseUntilSent(id, 3 * S) > 0);
            rig.outcome(id, "a1", 1, AttemptResult.DELIVERED);
        }
        String lost = rig.submit(SAFE, 3);
        rig.outcome(lost, "c1", 0, AttemptResult.TIMED_OUT);
        assertTrue(rig.sent(rig.submit(SAFE, 3)), "one lost call tells nothing of its endpoint");
    }

    @Test
    void connectsThatTimeOutAreNoCrowding() {
        rig = new Rig(Rig.settings(10, 50, 12, false, 200));
        rig.list(ListingKind.REMEMBERED, Rig.entry("a1", 1, 0, 0));
        String id = rig.submit(SAFE, 1);
        rig.round(new Event.Outcome(id, "a1", 0, AttemptResult.NO_CONNECTION, S, 0, false, false, null));
        String other = rig.submit(SAFE, 1);
        rig.pass(300 * MS);
        assertFalse(rig.sent(other) || rig.sent(id), "nothing was there: trials only");
    }

    @Test
    void whatCanNoLongerBeSentInTimeIsAnsweredAtOnce() {
        String first = rig.submit(SAFE, 1);
        rig.outcome(first, "a1", 0, AttemptResult.FULL, 30 * S);
        assertTrue(rig.refused(first), "the told wait outlasts its time");
        String next = rig.submit(SAFE, 1);
        assertTrue(rig.refused(next), "so it does for one that comes later");
        assertTrue(rig.actions.stream().anyMatch(a -> a instanceof Action.Refuse r && r.comeBackMicros() == 2 * S));
    }

    /** Calls in 4 s to a limit told as 10 a second that refuses all and reports this share left. */
    private int triesWith(double left) {
        rig = new Rig(Rig.settings(10, 50, 12, false, 100));
        rig.list(ListingKind.REMEMBERED, Rig.entry("a1", 1, 0, 0));
        Map<String, Integer> tries = new HashMap<>();
        int sent = 0;
        for (long end = rig.now + 4 * S; rig.now < end; rig.now += 50 * MS) {
            if (rig.checker.open().size() < 10) {
                rig.submit(SAFE, 1);
            } else {
                rig.round();
            }
            for (Action a : rig.actions) {
                if (a instanceof Action.Send s) {
                    sent++;
                    rig.now += 5 * MS;
                    rig.round(new Event.Outcome(
                            s.id(),
                            "a1",
                            tries.merge(s.id(), 1, Integer::sum) - 1,
                            AttemptResult.FULL,
                            5 * MS,
                            300 * MS,
                            false,
                            false,
                            new DecisionModule.LimitReport(left, 10)));
                }
            }
        }
        return sent;
    }

    @Test
    void aLimitWithNothingLeftAtAllIsLeftAloneSooner() {
        int some = triesWith(0.1);
        int none = triesWith(0);
        assertTrue(none < some, none + " against " + some);
    }

    @Test
    void aBusyHostThatTurnsOneAwayIsNotLeftAlone() {
        rig = new Rig(Rig.settings(10, 50, 12, false, 100));
        rig.list(ListingKind.REMEMBERED, Rig.entry("a1", 1, 0, 0));
        for (int i = 0; i < 10; i++) {
            String id = rig.submit(SAFE, 1);
            assertTrue(rig.sent(id) || pauseUntilSent(id, 2 * S) > 0, "call " + i);
            rig.outcome(id, "a1", 0, AttemptResult.DELIVERED);
            rig.pass(500 * MS);
        }
        String turned = rig.submit(SAFE, 1);
        rig.round(new Event.Outcome(turned, "a1", 0, AttemptResult.NO_CONNECTION, 20 * MS, 0, false, false, null));
        assertTrue(pauseUntilSent(turned, S) > 0, "its table was full, as deliveries before and after tell");
    }

    @Test
    void manyRelaysLeaveALimitThatIsUsedUpRoomToFill() {
        // 100 relays, 10 calls a second: at the old pace all that wait keep it at nothing for good.
        rig = new Rig(Rig.settings(10, 50, 12, false, 100));
        rig.list(ListingKind.REMEMBERED, Rig.entry("a1", 1, 0, 0));
        String id = rig.submit(SAFE, 1);
        rig.round(new Event.Outcome(
                id, "a1", 0, AttemptResult.FULL, 5 * MS, 0, false, false, new DecisionModule.LimitReport(0, 10)));
        assertTrue(pauseUntilSent(id, 19 * S) >= 100 / (0.7 * 10) * S, "no more than 0.7 of the even share");
    }

    @ParameterizedTest
    @CsvSource({"ERROR,ACTIVE", "NO_CONNECTION,ACTIVE", "NO_CONNECTION,LEFT", "ERROR,LEFT"})
    void aNewHostOfADestinationInOutageIsNoWayRoundIt(AttemptResult ending, Presence old) {
        rig = new Rig(Rig.settings(10, 50, 12, false, 50));
        rig.list(ListingKind.REMEMBERED, Rig.entry("a1", 1, 0, 0));
        Map<String, Integer> tries = new HashMap<>();
        for (int i = 0; i < 4; i++) {
            tries.put(rig.submit(SAFE, 1), 1);
        }
        tries.keySet().forEach(id -> rig.outcome(id, "a1", 0, ending));
        answerAll(tries, 10 * S, ending);
        rig.list(ListingKind.CHANGES, Rig.entry("a2", 1, 0, 0), new EndpointEntry("a1", 1, 0, 0, old, 1, 0));
        assertTrue(rig.sentTo().size() <= 1, rig.sentTo().toString());
    }

    @Test
    void aReplacedHostIsUsedOnlyOnceListedAndTheOldOneNoMore() {
        rig = new Rig(Rig.settings(10, 400, 12, false, 200));
        DecisionModule.EndpointEntry[] many = new DecisionModule.EndpointEntry[300];
        for (int i = 0; i < many.length; i++) {
            many[i] = Rig.entry("h" + i, i, i % 2, 0);
        }
        rig.list(ListingKind.REMEMBERED, many);
        rig.list(ListingKind.CHANGES, new DecisionModule.EndpointEntry("h7", 7, 1, 0, Presence.LEFT, 1, 0));
        String id = rig.submit(SAFE, 7);
        assertFalse(rig.sent(id), "its only host has gone");
        rig.list(ListingKind.CHANGES, Rig.entry("new", 7, 1, 0));
        assertEquals(List.of("new"), rig.sentTo());
    }

    @Test
    void refusalsInARowSlowAHeldLimitTowardsTheEvenShare() {
        rig = new Rig(Rig.settings(10, 50, 12, false, 100));
        rig.list(ListingKind.REMEMBERED, Rig.entry("a1", 1, 0, 0));
        Map<String, Integer> tries = new HashMap<>();
        for (int i = 0; i < 12; i++) {
            String id = rig.submit(SAFE, 1);
            if (rig.sent(id)) {
                tries.put(id, 1);
                rig.outcome(id, "a1", 0, AttemptResult.FULL, i == 0 ? 0 : 300 * MS);
            }
        }
        int first = answerAll(tries, 5 * S, AttemptResult.FULL);
        int later = answerAll(tries, 10 * S, AttemptResult.FULL);
        assertTrue(later <= 2, "first " + first + ", later " + later);
    }

    @Test
    void anOutageGetsFewTrialsAndAReturnStaysInItsBudget() {
        List<String> ids = List.of(rig.submit(SAFE, 1), rig.submit(SAFE, 1), rig.submit(SAFE, 1), rig.submit(SAFE, 1));
        ids.forEach(id -> rig.outcome(id, "a1", 0, AttemptResult.ERROR));
        rig.pass(4 * S);
        assertEquals(1, rig.sentTo().size(), "one trial, whose outcome is still to come");
        rig.now += MS;
        rig.outcome(
                ((Action.Send) rig.actions.stream()
                                .filter(Action.Send.class::isInstance)
                                .findFirst()
                                .orElseThrow())
                        .id(),
                "a1",
                1,
                AttemptResult.DELIVERED);
        rig.checker.returned("a1", rig.now, 4);
        for (int i = 0; i < 600; i++) {
            rig.now += 5 * MS;
            if (i % 20 == 0) {
                rig.submit(SAFE, 1);
            } else {
                rig.round();
            }
            for (Action a : rig.actions) {
                if (a instanceof Action.Send s) {
                    rig.now += MS;
                    for (int n = 0; n < 3; n++) {
                        rig.outcome(s.id(), "a1", n, AttemptResult.DELIVERED);
                    }
                }
            }
        }
    }

    @Test
    void oneBadEndpointLeavesTheOtherAtFullPace() {
        rig.list(ListingKind.CHANGES, Rig.entry("a2", 1, 0, 0));
        int taken = 0;
        for (int i = 0; i < 400; i++) {
            rig.now += 5 * MS;
            if (i % 20 == 0) {
                rig.submit(SAFE, 1);
            } else {
                rig.round();
            }
            for (Action.Send s : rig.actions.stream()
                    .filter(Action.Send.class::isInstance)
                    .map(Action.Send.class::cast)
                    .toList()) {
                int n = attempts.merge(s.id(), 1, Integer::sum) - 1;
                taken += s.host().equals("a2") ? 1 : 0;
                rig.outcome(
                        s.id(),
                        s.host(),
                        n,
                        s.host().equals("a2") ? AttemptResult.DELIVERED : AttemptResult.NO_CONNECTION);
            }
        }
        assertTrue(taken >= 15, "taken " + taken + " of 20");
    }

    @Test
    void aPartOfTheCallsFailingIsNoOutage() {
        int taken = 0;
        for (int i = 0; i < 100; i++) {
            String id = rig.submit(SAFE, 1);
            taken += rig.sent(id) ? 1 : 0;
            if (rig.sent(id)) {
                rig.outcome(id, "a1", 0, i % 5 < 2 ? AttemptResult.RESET : AttemptResult.DELIVERED);
            }
            rig.pass(300 * MS);
            for (Action.Send s : rig.actions.stream()
                    .filter(Action.Send.class::isInstance)
                    .map(Action.Send.class::cast)
                    .toList()) {
                rig.outcome(s.id(), "a1", 1, AttemptResult.DELIVERED);
            }
        }
        assertTrue(taken >= 60, "sent at once " + taken + " of 100");
    }

    @Test
    void messagesOfAHeldBatchedKindStillGoAlong() {
        rig = new Rig(Rig.settings(2, 50, 6, false));
        rig.list(ListingKind.REMEMBERED, Rig.entry("c1", 3, 0, 2));
        String first = rig.submit(SAFE, 3);
        rig.outcome(first, "c1", 0, AttemptResult.FULL);
        for (int i = 0; i < 4; i++) {
            rig.submit(SAFE, 3);
        }
        assertEquals(List.of(), rig.sentTo());
        rig.pass(3 * S);
        assertEquals(5, rig.sentTo().size());
    }

    @Test
    void messagesOfABatchedKindTravelInOneCall() {
        rig = new Rig(Rig.settings(1, 50, 6, false));
        rig.list(ListingKind.REMEMBERED, Rig.entry("c1", 3, 0, 2));
        List<Event> events = new ArrayList<>();
        for (int i = 0; i < 5; i++) {
            events.add(new Event.Submit("x" + i, SAFE, 3, 0, null, false, false, 20 * S));
        }
        rig.round(events.toArray(new Event[0]));
        assertEquals(5, rig.sentTo().size());
    }

    // ---- memory ----
    @Test
    void whatIsFinishedIsForgotten() throws ReflectiveOperationException {
        for (int i = 0; i < 300; i++) {
            String id = rig.submit(UNSAFE, 1, "key" + i);
            rig.outcome(id, "a1", 0, AttemptResult.DELIVERED);
            rig.list(ListingKind.ALL, Rig.entry("a1", 1, 0, 0), Rig.entry("gone" + i, 2, 0, 1));
        }
        for (String name : List.of("messages", "lines")) {
            assertEquals(0, ((Map<?, ?>) field(name)).size(), name);
        }
        assertEquals(2, ((Map<?, ?>) field("endpoints")).size());
        rig.pass(21 * S);
        assertTrue(((java.util.Collection<?>) field("dues")).isEmpty());
    }

    @Test
    void aKeyThatRestedIsForgotten() throws ReflectiveOperationException {
        String id = rig.submit(UNSAFE, 1, "k");
        rig.outcome(id, "a1", 0, AttemptResult.TIMED_OUT);
        rig.pass(2 * S);
        assertEquals(0, ((Map<?, ?>) field("lines")).size());
    }

    private Object field(String name) throws ReflectiveOperationException {
        var field = DeliveryPolicy.class.getDeclaredField(name);
        field.setAccessible(true);
        return field.get(rig.relay);
    }

    // ---- settings ----
    @Test
    void settingsThatMakeNoSenseAreNamed() {
        IllegalArgumentException e = assertThrows(
                IllegalArgumentException.class, () -> DecisionModule.create(Rig.settings(0, 50, 6, false), 1));
        assertTrue(e.getMessage().contains("slots"));
    }

    // ---- a program that restarts or ends ----
    private Event.Submit resumed(int messageClass, int attempts, boolean mayHaveRun, long riskAgo) {
        return new Event.Submit(
                "r",
                messageClass,
                1,
                0,
                null,
                false,
                false,
                20 * S,
                new DecisionModule.PriorAttempts(attempts, mayHaveRun, "a1", 0, rig.now - riskAgo));
    }

    @Test
    void anUnsafeMessageThatMayHaveRunInAnEarlierLifeFailsAtOnce() {
        assertTrue(rig.round(resumed(UNSAFE, 1, true, S)).failed("r"));
        assertTrue(rig.round(resumed(UNSAFE, 1, false, 0)).sent("r"), "one that never ran is sent");
    }

    @Test
    void aKeyedMessageOfAnEarlierLifeKeepsItsWindow() {
        assertTrue(rig.round(resumed(Rig.KEYED, 1, true, 4 * S)).sent("r"));
        rig = Rig.started();
        assertTrue(rig.round(resumed(Rig.KEYED, 1, true, 6 * S)).refused("r"));
    }

    /**
     * What a restart found is tried, however full the hold gets: room is made by others, or by turning newcomers away.
     */
    @Test
    void whatOutlivedAProcessIsNotGivenUpForRoom() {
        rig.round(new Event.Listing(ListingKind.REMEMBERED, 2, List.of()));
        List<Event> found = new ArrayList<>();
        for (int i = 0; i < 49; i++) {
            found.add(new Event.Submit(
                    "r" + i,
                    SAFE,
                    1,
                    0,
                    null,
                    false,
                    false,
                    20 * S,
                    new DecisionModule.PriorAttempts(0, false, "", 0, 0)));
        }
        rig.round(found.toArray(Event[]::new));
        assertEquals(
                0,
                rig.actions.stream().filter(a -> a instanceof Action.Refuse).count(),
                "untried, with all their time left");
        String fresh = rig.submit(SAFE, 1);
        assertTrue(rig.refused(fresh), "the newcomer, whose client may find another forwarder");
        assertEquals(
                1, rig.actions.stream().filter(a -> a instanceof Action.Refuse).count());
    }

    @Test
    void attemptsOfAnEarlierLifeCount() {
        assertTrue(rig.round(resumed(SAFE, 6, false, 0)).refused("r"));
    }

    @Test
    void aPermanentRefusalEndsTheMessageAtOnce() {
        String id = rig.submit(SAFE, 1);
        assertTrue(rig.outcome(id, "a1", 0, AttemptResult.REJECTED).failed(id));
    }

    @Test
    void nothingIsStartedThatTheEndOfTheProgramCouldCut() {
        rig.round(new Event.Stopping(rig.now + 2 * S));
        assertTrue(!rig.sent(rig.submit(UNSAFE, 1)), "its call may take longer than that");
        assertTrue(rig.sent(rig.submit(SAFE, 1)), "its call is given up sooner");
    }
}
