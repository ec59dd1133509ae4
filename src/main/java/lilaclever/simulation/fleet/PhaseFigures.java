package lilaclever.simulation.fleet;

/**
 * Figures of one phase of a schedule.
 *
 * @param name type of the phase
 * @param seconds duration
 * @param shardsLost shards that lost their owner at its start
 * @param restoredSeconds time from its start until every shard had an owner again; NaN if some had none at its end
 * @param peakUnserved largest share of the fleet's shards without an owner
 * @param peakUnservedInRegion largest share of the shards of one region without an owner
 * @param moves shards that got an owner in a different forwarder
 * @param leastMoves least possible number of moves
 * @param fullestShards ratio of the fullest forwarder's shards to its region's mean, at the end
 * @param fullestDestinations ratio of the fullest forwarder's destinations to its region's mean, at the end
 * @param changes configuration changes
 * @param changeEverywhereMillis 99.9th percentile of the time until a change was in force everywhere
 * @param changeEverywhereWorstMillis the longest of these
 */
public record PhaseFigures(
        String name,
        double seconds,
        int shardsLost,
        double restoredSeconds,
        double peakUnserved,
        double peakUnservedInRegion,
        long moves,
        long leastMoves,
        double fullestShards,
        double fullestDestinations,
        long changes,
        long changeEverywhereMillis,
        long changeEverywhereWorstMillis) {
    /** Names of the columns of {@link #row}. */
    public static final String HEADER =
            "phase\tseconds\tshards_lost\trestored_s\tpeak_unserved\tpeak_unserved_in_region"
                    + "\tmoves\tleast_moves\tfullest_shards\tfullest_destinations"
                    + "\tchanges\tchange_p999_ms\tchange_worst_ms";

    /** Returns one line of the table. */
    public String row() {
        return String.format(
                "%s\t%.0f\t%d\t%.3f\t%.6f\t%.6f\t%d\t%d\t%.3f\t%.3f\t%d\t%d\t%d",
                name,
                seconds,
                shardsLost,
                restoredSeconds,
                peakUnserved,
                peakUnservedInRegion,
                moves,
                leastMoves,
                fullestShards,
                fullestDestinations,
                changes,
                changeEverywhereMillis,
                changeEverywhereWorstMillis);
    }
}
