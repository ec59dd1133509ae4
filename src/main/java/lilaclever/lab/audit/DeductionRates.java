package lilaclever.lab.audit;

/** What is taken off the service, in points of a hundred, each times its share or rate. */
public record DeductionRates(double connection, double wastedWork, double lateFailure, double probe) {
    /** As at the exchange that the forwarder was built for. */
    public static final DeductionRates DEFAULT = new DeductionRates(6, 3, 3, 1.4);
}
