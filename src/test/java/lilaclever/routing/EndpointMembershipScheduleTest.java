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
import lilaclever.routing.EndpointMembership.Change;
import lilaclever.routing.EndpointMembership.Departure;
import lilaclever.routing.EndpointMembership.ListUpdate;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

/**
 * Random schedules in virtual time: endpoints come and go, two agents hear of it late and count for themselves, answers
 * are overtaken, cut, contradictory or without an index, discovery counts anew, the forwarder moves to the other agent
 * and is restarted. An auditor that reads the same lists knows what the forwarder has heard.
 */
class EndpointMembershipScheduleTest {
    private static final int SCHEDULES = 6_000, STEPS = 50, NAMES = 6;
    private static final long SECOND = 1_000_000, KEPT = 60 * SECOND;

    @BeforeAll
    static void logErrorsAlone() {
        Logs.configure(new Logs.Settings(Logs.Format.TEXT, Logs.Level.ERROR, false));
    }

    @AfterAll
    static void logAsUsual() {
        Logs.configure(Logs.Settings.DEFAULT);
    }

    @Test
    void nothingThatHasDepartedIsToldAsActive() {
        for (int seed = 0; seed < SCHEDULES; seed++) {
            try {
                new Schedule(seed).play();
            } catch (AssertionError | RuntimeException e) {
                fail("seed " + seed + ": " + e, e);
            }
        }
    }

    /** The endpoints as they truly are, and as they were at each version; gone ones are not in it. */
    private static final class Truth {
        private final List<Map<String, Core.Listed>> versions = new ArrayList<>(List.of(Map.of()));
        private final SplittableRandom random;
        private int addresses;

        Truth(SplittableRandom random) {
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
            Map<String, Core.Listed> next = new TreeMap<>(versions.get(latest()));
            Core.Listed now = next.get(name);
            if (now == null) {
                next.put(name, listed(name, Presence.ACTIVE, freeAddress(next)));
            } else if (now.entry().presence() == Presence.ACTIVE) {
                int choice = random.nextInt(8);
                if (choice == 0) {
                    next.put(name, listed(name, Presence.ACTIVE, freeAddress(next)));
                } else if (choice == 1) {
                    next.remove(name);
                } else {
                    next.put(name, listed(name, Presence.LEAVING, now.endpoint().address()));
                }
            } else if (random.nextInt(4) == 0) {
                next.put(name, listed(name, Presence.ACTIVE, now.endpoint().address()));
            } else {
                next.remove(name);
            }
            versions.add(next);
        }

        /** Mostly a new one, else one that another endpoint had once. */
        private String freeAddress(Map<String, Core.Listed> used) {
            String old = "10.1.0.1:" + random.nextInt(addresses + 1);
            boolean isFree =
                    used.values().stream().noneMatch(x -> x.endpoint().address().equals(old));
            return random.nextInt(3) == 0 && isFree ? old : "10.1.0.1:" + ++addresses;
        }
    }

    private static Core.Listed listed(String name, Presence presence, String address) {
        return new Core.Listed(
                new DecisionModule.EndpointEntry(name, 1, 0, 0, presence, 1, 0),
                new Call.Endpoint(name, address, 1, 0, 1, false, null));
    }

    /** Knows the endpoints up to some version, and gives it an index of its own. */
    private static final class Agent {
        private final String address;
        private final Truth truth;
        private int seen;
        private long offset;
        private long highest;

        Agent(String address, Truth truth, long offset) {
            this.address = address;
            this.truth = truth;
            this.offset = offset;
            seen = truth.latest();
        }

        long index() {
            highest = Math.max(highest, offset + seen);
            return offset + seen;
        }

        void learn(int most) {
            seen = Math.min(truth.latest(), seen + most);
        }

        /** Counts anew from a low index, perhaps with an older list. */
        void restart(SplittableRandom random) {
            seen = Math.max(0, seen - random.nextInt(3));
            offset = random.nextInt(10) - seen;
        }

