package lilaclever;

import lilaclever.DecisionModule.Repeat;
import lilaclever.PolicyState.Message;

/**
 * When a message is retried: after growing delays with jitter, up to the maximum number of attempts, the message's
 * deadline and, for a keyed message with an uncertain attempt, the end of its repeat window.
 */
final class RetrySchedule {
    /** Delay after each attempt, before jitter; the last one repeats. */
    private static final long[] STEPS = {200_000, 600_000, 2_400_000, 6_000_000};

    private final PolicyState state;

    RetrySchedule(PolicyState state) {
        this.state = state;
    }

    /** Whether repeats of the message are restricted to the repeat window: it is keyed and has an uncertain attempt. */
    boolean hasWindow(Message message) {
        return message.mayHaveRun && message.messageClass.repeat() == Repeat.KEYED;
    }

    /**
     * Until when endpoints recognise a repeat of the first uncertain attempt, less one round, in microseconds on the
     * module's clock; {@link Long#MAX_VALUE} if repeats aren't restricted.
     */
    long windowEnd(Message message) {
        return hasWindow(message)
                ? message.mayHaveRunSince + message.messageClass.repeatWindowMicros() - state.settings.roundMicros()
                : Long.MAX_VALUE;
    }

    /** Whether no further attempt is allowed at any time. */
    boolean isExhausted(Message message) {
        boolean unsafe = message.mayHaveRun && message.messageClass.repeat() == Repeat.UNSAFE;
        return message.attempts >= state.settings.limits().maxAttempts() || unsafe;
    }

    /** Sets the delay before the next attempt. */
    void pause(Message message) {
        int step = Math.max(0, Math.min(message.attempts, STEPS.length) - 1);
        message.notBefore = state.now + (long) (STEPS[step] * state.randomFactor());
        if (hasWindow(message)) {
            // A delay past the window would lose the message: retry while there is still time for a connect.
            long latest = windowEnd(message) - state.settings.limits().connectTimeoutMicros();
            message.notBefore = state.now < latest ? Math.min(message.notBefore, latest) : message.notBefore;
        }
    }

    /** Whether another attempt is allowed after the delay, in time for the deadline and the repeat window. */
    boolean canTryAgain(Message message) {
        return !isExhausted(message)
                && message.notBefore <= message.deadline - CallTimeouts.SHORTEST
                && message.notBefore < windowEnd(message);
    }
}
