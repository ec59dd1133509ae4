package lilaclever.placement;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/**
 * Decides which member is to have a shard: the first in the shard's rendezvous order with free capacity (rendezvous
 * hashing with bounded loads). A member's capacity is its share by weight times the load bound, rounded down, but never
 * less than its share rounded up; the capacities therefore always suffice for all shards, and a zone's load is bounded
 * as the load of its members is.
 */
final class ShardAssignment {
    private final ControllerSettings settings;
    private final ShardTable table;
    private final RendezvousRanking ranking;
    /** Members that are not leaving, in order of their numbers. */
    private final List<MemberState> active = new ArrayList<>();

    ShardAssignment(ControllerSettings settings, ShardTable table) {
        this.settings = settings;
        this.table = table;
        this.ranking = new RendezvousRanking(settings.region());
    }

    boolean hasMembers() {
        return !active.isEmpty();
    }

    /** Adds a member and updates all capacities. */
    void add(MemberState member) {
        active.add(member);
        active.sort(Comparator.comparing(other -> other.id));
        updateCapacities();
    }

    /** Stops assigning shards to the given members and updates all capacities. */
    void remove(Collection<MemberState> members) {
        if (active.removeIf(members::contains)) {
            members.forEach(member -> member.capacity = 0);
            updateCapacities();
        }
    }

    /** Members whose targeted shards exceed their capacity. */
    List<MemberState> membersOverCapacity() {
        return active.stream().filter(MemberState::isOverCapacity).toList();
    }

    /** The new target for a shard that its current target can't keep; null if there is no other member. */
    MemberState chooseMember(int shard) {
        MemberState current = table.target(shard);
        MemberState chosen =
                ranking.first(shard, member -> member != current && member.occupiedShards() < member.capacity);
        if (chosen == null) {
            // Shards awaiting release may fill every member; then only the targeted shards count.
            chosen = ranking.first(shard, member -> member != current && member.targeted.size() < member.capacity);
        }
        return chosen;
    }

    /**
     * Makes a member the target of the shards for which it ranks before their current target, up to its capacity.
     *
     * @return the shards in ascending order
     */
    int[] claimFor(MemberState member) {
        List<Claim> claims = new ArrayList<>();
        for (int shard = 0; shard < table.size(); shard++) {
            MemberState target = table.target(shard);
            if (target != null && target != member && ranking.precedes(shard, member, target)) {
                claims.add(new Claim(shard, ranking.draw(shard, member)));
            }
        }
        int freeCapacity = Math.max(0, member.capacity - member.occupiedShards());
        int[] claimed = claims.stream()
                .sorted(Claim.HIGHEST_DRAW_FIRST)
                .limit(freeCapacity)
                .mapToInt(Claim::shard)
                .sorted()
                .toArray();
        for (int shard : claimed) {
            table.setTarget(shard, member);
        }
        return claimed;
    }

    /** The shard with the lowest draw among those targeted to a member. */
    int lowestDrawShard(MemberState member) {
        int lowest = member.targeted.get(0);
        long lowestDraw = ranking.draw(lowest, member);
        for (int i = 1; i < member.targeted.size(); i++) {
            int shard = member.targeted.get(i);
            long draw = ranking.draw(shard, member);
            if (draw < lowestDraw) {
                lowest = shard;
                lowestDraw = draw;
            }
        }
        return lowest;
    }

    private void updateCapacities() {
        ranking.setMembers(active);
        double totalWeight = 0;
        for (MemberState member : active) {
            totalWeight += member.weight;
        }
        for (MemberState member : active) {
            double share = settings.shards() * (member.weight / totalWeight);
            member.capacity = (int) Math.max(Math.ceil(share), Math.floor(settings.loadBound() * share));
        }
    }

    private record Claim(int shard, long draw) {
        static final Comparator<Claim> HIGHEST_DRAW_FIRST =
                Comparator.comparingLong(Claim::draw).reversed().thenComparingInt(Claim::shard);
    }
}
