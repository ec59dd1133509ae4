package lilaclever.protocol.http;

import java.util.SplittableRandom;

/**
 * Randomized exponential backoff before an unreachable server is tried again: delays double up to a limit and are
 * jittered, so that the clients of one server don't retry all at once. All times in microseconds. Used from one thread
 * at a time.
 */
final class RetryBackoff {
    /** A delay is at least this fraction of the current step. */
    private static final double MIN_STEP_FRACTION = 0.75;

    private static final int GROWTH_FACTOR = 2;

    private final long initialMicros;
    private final long maxMicros;
    private final SplittableRandom random;
    private long stepMicros;

    /** Creates a backoff whose delays start with at most {@code initialMicros} and grow up to {@code maxMicros}. */
    RetryBackoff(long initialMicros, long maxMicros, SplittableRandom random) {
        this.initialMicros = initialMicros;
        this.maxMicros = maxMicros;
        this.random = random;
        this.stepMicros = initialMicros;
    }

    /** Returns the delay after one more failure; above 0 and never above the limit. */
    long nextDelayMicros() {
        long currentStepMicros = stepMicros;
        stepMicros = Math.min(maxMicros, currentStepMicros * GROWTH_FACTOR);
        return (long) (currentStepMicros * random.nextDouble(MIN_STEP_FRACTION, 1));
    }

    /** Starts again with the initial delay, once the server has answered or another server is used. */
    void reset() {
        stepMicros = initialMicros;
    }
}
