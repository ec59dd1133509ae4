package lilaclever.simulation.model;

import java.nio.charset.StandardCharsets;
import java.util.zip.CRC32C;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Random numbers from a named stream of a seed. Each part of a simulation draws from its own stream, so that a change
 * of one part does not change the numbers drawn by the others.
 */
public final class RandomStream {
    private final UniformRandomProvider random;
    private final ZigguratSampler.Exponential exponential;
    private final ZigguratSampler.NormalizedGaussian gaussian;

    /** Creates the stream of the given name; the name is a part of the seed. */
    public RandomStream(long seed, String name) {
        CRC32C sum = new CRC32C();
        sum.update(name.getBytes(StandardCharsets.UTF_8));
        // SplitMix decorrelates neighbouring seeds; its output seeds the whole state of the generator.
        long mixed = RandomSource.SPLIT_MIX_64
                .create(seed ^ sum.getValue() << 32 ^ name.hashCode())
                .nextLong();
        random = RandomSource.XO_RO_SHI_RO_128_PP.create(mixed);
        exponential = ZigguratSampler.Exponential.of(random);
        gaussian = ZigguratSampler.NormalizedGaussian.of(random);
    }

    /** Uniform in [0, 1). */
    public double unit() {
        return random.nextDouble();
    }

    /** True with the given probability. */
    public boolean chance(double probability) {
        return random.nextDouble() < probability;
    }

    /** Uniform integer in [0, bound). */
    public int below(int bound) {
        return random.nextInt(bound);
    }

    /** Uniform between two numbers. */
    public double between(double least, double most) {
        return least + (most - least) * random.nextDouble();
    }

    /** Uniform between the two numbers of a range. */
    public double in(double[] range) {
        return between(range[0], range[1]);
    }

    /** Uniform between the two times of a range, microseconds. */
    public long in(long[] range) {
        return range[0] + (long) ((range[1] - range[0]) * random.nextDouble());
    }

    /** Exponential with the given mean. */
    public double exponential(double mean) {
        return mean * exponential.sample();
    }

    /** Lognormal with mean 1 and the given coefficient of variation. */
    public double lognormal(double cv) {
        double variance = Math.log1p(cv * cv);
        return Math.exp(Math.sqrt(variance) * gaussian.sample() - variance / 2);
    }
}
