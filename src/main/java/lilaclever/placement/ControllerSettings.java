package lilaclever.placement;

/**
 * Settings of a region's controller.
 *
 * @param region                    number of the region, from 0
 * @param shards                    number of shards of the region, 1 to {@link #MAX_SHARDS}; fixed for a region
 * @param zones                     number of zones of the region, 1 to {@link #MAX_ZONES}
 * @param loadBound                 maximum ratio of a member's shards to its share by weight, 1 to {@link
 *                                  #MAX_LOAD_BOUND}
 * @param timing                    lease timing
 * @param maxReassignmentsPerSecond maximum number of shards per second that change their member, 1 to {@link
 *                                  #MAX_REASSIGNMENTS_PER_SECOND}
 */
public record ControllerSettings(
        int region, int shards, int zones, double loadBound, LeaseTiming timing, int maxReassignmentsPerSecond) {
    /** Maximum number of shards of a region. */
    public static final int MAX_SHARDS = 1 << 20;
    /** Maximum number of zones of a region. */
    public static final int MAX_ZONES = 1024;
    /** Maximum load bound: a greater one would have no effect in practice. */
    public static final double MAX_LOAD_BOUND = 10;
    /** Maximum rate of reassignment. */
    public static final int MAX_REASSIGNMENTS_PER_SECOND = 1_000_000;
    /** Minimum weight of a member. */
    public static final double MIN_WEIGHT = 0.01;
    /** Maximum weight of a member. */
    public static final double MAX_WEIGHT = 100;

    /**
     * Checks each field.
     *
     * @throws IllegalArgumentException if a field is out of range; the message names the field
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
