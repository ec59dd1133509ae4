package lilaclever.lab.model;

/**
 * A kind of partner; two figures are the least and the most of what is drawn for each.
 *
 * @param share of all partners
 * @param large true where its partners get much of the traffic
 * @param limit how it limits calls
 * @param headroom its limit over its calls at full load
 * @param leastRate a second
 * @param spanMicros of {@link Limit#WINDOW}
 * @param tellsWait the share of partners whose refusals tell a wait
 * @param refusedCount the share of partners where refused calls use up the limit
 * @param connections over the calls served at once; 0: any number
 * @param maxBatch messages in a call at most
 * @param itemCost work of a further message in a call, over that of the first
 */
public record PartnerKind(
        String name,
        double share,
        boolean large,
        Limit limit,
        double[] headroom,
        double[] leastRate,
        long spanMicros,
        double[] spare,
        double[] depthSeconds,
        double tellsWait,
        long[] waitMicros,
        double refusedCount,
        double[] connections,
        double[] leastConnections,
        double variation,
        int maxBatch,
        double itemCost) {
    /** Calls are not limited, limited by a plain rate, or by a count in each span of time. */
    public enum Limit {
        NONE,
        RATE,
        WINDOW
    }
}
