package lilaclever;

import static lilaclever.DecisionModuleHarness.MILLISECOND_MICROS;
import static lilaclever.DecisionModuleHarness.SAFE;
import static lilaclever.DecisionModuleHarness.SECOND_MICROS;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import lilaclever.DecisionModule.Action;
import lilaclever.DecisionModule.AttemptResult;
import lilaclever.DecisionModule.Event;
import lilaclever.DecisionModule.LimitReport;
import lilaclever.DecisionModule.ListingKind;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

/** Many forwarders that rarely send to one destination: the load that they put on it together. */
class FleetTest {
    private static final int FORWARDERS = 200;
    private static final double MESSAGES_PER_SECOND = 4;
    private static final long TICK_MICROS = 20 * MILLISECOND_MICROS;
    /** A limit of 3 calls a second with most of its allowance left. */
    private static final LimitReport MUCH_ALLOWANCE_LEFT = new LimitReport(0.7, 3);

    private final List<DecisionModule> forwarders = new ArrayList<>();
    private final List<List<Event>> pendingEvents = new ArrayList<>();
    private final Map<Integer, Long> wakeAtMicros = new HashMap<>();
    private final Map<String, Integer> attempts = new LinkedHashMap<>();
    /** Forwarders that saw the outage. */
    private final Set<Integer> informed = new HashSet<>();

    private long seed;
    /** Calls by forwarders that saw the outage. */
    private int callsByInformed;
    /** Calls by other forwarders. */
    private int callsByUninformed;

    private void simulate(
            long fromMicros, long toMicros, AttemptResult result, long acceptsFromMicros, boolean duringOutage) {
        Random random = new Random(fromMicros + seed);
        for (long nowMicros = fromMicros; nowMicros < toMicros; nowMicros += TICK_MICROS) {
            if (random.nextDouble() < MESSAGES_PER_SECOND * TICK_MICROS / SECOND_MICROS) {
                pendingEvents
                        .get(random.nextInt(FORWARDERS))
                        .add(new Event.Submit("m" + nowMicros, SAFE, 1, 0, null, false, false, 20 * SECOND_MICROS));
            }
            for (int forwarderIndex = 0; forwarderIndex < FORWARDERS; forwarderIndex++) {
                if (pendingEvents.get(forwarderIndex).isEmpty()
                        && wakeAtMicros.getOrDefault(forwarderIndex, Long.MAX_VALUE) > nowMicros) {
                    continue;
                }
                wakeAtMicros.remove(forwarderIndex);
                List<Event> events = List.copyOf(pendingEvents.get(forwarderIndex));
                pendingEvents.get(forwarderIndex).clear();
                if (duringOutage && events.stream().anyMatch(e -> e instanceof Event.Outcome)) {
                    informed.add(forwarderIndex);
                }
                for (Action action : forwarders.get(forwarderIndex).decide(nowMicros, events)) {
                    if (action instanceof Action.Wake w) {
                        wakeAtMicros.merge(forwarderIndex, nowMicros + w.afterMicros(), Math::min);
                    } else if (action instanceof Action.Send s) {
                        callsByInformed += informed.contains(forwarderIndex) ? 1 : 0;
                        callsByUninformed += informed.contains(forwarderIndex) ? 0 : 1;
                        pendingEvents
                                .get(forwarderIndex)
                                .add(new Event.Outcome(
                                        s.id(),
                                        s.host(),
                                        attempts.merge(s.id(), 1, Integer::sum) - 1,
                                        result,
                                        20 * MILLISECOND_MICROS,
                                        result == AttemptResult.FULL ? Math.max(0, acceptsFromMicros - nowMicros) : 0,
                                        false,
                                        false,
                                        result == AttemptResult.FULL ? MUCH_ALLOWANCE_LEFT : null));
                    }
                }
            }
        }
    }

