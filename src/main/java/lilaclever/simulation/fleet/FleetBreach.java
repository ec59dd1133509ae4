package lilaclever.simulation.fleet;

/**
 * A broken rule.
 *
 * @param atMicros virtual time
 * @param region region in which the rule was broken
 * @param detail human-readable details
 */
public record FleetBreach(Kind kind, long atMicros, int region, String detail) {
    /** The rules. */
    public enum Kind {
        /** Two processes may send for one shard at the same time. */
        TWO_SENDERS,
        /** A shard's new owner has an epoch that is not greater than that of its previous owner. */
        EPOCH_NOT_GREATER,
        /** A forwarder considers a map current that is older than the bound. */
        STALE_MAP,
        /** A forwarder considers a configuration current that is older than the bound. */
        STALE_CONFIGURATION
    }
}
