package lilaclever;

import static lilaclever.DecisionModuleHarness.KEYED;
import static lilaclever.DecisionModuleHarness.MILLISECOND_MICROS;
import static lilaclever.DecisionModuleHarness.SAFE;
import static lilaclever.DecisionModuleHarness.SECOND_MICROS;
import static lilaclever.DecisionModuleHarness.UNSAFE;
import static lilaclever.DecisionModuleHarness.ZONED;
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

/**
 * Scripted cases for the whole decision module: retry delays, rate limits, outages, drains, the order of keys,
 * restarts, and each outcome for each repeat class. {@link RuleChecker} checks every case as well.
 */
class DeliveryPolicyTest {
    private final Map<String, Integer> attemptsByMessage = new HashMap<>();
    private DecisionModuleHarness harness = DecisionModuleHarness.withTwoDestinations();

    @AfterEach
    void noRuleIsBroken() {
        assertEquals(List.of(), harness.checker.breaches());
    }

    /** Runs rounds until the message is sent; returns the microseconds that took, or -1 if it was not sent. */
    private long microsUntilSent(String id, long maxMicros) {
        long fromMicros = harness.nowMicros;
        while (harness.nowMicros < fromMicros + maxMicros) {
            harness.runRoundsFor(5 * MILLISECOND_MICROS);
            if (harness.wasSent(id)) {
                return harness.nowMicros - fromMicros;
            }
        }
        return -1;
    }

    // Retries, rate limits and attempts
    @Test
    void aNewMessageIsSentAtOnce() {
        String id = harness.submit(SAFE, 1);
        assertTrue(harness.wasSent(id));
    }

    @Test
    void retryDelaysGrowInSteps() {
        long[] stepsMicros = {
            200 * MILLISECOND_MICROS, 600 * MILLISECOND_MICROS, 2400 * MILLISECOND_MICROS, 6 * SECOND_MICROS
        };
        String id = harness.submit(SAFE, 1);
        for (int i = 0; i < stepsMicros.length; i++) {
            harness.reportOutcome(id, "a1", i, AttemptResult.FULL);
            long delayMicros = microsUntilSent(id, 16 * SECOND_MICROS);
            assertTrue(delayMicros >= stepsMicros[i] / 2, "delay " + i + " was " + delayMicros);
            // From the second refusal in a row on, the lower rate of an outage may add to the step.
            assertTrue(
                    delayMicros <= stepsMicros[i] * 3 / 2 + (i == 0 ? 2500 : 6500) * MILLISECOND_MICROS,
                    "delay " + i + " was " + delayMicros);
        }
    }

    @Test
    void retryDelaysAreSpreadByChance() {
        List<Long> delaysMicros = new ArrayList<>();
        for (int seed = 0; seed < 5; seed++) {
            DecisionModule module = DecisionModule.create(harness.settings, seed);
            module.decide(
                    0,
                    List.of(new Event.Listing(
                            ListingKind.ALL, 1, List.of(DecisionModuleHarness.entry("a1", 1, 0, 0)))));
            module.decide(
                    SECOND_MICROS, List.of(new Event.Submit("m", SAFE, 1, 0, null, false, false, 20 * SECOND_MICROS)));
            for (Action a : module.decide(
                    SECOND_MICROS,
                    List.of(new Event.Outcome("m", "a1", 0, AttemptResult.NOT_SENT, 1, 0, true, false, null)))) {
                if (a instanceof Action.Wake w) {
                    delaysMicros.add(w.afterMicros());
                }
            }
        }
        assertTrue(delaysMicros.stream().distinct().count() > 2, delaysMicros.toString());
    }

    @Test
    void aRefusalLimitsCallsToTenASecond() {
        String first = harness.submit(SAFE, 1);
        harness.reportOutcome(first, "a1", 0, AttemptResult.FULL);
        harness.runRoundsFor(SECOND_MICROS);
        int sent = 0;
        for (int i = 0; i < 200; i++) {
            harness.nowMicros += 5 * MILLISECOND_MICROS;
            String id = harness.submit(SAFE, 1);
            for (Action a : harness.actions) {
                if (a instanceof Action.Send s) {
                    sent++;
                    harness.reportOutcome(s.id(), "a1", s.id().equals(first) ? 1 : 0, AttemptResult.DELIVERED);
                }
            }
            assertTrue(id != null);
        }
        assertTrue(sent <= 10, "sent " + sent + " in a second");
    }

    @Test
    void throttlingEndsAfterFiveSecondsWithoutRefusalAndItsRateCeilingLater() {
        String first = harness.submit(SAFE, 1);
        harness.reportOutcome(first, "a1", 0, AttemptResult.FULL);
        assertTrue(microsUntilSent(first, 4 * SECOND_MICROS) > 0);
        harness.reportOutcome(first, "a1", 1, AttemptResult.DELIVERED);
        harness.runRoundsFor(6 * SECOND_MICROS);
        assertTrue(countSentAtOnceOfFive() < 5, "waiting messages must not all be sent at once");
        harness.runRoundsFor(16 * SECOND_MICROS);
        assertEquals(5, countSentAtOnceOfFive(), "the rate ceiling ends as well");
    }

    /** Submits five messages, has all of them delivered, and returns how many were sent at once. */
    private int countSentAtOnceOfFive() {
        List<String> sentAtOnce = new ArrayList<>();
        for (int i = 0; i < 5; i++) {
            String id = harness.submit(SAFE, 1);
            if (harness.wasSent(id)) {
                sentAtOnce.add(id);
            }
        }
        sentAtOnce.forEach(id -> harness.reportOutcome(id, "a1", 0, AttemptResult.DELIVERED));
        answerAll(new HashMap<>(), SECOND_MICROS, AttemptResult.DELIVERED);
        return sentAtOnce.size();
    }

    @Test
    void messagesAboutToMissTheirAimGoFirstAndLateOnesLast() {
        harness = new DecisionModuleHarness(DecisionModuleHarness.settings(1, 50, 6, false));
        harness.applyListing(ListingKind.REMEMBERED, DecisionModuleHarness.entry("a1", 1, 0, 0));
        String inFlight = harness.submit(SAFE, 1);
        String late = harness.submit(SAFE, 1);
        harness.nowMicros += 6 * SECOND_MICROS; // three times its aim
        String nearlyLate = harness.submit(SAFE, 1);
        harness.nowMicros += 1900 * MILLISECOND_MICROS; // nearly its aim of 2 s
        String onTime = harness.submit(SAFE, 1);
        List<String> order = new ArrayList<>();
        for (String id = inFlight; id != null; ) {
            harness.reportOutcome(id, "a1", 0, AttemptResult.DELIVERED);
            id = null;
            for (String next : List.of(late, nearlyLate, onTime)) {
                id = harness.wasSent(next) ? next : id;
            }
            order.add(id);
        }
        assertEquals(List.of(nearlyLate, onTime, late), order.subList(0, 3));
    }

    @Test
    void aRetryAfterStopsEveryMessageToTheDestination() {
        String id = harness.submit(SAFE, 1);
        harness.reportOutcome(id, "a1", 0, AttemptResult.FULL, 1500 * MILLISECOND_MICROS);
        String other = harness.submit(SAFE, 1);
        harness.runRoundsFor(1490 * MILLISECOND_MICROS);
        assertEquals(List.of(), harness.hostsSentTo());
        harness.runRoundsFor(5 * SECOND_MICROS);
        assertTrue(harness.wasSent(other) || harness.wasSent(id));
    }

