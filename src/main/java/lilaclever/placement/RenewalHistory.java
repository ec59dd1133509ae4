package lilaclever.placement;

import java.util.Map;
import java.util.TreeMap;

/**
 * End of the renewed lease for each revision of the assignment. Holds at most {@value #CAPACITY} revisions; evicting
 * the oldest can only end a lease early.
 */
final class RenewalHistory {
    static final int CAPACITY = 8;
    /** Result of {@link #leaseEndMicros} if no renewal covers the shard. */
    static final long NOT_COVERED = Long.MIN_VALUE;

    private final LeaseGuards guards;
    private final TreeMap<Long, Long> endMicrosByRevision = new TreeMap<>();

    RenewalHistory(LeaseGuards guards) {
        this.guards = guards;
    }

    /** Extends the lease of the assignment at a revision to the given end; never shortens it. */
    void addRenewal(long revision, long endMicros, long nowMicros) {
        endMicrosByRevision.values().removeIf(end -> end <= nowMicros);
        endMicrosByRevision.merge(revision, endMicros, Math::max);
        if (endMicrosByRevision.size() > CAPACITY) {
            endMicrosByRevision.pollFirstEntry();
        }
    }

    /** Latest end of a lease that covers a shard, given the revisions at which it was granted and that is applied. */
    long leaseEndMicros(long grantedRevision, long appliedRevision) {
        long latest = NOT_COVERED;
        for (Map.Entry<Long, Long> renewal : endMicrosByRevision.entrySet()) {
            if (guards.covers(renewal.getKey(), grantedRevision, appliedRevision)) {
                latest = Math.max(latest, renewal.getValue());
            }
        }
        return latest;
    }

    /** Discards all renewals: no shard is leased. */
    void clear() {
        endMicrosByRevision.clear();
    }
}
