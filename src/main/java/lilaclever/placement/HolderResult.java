package lilaclever.placement;

/** What a holder did with an input. Whatever is not {@link #APPLIED} has changed nothing that it may send for. */
public enum HolderResult {
    /** The input was taken in. */
    APPLIED,
    /** The message is for another member, or for another life of this member's process. */
    NOT_ADDRESSED,
    /** The assignment is at this revision or past it already. */
    STALE_REVISION,
    /** The whole assignment at the present revision again: what has been stopped is released once more. */
    REPEATED,
    /** The assignment follows on a revision that the holder has not got; its next heartbeat says which one it has. */
    REVISION_GAP,
    /** A grant has an older epoch than the holder has seen for the shard; the whole message is passed over. */
    OLDER_EPOCH,
    /** The renewal names a heartbeat that was never sent, or one too long ago to be remembered. */
    UNKNOWN_HEARTBEAT,
    /** The renewal came so late that the lease which it gives is over already. */
    LEASE_EXPIRED,
    /** A call was to be started without permission: the shard is not held, not covered, or its lease is over. */
    NOT_PERMITTED,
    /** A call was ended that is not out. */
    UNKNOWN_CALL
}