    /**
     * A call that was decided before a retry-after arrived and then not written does not count as an attempt; its
     * message is sent once the retry-after is over.
     */
    @Test
    void aWithheldCallIsNotCountedAndIsSentAfterTheRetryAfter() {
        String id = harness.submit(UNSAFE, 1);
        for (int i = 0; i < 8; i++) { // more than the attempts that a message may have
            harness.reportOutcome(id, "a1", 0, AttemptResult.WITHHELD, 500 * MILLISECOND_MICROS);
            harness.runRoundsFor(490 * MILLISECOND_MICROS);
            assertEquals(List.of(), harness.hostsSentTo());
            harness.runRoundsFor(600 * MILLISECOND_MICROS);
            assertTrue(harness.wasSent(id));
        }
    }

    /** A retry-after must be honoured whatever the outcome that it came with, a delivery too. */
    @Test
    void aRetryAfterAppliesWhateverTheOutcome() {
        String id = harness.submit(SAFE, 1);
        String other = harness.submit(SAFE, 1);
        harness.reportOutcome(id, "a1", 0, AttemptResult.DELIVERED, 1500 * MILLISECOND_MICROS);
        harness.reportOutcome(other, "a1", 0, AttemptResult.ERROR, 0);
        harness.submit(SAFE, 1);
        harness.runRoundsFor(1490 * MILLISECOND_MICROS);
        assertEquals(List.of(), harness.hostsSentTo());
    }

    @Test
    void aRetryAfterOfAnEndpointWithItsOwnLimitLeavesTheOtherUsable() {
        harness.applyListing(ListingKind.CHANGES, DecisionModuleHarness.entry("b2", 2, 0, 1));
        String id = harness.submit(SAFE, 2);
        String host = harness.hostsSentTo().get(0);
        harness.reportOutcome(id, host, 0, AttemptResult.FULL, 2 * SECOND_MICROS);
        harness.submit(SAFE, 2);
        assertEquals(List.of(host.equals("b1") ? "b2" : "b1"), harness.hostsSentTo());
    }

    @Test
    void anEndpointRemovedAndListedAgainKeepsItsRetryAfter() {
        String id = harness.submit(SAFE, 2);
        harness.reportOutcome(id, "b1", 0, AttemptResult.FULL, 3 * SECOND_MICROS);
        harness.applyListing(ListingKind.ALL);
        harness.applyListing(ListingKind.ALL, DecisionModuleHarness.entry("b1", 2, 0, 1));
        harness.runRoundsFor(2900 * MILLISECOND_MICROS);
        assertEquals(List.of(), harness.hostsSentTo());
    }

    @Test
    void aMessageEndsAtTheAttemptLimit() {
        String id = harness.submit(SAFE, 1);
        for (int i = 0; i < 6; i++) {
            harness.reportOutcome(id, "a1", i, AttemptResult.NOT_SENT);
            if (i < 5) {
                assertTrue(microsUntilSent(id, 12 * SECOND_MICROS) > 0 || harness.nowMicros > 1019 * SECOND_MICROS);
            }
        }
        assertTrue(harness.checker.openMessages().isEmpty());
    }

    // Outcomes by repeat class
    @ParameterizedTest
    @EnumSource(
            value = AttemptResult.class,
            names = {"FULL", "NO_CONNECTION", "NOT_SENT"})
    void messagesThatNeverRanAreRetriedInEveryClass(AttemptResult result) {
        for (int messageClass : new int[] {SAFE, KEYED, UNSAFE, ZONED}) {
            harness = DecisionModuleHarness.withTwoDestinations();
            String id = harness.submit(messageClass, 1, "k");
            harness.reportOutcome(id, "a1", 0, result);
            assertFalse(harness.wasRefused(id) || harness.hasFailed(id));
            assertTrue(microsUntilSent(id, 5 * SECOND_MICROS) > 0, result + " of class " + messageClass);
            assertEquals(List.of(), harness.checker.breaches());
        }
    }

    @ParameterizedTest
    @EnumSource(
            value = AttemptResult.class,
            names = {"ERROR", "TIMED_OUT", "RESET", "CANCELED"})
    void messagesThatMayHaveRunAreRetriedUnlessUnsafe(AttemptResult result) {
        for (int messageClass : new int[] {SAFE, KEYED, ZONED}) {
            harness = DecisionModuleHarness.withTwoDestinations();
            String id = harness.submit(messageClass, 1, "k");
            harness.reportOutcome(id, "a1", 0, result);
            long delayMicros = microsUntilSent(id, 4900 * MILLISECOND_MICROS);
            assertTrue(delayMicros > 0, result + " of class " + messageClass);
            assertEquals(List.of(), harness.checker.breaches());
        }
        harness = DecisionModuleHarness.withTwoDestinations();
        String id = harness.submit(UNSAFE, 1, "k");
        harness.reportOutcome(id, "a1", 0, result);
        assertTrue(harness.hasFailed(id));
    }

    @Test
    void aKeyedMessageIsRefusedAtTheEndOfItsRepeatWindow() {
        String id = harness.submit(KEYED, 1);
        harness.reportOutcome(id, "a1", 0, AttemptResult.ERROR);
        harness.runRound(new Event.Listing(ListingKind.ALL, 2, List.of(DecisionModuleHarness.entry("b1", 2, 0, 1))));
        harness.runRoundsFor(5100 * MILLISECOND_MICROS);
        assertTrue(harness.wasRefused(id), "every endpoint drops repeats, so a refusal is harmless");
    }

    @Test
    void aZonedMessageThatMayHaveRunFailsAndIsNotRefused() {
        String id = harness.submit(ZONED, 1);
        harness.reportOutcome(id, "a1", 0, AttemptResult.ERROR);
        harness.runRound(new Event.Listing(ListingKind.ALL, 2, List.of(DecisionModuleHarness.entry("a2", 1, 1, 0))));
        harness.runRoundsFor(5100 * MILLISECOND_MICROS);
        assertTrue(harness.hasFailed(id));
    }

    // Final answers
    @Test
    void aMessageWithNoEndpointIsRefusedBeforeItsDeadline() {
        String id = harness.submit(UNSAFE, 9, "k");
        harness.runRoundsFor(19_990 * MILLISECOND_MICROS);
        assertTrue(harness.wasRefused(id));
    }

    @Test
    void aMessageWithoutAnOutcomeAtItsDeadlineFails() {
        String id = harness.submit(UNSAFE, 1, "k");
        harness.runRoundsFor(20 * SECOND_MICROS + 15 * MILLISECOND_MICROS);
        assertTrue(harness.hasFailed(id));
    }

    @Test
    void aNearlyFullForwarderRefusesMessages() {
        harness = new DecisionModuleHarness(DecisionModuleHarness.settings(1, 20, 6, false));
        harness.applyListing(ListingKind.REMEMBERED, DecisionModuleHarness.entry("a1", 1, 0, 0));
        int refused = 0;
        for (int i = 0; i < 30; i++) {
            harness.submit(SAFE, 1);
            refused += harness.actions.stream()
                    .filter(Action.Refuse.class::isInstance)
                    .count();
        }
        assertTrue(harness.checker.openMessages().size() <= 20);
        assertEquals(30 - harness.checker.openMessages().size(), refused);
    }

