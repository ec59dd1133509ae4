package lilaclever.placement;

/** Bytes that are no delta or snapshot of a shard map. */
public final class MapFormatException extends Exception {
    private static final long serialVersionUID = 1;

    /** What is wrong with the bytes. */
    public enum Problem {
        /** The first byte is not the mark of what was expected. */
        WRONG_KIND,
        /** The bytes end too early, or are too few for the number of entries that they announce. */
        TRUNCATED,
        /** The number of entries is above {@link ControllerSettings#MAX_SHARDS}. */
        OVERSIZED,
        /** A number is written with more bytes than it needs, or is out of its range. */
        INVALID_NUMBER,
        /** The shards are not in ascending order, or one comes twice. */
        UNSORTED,
        /** Bytes follow after the end. */
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
