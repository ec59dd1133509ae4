package lilaclever.placement;

/** Thrown for bytes that are not a valid delta or snapshot of a shard map. */
public final class MapFormatException extends Exception {
    private static final long serialVersionUID = 1;

    /** What is wrong with the bytes. */
    public enum Problem {
        /** The first byte is not the tag of the expected type. */
        WRONG_KIND,
        /** The bytes end too early, or are too few for the announced number of entries. */
        TRUNCATED,
        /** The number of entries is above {@link ControllerSettings#MAX_SHARDS}. */
        OVERSIZED,
        /** A number is not in its shortest form or is out of range. */
        INVALID_NUMBER,
        /** The shards are not in strictly ascending order. */
        UNSORTED,
        /** Bytes follow the end of the message. */
        TRAILING_BYTES
    }

    private final Problem problem;

    MapFormatException(Problem problem, int offset) {
        super(problem + " at byte " + offset);
        this.problem = problem;
    }

    /** What is wrong. */
    public Problem problem() {
        return problem;
    }
}
