package lilaclever.placement;

import java.util.ArrayList;
import java.util.List;

/** The controller's state of one process run of a forwarder. */
final class MemberState {
    final MemberId id;
    final long incarnation;
    final int zone;
    final double weight;
    /** Whether the member has asked to hand its shards over. */
    boolean leaving;
    /** Revision of the member's assignment. */
    long revision;
    /** Revision reported as applied by the last heartbeat. */
    long appliedRevision;
    /** Sequence number of the last heartbeat; 0 before the first. */
    long lastSequence;
    /** Safe expiry of the member's lease by the controller's clock. */
    long leaseSafeExpiryMicros;
    /** Maximum number of shards of the member. */
    int capacity;
    /** Shards that the member may send for, including those being revoked. */
    final ShardSet held = new ShardSet();
    /** Shards that the member has or is to get. */
    final ShardSet targeted = new ShardSet();
    /** Number of shards that are in {@link #held} and also in {@link #targeted}. */
    int heldAndTargeted;

    /** Changes of the assignment by the current command. */
    final List<ShardGrant> newlyGranted = new ArrayList<>();

    final List<ShardGrant> newlyRevoked = new ArrayList<>();
    /** Whether the full assignment has to be sent, because the member has registered or missed a change. */
    boolean fullAssignmentDue;
    /** Whether the current command renewed the member's lease. */
    boolean renewalDue;

    MemberState(MemberId id, long incarnation, int zone, double weight) {
        this.id = id;
        this.incarnation = incarnation;
        this.zone = zone;
        this.weight = weight;
    }

    /** Number of shards that the member has, is to get, or still has to release. */
    int occupiedShards() {
        return held.size() + targeted.size() - heldAndTargeted;
    }

    boolean isOverCapacity() {
        return targeted.size() > capacity;
    }
}
