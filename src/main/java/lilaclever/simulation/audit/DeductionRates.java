package lilaclever.simulation.audit;

/**
 * Deductions from the service figure, in percentage points, each multiplied by its rate: new connections and probes per
 * message, the share of wasted work, and the share of the offered worth whose messages got a final status and no
 * delivery of any worth.
 */
public record DeductionRates(double connection, double wastedWork, double lateFailure, double probe) {
    /** Rates of the exchange for which the forwarder was built. */
    public static final DeductionRates DEFAULT = new DeductionRates(6, 3, 3, 1.4);
}
