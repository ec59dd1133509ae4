package lilaclever.routing;

/**
 * What is known of a connection on which answers were refuted.
 *
 * @param mayBeForbidden whether an answer that forbids further attempts came on it, which may be that of any of its
 *     calls
 * @param isRepetitionSeen whether something came that no request asked for; else the connection ended, and its answers
 *     were probably those of their calls
 */
public record Refutation(boolean mayBeForbidden, boolean isRepetitionSeen) {
    /** Refuted, though nothing forbidding or unasked came. */
    public static final Refutation BY_CLOSE = new Refutation(false, false);
}
