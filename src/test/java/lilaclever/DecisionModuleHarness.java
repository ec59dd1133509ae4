package lilaclever;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import lilaclever.DecisionModule.Action;
import lilaclever.DecisionModule.AttemptResult;
import lilaclever.DecisionModule.EndpointEntry;
import lilaclever.DecisionModule.EndpointKind;
import lilaclever.DecisionModule.Event;
import lilaclever.DecisionModule.KeyScope;
import lilaclever.DecisionModule.ListingKind;
import lilaclever.DecisionModule.MessageClass;
import lilaclever.DecisionModule.Presence;
import lilaclever.DecisionModule.RepeatSafety;
import lilaclever.DecisionModule.Settings;

/** Runs a decision module round by round: passes it events, checks its rules, and keeps the last round's actions. */
final class DecisionModuleHarness {
    /** Microseconds in a millisecond. */
    static final long MILLISECOND_MICROS = 1_000;

    /** Microseconds in a second. */
    static final long SECOND_MICROS = 1_000_000;

    /** Message classes of {@link #settings}, by index. */
    static final int SAFE = 0;

    static final int KEYED = 1;
    static final int UNSAFE = 2;
    static final int ZONED = 3;

    final Settings settings;
    DecisionModule module;
    RuleChecker checker;
    List<Action> actions = List.of();
    long nowMicros = 1000 * SECOND_MICROS;
    private int messagesCreated;

    DecisionModuleHarness(Settings settings) {
        this.settings = settings;
        this.module = DecisionModule.create(settings, 11);
        this.checker = new RuleChecker(settings);
    }

    /** A module that knows endpoint "a1" of destination 1, and "b1" of destination 2, which has its own limit. */
    static DecisionModuleHarness withTwoDestinations() {
        DecisionModuleHarness harness = new DecisionModuleHarness(settings(10, 50, 6, false));
        harness.applyListing(ListingKind.REMEMBERED, entry("a1", 1, 0, 0), entry("b1", 2, 0, 1));
        return harness;
    }

    static Settings settings(int slots, int maxOpenMessages, int maxAttempts, boolean mustWatchList) {
        return settings(slots, maxOpenMessages, maxAttempts, mustWatchList, 2);
    }

    static Settings settings(int slots, int maxOpenMessages, int maxAttempts, boolean mustWatchList, int forwarders) {
        return new Settings(
                0,
                forwarders,
                0,
                2,
                5 * MILLISECOND_MICROS,
                mustWatchList,
                DecisionModule.WeightMeaning.NONE,
                true,
                0.1,
                List.of(
                        new MessageClass(
                                2 * SECOND_MICROS, 20 * SECOND_MICROS, 1, RepeatSafety.SAFE, KeyScope.ALL, 0, false),
                        new MessageClass(
                                2 * SECOND_MICROS,
                                20 * SECOND_MICROS,
                                1,
                                RepeatSafety.KEYED,
                                KeyScope.ALL,
                                5 * SECOND_MICROS,
                                false),
                        new MessageClass(
                                2 * SECOND_MICROS, 20 * SECOND_MICROS, 1, RepeatSafety.UNSAFE, KeyScope.ALL, 0, true),
                        new MessageClass(
                                2 * SECOND_MICROS,
                                20 * SECOND_MICROS,
                                1,
                                RepeatSafety.KEYED,
                                KeyScope.ZONE,
                                5 * SECOND_MICROS,
                                false)),
                List.of(new EndpointKind(false, 1), new EndpointKind(true, 1), new EndpointKind(false, 5)),
                List.of(new DecisionModule.Tenant(0.5, 5), new DecisionModule.Tenant(0.5, 5)),
                new DecisionModule.Limits(
                        maxAttempts,
                        maxOpenMessages,
                        slots,
                        true,
                        false,
                        false,
                        1,
                        SECOND_MICROS,
                        5 * SECOND_MICROS,
                        true,
                        2 * SECOND_MICROS),
                new DecisionModule.Rules(
                        20 * MILLISECOND_MICROS,
                        10 * SECOND_MICROS,
                        SECOND_MICROS,
                        0.2,
                        10 * SECOND_MICROS,
                        2.5,
                        3 * SECOND_MICROS,
                        100 * MILLISECOND_MICROS));
    }

    /** Replaces the module by a new one without any state; outcomes of earlier calls must not be reported any more. */
    void restart() {
        if (!checker.breaches().isEmpty()) {
            throw new AssertionError(checker.breaches());
        }
        module = DecisionModule.create(settings, 12);
        checker = new RuleChecker(settings);
    }

    static EndpointEntry entry(String host, int destination, int zone, int kind) {
        return new EndpointEntry(host, destination, zone, kind, Presence.ACTIVE, 1, 0);
    }

    DecisionModuleHarness runRound(Event... events) {
        List<Event> eventList = new ArrayList<>(Arrays.asList(events));
        actions = module.decide(nowMicros, eventList);
        checker.checkRound(nowMicros, eventList, actions);
        return this;
    }

    DecisionModuleHarness applyListing(ListingKind kind, EndpointEntry... entries) {
        return runRound(new Event.Listing(kind, 1, List.of(entries)));
    }

    /** Runs rounds without events, one each 5 ms, and keeps the actions of all of them. */
    DecisionModuleHarness runRoundsFor(long micros) {
        List<Action> allActions = new ArrayList<>();
        for (long endMicros = nowMicros + micros; nowMicros < endMicros; ) {
            nowMicros += 5 * MILLISECOND_MICROS;
            runRound();
            allActions.addAll(actions);
        }
        actions = allActions;
        return this;
    }

    /** Submits a message and returns its id. */
    String submit(int messageClass, int destination) {
        return submit(messageClass, destination, null);
    }

    String submit(int messageClass, int destination, String key) {
        String id = "m" + messagesCreated++;
        runRound(new Event.Submit(id, messageClass, destination, 0, key, false, false, 20 * SECOND_MICROS));
        return id;
    }

    DecisionModuleHarness reportOutcome(String id, String host, int attempt, AttemptResult result) {
        return reportOutcome(id, host, attempt, result, 0);
    }

    DecisionModuleHarness reportOutcome(
            String id, String host, int attempt, AttemptResult result, long retryAfterMicros) {
        return runRound(new Event.Outcome(
                id,
                host,
                attempt,
                result,
                100 * MILLISECOND_MICROS,
                retryAfterMicros,
                false,
                result == AttemptResult.DELIVERED,
                null));
    }

    /** Hosts to which the last actions send, in order. */
    List<String> hostsSentTo() {
        return actions.stream()
                .filter(Action.Send.class::isInstance)
                .map(a -> ((Action.Send) a).host())
                .toList();
    }

    boolean wasSent(String id) {
        return actions.stream().anyMatch(a -> a instanceof Action.Send s && s.id().equals(id));
    }

    boolean wasRefused(String id) {
        return actions.stream().anyMatch(a -> a instanceof Action.Refuse s && s.id().equals(id));
    }

    boolean hasFailed(String id) {
        return actions.stream().anyMatch(a -> a instanceof Action.Fail s && s.id().equals(id));
    }
}