    @Test
    void aWithdrawnMessageIsNotRetried() {
        String id = harness.submit(SAFE, 1);
        harness.runRound(new Event.Withdrawn(id))
                .reportOutcome(id, "a1", 0, AttemptResult.ERROR)
                .runRoundsFor(SECOND_MICROS);
        assertEquals(List.of(), harness.hostsSentTo());
        harness.runRound(new Event.Withdrawn("unknown"), new Event.Timer(5));
    }

    // Drains and endpoint lists
    @Test
    void aLeavingHostGetsNoNewMessages() {
        harness.applyListing(ListingKind.CHANGES, new EndpointEntry("a1", 1, 0, 0, Presence.LEAVING, 1, 0));
        harness.submit(SAFE, 1);
        assertEquals(List.of(), harness.hostsSentTo());
        harness.applyListing(ListingKind.CHANGES, DecisionModuleHarness.entry("a2", 1, 0, 0));
        assertEquals(List.of("a2"), harness.hostsSentTo());
    }

    @Test
    void aWholeListRemovesEndpointsItDoesNotName() {
        harness.applyListing(ListingKind.ALL, DecisionModuleHarness.entry("a2", 1, 0, 0));
        harness.submit(SAFE, 1);
        assertEquals(List.of("a2"), harness.hostsSentTo());
    }

    @Test
    void aRefusedWatchIsRequestedAgainWithGrowingDelays() {
        harness = new DecisionModuleHarness(DecisionModuleHarness.settings(10, 50, 6, true));
        harness.applyListing(ListingKind.REMEMBERED, DecisionModuleHarness.entry("a1", 1, 0, 0));
        assertTrue(harness.actions.contains(new Action.Watch(true)));
        long requestedAfterMicros = 0;
        for (long minDelayMicros :
                new long[] {200 * MILLISECOND_MICROS, 400 * MILLISECOND_MICROS, 800 * MILLISECOND_MICROS}) {
            harness.applyListing(ListingKind.REFUSED);
            long fromMicros = harness.nowMicros;
            do {
                harness.runRoundsFor(5 * MILLISECOND_MICROS);
            } while (!harness.actions.contains(new Action.Watch(true))
                    && harness.nowMicros < fromMicros + 10 * SECOND_MICROS);
            requestedAfterMicros = harness.nowMicros - fromMicros;
            assertTrue(
                    requestedAfterMicros >= minDelayMicros && requestedAfterMicros < 10 * SECOND_MICROS,
                    "requested after " + requestedAfterMicros);
        }
    }

    // Order of keys
    @Test
    void messagesOfOneKeyAreSentOneAtATimeInOrder() {
        String first = harness.submit(UNSAFE, 1, "k");
        String second = harness.submit(UNSAFE, 1, "k");
        String other = harness.submit(UNSAFE, 1, "other");
        assertTrue(harness.wasSent(other));
        harness.reportOutcome(first, "a1", 0, AttemptResult.FULL);
        harness.runRoundsFor(5 * MILLISECOND_MICROS);
        assertFalse(harness.wasSent(second));
        assertTrue(microsUntilSent(first, 5 * SECOND_MICROS) > 0);
        harness.reportOutcome(first, "a1", 1, AttemptResult.DELIVERED);
        assertTrue(harness.wasSent(second) || microsUntilSent(second, 5 * SECOND_MICROS) > 0);
    }

    @Test
    void aKeyIsDelayedAfterATimeout() {
        String first = harness.submit(UNSAFE, 1, "k");
        String second = harness.submit(UNSAFE, 1, "k");
        harness.reportOutcome(first, "a1", 0, AttemptResult.TIMED_OUT);
        assertTrue(microsUntilSent(second, 5 * SECOND_MICROS) >= 100 * MILLISECOND_MICROS);
    }

    // Outages, slots and connections
    @Test
    void anUnresponsiveDestinationLeavesSlotsForOthers() {
        for (int i = 0; i < 10; i++) {
            harness.submit(SAFE, 1);
        }
        assertTrue(harness.wasSent(harness.submit(SAFE, 2)));
    }

    /** Submits a message for each of six destinations in one round, none of which is answered; returns their ids. */
    private List<String> submitToSeveralDestinations(int slots, int messageClass) {
        harness = new DecisionModuleHarness(DecisionModuleHarness.settings(slots, 100, 6, false));
        EndpointEntry[] entries = new EndpointEntry[10];
        for (int d = 0; d < entries.length; d++) {
            entries[d] = DecisionModuleHarness.entry("h" + d, d, 0, 0);
        }
        harness.applyListing(ListingKind.REMEMBERED, entries);
        for (int i = 0; i < 10; i++) {
            String id = harness.submit(SAFE, 9);
            harness.nowMicros += 50 * MILLISECOND_MICROS;
            harness.reportOutcome(id, "h9", 0, AttemptResult.DELIVERED); // sets the usual answer time
        }
        List<String> ids = new ArrayList<>();
        Event[] submits = new Event[6];
        for (int d = 0; d < submits.length; d++) {
            ids.add("d" + d);
            submits[d] = new Event.Submit("d" + d, messageClass, d, 0, null, false, false, 20 * SECOND_MICROS);
        }
        harness.runRound(submits);
        return ids;
    }

    @Test
    void recoveryUsesTheUsualRateEvenIfItWasMeasuredOnlyBriefly() {
        for (int i = 0; i < 40; i++) {
            String id = harness.submit(SAFE, 1);
            harness.nowMicros += 50 * MILLISECOND_MICROS; // 20 calls a second for two seconds
            harness.reportOutcome(id, "a1", 0, AttemptResult.DELIVERED);
        }
        String failing = harness.submit(SAFE, 1);
        for (int i = 0; i < 4; i++) {
            harness.reportOutcome(failing, "a1", i, AttemptResult.ERROR);
            microsUntilSent(failing, 20 * SECOND_MICROS);
        }
        harness.reportOutcome(failing, "a1", 4, AttemptResult.DELIVERED);
        for (int i = 0; i < 40; i++) {
            harness.submit(SAFE, 1);
        }
        int sent = answerAll(new HashMap<>(), 2 * SECOND_MICROS, AttemptResult.DELIVERED);
        // At first 0.85 x 2.5 x 0.2 of 20 calls a second, then a little more as slow start goes on.
        assertTrue(sent >= 14 && sent <= 26, "sent " + sent + " in the first two seconds of recovery");
    }

    @Test
    void recoveryOfADestinationWithoutAKnownRateUsesTheMeanOfAllDestinations() {
        for (int i = 0; i < 200; i++) {
            String id = harness.submit(SAFE, 2);
            harness.nowMicros += 10 * MILLISECOND_MICROS; // 100 calls a second to the other destination
            harness.reportOutcome(id, "b1", 0, AttemptResult.DELIVERED);
        }
        String failing = harness.submit(SAFE, 1);
        for (int i = 0; i < 4; i++) {
            harness.reportOutcome(failing, "a1", i, AttemptResult.ERROR);
            microsUntilSent(failing, 20 * SECOND_MICROS);
        }
        harness.reportOutcome(failing, "a1", 4, AttemptResult.DELIVERED);
        for (int i = 0; i < 40; i++) {
            harness.submit(SAFE, 1);
        }
        int sent = answerAll(new HashMap<>(), 2 * SECOND_MICROS, AttemptResult.DELIVERED);
        // At first 0.85 x 2.5 x 0.2 of a quarter of 50 calls a second, then a little more as slow start goes on.
        assertTrue(sent >= 8 && sent <= 18, "sent " + sent + " in the first two seconds of recovery");
    }

