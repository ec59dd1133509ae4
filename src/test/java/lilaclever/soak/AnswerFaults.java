package lilaclever.soak;

import java.util.SplittableRandom;

/**
 * The faults that the answers of a run have, and how often, drawn from its seed.
 *
 * @param repeated share of answers that are written a second time
 * @param spoilt share of answers that are cut, never ended, of a wrong length or preceded by an interim status
 * @param slow share of answers that are written in pieces
 * @param reset share of requests whose connection is reset instead of an answer
 * @param closedIdle share of answers after which the connection is closed while it rests
 * @param maxRepeatDelayMillis the longest time between an answer and its repetition
 */
record AnswerFaults(
        double repeated, double spoilt, double slow, double reset, double closedIdle, int maxRepeatDelayMillis) {
    static final AnswerFaults NONE = new AnswerFaults(0, 0, 0, 0, 0, 0);

    /** What happens to one answer. */
    enum Kind {
        NONE,
        REPEATED_LATER,
        REPEATED_AFTER_NEXT_REQUEST,
        REPEATED_CUT,
        REPEATED_IN_PIECES,
        IN_PIECES,
        CUT,
        NEVER_ENDED,
        WRONG_LENGTH,
        INTERIM,
        RESET,
        CLOSED_IDLE
    }

    private static final Kind[] REPETITIONS = {
        Kind.REPEATED_LATER,
        Kind.REPEATED_LATER,
        Kind.REPEATED_AFTER_NEXT_REQUEST,
        Kind.REPEATED_AFTER_NEXT_REQUEST,
        Kind.REPEATED_CUT,
        Kind.REPEATED_IN_PIECES
    };
    private static final Kind[] SPOILT = {Kind.CUT, Kind.NEVER_ENDED, Kind.WRONG_LENGTH, Kind.INTERIM};

    /** Draws what happens to the next answer. */
    Kind draw(SplittableRandom random) {
        double drawn = random.nextDouble();
        if (drawn < repeated) {
            return REPETITIONS[random.nextInt(REPETITIONS.length)];
        }
        drawn -= repeated;
        if (drawn < spoilt) {
            return SPOILT[random.nextInt(SPOILT.length)];
        }
        drawn -= spoilt;
        if (drawn < slow) {
            return Kind.IN_PIECES;
        }
        drawn -= slow;
        if (drawn < reset) {
            return Kind.RESET;
        }
        drawn -= reset;
        return drawn < closedIdle ? Kind.CLOSED_IDLE : Kind.NONE;
    }

    @Override
    public String toString() {
        return String.format(
                "repeated %.2f up to %d ms, spoilt %.2f, slow %.2f, reset %.2f, closed idle %.2f",
                repeated, maxRepeatDelayMillis, spoilt, slow, reset, closedIdle);
    }
}
