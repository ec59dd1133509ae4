package lilaclever.simulation.audit;

import java.util.ArrayList;
import java.util.List;

/**
 * The service figure: worth delivered over worth offered, each message counted in the second of its first submission.
 * It is 45% the whole run, 35% the worst ten seconds and 20% the worst class, less the deductions.
 */
public final class Service {
    private static final double WHOLE_RUN_WEIGHT = 0.45, WORST_WINDOW_WEIGHT = 0.35, WORST_CLASS_WEIGHT = 0.2;
    private static final int WINDOW_SECONDS = 10;

    private final double[] offeredByClass, deliveredByClass;
    private final List<double[]> totalsBySecond = new ArrayList<>();
    private double lateFailedWorth, offeredWorkMicros, wastedWorkMicros;
    private long messages, connections, probes;

    /** Creates the figure for the given number of message classes. */
    public Service(int classes) {
        offeredByClass = new double[classes];
        deliveredByClass = new double[classes];
    }

    private double[] totalsOfSecond(long atMicros) {
        int s = (int) (atMicros / 1_000_000);
        while (totalsBySecond.size() <= s) {
            totalsBySecond.add(new double[2]);
        }
        return totalsBySecond.get(s);
    }

    /**
     * Adds a message with a complete history; {@code lateFailure}: it got a final status, but no delivery of any worth.
     */
    void addMessage(
            int messageClass,
            long firstSubmittedMicros,
            double offeredWorth,
            double deliveredWorth,
            boolean lateFailure) {
        messages++;
        offeredByClass[messageClass] += offeredWorth;
        deliveredByClass[messageClass] += deliveredWorth;
        double[] s = totalsOfSecond(firstSubmittedMicros);
        s[0] += offeredWorth;
        s[1] += deliveredWorth;
        lateFailedWorth += lateFailure ? offeredWorth : 0;
    }

    /** Counts a new connection to a partner. */
    public void addConnection() {
        connections++;
    }

    /** Counts a probe. */
    public void addProbe() {
        probes++;
    }

    /** Adds work of a partner, microseconds; it is wasted if it led to no delivery. */
    public void addWork(long workMicros, boolean wasted) {
        wastedWorkMicros += wasted ? workMicros : 0;
    }

    /** Adds the work of a new message. */
    void addOfferedWork(long workMicros) {
        offeredWorkMicros += workMicros;
    }

    /** Delivered share of the whole run. */
    public double wholeRun() {
        return shareOrOne(sum(deliveredByClass), sum(offeredByClass));
    }

    /** Delivered share of the worst ten seconds. */
    public double worstWindow() {
        double worst = 1;
        for (int from = 0; from == 0 || from + WINDOW_SECONDS <= totalsBySecond.size(); from++) {
            double offeredWorth = 0, deliveredWorth = 0;
            for (int s = from; s < Math.min(totalsBySecond.size(), from + WINDOW_SECONDS); s++) {
                offeredWorth += totalsBySecond.get(s)[0];
                deliveredWorth += totalsBySecond.get(s)[1];
            }
            worst = offeredWorth > 0 ? Math.min(worst, deliveredWorth / offeredWorth) : worst;
        }
        return worst;
    }

    /** Delivered share of a class; 1 if nothing was offered. */
    public double ofClass(int messageClass) {
        return shareOrOne(deliveredByClass[messageClass], offeredByClass[messageClass]);
    }

    /** Delivered share of the worst class. */
    public double worstClass() {
        double worst = 1;
        for (int c = 0; c < offeredByClass.length; c++) {
            worst = Math.min(worst, ofClass(c));
        }
        return worst;
    }

    /** Sum of the deductions, as a share. */
    public double deductions(DeductionRates rates) {
        double messageCount = Math.max(1, messages);
        return (rates.connection() * Math.min(1, connections / messageCount)
                        + rates.probe() * Math.min(1, probes / messageCount)
                        + rates.lateFailure() * shareOrZero(lateFailedWorth, sum(offeredByClass))
                        + rates.wastedWork() * Math.min(1, shareOrZero(wastedWorkMicros, offeredWorkMicros)))
                / 100;
    }

    /** The service figure, 0 to 1. */
    public double figure(DeductionRates rates) {
        return Math.max(
                0,
                WHOLE_RUN_WEIGHT * wholeRun()
                        + WORST_WINDOW_WEIGHT * worstWindow()
                        + WORST_CLASS_WEIGHT * worstClass()
                        - deductions(rates));
    }

    /** Delivered share of each second; NaN where nothing was offered. */
    public double[] bySecond() {
        return totalsBySecond.stream()
                .mapToDouble(s -> s[0] > 0 ? s[1] / s[0] : Double.NaN)
                .toArray();
    }

    /** Number of new connections so far. */
    public long connections() {
        return connections;
    }

    /** Number of probes so far. */
    public long probes() {
        return probes;
    }

    private static double sum(double[] parts) {
        double sum = 0;
        for (double p : parts) {
            sum += p;
        }
        return sum;
    }

    private static double shareOrOne(double deliveredWorth, double offeredWorth) {
        return offeredWorth > 0 ? deliveredWorth / offeredWorth : 1;
    }

    private static double shareOrZero(double part, double whole) {
        return whole > 0 ? part / whole : 0;
    }
}
