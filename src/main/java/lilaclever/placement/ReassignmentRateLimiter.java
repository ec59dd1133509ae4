package lilaclever.placement;

/**
 * Token bucket that limits how many shards per second change their owner. It admits work in batches of a tenth of a
 * second, so that the loss of a zone causes ten changes of the map per second and not one for each shard.
 */
final class ReassignmentRateLimiter {
    private static final long MICROS_PER_SECOND = 1_000_000;
    private static final int BATCHES_PER_SECOND = 10;
    private final long ratePerSecond;
    private final long burstTokens;
    /** Tokens times {@link #MICROS_PER_SECOND}, an integer to avoid rounding. */
    private long microTokens;

    private long refilledAtMicros;
    private boolean started;

    ReassignmentRateLimiter(int tokensPerSecond) {
        ratePerSecond = tokensPerSecond;
        burstTokens = Math.max(1, tokensPerSecond / BATCHES_PER_SECOND);
        microTokens = burstTokens * MICROS_PER_SECOND;
    }

    void refill(long nowMicros) {
        if (started) {
            long elapsedMicros = Math.min(nowMicros - refilledAtMicros, MICROS_PER_SECOND);
            microTokens = Math.min(burstTokens * MICROS_PER_SECOND, microTokens + elapsedMicros * ratePerSecond);
        }
        started = true;
        refilledAtMicros = nowMicros;
    }

    /** Whether there are tokens for a full batch, or for all pending work if that is less. */
    boolean isReady(long pending) {
        return pending > 0 && microTokens >= requiredMicroTokens(pending);
    }

    /** Time at which {@link #isReady} becomes true. */
    long readyAtMicros(long pending) {
        long missingMicroTokens = Math.max(0, requiredMicroTokens(pending) - microTokens);
        return refilledAtMicros + (missingMicroTokens + ratePerSecond - 1) / ratePerSecond;
    }

    /** Takes a token if one is available. */
    boolean tryTake() {
        if (microTokens < MICROS_PER_SECOND) {
            return false;
        }
        microTokens -= MICROS_PER_SECOND;
        return true;
    }

    private long requiredMicroTokens(long pending) {
        return Math.min(pending, burstTokens) * MICROS_PER_SECOND;
    }
}
