package lilaclever.routing;

/**
 * The final status of a message.
 *
 * @param retryAfterMicros with REFUSED, after how long the client should retry; 0: no advice
 * @param detail human-readable explanation
 */
public record FinalStatus(Kind kind, long retryAfterMicros, String detail) {
    /**
     * DELIVERED, REFUSED and FAILED are reported to the client. GONE: the client has withdrawn, so there is nothing to
     * report. CLASH: not accepted, as a message with other content has the same identity. The ordinals are stored in
     * the journal, so the order must not change.
     */
    public enum Kind {
        DELIVERED,
        REFUSED,
        FAILED,
        GONE,
        CLASH
    }

    /** A status without retry advice and detail. */
    public static FinalStatus of(Kind kind) {
        return new FinalStatus(kind, 0, "");
    }
}
