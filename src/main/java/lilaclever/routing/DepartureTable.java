package lilaclever.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import lilaclever.routing.EndpointMembership.Departure;

/**
 * Endpoints that were heard to leave, each with the positions of the lists that said so. At most {@link #MAX_NAMES} names;
 * the one that has been here longest goes first. Loop thread.
 */
final class DepartureTable {
    /** Names at most: more than the largest fleet has endpoints. */
    static final int MAX_NAMES = 4_096;

    /** Positions kept for one name, of several agents or one that counts anew; more are merged into stricter ones. */
    private static final int MAX_POSITIONS_PER_NAME = 4;

    private final Map<String, List<ListPosition>> positions = new LinkedHashMap<>();
    /** The last contradictory list about a name, if nothing was heard since. */
    private final Map<String, ListPosition> disputed = new HashMap<>();

    private boolean isChanged;

    /** Starts with what an earlier process noted, oldest first. */
    DepartureTable(List<Departure> stored) {
        stored.forEach(d -> add(d.name(), new ListPosition(d.agent(), d.index(), true, 0)));
        isChanged = false;
    }

    /** Has all that is known so far count as heard now: the clocks of two processes are not comparable. */
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

    /** A list says that the endpoint leaves or has left. */
    void add(String name, ListPosition position) {
        disputed.remove(name);
        List<ListPosition> previous = positions.get(name);
        List<ListPosition> updated = previous == null ? List.of(position) : added(previous, position);
        isChanged |= previous == null || !areSamePlaces(previous, updated);
        positions.put(name, updated);
        removeOldest();
    }

    /** The same where the list is contradictory: a sound one of the same index may bring the endpoint back. */
    void addDisputed(String name, ListPosition position) {
        add(name, position.before());
        if (position.isExact()) {
            disputed.put(name, position);
        }
    }

    /** A whole list names none of the endpoints but those mentioned. */
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

    /** Whether a list of the same index was contradictory about the endpoint. */
    private boolean isDisputed(String name, ListPosition position) {
        ListPosition dispute = disputed.get(name);
        return dispute != null && dispute.isSamePlace(position);
    }

    /** Keeps what still holds back some list that the new position does not. */
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

    /** Has all positions of an agent count as one, or all of them where there are too many agents. */
    private static List<ListPosition> merged(List<ListPosition> all, ListPosition newest) {
        Map<String, ListPosition> strictest = new LinkedHashMap<>();
        all.forEach(p -> strictest.merge(p.agent(), p, ListPosition::strictest));
        return strictest.size() <= MAX_POSITIONS_PER_NAME
                ? List.copyOf(strictest.values())
                : List.of(newest.laterThanAny());
    }

    private static boolean areSamePlaces(List<ListPosition> one, List<ListPosition> other) {
        if (one.size() != other.size()) {
            return false;
        }
        for (int i = 0; i < one.size(); i++) {
            if (!one.get(i).isSamePlace(other.get(i))) {
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

    /** Whether a list at the given position may call the endpoint active: it is later than all departures. */
    boolean permits(String name, ListPosition list) {
        return positions.getOrDefault(name, List.of()).stream().allMatch(p -> p.permits(list));
    }

    /** Whether any list may call the endpoint active. */
    boolean isExpired(String name, long nowMicros) {
        return positions.getOrDefault(name, List.of()).stream().allMatch(p -> p.isExpired(nowMicros));
    }

    /** The endpoint is back. */
    void remove(String name) {
        isChanged |= positions.remove(name) != null;
        disputed.remove(name);
    }

    /** Whether names, agents or indexes differ from those last taken by {@link #markSaved}. */
    boolean isChanged() {
        return isChanged;
    }

    /** The departures are noted as they are now. */
    void markSaved() {
        isChanged = false;
    }

    /** All of them, oldest name first, with times of the wall clock. */
    List<Departure> all(long nowMicros, long wallMicros) {
        List<Departure> all = new ArrayList<>(positions.size());
        positions.forEach((name, at) -> at.forEach(p ->
                all.add(new Departure(name, p.agent(), p.index(), wallMicros - (nowMicros - p.receivedMicros())))));
        return all;
    }
}
