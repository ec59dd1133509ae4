package lilaclever.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * The forwarder's side of ownership by lease: tracks which shards one process run of a forwarder may send for. It does
 * no I/O and reads no clock; every {@code nowMicros} is a reading of one monotonic clock of the process.
 *
 * <p>A lease runs from the moment at which the heartbeat that renewed it was sent, and covers the shards of one
 * revision of the assignment. A holder that is cut off therefore stops by itself before the controller grants its
 * shards again. Messages may be lost, duplicated, delayed and reordered. A clock reading that goes backward ends all
 * leases at once, as the time since the heartbeats is then unknown; a backward step hidden between two readings counts
 * as drift.
 *
 * <p>Not thread-safe.
 */
public final class LeaseHolder {
    private final MemberId member;
    private final long incarnation;
    private final LeaseTiming timing;
    private final LeaseGuards guards;
    private final SentHeartbeats heartbeats = new SentHeartbeats();
    private final RenewalHistory renewals;

    private final Map<Integer, AssignedShard> assigned = new HashMap<>();
    /** Lowest epoch that may still be granted, for each shard ever assigned; at most one entry for each shard. */
    private final Map<Integer, Long> minEpochs = new HashMap<>();
    /** Number of calls in flight for each revoked grant; the entry is removed with its last call. */
    private final Map<ShardGrant, Integer> draining = new HashMap<>();
    /** Grants for the next release. */
    private final Set<ShardGrant> pendingReleases = new LinkedHashSet<>();

    private long appliedRevision;
    private long latestReadingMicros = Long.MIN_VALUE;

    /** An assigned shard. */
    private static final class AssignedShard {
        final long epoch;
        final long grantedRevision;
        int callsInFlight;

        AssignedShard(long epoch, long grantedRevision) {
            this.epoch = epoch;
            this.grantedRevision = grantedRevision;
        }
    }

    /**
     * Creates a holder without shards.
     *
     * @param incarnation number of the process run, the one it registers with
     */
    public LeaseHolder(MemberId member, long incarnation, LeaseTiming timing) {
        this(member, incarnation, timing, new LeaseGuards(timing));
    }

    LeaseHolder(MemberId member, long incarnation, LeaseTiming timing, LeaseGuards guards) {
        this.member = member;
        this.incarnation = incarnation;
        this.timing = timing;
        this.guards = guards;
        this.renewals = new RenewalHistory(guards);
    }

    /** Creates the next heartbeat, to be sent now or later; its lease counts from now. */
    public ControllerCommand.Heartbeat heartbeat(long nowMicros) {
        checkClock(nowMicros);
        return new ControllerCommand.Heartbeat(member, incarnation, heartbeats.recordSent(nowMicros), appliedRevision);
    }

    /** Applies a renewal. It never shortens a lease, and never extends one beyond what its heartbeat allows. */
    public HolderResult leaseRenewed(ControllerEvent.LeaseRenewed renewal, long nowMicros) {
        checkClock(nowMicros);
        if (!isForThisProcess(renewal.member(), renewal.incarnation())) {
            return HolderResult.NOT_ADDRESSED;
        }
        long sentMicros = heartbeats.sentAtMicros(renewal.sequence());
        if (sentMicros == SentHeartbeats.UNKNOWN) {
            return HolderResult.UNKNOWN_HEARTBEAT;
        }
        long leaseMicros = Math.min(renewal.leaseMicros(), timing.leaseMicros());
        long endMicros = sentMicros + guards.driftAdjustedMicros(leaseMicros);
        if (guards.expired(nowMicros, guards.sendUntilMicros(endMicros))) {
            return HolderResult.LEASE_EXPIRED;
        }
        renewals.addRenewal(renewal.revision(), endMicros, nowMicros);
        return HolderResult.APPLIED;
    }

