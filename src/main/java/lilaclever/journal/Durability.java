package lilaclever.journal;

/**
 * When records are synced to the disk. A killed process loses nothing in any case; this matters when the machine fails.
 *
 * @param mode the sync mode
 * @param intervalMicros in mode INTERVAL, the time between two syncs
 */
public record Durability(Mode mode, long intervalMicros) {
    /**
     * NONE: never. INTERVAL: periodically, and nothing waits for the sync. GROUP: all records of a turn together, and
     * nothing that depends on a record happens before its sync.
     */
    public enum Mode {
        NONE,
        INTERVAL,
        GROUP
    }

    /** The default: no syncs, for a platform where the folder is lost with its machine. */
    public static final Durability NONE = new Durability(Mode.NONE, 0);
}
