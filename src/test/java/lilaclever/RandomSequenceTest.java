package lilaclever;

import static lilaclever.DecisionModuleHarness.MILLISECOND_MICROS;
import static lilaclever.DecisionModuleHarness.SECOND_MICROS;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import lilaclever.DecisionModule.Action;
import lilaclever.DecisionModule.AttemptResult;
import lilaclever.DecisionModule.EndpointEntry;
import lilaclever.DecisionModule.Event;
import lilaclever.DecisionModule.LimitReport;
import lilaclever.DecisionModule.ListingKind;
import lilaclever.DecisionModule.Presence;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Random events from fixed seeds, without a model of the destinations: no sequence of events may break a rule. */
class RandomSequenceTest {
    private static final int ROUNDS = 12_000;
    private static final String[] HOSTS = {"h0", "h1", "h2", "h3", "h4", "h5"};

    /** A call in flight, with its one message. */
    private record CallInFlight(String id, String host, int attempt, long sentAtMicros, long dropAtMicros) {}

    private final List<String> actionTrace = new ArrayList<>();

    private DecisionModuleHarness run(long seed, int rounds) {
        Random random = new Random(seed);
        // Later seeds stand for forwarders of a large fleet: 2 slots, 400 forwarders.
        DecisionModuleHarness harness = new DecisionModuleHarness(DecisionModuleHarness.settings(
                seed > 8 ? 2 : 1 + random.nextInt(8), 20, 6, seed % 2 == 0, seed > 8 ? 400 : 2));
        harness.applyListing(ListingKind.REMEMBERED, entries(random, false));
        List<CallInFlight> callsInFlight = new ArrayList<>();
        Map<String, Integer> attempts = new LinkedHashMap<>();
        for (int i = 0; i < rounds; i++) {
            harness.nowMicros += 5 * MILLISECOND_MICROS;
            if (random.nextInt(3_000) == 0) {
                callsInFlight.clear();
                harness.restart();
                harness.applyListing(ListingKind.REMEMBERED, entries(random, false));
            }
            List<Event> events = new ArrayList<>();
            for (CallInFlight call : List.copyOf(callsInFlight)) {
                boolean timedOut = harness.nowMicros >= call.dropAtMicros;
                // For some seeds a third of the answers is lost: these attempts end when they are dropped.
                boolean answerLost = seed % 3 == 0 && Math.floorMod((call.id + call.attempt).hashCode(), 3) == 0;
                if (timedOut || !answerLost && random.nextInt(12) == 0) {
                    callsInFlight.remove(call);
                    AttemptResult result = timedOut
                            ? AttemptResult.TIMED_OUT
                            : AttemptResult.values()[random.nextInt(AttemptResult.values().length)];
                    events.add(new Event.Outcome(
                            call.id,
                            call.host,
                            call.attempt,
                            result,
                            harness.nowMicros - call.sentAtMicros,
                            result == AttemptResult.FULL ? random.nextInt(3) * 700 * MILLISECOND_MICROS : 0,
                            result == AttemptResult.NOT_SENT,
                            result == AttemptResult.DELIVERED,
                            random.nextBoolean() ? new LimitReport(random.nextDouble(), random.nextInt(9)) : null));
                }
            }
            if (random.nextInt(8) == 0 && harness.checker.openMessages().size() < 20) {
                int messageClass = random.nextInt(4);
                events.add(new Event.Submit(
                        "s" + i,
                        messageClass,
                        random.nextInt(4),
                        random.nextInt(3) - 1,
                        random.nextInt(4) == 0 ? null : "k" + random.nextInt(3),
                        false,
                        random.nextInt(20) == 0,
                        random.nextInt(6) == 0 ? 50 * MILLISECOND_MICROS : (1 + random.nextInt(20)) * SECOND_MICROS));
            }
            if (random.nextInt(300) == 0) {
                ListingKind kind = ListingKind.values()[random.nextInt(4)];
                events.add(new Event.Listing(
                        kind, i, kind == ListingKind.REFUSED ? List.of() : List.of(entries(random, true))));
            }
            if (random.nextInt(200) == 0) {
                harness.checker.openMessages().stream()
                        .findFirst()
                        .ifPresent(id -> events.add(new Event.Withdrawn(id)));
            }
            harness.runRound(events.toArray(new Event[0]));
            actionTrace.add(harness.actions.toString());
            for (Action action : harness.actions) {
                if (action instanceof Action.Send s) {
                    int attempt = attempts.merge(s.id(), 1, Integer::sum) - 1;
                    callsInFlight.add(new CallInFlight(s.id(), s.host(), attempt, harness.nowMicros, s.dropAtMicros()));
                }
            }
        }
        return harness;
    }

    private static EndpointEntry[] entries(Random random, boolean changing) {
        List<EndpointEntry> entries = new ArrayList<>();
        for (int hostIndex = 0; hostIndex < HOSTS.length; hostIndex++) {
            if (!changing || random.nextBoolean()) {
                Presence presence = changing ? Presence.values()[random.nextInt(3)] : Presence.ACTIVE;
                entries.add(new EndpointEntry(
                        HOSTS[hostIndex], hostIndex % 3, hostIndex / 3, hostIndex % 3, presence, 1 + hostIndex, 0));
            }
        }
        return entries.toArray(new EndpointEntry[0]);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12})
    void randomEventsBreakNoRule(long seed) {
        DecisionModuleHarness harness = run(seed, ROUNDS);
        harness.runRoundsFor(21 * SECOND_MICROS);
        assertEquals(List.of(), harness.checker.breaches());
        assertTrue(harness.checker.openMessages().isEmpty());
    }

    @Test
    void theSameEventsGiveTheSameActions() {
        run(3, 3_000);
        List<String> first = List.copyOf(actionTrace);
        actionTrace.clear();
        run(3, 3_000);
        assertEquals(first, actionTrace);
    }
}
