package lilaclever.routing;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import lilaclever.DecisionModule.ListingKind;
import lilaclever.DecisionModule.Presence;
import lilaclever.log.Logs;

/**
 * What is believed of the lists of endpoints, whichever order and shape they come in. No I/O of its own. Loop thread.
 *
 * <p>A departure is believed at once, whatever list it is in: an entry that is leaving or has left, an absence from a
 * whole list, an entry that can't be used, entries that contradict each other. What has departed is active again only
 * where a list says so that is later than every departure heard: of the same agent, with a higher index. The index of
 * the list with the departure is not enough. Two kinds of departures count as one index lower, so that the next sound
 * list of the same index can bring the endpoint back: entries that contradict each other or can't be used, and an
 * absence where the same agent has called the endpoint active at that index. After {@link ListPosition#RETENTION_MICROS} any list
 * counts: discovery may have begun to count anew. An endpoint that has not departed is active once a list says so.
 *
 * <p>A list without an index counts as the newest that its agent has told for what departs, and brings nothing back.
 * Departures that an earlier process noted, and those in the list that a start begins with, count as heard when this
 * process hears its first list: nothing tells how the wall clock was set in between.
 */
public final class EndpointMembership {
    /** Index of a list where it could not be read. */
    public static final long NO_INDEX = -1;

    private static final String LOG_PART = "directory";
    /** Agents whose newest index is kept; the configuration names another one now and then. */
    private static final int MAX_AGENTS = 16;
    /** Names in one line of the log. */
    private static final int MAX_LOGGED_NAMES = 5;

    /**
     * One answer of a discovery agent, as far as it could be read.
     *
     * @param agent its address
     * @param index version of the list; {@link #NO_INDEX} where it could not be read
     * @param isWhole it names every endpoint
     * @param isCut it ended early or was too large, so that an absent name says nothing
     * @param entries what could be read
     * @param unusable names whose entry could not be used: no address, no group, a status that is not known
     */
    public record ListUpdate(
            String agent,
            long index,
            boolean isWhole,
            boolean isCut,
            List<Core.ListedEndpoint> entries,
            Set<String> unusable) {
        /** True if a name that is not in it has left. */
        boolean isComplete() {
            return isWhole && !isCut;
        }
    }

    /** What the core is to hear; nothing if it is a change without entries. */
    public record CoreUpdate(ListingKind kind, long version, List<Core.ListedEndpoint> entries) {}

    /** Where departures outlast the process. */
    public interface DepartureStore {
        /**
         * Replaces all that is stored.
         *
         * @param departures oldest name first, at most 4,096 names and four departures of each
         */
        void save(List<Departure> departures) throws IOException;
    }

    /**
     * An endpoint that was heard to leave. One that several agents' lists said so of has a departure for each.
     *
     * @param agent address of the agent whose list it was
     * @param index version of the list from which on the endpoint is out
     * @param wallMicros when it was heard, wall clock, microseconds since 1970
     */
    public record Departure(String name, String agent, long index, long wallMicros) {}

    /** An endpoint as last told, and the newest list of the agent that told its address and destination last. */
    private record KnownEndpoint(Core.ListedEndpoint listed, ListPosition position) {
        boolean isActive() {
            return listed.entry().presence() == Presence.ACTIVE;
        }
    }

    /** What one list says of an endpoint. {@code isDisputed}: its entries contradict each other or can't be used. */
    private record Statement(Core.ListedEndpoint listed, boolean isDisputed) {
        Presence presence() {
            return listed.entry().presence();
        }
    }

    private final DepartureStore store;
    private final DepartureTable departures;
    /** All endpoints but those that have left, by name. */
    private final Map<String, KnownEndpoint> known = new HashMap<>();
    /** Names of active endpoints by their address. */
    private final Map<String, String> namesByAddress = new HashMap<>();
    /** Names of endpoints that a list calls active, or has at another address, which is not believed yet. */
    private final Set<String> withheld = new HashSet<>();
    /** Those that the list being taken in has added. */
    private final List<String> newlyWithheld = new ArrayList<>();
    /** The newest index of each agent, the one that was heard first goes first. */
    private final Map<String, ListPosition> newestPositions = new LinkedHashMap<>();

    private boolean isClockStarted;
    private boolean isStoreFailing;
    private boolean contradictsInitialList;
    /** Only a whole list can tell what holds. */
    private boolean isInDoubt;
    /** The list that is being taken in leaves a doubt. */
    private boolean updateLeavesDoubt;

    /** Of the newest list with an index, whatever its agent. */
    private long version;

