package lilaclever.lab.model;

import java.nio.charset.StandardCharsets;
import java.util.zip.CRC32C;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Random numbers from a named stream of a seed. Each part of the world draws from a stream of its own, so that one
 * part's change does not move what the others draw.
 */
public final class RandomStream {
    private final UniformRandomProvider random;
    private final ZigguratSampler.Exponential exponential;
    private final ZigguratSampler.NormalizedGaussian gaussian;

    /** The stream of that name. */
    public RandomStream(long seed, String name) {
        CRC32C sum = new CRC32C();
        sum.update(name.getBytes(StandardCharsets.UTF_8));
        // SplitMix spreads neighbouring seeds; the generator then has the whole state from it.
        long mixed = RandomSource.SPLIT_MIX_64
                .create(seed ^ sum.getValue() << 32 ^ name.hashCode())
                .nextLong();
        random = RandomSource.XO_RO_SHI_RO_128_PP.create(mixed);
        exponential = ZigguratSampler.Exponential.of(random);
        gaussian = ZigguratSampler.NormalizedGaussian.of(random);
    }

    /** From 0 to under 1. */
    public double unit() {
        return random.nextDouble();
    }

    /** True with that probability. */
    public boolean chance(double probability) {
        return random.nextDouble() < probability;
    }

    /** From 0 to under the bound. */
    public int below(int bound) {
        return random.nextInt(bound);
    }

    /** Between two numbers, evenly. */
    public double between(double least, double most) {
        return least + (most - least) * random.nextDouble();
    }

    /** Between the two numbers of a range, evenly. */
    public double in(double[] range) {
        return between(range[0], range[1]);
    }

    /** Between the two times of a range, evenly, microseconds. */
    public long in(long[] range) {
        return range[0] + (long) ((range[1] - range[0]) * random.nextDouble());
    }

    /** Exponential with that mean. */
    public double exponential(double mean) {
        return mean * exponential.sample();
    }

    /** Lognormal with mean 1 and that coefficient of variation. */
    public double lognormal(double cv) {
        double variance = Math.log1p(cv * cv);
        return Math.exp(Math.sqrt(variance) * gaussian.sample() - variance / 2);
    }
}
