package lilaclever;

import static lilaclever.Rig.MS;
import static lilaclever.Rig.S;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import lilaclever.DecisionModule.Action;
import lilaclever.DecisionModule.Ending;
import lilaclever.DecisionModule.Entry;
import lilaclever.DecisionModule.Event;
import lilaclever.DecisionModule.ListingKind;
import lilaclever.DecisionModule.Presence;
import lilaclever.DecisionModule.Report;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Random events from fixed seeds, without a model of the destinations: no sequence of events may break a rule. */
class RandomSequenceTest {
    private static final int ROUNDS = 12_000;
    private static final String[] HOSTS = {"h0", "h1", "h2", "h3", "h4", "h5"};

    /** A call in flight of one message. */
    private record Out(String id, String host, int attempt, long sentAt, long dropAt) {}

    private final List<String> trace = new ArrayList<>();

    private Rig play(long seed, int rounds) {
        Random random = new Random(seed);
        // Later seeds stand for forwarders of a large fleet: 2 slots, 400 forwarders.
        Rig rig = new Rig(Rig.settings(seed > 8 ? 2 : 1 + random.nextInt(8), 20, 6, seed % 2 == 0, seed > 8 ? 400 : 2));
        rig.list(ListingKind.REMEMBERED, entries(random, false));
        List<Out> out = new ArrayList<>();
        Map<String, Integer> attempts = new LinkedHashMap<>();
        for (int i = 0; i < rounds; i++) {
            rig.now += 5 * MS;
            if (random.nextInt(3_000) == 0) {
                out.clear();
                rig.restart();
                rig.list(ListingKind.REMEMBERED, entries(random, false));
            }
            List<Event> events = new ArrayList<>();
            for (Out call : List.copyOf(out)) {
                boolean late = rig.now >= call.dropAt;
                // For some seeds a third of the answers is lost: these attempts end when they are dropped.
                boolean lost = seed % 3 == 0 && Math.floorMod((call.id + call.attempt).hashCode(), 3) == 0;
                if (late || !lost && random.nextInt(12) == 0) {
                    out.remove(call);
                    Ending ending = late ? Ending.TIMED_OUT : Ending.values()[random.nextInt(Ending.values().length)];
                    events.add(new Event.Outcome(
                            call.id,
                            call.host,
                            call.attempt,
                            ending,
                            rig.now - call.sentAt,
                            ending == Ending.FULL ? random.nextInt(3) * 700 * MS : 0,
                            ending == Ending.NOT_SENT,
                            ending == Ending.DELIVERED,
                            random.nextBoolean() ? new Report(random.nextDouble(), random.nextInt(9)) : null));
                }
            }
            if (random.nextInt(8) == 0 && rig.checker.open().size() < 20) {
                int kind = random.nextInt(4);
                events.add(new Event.Submit(
                        "s" + i,
                        kind,
                        random.nextInt(4),
                        random.nextInt(3) - 1,
                        random.nextInt(4) == 0 ? null : "k" + random.nextInt(3),
                        false,
                        random.nextInt(20) == 0,
                        random.nextInt(6) == 0 ? 50 * MS : (1 + random.nextInt(20)) * S));
            }
            if (random.nextInt(300) == 0) {
                ListingKind kind = ListingKind.values()[random.nextInt(4)];
                events.add(new Event.Listing(
                        kind, i, kind == ListingKind.REFUSED ? List.of() : List.of(entries(random, true))));
            }
            if (random.nextInt(200) == 0) {
                rig.checker.open().stream().findFirst().ifPresent(id -> events.add(new Event.Withdrawn(id)));
            }
            rig.round(events.toArray(new Event[0]));
            trace.add(rig.actions.toString());
            for (Action action : rig.actions) {
                if (action instanceof Action.Send s) {
                    int n = attempts.merge(s.id(), 1, Integer::sum) - 1;
                    out.add(new Out(s.id(), s.host(), n, rig.now, s.dropAtMicros()));
                }
            }
        }
        return rig;
    }

    private static Entry[] entries(Random random, boolean changing) {
        List<Entry> entries = new ArrayList<>();
        for (int h = 0; h < HOSTS.length; h++) {
            if (!changing || random.nextBoolean()) {
                Presence presence = changing ? Presence.values()[random.nextInt(3)] : Presence.ACTIVE;
                entries.add(new Entry(HOSTS[h], h % 3, h / 3, h % 3, presence, 1 + h, 0));
            }
        }
        return entries.toArray(new Entry[0]);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12})
    void noRuleBreaksWhateverComes(long seed) {
        Rig rig = play(seed, ROUNDS);
        rig.pass(21 * S);
        assertEquals(List.of(), rig.checker.breaches());
        assertTrue(rig.checker.open().isEmpty());
    }

    @Test
    void theSameEventsGiveTheSameActions() {
        play(3, 3_000);
        List<String> first = List.copyOf(trace);
        trace.clear();
        play(3, 3_000);
        assertEquals(first, trace);
    }
}
