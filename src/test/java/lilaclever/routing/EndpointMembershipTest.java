package lilaclever.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import lilaclever.DecisionModule;
import lilaclever.DecisionModule.ListingKind;
import lilaclever.DecisionModule.Presence;
import lilaclever.routing.EndpointMembership.CoreUpdate;
import lilaclever.routing.EndpointMembership.Departure;
import lilaclever.routing.EndpointMembership.ListUpdate;
import org.junit.jupiter.api.Test;

/** Which statements of endpoint lists are trusted, rule by rule. */
class EndpointMembershipTest {
    private static final String AGENT = "10.0.0.1:8500", OTHER_AGENT = "10.0.0.2:8500";
    private static final long SECOND_MICROS = 1_000_000,
            RETENTION_MICROS = 60 * SECOND_MICROS,
            WALL_START_MICROS = 1_700_000_000 * SECOND_MICROS;
    private static final int DESTINATION = 3;

    private final Store store = new Store();
    private EndpointMembership membership = new EndpointMembership(List.of(), store);
    /** The core's endpoints after all updates. */
    private Map<String, Core.ListedEndpoint> core = new TreeMap<>();

    private long nowMicros = 5 * SECOND_MICROS;
    private long wallMicros = WALL_START_MICROS;

    /** Stores departures in memory, or fails. */
    private static final class Store implements EndpointMembership.DepartureStore {
        private List<Departure> stored = List.of();
        private boolean isFailing;
        private int calls;

        @Override
        public void save(List<Departure> departures) throws IOException {
            calls++;
            if (isFailing) {
                throw new IOException("No space left on device");
            }
            stored = List.copyOf(departures);
        }

        private Set<String> names() {
            return stored.stream().map(Departure::name).collect(Collectors.toCollection(TreeSet::new));
        }
    }

    private static Core.ListedEndpoint listed(String name, Presence presence, String address, int destination) {
        return new Core.ListedEndpoint(
                new DecisionModule.EndpointEntry(name, destination, 0, 0, presence, 1, 0),
                new Call.Endpoint(name, address, destination, 0, 1, false, null));
    }

    private static Core.ListedEndpoint listed(String name, Presence presence) {
        return listed(name, presence, "10.1.0.1:" + name, DESTINATION);
    }

    private static Core.ListedEndpoint active(String name) {
        return listed(name, Presence.ACTIVE);
    }

    private static Core.ListedEndpoint leaving(String name) {
        return listed(name, Presence.LEAVING);
    }

    private static Core.ListedEndpoint left(String name) {
        return listed(name, Presence.LEFT);
    }

    private CoreUpdate whole(String agent, long index, Core.ListedEndpoint... entries) {
        return update(new ListUpdate(agent, index, true, false, List.of(entries), Set.of()));
    }

    private CoreUpdate whole(long index, Core.ListedEndpoint... entries) {
        return whole(AGENT, index, entries);
    }

    private CoreUpdate changes(String agent, long index, Core.ListedEndpoint... entries) {
        return update(new ListUpdate(agent, index, false, false, List.of(entries), Set.of()));
    }

    private CoreUpdate changes(long index, Core.ListedEndpoint... entries) {
        return changes(AGENT, index, entries);
    }

    private CoreUpdate unusable(String agent, long index, String name) {
        return update(new ListUpdate(agent, index, false, false, List.of(), Set.of(name)));
    }

    private CoreUpdate unusable(long index, boolean isWhole, String name, Core.ListedEndpoint... entries) {
        return update(new ListUpdate(AGENT, index, isWhole, false, List.of(entries), Set.of(name)));
    }

    private CoreUpdate update(ListUpdate update) {
        return applyToCore(membership.update(update, nowMicros, wallMicros));
    }

    /** Applies an update as the core does. */
    private CoreUpdate applyToCore(CoreUpdate change) {
        if (change.kind() != ListingKind.CHANGES) {
            core.clear();
        }
        for (Core.ListedEndpoint listed : change.entries()) {
            core.put(listed.entry().host(), listed);
        }
        return change;
    }

