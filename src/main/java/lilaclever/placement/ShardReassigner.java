package lilaclever.placement;

import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Queue;
import java.util.Set;

/**
 * Carries out the assignment of shards at a limited rate: first shards without a holder, then those of leaving members,
 * then those of members over their capacity, then moves to members that joined. A held shard is revoked first and
 * granted again only after its release or the safe expiry of its lease.
 */
final class ShardReassigner {
    private final ShardTable table;
    private final ShardAssignment assignment;
    private final ControllerOutput output;
    private final ReassignmentRateLimiter rateLimiter;
    private final Queue<Integer> unassignedShards = new ArrayDeque<>();
    private final Set<MemberState> leaving = new LinkedHashSet<>();
    private final Queue<MemberState> membersOverCapacity = new ArrayDeque<>();
    private final Queue<Integer> plannedMoves = new ArrayDeque<>();
    private final PriorityQueue<Revocation> revocations = new PriorityQueue<>(Revocation.EARLIEST_FIRST);

    ShardReassigner(
            ShardTable table,
            ShardAssignment assignment,
            ControllerOutput output,
            ReassignmentRateLimiter rateLimiter) {
        this.table = table;
        this.assignment = assignment;
        this.output = output;
        this.rateLimiter = rateLimiter;
        for (int shard = 0; shard < table.size(); shard++) {
            unassignedShards.add(shard);
        }
    }

    /** Adds a member and plans the moves of the shards for which it ranks first. */
    void join(MemberState member) {
        assignment.add(member);
        for (int shard : assignment.claimFor(member)) {
            plannedMoves.add(shard);
        }
        updateMembersOverCapacity();
    }

    /** Transfers the targets of a replaced process to its successor, which has the same weight. */
    void replaceProcess(MemberState member, MemberState successor) {
        assignment.remove(Set.of(member));
        for (int shard : member.targeted.toArray()) {
            table.setTarget(shard, successor);
        }
        leaving.remove(member);
        assignment.add(successor);
        updateMembersOverCapacity();
    }

    /** Starts handing over the shards of a leaving member. */
    void leave(MemberState member) {
        assignment.remove(Set.of(member));
        leaving.add(member);
        updateMembersOverCapacity();
    }

    /** Removes members; shards that were to move to one stay with their holder where possible, or need a new target. */
    void removeMembers(Set<MemberState> members) {
        assignment.remove(members);
        leaving.removeAll(members);
        for (MemberState member : members) {
            for (int shard : member.targeted.toArray()) {
                table.setTarget(shard, canStay(shard, member) ? table.holder(shard) : null);
            }
        }
        updateMembersOverCapacity();
    }

    Set<MemberState> leavingMembers() {
        return leaving;
    }

    /** Frees a shard that no process may send for any more, and grants it to its target if it has one. */
    void free(int shard) {
        table.free(shard);
        output.addFreedShard(shard);
        MemberState target = table.target(shard);
        if (target != null && !target.leaving) {
            grant(shard, target);
        } else {
            table.setTarget(shard, null);
            unassignedShards.add(shard);
        }
    }

    /** Stops renewals for the shard; it is free at the safe expiry of the holder's lease at the latest. */
    void startRevocation(int shard) {
        MemberState holder = table.holder(shard);
        table.markRevoking(shard);
        revocations.add(new Revocation(holder.leaseSafeExpiryMicros, shard, table.epoch(shard)));
    }

    /** Frees the revoked shards that reached the safe expiry of their last lease without a release. */
    void freeExpiredRevocations(long nowMicros) {
        while (!revocations.isEmpty() && revocations.peek().freeAtMicros() <= nowMicros) {
            Revocation revocation = revocations.poll();
            if (isPending(revocation)) {
                free(revocation.shard());
            }
        }
    }

    /** Postpones the safe expiry of all revoked shards to the given time, unless it is later already. */
    void postponeRevocations(long safeExpiryMicros) {
        List<Revocation> pendingRevocations =
                revocations.stream().filter(this::isPending).toList();
        revocations.clear();
        for (Revocation revocation : pendingRevocations) {
            long freeAtMicros = Math.max(revocation.freeAtMicros(), safeExpiryMicros);
            revocations.add(new Revocation(freeAtMicros, revocation.shard(), revocation.epoch()));
        }
    }