        ListUpdate whole() {
            return new ListUpdate(
                    address,
                    index(),
                    true,
                    false,
                    List.copyOf(truth.versions.get(seen).values()),
                    Set.of());
        }

        ListUpdate changes(long after) {
            long from = after - offset;
            if (after < 0 || from < 0 || from > seen) {
                return whole();
            }
            Map<String, Core.Listed> before = truth.versions.get((int) from);
            Map<String, Core.Listed> now = truth.versions.get(seen);
            List<Core.Listed> changed = new ArrayList<>();
            now.values().stream().filter(x -> x != before.get(x.entry().host())).forEach(changed::add);
            before.values().stream()
                    .filter(x -> !now.containsKey(x.entry().host()))
                    .map(x ->
                            listed(x.entry().host(), Presence.LEFT, x.endpoint().address()))
                    .forEach(changed::add);
            return new ListUpdate(address, index(), false, false, changed, Set.of());
        }
    }

    /** A list that says that an endpoint departs. {@code isDisputed}: a list of the same index is late enough. */
    private record Heard(String agent, long index, long at, boolean isDisputed, boolean isIndexed) {
        /** Whether a list, with an index or not, may contradict it. */
        boolean isAnsweredBy(String byAgent, long byIndex, long now) {
            boolean isLater = byIndex > index || isDisputed && byIndex == index;
            boolean isComparable = agent.equals("known") || agent.equals(byAgent);
            return now - at >= KEPT || byIndex != EndpointMembership.NO_INDEX && isComparable && isLater;
        }
    }

    /** What a list says of one name, by its entries alone. */
    private enum Saying {
        ACTIVE,
        DEPARTED,
        CONTRADICTORY
    }

    /** Knows what the forwarder has heard, and what it may tell the core. */
    private static final class Auditor {
        /** All departures of each name, and those that no later list has answered. */
        private final Map<String, List<Heard>> departures = new HashMap<>(), open = new HashMap<>();
        /** Since it was last active: lists that said the address that the core was told. */
        private final Map<String, Map<String, List<Heard>>> addresses = new HashMap<>();
        /**
         * Names heard of since the process began or noted before; lists by name, agent and index that named one other
         * than departed.
         */
        private final Set<String> names = new HashSet<>(), named = new HashSet<>();

        /** Names whose address another one has got; when they are back is checked at the end alone. */
        private final Set<String> replaced = new HashSet<>();
        /** Departures of the known list, until the first answer has them noted. */
        private final Set<Heard> ofKnownList = new HashSet<>();

        private final Map<String, Long> lastIndex = new HashMap<>(), highestIndex = new HashMap<>();
        private Map<String, Core.Listed> core = new TreeMap<>();

        void began(long version, List<Core.Listed> known, Change told, long now) {
            open.values().forEach(all -> all.removeAll(ofKnownList));
            departures.values().forEach(all -> all.removeAll(ofKnownList));
            names.clear();
            named.clear();
            lastIndex.clear();
            addresses.clear();
            open.values().removeIf(List::isEmpty);
            names.addAll(open.keySet());
            for (Core.Listed x : known) {
                String name = x.entry().host();
                names.add(name);
                if (x.entry().presence() != Presence.ACTIVE) {
                    ofKnownList.add(new Heard("known", version, now, false, true));
                    departed(name, new Heard("known", version, now, false, true));
                } else {
                    named.add(name + " known " + version);
                }
            }
            assertEquals(ListingKind.REMEMBERED, told.kind());
            core = applied(new TreeMap<>(), told);
            checkDeparted("the known list");
        }

        private void departed(String name, Heard heard) {
            departures.computeIfAbsent(name, n -> new ArrayList<>()).add(heard);
            open.computeIfAbsent(name, n -> new ArrayList<>()).add(heard);
        }