    private void advance(long micros) {
        nowMicros += micros;
        wallMicros += micros;
    }

    /** Simulates a restart of the process, with a new origin of the event loop's clock. */
    private void restart(long version, Core.ListedEndpoint... known) {
        membership = new EndpointMembership(store.stored, store);
        nowMicros = SECOND_MICROS;
        core.clear();
        applyToCore(membership.applyInitialList(version, List.of(known)));
    }

    private void assertActive(String... names) {
        assertEquals(
                new TreeSet<>(Arrays.asList(names)),
                core.values().stream()
                        .filter(x -> x.entry().presence() == Presence.ACTIVE)
                        .map(x -> x.entry().host())
                        .collect(Collectors.toCollection(TreeSet::new)));
    }

    private Presence presence(String name) {
        return core.get(name).entry().presence();
    }

    private static String logged(Runnable run) {
        PrintStream before = System.err;
        ByteArrayOutputStream written = new ByteArrayOutputStream();
        System.setErr(new PrintStream(written, true, StandardCharsets.UTF_8));
        try {
            run.run();
        } finally {
            System.setErr(before);
        }
        return written.toString(StandardCharsets.UTF_8);
    }

    // Departures are accepted from any list

    @Test
    void departuresCountAtOnceWhateverTheIndexTheAgentAndTheOrder() {
        whole(50, active("a"), active("b"), active("c"), active("d"), active("e"));
        changes(51, leaving("a"));
        assertActive("b", "c", "d", "e");
        changes(40, left("b"));
        assertActive("c", "d", "e");
        changes(OTHER_AGENT, 3, leaving("c"));
        assertActive("d", "e");
        changes(EndpointMembership.NO_INDEX, leaving("d"));
        assertActive("e");
        assertEquals(Set.of("a", "b", "c", "d"), store.names());
        assertEquals(4, membership.departureCount());
    }

    @Test
    void anAbsenceFromAWholeListCountsWhateverItsIndex() {
        whole(50, active("a"), active("b"), active("c"), active("d"));
        assertEquals(
                ListingKind.ALL,
                whole(45, active("b"), active("c"), active("d")).kind());
        assertActive("b", "c", "d");
        whole(OTHER_AGENT, 2, active("c"), active("d"));
        assertActive("c", "d");
        whole(EndpointMembership.NO_INDEX, active("d"));
        assertActive("d");
        assertEquals(Set.of("a", "b", "c"), store.names());
    }

    @Test
    void truncatedListLeavesEndpointsItDoesNotNameUnchanged() {
        whole(50, active("a"), active("b"));
        CoreUpdate cut = update(new ListUpdate(AGENT, 51, true, true, List.of(leaving("a")), Set.of()));
        assertEquals(ListingKind.CHANGES, cut.kind());
        assertActive("b");
        assertTrue(membership.needsWholeList(nowMicros));
    }

    @Test
    void unusableEntryDeactivatesTheEndpoint() {
        whole(50, active("a"), active("b"));
        CoreUpdate change = unusable(51, false, "a");
        assertEquals(
                List.of("a"),
                change.entries().stream().map(x -> x.entry().host()).toList());
        assertEquals(Presence.LEAVING, presence("a"));
        assertActive("b");
        assertTrue(membership.needsWholeList(nowMicros));
        unusable(52, true, "b");
        assertEquals(Presence.LEAVING, presence("b"), "not absent: the list names it");
        assertActive();
    }

    @Test
    void unusableEntryAddsNoEndpoint() {
        whole(50, active("a"));
        assertEquals(List.of(), unusable(51, false, "b").entries());
        assertActive("a");
        changes(50, active("b"));
        assertActive("a");
        whole(51, active("a"), active("b"));
        assertActive("a", "b");
    }

    @Test
    void unusableEntryBesideAUsableOneDeactivatesTheEndpoint() {
        whole(50, active("a"), active("b"));
        unusable(51, false, "a", active("a"));
        assertActive("b");
        unusable(51, false, "b", left("b"));
        assertEquals(Presence.LEFT, presence("b"));
    }

