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
import lilaclever.DecisionModule.Ending;
import lilaclever.DecisionModule.Entry;
import lilaclever.DecisionModule.Event;
import lilaclever.DecisionModule.ListingKind;
import lilaclever.DecisionModule.Presence;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Scripted cases for the whole decision module: retry delays, rate limits, outages, drains, the order of keys,
 * restarts, and each outcome for each repeat class. {@link RuleChecker} checks every case as well.
 */
class DeliveryPolicyTest {
    private final Map<String, Integer> attempts = new HashMap<>();
    private Rig rig = Rig.started();

    @AfterEach
    void noRuleIsBroken() {
        assertEquals(List.of(), rig.checker.breaches());
    }

    /** Runs rounds until the message is sent; returns the microseconds that took, or -1 if it was not sent. */
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

    // Retries, rate limits and attempts
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
            rig.outcome(id, "a1", i, Ending.FULL);
            long pause = pauseUntilSent(id, 16 * S);
            assertTrue(pause >= steps[i] / 2, "delay " + i + " was " + pause);
            // From the second refusal in a row on, the lower rate of an outage may add to the step.
            assertTrue(pause <= steps[i] * 3 / 2 + (i == 0 ? 2500 : 6500) * MS, "delay " + i + " was " + pause);
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
                    S, List.of(new Event.Outcome("m", "a1", 0, Ending.NOT_SENT, 1, 0, true, false, null)))) {
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
        rig.outcome(first, "a1", 0, Ending.FULL);
        rig.pass(S);
        int sent = 0;
        for (int i = 0; i < 200; i++) {
            rig.now += 5 * MS;
            String id = rig.submit(SAFE, 1);
            for (Action a : rig.actions) {
                if (a instanceof Action.Send s) {
                    sent++;
                    rig.outcome(s.id(), "a1", s.id().equals(first) ? 1 : 0, Ending.DELIVERED);
                }
            }
            assertTrue(id != null);
        }
        assertTrue(sent <= 10, "sent " + sent + " in a second");
    }

    @Test
    void theHoldEndsAfterFiveQuietSecondsAndItsRoofLater() {
        String first = rig.submit(SAFE, 1);
        rig.outcome(first, "a1", 0, Ending.FULL);
        assertTrue(pauseUntilSent(first, 4 * S) > 0);
        rig.outcome(first, "a1", 1, Ending.DELIVERED);
        rig.pass(6 * S);
        assertTrue(fiveAtOnce() < 5, "waiting messages must not all be sent at once");
        rig.pass(16 * S);
        assertEquals(5, fiveAtOnce(), "the rate ceiling ends as well");
    }

    /** Submits five messages, has all of them delivered, and returns how many were sent at once. */
    private int fiveAtOnce() {
        List<String> at = new ArrayList<>();
        for (int i = 0; i < 5; i++) {
            String id = rig.submit(SAFE, 1);
            if (rig.sent(id)) {
                at.add(id);
            }
        }
        at.forEach(id -> rig.outcome(id, "a1", 0, Ending.DELIVERED));
        answerAll(new HashMap<>(), S, Ending.DELIVERED);
        return at.size();
    }

    @Test
    void whatIsLateGoesAfterWhatIsFreshAndWhatIsAboutToBeLateFirst() {
        rig = new Rig(Rig.settings(1, 50, 6, false));
        rig.list(ListingKind.REMEMBERED, Rig.entry("a1", 1, 0, 0));
        String out = rig.submit(SAFE, 1);
        String late = rig.submit(SAFE, 1);
        rig.now += 6 * S; // three times its aim
        String near = rig.submit(SAFE, 1);
        rig.now += 1900 * MS; // nearly its aim of 2 s
        String fresh = rig.submit(SAFE, 1);
        List<String> order = new ArrayList<>();
        for (String id = out; id != null; ) {
            rig.outcome(id, "a1", 0, Ending.DELIVERED);
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
        rig.outcome(id, "a1", 0, Ending.FULL, 1500 * MS);
        String other = rig.submit(SAFE, 1);
        rig.pass(1490 * MS);
        assertEquals(List.of(), rig.sentTo());
        rig.pass(5 * S);
        assertTrue(rig.sent(other) || rig.sent(id));
    }

    /**
     * A call that was decided before a retry-after arrived and then not written does not count as an attempt; its
     * message is sent once the retry-after is over.
     */
    @Test
    void aWithheldCallIsNoAttemptAndTellsTheWait() {
        String id = rig.submit(UNSAFE, 1);
        for (int i = 0; i < 8; i++) { // more than the attempts that a message may have
            rig.outcome(id, "a1", 0, Ending.WITHHELD, 500 * MS);
            rig.pass(490 * MS);
            assertEquals(List.of(), rig.sentTo());
            rig.pass(600 * MS);
            assertTrue(rig.sent(id));
        }
    }

    /** A retry-after must be honoured whatever the outcome that it came with, a delivery too. */
    @Test
    void aWaitToldWithAnyOutcomeBinds() {
        String id = rig.submit(SAFE, 1);
        String other = rig.submit(SAFE, 1);
        rig.outcome(id, "a1", 0, Ending.DELIVERED, 1500 * MS);
        rig.outcome(other, "a1", 0, Ending.ERROR, 0);
        rig.submit(SAFE, 1);
        rig.pass(1490 * MS);
        assertEquals(List.of(), rig.sentTo());
    }

    @Test
    void aToldWaitOfARouteApartLeavesTheOtherRoute() {
        rig.list(ListingKind.CHANGES, Rig.entry("b2", 2, 0, 1));
        String id = rig.submit(SAFE, 2);
        String host = rig.sentTo().get(0);
        rig.outcome(id, host, 0, Ending.FULL, 2 * S);
        rig.submit(SAFE, 2);
        assertEquals(List.of(host.equals("b1") ? "b2" : "b1"), rig.sentTo());
    }

    @Test
    void aRouteTakenOffAndListedAgainKeepsItsWait() {
        String id = rig.submit(SAFE, 2);
        rig.outcome(id, "b1", 0, Ending.FULL, 3 * S);
        rig.list(ListingKind.ALL);
        rig.list(ListingKind.ALL, Rig.entry("b1", 2, 0, 1));
        rig.pass(2900 * MS);
        assertEquals(List.of(), rig.sentTo());
    }

    @Test
    void endsAtTheAttemptLimit() {
        String id = rig.submit(SAFE, 1);
        for (int i = 0; i < 6; i++) {
            rig.outcome(id, "a1", i, Ending.NOT_SENT);
            if (i < 5) {
                assertTrue(pauseUntilSent(id, 12 * S) > 0 || rig.now > 1019 * S);
            }
        }
        assertTrue(rig.checker.open().isEmpty());
    }

    // Outcomes by repeat class
    @ParameterizedTest
    @EnumSource(
            value = Ending.class,
            names = {"FULL", "NO_CONNECTION", "NOT_SENT"})
    void whatNeverRanIsRepeatedInEachClass(Ending ending) {
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
            value = Ending.class,
            names = {"ERROR", "TIMED_OUT", "RESET", "CANCELED"})
    void whatMayHaveRunIsRepeatedUnlessUnsafe(Ending ending) {
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
        rig.outcome(id, "a1", 0, Ending.ERROR);
        rig.round(new Event.Listing(ListingKind.ALL, 2, List.of(Rig.entry("b1", 2, 0, 1))));
        rig.pass(5100 * MS);
        assertTrue(rig.refused(id), "every endpoint drops repeats, so a refusal is harmless");
    }

    @Test
    void aZonedMessageIsNotRefusedOnceItMayHaveRun() {
        String id = rig.submit(ZONED, 1);
        rig.outcome(id, "a1", 0, Ending.ERROR);
        rig.round(new Event.Listing(ListingKind.ALL, 2, List.of(Rig.entry("a2", 1, 1, 0))));
        rig.pass(5100 * MS);
        assertTrue(rig.failed(id));
    }

    // Final answers
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
        rig.round(new Event.Withdrawn(id)).outcome(id, "a1", 0, Ending.ERROR).pass(S);
        assertEquals(List.of(), rig.sentTo());
        rig.round(new Event.Withdrawn("unknown"), new Event.Timer(5));
    }

    // Drains and endpoint lists
    @Test
    void aLeavingHostGetsNothingNew() {
        rig.list(ListingKind.CHANGES, new Entry("a1", 1, 0, 0, Presence.LEAVING, 1, 0));
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
            assertTrue(last >= least && last < 10 * S, "requested after " + last);
        }
    }

    // Order of keys
    @Test
    void oneKeyGoesOneAtATimeInOrder() {
        String first = rig.submit(UNSAFE, 1, "k");
        String second = rig.submit(UNSAFE, 1, "k");
        String other = rig.submit(UNSAFE, 1, "other");
        assertTrue(rig.sent(other));
        rig.outcome(first, "a1", 0, Ending.FULL);
        rig.pass(5 * MS);
        assertFalse(rig.sent(second));
        assertTrue(pauseUntilSent(first, 5 * S) > 0);
        rig.outcome(first, "a1", 1, Ending.DELIVERED);
        assertTrue(rig.sent(second) || pauseUntilSent(second, 5 * S) > 0);
    }

    @Test
    void aKeyRestsAfterATimeOut() {
        String first = rig.submit(UNSAFE, 1, "k");
        String second = rig.submit(UNSAFE, 1, "k");
        rig.outcome(first, "a1", 0, Ending.TIMED_OUT);
        assertTrue(pauseUntilSent(second, 5 * S) >= 100 * MS);
    }

    // Outages, slots and connections
    @Test
    void aHangingDestinationLeavesSlotsForOthers() {
        for (int i = 0; i < 10; i++) {
            rig.submit(SAFE, 1);
        }
        assertTrue(rig.sent(rig.submit(SAFE, 2)));
    }

    /** Submits a message for each of six destinations in one round, none of which is answered; returns their ids. */
    private List<String> sentTogether(int slots, int messageClass) {
        rig = new Rig(Rig.settings(slots, 100, 6, false));
        Entry[] entries = new Entry[10];
        for (int d = 0; d < entries.length; d++) {
            entries[d] = Rig.entry("h" + d, d, 0, 0);
        }
        rig.list(ListingKind.REMEMBERED, entries);
        for (int i = 0; i < 10; i++) {
            String id = rig.submit(SAFE, 9);
            rig.now += 50 * MS;
            rig.outcome(id, "h9", 0, Ending.DELIVERED); // sets the usual answer time
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
            rig.now += 50 * MS; // 20 calls a second for two seconds
            rig.outcome(id, "a1", 0, Ending.DELIVERED);
        }
        String ill = rig.submit(SAFE, 1);
        for (int i = 0; i < 4; i++) {
            rig.outcome(ill, "a1", i, Ending.ERROR);
            pauseUntilSent(ill, 20 * S);
        }
        rig.outcome(ill, "a1", 4, Ending.DELIVERED);
        for (int i = 0; i < 40; i++) {
            rig.submit(SAFE, 1);
        }
        int sent = answerAll(new HashMap<>(), 2 * S, Ending.DELIVERED);
        // At first 0.85 x 2.5 x 0.2 of 20 calls a second, then a little more as slow start goes on.
        assertTrue(sent >= 14 && sent <= 26, "sent " + sent + " in the first two seconds of recovery");
    }

    @Test
    void aDestinationThatNothingIsKnownOfIsFedByTheMeanOfAll() {
        for (int i = 0; i < 200; i++) {
            String id = rig.submit(SAFE, 2);
            rig.now += 10 * MS; // 100 calls a second to the other destination
            rig.outcome(id, "b1", 0, Ending.DELIVERED);
        }
        String ill = rig.submit(SAFE, 1);
        for (int i = 0; i < 4; i++) {
            rig.outcome(ill, "a1", i, Ending.ERROR);
            pauseUntilSent(ill, 20 * S);
        }
        rig.outcome(ill, "a1", 4, Ending.DELIVERED);
        for (int i = 0; i < 40; i++) {
            rig.submit(SAFE, 1);
        }
        int sent = answerAll(new HashMap<>(), 2 * S, Ending.DELIVERED);
        // At first 0.85 x 2.5 x 0.2 of a quarter of 50 calls a second, then a little more as slow start goes on.
        assertTrue(sent >= 8 && sent <= 18, "sent " + sent + " in the first two seconds of recovery");
    }

    @Test
    void callsFarBeyondUsualGiveUpSlotsThatOthersCouldUse() {
        for (int messageClass : new int[] {SAFE, UNSAFE}) {
            sentTogether(5, messageClass);
            assertEquals(5, rig.sentTo().size());
            rig.pass(5 * S);
            long given =
                    rig.actions.stream().filter(Action.Cancel.class::isInstance).count();
            assertEquals(1, given, "one message waits: one call is cancelled, not all five");
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
            ends[d] = new Event.Outcome(ids.get(d), "h" + d, 0, Ending.TIMED_OUT, 2 * S, 0, false, false, null);
        }
        rig.round(ends);
        rig.now += 400 * MS; // all six may be sent again now, each to an endpoint that timed out
        rig.round();
        assertEquals(6, rig.sentTo().size(), "the share of 20 slots is enough for six");
        sentTogether(10, SAFE);
        rig.now += 2 * S;
        rig.round(ends);
        rig.now += 400 * MS;
        rig.round();
        assertEquals(3, rig.sentTo().size(), "three of ten slots, also where all are selected in one round");
    }

    @Test
    void severalHangingDestinationsTogetherLeaveSlotsForTheRest() {
        rig.list(ListingKind.CHANGES, Rig.entry("d1", 4, 0, 0), Rig.entry("e1", 5, 0, 0));
        String well = rig.submit(SAFE, 2);
        rig.outcome(well, "b1", 0, Ending.DELIVERED);
        int open = 0;
        for (int i = 0; i < 3; i++) {
            for (int dest : new int[] {1, 4, 5}) {
                rig.submit(SAFE, dest);
                open += rig.sentTo().size();
                rig.pass(500 * MS);
                open += rig.sentTo().size();
            }
        }
        assertTrue(open <= 5, "unanswered calls hold " + open + " of 10 slots");
        assertTrue(rig.sent(rig.submit(SAFE, 2)));
    }

    @Test
    void aLongToldWaitIsReadAsShutAndItsEndAsAReturn() {
        List<String> ids = List.of(rig.submit(SAFE, 1), rig.submit(SAFE, 1), rig.submit(SAFE, 1));
        rig.outcome(ids.get(0), "a1", 0, Ending.FULL, 6 * S);
        rig.outcome(ids.get(1), "a1", 0, Ending.FULL, 6 * S);
        rig.outcome(ids.get(2), "a1", 0, Ending.FULL, 6 * S);
        rig.pass(10 * S);
        assertEquals(1, rig.sentTo().size(), "one trial call after the retry-after, not all waiting messages");
    }

    /** Runs rounds for a while; every send ends with this ending 5 ms later. Returns the number of sends. */
    private int answerAll(Map<String, Integer> tries, long micros, Ending ending) {
        int sent = 0;
        for (long until = rig.now + micros; rig.now < until; ) {
            rig.now += 5 * MS;
            rig.round();
            // Sends that follow from an outcome are answered too.
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
        ids.forEach(id -> rig.outcome(id, "a1", 0, Ending.NO_CONNECTION));
        Map<String, Integer> tries = new HashMap<>();
        ids.forEach(id -> tries.put(id, 1));
        int sent = answerAll(tries, 6 * S, Ending.DELIVERED);
        assertEquals(5, sent, "one trial call and no slow start: once a call is accepted, waiting messages go");
        rig.submit(SAFE, 1);
        rig.outcome(((Action.Send) rig.actions.get(0)).id(), "a1", 0, Ending.DELIVERED);
        assertTrue(rig.actions.stream().anyMatch(Action.CloseIdle.class::isInstance), rig.actions.toString());
    }

    /**
     * Guards against a forwarder that holds its connections, so never sees a rejected connect, and locks out forwarders
     * without any: a connect rejected by another endpoint of the same kind must make it close idle ones.
     */
    @Test
    void whereAKindTakesFewConnectionsABusyRelayKeepsNoneEither() {
        rig = new Rig(Rig.settings(10, 50, 12, false, 14));
        rig.list(ListingKind.REMEMBERED, Rig.entry("a1", 1, 0, 0), Rig.entry("c1", 3, 0, 0), Rig.entry("b1", 2, 0, 1));
        for (int i = 0; i < 20; i++) {
            rig.outcome(rig.submit(SAFE, 1), "a1", 0, Ending.DELIVERED).pass(100 * MS);
        }
        assertTrue(rig.actions.stream().noneMatch(Action.CloseIdle.class::isInstance), rig.actions.toString());
        rig.outcome(rig.submit(SAFE, 3), "c1", 0, Ending.NO_CONNECTION);
        rig.outcome(rig.submit(SAFE, 1), "a1", 0, Ending.DELIVERED);
        assertTrue(rig.actions.contains(new Action.CloseIdle("a1")), rig.actions.toString());
        rig.outcome(rig.submit(SAFE, 2), "b1", 0, Ending.DELIVERED);
        assertTrue(
                rig.actions.stream().noneMatch(Action.CloseIdle.class::isInstance), "nothing is known about other kinds");
    }

    /**
     * Guards against slow start at an endpoint that was healthy and only rejected further connections for lack of
     * capacity: waiting messages would be sent too slowly.
     */
    @Test
    void anAnswerThatThereIsNoRoomForAConnectionIsNoOutage() {
        rig = new Rig(Rig.settings(10, 50, 12, false, 14));
        rig.list(ListingKind.REMEMBERED, Rig.entry("a1", 1, 0, 0));
        Map<String, Integer> tries = new HashMap<>();
        String first = rig.submit(SAFE, 1);
        rig.outcome(first, "a1", 0, Ending.NO_CONNECTION);
        tries.put(first, 1);
        answerAll(tries, 12 * S, Ending.NO_CONNECTION); // an outage, so no full connection table
        rig.pass(60 * S);
        rig.outcome(rig.submit(SAFE, 1), "a1", 0, Ending.DELIVERED).pass(15 * S); // recovered, and slow start is over
        List<String> ids = List.of(
                rig.submit(SAFE, 1),
                rig.submit(SAFE, 1),
                rig.submit(SAFE, 1),
                rig.submit(SAFE, 1),
                rig.submit(SAFE, 1));
        ids.forEach(id -> rig.outcome(id, "a1", 0, Ending.NO_ROOM));
        ids.forEach(id -> tries.put(id, 1));
        assertEquals(5, answerAll(tries, 3 * S, Ending.DELIVERED), "all are sent once connects are accepted");
    }

    /** Guards against a large fleet that fills an endpoint's connection table with one idle connection each. */
    @Test
    void inALargeFleetNoConnectionIsKeptIdle() {
        rig = new Rig(Rig.settings(10, 50, 12, false, 200));
        rig.list(ListingKind.REMEMBERED, Rig.entry("a1", 1, 0, 0));
        rig.outcome(rig.submit(SAFE, 1), "a1", 0, Ending.DELIVERED);
        assertTrue(rig.actions.contains(new Action.CloseIdle("a1")), rig.actions.toString());
    }

    /** Guards against a fleet that avoids a partner for most of a minute after each forwarder got one refusal. */
    @Test
    void oneOfManyRelaysComesBackSoonAfterARefusal() {
        rig = new Rig(Rig.settings(10, 50, 12, false, 200));
        rig.list(ListingKind.REMEMBERED, Rig.entry("a1", 1, 0, 0));
        String id = rig.submit(SAFE, 1);
        rig.outcome(id, "a1", 0, Ending.FULL);
        rig.pass(2 * S);
        assertTrue(!rig.sent(id), "not while the calls of other forwarders may still exceed the limit");
        rig.pass(6 * S);
        assertTrue(rig.sent(id), "five seconds without a refusal, times a random factor, are enough");
    }

    /** Guards against a repeat that a slow connect delays past the repeat window, so that it takes effect again. */
    @Test
    void noAttemptOfAKeyedMessageStaysOpenPastItsWindow() {
        String id = rig.submit(KEYED, 1);
        long first = rig.now;
        for (int attempt = 0; rig.checker.open().contains(id); attempt++) {
            rig.outcome(id, "a1", attempt, Ending.ERROR);
            rig.outcome(rig.submit(SAFE, 1), "a1", 0, Ending.DELIVERED); // other messages are delivered
            while (!rig.sent(id) && rig.checker.open().contains(id)) {
                rig.pass(5 * MS);
            }
            for (Action action : rig.actions) {
                assertTrue(!(action instanceof Action.Send s) || s.dropAtMicros() < first + 5 * S, action.toString());
            }
        }
        assertTrue(rig.now > first + 3 * S, "it was sent close to the end of its repeat window");
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
            rig.outcome(id, "a1", 0, Ending.NO_CONNECTION);
            tries.merge(id, 1, Integer::sum);
        }
        sent = answerAll(tries, 8 * S, Ending.NO_CONNECTION);
        int later = answerAll(tries, 8 * S, Ending.NO_CONNECTION);
        assertTrue(later <= 8, "trial calls only: " + sent + " then " + later);
    }

    @Test
    void inALargeFleetOneFailureTellsAndTrialsComeApartAsTheOutageLasts() {
        rig = new Rig(Rig.settings(10, 50, 12, false, 200));
        rig.list(ListingKind.REMEMBERED, Rig.entry("a1", 1, 0, 0));
        Map<String, Integer> tries = new HashMap<>();
        for (int i = 0; i < 6; i++) {
            tries.put(rig.submit(SAFE, 1), 1);
        }
        tries.keySet().forEach(id -> rig.outcome(id, "a1", 0, Ending.ERROR));
        answerAll(tries, 5 * S, Ending.ERROR);
        int later = answerAll(tries, 10 * S, Ending.ERROR);
        assertTrue(later <= 2, "hundreds of forwarders may have seen it: " + later + " trial calls in ten seconds");
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
            rig.outcome(id, "a1", 0, Ending.TIMED_OUT);
            assertTrue(pauseUntilSent(id, 3 * S) > 0);
            rig.outcome(id, "a1", 1, Ending.DELIVERED);
        }
        String lost = rig.submit(SAFE, 3);
        rig.outcome(lost, "c1", 0, Ending.TIMED_OUT);
        assertTrue(rig.sent(rig.submit(SAFE, 3)), "one lost call does not show an outage of its endpoint");
    }

    @Test
    void connectsThatTimeOutAreNoCrowding() {
        rig = new Rig(Rig.settings(10, 50, 12, false, 200));
        rig.list(ListingKind.REMEMBERED, Rig.entry("a1", 1, 0, 0));
        String id = rig.submit(SAFE, 1);
        rig.round(new Event.Outcome(id, "a1", 0, Ending.NO_CONNECTION, S, 0, false, false, null));
        String other = rig.submit(SAFE, 1);
        rig.pass(300 * MS);
        assertFalse(rig.sent(other) || rig.sent(id), "connects time out, so only trial calls are made");
    }

    @Test
    void whatCanNoLongerBeSentInTimeIsAnsweredAtOnce() {
        String first = rig.submit(SAFE, 1);
        rig.outcome(first, "a1", 0, Ending.FULL, 30 * S);
        assertTrue(rig.refused(first), "the retry-after is longer than its time");
        String next = rig.submit(SAFE, 1);
        assertTrue(rig.refused(next), "so it is for a message that comes later");
        assertTrue(rig.actions.stream().anyMatch(a -> a instanceof Action.Refuse r && r.comeBackMicros() == 2 * S));
    }

    /** Counts calls in 4 s to a limit that refuses all, and reports 10 calls a second and this share left. */
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
                            Ending.FULL,
                            5 * MS,
                            300 * MS,
                            false,
                            false,
                            new DecisionModule.Report(left, 10)));
                }
            }
        }
        return sent;
    }

    @Test
    void aLimitWithNothingLeftAtAllIsLeftAloneSooner() {
        int some = triesWith(0.1);
        int none = triesWith(0);
        assertTrue(none < some, none + " calls against " + some);
    }

    @Test
    void aBusyHostThatTurnsOneAwayIsNotLeftAlone() {
        rig = new Rig(Rig.settings(10, 50, 12, false, 100));
        rig.list(ListingKind.REMEMBERED, Rig.entry("a1", 1, 0, 0));
        for (int i = 0; i < 10; i++) {
            String id = rig.submit(SAFE, 1);
            assertTrue(rig.sent(id) || pauseUntilSent(id, 2 * S) > 0, "call " + i);
            rig.outcome(id, "a1", 0, Ending.DELIVERED);
            rig.pass(500 * MS);
        }
        String turned = rig.submit(SAFE, 1);
        rig.round(new Event.Outcome(turned, "a1", 0, Ending.NO_CONNECTION, 20 * MS, 0, false, false, null));
        assertTrue(pauseUntilSent(turned, S) > 0, "its connection table was full, as the deliveries before show");
    }

    @Test
    void manyRelaysLeaveALimitThatIsUsedUpRoomToFill() {
        // 100 forwarders share 10 calls a second: at the throttled rate they would keep it used up for good.
        rig = new Rig(Rig.settings(10, 50, 12, false, 100));
        rig.list(ListingKind.REMEMBERED, Rig.entry("a1", 1, 0, 0));
        String id = rig.submit(SAFE, 1);
        rig.round(
                new Event.Outcome(id, "a1", 0, Ending.FULL, 5 * MS, 0, false, false, new DecisionModule.Report(0, 10)));
        assertTrue(pauseUntilSent(id, 19 * S) >= 100 / (0.7 * 10) * S, "no more than 0.7 of the even share");
    }

    @ParameterizedTest
    @CsvSource({"ERROR,ACTIVE", "NO_CONNECTION,ACTIVE", "NO_CONNECTION,LEFT", "ERROR,LEFT"})
    void aNewHostOfADestinationInOutageIsNoWayRoundIt(Ending ending, Presence old) {
        rig = new Rig(Rig.settings(10, 50, 12, false, 50));
        rig.list(ListingKind.REMEMBERED, Rig.entry("a1", 1, 0, 0));
        Map<String, Integer> tries = new HashMap<>();
        for (int i = 0; i < 4; i++) {
            tries.put(rig.submit(SAFE, 1), 1);
        }
        tries.keySet().forEach(id -> rig.outcome(id, "a1", 0, ending));
        answerAll(tries, 10 * S, ending);
        rig.list(ListingKind.CHANGES, Rig.entry("a2", 1, 0, 0), new Entry("a1", 1, 0, 0, old, 1, 0));
        assertTrue(rig.sentTo().size() <= 1, rig.sentTo().toString());
    }

    @Test
    void aReplacedHostIsUsedOnlyOnceListedAndTheOldOneNoMore() {
        rig = new Rig(Rig.settings(10, 400, 12, false, 200));
        DecisionModule.Entry[] many = new DecisionModule.Entry[300];
        for (int i = 0; i < many.length; i++) {
            many[i] = Rig.entry("h" + i, i, i % 2, 0);
        }
        rig.list(ListingKind.REMEMBERED, many);
        rig.list(ListingKind.CHANGES, new DecisionModule.Entry("h7", 7, 1, 0, Presence.LEFT, 1, 0));
        String id = rig.submit(SAFE, 7);
        assertFalse(rig.sent(id), "its only host was removed");
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
                rig.outcome(id, "a1", 0, Ending.FULL, i == 0 ? 0 : 300 * MS);
            }
        }
        int first = answerAll(tries, 5 * S, Ending.FULL);
        int later = answerAll(tries, 10 * S, Ending.FULL);
        assertTrue(later <= 2, "first " + first + ", later " + later);
    }

    @Test
    void anOutageGetsFewTrialsAndAReturnStaysInItsBudget() {
        List<String> ids = List.of(rig.submit(SAFE, 1), rig.submit(SAFE, 1), rig.submit(SAFE, 1), rig.submit(SAFE, 1));
        ids.forEach(id -> rig.outcome(id, "a1", 0, Ending.ERROR));
        rig.pass(4 * S);
        assertEquals(1, rig.sentTo().size(), "one trial call, whose outcome is still pending");
        rig.now += MS;
        rig.outcome(
                ((Action.Send) rig.actions.stream()
                                .filter(Action.Send.class::isInstance)
                                .findFirst()
                                .orElseThrow())
                        .id(),
                "a1",
                1,
                Ending.DELIVERED);
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
                        rig.outcome(s.id(), "a1", n, Ending.DELIVERED);
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
                rig.outcome(s.id(), s.host(), n, s.host().equals("a2") ? Ending.DELIVERED : Ending.NO_CONNECTION);
            }
        }
        assertTrue(taken >= 15, "delivered " + taken + " of 20");
    }

    @Test
    void aPartOfTheCallsFailingIsNoOutage() {
        int taken = 0;
        for (int i = 0; i < 100; i++) {
            String id = rig.submit(SAFE, 1);
            taken += rig.sent(id) ? 1 : 0;
            if (rig.sent(id)) {
                rig.outcome(id, "a1", 0, i % 5 < 2 ? Ending.RESET : Ending.DELIVERED);
            }
            rig.pass(300 * MS);
            for (Action.Send s : rig.actions.stream()
                    .filter(Action.Send.class::isInstance)
                    .map(Action.Send.class::cast)
                    .toList()) {
                rig.outcome(s.id(), "a1", 1, Ending.DELIVERED);
            }
        }
        assertTrue(taken >= 60, "sent at once " + taken + " of 100");
    }

    @Test
    void messagesOfAHeldBatchedKindStillGoAlong() {
        rig = new Rig(Rig.settings(2, 50, 6, false));
        rig.list(ListingKind.REMEMBERED, Rig.entry("c1", 3, 0, 2));
        String first = rig.submit(SAFE, 3);
        rig.outcome(first, "c1", 0, Ending.FULL);
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

    // Memory
    @Test
    void whatIsFinishedIsForgotten() throws ReflectiveOperationException {
        for (int i = 0; i < 300; i++) {
            String id = rig.submit(UNSAFE, 1, "key" + i);
            rig.outcome(id, "a1", 0, Ending.DELIVERED);
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
        rig.outcome(id, "a1", 0, Ending.TIMED_OUT);
        rig.pass(2 * S);
        assertEquals(0, ((Map<?, ?>) field("lines")).size());
    }

    private Object field(String name) throws ReflectiveOperationException {
        var field = DeliveryPolicy.class.getDeclaredField(name);
        field.setAccessible(true);
        return field.get(rig.relay);
    }

    // Settings
    @Test
    void settingsThatMakeNoSenseAreNamed() {
        IllegalArgumentException e = assertThrows(
                IllegalArgumentException.class, () -> DecisionModule.create(Rig.settings(0, 50, 6, false), 1));
        assertTrue(e.getMessage().contains("slots"));
    }

    // Restart and end of the program
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
                new DecisionModule.Prior(attempts, mayHaveRun, "a1", 0, rig.now - riskAgo));
    }

    @Test
    void anUnsafeMessageThatMayHaveRunInAnEarlierLifeFailsAtOnce() {
        assertTrue(rig.round(resumed(UNSAFE, 1, true, S)).failed("r"));
        assertTrue(rig.round(resumed(UNSAFE, 1, false, 0)).sent("r"), "a message that never ran is sent");
    }

    @Test
    void aKeyedMessageOfAnEarlierLifeKeepsItsWindow() {
        assertTrue(rig.round(resumed(Rig.KEYED, 1, true, 4 * S)).sent("r"));
        rig = Rig.started();
        assertTrue(rig.round(resumed(Rig.KEYED, 1, true, 6 * S)).refused("r"));
    }

    /**
     * Messages recovered after a restart are tried however many are open: capacity is made by refusing others, new ones
     * among them.
     */
    @Test
    void whatOutlivedAProcessIsNotGivenUpForRoom() {
        rig.round(new Event.Listing(ListingKind.REMEMBERED, 2, List.of()));
        List<Event> found = new ArrayList<>();
        for (int i = 0; i < 49; i++) {
            found.add(new Event.Submit(
                    "r" + i, SAFE, 1, 0, null, false, false, 20 * S, new DecisionModule.Prior(0, false, "", 0, 0)));
        }
        rig.round(found.toArray(Event[]::new));
        assertEquals(
                0,
                rig.actions.stream().filter(a -> a instanceof Action.Refuse).count(),
                "they are untried and have all their time left");
        String fresh = rig.submit(SAFE, 1);
        assertTrue(rig.refused(fresh), "the new message, whose client may use another forwarder");
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
        assertTrue(rig.outcome(id, "a1", 0, Ending.REJECTED).failed(id));
    }

    @Test
    void nothingIsStartedThatTheEndOfTheProgramCouldCut() {
        rig.round(new Event.Stopping(rig.now + 2 * S));
        assertTrue(!rig.sent(rig.submit(UNSAFE, 1)), "its call may take longer than the time left");
        assertTrue(rig.sent(rig.submit(SAFE, 1)), "its call times out before the end");
    }
}