    @Test
    void callsFarSlowerThanUsualAreCancelledOnlyForWaitingMessages() {
        for (int messageClass : new int[] {SAFE, UNSAFE}) {
            submitToSeveralDestinations(5, messageClass);
            assertEquals(5, harness.hostsSentTo().size());
            harness.runRoundsFor(5 * SECOND_MICROS);
            long cancelled = harness.actions.stream()
                    .filter(Action.Cancel.class::isInstance)
                    .count();
            assertEquals(1, cancelled, "one message waits: one call is cancelled, not all five");
            harness = DecisionModuleHarness.withTwoDestinations();
        }
    }

    @Test
    void slowCallsAreNotCancelledWhereNoMessageNeedsTheirSlots() {
        submitToSeveralDestinations(10, UNSAFE);
        assertEquals(6, harness.hostsSentTo().size());
        harness.runRoundsFor(1900 * MILLISECOND_MICROS);
        assertTrue(harness.actions.stream().noneMatch(Action.Cancel.class::isInstance));
    }

    @Test
    void theShareOfSlotsForUnresponsiveEndpointsHoldsWithinOneRound() {
        List<String> ids = submitToSeveralDestinations(20, SAFE);
        harness.nowMicros += 2 * SECOND_MICROS;
        Event[] outcomes = new Event[6];
        for (int d = 0; d < outcomes.length; d++) {
            outcomes[d] = new Event.Outcome(
                    ids.get(d), "h" + d, 0, AttemptResult.TIMED_OUT, 2 * SECOND_MICROS, 0, false, false, null);
        }
        harness.runRound(outcomes);
        harness.nowMicros +=
                400 * MILLISECOND_MICROS; // all six may be sent again now, each to an endpoint that timed out
        harness.runRound();
        assertEquals(6, harness.hostsSentTo().size(), "the share of 20 slots is enough for six");
        submitToSeveralDestinations(10, SAFE);
        harness.nowMicros += 2 * SECOND_MICROS;
        harness.runRound(outcomes);
        harness.nowMicros += 400 * MILLISECOND_MICROS;
        harness.runRound();
        assertEquals(3, harness.hostsSentTo().size(), "three of ten slots, also where all are selected in one round");
    }

    @Test
    void severalUnresponsiveDestinationsTogetherLeaveSlotsForTheRest() {
        harness.applyListing(
                ListingKind.CHANGES,
                DecisionModuleHarness.entry("d1", 4, 0, 0),
                DecisionModuleHarness.entry("e1", 5, 0, 0));
        String answered = harness.submit(SAFE, 2);
        harness.reportOutcome(answered, "b1", 0, AttemptResult.DELIVERED);
        int callsInFlight = 0;
        for (int i = 0; i < 3; i++) {
            for (int destination : new int[] {1, 4, 5}) {
                harness.submit(SAFE, destination);
                callsInFlight += harness.hostsSentTo().size();
                harness.runRoundsFor(500 * MILLISECOND_MICROS);
                callsInFlight += harness.hostsSentTo().size();
            }
        }
        assertTrue(callsInFlight <= 5, "unanswered calls hold " + callsInFlight + " of 10 slots");
        assertTrue(harness.wasSent(harness.submit(SAFE, 2)));
    }

    @Test
    void aLongRetryAfterIsTreatedAsAnOutageAndItsEndAsARecovery() {
        List<String> ids = List.of(harness.submit(SAFE, 1), harness.submit(SAFE, 1), harness.submit(SAFE, 1));
        harness.reportOutcome(ids.get(0), "a1", 0, AttemptResult.FULL, 6 * SECOND_MICROS);
        harness.reportOutcome(ids.get(1), "a1", 0, AttemptResult.FULL, 6 * SECOND_MICROS);
        harness.reportOutcome(ids.get(2), "a1", 0, AttemptResult.FULL, 6 * SECOND_MICROS);
        harness.runRoundsFor(10 * SECOND_MICROS);
        assertEquals(1, harness.hostsSentTo().size(), "one trial call after the retry-after, not all waiting messages");
    }

    /** Runs rounds for a while; every send has this result after 5 ms. Returns the number of sends. */
    private int answerAll(Map<String, Integer> attemptCounts, long micros, AttemptResult result) {
        int sent = 0;
        for (long untilMicros = harness.nowMicros + micros; harness.nowMicros < untilMicros; ) {
            harness.nowMicros += 5 * MILLISECOND_MICROS;
            harness.runRound();
            // Sends that follow from an outcome are answered too.
            List<Action> actions = new ArrayList<>(harness.actions);
            for (int i = 0; i < actions.size(); i++) {
                if (actions.get(i) instanceof Action.Send s) {
                    sent++;
                    harness.nowMicros += 5 * MILLISECOND_MICROS;
                    harness.reportOutcome(s.id(), s.host(), attemptCounts.merge(s.id(), 1, Integer::sum) - 1, result);
                    actions.addAll(harness.actions);
                }
            }
        }
        return sent;
    }

    @Test
    void fullConnectionTablesAreNoOutageAndIdleConnectionsAreClosed() {
        List<String> ids = List.of(
                harness.submit(SAFE, 1),
                harness.submit(SAFE, 1),
                harness.submit(SAFE, 1),
                harness.submit(SAFE, 1),
                harness.submit(SAFE, 1));
        ids.forEach(id -> harness.reportOutcome(id, "a1", 0, AttemptResult.NO_CONNECTION));
        Map<String, Integer> attemptCounts = new HashMap<>();
        ids.forEach(id -> attemptCounts.put(id, 1));
        int sent = answerAll(attemptCounts, 6 * SECOND_MICROS, AttemptResult.DELIVERED);
        assertEquals(5, sent, "one trial call and no slow start: once a call is accepted, all are sent");
        harness.submit(SAFE, 1);
        harness.reportOutcome(((Action.Send) harness.actions.get(0)).id(), "a1", 0, AttemptResult.DELIVERED);
        assertTrue(harness.actions.stream().anyMatch(Action.CloseIdle.class::isInstance), harness.actions.toString());
    }

