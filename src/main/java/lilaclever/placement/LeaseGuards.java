package lilaclever.placement;

/**
 * The conditions that keep two members from sending for one shard, each in one place. Tests replace one at a time with
 * a faulty one and require that the checker detects it.
 */
class LeaseGuards {
    private final LeaseTiming timing;

    LeaseGuards(LeaseTiming timing) {
        this.timing = timing;
    }

    /** Length of a lease by the holder's clock, shortened because that clock may run slower than the controller's. */
    long driftAdjustedMicros(long leaseMicros) {
        return (long) (leaseMicros * (1 - timing.maxDrift()));
    }

    /** End of the permission to send for a lease that ends at the given time: earlier by the margin. */
    long sendUntilMicros(long leaseEndMicros) {
        return leaseEndMicros - timing.marginMicros();
    }

    /** Whether the permission to send has expired. */
    boolean expired(long nowMicros, long untilMicros) {
        return nowMicros >= untilMicros;
    }

    /** Whether an epoch is older than the lowest one that is still valid. */
    boolean isOlderEpoch(long epoch, long minEpoch) {
        return epoch < minEpoch;
    }

    /** Whether a renewal for one revision covers a shard granted with another, given the revision that is applied. */
    boolean covers(long renewedRevision, long grantedRevision, long appliedRevision) {
        return grantedRevision <= renewedRevision && renewedRevision <= appliedRevision;
    }
}
