package lilaclever.lab.fleet;

/**
 * A rule that was broken.
 *
 * @param atMicros virtual time
 * @param region   region in which it happened
 * @param detail   who and what, for a reader
 */
public record FleetBreach(Kind kind, long atMicros, int region, String detail) {
    /** The rules. */
    public enum Kind {
        /** Two processes may send for one shard. */
        TWO_SENDERS,
        /** A shard is sent for under an epoch that is not greater than its last owner's. */
        EPOCH_NOT_GREATER,
        /** A forwarder takes a map to be current that is older than the bound. */
        STALE_MAP,
        /** A forwarder takes a configuration to be current that is older than the bound. */
        STALE_CONFIGURATION
    }
}
