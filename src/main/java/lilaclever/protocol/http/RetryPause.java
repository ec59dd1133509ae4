package lilaclever.protocol.http;

import java.util.SplittableRandom;

/**
 * How long to wait before a server that can't be reached is tried again: each pause is up to twice the one before, up
 * to a bound, and spread at random, so that clients of one server don't come all at once. All times in microseconds.
 * Used from one thread at a time.
 */
final class RetryPause {
    /** The least part of a step that a pause lasts. */
    private static final double LEAST_PART = 0.75;

    private static final int GROWTH = 2;

    private final long firstMicros;
    private final long longestMicros;
    private final SplittableRandom random;
    private long stepMicros;

    /** Pauses that begin with at most {@code firstMicros} and grow up to {@code longestMicros}. */
    RetryPause(long firstMicros, long longestMicros, SplittableRandom random) {
        this.firstMicros = firstMicros;
        this.longestMicros = longestMicros;
        this.random = random;
        this.stepMicros = firstMicros;
    }

    /** The pause after one more failure; above 0 and never above the bound. */
    long next() {
        long step = stepMicros;
        stepMicros = Math.min(longestMicros, step * GROWTH);
        return (long) (step * random.nextDouble(LEAST_PART, 1));
    }

    /** The server has answered, or another one is meant: the next pause is a first one. */
    void reset() {
        stepMicros = firstMicros;
    }
}
