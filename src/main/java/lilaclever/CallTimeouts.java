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
    private static final double RESPONSE_WEIGHT = 0.1;
    /** Weight of one answer in the mean over all destinations. */
    private static final double OVERALL_RESPONSE_WEIGHT = RESPONSE_WEIGHT / 4;
    /** Endpoints so many times slower than the forwarder's usual answer are slow. */
    private static final double SLOW_MULTIPLE = 4;
    /** An answer within so many times the usual ends a longer time-out; a slower one shortens it by a part. */
    private static final double PROMPT_MULTIPLE = 2, SHORTENING_FACTOR = 0.7;
    /** The time-out of a call, as a multiple of the usual answer time of its limit ... */
    private static final double TIMEOUT_MULTIPLE = 6;
    /** ... and at the least this part of the aim. */
    private static final double MIN_SHARE_OF_AIM = 0.5;
    /** Each time-out in a row doubles the next, up to so many times. */
    private static final double MAX_TIMEOUT_FACTOR = 4;
    /** An unsafe message is lost by a time-out, so it may take so many times as long. */
    private static final double UNSAFE_FACTOR = 2;
    /** Part of that for a call that takes the last slot, where calls are lost everywhere. */
    private static final double LAST_SLOT_FACTOR = 0.6;
    /** Part of its window that a keyed message's first attempt may take, so that a repeat fits in. */
    private static final double MAX_SHARE_OF_WINDOW = 0.5;
    /** With all slots taken, a call is given up after so many times the usual answer time ... */
    private static final double OVERDUE_MULTIPLE = 8, UNSAFE_OVERDUE_MULTIPLE = 24;
    /** ... and not before so long, microseconds. */
    private static final long MIN_OVERDUE_MICROS = 400_000, UNSAFE_MIN_OVERDUE_MICROS = 1_000_000;

    private final PolicyState state;
    private final TransientFailures transientFailures;

    CallTimeouts(PolicyState state, TransientFailures transientFailures) {
        this.state = state;
        this.transientFailures = transientFailures;
    }

    /** Learns the time of a delivered call, microseconds. */
    void onDelivered(DestinationLimit limit, long elapsedMicros) {
        limit.meanResponseMicros =
                limit.meanResponseMicros == 0 ? elapsedMicros : limit.meanResponseMicros + RESPONSE_WEIGHT * (elapsedMicros - limit.meanResponseMicros);
        double meanMicros = state.overallMeanResponseMicros;
        double boundedMicros = meanMicros == 0 ? elapsedMicros : Math.min(elapsedMicros, slowResponseMicros());
        state.overallMeanResponseMicros += (meanMicros == 0 ? 1 : OVERALL_RESPONSE_WEIGHT) * (boundedMicros - meanMicros);
        boolean isPrompt = elapsedMicros < PROMPT_MULTIPLE * limit.meanResponseMicros;
        limit.timeoutFactor = isPrompt ? 1 : Math.max(1, limit.timeoutFactor * SHORTENING_FACTOR);
    }

    /** Doubles the time-out of a limit's calls: all are slow. */
    void lengthen(DestinationLimit limit) {
        limit.timeoutFactor = Math.min(MAX_TIMEOUT_FACTOR, limit.timeoutFactor * 2);
    }

    /** A call or a mean answer above this time is slow beside the usual, microseconds; 0 while none is known. */
    double slowResponseMicros() {
        return SLOW_MULTIPLE * state.overallMeanResponseMicros;
    }

    /** How long a call of the message may take if it is sent now, microseconds. */
    long timeoutMicros(Message message, DestinationLimit limit) {
        long aimMicros = message.messageClass.aimMicros();
        double usualMicros = limit.meanResponseMicros > 0 ? TIMEOUT_MULTIPLE * limit.meanResponseMicros : aimMicros;
        double timeMicros = Math.max(MIN_SHARE_OF_AIM * aimMicros, usualMicros) * limit.timeoutFactor;
        RepeatSafety repeat = message.messageClass.repeat();
        if (repeat == RepeatSafety.UNSAFE) {
            return (long) Math.max(timeMicros * UNSAFE_FACTOR, MIN_TIMEOUT_MICROS);
        }
        // Where calls are lost everywhere, the last slot is worth more than a call that is likely lost.
        boolean isLastSlot = state.slotsInUse + 1 >= state.settings.limits().slots();
        timeMicros *= transientFailures.callsOftenLost() && isLastSlot ? LAST_SLOT_FACTOR : 1;
        if (repeat == RepeatSafety.KEYED && !message.mayHaveRun) {
            timeMicros = Math.min(timeMicros, MAX_SHARE_OF_WINDOW * message.messageClass.repeatWindowMicros());
        }
        return (long) Math.max(timeMicros, MIN_TIMEOUT_MICROS);
    }

    /**
     * All slots are taken, and so many messages could go: calls in flight for far longer than usual are given up, at
     * most as many as could be used. Guards against endpoints that hang at several destinations at once: each would
     * occupy a slot for a whole time-out, a hundred times what another message needs. May lose an unsafe message that
     * is only slow. Gives the time at which to look again, microseconds.
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
        boolean hasUnsafe = call.messages.stream().anyMatch(message -> message.messageClass.repeat() == RepeatSafety.UNSAFE);
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