    /**
     * Begins without endpoints.
     *
     * @param noted departures that earlier processes noted, oldest first
     * @param store takes them in whenever they change
     */
    public EndpointMembership(List<Departure> stored, DepartureStore store) {
        this.departures = new DepartureTable(stored);
        this.store = store;
    }

    /**
     * The list that a start begins with, which may be out of date: what an earlier process heard to leave stays out,
     * whenever that was.
     */
    public CoreUpdate applyInitialList(long version, List<Core.ListedEndpoint> listed) {
        this.version = version;
        ListPosition position = new ListPosition(ListPosition.INITIAL_LIST, version, true, 0);
        List<Core.ListedEndpoint> updates = new ArrayList<>(listed.size());
        for (Statement statement : statements(listed, Set.of()).values()) {
            isInDoubt |= statement.isDisputed();
            boolean isActive = statement.presence() == Presence.ACTIVE;
            if (isActive && departures.contains(name(statement.listed()))) {
                contradictsInitialList = true;
                updates.add(withhold(statement.listed(), position));
            } else {
                updates.add(isActive ? recordActive(statement.listed(), position) : markDeparted(statement, position));
            }
        }
        return new CoreUpdate(ListingKind.REMEMBERED, version, updates);
    }

    /**
     * Whether the list that the start began with calls an endpoint active that an earlier process heard to leave, and
     * no whole list has come since: the whole list must be asked for.
     */
    public boolean contradictsInitialList() {
        return contradictsInitialList;
    }

    /**
     * Whether only the whole list can tell what holds: after contradictory or unusable entries, changes that are not
     * in order, and once an endpoint is withheld for no reason but a departure that no longer counts. To be asked after
     * each answer; the caller sets the pace.
     */
    public boolean needsWholeList(long nowMicros) {
        return contradictsInitialList
                || isInDoubt
                || withheld.stream().anyMatch(name -> isNoLongerHeldBack(name, nowMicros));
    }

    private boolean isNoLongerHeldBack(String name, long nowMicros) {
        return departures.contains(name)
                ? departures.isExpired(name, nowMicros)
                : known.get(name).position().isExpired(nowMicros);
    }

    /** Endpoints that count as departed. */
    public int departureCount() {
        return departures.size();
    }

    /**
     * Takes an answer in, and stores departures if they have changed.
     *
     * @param nowMicros the loop's clock
     * @param wallMicros the wall clock
     * @return what the core is to hear, never null; its entries may be empty
     */
    public CoreUpdate update(ListUpdate update, long nowMicros, long wallMicros) {
        startClock(nowMicros);
        ListPosition position = position(update, nowMicros);
        updateLeavesDoubt = update.isCut() || !update.unusable().isEmpty() || isOlderChange(update, position);
        Map<String, Statement> statements = statements(update.entries(), update.unusable());
        List<Core.ListedEndpoint> updates = new ArrayList<>(statements.size());
        for (Map.Entry<String, Statement> statement : statements.entrySet()) {
            updates.addAll(apply(statement.getKey(), statement.getValue(), update, statements.keySet(), position));
        }
        if (update.isComplete()) {
            removeAbsent(statements.keySet(), position);
        }
        updateDoubt(update);
        recordNewest(position);
        logWithheld(position);
        saveDepartures(nowMicros, wallMicros);
        version = update.index() == NO_INDEX ? version : update.index();
        return new CoreUpdate(update.isComplete() ? ListingKind.ALL : ListingKind.CHANGES, version, updates);
    }

    /** A whole list that is as doubtful as the one before of the same index need not be asked for again. */
    private void updateDoubt(ListUpdate update) {
        if (update.isComplete()) {
            contradictsInitialList = false;
            isInDoubt = updateLeavesDoubt && !(isInDoubt && update.index() == version);
        } else {
            isInDoubt |= updateLeavesDoubt;
        }
    }

    /** What was known before the first list counts as heard now. */
    private void startClock(long nowMicros) {
        if (!isClockStarted) {
            isClockStarted = true;
            departures.restartClock(nowMicros);
            known.replaceAll((name, endpoint) ->
                    new KnownEndpoint(endpoint.listed(), endpoint.position().receivedAt(nowMicros)));
        }
    }

    private ListPosition position(ListUpdate update, long nowMicros) {
        boolean isExact = update.index() != NO_INDEX;
        ListPosition last = newestPositions.get(update.agent());
        long index = isExact || last == null ? update.index() : last.index();
        return new ListPosition(update.agent(), index, isExact, nowMicros);
    }

    /** Changes build on the list before; those of an older list do not. */
    private boolean isOlderChange(ListUpdate update, ListPosition position) {
        ListPosition last = newestPositions.get(update.agent());
        return !update.isWhole() && last != null && isOlder(position, last);
    }

