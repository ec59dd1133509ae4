package lilaclever.protocol.http;

import java.util.SplittableRandom;

/**
 * How long to wait before a server that can't be reached is tried again: each pause is up to twice the one before, up
 * to a bound, and spread at random, so that clients of one server don't come all at once. All times in microseconds.
 * Used from one thread at a time.
 */
final class RetryBackoff {
    /** The least part of a step that a pause lasts. */
    private static final double MIN_STEP_FRACTION = 0.75;

    private static final int GROWTH_FACTOR = 2;

    private final long initialMicros;
    private final long maxMicros;
    private final SplittableRandom random;
    private long stepMicros;

    /** Pauses that begin with at most {@code firstMicros} and grow up to {@code longestMicros}. */
    RetryBackoff(long firstMicros, long longestMicros, SplittableRandom random) {
        this.initialMicros = firstMicros;
        this.maxMicros = longestMicros;
        this.random = random;
        this.stepMicros = firstMicros;
    }

    /** The pause after one more failure; above 0 and never above the bound. */
    long nextDelayMicros() {
        long step = stepMicros;
        stepMicros = Math.min(maxMicros, step * GROWTH_FACTOR);
        return (long) (step * random.nextDouble(MIN_STEP_FRACTION, 1));
    }

    /** The server has answered, or another one is meant: the next pause is a first one. */
    void reset() {
        stepMicros = initialMicros;
    }
}
