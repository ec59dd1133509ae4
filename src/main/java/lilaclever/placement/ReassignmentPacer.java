package lilaclever.placement;

/**
 * Token bucket that bounds how many shards a second get another owner. It lets work through in batches of a tenth of a
 * second, so that a zone's loss gives ten changes of the map a second and not one for each shard.
 */
final class ReassignmentPacer {
    private static final long MICROS_PER_SECOND = 1_000_000;
    private static final int BATCHES_PER_SECOND = 10;
    private final long rate;
    private final long burst;
    /** Tokens times {@link #MICROS_PER_SECOND}: whole numbers, without rounding. */
    private long credit;

    private long refilledAtMicros;
    private boolean started;

    ReassignmentPacer(int tokensPerSecond) {
        rate = tokensPerSecond;
        burst = Math.max(1, tokensPerSecond / BATCHES_PER_SECOND);
        credit = burst * MICROS_PER_SECOND;
    }

    void refill(long nowMicros) {
        if (started) {
            long elapsed = Math.min(nowMicros - refilledAtMicros, MICROS_PER_SECOND);
            credit = Math.min(burst * MICROS_PER_SECOND, credit + elapsed * rate);
        }
        started = true;
        refilledAtMicros = nowMicros;
    }

    /** Whether there are tokens for a whole batch, or for all of the pending work if that is less. */
    boolean ready(long pending) {
        return pending > 0 && credit >= needed(pending);
    }

    /** When {@link #ready} will be true. */
    long readyAtMicros(long pending) {
        long missing = Math.max(0, needed(pending) - credit);
        return refilledAtMicros + (missing + rate - 1) / rate;
    }

    /** Takes a token if there is one. */
    boolean take() {
        if (credit < MICROS_PER_SECOND) {
            return false;
        }
        credit -= MICROS_PER_SECOND;
        return true;
    }

    private long needed(long pending) {
        return Math.min(pending, burst) * MICROS_PER_SECOND;
    }
}
