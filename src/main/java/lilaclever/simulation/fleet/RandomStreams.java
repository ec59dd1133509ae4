package lilaclever.simulation.fleet;

import java.nio.charset.StandardCharsets;
import java.util.zip.CRC32C;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Named streams of random numbers from one seed, so that a change of one part does not change the numbers drawn by the
 * others.
 */
final class RandomStreams {
    private final long seed;

    RandomStreams(long seed) {
        this.seed = seed;
    }

    UniformRandomProvider stream(String name) {
        CRC32C sum = new CRC32C();
        sum.update(name.getBytes(StandardCharsets.UTF_8));
        long mixed = RandomSource.SPLIT_MIX_64
                .create(seed ^ sum.getValue() << Integer.SIZE)
                .nextLong();
        return RandomSource.XO_RO_SHI_RO_128_PP.create(mixed);
    }
}
