package lilaclever.placement;

/** Whether a forwarder may send for a shard now. */
public sealed interface SendPermission {
    /**
     * Sending is permitted with the shard's epoch as fencing token. The last byte has to be written before the given
     * reading of the holder's monotonic clock.
     */
    record Permitted(long epoch, long untilMicros) implements SendPermission {}

    /** Sending is not permitted. */
    record Refused(Reason reason) implements SendPermission {}

    /** Why a forwarder may not send. */
    enum Reason {
        /** The shard is not assigned to this forwarder. */
        NOT_OWNER,
        /** The shard is assigned, but no renewal has covered the assignment yet. */
        NOT_COVERED,
        /** The lease has expired, or expires within the margin. */
        LEASE_EXPIRED
    }
}
