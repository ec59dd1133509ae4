package lilaclever.journal;

/**
 * When records are forced to the disk. A killed process loses nothing in any case; this is for a machine that fails.
 *
 * @param mode the rule
 * @param intervalMicros with INTERVAL, the time between two forcings
 */
public record Durability(Mode mode, long intervalMicros) {
    /**
     * NONE: never. INTERVAL: every so often, and nothing waits for it. GROUP: all records of a turn together, and
     * nothing that a record comes before happens until then.
     */
    public enum Mode {
        NONE,
        INTERVAL,
        GROUP
    }

    /** The platform's choice: its folder goes with its machine. */
    public static final Durability NONE = new Durability(Mode.NONE, 0);
}
