package lilaclever.placement;

/** Result of an input to a {@link LeaseHolder}. Only {@link #APPLIED} changes what the holder may send for. */
public enum HolderResult {
    /** The input was applied. */
    APPLIED,
    /** The message is for another member, or for another process run of this member. */
    NOT_ADDRESSED,
    /** The assignment already has this revision or a later one. */
    STALE_REVISION,
    /** The full assignment at the present revision again: the revoked shards are released once more. */
    REPEATED,
    /** The change applies to a revision that the holder does not have; its next heartbeat reports the one it has. */
    REVISION_GAP,
    /** A grant has an older epoch than the holder has seen for the shard; the whole message is ignored. */
    OLDER_EPOCH,
    /** The renewal names a heartbeat that was never sent, or one sent too long ago to be remembered. */
    UNKNOWN_HEARTBEAT,
    /** The renewal came so late that its lease has already expired. */
    LEASE_EXPIRED,
    /** The call may not start: the shard is not assigned, not covered, or its lease has expired. */
    NOT_PERMITTED,
    /** The call that ended is not in flight. */
    UNKNOWN_CALL
}
