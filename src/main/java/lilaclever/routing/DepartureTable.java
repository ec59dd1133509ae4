package lilaclever.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import lilaclever.routing.EndpointMembership.Departure;

/**
 * Endpoints that lists have reported as departed, each with the positions of those lists. At most {@link #MAX_NAMES}
 * names; the oldest is evicted first. Event loop.
 */
final class DepartureTable {
    /** More than the largest fleet has endpoints. */
    static final int MAX_NAMES = 4_096;

    /**
     * Positions kept for one name, from several agents or from one whose indexes restarted; more are merged into
     * stricter ones.
     */
    private static final int MAX_POSITIONS_PER_NAME = 4;

    private final Map<String, List<ListPosition>> positions = new LinkedHashMap<>();
    /** The position of the last contradictory list about a name, if no list has reported a departure since. */
    private final Map<String, ListPosition> disputed = new HashMap<>();

    private boolean isChanged;

    /** Starts with the departures that an earlier process stored, oldest first. */
    DepartureTable(List<Departure> stored) {
        stored.forEach(d -> add(d.name(), new ListPosition(d.agent(), d.index(), true, 0)));
        isChanged = false;
    }

    /** Sets the receive time of all departures to now: monotonic clocks of two processes are not comparable. */
    void restartClock(long nowMicros) {
        positions.replaceAll(
                (name, all) -> all.stream().map(p -> p.receivedAt(nowMicros)).toList());
    }

    int size() {
        return positions.size();
    }

    boolean contains(String name) {
        return positions.containsKey(name);
    }

    /** Adds a departure: a list says that the endpoint is leaving or has left. */
    void add(String name, ListPosition position) {
        disputed.remove(name);
        List<ListPosition> previous = positions.get(name);
        List<ListPosition> updated = previous == null ? List.of(position) : added(previous, position);
        isChanged |= previous == null || !haveSameAgentsAndIndexes(previous, updated);
        positions.put(name, updated);
        removeOldest();
    }

    /** Adds a departure from a contradictory list: a valid list of the same index may bring the endpoint back. */
    void addDisputed(String name, ListPosition position) {
        add(name, position.before());
        if (position.isExact()) {
            disputed.put(name, position);
        }
    }

    /** Adds a departure for each known name that a whole list does not mention. */
    void addAbsent(Set<String> mentioned, ListPosition position) {
        for (String name : List.copyOf(positions.keySet())) {
            if (mentioned.contains(name)) {
                continue;
            }
            if (!position.isExact() || isDisputed(name, position)) {
                addDisputed(name, position);
            } else {
                add(name, position);
            }
        }
    }

    /** Whether an earlier list of the same index was contradictory about the endpoint. */
    private boolean isDisputed(String name, ListPosition position) {
        ListPosition dispute = disputed.get(name);
        return dispute != null && dispute.hasSameAgentAndIndex(position);
    }

    /** Adds a position and drops those that are expired or covered by it. */
    private static List<ListPosition> added(List<ListPosition> previous, ListPosition position) {
        List<ListPosition> updated = new ArrayList<>(previous.size() + 1);
        for (ListPosition p : previous) {
            boolean isCovered = p.agent().equals(position.agent()) && p.index() <= position.index();
            if (!isCovered && !p.isExpired(position.receivedMicros())) {
                updated.add(p);
            }
        }
        updated.add(position);
        return updated.size() <= MAX_POSITIONS_PER_NAME ? List.copyOf(updated) : merged(updated, position);
    }

    /** Merges the positions of each agent into one, or all positions into one if there are too many agents. */
    private static List<ListPosition> merged(List<ListPosition> all, ListPosition newest) {
        Map<String, ListPosition> strictest = new LinkedHashMap<>();
        all.forEach(p -> strictest.merge(p.agent(), p, ListPosition::strictest));
        return strictest.size() <= MAX_POSITIONS_PER_NAME
                ? List.copyOf(strictest.values())
                : List.of(newest.laterThanAny());
    }

    private static boolean haveSameAgentsAndIndexes(List<ListPosition> first, List<ListPosition> second) {
        if (first.size() != second.size()) {
            return false;
        }
        for (int i = 0; i < first.size(); i++) {
            if (!first.get(i).hasSameAgentAndIndex(second.get(i))) {
                return false;
            }
        }
        return true;
    }

    private void removeOldest() {
        if (positions.size() > MAX_NAMES) {
            String oldest = positions.keySet().iterator().next();
            positions.remove(oldest);
            disputed.remove(oldest);
        }
    }

    /** Whether a list at the given position may make the endpoint active: it is later than all departures. */
    boolean permits(String name, ListPosition list) {
        return positions.getOrDefault(name, List.of()).stream().allMatch(p -> p.permits(list));
    }

    /** Whether any list may make the endpoint active. */
    boolean isExpired(String name, long nowMicros) {
        return positions.getOrDefault(name, List.of()).stream().allMatch(p -> p.isExpired(nowMicros));
    }

    /** Removes an endpoint that is active again. */
    void remove(String name) {
        isChanged |= positions.remove(name) != null;
        disputed.remove(name);
    }

    /** Whether names, agents or indexes have changed since {@link #markSaved}. */
    boolean isChanged() {
        return isChanged;
    }

    /** Notes that the current departures are stored. */
    void markSaved() {
        isChanged = false;
    }

    /** All departures, oldest name first, with times on the wall clock. */
    List<Departure> all(long nowMicros, long wallMicros) {
        List<Departure> all = new ArrayList<>(positions.size());
        positions.forEach((name, positionsOfName) -> positionsOfName.forEach(p ->
                all.add(new Departure(name, p.agent(), p.index(), wallMicros - (nowMicros - p.receivedMicros())))));
        return all;
    }
}