    private void simulateOutage(AttemptResult result, boolean sendsRetryAfter, int hosts, long lengthMicros) {
        for (seed = 0; seed < 3; seed++) {
            forwarders.clear();
            pendingEvents.clear();
            wakeAtMicros.clear();
            attempts.clear();
            informed.clear();
            for (int forwarderIndex = 0; forwarderIndex < FORWARDERS; forwarderIndex++) {
                forwarders.add(DecisionModule.create(
                        DecisionModuleHarness.settings(4, 50, 12, false, FORWARDERS), forwarderIndex));
                pendingEvents.add(new ArrayList<>(List.of(new Event.Listing(
                        ListingKind.REMEMBERED,
                        1,
                        List.of(DecisionModuleHarness.entry("a1", 1, 0, 0), DecisionModuleHarness.entry("a2", 1, 0, 0))
                                .subList(0, hosts)))));
            }
            int callsByInformedBefore = callsByInformed;
            int callsByUninformedBefore = callsByUninformed;
            simulate(
                    1000 * SECOND_MICROS,
                    1000 * SECOND_MICROS + lengthMicros,
                    result,
                    sendsRetryAfter ? 1000 * SECOND_MICROS + lengthMicros : 0,
                    true);
            callsByInformed = callsByInformedBefore;
            callsByUninformed = callsByUninformedBefore;
            simulate(1000 * SECOND_MICROS + lengthMicros, 1002 * SECOND_MICROS + lengthMicros, result, 0, false);
        }
        // The rule allows a factor of 2 (two thirds of the calls); 1.5 leaves a margin for chance.
        assertTrue(
                callsByInformed < 1.5 * callsByUninformed,
                callsByInformed + " calls by forwarders that saw the outage, " + callsByUninformed + " by others");
    }

    /**
     * Just after an outage fewer than two thirds of the calls may come from forwarders that saw it. They saw it either
     * as refusals of a full queue while most of the allowance was left, or as connects that fail at once, as they also
     * do at healthy endpoints that take few connections.
     */
    @ParameterizedTest
    @EnumSource(
            value = AttemptResult.class,
            names = {"FULL", "NO_CONNECTION"})
    void forwardersThatSawAnOutageDoNotOverloadTheRecoveringDestination(AttemptResult result) {
        simulateOutage(result, false, 1, 20 * SECOND_MICROS);
    }

    /** Guards against retries at a message's usual delays after failed connects at both hosts in a short outage. */
    @Test
    void forwardersThatSawAShortOutageOfAllHostsDoNotOverloadThemAfterIt() {
        simulateOutage(AttemptResult.NO_CONNECTION, false, 2, 6 * SECOND_MICROS);
    }

    /** After errors at both hosts without a delivery, no forwarder may try a third time within seconds. */
    @Test
    void errorsAtAllHostsAreAnOutageToEveryForwarder() {
        simulateOutage(AttemptResult.ERROR, false, 2, 8 * SECOND_MICROS);
        assertTrue(
                2 * callsByInformed < callsByUninformed,
                callsByInformed + " calls by forwarders that saw the outage, " + callsByUninformed + " by others");
    }

