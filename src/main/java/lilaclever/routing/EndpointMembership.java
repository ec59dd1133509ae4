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
 * Decides which statements of endpoint lists to trust, in whatever order and shape the lists arrive. Does no I/O. Event
 * loop.
 *
 * <p>A departure is accepted at once, whatever list it is in: an entry that is leaving or has left, an absence from a
 * whole list, an unusable entry, entries that contradict each other. A departed endpoint becomes active again only
 * through a list that is later than every departure received: from the same agent, with a higher index. The index of
 * the list with the departure itself is not enough. Two kinds of departure count as one index lower, so that the next
 * valid list of the same index can bring the endpoint back: contradictory or unusable entries, and an absence where the
 * same agent has listed the endpoint as active at that index. After {@link ListPosition#RETENTION_MICROS} any list is
 * accepted, as the indexes may have restarted. An endpoint that has not departed is active once a list says so.
 *
 * <p>A list without an index counts as the newest list of its agent for departures, and activates no departed endpoint.
 * Departures stored by an earlier process, and those in the initial list, count as received when this process receives
 * its first list, as the wall clock may have been set in between.
 */
public final class EndpointMembership {
    /** Index of a list whose index could not be read. */
    public static final long NO_INDEX = -1;

    private static final String LOG_PART = "directory";
    /** Agents whose newest index is kept; a configuration change may name a new one. */
    private static final int MAX_AGENTS = 16;
    /** Names in one log line. */
    private static final int MAX_LOGGED_NAMES = 5;

    /**
     * One response of a discovery agent, as far as it could be read.
     *
     * @param agent its address
     * @param index version of the list; {@link #NO_INDEX} where it could not be read
     * @param isWhole it lists every endpoint, not only changes
     * @param isTruncated it ended early or was too large, so that the absence of a name has no meaning
     * @param entries the usable entries
     * @param unusable names with an unusable entry: no address, no group or an unknown status
     */
    public record ListUpdate(
            String agent,
            long index,
            boolean isWhole,
            boolean isTruncated,
            List<Core.ListedEndpoint> entries,
            Set<String> unusable) {
        /** True if an endpoint that is not in it has left. */
        boolean isComplete() {
            return isWhole && !isTruncated;
        }
    }

    /** The update to pass to the core; none is needed for changes without entries. */
    public record CoreUpdate(ListingKind kind, long version, List<Core.ListedEndpoint> entries) {}

    /** Persistent storage of departures. */
    public interface DepartureStore {
        /**
         * Replaces all stored departures.
         *
         * @param departures oldest name first, at most 4,096 names and four departures of each
         */
        void save(List<Departure> departures) throws IOException;
    }

    /**
     * A departure of an endpoint, as reported by a list. There is one for each agent that reported it.
     *
     * @param agent address of the agent that sent the list
     * @param index the endpoint counts as departed at this list version; only lists with a higher one reactivate it
     * @param wallMicros when the list was received, wall clock, microseconds since 1970
     */
    public record Departure(String name, String agent, long index, long wallMicros) {}

    /** An endpoint as last listed, and the newest position of the agent that last set its address and destination. */
    private record KnownEndpoint(Core.ListedEndpoint listed, ListPosition position) {
        boolean isActive() {
            return listed.entry().presence() == Presence.ACTIVE;
        }
    }

    /** What one list says of an endpoint. {@code isDisputed}: its entries are contradictory or unusable. */
    private record Statement(Core.ListedEndpoint listed, boolean isDisputed) {
        Presence presence() {
            return listed.entry().presence();
        }
    }

    private final DepartureStore store;
    private final DepartureTable departures;
    /** All endpoints except those that have left, by name. */
    private final Map<String, KnownEndpoint> known = new HashMap<>();
    /** Names of active endpoints by their address. */
    private final Map<String, String> namesByAddress = new HashMap<>();
    /** Names of endpoints that a list has as active, or at another address, without being accepted yet. */
    private final Set<String> withheld = new HashSet<>();
    /** Names that the current update has added to {@link #withheld}. */
    private final List<String> newlyWithheld = new ArrayList<>();
    /** The newest position of each agent; the agent that was added first is evicted first. */
    private final Map<String, ListPosition> newestPositions = new LinkedHashMap<>();

    private boolean isClockStarted;
    private boolean isStoreFailing;
    private boolean contradictsInitialList;
    /** Whether only a whole list can resolve a contradiction. */
    private boolean isInDoubt;
    /** Whether the current update leaves a contradiction unresolved. */
    private boolean updateLeavesDoubt;

    /** Index of the last list that had one, whatever its agent. */
    private long version;

    /**
     * Starts without endpoints.
     *
     * @param stored departures that earlier processes stored, oldest first
     * @param store saves the departures whenever they change
     */
    public EndpointMembership(List<Departure> stored, DepartureStore store) {
        this.departures = new DepartureTable(stored);
        this.store = store;
    }

    /**
     * Applies the initial list of a process, which may be outdated: endpoints whose departure an earlier process stored
     * stay inactive, however old the departure is.
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
     * Whether the initial list has an endpoint as active whose departure an earlier process stored, and no whole list
     * has been received since: then the whole list must be requested.
     */
    public boolean contradictsInitialList() {
        return contradictsInitialList;
    }

    /**
     * Whether the whole list is needed: after contradictory or unusable entries or changes out of order, and once an
     * endpoint is withheld only because of an expired departure. To be checked after each response; the caller limits
     * the rate of requests.
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

    /** How many endpoints count as departed. */
    public int departureCount() {
        return departures.size();
    }

    /**
     * Applies a response of an agent, and stores the departures if they have changed.
     *
     * @param nowMicros time on the event loop's clock
     * @param wallMicros time on the wall clock
     * @return the update to pass to the core, never null; its entries may be empty
     */
    public CoreUpdate update(ListUpdate update, long nowMicros, long wallMicros) {
        startClock(nowMicros);
        ListPosition position = position(update, nowMicros);
        updateLeavesDoubt = update.isTruncated() || !update.unusable().isEmpty() || isOlderChange(update, position);
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

    /** A whole list that is as contradictory as the previous one of the same index is not requested again. */
    private void updateDoubt(ListUpdate update) {
        if (update.isComplete()) {
            contradictsInitialList = false;
            isInDoubt = updateLeavesDoubt && !(isInDoubt && update.index() == version);
        } else {
            isInDoubt |= updateLeavesDoubt;
        }
    }

    /** Makes everything known before the first list count as received now. */
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

    /** Whether these are changes to an older list than the newest one, so that intermediate changes are missing. */
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

    /** What the entries say of each name; null for an unknown name without a usable entry. */
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
            Logs.warn(LOG_PART, "entry-twice", "more than one entry in a list for: " + shortened(duplicated));
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

    /** Merges two entries of an endpoint: the more cautious presence, never active if their targets differ. */
    private Statement merged(Statement first, Core.ListedEndpoint second) {
        Presence presence = second.entry().presence();
        if (isSameTarget(first.listed(), second)) {
            boolean isSame = first.presence() == presence;
            boolean isCautious = first.presence().compareTo(presence) >= 0;
            return new Statement(isCautious ? first.listed() : second, first.isDisputed() || !isSame);
        }
        Core.ListedEndpoint cautious = first.presence().compareTo(presence) >= 0 ? first.listed() : second;
        return new Statement(atLeastLeaving(cautious), true);
    }

    private static Core.ListedEndpoint atLeastLeaving(Core.ListedEndpoint listed) {
        return listed.entry().presence() == Presence.ACTIVE ? listed.withPresence(Presence.LEAVING) : listed;
    }

    /** The core's updates for one statement: the endpoint, and possibly another whose address it has taken over. */
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
                    "list " + position.index() + " of " + position.agent()
                            + " is not later than what it contradicts; not applied to: "
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

    /** Whether it is out of order with an unexpired position of the same agent, or has no index. */
    private static boolean isOlder(ListPosition position, ListPosition reference) {
        boolean isOutOfOrder = position.agent().equals(reference.agent()) && position.index() < reference.index();
        return (isOutOfOrder || !position.isExact()) && !reference.isExpired(position.receivedMicros());
    }

    private Core.ListedEndpoint recordActive(Core.ListedEndpoint listed, ListPosition position) {
        remove(name(listed));
        known.put(name(listed), new KnownEndpoint(listed, position));
        namesByAddress.put(address(listed), name(listed));
        return listed;
    }

    /**
     * If changes give an address to another name, and their list is later, marks the former holder of the address as
     * departed: two names share an address only if a single list says so. Null if there is no such endpoint.
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

    /** Whether the endpoint is already active at that address. */
    private boolean isAt(Core.ListedEndpoint listed) {
        KnownEndpoint before = known.get(name(listed));
        return before != null && before.isActive() && address(before.listed()).equals(address(listed));
    }

    /** Removes the endpoints that a whole list does not mention. */
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
            return; // already handled together with all departed endpoints
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
                Logs.error(LOG_PART, "departures-not-noted", "departed endpoints could not be saved: " + e);
            }
            isStoreFailing = true; // still marked as changed, so the next list retries
        }
    }

    private static String name(Core.ListedEndpoint listed) {
        return listed.entry().host();
    }

    private static String address(Core.ListedEndpoint listed) {
        return listed.endpoint().address();
    }

    private static boolean isSameTarget(Core.ListedEndpoint first, Core.ListedEndpoint second) {
        return first.entry().destination() == second.entry().destination()
                && address(first).equals(address(second));
    }
}