        void heard(ListUpdate list, Change told, long now) {
            boolean isComplete = list.isWhole() && !list.isCut();
            assertEquals(isComplete ? ListingKind.ALL : ListingKind.CHANGES, told.kind());
            ofKnownList.clear();
            Map<String, Saying> sayings = sayings(list);
            Set<String> due = new HashSet<>();
            Map<String, Core.Listed> before = core;
            sayings.forEach((name, saying) -> {
                names.add(name);
                if (saying == Saying.ACTIVE) {
                    if (mustBeActive(name, list)) {
                        due.add(name);
                    }
                    open.getOrDefault(name, new ArrayList<>())
                            .removeIf(d -> d.isAnsweredBy(list.agent(), list.index(), now));
                } else {
                    departed(name, departure(list, now, saying == Saying.CONTRADICTORY));
                }
            });
            if (isComplete) {
                names.stream()
                        .filter(name -> !sayings.containsKey(name))
                        .forEach(name -> departed(name, departure(list, now, isNamed(name, list))));
            } else {
                addressesPassed(list, sayings);
            }
            sayings.forEach((name, saying) -> {
                if (saying != Saying.DEPARTED) {
                    named.add(place(name, list));
                }
            });
            core = applied(isComplete ? new TreeMap<>() : new TreeMap<>(core), told);
            checkDeparted(list);
            due.forEach(name -> assertEquals(Presence.ACTIVE, presence(name), () -> name + " after " + list));
            checkAddresses(before, list, now);
            if (list.index() != EndpointMembership.NO_INDEX) {
                lastIndex.put(list.agent(), list.index());
                highestIndex.merge(list.agent(), list.index(), Math::max);
            }
        }

        private static String place(String name, ListUpdate list) {
            return name + ' ' + list.agent() + ' ' + list.index();
        }

        private boolean isNamed(String name, ListUpdate list) {
            return list.index() == EndpointMembership.NO_INDEX
                    || named.contains(place(name, list))
                    || named.contains(name + " known " + list.index());
        }

        /** One without an index is as late as the last of its agent, for all that is known. */
        private Heard departure(ListUpdate list, long now, boolean isDisputed) {
            long index = list.index() == EndpointMembership.NO_INDEX
                    ? lastIndex.getOrDefault(list.agent(), EndpointMembership.NO_INDEX)
                    : list.index();
            return new Heard(list.agent(), index, now, isDisputed, list.index() != EndpointMembership.NO_INDEX);
        }

        private static Map<String, Saying> sayings(ListUpdate list) {
            Map<String, Saying> sayings = new TreeMap<>();
            Map<String, Core.Listed> first = new HashMap<>();
            for (Core.Listed x : list.entries()) {
                String name = x.entry().host();
                Saying saying = x.entry().presence() == Presence.ACTIVE ? Saying.ACTIVE : Saying.DEPARTED;
                Core.Listed other = first.putIfAbsent(name, x);
                boolean isSame = other == null
                        || other.entry().presence() == x.entry().presence()
                                && other.endpoint().equals(x.endpoint());
                sayings.put(name, isSame ? saying : Saying.CONTRADICTORY);
            }
            list.unusable().forEach(name -> sayings.put(name, Saying.CONTRADICTORY));
            return sayings;
        }

        /** True if no departure was ever heard, or the same agent's alone, of lower indexes. */
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

        /** An address that changes give to another name: the one that had it may count as departed. */
        private void addressesPassed(ListUpdate list, Map<String, Saying> sayings) {
            for (Core.Listed x : list.entries()) {
                core.values().stream()
                        .filter(other ->
                                other.endpoint().address().equals(x.endpoint().address()))
                        .map(other -> other.entry().host())
                        .filter(other -> !sayings.containsKey(other))
                        .forEach(replaced::add);
            }
        }

        private static Map<String, Core.Listed> applied(Map<String, Core.Listed> to, Change told) {
            told.entries().forEach(x -> to.put(x.entry().host(), x));
            return to;
        }

        private Presence presence(String name) {
            return core.containsKey(name) ? core.get(name).entry().presence() : Presence.LEFT;
        }

        private void checkDeparted(Object after) {
            core.keySet()
                    .forEach(name -> assertTrue(
                            presence(name) != Presence.ACTIVE
                                    || open.getOrDefault(name, List.of()).isEmpty(),
                            () -> name + " is active after " + after + ", departed with " + open.get(name)));
        }

