package lilaclever.lab.fleet;

/**
 * What was measured in one phase of a schedule.
 *
 * @param name                      what happened at its start
 * @param seconds                   how long it lasted
 * @param shardsLost                shards that lost their owner at once as it began
 * @param restoredSeconds           from its start until the last of all shards had an owner again; not a number if some
 *                                  had none at its end
 * @param peakUnserved              largest share of the fleet's shards without an owner
 * @param peakUnservedInRegion      largest share of the shards of one region without an owner
 * @param moves                     shards that got an owner in another forwarder
 * @param leastMoves                least possible number of moves
 * @param fullestShards             shards of the fullest forwarder against its region's mean, at the end
 * @param fullestDestinations       destinations of the fullest forwarder against its region's mean, at the end
 * @param changes                   changes of the configuration
 * @param changeEverywhereMillis    99.9th of a hundred, of the times until a change was in force everywhere
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
    /** Names of the columns, as {@link #row} gives them. */
    public static final String HEADER =
            "phase\tseconds\tshards_lost\trestored_s\tpeak_unserved\tpeak_unserved_in_region"
                    + "\tmoves\tleast_moves\tfullest_shards\tfullest_destinations"
                    + "\tchanges\tchange_p999_ms\tchange_worst_ms";

    /** One line of a table. */
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