    // Reactivation

    @Test
    void outdatedListReactivatesNoEndpoint() {
        whole(50, active("a"), active("b"));
        changes(51, leaving("a"));
        changes(52, left("a"));
        changes(50, active("a"));
        assertActive("b");
        whole(50, active("a"), active("b"));
        assertActive("b");
        assertEquals(Presence.LEAVING, presence("a"));
        changes(52, active("a"));
        assertActive("b");
        changes(53, active("a"));
        assertActive("a", "b");
        assertEquals(Set.of(), store.names());
    }

    @Test
    void absenceOverridesEarlierListsToo() {
        whole(40, active("a"), active("b"));
        changes(41, left("a"));
        whole(50, active("b"));
        changes(45, active("a"));
        assertActive("b");
        changes(51, active("a"));
        assertActive("a", "b");
    }

    @Test
    void repeatedDepartureOverridesEarlierListsToo() {
        whole(40, active("a"));
        changes(41, leaving("a"));
        changes(50, leaving("a"));
        changes(45, active("a"));
        assertActive();
        changes(45, leaving("a"));
        changes(50, active("a"));
        assertActive();
    }

    @Test
    void restartedIndexesAreAcceptedAfterAMinute() {
        whole(50, active("a"), active("b"));
        changes(51, leaving("a"));
        whole(2, active("a"), active("b"));
        assertActive("b");
        advance(RETENTION_MICROS - 1);
        assertFalse(membership.needsWholeList(nowMicros));
        whole(3, active("a"), active("b"));
        assertActive("b");
        advance(1);
        assertTrue(membership.needsWholeList(nowMicros), "changes would not list it again");
        whole(3, active("a"), active("b"));
        assertActive("a", "b");
        assertFalse(membership.needsWholeList(nowMicros));
    }

    @Test
    void departureAfterIndexesRestartedOverridesOlderLists() {
        whole(50, active("a"));
        changes(51, left("a"));
        advance(RETENTION_MICROS - SECOND_MICROS);
        changes(5, leaving("a"));
        advance(SECOND_MICROS);
        changes(4, active("a"));
        assertActive();
        changes(6, active("a"));
        assertActive("a");
    }

    @Test
    void anotherAgentReactivatesNoEndpointForAMinute() {
        whole(50, active("a"), active("b"));
        changes(51, leaving("a"));
        whole(OTHER_AGENT, 48, active("a"), active("b"));
        assertActive("b");
        changes(OTHER_AGENT, 90, active("a"));
        assertActive("b");
        advance(RETENTION_MICROS);
        whole(OTHER_AGENT, 90, active("a"), active("b"));
        assertActive("a", "b");
    }

    @Test
    void theDeparturesOfSeveralAgentsAllCount() {
        whole(50, active("a"));
        changes(51, leaving("a"));
        changes(OTHER_AGENT, 7, leaving("a"));
        changes(OTHER_AGENT, 8, active("a"));
        assertActive();
        changes(52, active("a"));
        assertActive();
        advance(RETENTION_MICROS);
        changes(OTHER_AGENT, 6, left("a"));
        changes(OTHER_AGENT, 8, active("a"));
        assertActive("a");
    }

    @Test
    void positionsOfOneAgentAreBounded() {
        whole(100, active("a"));
        for (int index = 99; index > 50; index--) {
            changes(index, leaving("a"));
        }
        assertTrue(store.stored.size() <= 4, "positions: " + store.stored.size());
        changes(99, active("a"));
        assertActive();
        changes(100, active("a"));
        assertActive("a");
    }

    @Test
    void positionsOfManyAgentsAreBounded() {
        whole(100, active("a"));
        for (int agent = 0; agent < 50; agent++) {
            changes("10.0.1." + agent, 7, leaving("a"));
        }
        assertTrue(store.stored.size() <= 4, "positions: " + store.stored.size());
        changes("10.0.1.49", 8, active("a"));
        assertActive();
        advance(RETENTION_MICROS);
        changes("10.0.1.3", 2, active("a"));
        assertActive("a");
    }

