package lilaclever.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.junit.jupiter.api.Assertions.fail;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import lilaclever.DecisionModule;
import lilaclever.DecisionModule.ListingKind;
import lilaclever.DecisionModule.Presence;
import lilaclever.log.Logs;
import lilaclever.routing.EndpointMembership.CoreUpdate;
import lilaclever.routing.EndpointMembership.Departure;
import lilaclever.routing.EndpointMembership.ListUpdate;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

/**
 * Random schedules in virtual time: endpoints come and go, two agents learn of it late and have separate indexes,
 * responses arrive out of order, truncated, contradictory or without an index, indexes restart, and the forwarder
 * switches agents and is restarted. An auditor that reads the same lists checks the updates sent to the core.
 */
class EndpointMembershipScheduleTest {
    private static final int SCHEDULES = 6_000, STEPS = 50, NAMES = 6;
    private static final long SECOND_MICROS = 1_000_000, RETENTION_MICROS = 60 * SECOND_MICROS;

    @BeforeAll
    static void logErrorsOnly() {
        Logs.configure(new Logs.Settings(Logs.Format.TEXT, Logs.Level.ERROR, false));
    }

    @AfterAll
    static void restoreLogging() {
        Logs.configure(Logs.Settings.DEFAULT);
    }

    @Test
    void departedEndpointIsNeverReportedActive() {
        for (int seed = 0; seed < SCHEDULES; seed++) {
            try {
                new Schedule(seed).run();
            } catch (AssertionError | RuntimeException e) {
                fail("seed " + seed + ": " + e, e);
            }
        }
    }

    /** The actual endpoints at each version, without removed ones. */
    private static final class ActualEndpoints {
        private final List<Map<String, Core.ListedEndpoint>> versions = new ArrayList<>(List.of(Map.of()));
        private final SplittableRandom random;
        private int addressCount;

        ActualEndpoints(SplittableRandom random) {
            this.random = random;
            for (int i = 0; i < NAMES; i++) {
                change();
            }
        }

        int latest() {
            return versions.size() - 1;
        }

        void change() {
            String name = "s" + random.nextInt(NAMES);
            Map<String, Core.ListedEndpoint> next = new TreeMap<>(versions.get(latest()));
            Core.ListedEndpoint current = next.get(name);
            if (current == null) {
                next.put(name, listed(name, Presence.ACTIVE, freeAddress(next)));
            } else if (current.entry().presence() == Presence.ACTIVE) {
                int choice = random.nextInt(8);
                if (choice == 0) {
                    next.put(name, listed(name, Presence.ACTIVE, freeAddress(next)));
                } else if (choice == 1) {
                    next.remove(name);
                } else {
                    next.put(
                            name,
                            listed(name, Presence.LEAVING, current.endpoint().address()));
                }
            } else if (random.nextInt(4) == 0) {
                next.put(name, listed(name, Presence.ACTIVE, current.endpoint().address()));
            } else {
                next.remove(name);
            }
            versions.add(next);
        }

        /** Usually a new address, else one that another endpoint may have had before. */
        private String freeAddress(Map<String, Core.ListedEndpoint> used) {
            String old = "10.1.0.1:" + random.nextInt(addressCount + 1);
            boolean isFree =
                    used.values().stream().noneMatch(x -> x.endpoint().address().equals(old));
            return random.nextInt(3) == 0 && isFree ? old : "10.1.0.1:" + ++addressCount;
        }
    }

    private static Core.ListedEndpoint listed(String name, Presence presence, String address) {
        return new Core.ListedEndpoint(
                new DecisionModule.EndpointEntry(name, 1, 0, 0, presence, 1, 0),
                new Call.Endpoint(name, address, 1, 0, 1, false, null));
    }

    /** An agent that knows the endpoints up to some version, with indexes of its own. */
    private static final class Agent {
        private final String address;
        private final ActualEndpoints actual;
        private int knownVersion;
        private long indexOffset;
        private long highestIndex;

        Agent(String address, ActualEndpoints actual, long indexOffset) {
            this.address = address;
            this.actual = actual;
            this.indexOffset = indexOffset;
            knownVersion = actual.latest();
        }

        long index() {
            highestIndex = Math.max(highestIndex, indexOffset + knownVersion);
            return indexOffset + knownVersion;
        }

        void learn(int maxVersions) {
            knownVersion = Math.min(actual.latest(), knownVersion + maxVersions);
        }

        /** Restarts with a low index, possibly with an older list. */
        void restart(SplittableRandom random) {
            knownVersion = Math.max(0, knownVersion - random.nextInt(3));
            indexOffset = random.nextInt(10) - knownVersion;
        }