    private void recordNewest(ListPosition position) {
        ListPosition last = newestPositions.get(position.agent());
        if (last == null || last.index() <= position.index() || last.isExpired(position.receivedMicros())) {
            newestPositions.put(position.agent(), position);
        }
        if (newestPositions.size() > MAX_AGENTS) {
            newestPositions.remove(newestPositions.keySet().iterator().next());
        }
    }

    /** What the entries say of each name; null for names that have no entry that can be used. */
    private Map<String, Statement> statements(List<Core.ListedEndpoint> entries, Set<String> unusable) {
        Map<String, Statement> statements = new LinkedHashMap<>(2 * entries.size());
        Set<String> duplicated = new LinkedHashSet<>();
        for (Core.ListedEndpoint listed : entries) {
            Statement before = statements.putIfAbsent(name(listed), new Statement(listed, false));
            if (before != null) {
                duplicated.add(name(listed));
                statements.put(name(listed), merged(before, listed));
            }
        }
        if (!duplicated.isEmpty()) {
            Logs.warn(LOG_PART, "entry-twice", "more than one entry in a list: " + shortened(duplicated));
        }
        for (String name : unusable) {
            KnownEndpoint before = known.get(name);
            Statement statement = statements.get(name);
            Core.ListedEndpoint listed =
                    statement != null ? statement.listed() : before != null ? before.listed() : null;
            statements.put(name, listed == null ? null : new Statement(atLeastLeaving(listed), true));
        }
        return statements;
    }

    /** Two entries of one endpoint: the most cautious presence; without a clear address it can't be active. */
    private Statement merged(Statement one, Core.ListedEndpoint other) {
        Presence presence = other.entry().presence();
        if (isSameTarget(one.listed(), other)) {
            boolean isSame = one.presence() == presence;
            boolean isCautious = one.presence().compareTo(presence) >= 0;
            return new Statement(isCautious ? one.listed() : other, one.isDisputed() || !isSame);
        }
        Core.ListedEndpoint cautious = one.presence().compareTo(presence) >= 0 ? one.listed() : other;
        return new Statement(atLeastLeaving(cautious), true);
    }

    private static Core.ListedEndpoint atLeastLeaving(Core.ListedEndpoint listed) {
        return listed.entry().presence() == Presence.ACTIVE ? listed.withPresence(Presence.LEAVING) : listed;
    }

    /** What the core is to hear for one statement: of the endpoint, and of another one whose address it has now. */
    private List<Core.ListedEndpoint> apply(
            String name, Statement statement, ListUpdate update, Set<String> mentioned, ListPosition position) {
        if (statement == null) {
            departures.addDisputed(name, position);
            return List.of();
        }
        updateLeavesDoubt |= statement.isDisputed();
        if (statement.presence() != Presence.ACTIVE) {
            return List.of(markDeparted(statement, position));
        }
        if (!departures.permits(name, position)) {
            return List.of(withhold(statement.listed(), position));
        }
        Core.ListedEndpoint removed =
                update.isComplete() ? null : removedHolder(statement.listed(), mentioned, position);
        Core.ListedEndpoint active = activate(statement.listed(), position);
        return removed == null ? List.of(active) : List.of(removed, active);
    }

    private Core.ListedEndpoint markDeparted(Statement statement, ListPosition position) {
        Core.ListedEndpoint listed = statement.listed();
        if (statement.isDisputed()) {
            departures.addDisputed(name(listed), position);
        } else {
            departures.add(name(listed), position);
        }
        return recordInactive(listed, position);
    }

    private Core.ListedEndpoint withhold(Core.ListedEndpoint listed, ListPosition position) {
        boolean isNew = !withheld.contains(name(listed));
        Core.ListedEndpoint leaving = recordInactive(listed.withPresence(Presence.LEAVING), position);
        withheld.add(name(listed));
        if (isNew) {
            newlyWithheld.add(name(listed));
        }
        return leaving;
    }

    private void logWithheld(ListPosition position) {
        if (!newlyWithheld.isEmpty()) {
            Logs.warn(
                    LOG_PART,
                    "not-believed",
                    "list " + position.index() + " of " + position.agent() + " is not later than what it contradicts: "
                            + shortened(newlyWithheld));
            newlyWithheld.clear();
        }
    }

    private static String shortened(Collection<String> names) {
        String first = names.stream().limit(MAX_LOGGED_NAMES).collect(Collectors.joining(", "));
        return names.size() <= MAX_LOGGED_NAMES
                ? first
                : first + " and " + (names.size() - MAX_LOGGED_NAMES) + " others";
    }

