package lilaclever;

import static lilaclever.PolicyState.NEVER;

import lilaclever.DecisionModule.Action;
import lilaclever.DecisionModule.Repeat;
import lilaclever.PolicyState.Call;
import lilaclever.PolicyState.DestinationLimit;
import lilaclever.PolicyState.Message;

/**
 * Time-outs of calls, from the mean response time at their limit and the aim of their message; and which calls are
 * given up earlier because all slots are in use.
 */
final class CallTimeouts {
    /** Shortest time-out; a message with less time left is given up, as no call would end in time. */
    static final long SHORTEST = 60_000;

    /** Weight of one call in the mean response time of a limit. */
    private static final double ANSWER_WEIGHT = 0.1;
    /** Weight of one call in the mean response time over all destinations. */
    private static final double ANSWER_WEIGHT_OF_ALL = ANSWER_WEIGHT / 4;
    /** A response time is slow from this multiple of the mean over all destinations. */
    private static final double SLOW_TIMES = 4;
    /** A call within this multiple of the mean resets the time-out factor; a slower one multiplies it by the second. */
    private static final double PROMPT_TIMES = 2, SHORTENED_PART = 0.7;
    /** Time-out of a call, as a multiple of the mean response time at its limit. */
    private static final double ANSWER_TIMES = 6;
    /** Shortest time-out, as a share of the aim. */
    private static final double LEAST_PART_OF_AIM = 0.5;
    /** Consecutive time-outs double the next one, up to this factor. */
    private static final double MOST_FACTOR = 4;
    /** Factor on the time-out of unsafe messages, as a time-out makes them fail. */
    private static final double UNSAFE_TIMES = 2;
    /** Factor on the time-out of a call in the last slot, where calls are often lost at all destinations. */
    private static final double LAST_SLOT_PART = 0.6;
    /** Share of the repeat window that a keyed message's first attempt may take, so that a repeat fits in. */
    private static final double WINDOW_PART = 0.5;
    /** With all slots in use, a call is given up after this multiple of the mean response time ... */
    private static final double OVERDUE_TIMES = 8, UNSAFE_OVERDUE_TIMES = 24;
    /** ... but not before this time. */
    private static final long LEAST_OVERDUE = 400_000, UNSAFE_LEAST_OVERDUE = 1_000_000;

    private final PolicyState state;
    private final TransientFailures transientFailures;

    CallTimeouts(PolicyState state, TransientFailures transientFailures) {
        this.state = state;
        this.transientFailures = transientFailures;
    }

    /** Updates the means and the time-out factor with the response time of a delivered call. */
    void onDelivered(DestinationLimit limit, long elapsed) {
        limit.answerTime =
                limit.answerTime == 0 ? elapsed : limit.answerTime + ANSWER_WEIGHT * (elapsed - limit.answerTime);
        double usual = state.usualAnswerTime;
        double bounded = usual == 0 ? elapsed : Math.min(elapsed, slowAnswerTime());
        state.usualAnswerTime += (usual == 0 ? 1 : ANSWER_WEIGHT_OF_ALL) * (bounded - usual);
        boolean prompt = elapsed < PROMPT_TIMES * limit.answerTime;
        limit.timeoutFactor = prompt ? 1 : Math.max(1, limit.timeoutFactor * SHORTENED_PART);
    }

    /** Doubles the time-out of a limit's calls, up to a maximum. */
    void lengthen(DestinationLimit limit) {
        limit.timeoutFactor = Math.min(MOST_FACTOR, limit.timeoutFactor * 2);
    }

    /** Response time above which a call or a mean is slow, microseconds; 0 before the first delivery. */
    double slowAnswerTime() {
        return SLOW_TIMES * state.usualAnswerTime;
    }

    /** Time-out of a call with the message if it is sent now, microseconds. */
    long timeout(Message message, DestinationLimit limit) {
        long aim = message.messageClass.aimMicros();
        double usual = limit.answerTime > 0 ? ANSWER_TIMES * limit.answerTime : aim;
        double time = Math.max(LEAST_PART_OF_AIM * aim, usual) * limit.timeoutFactor;
        Repeat repeat = message.messageClass.repeat();
        if (repeat == Repeat.UNSAFE) {
            return (long) Math.max(time * UNSAFE_TIMES, SHORTEST);
        }
        // Where calls are often lost at all destinations, a free last slot is worth more than a call likely to be lost.
        boolean lastSlot = state.slotsInUse + 1 >= state.settings.limits().slots();
        time *= transientFailures.callsOftenLost() && lastSlot ? LAST_SLOT_PART : 1;
        if (repeat == Repeat.KEYED && !message.mayHaveRun) {
            time = Math.min(time, WINDOW_PART * message.messageClass.repeatWindowMicros());
        }
        return (long) Math.max(time, SHORTEST);
    }

    /**
     * Gives up calls in flight for far longer than usual, because all slots are in use; at most as many as messages
     * that could be sent instead, {@code wanted}. Otherwise endpoints that hang at several destinations at once would
     * each occupy a slot for a whole time-out, a hundred times what another message needs. An unsafe message whose call
     * is merely slow may fail by it. Returns when to check again, in microseconds.
     */
    long cancelOverdue(int wanted) {
        long next = NEVER;
        int left = state.settings.limits().cancel() ? wanted : 0;
        for (Call call : state.calls) {
            left -= call.cancelled ? 1 : 0;
        }
        for (Call call : state.calls) {
            if (left <= 0 || call.cancelled) {
                continue;
            }
            long overdueAt = call.sentAt + overdueAfter(call);
            if (overdueAt > state.now) {
                next = Math.min(next, overdueAt);
            } else {
                cancel(call);
                left--;
            }
        }
        return next;
    }

    private long overdueAfter(Call call) {
        double usual = Math.max(state.usualAnswerTime, call.endpoint.limit.answerTime);
        boolean unsafe = call.messages.stream().anyMatch(message -> message.messageClass.repeat() == Repeat.UNSAFE);
        return (long)
                (unsafe
                        ? Math.max(UNSAFE_LEAST_OVERDUE, UNSAFE_OVERDUE_TIMES * usual)
                        : Math.max(LEAST_OVERDUE, OVERDUE_TIMES * usual));
    }

    private void cancel(Call call) {
        call.cancelled = true;
        for (Message message : call.messages) {
            if (message.call == call) {
                state.actions.add(new Action.Cancel(message.id, message.attempts - 1));
            }
        }
    }
}
