package lilaclever.placement;

/**
 * Holder, target and epoch of each shard. Keeps the shard sets of the members consistent with its entries and makes no
 * decisions.
 */
final class ShardTable {
    private final MemberState[] holders;
    private final MemberState[] targets;
    private final long[] epochs;
    private final boolean[] revoking;
    private int withoutHolder;

    ShardTable(int shards) {
        holders = new MemberState[shards];
        targets = new MemberState[shards];
        epochs = new long[shards];
        revoking = new boolean[shards];
        withoutHolder = shards;
    }

    int size() {
        return holders.length;
    }

    int withoutHolder() {
        return withoutHolder;
    }

    /** The member that may send for the shard; null if certainly none may. */
    MemberState holder(int shard) {
        return holders[shard];
    }

    /** The member that has the shard or is to get it; null if undecided. */
    MemberState target(int shard) {
        return targets[shard];
    }

    /** Epoch of the last grant; 0 before the first. */
    long epoch(int shard) {
        return epochs[shard];
    }

    /** Whether the shard was revoked from its holder, or the holder's process was replaced. */
    boolean isRevoking(int shard) {
        return revoking[shard];
    }

    /** Grants a free shard to a member under the next epoch. */
    ShardGrant grant(int shard, MemberState member) {
        if (holders[shard] != null) {
            throw new IllegalStateException("shard " + shard + " is still held by " + holders[shard].id);
        }
        holders[shard] = member;
        member.held.add(shard);
        if (targets[shard] == member) {
            member.heldAndTargeted++;
        }
        withoutHolder--;
        epochs[shard]++;
        return new ShardGrant(shard, epochs[shard]);
    }

    /** Marks the shard as revoked from its holder. */
    void markRevoking(int shard) {
        revoking[shard] = true;
    }

    /** Removes the holder: no process may send for the shard. */
    void free(int shard) {
        MemberState holder = holders[shard];
        holder.held.remove(shard);
        if (targets[shard] == holder) {
            holder.heldAndTargeted--;
        }
        holders[shard] = null;
        revoking[shard] = false;
        withoutHolder++;
    }

    /** Sets the member that is to have the shard; null leaves it undecided. */
    void setTarget(int shard, MemberState member) {
        MemberState previous = targets[shard];
        if (previous == member) {
            return;
        }
        if (previous != null) {
            previous.targeted.remove(shard);
            if (holders[shard] == previous) {
                previous.heldAndTargeted--;
            }
        }
        targets[shard] = member;
        if (member != null) {
            member.targeted.add(shard);
            if (holders[shard] == member) {
                member.heldAndTargeted++;
            }
        }
    }
}
