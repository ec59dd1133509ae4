package lilaclever.routing;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import lilaclever.DecisionModule.AttemptResult;
import lilaclever.log.Logs;
import lilaclever.routing.Answer.Meaning;
import lilaclever.routing.AnswerRules.Certainty;
import lilaclever.routing.AnswerRules.Consequence;

/**
 * Carries out what {@link AnswerRules} decides for the answers that deliverers receive, and keeps the messages whose
 * answers are not confirmed yet. Their calls have ended for the decision module, so that their slots are free; the
 * messages come back to it if they have to be tried again. A message is never kept after its deadline: a notice about a
 * message that is over does no harm, a missing one does. Event loop.
 */
public final class AnswerOutcomes {
    /** A final status may be this late after the message's deadline; it is lost 300 ms after it. */
    private static final long LATEST_AFTER_DEADLINE_MICROS = 50_000;

    private record Unconfirmed(Call call, Answer answer, Deadlines.Key latest) {}

    private final Core core;
    private final Journal journal;
    private final Map<Message, Unconfirmed> unconfirmed = new HashMap<>();

    AnswerOutcomes(Core core, Journal journal) {
        this.core = core;
        this.journal = journal;
    }

    /** How many messages wait for their answers to be confirmed. */
    int size() {
        return unconfirmed.size();
    }

    /** Whether the message waits for an answer to be confirmed. */
    boolean isUnconfirmed(Message message) {
        return unconfirmed.containsKey(message);
    }

    /**
     * An answer has arrived. If it is not certain, {@link #confirmed} or {@link #refuted} follows.
     *
     * @param retryAfterMicros retry-after period for the endpoint's limit; 0: none
     */
    public void received(Call call, Message message, Answer answer, boolean isCertain, long retryAfterMicros) {
        Certainty certainty = isCertain ? Certainty.CERTAIN : Certainty.UNCONFIRMED;
        switch (AnswerRules.consequence(answer.meaning(), certainty)) {
            case AWAIT_CONFIRMATION -> await(call, message, answer, retryAfterMicros);
            case AWAIT_CONFIRMATION_WITHOUT_RETRY -> {
                recordGivenUp(call, message);
                await(call, message, answer, retryAfterMicros);
            }
            case GIVE_UP ->
                giveUp(call, message, isCertain ? answer.result() : AttemptResult.FORBIDDEN, retryAfterMicros);
            default ->
                core.attemptEnded(
                        call,
                        message,
                        answer.result(),
                        retryAfterMicros,
                        answer.noSlot(),
                        answer.meaning() == Meaning.OVER);
        }
    }

    /** The status line of an answer has arrived and is evidently this call's; the rest is missing or can't be read. */
    public void receivedCut(Call call, Message message, Answer answer, long retryAfterMicros) {
        if (AnswerRules.consequence(answer.meaning(), Certainty.CUT) == Consequence.RETRY_AS_POSSIBLY_RUN) {
            core.attemptEnded(call, message, AttemptResult.RESET, retryAfterMicros, false, false);
        } else {
            received(call, message, answer, true, retryAfterMicros);
        }
    }

    /**
     * A part of an answer has arrived that may be another call's, or crossed our own giving up. It allows nothing.
     *
     * @param otherwise how the attempt ends if the part doesn't forbid further ones
     */
    public void receivedInPart(
            Call call, Message message, Meaning meaning, AttemptResult otherwise, long retryAfterMicros) {
        if (AnswerRules.consequence(meaning, Certainty.REFUTED) == Consequence.GIVE_UP) {
            giveUp(call, message, AttemptResult.FORBIDDEN, retryAfterMicros);
        } else {
            core.attemptEnded(call, message, otherwise, retryAfterMicros, false, false);
        }
    }

    /** The answers to the call were its own. */
    public void confirmed(Call call) {
        for (Message message : List.copyOf(call.messages)) {
            Unconfirmed entry = remove(message, call);
            if (entry != null && !message.isFinished) {
                conclude(message, entry.answer(), Certainty.CERTAIN);
            }
        }
    }

    /** The answers to the call may be another call's. */
    public void refuted(Call call, Refutation refutation) {
        List.copyOf(call.messages).forEach(message -> refuted(message, call, refutation));
    }

    private void refuted(Message message, Call call, Refutation refutation) {
        Unconfirmed entry = remove(message, call);
        if (entry != null && !message.isFinished) {
            boolean saysDelivered = entry.answer().meaning() == Meaning.DELIVERED;
            message.isProbablyDelivered = saysDelivered && !refutation.isRepetitionSeen();
            conclude(message, refutation.mayBeForbidden() ? Answer.OVER : entry.answer(), Certainty.REFUTED);
        }
    }

    private Unconfirmed remove(Message message, Call call) {
        Unconfirmed entry = unconfirmed.get(message);
        if (entry == null || entry.call() != call) {
            return null;
        }
        unconfirmed.remove(message);
        core.deadlines().cancel(entry.latest());
        return entry;
    }

    private void await(Call call, Message message, Answer answer, long retryAfterMicros) {
        if (!core.endAttempt(call, message, answer.result(), retryAfterMicros, answer.noSlot(), true)) {
            return;
        }
        message.noteCall(call, core.nowMicros(), core.wallClockMicros());
        Deadlines.Key latest = core.deadlines()
                .schedule(
                        message.deadlineMicros + LATEST_AFTER_DEADLINE_MICROS,
                        () -> refuted(message, call, Refutation.BY_CLOSE));
        unconfirmed.put(message, new Unconfirmed(call, answer, latest));
    }

    /** Handles a message that has left the decision module. */
    private void conclude(Message message, Answer answer, Certainty certainty) {
        Consequence consequence = AnswerRules.consequence(answer.meaning(), certainty);
        log(message, answer, certainty, consequence);
        switch (consequence) {
            case END_DELIVERED -> core.finishDelivered(message);
            case END_OVER -> core.finishOver(message);
            case RETRY -> core.resubmit(message, answer.result().neverRan());
            case RETRY_AS_POSSIBLY_RUN -> core.resubmit(message, false);
            default -> core.finishFailed(message);
        }
    }

    private static void log(Message message, Answer answer, Certainty certainty, Consequence consequence) {
        if (certainty == Certainty.REFUTED || Logs.isDebug()) {
            Logs.info(
                    "",
                    "answer-" + certainty.name().toLowerCase(java.util.Locale.ROOT),
                    "answer " + answer.meaning() + " to message " + message.id() + ' ' + certainty + ": " + consequence,
                    "message",
                    message.id(),
                    "partner",
                    message.submission.destination());
        }
    }

    /** Ends the attempt; the decision module gives the message up in this turn. */
    private void giveUp(Call call, Message message, AttemptResult result, long retryAfterMicros) {
        recordGivenUp(call, message);
        core.attemptEnded(call, message, result, retryAfterMicros, false, false);
    }

    /** Recorded before anything else happens, so that no restart leads to another call. */
    private void recordGivenUp(Call call, Message message) {
        if (message.currentCall == call && !message.isFinished) {
            journal.recordFinalStatus(message.id(), FinalStatus.of(FinalStatus.Kind.FAILED));
        }
    }
}
