package lilaclever.placement;

/**
 * The conditions that keep two members from sending for one shard, each in one place. Tests replace one at a time by a
 * faulty one and require that the checker notices.
 */
class LeaseGuards {
    private final LeaseTiming timing;

    LeaseGuards(LeaseTiming timing) {
        this.timing = timing;
    }

    /** Length of a lease by the holder's clock, shortened by what that clock may be slower than the controller's. */
    long driftAdjustedMicros(long leaseMicros) {
        return (long) (leaseMicros * (1 - timing.maxDrift()));
    }

    /** End of sending, given the end of the lease: earlier by the margin. */
    long sendUntilMicros(long leaseEndMicros) {
        return leaseEndMicros - timing.marginMicros();
    }

    /** Whether the time to send is over. */
    boolean expired(long nowMicros, long untilMicros) {
        return nowMicros >= untilMicros;
    }

    /** Whether an epoch is older than the least one that may still be used. */
    boolean isOlderEpoch(long epoch, long minEpoch) {
        return epoch < minEpoch;
    }

    /** Whether a renewal for one revision covers a shard that came with another, while a third one is applied. */
    boolean covers(long renewedRevision, long grantedRevision, long appliedRevision) {
        return grantedRevision <= renewedRevision && renewedRevision <= appliedRevision;
    }
}
