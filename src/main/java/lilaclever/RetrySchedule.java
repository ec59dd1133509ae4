package lilaclever;

import lilaclever.DecisionModule.RepeatSafety;
import lilaclever.PolicyState.Message;

/**
 * When a message is retried: after growing delays with jitter, up to the maximum number of attempts, the message's
 * deadline and, for a keyed message with an uncertain attempt, the end of its repeat window.
 */
final class RetrySchedule {
    /** Delay after each attempt, before jitter; the last one repeats. */
    private static final long[] DELAYS_MICROS = {200_000, 600_000, 2_400_000, 6_000_000};

    private final PolicyState state;

    RetrySchedule(PolicyState state) {
        this.state = state;
    }

    /** Whether repeats of the message are restricted to the repeat window: it is keyed and has an uncertain attempt. */
    boolean hasRepeatWindow(Message message) {
        return message.mayHaveRun && message.messageClass.repeat() == RepeatSafety.KEYED;
    }

    /**
     * Until when endpoints recognize a repeat of the first uncertain attempt, less one round, in microseconds on the
     * module's clock; {@link Long#MAX_VALUE} if repeats aren't restricted.
     */
    long repeatWindowEndMicros(Message message) {
        return hasRepeatWindow(message)
                ? message.uncertainSentAtMicros
                        + message.messageClass.repeatWindowMicros()
                        - state.settings.roundMicros()
                : Long.MAX_VALUE;
    }

    /** Whether no further attempt is allowed at any time. */
    boolean isExhausted(Message message) {
        boolean isUnsafeToRepeat = message.mayHaveRun && message.messageClass.repeat() == RepeatSafety.UNSAFE;
        return message.attempts >= state.settings.limits().maxAttempts() || isUnsafeToRepeat;
    }

    /** Sets the delay before the next attempt. */
    void scheduleRetry(Message message) {
        int step = Math.max(0, Math.min(message.attempts, DELAYS_MICROS.length) - 1);
        message.notBeforeMicros = state.nowMicros + (long) (DELAYS_MICROS[step] * state.jitterFactor());
        if (hasRepeatWindow(message)) {
            // A delay past the window would lose the message: retry while there is still time for a connect.
            long latestMicros =
                    repeatWindowEndMicros(message) - state.settings.limits().connectTimeoutMicros();
            message.notBeforeMicros = state.nowMicros < latestMicros
                    ? Math.min(message.notBeforeMicros, latestMicros)
                    : message.notBeforeMicros;
        }
    }

    /** Whether another attempt is allowed after the delay, in time for the deadline and the repeat window. */
    boolean canRetry(Message message) {
        return !isExhausted(message)
                && message.notBeforeMicros <= message.deadlineAtMicros - CallTimeouts.MIN_TIMEOUT_MICROS
                && message.notBeforeMicros < repeatWindowEndMicros(message);
    }
}