        ListUpdate whole() {
            return new ListUpdate(
                    address,
                    index(),
                    true,
                    false,
                    List.copyOf(actual.versions.get(knownVersion).values()),
                    Set.of());
        }

        ListUpdate changes(long after) {
            long from = after - indexOffset;
            if (after < 0 || from < 0 || from > knownVersion) {
                return whole();
            }
            Map<String, Core.ListedEndpoint> before = actual.versions.get((int) from);
            Map<String, Core.ListedEndpoint> current = actual.versions.get(knownVersion);
            List<Core.ListedEndpoint> changed = new ArrayList<>();
            current.values().stream()
                    .filter(x -> x != before.get(x.entry().host()))
                    .forEach(changed::add);
            before.values().stream()
                    .filter(x -> !current.containsKey(x.entry().host()))
                    .map(x ->
                            listed(x.entry().host(), Presence.LEFT, x.endpoint().address()))
                    .forEach(changed::add);
            return new ListUpdate(address, index(), false, false, changed, Set.of());
        }
    }

    /** What a list said of an endpoint. {@code isDisputed}: a list of the same index may contradict it. */
    private record ReceivedStatement(
            String agent, long index, long receivedMicros, boolean isDisputed, boolean isIndexed) {
        /** Whether a list, with or without an index, may contradict it. */
        boolean isContradictedBy(String byAgent, long byIndex, long nowMicros) {
            boolean isLater = byIndex > index || isDisputed && byIndex == index;
            boolean isComparable = agent.equals("known") || agent.equals(byAgent);
            return nowMicros - receivedMicros >= RETENTION_MICROS
                    || byIndex != EndpointMembership.NO_INDEX && isComparable && isLater;
        }
    }

    /** What the entries of a list say of a name. */
    private enum ReportedState {
        ACTIVE,
        DEPARTED,
        CONTRADICTORY
    }

    /** Tracks the lists that the forwarder has received, and checks the updates that it sends to the core. */
    private static final class Auditor {
        /** All departures of each name, and those that no later list has contradicted. */
        private final Map<String, List<ReceivedStatement>> departures = new HashMap<>(),
                uncontradicted = new HashMap<>();
        /** By name and address: lists that stated the address, while the endpoint is active. */
        private final Map<String, Map<String, List<ReceivedStatement>>> addresses = new HashMap<>();
        /**
         * Names listed since the process started, or stored before; and a key of name, agent and index for each list
         * that named an endpoint without saying that it had departed.
         */
        private final Set<String> names = new HashSet<>(), namedKeys = new HashSet<>();

        /** Names whose address was given to another name; their return is checked only at the end. */
        private final Set<String> replaced = new HashSet<>();
        /** Departures of the initial list, until the first response, with which they are stored. */
        private final Set<ReceivedStatement> ofInitialList = new HashSet<>();

        private final Map<String, Long> lastIndex = new HashMap<>(), highestIndex = new HashMap<>();
        private Map<String, Core.ListedEndpoint> core = new TreeMap<>();

        void processStarted(long version, List<Core.ListedEndpoint> known, CoreUpdate update, long nowMicros) {
            uncontradicted.values().forEach(all -> all.removeAll(ofInitialList));
            departures.values().forEach(all -> all.removeAll(ofInitialList));
            names.clear();
            namedKeys.clear();
            lastIndex.clear();
            addresses.clear();
            uncontradicted.values().removeIf(List::isEmpty);
            names.addAll(uncontradicted.keySet());
            for (Core.ListedEndpoint x : known) {
                String name = x.entry().host();
                names.add(name);
                if (x.entry().presence() != Presence.ACTIVE) {
                    ofInitialList.add(new ReceivedStatement("known", version, nowMicros, false, true));
                    addDeparture(name, new ReceivedStatement("known", version, nowMicros, false, true));
                } else {
                    namedKeys.add(name + " known " + version);
                }
            }
            assertEquals(ListingKind.REMEMBERED, update.kind());
            core = applied(new TreeMap<>(), update);
            checkDeparted("the initial list");
        }

        private void addDeparture(String name, ReceivedStatement statement) {
            departures.computeIfAbsent(name, n -> new ArrayList<>()).add(statement);
            uncontradicted.computeIfAbsent(name, n -> new ArrayList<>()).add(statement);
        }