    /**
     * Guards against a forwarder that holds its connections, so never sees a rejected connect, and locks out forwarders
     * without any: a connect rejected by another endpoint of the same kind must make it close idle ones.
     */
    @Test
    void whereAnEndpointKindTakesFewConnectionsABusyForwarderClosesIdleOnesToo() {
        harness = new DecisionModuleHarness(DecisionModuleHarness.settings(10, 50, 12, false, 14));
        harness.applyListing(
                ListingKind.REMEMBERED,
                DecisionModuleHarness.entry("a1", 1, 0, 0),
                DecisionModuleHarness.entry("c1", 3, 0, 0),
                DecisionModuleHarness.entry("b1", 2, 0, 1));
        for (int i = 0; i < 20; i++) {
            harness.reportOutcome(harness.submit(SAFE, 1), "a1", 0, AttemptResult.DELIVERED)
                    .runRoundsFor(100 * MILLISECOND_MICROS);
        }
        assertTrue(harness.actions.stream().noneMatch(Action.CloseIdle.class::isInstance), harness.actions.toString());
        harness.reportOutcome(harness.submit(SAFE, 3), "c1", 0, AttemptResult.NO_CONNECTION);
        harness.reportOutcome(harness.submit(SAFE, 1), "a1", 0, AttemptResult.DELIVERED);
        assertTrue(harness.actions.contains(new Action.CloseIdle("a1")), harness.actions.toString());
        harness.reportOutcome(harness.submit(SAFE, 2), "b1", 0, AttemptResult.DELIVERED);
        assertTrue(
                harness.actions.stream().noneMatch(Action.CloseIdle.class::isInstance),
                "nothing is known about other kinds");
    }

    /**
     * Guards against slow start at an endpoint that was healthy and only rejected further connections for lack of
     * capacity: waiting messages would be sent too slowly.
     */
    @Test
    void aConnectionRejectedForLackOfCapacityIsNoOutage() {
        harness = new DecisionModuleHarness(DecisionModuleHarness.settings(10, 50, 12, false, 14));
        harness.applyListing(ListingKind.REMEMBERED, DecisionModuleHarness.entry("a1", 1, 0, 0));
        Map<String, Integer> attemptCounts = new HashMap<>();
        String first = harness.submit(SAFE, 1);
        harness.reportOutcome(first, "a1", 0, AttemptResult.NO_CONNECTION);
        attemptCounts.put(first, 1);
        answerAll(
                attemptCounts,
                12 * SECOND_MICROS,
                AttemptResult.NO_CONNECTION); // an outage: a failed connect no longer means a full table
        harness.runRoundsFor(60 * SECOND_MICROS);
        harness.reportOutcome(harness.submit(SAFE, 1), "a1", 0, AttemptResult.DELIVERED)
                .runRoundsFor(15 * SECOND_MICROS); // recovered, and slow start is over
        List<String> ids = List.of(
                harness.submit(SAFE, 1),
                harness.submit(SAFE, 1),
                harness.submit(SAFE, 1),
                harness.submit(SAFE, 1),
                harness.submit(SAFE, 1));
        ids.forEach(id -> harness.reportOutcome(id, "a1", 0, AttemptResult.NO_ROOM));
        ids.forEach(id -> attemptCounts.put(id, 1));
        assertEquals(
                5,
                answerAll(attemptCounts, 3 * SECOND_MICROS, AttemptResult.DELIVERED),
                "all are sent once connects are accepted");
    }

    /** Guards against a large fleet that fills an endpoint's connection table with one idle connection each. */
    @Test
    void inALargeFleetNoConnectionIsKeptIdle() {
        harness = new DecisionModuleHarness(DecisionModuleHarness.settings(10, 50, 12, false, 200));
        harness.applyListing(ListingKind.REMEMBERED, DecisionModuleHarness.entry("a1", 1, 0, 0));
        harness.reportOutcome(harness.submit(SAFE, 1), "a1", 0, AttemptResult.DELIVERED);
        assertTrue(harness.actions.contains(new Action.CloseIdle("a1")), harness.actions.toString());
    }

    /** Guards against a fleet that avoids a partner for most of a minute after each forwarder got one refusal. */
    @Test
    void aForwarderOfALargeFleetRetriesSoonAfterARefusal() {
        harness = new DecisionModuleHarness(DecisionModuleHarness.settings(10, 50, 12, false, 200));
        harness.applyListing(ListingKind.REMEMBERED, DecisionModuleHarness.entry("a1", 1, 0, 0));
        String id = harness.submit(SAFE, 1);
        harness.reportOutcome(id, "a1", 0, AttemptResult.FULL);
        harness.runRoundsFor(2 * SECOND_MICROS);
        assertTrue(!harness.wasSent(id), "not while the calls of other forwarders may still exceed the limit");
        harness.runRoundsFor(6 * SECOND_MICROS);
        assertTrue(harness.wasSent(id), "five seconds without a refusal, times a random factor, are enough");
    }

    /** Guards against a repeat that a slow connect delays past the repeat window, so that it takes effect again. */
    @Test
    void noAttemptOfAKeyedMessageStaysInFlightPastItsRepeatWindow() {
        String id = harness.submit(KEYED, 1);
        long firstSentMicros = harness.nowMicros;
        for (int attempt = 0; harness.checker.openMessages().contains(id); attempt++) {
            harness.reportOutcome(id, "a1", attempt, AttemptResult.ERROR);
            harness.reportOutcome(
                    harness.submit(SAFE, 1), "a1", 0, AttemptResult.DELIVERED); // other messages are delivered
            while (!harness.wasSent(id) && harness.checker.openMessages().contains(id)) {
                harness.runRoundsFor(5 * MILLISECOND_MICROS);
            }
            for (Action action : harness.actions) {
                assertTrue(
                        !(action instanceof Action.Send s) || s.dropAtMicros() < firstSentMicros + 5 * SECOND_MICROS,
                        action.toString());
            }
        }
        assertTrue(
                harness.nowMicros > firstSentMicros + 3 * SECOND_MICROS,
                "it was sent close to the end of its repeat window");
    }

    @Test
    void persistentlyFailingConnectsAreAnOutage() {
        Map<String, Integer> attemptCounts = new HashMap<>();
        for (int i = 0; i < 40; i++) {
            harness.submit(SAFE, 1);
        }
        harness.runRound();
        for (String id : List.copyOf(harness.checker.openMessages())) {
            attemptCounts.put(id, 0);
        }
        int sent = 0;
        List<String> openMessages = new ArrayList<>(harness.checker.openMessages());
        for (String id : openMessages.subList(0, 6)) {
            harness.reportOutcome(id, "a1", 0, AttemptResult.NO_CONNECTION);
            attemptCounts.merge(id, 1, Integer::sum);
        }
        sent = answerAll(attemptCounts, 8 * SECOND_MICROS, AttemptResult.NO_CONNECTION);
        int later = answerAll(attemptCounts, 8 * SECOND_MICROS, AttemptResult.NO_CONNECTION);
        assertTrue(later <= 8, "trial calls only: " + sent + " then " + later);
    }

    @Test
    void inALargeFleetOneFailureIsAnOutageAndTrialCallsBecomeRarer() {
        harness = new DecisionModuleHarness(DecisionModuleHarness.settings(10, 50, 12, false, 200));
        harness.applyListing(ListingKind.REMEMBERED, DecisionModuleHarness.entry("a1", 1, 0, 0));
        Map<String, Integer> attemptCounts = new HashMap<>();
        for (int i = 0; i < 6; i++) {
            attemptCounts.put(harness.submit(SAFE, 1), 1);
        }
        attemptCounts.keySet().forEach(id -> harness.reportOutcome(id, "a1", 0, AttemptResult.ERROR));
        answerAll(attemptCounts, 5 * SECOND_MICROS, AttemptResult.ERROR);
        int later = answerAll(attemptCounts, 10 * SECOND_MICROS, AttemptResult.ERROR);
        assertTrue(later <= 2, "hundreds of forwarders may have seen it: " + later + " trial calls in ten seconds");
    }