    @Test
    void contradictionOfOneAgentDoesNotAffectAnother() {
        whole(48, active("a"));
        changes(49, left("a"));
        unusable(OTHER_AGENT, 7, "a");
        whole(50);
        advance(RETENTION_MICROS - 1);
        changes(OTHER_AGENT, 7, active("a"));
        changes(50, active("a"));
        assertActive();
        changes(51, leaving("a"));
        advance(1);
        changes(52, active("a"));
        assertActive("a");
    }

    @Test
    void listWithoutAnIndexReactivatesNoEndpoint() {
        whole(50, active("a"), active("b"));
        changes(51, leaving("a"));
        changes(53);
        changes(EndpointMembership.NO_INDEX, active("a"));
        assertActive("b");
        changes(EndpointMembership.NO_INDEX, leaving("b"));
        changes(53, active("b"));
        assertActive();
        changes(54, active("a"), active("b"));
        assertActive("a", "b");
    }

    @Test
    void absenceFromAListWithoutIndexIsUndoneByTheNextValidList() {
        whole(48, active("a"), active("b"));
        changes(50);
        whole(EndpointMembership.NO_INDEX, active("b"));
        assertActive("b");
        assertTrue(membership.needsWholeList(nowMicros));
        whole(50, active("a"), active("b"));
        assertActive("a", "b");
    }

    // Endpoints that have not departed

    @Test
    void endpointThatNeverDepartedIsActiveWhateverTheIndex() {
        whole(50, active("a"));
        changes(45, active("a"), active("b"));
        changes(OTHER_AGENT, 1, active("c"));
        changes(EndpointMembership.NO_INDEX, active("d"));
        assertActive("a", "b", "c", "d");
    }

    @Test
    void endpointAbsentFromAnOutdatedListReturnsWithTheNext() {
        whole(50, active("a"), active("b"));
        whole(45, active("a"));
        assertActive("a");
        changes(46, active("b"));
        assertActive("a", "b");
    }

    @Test
    void changesOfAnOlderListRequireTheWholeList() {
        whole(50, active("a"));
        assertFalse(membership.needsWholeList(nowMicros));
        changes(45, active("b"));
        assertTrue(membership.needsWholeList(nowMicros));
        whole(50, active("a"), active("b"));
        assertFalse(membership.needsWholeList(nowMicros));
    }

    @Test
    void contradictoryWholeListIsUndoneByTheNextOfTheSameIndex() {
        whole(50, active("a"), active("b"));
        whole(50, active("a"));
        assertActive("a");
        assertTrue(membership.needsWholeList(nowMicros));
        whole(50, active("a"));
        whole(50, active("a"), active("b"));
        assertActive("a", "b");
    }

    @Test
    void validAbsenceOverridesListsOfTheSameIndex() {
        whole(49, active("a"), active("b"));
        whole(50, active("a"));
        changes(50, active("b"));
        assertActive("a");
        changes(51, active("b"));
        assertActive("a", "b");
    }

    // Duplicate entries

    @Test
    void mostCautiousOfTwoEntriesCounts() {
        whole(50, active("a"), active("b"), active("c"));
        changes(51, active("a"), leaving("a"), left("b"), active("b"), leaving("c"), left("c"), active("c"));
        assertActive();
        assertEquals(Presence.LEAVING, presence("a"));
        assertEquals(Presence.LEFT, presence("b"));
        assertEquals(Presence.LEFT, presence("c"));
        assertTrue(membership.needsWholeList(nowMicros));
        whole(51, active("a"), active("b"), active("c"));
        assertActive("a", "b", "c");
        assertFalse(membership.needsWholeList(nowMicros));
    }

    @Test
    void twoAddressesOrDestinationsDeactivateTheEndpoint() {
        whole(50, active("a"), active("b"), active("c"));
        changes(51, active("a"), listed("a", Presence.ACTIVE, "10.9.9.9:1", DESTINATION));
        changes(51, active("b"), listed("b", Presence.ACTIVE, "10.1.0.1:b", DESTINATION + 1));
        assertActive("c");
        whole(51, active("a"), active("b"), active("c"));
        assertActive("a", "b", "c");
    }

