package lilaclever.placement;

/** What became of a delta that was given to a shard map. */
public enum MapUpdate {
    /** The map is at the delta's version now. */
    APPLIED,
    /** The map was at that version or a later one already; nothing has changed. */
    ALREADY_APPLIED,
    /** Deltas before this one are missing; nothing has changed, and a snapshot or the missing ones are needed. */
    GAP
}
