package lilaclever;

import static lilaclever.PolicyState.NEVER;

import lilaclever.DecisionModule.Action;
import lilaclever.DecisionModule.RepeatSafety;
import lilaclever.PolicyState.Call;
import lilaclever.PolicyState.DestinationLimit;
import lilaclever.PolicyState.Message;

/**
 * Timeouts of calls, from the mean response time at their limit and the aim of their message; and which calls are
 * given up earlier because all slots are in use.
 */
final class CallTimeouts {
    /** Shortest timeout; a message with less time left is given up, as no call would end in time. */
    static final long MIN_TIMEOUT_MICROS = 60_000;

    /** Weight of one call in the mean response time of a limit. */
    private static final double RESPONSE_WEIGHT = 0.1;
    /** Weight of one call in the mean response time over all destinations. */
    private static final double OVERALL_RESPONSE_WEIGHT = RESPONSE_WEIGHT / 4;
    /** A response time is slow from this multiple of the mean over all destinations. */
    private static final double SLOW_MULTIPLE = 4;
    /**
     * A call within PROMPT_MULTIPLE times the mean resets the timeout factor to 1; a slower one multiplies it by
     * SHORTENING_FACTOR.
     */
    private static final double PROMPT_MULTIPLE = 2, SHORTENING_FACTOR = 0.7;
    /** Timeout of a call, as a multiple of the mean response time at its limit. */
    private static final double TIMEOUT_MULTIPLE = 6;
    /** Lower bound of the timeout before the factors below, as a share of the aim. */
    private static final double MIN_SHARE_OF_AIM = 0.5;
    /** Consecutive timeouts double the next one, up to this factor. */
    private static final double MAX_TIMEOUT_FACTOR = 4;
    /** Factor on the timeout of unsafe messages, as a timeout makes them fail. */
    private static final double UNSAFE_FACTOR = 2;
    /** Factor on the timeout of a call in the last slot, where calls are often lost at all destinations. */
    private static final double LAST_SLOT_FACTOR = 0.6;
    /** Share of the repeat window that a keyed message's first attempt may take, so that a repeat fits in. */
    private static final double MAX_SHARE_OF_WINDOW = 0.5;
    /** With all slots in use, a call is given up after this multiple of the mean response time ... */
    private static final double OVERDUE_MULTIPLE = 8, UNSAFE_OVERDUE_MULTIPLE = 24;
    /** ... but not before this time. */
    private static final long MIN_OVERDUE_MICROS = 400_000, UNSAFE_MIN_OVERDUE_MICROS = 1_000_000;

    private final PolicyState state;
    private final TransientFailures transientFailures;

    CallTimeouts(PolicyState state, TransientFailures transientFailures) {
        this.state = state;
        this.transientFailures = transientFailures;
    }

    /** Updates the means and the timeout factor with the response time of a delivered call. */
    void onDelivered(DestinationLimit limit, long elapsedMicros) {
        limit.meanResponseMicros = limit.meanResponseMicros == 0
                ? elapsedMicros
                : limit.meanResponseMicros + RESPONSE_WEIGHT * (elapsedMicros - limit.meanResponseMicros);
        double meanMicros = state.overallMeanResponseMicros;
        double boundedMicros = meanMicros == 0 ? elapsedMicros : Math.min(elapsedMicros, slowResponseMicros());
        state.overallMeanResponseMicros +=
                (meanMicros == 0 ? 1 : OVERALL_RESPONSE_WEIGHT) * (boundedMicros - meanMicros);
        boolean isPrompt = elapsedMicros < PROMPT_MULTIPLE * limit.meanResponseMicros;
        limit.timeoutFactor = isPrompt ? 1 : Math.max(1, limit.timeoutFactor * SHORTENING_FACTOR);
    }

    /** Doubles the timeout of a limit's calls, up to a maximum. */
    void lengthen(DestinationLimit limit) {
        limit.timeoutFactor = Math.min(MAX_TIMEOUT_FACTOR, limit.timeoutFactor * 2);
    }

    /** Response time above which a call or a mean is slow, microseconds; 0 before the first delivery. */
    double slowResponseMicros() {
        return SLOW_MULTIPLE * state.overallMeanResponseMicros;
    }

    /** Timeout of a call with the message if it is sent now, microseconds. */
    long timeoutMicros(Message message, DestinationLimit limit) {
        long aimMicros = message.messageClass.aimMicros();
        double usualMicros = limit.meanResponseMicros > 0 ? TIMEOUT_MULTIPLE * limit.meanResponseMicros : aimMicros;
        double timeMicros = Math.max(MIN_SHARE_OF_AIM * aimMicros, usualMicros) * limit.timeoutFactor;
        RepeatSafety repeat = message.messageClass.repeat();
        if (repeat == RepeatSafety.UNSAFE) {
            return (long) Math.max(timeMicros * UNSAFE_FACTOR, MIN_TIMEOUT_MICROS);
        }
        // Where calls are often lost at all destinations, a free last slot is worth more than a call likely to be lost.
        boolean isLastSlot = state.slotsInUse + 1 >= state.settings.limits().slots();
        timeMicros *= transientFailures.callsOftenLost() && isLastSlot ? LAST_SLOT_FACTOR : 1;
        if (repeat == RepeatSafety.KEYED && !message.mayHaveRun) {
            timeMicros = Math.min(timeMicros, MAX_SHARE_OF_WINDOW * message.messageClass.repeatWindowMicros());
        }
        return (long) Math.max(timeMicros, MIN_TIMEOUT_MICROS);
    }

    /**
     * Gives up calls in flight for far longer than usual, because all slots are in use: at most {@code wanted}, the
     * number of messages that could be sent instead. Otherwise endpoints that hang at several destinations at once
     * would each occupy a slot for a whole timeout, a hundred times what another message needs. An unsafe message whose
     * call is merely slow may fail as a result. Returns when to check again, in microseconds.
     */
    long cancelOverdue(int wanted) {
        long nextCheckAtMicros = NEVER;
        int remaining = state.settings.limits().mayCancel() ? wanted : 0;
        for (Call call : state.calls) {
            remaining -= call.cancelRequested ? 1 : 0;
        }
        for (Call call : state.calls) {
            if (remaining <= 0 || call.cancelRequested) {
                continue;
            }
            long overdueAtMicros = call.sentAtMicros + overdueAfterMicros(call);
            if (overdueAtMicros > state.nowMicros) {
                nextCheckAtMicros = Math.min(nextCheckAtMicros, overdueAtMicros);
            } else {
                cancel(call);
                remaining--;
            }
        }
        return nextCheckAtMicros;
    }

    private long overdueAfterMicros(Call call) {
        double usualMicros = Math.max(state.overallMeanResponseMicros, call.endpoint.limit.meanResponseMicros);
        boolean hasUnsafe =
                call.messages.stream().anyMatch(message -> message.messageClass.repeat() == RepeatSafety.UNSAFE);
        return (long)
                (hasUnsafe
                        ? Math.max(UNSAFE_MIN_OVERDUE_MICROS, UNSAFE_OVERDUE_MULTIPLE * usualMicros)
                        : Math.max(MIN_OVERDUE_MICROS, OVERDUE_MULTIPLE * usualMicros));
    }

    private void cancel(Call call) {
        call.cancelRequested = true;
        for (Message message : call.messages) {
            if (message.call == call) {
                state.actions.add(new Action.Cancel(message.id, message.attempts - 1));
            }
        }
    }
}
