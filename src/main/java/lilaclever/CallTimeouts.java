package lilaclever;

import static lilaclever.PolicyState.NEVER;

import lilaclever.DecisionModule.Action;
import lilaclever.DecisionModule.RepeatSafety;
import lilaclever.PolicyState.Call;
import lilaclever.PolicyState.DestinationLimit;
import lilaclever.PolicyState.Message;

/**
 * How long a call may take, from the usual answer time of its limit and the aim of its message; and which calls are
 * given up earlier because all slots are taken.
 */
final class CallTimeouts {
    /** Shortest time-out, microseconds; a message with less time left than this is given up, as no call ends sooner. */
    static final long MIN_TIMEOUT_MICROS = 60_000;

    /** Weight of one answer in the mean answer time of a limit. */
    private static final double ANSWER_WEIGHT = 0.1;
    /** Weight of one answer in the mean over all destinations. */
    private static final double ANSWER_WEIGHT_OF_ALL = ANSWER_WEIGHT / 4;
    /** Endpoints so many times slower than the forwarder's usual answer are slow. */
    private static final double SLOW_TIMES = 4;
    /** An answer within so many times the usual ends a longer time-out; a slower one shortens it by a part. */
    private static final double PROMPT_TIMES = 2, SHORTENED_PART = 0.7;
    /** The time-out of a call, as a multiple of the usual answer time of its limit ... */
    private static final double ANSWER_TIMES = 6;
    /** ... and at the least this part of the aim. */
    private static final double LEAST_PART_OF_AIM = 0.5;
    /** Each time-out in a row doubles the next, up to so many times. */
    private static final double MOST_FACTOR = 4;
    /** An unsafe message is lost by a time-out, so it may take so many times as long. */
    private static final double UNSAFE_TIMES = 2;
    /** Part of that for a call that takes the last slot, where calls are lost everywhere. */
    private static final double LAST_SLOT_PART = 0.6;
    /** Part of its window that a keyed message's first attempt may take, so that a repeat fits in. */
    private static final double WINDOW_PART = 0.5;
    /** With all slots taken, a call is given up after so many times the usual answer time ... */
    private static final double OVERDUE_TIMES = 8, UNSAFE_OVERDUE_TIMES = 24;
    /** ... and not before so long, microseconds. */
    private static final long LEAST_OVERDUE = 400_000, UNSAFE_LEAST_OVERDUE = 1_000_000;

    private final PolicyState state;
    private final TransientFailures transientFailures;

    CallTimeouts(PolicyState state, TransientFailures transientFailures) {
        this.state = state;
        this.transientFailures = transientFailures;
    }

    /** Learns the time of a delivered call, microseconds. */
    void onDelivered(DestinationLimit limit, long elapsed) {
        limit.meanAnswerMicros =
                limit.meanAnswerMicros == 0 ? elapsed : limit.meanAnswerMicros + ANSWER_WEIGHT * (elapsed - limit.meanAnswerMicros);
        double usual = state.overallMeanAnswerMicros;
        double bounded = usual == 0 ? elapsed : Math.min(elapsed, slowAnswerMicros());
        state.overallMeanAnswerMicros += (usual == 0 ? 1 : ANSWER_WEIGHT_OF_ALL) * (bounded - usual);
        boolean prompt = elapsed < PROMPT_TIMES * limit.meanAnswerMicros;
        limit.timeoutFactor = prompt ? 1 : Math.max(1, limit.timeoutFactor * SHORTENED_PART);
    }

    /** Doubles the time-out of a limit's calls: all are slow. */
    void lengthen(DestinationLimit limit) {
        limit.timeoutFactor = Math.min(MOST_FACTOR, limit.timeoutFactor * 2);
    }

    /** A call or a mean answer above this time is slow beside the usual, microseconds; 0 while none is known. */
    double slowAnswerMicros() {
        return SLOW_TIMES * state.overallMeanAnswerMicros;
    }

    /** How long a call of the message may take if it is sent now, microseconds. */
    long timeoutMicros(Message message, DestinationLimit limit) {
        long aim = message.messageClass.aimMicros();
        double usual = limit.meanAnswerMicros > 0 ? ANSWER_TIMES * limit.meanAnswerMicros : aim;
        double time = Math.max(LEAST_PART_OF_AIM * aim, usual) * limit.timeoutFactor;
        RepeatSafety repeat = message.messageClass.repeat();
        if (repeat == RepeatSafety.UNSAFE) {
            return (long) Math.max(time * UNSAFE_TIMES, MIN_TIMEOUT_MICROS);
        }
        // Where calls are lost everywhere, the last slot is worth more than a call that is likely lost.
        boolean lastSlot = state.slotsInUse + 1 >= state.settings.limits().slots();
        time *= transientFailures.callsOftenLost() && lastSlot ? LAST_SLOT_PART : 1;
        if (repeat == RepeatSafety.KEYED && !message.mayHaveRun) {
            time = Math.min(time, WINDOW_PART * message.messageClass.repeatWindowMicros());
        }
        return (long) Math.max(time, MIN_TIMEOUT_MICROS);
    }

    /**
     * All slots are taken, and so many messages could go: calls in flight for far longer than usual are given up, at
     * most as many as could be used. Guards against endpoints that hang at several destinations at once: each would
     * occupy a slot for a whole time-out, a hundred times what another message needs. May lose an unsafe message that
     * is only slow. Gives the time at which to look again, microseconds.
     */
    long cancelOverdue(int wanted) {
        long next = NEVER;
        int left = state.settings.limits().mayCancel() ? wanted : 0;
        for (Call call : state.calls) {
            left -= call.cancelled ? 1 : 0;
        }
        for (Call call : state.calls) {
            if (left <= 0 || call.cancelled) {
                continue;
            }
            long overdueAt = call.sentAtMicros + overdueAfter(call);
            if (overdueAt > state.nowMicros) {
                next = Math.min(next, overdueAt);
            } else {
                cancel(call);
                left--;
            }
        }
        return next;
    }

    private long overdueAfter(Call call) {
        double usual = Math.max(state.overallMeanAnswerMicros, call.endpoint.limit.meanAnswerMicros);
        boolean unsafe = call.messages.stream().anyMatch(message -> message.messageClass.repeat() == RepeatSafety.UNSAFE);
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