    private Core.ListedEndpoint recordInactive(Core.ListedEndpoint listed, ListPosition position) {
        remove(name(listed));
        if (listed.entry().presence() != Presence.LEFT) {
            known.put(name(listed), new KnownEndpoint(listed, position));
        }
        return listed;
    }

    private void remove(String name) {
        withheld.remove(name);
        KnownEndpoint before = known.remove(name);
        if (before != null) {
            namesByAddress.remove(address(before.listed()), name);
        }
    }

    private Core.ListedEndpoint activate(Core.ListedEndpoint listed, ListPosition position) {
        departures.remove(name(listed));
        KnownEndpoint before = known.get(name(listed));
        if (before == null || !before.isActive() || !before.position().isExact()) {
            return recordActive(listed, position);
        }
        if (isSameTarget(before.listed(), listed)) {
            return recordActive(listed, isOlder(position, before.position()) ? before.position() : position);
        }
        if (!before.position().permits(position)) {
            if (withheld.add(name(listed))) {
                newlyWithheld.add(name(listed));
            }
            return before.listed();
        }
        return recordActive(listed, position);
    }

    /** Whether it is of the same agent and out of order, or of no order at all. */
    private static boolean isOlder(ListPosition position, ListPosition than) {
        boolean isOutOfOrder = position.agent().equals(than.agent()) && position.index() < than.index();
        return (isOutOfOrder || !position.isExact()) && !than.isExpired(position.receivedMicros());
    }

    private Core.ListedEndpoint recordActive(Core.ListedEndpoint listed, ListPosition position) {
        remove(name(listed));
        known.put(name(listed), new KnownEndpoint(listed, position));
        namesByAddress.put(address(listed), name(listed));
        return listed;
    }

    /**
     * Has an endpoint depart whose address a list of changes gives to another name, if that list is later: two names
     * share an address only where one list says so. Null if there is none.
     */
    private Core.ListedEndpoint removedHolder(
            Core.ListedEndpoint listed, Set<String> mentioned, ListPosition position) {
        String holder = namesByAddress.get(address(listed));
        if (holder == null || holder.equals(name(listed)) || mentioned.contains(holder) || isAt(listed)) {
            return null;
        }
        updateLeavesDoubt = true;
        KnownEndpoint before = known.get(holder);
        if (!before.position().permits(position)) {
            return null;
        }
        return markDeparted(new Statement(before.listed().withPresence(Presence.LEAVING), true), position);
    }

    /** Whether the endpoint is active at that address already. */
    private boolean isAt(Core.ListedEndpoint listed) {
        KnownEndpoint before = known.get(name(listed));
        return before != null && before.isActive() && address(before.listed()).equals(address(listed));
    }

    /** A whole list: what it does not mention has left. */
    private void removeAbsent(Set<String> mentioned, ListPosition position) {
        departures.addAbsent(mentioned, position);
        for (Iterator<Map.Entry<String, KnownEndpoint>> all = known.entrySet().iterator(); all.hasNext(); ) {
            Map.Entry<String, KnownEndpoint> entry = all.next();
            String name = entry.getKey();
            if (!mentioned.contains(name)) {
                addAbsent(name, entry.getValue(), position);
                withheld.remove(name);
                namesByAddress.remove(address(entry.getValue().listed()), name);
                all.remove();
            }
        }
    }

    private void addAbsent(String name, KnownEndpoint before, ListPosition position) {
        ListPosition lastPosition = before.position();
        boolean isContradiction = lastPosition.isExact()
                && position.isComparableWith(lastPosition)
                && position.index() == lastPosition.index();
        if (departures.contains(name)) {
            return; // heard with all others that had departed before
        }
        if (isContradiction || !position.isExact()) {
            updateLeavesDoubt = true;
            departures.addDisputed(name, position);
        } else {
            departures.add(name, position);
        }
    }

    private void saveDepartures(long nowMicros, long wallMicros) {
        if (!departures.isChanged()) {
            return;
        }
        try {
            store.save(departures.all(nowMicros, wallMicros));
            departures.markSaved();
            isStoreFailing = false;
        } catch (IOException e) {
            if (!isStoreFailing) {
                Logs.error(LOG_PART, "departures-not-noted", "endpoints that have left can't be noted: " + e);
            }
            isStoreFailing = true; // they stay changed, so the next list tries again
        }
    }

    private static String name(Core.ListedEndpoint listed) {
        return listed.entry().host();
    }

    private static String address(Core.ListedEndpoint listed) {
        return listed.endpoint().address();
    }

    private static boolean isSameTarget(Core.ListedEndpoint one, Core.ListedEndpoint other) {
        return one.entry().destination() == other.entry().destination()
                && address(one).equals(address(other));
    }
}
