package lilaclever.simulation.fleet;

import lilaclever.placement.ShardHasher;
import org.apache.commons.rng.UniformRandomProvider;

/** Number of destinations in each shard of a region, and how many of those are down. */
final class DestinationCounts {
    private final int[] total;
    private final int[] down;

    DestinationCounts(int region, int shards, int destinations, double downShare, UniformRandomProvider random) {
        total = new int[shards];
        down = new int[shards];
        ShardHasher hasher = new ShardHasher(shards);
        for (int destination = 0; destination < destinations; destination++) {
            int shard = hasher.shardOf(region, destination);
            total[shard]++;
            if (random.nextDouble() < downShare) {
                down[shard]++;
            }
        }
    }

    int of(int shard) {
        return total[shard];
    }

    int downOf(int shard) {
        return down[shard];
    }
}