    @Test
    void repeatedIdenticalEntryCountsOnce() {
        CoreUpdate change = whole(50, active("a"), active("a"));
        assertEquals(1, change.entries().size());
        assertActive("a");
        assertFalse(membership.needsWholeList(nowMicros));
    }

    @Test
    void duplicateEntriesAreLoggedInOneLine() {
        Core.ListedEndpoint[] twice =
                IntStream.range(0, 200).mapToObj(i -> active("s" + i % 100)).toArray(Core.ListedEndpoint[]::new);
        String log = logged(() -> whole(50, twice));
        assertEquals(1, log.lines().count(), log);
        assertTrue(log.contains("s0, s1, s2, s3, s4 and 95 others"), log);
    }

    @Test
    void listThatStaysContradictoryIsRequestedAgainOnlyOnce() {
        unusable(50, true, "a", active("b"));
        assertTrue(membership.needsWholeList(nowMicros));
        unusable(50, true, "a", active("b"));
        assertFalse(membership.needsWholeList(nowMicros));
        unusable(51, true, "a", active("b"));
        assertTrue(membership.needsWholeList(nowMicros));
    }

    // Addresses and destinations

    @Test
    void newerAddressOrDestinationIsAccepted() {
        whole(50, active("a"), active("b"));
        changes(
                51,
                listed("a", Presence.ACTIVE, "10.9.9.9:1", DESTINATION),
                listed("b", Presence.ACTIVE, "10.1.0.1:b", 8));
        assertEquals("10.9.9.9:1", core.get("a").endpoint().address());
        assertEquals(8, core.get("b").entry().destination());
        assertActive("a", "b");
    }

    @Test
    void outdatedListDoesNotRestoreAnAddress() {
        whole(50, active("a"));
        Core.ListedEndpoint moved = listed("a", Presence.ACTIVE, "10.9.9.9:1", DESTINATION + 1);
        changes(51, moved);
        whole(50, active("a"));
        assertSame(moved, core.get("a"));
        changes(51, active("a"));
        assertSame(moved, core.get("a"));
        whole(OTHER_AGENT, 99, active("a"));
        assertSame(moved, core.get("a"));
        changes(EndpointMembership.NO_INDEX, active("a"));
        assertSame(moved, core.get("a"));
        changes(52, active("a"));
        assertEquals("10.1.0.1:a", core.get("a").endpoint().address());
    }

    @Test
    void confirmedAddressOverridesEarlierLists() {
        Core.ListedEndpoint moved = listed("a", Presence.ACTIVE, "10.9.9.9:1", DESTINATION);
        whole(50, moved);
        whole(55, moved);
        whole(52, moved);
        changes(53, active("a"));
        assertEquals("10.9.9.9:1", core.get("a").endpoint().address());
    }

    @Test
    void addressFromAnotherAgentIsAcceptedAfterAMinute() {
        whole(50, active("a"));
        Core.ListedEndpoint moved = listed("a", Presence.ACTIVE, "10.9.9.9:1", DESTINATION);
        whole(OTHER_AGENT, 4, moved);
        assertEquals("10.1.0.1:a", core.get("a").endpoint().address());
        assertFalse(membership.needsWholeList(nowMicros));
        advance(RETENTION_MICROS);
        assertTrue(membership.needsWholeList(nowMicros));
        whole(OTHER_AGENT, 4, moved);
        assertSame(moved, core.get("a"));
    }

    @Test
    void addressTakenOverByAnotherNameRemovesTheFirst() {
        whole(50, active("a"), active("b"));
        changes(51, listed("c", Presence.ACTIVE, "10.1.0.1:a", DESTINATION));
        assertActive("b", "c");
        assertTrue(membership.needsWholeList(nowMicros));
        whole(
                52,
                listed("d", Presence.ACTIVE, "10.1.0.1:b", DESTINATION),
                listed("c", Presence.ACTIVE, "10.1.0.1:a", DESTINATION));
        assertActive("c", "d");
        assertEquals(Set.of("a", "b"), store.names());
    }

