package lilaclever.placement;

/** Why the controller rejected a command. */
public enum RejectionReason {
    /** No such member, or its lease has expired: it has to register with a new incarnation. */
    UNKNOWN_MEMBER,
    /** The command is from an earlier process run of the member. */
    STALE_INCARNATION,
    /** The member is already registered with this incarnation. */
    ALREADY_REGISTERED,
    /** The heartbeat's sequence number is not greater than the last one received. */
    STALE_SEQUENCE,
    /** The heartbeat reports an assignment revision that the controller never issued. */
    UNKNOWN_REVISION,
    /** A shard's number is out of range, or it is not held by the member under this epoch. */
    NOT_HELD,
    /** The member holds the shard under this epoch, but the shard was not revoked. */
    NOT_REVOKED,
    /** The region has no such zone. */
    UNKNOWN_ZONE,
    /**
     * The weight is not a number from {@link ControllerSettings#MIN_WEIGHT} to {@link
     * ControllerSettings#MAX_WEIGHT}.
     */
    INVALID_WEIGHT,
    /** The controller already knows its maximum number of members. */
    REGION_FULL,
    /** The configuration's version is not greater than the one in force. */
    STALE_CONFIGURATION
}
