package lilaclever.placement;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import lilaclever.placement.MapDelta.OwnerChange;

/**
 * Merges consecutive deltas of one region, so that many changes in a short time cost one message through the
 * distribution tree. Of several changes of a shard only the last is retained.
 */
public final class DeltaBatch {
    private final TreeMap<Integer, OwnerChange> changes = new TreeMap<>();
    private MapDelta first;
    private MapDelta last;

    /**
     * Adds a delta.
     *
     * @throws IllegalArgumentException if it does not follow the last delta or belongs to another region
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
     * Removes the collected deltas and returns them merged into one.
     *
     * @throws IllegalStateException if the batch is empty
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