    @Test
    void whereFailuresAreTransientASingleOneIsNoOutage() {
        harness = new DecisionModuleHarness(DecisionModuleHarness.settings(10, 50, 12, false, 200));
        harness.applyListing(
                ListingKind.REMEMBERED,
                DecisionModuleHarness.entry("a1", 1, 0, 0),
                DecisionModuleHarness.entry("c1", 3, 0, 0));
        for (int i = 0; i < 6; i++) {
            String id = harness.submit(SAFE, 1);
            if (!harness.wasSent(id)) {
                microsUntilSent(id, 30 * SECOND_MICROS);
            }
            harness.reportOutcome(id, "a1", 0, AttemptResult.TIMED_OUT);
            assertTrue(microsUntilSent(id, 3 * SECOND_MICROS) > 0);
            harness.reportOutcome(id, "a1", 1, AttemptResult.DELIVERED);
        }
        String lost = harness.submit(SAFE, 3);
        harness.reportOutcome(lost, "c1", 0, AttemptResult.TIMED_OUT);
        assertTrue(harness.wasSent(harness.submit(SAFE, 3)), "one lost call does not show an outage of its endpoint");
    }

    @Test
    void connectTimeoutsAreAnOutageAndNoFullConnectionTable() {
        harness = new DecisionModuleHarness(DecisionModuleHarness.settings(10, 50, 12, false, 200));
        harness.applyListing(ListingKind.REMEMBERED, DecisionModuleHarness.entry("a1", 1, 0, 0));
        String id = harness.submit(SAFE, 1);
        harness.runRound(
                new Event.Outcome(id, "a1", 0, AttemptResult.NO_CONNECTION, SECOND_MICROS, 0, false, false, null));
        String other = harness.submit(SAFE, 1);
        harness.runRoundsFor(300 * MILLISECOND_MICROS);
        assertFalse(harness.wasSent(other) || harness.wasSent(id), "connects time out, so only trial calls are made");
    }

    @Test
    void messagesThatCannotBeSentInTimeAreRefusedAtOnce() {
        String first = harness.submit(SAFE, 1);
        harness.reportOutcome(first, "a1", 0, AttemptResult.FULL, 30 * SECOND_MICROS);
        assertTrue(harness.wasRefused(first), "the retry-after is longer than its time");
        String next = harness.submit(SAFE, 1);
        assertTrue(harness.wasRefused(next), "so it is for a message that comes later");
        assertTrue(harness.actions.stream()
                .anyMatch(a -> a instanceof Action.Refuse r && r.comeBackMicros() == 2 * SECOND_MICROS));
    }

    /** Counts calls in 4 s to a limit that refuses all, and reports 10 calls a second and this share left. */
    private int callsWithAllowanceLeft(double allowanceLeft) {
        harness = new DecisionModuleHarness(DecisionModuleHarness.settings(10, 50, 12, false, 100));
        harness.applyListing(ListingKind.REMEMBERED, DecisionModuleHarness.entry("a1", 1, 0, 0));
        Map<String, Integer> attemptCounts = new HashMap<>();
        int sent = 0;
        for (long endMicros = harness.nowMicros + 4 * SECOND_MICROS;
                harness.nowMicros < endMicros;
                harness.nowMicros += 50 * MILLISECOND_MICROS) {
            if (harness.checker.openMessages().size() < 10) {
                harness.submit(SAFE, 1);
            } else {
                harness.runRound();
            }
            for (Action a : harness.actions) {
                if (a instanceof Action.Send s) {
                    sent++;
                    harness.nowMicros += 5 * MILLISECOND_MICROS;
                    harness.runRound(new Event.Outcome(
                            s.id(),
                            "a1",
                            attemptCounts.merge(s.id(), 1, Integer::sum) - 1,
                            AttemptResult.FULL,
                            5 * MILLISECOND_MICROS,
                            300 * MILLISECOND_MICROS,
                            false,
                            false,
                            new DecisionModule.LimitReport(allowanceLeft, 10)));
                }
            }
        }
        return sent;
    }

    @Test
    void aUsedUpAllowanceGetsFewerCallsThanOneWithSomeLeft() {
        int callsWithSomeLeft = callsWithAllowanceLeft(0.1);
        int callsWithNoneLeft = callsWithAllowanceLeft(0);
        assertTrue(callsWithNoneLeft < callsWithSomeLeft, callsWithNoneLeft + " calls against " + callsWithSomeLeft);
    }

    @Test
    void aBusyHostThatRejectsOneConnectIsStillUsed() {
        harness = new DecisionModuleHarness(DecisionModuleHarness.settings(10, 50, 12, false, 100));
        harness.applyListing(ListingKind.REMEMBERED, DecisionModuleHarness.entry("a1", 1, 0, 0));
        for (int i = 0; i < 10; i++) {
            String id = harness.submit(SAFE, 1);
            assertTrue(harness.wasSent(id) || microsUntilSent(id, 2 * SECOND_MICROS) > 0, "call " + i);
            harness.reportOutcome(id, "a1", 0, AttemptResult.DELIVERED);
            harness.runRoundsFor(500 * MILLISECOND_MICROS);
        }
        String rejected = harness.submit(SAFE, 1);
        harness.runRound(new Event.Outcome(
                rejected, "a1", 0, AttemptResult.NO_CONNECTION, 20 * MILLISECOND_MICROS, 0, false, false, null));
        assertTrue(
                microsUntilSent(rejected, SECOND_MICROS) > 0,
                "its connection table was full, as the deliveries before show");
    }

    @Test
    void aLargeFleetLetsAUsedUpAllowanceRefill() {
        // 100 forwarders share 10 calls a second: at the throttled rate their waiting messages would keep the allowance
        // used up for good.
        harness = new DecisionModuleHarness(DecisionModuleHarness.settings(10, 50, 12, false, 100));
        harness.applyListing(ListingKind.REMEMBERED, DecisionModuleHarness.entry("a1", 1, 0, 0));
        String id = harness.submit(SAFE, 1);
        harness.runRound(new Event.Outcome(
                id,
                "a1",
                0,
                AttemptResult.FULL,
                5 * MILLISECOND_MICROS,
                0,
                false,
                false,
                new DecisionModule.LimitReport(0, 10)));
        assertTrue(
                microsUntilSent(id, 19 * SECOND_MICROS) >= 100 / (0.7 * 10) * SECOND_MICROS,
                "no more than 0.7 of the even share");
    }

    @ParameterizedTest
    @CsvSource({"ERROR,ACTIVE", "NO_CONNECTION,ACTIVE", "NO_CONNECTION,LEFT", "ERROR,LEFT"})
    void aNewHostDoesNotBypassTheOutageOfItsDestination(AttemptResult result, Presence oldHostPresence) {
        harness = new DecisionModuleHarness(DecisionModuleHarness.settings(10, 50, 12, false, 50));
        harness.applyListing(ListingKind.REMEMBERED, DecisionModuleHarness.entry("a1", 1, 0, 0));
        Map<String, Integer> attemptCounts = new HashMap<>();
        for (int i = 0; i < 4; i++) {
            attemptCounts.put(harness.submit(SAFE, 1), 1);
        }
        attemptCounts.keySet().forEach(id -> harness.reportOutcome(id, "a1", 0, result));
        answerAll(attemptCounts, 10 * SECOND_MICROS, result);
        harness.applyListing(
                ListingKind.CHANGES,
                DecisionModuleHarness.entry("a2", 1, 0, 0),
                new EndpointEntry("a1", 1, 0, 0, oldHostPresence, 1, 0));
        assertTrue(harness.hostsSentTo().size() <= 1, harness.hostsSentTo().toString());
    }

