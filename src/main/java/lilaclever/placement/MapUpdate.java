package lilaclever.placement;

/** Result of applying a delta or snapshot to a shard map. */
public enum MapUpdate {
    /** The map now has the given version. */
    APPLIED,
    /** The map already had that version or a later one; nothing has changed. */
    ALREADY_APPLIED,
    /** Earlier deltas are missing; nothing has changed, and the missing deltas or a snapshot are needed. */
    GAP
}
