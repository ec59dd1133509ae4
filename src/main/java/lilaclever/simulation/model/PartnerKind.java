package lilaclever.simulation.model;

/**
 * A kind of partner. An array of two numbers is the range from which a value is drawn for each partner.
 *
 * @param share of all partners
 * @param large whether its partners receive the larger shares of the traffic
 * @param limit how its partners limit calls
 * @param headroom ratio of the call limit to the calls at full load
 * @param minRate least call limit, calls a second
 * @param windowMicros length of the window of {@link Limit#WINDOW}
 * @param retryAfterShare share of partners whose refusals carry a retry-after period
 * @param countsRefusedShare share of partners where refused calls count against the limit, if it is a plain rate
 * @param connectionsPerServer connection limit per call served at once; 0: unlimited
 * @param maxBatchSize most messages in a call
 * @param extraMessageCost processing cost of each further message in a call, relative to the first
 */
public record PartnerKind(
        String name,
        double share,
        boolean large,
        Limit limit,
        double[] headroom,
        double[] minRate,
        long windowMicros,
        double[] spareCapacity,
        double[] queueSeconds,
        double retryAfterShare,
        long[] retryAfterMicros,
        double countsRefusedShare,
        double[] connectionsPerServer,
        double[] minConnections,
        double workVariation,
        int maxBatchSize,
        double extraMessageCost) {
    /** Calls are unlimited, limited by a plain rate, or limited by a count in each fixed window. */
    public enum Limit {
        NONE,
        RATE,
        WINDOW
    }
}
