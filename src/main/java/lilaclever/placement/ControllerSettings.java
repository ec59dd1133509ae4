package lilaclever.placement;

/**
 * Settings of a region's controller.
 *
 * @param region                    number of the region, from 0
 * @param shards                    number of shards of the region, 1 to {@link #MAX_SHARDS}; it never changes
 * @param zones                     number of zones of the region, 1 to {@link #MAX_ZONES}
 * @param loadBound                 most shards of a member relative to its share by weight, 1 to {@link
 *                                  #MAX_LOAD_BOUND}
 * @param timing                    times of the leases
 * @param maxReassignmentsPerSecond most shards a second that are given to another member than before, 1 to
 *                                  {@link #MAX_REASSIGNMENTS_PER_SECOND}
 */
public record ControllerSettings(
        int region, int shards, int zones, double loadBound, LeaseTiming timing, int maxReassignmentsPerSecond) {
    /** Most shards of a region. */
    public static final int MAX_SHARDS = 1 << 20;
    /** Most zones of a region. */
    public static final int MAX_ZONES = 1024;
    /** Greatest bound on load: above it the bound would no longer bind. */
    public static final double MAX_LOAD_BOUND = 10;
    /** Highest pace of reassignment. */
    public static final int MAX_REASSIGNMENTS_PER_SECOND = 1_000_000;
    /** Least weight of a member. */
    public static final double MIN_WEIGHT = 0.01;
    /** Greatest weight of a member. */
    public static final double MAX_WEIGHT = 100;

    /**
     * Checks each field.
     *
     * @throws IllegalArgumentException if a field is out of its range; the message names it
     */
    public ControllerSettings {
        requireRange("region", region, 0, Integer.MAX_VALUE);
        requireRange("shards", shards, 1, MAX_SHARDS);
        requireRange("zones", zones, 1, MAX_ZONES);
        if (!(loadBound >= 1 && loadBound <= MAX_LOAD_BOUND)) {
            throw new IllegalArgumentException("loadBound must be from 1 to " + MAX_LOAD_BOUND + ": " + loadBound);
        }
        if (timing == null) {
            throw new IllegalArgumentException("timing is missing");
        }
        requireRange("maxReassignmentsPerSecond", maxReassignmentsPerSecond, 1, MAX_REASSIGNMENTS_PER_SECOND);
    }

    private static void requireRange(String field, int value, int min, int max) {
        if (value < min || value > max) {
            throw new IllegalArgumentException(field + " must be from " + min + " to " + max + ": " + value);
        }
    }
}