        /** No list replaces an address that a later one of the agent that told it last has told within a minute. */
        private void checkAddresses(Map<String, Core.Listed> before, ListUpdate list, long now) {
            for (Core.Listed x : core.values()) {
                String name = x.entry().host();
                String address = x.endpoint().address();
                if (x.entry().presence() != Presence.ACTIVE) {
                    addresses.remove(name);
                    continue;
                }
                Core.Listed earlier = before.get(name);
                boolean hasMoved = earlier != null
                        && earlier.entry().presence() == Presence.ACTIVE
                        && !earlier.endpoint().address().equals(address);
                if (hasMoved) {
                    addresses
                            .getOrDefault(name, Map.of())
                            .getOrDefault(earlier.endpoint().address(), List.of())
                            .forEach(told -> assertTrue(
                                    now - told.at() >= KEPT
                                            || !told.agent().equals(list.agent())
                                            || list.index() > told.index(),
                                    () -> name + " is at " + address + " after " + list + ", against " + told));
                }
                list.entries().stream()
                        .filter(e -> list.index() != EndpointMembership.NO_INDEX
                                && e.entry().host().equals(name)
                                && e.endpoint().address().equals(address))
                        .forEach(e -> addressTold(name, address, list, now));
            }
            addresses.keySet().retainAll(core.keySet());
        }

        private void addressTold(String name, String address, ListUpdate list, long now) {
            List<Heard> told = addresses
                    .computeIfAbsent(name, n -> new HashMap<>())
                    .computeIfAbsent(address, a -> new ArrayList<>());
            told.removeIf(heard -> !heard.agent().equals(list.agent()));
            boolean isOvertaken =
                    told.stream().anyMatch(heard -> heard.index() > list.index() && now - heard.at() < KEPT);
            if (!isOvertaken) { // such a list confirms nothing
                told.add(new Heard(list.agent(), list.index(), now, false, true));
            }
        }

        void checkExact(Map<String, Core.Listed> truth) {
            Map<String, String> expected = new TreeMap<>(), told = new TreeMap<>();
            truth.values().stream()
                    .filter(x -> x.entry().presence() == Presence.ACTIVE)
                    .forEach(x -> expected.put(x.entry().host(), x.endpoint().address()));
            core.values().stream()
                    .filter(x -> x.entry().presence() == Presence.ACTIVE)
                    .forEach(x -> told.put(x.entry().host(), x.endpoint().address()));
            assertEquals(expected, told, "active endpoints once all is quiet");
        }
    }

    /** One schedule: a forwarder, its agents and all that goes wrong. */
    private static final class Schedule {
        private final SplittableRandom random;
        private final Truth truth;
        private final List<Agent> agents;
        private final boolean hasMoves, hasRestarts;
        private final Auditor auditor = new Auditor();
        /** Answers under way, and the step at which each arrives. */
        private final Map<ListUpdate, Integer> late = new LinkedHashMap<>();

        private final Map<String, Long> followed = new HashMap<>();
        private List<Departure> stored = List.of();
        private EndpointMembership membership;
        private Agent current;
        private int step;
        private long now = SECOND;
        /** What the wall clock and the loop's clock are ahead of the time that passes. */
        private long wallOffset = 1_700_000_000 * SECOND, loopOffset;

        Schedule(long seed) {
            random = new SplittableRandom(seed);
            truth = new Truth(random);
            hasMoves = random.nextBoolean();
            hasRestarts = random.nextBoolean();
            agents = List.of(
                    new Agent("10.0.0.1:8500", truth, random.nextInt(50)),
                    new Agent("10.0.0.2:8500", truth, random.nextInt(50)));
            current = agents.get(0);
        }

        void play() {
            startProcess();
            for (step = 0; step < STEPS; step++) {
                now += random.nextInt(30) == 0 ? random.nextLong(65 * SECOND) : random.nextLong(2 * SECOND);
                disturb();
                ask();
                deliverLate();
            }
            endInQuiet();
        }