    /** Continues the pending reassignments as far as the rate limit allows. */
    void reassign(long nowMicros) {
        rateLimiter.refill(nowMicros);
        if (!rateLimiter.isReady(pending())) {
            return;
        }
        placeUnassignedShards();
        leaving.forEach(this::moveAllFrom);
        reduceMembersOverCapacity();
        startPlannedMoves();
    }

    /** Time at which {@link #freeExpiredRevocations} or {@link #reassign} is due; Long.MAX_VALUE if never. */
    long nextDueMicros() {
        long dueMicros =
                revocations.isEmpty() ? Long.MAX_VALUE : revocations.peek().freeAtMicros();
        long pending = pending();
        return pending == 0 ? dueMicros : Math.min(dueMicros, rateLimiter.readyAtMicros(pending));
    }

    private long pending() {
        long pending = plannedMoves.size() + membersOverCapacity.size();
        if (assignment.hasMembers()) {
            pending += unassignedShards.size();
        }
        for (MemberState member : leaving) {
            pending += member.targeted.size();
        }
        return pending;
    }

    private void placeUnassignedShards() {
        while (!unassignedShards.isEmpty() && assignment.hasMembers() && rateLimiter.tryTake()) {
            int shard = unassignedShards.remove();
            MemberState member = assignment.chooseMember(shard);
            table.setTarget(shard, member);
            grant(shard, member);
        }
    }

    private void moveAllFrom(MemberState member) {
        while (!member.targeted.isEmpty() && moveAway(member.targeted.get(0), member)) {
            continue;
        }
    }

    private void reduceMembersOverCapacity() {
        while (!membersOverCapacity.isEmpty()) {
            MemberState member = membersOverCapacity.peek();
            while (!member.leaving && member.isOverCapacity()) {
                if (!moveAway(assignment.lowestDrawShard(member), member)) {
                    return;
                }
            }
            membersOverCapacity.remove();
        }
    }

    /** Gives a shard another target; false if the rate limit does not allow revoking it now. */
    private boolean moveAway(int shard, MemberState member) {
        boolean granted = table.holder(shard) == member && !table.isRevoking(shard);
        if (granted && !rateLimiter.tryTake()) {
            return false;
        }
        table.setTarget(shard, canStay(shard, member) ? table.holder(shard) : assignment.chooseMember(shard));
        if (granted) {
            revoke(shard);
        }
        return true;
    }

    /** Whether a shard that was to move to the given member can stay with its holder, as it is not revoked yet. */
    private boolean canStay(int shard, MemberState target) {
        MemberState holder = table.holder(shard);
        return holder != null
                && holder != target
                && !table.isRevoking(shard)
                && !holder.leaving
                && holder.targeted.size() < holder.capacity;
    }

    private void startPlannedMoves() {
        while (!plannedMoves.isEmpty()) {
            int shard = plannedMoves.peek();
            MemberState holder = table.holder(shard);
            boolean needsRevocation = holder != null && !table.isRevoking(shard) && table.target(shard) != holder;
            if (needsRevocation && !rateLimiter.tryTake()) {
                return;
            }
            if (needsRevocation) {
                revoke(shard);
            }
            plannedMoves.remove();
        }
    }

    private void grant(int shard, MemberState member) {
        output.addGrant(member, table.grant(shard, member));
    }

    private void revoke(int shard) {
        startRevocation(shard);
        output.addRevocation(table.holder(shard), new ShardGrant(shard, table.epoch(shard)));
    }

    private void updateMembersOverCapacity() {
        membersOverCapacity.clear();
        membersOverCapacity.addAll(assignment.membersOverCapacity());
    }

    private boolean isPending(Revocation revocation) {
        int shard = revocation.shard();
        return table.holder(shard) != null && table.epoch(shard) == revocation.epoch();
    }

    private record Revocation(long freeAtMicros, int shard, long epoch) {
        static final Comparator<Revocation> EARLIEST_FIRST = Comparator.comparingLong(Revocation::freeAtMicros)
                .thenComparingInt(Revocation::shard)
                .thenComparingLong(Revocation::epoch);
    }
}