    @Test
    void aReplacementHostIsUsedOnceListedAndTheOldOneNoLonger() {
        harness = new DecisionModuleHarness(DecisionModuleHarness.settings(10, 400, 12, false, 200));
        DecisionModule.EndpointEntry[] entries = new DecisionModule.EndpointEntry[300];
        for (int i = 0; i < entries.length; i++) {
            entries[i] = DecisionModuleHarness.entry("h" + i, i, i % 2, 0);
        }
        harness.applyListing(ListingKind.REMEMBERED, entries);
        harness.applyListing(ListingKind.CHANGES, new DecisionModule.EndpointEntry("h7", 7, 1, 0, Presence.LEFT, 1, 0));
        String id = harness.submit(SAFE, 7);
        assertFalse(harness.wasSent(id), "its only host was removed");
        harness.applyListing(ListingKind.CHANGES, DecisionModuleHarness.entry("new", 7, 1, 0));
        assertEquals(List.of("new"), harness.hostsSentTo());
    }

    @Test
    void consecutiveRefusalsSlowAThrottledLimitTowardsTheEvenShare() {
        harness = new DecisionModuleHarness(DecisionModuleHarness.settings(10, 50, 12, false, 100));
        harness.applyListing(ListingKind.REMEMBERED, DecisionModuleHarness.entry("a1", 1, 0, 0));
        Map<String, Integer> attemptCounts = new HashMap<>();
        for (int i = 0; i < 12; i++) {
            String id = harness.submit(SAFE, 1);
            if (harness.wasSent(id)) {
                attemptCounts.put(id, 1);
                harness.reportOutcome(id, "a1", 0, AttemptResult.FULL, i == 0 ? 0 : 300 * MILLISECOND_MICROS);
            }
        }
        int first = answerAll(attemptCounts, 5 * SECOND_MICROS, AttemptResult.FULL);
        int later = answerAll(attemptCounts, 10 * SECOND_MICROS, AttemptResult.FULL);
        assertTrue(later <= 2, "first " + first + ", later " + later);
    }

    @Test
    void anOutageGetsFewTrialCallsAndARecoveryStaysWithinItsBudget() {
        List<String> ids = List.of(
                harness.submit(SAFE, 1), harness.submit(SAFE, 1), harness.submit(SAFE, 1), harness.submit(SAFE, 1));
        ids.forEach(id -> harness.reportOutcome(id, "a1", 0, AttemptResult.ERROR));
        harness.runRoundsFor(4 * SECOND_MICROS);
        assertEquals(1, harness.hostsSentTo().size(), "one trial call, whose outcome is still pending");
        harness.nowMicros += MILLISECOND_MICROS;
        harness.reportOutcome(
                ((Action.Send) harness.actions.stream()
                                .filter(Action.Send.class::isInstance)
                                .findFirst()
                                .orElseThrow())
                        .id(),
                "a1",
                1,
                AttemptResult.DELIVERED);
        harness.checker.startRecovery("a1", harness.nowMicros, 4);
        for (int i = 0; i < 600; i++) {
            harness.nowMicros += 5 * MILLISECOND_MICROS;
            if (i % 20 == 0) {
                harness.submit(SAFE, 1);
            } else {
                harness.runRound();
            }
            for (Action a : harness.actions) {
                if (a instanceof Action.Send s) {
                    harness.nowMicros += MILLISECOND_MICROS;
                    for (int n = 0; n < 3; n++) {
                        harness.reportOutcome(s.id(), "a1", n, AttemptResult.DELIVERED);
                    }
                }
            }
        }
    }

    @Test
    void aFailingEndpointLeavesTheOtherAtItsFullRate() {
        harness.applyListing(ListingKind.CHANGES, DecisionModuleHarness.entry("a2", 1, 0, 0));
        int delivered = 0;
        for (int i = 0; i < 400; i++) {
            harness.nowMicros += 5 * MILLISECOND_MICROS;
            if (i % 20 == 0) {
                harness.submit(SAFE, 1);
            } else {
                harness.runRound();
            }
            for (Action.Send s : harness.actions.stream()
                    .filter(Action.Send.class::isInstance)
                    .map(Action.Send.class::cast)
                    .toList()) {
                int attempt = attemptsByMessage.merge(s.id(), 1, Integer::sum) - 1;
                delivered += s.host().equals("a2") ? 1 : 0;
                harness.reportOutcome(
                        s.id(),
                        s.host(),
                        attempt,
                        s.host().equals("a2") ? AttemptResult.DELIVERED : AttemptResult.NO_CONNECTION);
            }
        }
        assertTrue(delivered >= 15, "delivered " + delivered + " of 20");
    }

    @Test
    void aMinorityOfFailingCallsIsNoOutage() {
        int sentAtOnce = 0;
        for (int i = 0; i < 100; i++) {
            String id = harness.submit(SAFE, 1);
            sentAtOnce += harness.wasSent(id) ? 1 : 0;
            if (harness.wasSent(id)) {
                harness.reportOutcome(id, "a1", 0, i % 5 < 2 ? AttemptResult.RESET : AttemptResult.DELIVERED);
            }
            harness.runRoundsFor(300 * MILLISECOND_MICROS);
            for (Action.Send s : harness.actions.stream()
                    .filter(Action.Send.class::isInstance)
                    .map(Action.Send.class::cast)
                    .toList()) {
                harness.reportOutcome(s.id(), "a1", 1, AttemptResult.DELIVERED);
            }
        }
        assertTrue(sentAtOnce >= 60, "sent at once " + sentAtOnce + " of 100");
    }

    @Test
    void messagesForAThrottledEndpointAreStillBatched() {
        harness = new DecisionModuleHarness(DecisionModuleHarness.settings(2, 50, 6, false));
        harness.applyListing(ListingKind.REMEMBERED, DecisionModuleHarness.entry("c1", 3, 0, 2));
        String first = harness.submit(SAFE, 3);
        harness.reportOutcome(first, "c1", 0, AttemptResult.FULL);
        for (int i = 0; i < 4; i++) {
            harness.submit(SAFE, 3);
        }
        assertEquals(List.of(), harness.hostsSentTo());
        harness.runRoundsFor(3 * SECOND_MICROS);
        assertEquals(5, harness.hostsSentTo().size());
    }

    @Test
    void messagesForAnEndpointKindWithBatchesGoInOneCall() {
        harness = new DecisionModuleHarness(DecisionModuleHarness.settings(1, 50, 6, false));
        harness.applyListing(ListingKind.REMEMBERED, DecisionModuleHarness.entry("c1", 3, 0, 2));
        List<Event> events = new ArrayList<>();
        for (int i = 0; i < 5; i++) {
            events.add(new Event.Submit("x" + i, SAFE, 3, 0, null, false, false, 20 * SECOND_MICROS));
        }
        harness.runRound(events.toArray(new Event[0]));
        assertEquals(5, harness.hostsSentTo().size());
    }