    /** Guards against a burst of retries by messages that failed together: their delays are spread by chance. */
    @Test
    void messagesThatFailTogetherAreRetriedAtDifferentTimes() {
        List<Long> sendTimesMicros = new ArrayList<>();
        for (int forwarderIndex = 0; forwarderIndex < 60; forwarderIndex++) {
            DecisionModule forwarder =
                    DecisionModule.create(DecisionModuleHarness.settings(4, 50, 12, false, FORWARDERS), forwarderIndex);
            long nowMicros = 1000 * SECOND_MICROS + forwarderIndex * 10 * MILLISECOND_MICROS;
            String id = "m" + forwarderIndex;
            int attempt = 0;
            List<Event> events = List.of(
                    new Event.Listing(ListingKind.REMEMBERED, 1, List.of(DecisionModuleHarness.entry("a1", 1, 0, 0))),
                    new Event.Submit(id, SAFE, 1, 0, null, false, false, 20 * SECOND_MICROS));
            for (; nowMicros < 1019 * SECOND_MICROS; nowMicros += TICK_MICROS) {
                List<Event> nextEvents = new ArrayList<>();
                for (Action action : forwarder.decide(nowMicros, events)) {
                    if (action instanceof Action.Send s) {
                        sendTimesMicros.add(nowMicros - 1000 * SECOND_MICROS);
                        nextEvents.add(new Event.Outcome(
                                id,
                                s.host(),
                                attempt++,
                                AttemptResult.NO_CONNECTION,
                                20 * MILLISECOND_MICROS,
                                0,
                                false,
                                false,
                                null));
                    }
                }
                events = nextEvents;
            }
        }
        long mostInOneSecond = 0;
        for (long fromMicros = SECOND_MICROS; fromMicros < 18 * SECOND_MICROS; fromMicros += 100 * MILLISECOND_MICROS) {
            long startMicros = fromMicros;
            mostInOneSecond = Math.max(
                    mostInOneSecond,
                    sendTimesMicros.stream()
                            .filter(t -> t >= startMicros && t < startMicros + SECOND_MICROS)
                            .count());
        }
        assertTrue(mostInOneSecond <= 30, mostInOneSecond + " of 60 are sent again in one second");
    }

    /** A destination that refuses all calls gives each forwarder the same time to retry; not all may do so then. */
    @Test
    void forwardersDoNotAllRetryWhenARetryAfterEnds() {
        simulateOutage(AttemptResult.FULL, true, 1, 20 * SECOND_MICROS);
    }

    /**
     * Guards against overload of a recovering destination by all forwarders together: it is a breach if a window has
     * more calls than the budget of N plus 2 sqrt(N) + 2 for chance, and two thirds of them come from forwarders that
     * saw the outage.
     */
    @ParameterizedTest
    @CsvSource({"20, 6", "20, 20", "30, 6", "30, 20"})
    void aFleetStaysWithinTheBudgetOfARecoveringDestination(int fleetSize, int outageSeconds) {
        for (long seed = 1; seed <= 5; seed++) {
            RecoverySimulation simulation = new RecoverySimulation(fleetSize, seed);
            simulation.run(1000 * SECOND_MICROS, 1030 * SECOND_MICROS, null);
            simulation.run(1030 * SECOND_MICROS, (1030 + outageSeconds) * SECOND_MICROS, AttemptResult.NO_CONNECTION);
            simulation.run((1030 + outageSeconds) * SECOND_MICROS, (1045 + outageSeconds) * SECOND_MICROS, null);
            assertEquals(List.of(), simulation.breaches, "seed " + seed);
        }
    }

    /** Forwarders that share a destination which is healthy, then in an outage, and recovering after that. */
    private static final class RecoverySimulation {
        private static final double CAPACITY_PER_SECOND = 10, LOAD_SHARE = 0.75;
        private final DecisionModule.Rules rules;
        private final List<DecisionModule> forwarders = new ArrayList<>();
        private final List<List<Event>> pendingEvents = new ArrayList<>();
        private final Map<Integer, Long> wakeAtMicros = new HashMap<>();
        private final Map<String, Integer> attempts = new HashMap<>();
        private final Set<Integer> informed = new HashSet<>();
        private final List<long[]> recentCalls = new ArrayList<>();
        private final List<String> breaches = new ArrayList<>();
        private final Random random;
        private long outageStartMicros, recoveryStartMicros = Long.MAX_VALUE;
        private int messagesCreated;

        RecoverySimulation(int fleetSize, long seed) {
            random = new Random(seed);
            DecisionModule.Settings settings = DecisionModuleHarness.settings(4, 50, 12, false, fleetSize);
            rules = settings.rules();
            for (int forwarderIndex = 0; forwarderIndex < fleetSize; forwarderIndex++) {
                forwarders.add(DecisionModule.create(settings, seed * 1000 + forwarderIndex));
                pendingEvents.add(new ArrayList<>(List.of(new Event.Listing(
                        ListingKind.REMEMBERED, 1, List.of(DecisionModuleHarness.entry("a1", 1, 0, 0))))));
            }
        }

