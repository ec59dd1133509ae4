package lilaclever.lab.model;

/**
 * A kind of partner; two figures are the least and the most of what is drawn for each.
 *
 * @param share of all partners
 * @param large true where its partners get much of the traffic
 * @param limit how it limits calls
 * @param headroom its limit over its calls at full load
 * @param minRate a second
 * @param windowMicros of {@link Limit#WINDOW}
 * @param retryAfterShare the share of partners whose refusals tell a wait
 * @param countsRefusedShare the share of partners where refused calls use up the limit
 * @param connectionsPerServer over the calls served at once; 0: any number
 * @param maxBatch messages in a call at most
 * @param extraMessageCost work of a further message in a call, over that of the first
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
        int maxBatch,
        double extraMessageCost) {
    /** Calls are not limited, limited by a plain rate, or by a count in each span of time. */
    public enum Limit {
        NONE,
        RATE,
        WINDOW
    }
}