    /** Applies a change of the assignment completely or not at all. Revoked shards are stopped on return. */
    public HolderResult assignmentChanged(ControllerEvent.AssignmentChanged change) {
        if (!isForThisProcess(change.member(), change.incarnation())) {
            return HolderResult.NOT_ADDRESSED;
        }
        if (change.full() && change.toRevision() == appliedRevision) {
            change.revoked().forEach(this::revokeAndRelease);
            return HolderResult.REPEATED;
        }
        if (change.toRevision() <= appliedRevision) {
            return HolderResult.STALE_REVISION;
        }
        if (!change.full() && change.fromRevision() != appliedRevision) {
            return HolderResult.REVISION_GAP;
        }
        for (ShardGrant grant : change.granted()) {
            if (guards.isOlderEpoch(grant.epoch(), minEpochs.getOrDefault(grant.shard(), 0L))) {
                return HolderResult.OLDER_EPOCH;
            }
        }
        change.revoked().forEach(this::revokeAndRelease);
        if (change.full()) {
            revokeAllBut(change.granted());
        }
        change.granted().forEach(grant -> grant(grant, change.toRevision()));
        appliedRevision = change.toRevision();
        return HolderResult.APPLIED;
    }

    /** Applies a change of the map: a shard that another member owns under a newer epoch is stopped at once. */
    public HolderResult ownerChanged(MapDelta.OwnerChange change) {
        AssignedShard assignedShard = assigned.get(change.shard());
        boolean ownedByAnother = change.owner() != null && !change.owner().equals(member);
        if (assignedShard == null || !ownedByAnother) {
            return HolderResult.NOT_ADDRESSED;
        }
        if (!guards.isOlderEpoch(assignedShard.epoch, change.epoch())) {
            return HolderResult.OLDER_EPOCH;
        }
        revoke(change.shard(), assignedShard.epoch);
        minEpochs.put(change.shard(), change.epoch() + 1);
        return HolderResult.APPLIED;
    }

    /** Whether the forwarder may send for a shard now, and if so, under which epoch and until when. */
    public SendPermission maySend(int shard, long nowMicros) {
        checkClock(nowMicros);
        AssignedShard assignedShard = assigned.get(shard);
        if (assignedShard == null) {
            return new SendPermission.Refused(SendPermission.Reason.NOT_OWNER);
        }
        long endMicros = renewals.leaseEndMicros(assignedShard.grantedRevision, appliedRevision);
        if (endMicros == RenewalHistory.NOT_COVERED) {
            return new SendPermission.Refused(SendPermission.Reason.NOT_COVERED);
        }
        long untilMicros = guards.sendUntilMicros(endMicros);
        if (guards.expired(nowMicros, untilMicros)) {
            return new SendPermission.Refused(SendPermission.Reason.LEASE_EXPIRED);
        }
        return new SendPermission.Permitted(assignedShard.epoch, untilMicros);
    }

    /**
     * Records the start of a call under a permission that was given before.
     *
     * @return {@code APPLIED} if the call may start; {@code OLDER_EPOCH} if the permission belongs to an earlier grant,
     *         and {@code NOT_PERMITTED} if there is no permission now
     */
    public HolderResult callStarted(int shard, long epoch, long nowMicros) {
        if (!(maySend(shard, nowMicros) instanceof SendPermission.Permitted)) {
            return HolderResult.NOT_PERMITTED;
        }
        AssignedShard assignedShard = assigned.get(shard);
        if (guards.isOlderEpoch(epoch, assignedShard.epoch)) {
            return HolderResult.OLDER_EPOCH;
        }
        assignedShard.callsInFlight++;
        return HolderResult.APPLIED;
    }

    /** Records the end of a call, answered or not. A revoked shard is released with its last call. */
    public HolderResult callFinished(int shard, long epoch) {
        AssignedShard assignedShard = assigned.get(shard);
        if (assignedShard != null && assignedShard.epoch == epoch) {
            if (assignedShard.callsInFlight == 0) {
                return HolderResult.UNKNOWN_CALL;
            }
            assignedShard.callsInFlight--;
            return HolderResult.APPLIED;
        }
        return drainingCallFinished(new ShardGrant(shard, epoch));
    }