        void updated(ListUpdate list, CoreUpdate update, long nowMicros) {
            boolean isComplete = list.isWhole() && !list.isTruncated();
            assertEquals(isComplete ? ListingKind.ALL : ListingKind.CHANGES, update.kind());
            ofInitialList.clear();
            Map<String, ReportedState> states = reportedStates(list);
            Set<String> expectedActive = new HashSet<>();
            Map<String, Core.ListedEndpoint> before = core;
            states.forEach((name, state) -> {
                names.add(name);
                if (state == ReportedState.ACTIVE) {
                    if (mustBeActive(name, list)) {
                        expectedActive.add(name);
                    }
                    uncontradicted
                            .getOrDefault(name, new ArrayList<>())
                            .removeIf(d -> d.isContradictedBy(list.agent(), list.index(), nowMicros));
                } else {
                    addDeparture(name, departure(list, nowMicros, state == ReportedState.CONTRADICTORY));
                }
            });
            if (isComplete) {
                names.stream()
                        .filter(name -> !states.containsKey(name))
                        .forEach(name -> addDeparture(name, departure(list, nowMicros, isNamed(name, list))));
            } else {
                addReplaced(list, states);
            }
            states.forEach((name, state) -> {
                if (state != ReportedState.DEPARTED) {
                    namedKeys.add(key(name, list));
                }
            });
            core = applied(isComplete ? new TreeMap<>() : new TreeMap<>(core), update);
            checkDeparted(list);
            expectedActive.forEach(
                    name -> assertEquals(Presence.ACTIVE, presence(name), () -> name + " after " + list));
            checkAddresses(before, list, nowMicros);
            if (list.index() != EndpointMembership.NO_INDEX) {
                lastIndex.put(list.agent(), list.index());
                highestIndex.merge(list.agent(), list.index(), Math::max);
            }
        }

        private static String key(String name, ListUpdate list) {
            return name + ' ' + list.agent() + ' ' + list.index();
        }

        private boolean isNamed(String name, ListUpdate list) {
            return list.index() == EndpointMembership.NO_INDEX
                    || namedKeys.contains(key(name, list))
                    || namedKeys.contains(name + " known " + list.index());
        }

        /** A list without an index counts as the last one of its agent. */
        private ReceivedStatement departure(ListUpdate list, long nowMicros, boolean isDisputed) {
            long index = list.index() == EndpointMembership.NO_INDEX
                    ? lastIndex.getOrDefault(list.agent(), EndpointMembership.NO_INDEX)
                    : list.index();
            return new ReceivedStatement(
                    list.agent(), index, nowMicros, isDisputed, list.index() != EndpointMembership.NO_INDEX);
        }

        private static Map<String, ReportedState> reportedStates(ListUpdate list) {
            Map<String, ReportedState> states = new TreeMap<>();
            Map<String, Core.ListedEndpoint> first = new HashMap<>();
            for (Core.ListedEndpoint x : list.entries()) {
                String name = x.entry().host();
                ReportedState state =
                        x.entry().presence() == Presence.ACTIVE ? ReportedState.ACTIVE : ReportedState.DEPARTED;
                Core.ListedEndpoint other = first.putIfAbsent(name, x);
                boolean isSame = other == null
                        || other.entry().presence() == x.entry().presence()
                                && other.endpoint().equals(x.endpoint());
                states.put(name, isSame ? state : ReportedState.CONTRADICTORY);
            }
            list.unusable().forEach(name -> states.put(name, ReportedState.CONTRADICTORY));
            return states;
        }

        /** True if no departure was ever received, or only some from the same agent with lower indexes. */
        private boolean mustBeActive(String name, ListUpdate list) {
            return !replaced.contains(name)
                    && departures.getOrDefault(name, List.of()).stream()
                            .allMatch(d -> list.index() != EndpointMembership.NO_INDEX
                                    && d.agent().equals(list.agent())
                                    && list.index()
                                            > (d.isIndexed()
                                                    ? d.index()
                                                    : highestIndex.getOrDefault(
                                                            d.agent(), EndpointMembership.NO_INDEX)));
        }

        /** If changes give an address to another name, its former holder may count as departed. */
        private void addReplaced(ListUpdate list, Map<String, ReportedState> states) {
            for (Core.ListedEndpoint x : list.entries()) {
                core.values().stream()
                        .filter(other ->
                                other.endpoint().address().equals(x.endpoint().address()))
                        .map(other -> other.entry().host())
                        .filter(other -> !states.containsKey(other))
                        .forEach(replaced::add);
            }
        }

        private static Map<String, Core.ListedEndpoint> applied(
                Map<String, Core.ListedEndpoint> to, CoreUpdate update) {
            update.entries().forEach(x -> to.put(x.entry().host(), x));
            return to;
        }

