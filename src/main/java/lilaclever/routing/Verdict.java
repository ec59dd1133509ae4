package lilaclever.routing;

/** How a message ended; {@code comeBackMicros} goes with REFUSED (0: no advice). {@code detail} is for people. */
public record Verdict(Kind kind, long comeBackMicros, String detail) {
    /** The three ends, and GONE: the client has withdrawn, nothing is owed. */
    public enum Kind { DELIVERED, REFUSED, FAILED, GONE }

    /** An end with nothing more to say. */
    public static Verdict of(Kind kind) {
        return new Verdict(kind, 0, "");
    }
}
