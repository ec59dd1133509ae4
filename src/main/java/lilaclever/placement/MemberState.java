package lilaclever.placement;

import java.util.ArrayList;
import java.util.List;

/** What the controller knows of one life of a forwarder's process. */
final class MemberState {
    final MemberId id;
    final long incarnation;
    final int zone;
    final double weight;
    /** The member has asked to hand its shards over. */
    boolean leaving;
    /** Revision of its assignment. */
    long revision;
    /** Revision that it had applied by its last heartbeat. */
    long appliedRevision;
    /** Its last heartbeat; 0 before the first. */
    long lastSequence;
    /** When its lease has surely ended, by the controller's clock, microseconds. */
    long leaseSafeExpiryMicros;
    /** Most shards that it may have. */
    int capacity;
    /** Shards that it may send for, also those that are being revoked. */
    final ShardSet held = new ShardSet();
    /** Shards that it has or is to get. */
    final ShardSet targeted = new ShardSet();
    /** How many shards are in both sets. */
    int heldAndTargeted;

    /** Changes of its assignment in the command under way. */
    final List<ShardGrant> newlyGranted = new ArrayList<>();

    final List<ShardGrant> newlyRevoked = new ArrayList<>();
    /** It has to be sent its whole assignment, because it has registered or missed a change. */
    boolean fullAssignmentDue;
    /** Its lease has been renewed by the command under way. */
    boolean renewalDue;

    MemberState(MemberId id, long incarnation, int zone, double weight) {
        this.id = id;
        this.incarnation = incarnation;
        this.zone = zone;
        this.weight = weight;
    }

    /** Shards that it has or is to get, with those that it still has to give back. */
    int occupiedShards() {
        return held.size() + targeted.size() - heldAndTargeted;
    }

    boolean isOverCapacity() {
        return targeted.size() > capacity;
    }
}
