package lilaclever.placement;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import lilaclever.placement.MapDelta.OwnerChange;

/**
 * Gathers deltas of one region that follow on one another into one, so that many changes in a short time cost one
 * message through the tree. Of several changes of a shard only the last is kept.
 */
public final class DeltaBatch {
    private final TreeMap<Integer, OwnerChange> changes = new TreeMap<>();
    private MapDelta first;
    private MapDelta last;

    /**
     * Adds a delta.
     *
     * @throws IllegalArgumentException if it does not follow on the last one, or is of another region
     */
    public void add(MapDelta delta) {
        if (last != null && (delta.fromVersion() != last.toVersion() || delta.region() != last.region())) {
            throw new IllegalArgumentException("delta from version " + delta.fromVersion() + " of region "
                    + delta.region() + " after version " + last.toVersion() + " of region " + last.region());
        }
        if (first == null) {
            first = delta;
        }
        last = delta;
        for (OwnerChange change : delta.changes()) {
            changes.put(change.shard(), change);
        }
    }

    /** Whether nothing was added since the last {@link #take}. */
    public boolean isEmpty() {
        return first == null;
    }

    /**
     * Takes what was gathered, as one delta.
     *
     * @throws IllegalStateException if there is nothing
     */
    public MapDelta take() {
        if (first == null) {
            throw new IllegalStateException("no delta was added");
        }
        List<OwnerChange> merged = new ArrayList<>(changes.values());
        MapDelta delta = new MapDelta(
                first.region(), first.fromVersion(), last.toVersion(), last.configurationVersion(), merged);
        first = null;
        last = null;
        changes.clear();
        return delta;
    }
}
