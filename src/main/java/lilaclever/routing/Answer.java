package lilaclever.routing;

import lilaclever.DecisionModule.AttemptResult;

/**
 * What an endpoint says of one message of a call.
 *
 * @param meaning what follows from it
 * @param result how the decision module counts the attempt
 * @param noSlot whether it was not sent for want of a free slot
 */
public record Answer(Meaning meaning, AttemptResult result, boolean noSlot) {
    /** The message was delivered. */
    public static final Answer DELIVERED = new Answer(Meaning.DELIVERED, AttemptResult.DELIVERED, false);
    /** The message is over: nothing more is owed for it. */
    public static final Answer OVER = new Answer(Meaning.OVER, AttemptResult.NOT_SENT, false);
    /** The message has had all its attempts; its end is owed. */
    public static final Answer NO_ATTEMPTS_LEFT =
            new Answer(Meaning.NO_FURTHER_ATTEMPT, AttemptResult.NO_ATTEMPTS_LEFT, false);
    /** The endpoint rejects the message permanently; its end is owed. */
    public static final Answer REJECTED = new Answer(Meaning.NO_FURTHER_ATTEMPT, AttemptResult.REJECTED, false);

    /** What an answer says, whatever its protocol. */
    public enum Meaning {
        DELIVERED,
        /** It was not delivered and may have taken effect. */
        MAY_HAVE_RUN,
        /** It had no effect. */
        NEVER_RAN,
        OVER,
        /** It had no effect, and no further attempt may be made. */
        NO_FURTHER_ATTEMPT;

        /** Whether it forbids any further attempt. */
        public boolean forbidsAttempts() {
            return this == OVER || this == NO_FURTHER_ATTEMPT;
        }
    }

    /** An answer after which the message may be tried again, as its class allows. */
    public static Answer failure(AttemptResult result) {
        return new Answer(result.neverRan() ? Meaning.NEVER_RAN : Meaning.MAY_HAVE_RUN, result, false);
    }

    /** The call was not sent for want of a free slot. */
    public static Answer withoutSlot() {
        return new Answer(Meaning.NEVER_RAN, AttemptResult.NOT_SENT, true);
    }
}
