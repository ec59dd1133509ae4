package lilaclever.routing;

import lilaclever.routing.Answer.Meaning;

/**
 * Decides what follows from an answer, by what it says and how certain it is that it answers this call. What an answer
 * forbids holds whatever its certainty; what it allows holds only once it is certain. The cells are listed in
 * {@code docs/answers.md}.
 */
final class AnswerRules {
    /** How certain it is that an answer belongs to its call. */
    enum Certainty {
        CERTAIN,
        /** Its status line is evidently this call's, and the rest is missing or can't be read. */
        CUT,
        /** It may be an earlier answer of the connection repeated; it will be confirmed or refuted. */
        UNCONFIRMED,
        /** It may be another call's, and nothing more will be known: refuted, cut, or not confirmed in time. */
        REFUTED
    }

    /** What is done with the message. */
    enum Consequence {
        END_DELIVERED,
        /** Nothing more is owed. */
        END_OVER,
        /** No further call; its client is notified. */
        GIVE_UP,
        /** It is tried again, as its class allows after the attempt's result. */
        RETRY,
        /** It is tried again, as its class allows after an attempt that may have taken effect. */
        RETRY_AS_POSSIBLY_RUN,
        /** Nothing is done until the answer is confirmed or refuted; a restart counts the attempt as possibly run. */
        AWAIT_CONFIRMATION,
        /** As {@link #AWAIT_CONFIRMATION}, but a restart gives it up. */
        AWAIT_CONFIRMATION_WITHOUT_RETRY
    }

    private AnswerRules() {}

    static Consequence consequence(Meaning meaning, Certainty certainty) {
        return switch (certainty) {
            case CERTAIN ->
                switch (meaning) {
                    case DELIVERED -> Consequence.END_DELIVERED;
                    case MAY_HAVE_RUN, NEVER_RAN -> Consequence.RETRY;
                    case OVER -> Consequence.END_OVER;
                    case NO_FURTHER_ATTEMPT -> Consequence.GIVE_UP;
                };
            case CUT ->
                switch (meaning) {
                    case DELIVERED -> Consequence.END_DELIVERED;
                    case MAY_HAVE_RUN, NEVER_RAN -> Consequence.RETRY_AS_POSSIBLY_RUN;
                    case OVER -> Consequence.END_OVER;
                    case NO_FURTHER_ATTEMPT -> Consequence.GIVE_UP;
                };
            case UNCONFIRMED ->
                switch (meaning) {
                    case DELIVERED, MAY_HAVE_RUN, NEVER_RAN -> Consequence.AWAIT_CONFIRMATION;
                    case OVER -> Consequence.AWAIT_CONFIRMATION_WITHOUT_RETRY;
                    case NO_FURTHER_ATTEMPT -> Consequence.GIVE_UP;
                };
            case REFUTED -> meaning.forbidsAttempts() ? Consequence.GIVE_UP : Consequence.RETRY_AS_POSSIBLY_RUN;
        };
    }
}