        private Presence presence(String name) {
            return core.containsKey(name) ? core.get(name).entry().presence() : Presence.LEFT;
        }

        private void checkDeparted(Object after) {
            core.keySet()
                    .forEach(name -> assertTrue(
                            presence(name) != Presence.ACTIVE
                                    || uncontradicted
                                            .getOrDefault(name, List.of())
                                            .isEmpty(),
                            () -> name + " is active after " + after + ", departed with " + uncontradicted.get(name)));
        }

        /** An address is not replaced if a later list of the agent that last set it stated it within a minute. */
        private void checkAddresses(Map<String, Core.ListedEndpoint> before, ListUpdate list, long nowMicros) {
            for (Core.ListedEndpoint x : core.values()) {
                String name = x.entry().host();
                String address = x.endpoint().address();
                if (x.entry().presence() != Presence.ACTIVE) {
                    addresses.remove(name);
                    continue;
                }
                Core.ListedEndpoint earlier = before.get(name);
                boolean hasMoved = earlier != null
                        && earlier.entry().presence() == Presence.ACTIVE
                        && !earlier.endpoint().address().equals(address);
                if (hasMoved) {
                    addresses
                            .getOrDefault(name, Map.of())
                            .getOrDefault(earlier.endpoint().address(), List.of())
                            .forEach(update -> assertTrue(
                                    nowMicros - update.receivedMicros() >= RETENTION_MICROS
                                            || !update.agent().equals(list.agent())
                                            || list.index() > update.index(),
                                    () -> name + " is at " + address + " after " + list + ", against " + update));
                }
                list.entries().stream()
                        .filter(e -> list.index() != EndpointMembership.NO_INDEX
                                && e.entry().host().equals(name)
                                && e.endpoint().address().equals(address))
                        .forEach(e -> addAddress(name, address, list, nowMicros));
            }
            addresses.keySet().retainAll(core.keySet());
        }

        private void addAddress(String name, String address, ListUpdate list, long nowMicros) {
            List<ReceivedStatement> statements = addresses
                    .computeIfAbsent(name, n -> new HashMap<>())
                    .computeIfAbsent(address, a -> new ArrayList<>());
            statements.removeIf(statement -> !statement.agent().equals(list.agent()));
            boolean isOvertaken = statements.stream()
                    .anyMatch(statement -> statement.index() > list.index()
                            && nowMicros - statement.receivedMicros() < RETENTION_MICROS);
            if (!isOvertaken) { // an outdated list confirms nothing
                statements.add(new ReceivedStatement(list.agent(), list.index(), nowMicros, false, true));
            }
        }

        void checkExact(Map<String, Core.ListedEndpoint> actual) {
            Map<String, String> expected = new TreeMap<>(), active = new TreeMap<>();
            actual.values().stream()
                    .filter(x -> x.entry().presence() == Presence.ACTIVE)
                    .forEach(x -> expected.put(x.entry().host(), x.endpoint().address()));
            core.values().stream()
                    .filter(x -> x.entry().presence() == Presence.ACTIVE)
                    .forEach(x -> active.put(x.entry().host(), x.endpoint().address()));
            assertEquals(expected, active, "active endpoints in the end");
        }
    }

    /** One schedule: a forwarder, its agents and random faults. */
    private static final class Schedule {
        private final SplittableRandom random;
        private final ActualEndpoints actual;
        private final List<Agent> agents;
        private final boolean hasAgentSwitches, hasRestarts;
        private final Auditor auditor = new Auditor();
        /** Delayed responses, and the step at which each arrives. */
        private final Map<ListUpdate, Integer> delayed = new LinkedHashMap<>();

        private final Map<String, Long> lastIndexes = new HashMap<>();
        private List<Departure> stored = List.of();
        private EndpointMembership membership;
        private Agent current;
        private int step;
        private long nowMicros = SECOND_MICROS;
        /** Offsets of the wall clock and of the event loop's clock from the simulated time. */
        private long wallOffsetMicros = 1_700_000_000 * SECOND_MICROS, loopOffsetMicros;

        Schedule(long seed) {
            random = new SplittableRandom(seed);
            actual = new ActualEndpoints(random);
            hasAgentSwitches = random.nextBoolean();
            hasRestarts = random.nextBoolean();
            agents = List.of(
                    new Agent("10.0.0.1:8500", actual, random.nextInt(50)),
                    new Agent("10.0.0.2:8500", actual, random.nextInt(50)));
            current = agents.get(0);
        }

