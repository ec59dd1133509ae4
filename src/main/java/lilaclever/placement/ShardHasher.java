package lilaclever.placement;

import java.nio.charset.StandardCharsets;
import org.apache.commons.codec.digest.MurmurHash3;

/**
 * Tells a destination's shard. The answer is part of the agreement between all forwarders and controllers: it must stay
 * the same in all versions of the program.
 */
public final class ShardHasher {
    private static final int SEED = 0x5ead1e55;
    private final int shards;

    /**
     * Hasher for so many shards.
     *
     * @throws IllegalArgumentException if the number is not from 1 to {@link ControllerSettings#MAX_SHARDS}
     */
    public ShardHasher(int shards) {
        if (shards < 1 || shards > ControllerSettings.MAX_SHARDS) {
            throw new IllegalArgumentException(
                    "shards must be from 1 to " + ControllerSettings.MAX_SHARDS + ": " + shards);
        }
        this.shards = shards;
    }

    /** Shard of a destination that is known by its number in a region, from 0. */
    public int shardOf(int region, long destination) {
        return toShard(MurmurHash3.hash32(destination, region, SEED));
    }

    /** Shard of a destination that is known by name, from 0. */
    public int shardOf(String destination) {
        byte[] name = destination.getBytes(StandardCharsets.UTF_8);
        return toShard(MurmurHash3.hash32x86(name, 0, name.length, SEED));
    }

    /** Takes the 32 bits of a hash evenly to the shards, without the bias towards low numbers that a remainder has. */
    private int toShard(int hash) {
        return (int) (Integer.toUnsignedLong(hash) * shards >>> Integer.SIZE);
    }
}