        /** Runs a span of time; {@code outageResult}: the result of each call, null where the destination delivers. */
        void run(long fromMicros, long toMicros, AttemptResult outageResult) {
            outageStartMicros = outageResult != null ? fromMicros : outageStartMicros;
            recoveryStartMicros = outageResult == null && outageStartMicros > 0 ? fromMicros : Long.MAX_VALUE;
            for (long nowMicros = fromMicros; nowMicros < toMicros; nowMicros += TICK_MICROS) {
                if (random.nextDouble() < CAPACITY_PER_SECOND * LOAD_SHARE * TICK_MICROS / SECOND_MICROS) {
                    pendingEvents
                            .get(random.nextInt(forwarders.size()))
                            .add(new Event.Submit(
                                    "m" + messagesCreated++, SAFE, 1, 0, null, false, false, 20 * SECOND_MICROS));
                }
                for (int forwarderIndex = 0; forwarderIndex < forwarders.size(); forwarderIndex++) {
                    if (!pendingEvents.get(forwarderIndex).isEmpty()
                            || wakeAtMicros.getOrDefault(forwarderIndex, Long.MAX_VALUE) <= nowMicros) {
                        runRound(forwarderIndex, nowMicros, outageResult);
                    }
                }
            }
        }

        private void runRound(int forwarderIndex, long nowMicros, AttemptResult outageResult) {
            wakeAtMicros.remove(forwarderIndex);
            List<Event> newEvents = List.copyOf(pendingEvents.get(forwarderIndex));
            pendingEvents.get(forwarderIndex).clear();
            if (newEvents.stream()
                    .anyMatch(e -> e instanceof Event.Outcome o && o.result() != AttemptResult.DELIVERED)) {
                informed.add(forwarderIndex);
            }
            for (Action action : forwarders.get(forwarderIndex).decide(nowMicros, newEvents)) {
                if (action instanceof Action.Wake w) {
                    wakeAtMicros.merge(forwarderIndex, nowMicros + w.afterMicros(), Math::min);
                } else if (action instanceof Action.Send s) {
                    AttemptResult result = outageResult == null ? AttemptResult.DELIVERED : outageResult;
                    pendingEvents
                            .get(forwarderIndex)
                            .add(new Event.Outcome(
                                    s.id(),
                                    s.host(),
                                    attempts.merge(s.id(), 1, Integer::sum) - 1,
                                    result,
                                    20 * MILLISECOND_MICROS,
                                    0,
                                    false,
                                    result == AttemptResult.DELIVERED,
                                    null));
                    if (nowMicros >= recoveryStartMicros) {
                        checkBudget(forwarderIndex, nowMicros);
                    }
                }
            }
        }

        private void checkBudget(int forwarderIndex, long nowMicros) {
            recentCalls.add(new long[] {nowMicros, informed.contains(forwarderIndex) ? 1 : 0});
            recentCalls.removeIf(x -> x[0] <= nowMicros - rules.overloadWindowMicros());
            double capacityShare = rules.initialCapacityShare()
                    + (1 - rules.initialCapacityShare())
                            * Math.min(1, (nowMicros - recoveryStartMicros) / (double) rules.rampMicros());
            double budget = rules.overloadMultiple()
                    * CAPACITY_PER_SECOND
                    * capacityShare
                    * rules.overloadWindowMicros()
                    / SECOND_MICROS;
            long byInformed = recentCalls.stream().filter(x -> x[1] == 1).count();
            if (recentCalls.size() > budget + 2 * Math.sqrt(budget) + 2 && byInformed >= 2 * recentCalls.size() / 3.0) {
                breaches.add(recentCalls.size() + " calls, " + byInformed
                        + " by forwarders that saw the outage, for a budget of " + (int) budget + " after "
                        + (nowMicros - recoveryStartMicros) / MILLISECOND_MICROS + " ms");
            }
        }
    }
}
