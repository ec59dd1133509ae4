package lilaclever.protocol.http;

import java.util.SplittableRandom;

/**
 * Randomized exponential backoff before an unreachable server is tried again: delays double up to a limit and are
 * jittered, so that the clients of one server don't retry all at once. All times in microseconds. Used from one thread
 * at a time.
 */
final class RetryPause {
    /** A delay is at least this fraction of the current step. */
    private static final double LEAST_PART = 0.75;

    private static final int GROWTH = 2;

    private final long firstMicros;
    private final long longestMicros;
    private final SplittableRandom random;
    private long stepMicros;

    /** Creates a backoff whose delays start with at most {@code initialMicros} and grow up to {@code maxMicros}. */
    RetryPause(long firstMicros, long longestMicros, SplittableRandom random) {
        this.firstMicros = firstMicros;
        this.longestMicros = longestMicros;
        this.random = random;
        this.stepMicros = firstMicros;
    }

    /** Returns the delay after one more failure; above 0 and never above the limit. */
    long next() {
        long step = stepMicros;
        stepMicros = Math.min(longestMicros, step * GROWTH);
        return (long) (step * random.nextDouble(LEAST_PART, 1));
    }

    /** Starts again with the initial delay, once the server has answered or another server is used. */
    void reset() {
        stepMicros = firstMicros;
    }
}
