package lilaclever.placement;

import java.nio.charset.StandardCharsets;
import org.apache.commons.codec.digest.MurmurHash3;

/**
 * Maps a destination to its shard. All forwarders and controllers have to agree on the result: it must stay the same in
 * all versions of the program.
 */
public final class ShardHasher {
    private static final int SEED = 0x5ead1e55;
    private final int shards;

    /**
     * Creates a hasher for the given number of shards.
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

    /** Shard, from 0, of a destination identified by its number in a region. */
    public int shardOf(int region, long destination) {
        return toShard(MurmurHash3.hash32(destination, region, SEED));
    }

    /** Shard, from 0, of a destination identified by its name. */
    public int shardOf(String destination) {
        byte[] name = destination.getBytes(StandardCharsets.UTF_8);
        return toShard(MurmurHash3.hash32x86(name, 0, name.length, SEED));
    }

    /** Maps a 32-bit hash evenly to the shards, without the bias of a remainder towards low numbers. */
    private int toShard(int hash) {
        return (int) (Integer.toUnsignedLong(hash) * shards >>> Integer.SIZE);
    }
}