        private void disturb() {
            if (random.nextInt(2) == 0) {
                truth.change();
            }
            agents.forEach(agent -> agent.learn(random.nextInt(3)));
            if (random.nextInt(25) == 0) {
                agents.get(random.nextInt(2)).restart(random);
            }
            if (hasMoves && random.nextInt(12) == 0) {
                current = agents.get(random.nextInt(2));
            }
            if (hasRestarts && random.nextInt(20) == 0) {
                startProcess();
            }
        }

        /** With a list that may be out of date, and clocks that were set in between. */
        private void startProcess() {
            wallOffset += random.nextInt(3) == 0 ? random.nextLong(-3_600 * SECOND, 3_600 * SECOND) : 0;
            loopOffset = random.nextLong(100 * SECOND);
            late.clear();
            int version = Math.max((int) Math.max(0, -current.offset), current.seen - random.nextInt(8));
            long index = current.index() - current.seen + version;
            List<Core.Listed> known = List.copyOf(truth.versions.get(version).values());
            membership = new EndpointMembership(stored, departures -> stored = List.copyOf(departures));
            auditor.began(index, known, membership.remembered(index, known), now);
            followed.clear();
            followed.put(current.address, index);
        }

        private void ask() {
            Long after = followed.get(current.address);
            boolean isWhole = after == null || random.nextInt(4) == 0;
            ListUpdate answer = spoilt(isWhole ? current.whole() : current.changes(after));
            if (random.nextInt(4) == 0) {
                late.put(answer, step + 1 + random.nextInt(4));
            } else {
                deliver(answer);
            }
        }

        private ListUpdate spoilt(ListUpdate list) {
            List<Core.Listed> entries = new ArrayList<>(list.entries());
            Set<String> unusable = new HashSet<>();
            boolean isCut = random.nextInt(12) == 0;
            long index = random.nextInt(25) == 0 ? EndpointMembership.NO_INDEX : list.index();
            if (!entries.isEmpty() && random.nextInt(10) == 0) {
                unusable.add(
                        entries.remove(random.nextInt(entries.size())).entry().host());
            }
            if (!entries.isEmpty() && random.nextInt(10) == 0) {
                Core.Listed twice = entries.get(random.nextInt(entries.size()));
                Presence presence = Presence.values()[random.nextInt(3)];
                String address = twice.endpoint().address() + (random.nextInt(3) == 0 ? "0" : "");
                entries.add(random.nextInt(entries.size()), listed(twice.entry().host(), presence, address));
            }
            if (isCut) {
                entries = entries.subList(0, random.nextInt(entries.size() + 1));
            }
            return new ListUpdate(list.agent(), index, list.isWhole(), isCut, List.copyOf(entries), unusable);
        }

        private void deliverLate() {
            List<ListUpdate> due = late.keySet().stream()
                    .filter(list -> late.get(list) <= step)
                    .toList();
            due.forEach(list -> {
                late.remove(list);
                deliver(list);
            });
        }

        private void deliver(ListUpdate list) {
            long loop = now + loopOffset;
            auditor.heard(list, membership.update(list, loop, now + wallOffset), now);
            if (list.index() != EndpointMembership.NO_INDEX) {
                followed.put(list.agent(), list.index());
            }
        }

        /** A sound whole list that is later than all before brings what is true, at the latest after a minute. */
        private void endInQuiet() {
            deliver(soundList());
            if (!hasMoves) {
                auditor.checkExact(truth.versions.get(truth.latest()));
            }
            now += KEPT;
            deliver(soundList());
            auditor.checkExact(truth.versions.get(truth.latest()));
            assertTrue(!membership.needsWholeList(now + loopOffset), "nothing is in doubt");
            assertTrue(!membership.contradictsKnown());
        }

        private ListUpdate soundList() {
            current.seen = truth.latest();
            current.offset = Math.max(current.offset, current.highest + 1 - current.seen);
            return current.whole();
        }
    }
}
