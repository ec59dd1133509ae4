package lilaclever.journal;

/**
 * When records are synced to the disk. A killed process loses nothing in any case; this matters when the machine fails.
 *
 * @param how the sync mode
 * @param everyMicros in mode INTERVAL, the time between two syncs
 */
public record Durability(How how, long everyMicros) {
    /**
     * NONE: never. INTERVAL: periodically, and nothing waits for the sync. GROUP: all records of a turn together, and
     * nothing that depends on a record happens before its sync.
     */
    public enum How {
        NONE,
        INTERVAL,
        GROUP
    }

    /** The default: no syncs, for a platform where the folder is lost with its machine. */
    public static final Durability NONE = new Durability(How.NONE, 0);
}
