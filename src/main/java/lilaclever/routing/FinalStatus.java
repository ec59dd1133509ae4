package lilaclever.routing;

/** How a message ended; {@code comeBackMicros} goes with REFUSED (0: no advice). {@code detail} is for people. */
public record FinalStatus(Kind kind, long retryAfterMicros, String detail) {
    /**
     * The three ends; GONE: the client has withdrawn, nothing is owed; CLASH: not taken on, as another message has the
     * same identity. The order is part of the journal's format.
     */
    public enum Kind {
        DELIVERED,
        REFUSED,
        FAILED,
        GONE,
        CLASH
    }

    /** An end with nothing more to say. */
    public static FinalStatus of(Kind kind) {
        return new FinalStatus(kind, 0, "");
    }
}