    @Test
    void outdatedListDoesNotTakeAnAddressFromAnotherName() {
        whole(50, active("a"));
        changes(45, listed("c", Presence.ACTIVE, "10.1.0.1:a", DESTINATION));
        assertActive("a", "c");
        assertTrue(membership.needsWholeList(nowMicros));
    }

    @Test
    void namesSharingAnAddressInOneListStayActive() {
        Core.ListedEndpoint shared = listed("c", Presence.ACTIVE, "10.1.0.1:a", DESTINATION);
        whole(50, active("a"), shared);
        changes(51, shared);
        changes(52, active("a"));
        assertActive("a", "c");
        changes(53, listed("e", Presence.ACTIVE, "10.1.0.1:a", DESTINATION), active("a"), shared);
        assertActive("a", "c", "e");
    }

    @Test
    void reusedAddressDoesNotAffectItsFormerName() {
        whole(50, active("a"), active("b"));
        changes(51, listed("a", Presence.ACTIVE, "10.9.9.9:1", DESTINATION));
        changes(52, left("b"));
        changes(
                53,
                listed("c", Presence.ACTIVE, "10.1.0.1:a", DESTINATION),
                listed("d", Presence.ACTIVE, "10.1.0.1:b", DESTINATION));
        assertActive("a", "c", "d");
    }

    // Updates and log lines

    @Test
    void updateHasKindAndVersionOfTheList() {
        CoreUpdate all = whole(50, active("a"));
        assertEquals(ListingKind.ALL, all.kind());
        assertEquals(50, all.version());
        CoreUpdate none = changes(51);
        assertEquals(ListingKind.CHANGES, none.kind());
        assertEquals(51, none.version());
        assertEquals(List.of(), none.entries());
        assertEquals(51, changes(EndpointMembership.NO_INDEX, active("b")).version());
    }

    @Test
    void acceptedEntryIsPassedOnWithoutCopying() {
        Core.ListedEndpoint a = active("a");
        assertSame(a, whole(50, a).entries().get(0));
    }

    @Test
    void withheldEndpointsAreLoggedInOneLine() {
        Core.ListedEndpoint[] leaving =
                IntStream.range(0, 100).mapToObj(i -> leaving("s" + i)).toArray(Core.ListedEndpoint[]::new);
        Core.ListedEndpoint[] active =
                IntStream.range(0, 100).mapToObj(i -> active("s" + i)).toArray(Core.ListedEndpoint[]::new);
        whole(50, leaving);
        String log = logged(() -> whole(45, active));
        assertEquals(1, log.lines().count(), log);
        assertTrue(log.contains("list 45 of " + AGENT) && log.contains("and 95 others"), log);
        assertEquals("", logged(() -> whole(46, active)), "each is logged once");
    }

    // Restarts

    @Test
    void staleInitialListReactivatesNoEndpointAfterARestart() {
        whole(50, active("a"), active("b"));
        changes(51, leaving("a"));
        assertEquals(List.of(new Departure("a", AGENT, 51, WALL_START_MICROS)), store.stored);
        restart(50, active("a"), active("b"));
        assertActive("b");
        assertEquals(Presence.LEAVING, presence("a"));
        assertTrue(membership.contradictsInitialList());
        assertTrue(membership.needsWholeList(nowMicros));
        changes(51);
        assertTrue(membership.contradictsInitialList());
        whole(51, leaving("a"), active("b"));
        assertFalse(membership.contradictsInitialList());
        assertActive("b");
        changes(52, active("a"));
        assertActive("a", "b");
        assertEquals(List.of(), store.stored);
        restart(50, active("a"), active("b"));
        assertActive("a", "b");
        assertFalse(membership.contradictsInitialList());
    }

    @Test
    void departureOverridesTheInitialListWhateverItsAgeAndIndex() {
        store.stored = List.of(new Departure("a", AGENT, 51, 0));
        restart(99, active("a"), active("b"));
        assertActive("b");
    }

