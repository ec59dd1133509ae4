package lilaclever.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** All versions of the program have to agree on the hash: its values are fixed here. */
class ShardHasherTest {
    private static final int SHARDS = 29_128;

    /** Computed independently from the definition of MurmurHash3_x86_32; numbers are hashed as 16 bytes. */
    @Test
    void valuesStayTheSameInAllVersions() {
        ShardHasher hasher = new ShardHasher(SHARDS);
        assertEquals(19936, hasher.shardOf(0, 0));
        assertEquals(24671, hasher.shardOf(0, 1));
        assertEquals(8098, hasher.shardOf(8, 7_100_000));
        assertEquals(13918, hasher.shardOf(3, -1));
        assertEquals(14549, hasher.shardOf(""));
        assertEquals(9937, hasher.shardOf("clinic-17"));
        assertEquals(14781, hasher.shardOf("Ærø"));
        assertEquals(0, new ShardHasher(1).shardOf("clinic-17"));
    }

    @Test
    void destinationsAreSpreadEvenly() {
        int destinations = 788_889;
        int[] numbered = new int[SHARDS];
        int[] named = new int[SHARDS];
        ShardHasher hasher = new ShardHasher(SHARDS);
        for (int destination = 0; destination < destinations; destination++) {
            numbered[hasher.shardOf(4, destination)]++;
            named[hasher.shardOf("destination-" + destination)]++;
        }
        assertEven(numbered, destinations);
        assertEven(named, destinations);
    }

    /** Chi-squared test over all shards: mean about the number of shards, standard deviation the root of twice that. */
    private static void assertEven(int[] counts, int destinations) {
        double mean = (double) destinations / counts.length;
        double chiSquared = 0;
        for (int count : counts) {
            chiSquared += (count - mean) * (count - mean) / mean;
        }
        double deviation = Math.sqrt(2.0 * counts.length);
        assertEquals(counts.length, chiSquared, 5 * deviation);
    }

    @Test
    void regionsHashIndependently() {
        ShardHasher hasher = new ShardHasher(SHARDS);
        int same = 0;
        for (int destination = 0; destination < 1000; destination++) {
            if (hasher.shardOf(1, destination) == hasher.shardOf(2, destination)) {
                same++;
            }
        }
        assertTrue(same < 10, "same shard in both regions: " + same);
    }

    @Test
    void numberOfShardsIsBounded() {
        assertThrows(IllegalArgumentException.class, () -> new ShardHasher(0));
        assertThrows(IllegalArgumentException.class, () -> new ShardHasher(ControllerSettings.MAX_SHARDS + 1));
    }
}
