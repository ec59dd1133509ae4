package lilaclever.simhost;

/** Input that violates the wire format; the message names the line and the field. */
public final class WireException extends Exception {
    private static final long serialVersionUID = 1L;

    private final String field;
    private final String problem;

    WireException(long lineNumber, String field, String problem) {
        super("line " + lineNumber + ", field " + field + ": " + problem);
        this.field = field;
        this.problem = problem;
    }

    /** The invalid field. */
    public String field() {
        return field;
    }

    /** What is wrong with it. */
    public String problem() {
        return problem;
    }
}
