package lilaclever.benchlink;

/** Input that does not follow the wire; the message names the line and the field. */
final class WireException extends Exception {
    private static final long serialVersionUID = 1L;

    WireException(long line, String field, String problem) {
        super("line " + line + ", field " + field + ": " + problem);
    }
}