    @Test
    void departureCountsForAMinuteAfterARestartWhateverTheWallClock() {
        for (long stepMicros : new long[] {-3_600 * SECOND_MICROS, 0, 3_600 * SECOND_MICROS}) {
            store.stored = List.of(new Departure("a", AGENT, 51, WALL_START_MICROS));
            wallMicros = WALL_START_MICROS + stepMicros;
            restart(50, active("a"));
            whole(OTHER_AGENT, 50, active("a"));
            assertActive();
            advance(RETENTION_MICROS - 1);
            whole(OTHER_AGENT, 50, active("a"));
            assertActive();
            advance(1);
            whole(OTHER_AGENT, 50, active("a"));
            assertActive("a");
        }
    }

    @Test
    void endpointLeavingInTheInitialListReturnsWithALaterListOfAnyAgent() {
        restart(50, leaving("a"), active("b"));
        assertActive("b");
        changes(50, active("a"));
        assertActive("b");
        changes(OTHER_AGENT, 51, active("a"));
        assertActive("a", "b");
    }

    @Test
    void endpointOfTheInitialListAbsentFromTheWholeListIsRemoved() {
        restart(50, active("a"), active("b"));
        whole(60, active("b"));
        assertActive("b");
        assertEquals(Set.of("a"), store.names());
    }

    @Test
    void unchangedDeparturesAreNotStored() {
        whole(50, active("a"), active("b"));
        assertEquals(0, store.calls);
        changes(51, leaving("a"));
        assertEquals(1, store.calls);
        advance(SECOND_MICROS);
        changes(51, leaving("a"));
        changes(52);
        changes(50, active("a"));
        changes(53, active("b"));
        assertEquals(1, store.calls);
        whole(53, leaving("a"), active("b"));
        assertEquals(2, store.calls, "the departure has another index");
        whole(53, leaving("a"), active("b"));
        assertEquals(2, store.calls);
    }

    @Test
    void storeFailureIsLoggedOnceAndRetried() {
        whole(50, active("a"), active("b"), active("c"));
        store.isFailing = true;
        String log = logged(() -> changes(51, leaving("a")));
        assertTrue(log.contains("No space left on device"), log);
        assertActive("b", "c");
        assertEquals("", logged(() -> changes(52, leaving("b"))));
        assertActive("c");
        assertEquals(2, membership.departureCount());
        changes(51, active("a"));
        assertActive("c");
        store.isFailing = false;
        changes(52);
        assertEquals(Set.of("a", "b"), store.names());
        changes(53, leaving("c"));
        assertEquals(Set.of("a", "b", "c"), store.names());
        store.isFailing = true;
        assertFalse(logged(() -> changes(54, active("c"))).isEmpty(), "it had succeeded in between");
    }

    @Test
    void departuresAreBoundedAndTheOldestAreEvicted() {
        int maxDepartures = 4_096;
        for (int i = 0; i < maxDepartures + 3; i++) {
            changes(i, left("s" + i));
        }
        assertEquals(maxDepartures, membership.departureCount());
        assertEquals(maxDepartures, store.stored.size());
        assertEquals("s3", store.stored.get(0).name());
        assertEquals(
                "s" + (maxDepartures + 2), store.stored.get(maxDepartures - 1).name());
    }

    // Many endpoints

    @Test
    void aChangeInALargeListTouchesNoOtherEndpoint() {
        int endpointCount = 3_200;
        Core.ListedEndpoint[] all =
                IntStream.range(0, endpointCount).mapToObj(i -> active("s" + i)).toArray(Core.ListedEndpoint[]::new);
        whole(1, all);
        Map<String, Core.ListedEndpoint> before = new HashMap<>(core);
        List<Core.ListedEndpoint> updates = new ArrayList<>();
        for (int i = 0; i < 100; i++) {
            updates.addAll(changes(2 + i, leaving("s" + i)).entries());
        }
        assertEquals(100, updates.size());
        for (int i = 100; i < endpointCount; i++) {
            assertSame(before.get("s" + i), core.get("s" + i));
        }
    }
}
