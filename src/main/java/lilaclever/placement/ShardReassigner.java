package lilaclever.placement;

import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Queue;
import java.util.Set;

/**
 * Carries out who is to have which shard, at a bounded pace: first the shards that nobody has, then those of members
 * that leave, then those of members over their capacity, then moves to members that joined. A shard that somebody has
 * is revoked first and granted anew only when it was released or when the lease on it has surely ended.
 */
final class ShardReassigner {
    private final ShardTable table;
    private final ShardAssignment assignment;
    private final ControllerOutput output;
    private final ReassignmentPacer pacer;
    private final Queue<Integer> orphans = new ArrayDeque<>();
    private final Set<MemberState> leaving = new LinkedHashSet<>();
    private final Queue<MemberState> overCapacity = new ArrayDeque<>();
    private final Queue<Integer> moves = new ArrayDeque<>();
    private final PriorityQueue<Revocation> revocations = new PriorityQueue<>(Revocation.EARLIEST_FIRST);

    ShardReassigner(ShardTable table, ShardAssignment assignment, ControllerOutput output, ReassignmentPacer pacer) {
        this.table = table;
        this.assignment = assignment;
        this.output = output;
        this.pacer = pacer;
        for (int shard = 0; shard < table.size(); shard++) {
            orphans.add(shard);
        }
    }

    /** A member takes part from now on; the shards for which it comes first are to move to it. */
    void join(MemberState member) {
        assignment.add(member);
        for (int shard : assignment.claimFor(member)) {
            moves.add(shard);
        }
        noteMembersOverCapacity();
    }

    /** The process of a member was replaced: what it was to have is for its successor, which has the same weight. */
    void succeed(MemberState member, MemberState successor) {
        assignment.remove(Set.of(member));
        for (int shard : member.targeted.toArray()) {
            table.setTarget(shard, successor);
        }
        leaving.remove(member);
        assignment.add(successor);
        noteMembersOverCapacity();
    }

    /** A member's shards are to be handed over. */
    void leave(MemberState member) {
        assignment.remove(Set.of(member));
        leaving.add(member);
        noteMembersOverCapacity();
    }

    /** Members have gone: nothing is to be given to them any more. */
    void depart(Set<MemberState> members) {
        assignment.remove(members);
        leaving.removeAll(members);
        for (MemberState member : members) {
            for (int shard : member.targeted.toArray()) {
                table.setTarget(shard, mayKeep(shard, member) ? table.holder(shard) : null);
            }
        }
        noteMembersOverCapacity();
    }

    Set<MemberState> leavingMembers() {
        return leaving;
    }

    /** Nobody may send for a shard any more: it goes to the member that was waiting for it, if there is one. */
    void free(int shard) {
        table.free(shard);
        output.freed(shard);
        MemberState target = table.target(shard);
        if (target != null && !target.leaving) {
            grant(shard, target);
        } else {
            table.setTarget(shard, null);
            orphans.add(shard);
        }
    }

    /**
     * The shard's holder gets no renewal for it any more; it is free at the end of the holder's lease at the
     * latest.
     */
    void endAtLeaseEnd(int shard) {
        MemberState holder = table.holder(shard);
        table.startRevoking(shard);
        revocations.add(new Revocation(holder.leaseSureEndMicros, shard, table.epoch(shard)));
    }

    /** Frees the revoked shards whose last lease has surely ended without a release. */
    void freeEndedRevocations(long nowMicros) {
        while (!revocations.isEmpty() && revocations.peek().freeAtMicros() <= nowMicros) {
            Revocation revocation = revocations.poll();
            if (isOpen(revocation)) {
                free(revocation.shard());
            }
        }
    }

    /** Puts the end of all leases that cover revoked shards off to a time, if they end before it. */
    void prolongRevocations(long sureEndMicros) {
        List<Revocation> open = revocations.stream().filter(this::isOpen).toList();
        revocations.clear();
        for (Revocation revocation : open) {
            long freeAt = Math.max(revocation.freeAtMicros(), sureEndMicros);
            revocations.add(new Revocation(freeAt, revocation.shard(), revocation.epoch()));
        }
    }