    private HolderResult drainingCallFinished(ShardGrant grant) {
        Integer callsInFlight = draining.get(grant);
        if (callsInFlight == null) {
            return HolderResult.UNKNOWN_CALL;
        }
        if (callsInFlight == 1) {
            draining.remove(grant);
            pendingReleases.add(grant);
        } else {
            draining.put(grant, callsInFlight - 1);
        }
        return HolderResult.APPLIED;
    }

    /**
     * The release to send, if any: of shards that are revoked and without a call in flight. To be called after each
     * change of the assignment and each end of a call. If the release is lost, the controller repeats the assignment,
     * which produces another release.
     */
    public Optional<ControllerCommand.Release> takeRelease() {
        if (pendingReleases.isEmpty()) {
            return Optional.empty();
        }
        List<ShardGrant> shards = new ArrayList<>(pendingReleases);
        pendingReleases.clear();
        return Optional.of(new ControllerCommand.Release(member, incarnation, shards));
    }

    /** Applied revision of the assignment; 0 before the first. */
    public long appliedRevision() {
        return appliedRevision;
    }

    /** Number of shards assigned, whether a lease covers them or not. */
    public int assignedShards() {
        return assigned.size();
    }

    /** The shards assigned, whether a lease covers them or not; a copy. */
    public Set<Integer> assignedShardNumbers() {
        return new HashSet<>(assigned.keySet());
    }

    private boolean isForThisProcess(MemberId toMember, long toIncarnation) {
        return member.equals(toMember) && incarnation == toIncarnation;
    }

    private void grant(ShardGrant grant, long revision) {
        AssignedShard assignedShard = assigned.get(grant.shard());
        if (assignedShard != null && assignedShard.epoch == grant.epoch()) {
            return;
        }
        if (assignedShard != null) {
            revoke(grant.shard(), assignedShard.epoch);
        }
        assigned.put(grant.shard(), new AssignedShard(grant.epoch(), revision));
        minEpochs.put(grant.shard(), grant.epoch());
    }

    private void revokeAllBut(List<ShardGrant> granted) {
        Set<Integer> retained = new HashSet<>();
        granted.forEach(grant -> retained.add(grant.shard()));
        Iterator<Map.Entry<Integer, AssignedShard>> shards = assigned.entrySet().iterator();
        while (shards.hasNext()) {
            Map.Entry<Integer, AssignedShard> entry = shards.next();
            if (!retained.contains(entry.getKey())) {
                shards.remove();
                drain(entry.getKey(), entry.getValue());
            }
        }
    }

    /** Stops a grant and releases it, even one that was never received or was already released. */
    private void revokeAndRelease(ShardGrant grant) {
        revoke(grant.shard(), grant.epoch());
        minEpochs.merge(grant.shard(), grant.epoch() + 1, Math::max);
        if (!draining.containsKey(grant)) {
            pendingReleases.add(grant);
        }
    }

    private void revoke(int shard, long epoch) {
        AssignedShard assignedShard = assigned.get(shard);
        if (assignedShard != null && assignedShard.epoch <= epoch) {
            assigned.remove(shard);
            drain(shard, assignedShard);
        }
    }

    private void drain(int shard, AssignedShard assignedShard) {
        minEpochs.merge(shard, assignedShard.epoch + 1, Math::max);
        ShardGrant grant = new ShardGrant(shard, assignedShard.epoch);
        if (assignedShard.callsInFlight == 0) {
            pendingReleases.add(grant);
        } else {
            draining.put(grant, assignedShard.callsInFlight);
        }
    }

    private void checkClock(long nowMicros) {
        if (nowMicros < latestReadingMicros) {
            heartbeats.forget();
            renewals.clear();
        }
        latestReadingMicros = nowMicros;
    }
}
