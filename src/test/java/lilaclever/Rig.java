package lilaclever;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import lilaclever.DecisionModule.Action;
import lilaclever.DecisionModule.Ending;
import lilaclever.DecisionModule.Entry;
import lilaclever.DecisionModule.Event;
import lilaclever.DecisionModule.Group;
import lilaclever.DecisionModule.Kind;
import lilaclever.DecisionModule.ListingKind;
import lilaclever.DecisionModule.MessageClass;
import lilaclever.DecisionModule.Presence;
import lilaclever.DecisionModule.Repeat;
import lilaclever.DecisionModule.Settings;

/** Runs a decision module round by round: passes it events, checks its rules, and keeps the last round's actions. */
final class Rig {
    /** Microseconds in a millisecond. */
    static final long MS = 1_000;

    /** Microseconds in a second. */
    static final long S = 1_000_000;
    /** Message classes of {@link #settings}, by index. */
    static final int SAFE = 0;

    static final int KEYED = 1;
    static final int UNSAFE = 2;
    static final int ZONED = 3;

    final Settings settings;
    DecisionModule relay;
    RuleChecker checker;
    List<Action> actions = List.of();
    long now = 1000 * S;
    private int names;

    Rig(Settings settings) {
        this.settings = settings;
        this.relay = DecisionModule.create(settings, 11);
        this.checker = new RuleChecker(settings);
    }

    /** A module that knows endpoint "a1" of destination 1, and "b1" of destination 2, which has its own limit. */
    static Rig started() {
        Rig rig = new Rig(settings(10, 50, 6, false));
        rig.list(ListingKind.REMEMBERED, entry("a1", 1, 0, 0), entry("b1", 2, 0, 1));
        return rig;
    }

    static Settings settings(int slots, int maxOpen, int maxAttempts, boolean ask) {
        return settings(slots, maxOpen, maxAttempts, ask, 2);
    }

    static Settings settings(int slots, int maxOpen, int maxAttempts, boolean ask, int relays) {
        return new Settings(
                0,
                relays,
                0,
                2,
                5 * MS,
                ask,
                DecisionModule.Weights.NONE,
                true,
                0.1,
                List.of(
                        new MessageClass(2 * S, 20 * S, 1, Repeat.SAFE, Group.ALL, 0, false),
                        new MessageClass(2 * S, 20 * S, 1, Repeat.KEYED, Group.ALL, 5 * S, false),
                        new MessageClass(2 * S, 20 * S, 1, Repeat.UNSAFE, Group.ALL, 0, true),
                        new MessageClass(2 * S, 20 * S, 1, Repeat.KEYED, Group.ZONE, 5 * S, false)),
                List.of(new Kind(false, 1), new Kind(true, 1), new Kind(false, 5)),
                List.of(new DecisionModule.Tenant(0.5, 5), new DecisionModule.Tenant(0.5, 5)),
                new DecisionModule.Limits(maxAttempts, maxOpen, slots, true, false, false, 1, S, 5 * S, true, 2 * S),
                new DecisionModule.Rules(20 * MS, 10 * S, S, 0.2, 10 * S, 2.5, 3 * S, 100 * MS));
    }

    /** Replaces the module by a new one without any state; outcomes of earlier calls must not be reported any more. */
    void restart() {
        if (!checker.breaches().isEmpty()) {
            throw new AssertionError(checker.breaches());
        }
        relay = DecisionModule.create(settings, 12);
        checker = new RuleChecker(settings);
    }

    static Entry entry(String host, int destination, int zone, int kind) {
        return new Entry(host, destination, zone, kind, Presence.ACTIVE, 1, 0);
    }

    Rig round(Event... events) {
        List<Event> list = new ArrayList<>(Arrays.asList(events));
        actions = relay.decide(now, list);
        checker.round(now, list, actions);
        return this;
    }

    Rig list(ListingKind kind, Entry... entries) {
        return round(new Event.Listing(kind, 1, List.of(entries)));
    }

    /** Runs rounds without events, one each 5 ms, and keeps the actions of all of them. */
    Rig pass(long micros) {
        List<Action> all = new ArrayList<>();
        for (long end = now + micros; now < end; ) {
            now += 5 * MS;
            round();
            all.addAll(actions);
        }
        actions = all;
        return this;
    }

    /** Submits a message and returns its id. */
    String submit(int messageClass, int destination) {
        return submit(messageClass, destination, null);
    }

    String submit(int messageClass, int destination, String key) {
        String id = "m" + names++;
        round(new Event.Submit(id, messageClass, destination, 0, key, false, false, 20 * S));
        return id;
    }

    Rig outcome(String id, String host, int attempt, Ending ending) {
        return outcome(id, host, attempt, ending, 0);
    }

    Rig outcome(String id, String host, int attempt, Ending ending, long wait) {
        return round(
                new Event.Outcome(id, host, attempt, ending, 100 * MS, wait, false, ending == Ending.DELIVERED, null));
    }

    /** Hosts to which the last actions send, in order. */
    List<String> sentTo() {
        return actions.stream()
                .filter(Action.Send.class::isInstance)
                .map(a -> ((Action.Send) a).host())
                .toList();
    }

    boolean sent(String id) {
        return actions.stream().anyMatch(a -> a instanceof Action.Send s && s.id().equals(id));
    }

    boolean refused(String id) {
        return actions.stream().anyMatch(a -> a instanceof Action.Refuse s && s.id().equals(id));
    }

    boolean failed(String id) {
        return actions.stream().anyMatch(a -> a instanceof Action.Fail s && s.id().equals(id));
    }
}