    // Memory
    @Test
    void finishedMessagesAndUnlistedEndpointsAreRemovedFromMemory() throws ReflectiveOperationException {
        for (int i = 0; i < 300; i++) {
            String id = harness.submit(UNSAFE, 1, "key" + i);
            harness.reportOutcome(id, "a1", 0, AttemptResult.DELIVERED);
            harness.applyListing(
                    ListingKind.ALL,
                    DecisionModuleHarness.entry("a1", 1, 0, 0),
                    DecisionModuleHarness.entry("gone" + i, 2, 0, 1));
        }
        for (String name : List.of("messages", "lines")) {
            assertEquals(0, ((Map<?, ?>) field(name)).size(), name);
        }
        assertEquals(2, ((Map<?, ?>) field("endpoints")).size());
        harness.runRoundsFor(21 * SECOND_MICROS);
        assertTrue(((java.util.Collection<?>) field("dues")).isEmpty());
    }

    @Test
    void aKeyIsRemovedFromMemoryAfterItsDelay() throws ReflectiveOperationException {
        String id = harness.submit(UNSAFE, 1, "k");
        harness.reportOutcome(id, "a1", 0, AttemptResult.TIMED_OUT);
        harness.runRoundsFor(2 * SECOND_MICROS);
        assertEquals(0, ((Map<?, ?>) field("lines")).size());
    }

    private Object field(String name) throws ReflectiveOperationException {
        var field = DeliveryPolicy.class.getDeclaredField(name);
        field.setAccessible(true);
        return field.get(harness.module);
    }

    // Settings
    @Test
    void anInvalidSettingIsNamedInTheError() {
        IllegalArgumentException e = assertThrows(
                IllegalArgumentException.class,
                () -> DecisionModule.create(DecisionModuleHarness.settings(0, 50, 6, false), 1));
        assertTrue(e.getMessage().contains("slots"));
    }

    // Restart and end of the program
    private Event.Submit recoveredMessage(
            int messageClass, int attempts, boolean mayHaveRun, long mayHaveRunMicrosAgo) {
        return new Event.Submit(
                "r",
                messageClass,
                1,
                0,
                null,
                false,
                false,
                20 * SECOND_MICROS,
                new DecisionModule.PriorAttempts(
                        attempts, mayHaveRun, "a1", 0, harness.nowMicros - mayHaveRunMicrosAgo));
    }

    @Test
    void anUnsafeMessageThatMayHaveRunBeforeARestartFailsAtOnce() {
        assertTrue(harness.runRound(recoveredMessage(UNSAFE, 1, true, SECOND_MICROS))
                .hasFailed("r"));
        assertTrue(
                harness.runRound(recoveredMessage(UNSAFE, 1, false, 0)).wasSent("r"),
                "a message that never ran is sent");
    }

    @Test
    void aKeyedMessageKeepsItsRepeatWindowOverARestart() {
        assertTrue(harness.runRound(recoveredMessage(DecisionModuleHarness.KEYED, 1, true, 4 * SECOND_MICROS))
                .wasSent("r"));
        harness = DecisionModuleHarness.withTwoDestinations();
        assertTrue(harness.runRound(recoveredMessage(DecisionModuleHarness.KEYED, 1, true, 6 * SECOND_MICROS))
                .wasRefused("r"));
    }

    /**
     * Messages recovered after a restart are tried however many are open: capacity is made by refusing others, new ones
     * among them.
     */
    @Test
    void recoveredMessagesAreNotRefusedForLackOfCapacity() {
        harness.runRound(new Event.Listing(ListingKind.REMEMBERED, 2, List.of()));
        List<Event> recovered = new ArrayList<>();
        for (int i = 0; i < 49; i++) {
            recovered.add(new Event.Submit(
                    "r" + i,
                    SAFE,
                    1,
                    0,
                    null,
                    false,
                    false,
                    20 * SECOND_MICROS,
                    new DecisionModule.PriorAttempts(0, false, "", 0, 0)));
        }
        harness.runRound(recovered.toArray(Event[]::new));
        assertEquals(
                0,
                harness.actions.stream().filter(a -> a instanceof Action.Refuse).count(),
                "they are untried and have all their time left");
        String newMessage = harness.submit(SAFE, 1);
        assertTrue(harness.wasRefused(newMessage), "the new message, whose client may use another forwarder");
        assertEquals(
                1,
                harness.actions.stream().filter(a -> a instanceof Action.Refuse).count());
    }

    @Test
    void attemptsBeforeARestartCount() {
        assertTrue(harness.runRound(recoveredMessage(SAFE, 6, false, 0)).wasRefused("r"));
    }

    @Test
    void aPermanentRejectionFailsTheMessageAtOnce() {
        String id = harness.submit(SAFE, 1);
        assertTrue(harness.reportOutcome(id, "a1", 0, AttemptResult.REJECTED).hasFailed(id));
    }

    @Test
    void aMessageWithoutAttemptsLeftIsRefusedAtOnceAsItNeverRan() {
        String id = harness.submit(UNSAFE, 1);
        assertTrue(harness.reportOutcome(id, "a1", 0, AttemptResult.NO_ATTEMPTS_LEFT)
                .wasRefused(id));
    }

    @Test
    void aMessageThatMustNotBeSentAgainAndMayHaveRunFailsAtOnce() {
        String id = harness.submit(UNSAFE, 1);
        assertTrue(harness.reportOutcome(id, "a1", 0, AttemptResult.FORBIDDEN).hasFailed(id));
    }

    /** Its call took the slot of a message that nobody had answered yet. */
    @Test
    void aMessageThatWasProbablyDeliveredIsSentAgainAfterAllOthers() {
        Event.Submit before = recoveredMessage(SAFE, 1, true, SECOND_MICROS);
        DecisionModule.PriorAttempts prior = before.priorAttempts();
        Event.Submit probablyDelivered = new Event.Submit(
                before.id(),
                before.messageClass(),
                before.destination(),
                before.tenant(),
                null,
                false,
                false,
                before.budgetMicros(),
                new DecisionModule.PriorAttempts(
                        prior.attempts(),
                        true,
                        prior.uncertainHost(),
                        prior.uncertainZone(),
                        prior.uncertainSentAtMicros(),
                        true));
        Event.Submit untried = new Event.Submit("untried", SAFE, 1, 0, null, false, false, before.budgetMicros());
        harness.runRound(probablyDelivered, untried);
        List<String> sentIds = harness.actions.stream()
                .filter(action -> action instanceof Action.Send)
                .map(action -> ((Action.Send) action).id())
                .toList();
        assertEquals(List.of("untried", "r"), sentIds);
    }

    @Test
    void noCallIsStartedThatTheEndOfTheProgramCouldCutOff() {
        harness.runRound(new Event.Stopping(harness.nowMicros + 2 * SECOND_MICROS));
        assertTrue(!harness.wasSent(harness.submit(UNSAFE, 1)), "its call may take longer than the time left");
        assertTrue(harness.wasSent(harness.submit(SAFE, 1)), "its call times out before the end");
    }
}