        void run() {
            startProcess();
            for (step = 0; step < STEPS; step++) {
                nowMicros += random.nextInt(30) == 0
                        ? random.nextLong(65 * SECOND_MICROS)
                        : random.nextLong(2 * SECOND_MICROS);
                changeEnvironment();
                poll();
                deliverDelayed();
            }
            checkFinalState();
        }

        private void changeEnvironment() {
            if (random.nextInt(2) == 0) {
                actual.change();
            }
            agents.forEach(agent -> agent.learn(random.nextInt(3)));
            if (random.nextInt(25) == 0) {
                agents.get(random.nextInt(2)).restart(random);
            }
            if (hasAgentSwitches && random.nextInt(12) == 0) {
                current = agents.get(random.nextInt(2));
            }
            if (hasRestarts && random.nextInt(20) == 0) {
                startProcess();
            }
        }

        /** Starts a process with an initial list that may be outdated, and with clocks that may have been set. */
        private void startProcess() {
            wallOffsetMicros +=
                    random.nextInt(3) == 0 ? random.nextLong(-3_600 * SECOND_MICROS, 3_600 * SECOND_MICROS) : 0;
            loopOffsetMicros = random.nextLong(100 * SECOND_MICROS);
            delayed.clear();
            int version = Math.max((int) Math.max(0, -current.indexOffset), current.knownVersion - random.nextInt(8));
            long index = current.index() - current.knownVersion + version;
            List<Core.ListedEndpoint> known =
                    List.copyOf(actual.versions.get(version).values());
            membership = new EndpointMembership(stored, departures -> stored = List.copyOf(departures));
            auditor.processStarted(index, known, membership.applyInitialList(index, known), nowMicros);
            lastIndexes.clear();
            lastIndexes.put(current.address, index);
        }

        private void poll() {
            Long after = lastIndexes.get(current.address);
            boolean isWhole = after == null || random.nextInt(4) == 0;
            ListUpdate answer = corrupted(isWhole ? current.whole() : current.changes(after));
            if (random.nextInt(4) == 0) {
                delayed.put(answer, step + 1 + random.nextInt(4));
            } else {
                deliver(answer);
            }
        }

        private ListUpdate corrupted(ListUpdate list) {
            List<Core.ListedEndpoint> entries = new ArrayList<>(list.entries());
            Set<String> unusable = new HashSet<>();
            boolean isTruncated = random.nextInt(12) == 0;
            long index = random.nextInt(25) == 0 ? EndpointMembership.NO_INDEX : list.index();
            if (!entries.isEmpty() && random.nextInt(10) == 0) {
                unusable.add(
                        entries.remove(random.nextInt(entries.size())).entry().host());
            }
            if (!entries.isEmpty() && random.nextInt(10) == 0) {
                Core.ListedEndpoint duplicated = entries.get(random.nextInt(entries.size()));
                Presence presence = Presence.values()[random.nextInt(3)];
                String address = duplicated.endpoint().address() + (random.nextInt(3) == 0 ? "0" : "");
                entries.add(
                        random.nextInt(entries.size()),
                        listed(duplicated.entry().host(), presence, address));
            }
            if (isTruncated) {
                entries = entries.subList(0, random.nextInt(entries.size() + 1));
            }
            return new ListUpdate(list.agent(), index, list.isWhole(), isTruncated, List.copyOf(entries), unusable);
        }

        private void deliverDelayed() {
            List<ListUpdate> due = delayed.keySet().stream()
                    .filter(list -> delayed.get(list) <= step)
                    .toList();
            due.forEach(list -> {
                delayed.remove(list);
                deliver(list);
            });
        }

        private void deliver(ListUpdate list) {
            long loopMicros = nowMicros + loopOffsetMicros;
            auditor.updated(list, membership.update(list, loopMicros, nowMicros + wallOffsetMicros), nowMicros);
            if (list.index() != EndpointMembership.NO_INDEX) {
                lastIndexes.put(list.agent(), list.index());
            }
        }

        /** A valid, latest whole list yields the actual endpoints, after a minute at most. */
        private void checkFinalState() {
            deliver(validList());
            if (!hasAgentSwitches) {
                auditor.checkExact(actual.versions.get(actual.latest()));
            }
            nowMicros += RETENTION_MICROS;
            deliver(validList());
            auditor.checkExact(actual.versions.get(actual.latest()));
            assertTrue(!membership.needsWholeList(nowMicros + loopOffsetMicros), "no contradiction is left");
            assertTrue(!membership.contradictsInitialList());
        }

        private ListUpdate validList() {
            current.knownVersion = actual.latest();
            current.indexOffset = Math.max(current.indexOffset, current.highestIndex + 1 - current.knownVersion);
            return current.whole();
        }
    }
}
