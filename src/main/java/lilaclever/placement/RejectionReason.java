package lilaclever.placement;

/** Why the controller passed over a command. */
public enum RejectionReason {
    /** No such member, or its lease has expired: it has to register with a new incarnation. */
    UNKNOWN_MEMBER,
    /** The command is of an earlier life of the member's process. */
    STALE_INCARNATION,
    /** The member is registered with this incarnation already. */
    ALREADY_REGISTERED,
    /** The heartbeat's sequence number was seen before or is older than one that was seen. */
    STALE_SEQUENCE,
    /** The heartbeat claims an assignment revision that the controller never gave out. */
    UNKNOWN_REVISION,
    /** A shard's number is out of range, or it is not held by the member under this epoch. */
    NOT_HELD,
    /** The member holds the shard under this epoch, but was not told to give it back. */
    NOT_REVOKED,
    /** The zone is not one of the region's. */
    UNKNOWN_ZONE,
    /**
     * The weight is not a number from {@link ControllerSettings#MIN_WEIGHT} to {@link
     * ControllerSettings#MAX_WEIGHT}.
     */
    INVALID_WEIGHT,
    /** So many member numbers are known already as the controller keeps. */
    REGION_FULL,
    /** The configuration's version is not greater than the one in force. */
    STALE_CONFIGURATION
}