    /** Goes on with the pending reassignments as far as the pace allows. */
    void reassign(long nowMicros) {
        pacer.refill(nowMicros);
        if (!pacer.ready(pending())) {
            return;
        }
        placeOrphans();
        leaving.forEach(this::moveAllFrom);
        relieveMembers();
        startMoves();
    }

    /** When {@link #freeEndedRevocations} or {@link #reassign} has something to do; Long.MAX_VALUE if never. */
    long nextDueMicros() {
        long due = revocations.isEmpty() ? Long.MAX_VALUE : revocations.peek().freeAtMicros();
        long pending = pending();
        return pending == 0 ? due : Math.min(due, pacer.readyAtMicros(pending));
    }

    private long pending() {
        long pending = moves.size() + overCapacity.size();
        if (assignment.hasMembers()) {
            pending += orphans.size();
        }
        for (MemberState member : leaving) {
            pending += member.targeted.size();
        }
        return pending;
    }

    private void placeOrphans() {
        while (!orphans.isEmpty() && assignment.hasMembers() && pacer.take()) {
            int shard = orphans.remove();
            MemberState member = assignment.choose(shard);
            table.setTarget(shard, member);
            grant(shard, member);
        }
    }

    private void moveAllFrom(MemberState member) {
        while (!member.targeted.isEmpty() && moveAway(member.targeted.get(0), member)) {
            continue;
        }
    }

    private void relieveMembers() {
        while (!overCapacity.isEmpty()) {
            MemberState member = overCapacity.peek();
            while (!member.leaving && member.overCapacity()) {
                if (!moveAway(assignment.weakestShard(member), member)) {
                    return;
                }
            }
            overCapacity.remove();
        }
    }

    /** Gives a shard another target; false if the pace does not allow to revoke it now. */
    private boolean moveAway(int shard, MemberState member) {
        boolean granted = table.holder(shard) == member && !table.revoking(shard);
        if (granted && !pacer.take()) {
            return false;
        }
        table.setTarget(shard, mayKeep(shard, member) ? table.holder(shard) : assignment.choose(shard));
        if (granted) {
            revoke(shard);
        }
        return true;
    }

    /** Whether a shard that was to move to the given member can stay where it is, as it was not revoked yet. */
    private boolean mayKeep(int shard, MemberState target) {
        MemberState holder = table.holder(shard);
        return holder != null
                && holder != target
                && !table.revoking(shard)
                && !holder.leaving
                && holder.targeted.size() < holder.capacity;
    }

    private void startMoves() {
        while (!moves.isEmpty()) {
            int shard = moves.peek();
            MemberState holder = table.holder(shard);
            boolean open = holder != null && !table.revoking(shard) && table.target(shard) != holder;
            if (open && !pacer.take()) {
                return;
            }
            if (open) {
                revoke(shard);
            }
            moves.remove();
        }
    }

    private void grant(int shard, MemberState member) {
        output.granted(member, table.grant(shard, member));
    }

    private void revoke(int shard) {
        endAtLeaseEnd(shard);
        output.revoked(table.holder(shard), new ShardGrant(shard, table.epoch(shard)));
    }

    private void noteMembersOverCapacity() {
        overCapacity.clear();
        overCapacity.addAll(assignment.membersOverCapacity());
    }

    private boolean isOpen(Revocation revocation) {
        int shard = revocation.shard();
        return table.holder(shard) != null && table.epoch(shard) == revocation.epoch();
    }

    private record Revocation(long freeAtMicros, int shard, long epoch) {
        static final Comparator<Revocation> EARLIEST_FIRST = Comparator.comparingLong(Revocation::freeAtMicros)
                .thenComparingInt(Revocation::shard)
                .thenComparingLong(Revocation::epoch);
    }
}
