package lilaclever.placement;

import java.util.Map;
import java.util.TreeMap;

/**
 * Until when the lease was renewed, by revision of the assignment. Holds {@value #CAPACITY} revisions at most; the
 * oldest gives way, which can only end a lease early.
 */
final class RenewalHistory {
    static final int CAPACITY = 8;
    /** What {@link #leaseEndMicros} gives where no renewal covers the shard. */
    static final long NOT_COVERED = Long.MIN_VALUE;

    private final LeaseGuards guards;
    private final TreeMap<Long, Long> endMicrosByRevision = new TreeMap<>();

    RenewalHistory(LeaseGuards guards) {
        this.guards = guards;
    }

    /** Notes that the assignment at a revision is leased until the given end, if that is later than what was known. */
    void addRenewal(long revision, long endMicros, long nowMicros) {
        endMicrosByRevision.values().removeIf(end -> end <= nowMicros);
        endMicrosByRevision.merge(revision, endMicros, Math::max);
        if (endMicrosByRevision.size() > CAPACITY) {
            endMicrosByRevision.pollFirstEntry();
        }
    }

    /** The latest end of a lease that covers a shard granted with one revision while another one is applied. */
    long leaseEndMicros(long grantedRevision, long appliedRevision) {
        long latest = NOT_COVERED;
        for (Map.Entry<Long, Long> renewal : endMicrosByRevision.entrySet()) {
            if (guards.covers(renewal.getKey(), grantedRevision, appliedRevision)) {
                latest = Math.max(latest, renewal.getValue());
            }
        }
        return latest;
    }

    /** Forgets all renewals: nothing is leased. */
    void clear() {
        endMicrosByRevision.clear();
    }
}
