package lilaclever.placement;

/**
 * Who holds each shard, who is to hold it, and under which epoch. Pure book-keeping: the sets of the members follow the
 * entries of the shards.
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

    /** Who may send for the shard; null if surely nobody. */
    MemberState holder(int shard) {
        return holders[shard];
    }

    /** Who has the shard or is to get it; null if that is not decided. */
    MemberState target(int shard) {
        return targets[shard];
    }

    /** Epoch of the last grant; 0 before the first. */
    long epoch(int shard) {
        return epochs[shard];
    }

    /** Whether the holder has been told to give the shard back, or its process has been replaced. */
    boolean isRevoking(int shard) {
        return revoking[shard];
    }

    /** Gives a free shard to a member under the next epoch. */
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

    /** Notes that the holder has to give the shard back. */
    void startRevoking(int shard) {
        revoking[shard] = true;
    }

    /** Notes that nobody may send for the shard. */
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

    /** Decides who is to have the shard; null leaves it open. */
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
