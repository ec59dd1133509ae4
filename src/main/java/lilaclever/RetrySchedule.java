package lilaclever;

import lilaclever.DecisionModule.RepeatSafety;
import lilaclever.PolicyState.Message;

/**
 * When a message is tried again: the design's growing pauses, spread by chance, up to the limit of attempts, the
 * message's deadline and, for a keyed message that may have run, the end of its repeat window.
 */
final class RetrySchedule {
    /** Pauses between tries, microseconds: the design's four steps; the last one repeats. */
    private static final long[] DELAYS_MICROS = {200_000, 600_000, 2_400_000, 6_000_000};

    private final PolicyState state;

    RetrySchedule(PolicyState state) {
        this.state = state;
    }

    /** Whether repeats of the message are bound to a window: it is keyed and may have run. */
    boolean hasRepeatWindow(Message message) {
        return message.mayHaveRun && message.messageClass.repeat() == RepeatSafety.KEYED;
    }

    /**
     * Until when a repeat is dropped by those who had the first, microseconds on the module's clock, less a round;
     * {@link Long#MAX_VALUE} where there is no window.
     */
    long repeatWindowEndMicros(Message message) {
        return hasRepeatWindow(message)
                ? message.uncertainSentAtMicros + message.messageClass.repeatWindowMicros() - state.settings.roundMicros()
                : Long.MAX_VALUE;
    }

    /** Whether no attempt may follow, at whatever time. */
    boolean isExhausted(Message message) {
        boolean isUnsafeToRepeat = message.mayHaveRun && message.messageClass.repeat() == RepeatSafety.UNSAFE;
        return message.attempts >= state.settings.limits().maxAttempts() || isUnsafeToRepeat;
    }

    /** Sets the pause after an attempt: the design's step times a random factor. */
    void scheduleRetry(Message message) {
        int step = Math.max(0, Math.min(message.attempts, DELAYS_MICROS.length) - 1);
        message.notBeforeMicros = state.nowMicros + (long) (DELAYS_MICROS[step] * state.jitterFactor());
        if (hasRepeatWindow(message)) {
            // A pause past the window would lose the message: come as late as a connection may still come up.
            long latestMicros = repeatWindowEndMicros(message) - state.settings.limits().connectTimeoutMicros();
            message.notBeforeMicros = state.nowMicros < latestMicros ? Math.min(message.notBeforeMicros, latestMicros) : message.notBeforeMicros;
        }
    }

    /** Whether an attempt may follow after the pause, in time and within the window. */
    boolean canRetry(Message message) {
        return !isExhausted(message)
                && message.notBeforeMicros <= message.deadlineAtMicros - CallTimeouts.MIN_TIMEOUT_MICROS
                && message.notBeforeMicros < repeatWindowEndMicros(message);
    }
}
