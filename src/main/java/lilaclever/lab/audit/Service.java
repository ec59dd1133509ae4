package lilaclever.lab.audit;

import java.util.ArrayList;
import java.util.List;

/**
 * The service figure: worth delivered over worth asked for, each message counted at the second in which it was first
 * handed in. 45% the whole run, 35% the worst ten seconds, 20% the worst class; prices come off.
 */
public final class Service {
    private static final double WHOLE = 0.45, WORST_WINDOW = 0.35, WORST_CLASS = 0.2;
    private static final int WINDOW = 10;

    private final double[] classAsked, classGot;
    private final List<double[]> seconds = new ArrayList<>();
    private double lateFailed, workOffered, workWasted;
    private long firstTries, connections, probes;

    /** For so many classes. */
    public Service(int classes) {
        classAsked = new double[classes];
        classGot = new double[classes];
    }

    private double[] second(long micros) {
        int s = (int) (micros / 1_000_000);
        while (seconds.size() <= s) {
            seconds.add(new double[2]);
        }
        return seconds.get(s);
    }

    /** A message's story is over; {@code late}: it was ended undelivered after its aim. */
    void count(int messageClass, long firstAt, double asked, double got, boolean late) {
        firstTries++;
        classAsked[messageClass] += asked;
        classGot[messageClass] += got;
        double[] s = second(firstAt);
        s[0] += asked;
        s[1] += got;
        lateFailed += late ? asked : 0;
    }

    /** A new connection to a partner. */
    public void addConnection() {
        connections++;
    }

    /** A probe. */
    public void addProbe() {
        probes++;
    }

    /** Work that a partner did, microseconds; wasted where it delivered nothing. */
    public void addWork(long micros, boolean wasted) {
        workWasted += wasted ? micros : 0;
    }

    /** Work that was asked for. */
    void offered(long micros) {
        workOffered += micros;
    }

    /** The share of the whole run. */
    public double wholeRun() {
        return share(sum(classGot), sum(classAsked));
    }

    /** The share of the worst ten seconds. */
    public double worstWindow() {
        double worst = 1;
        for (int from = 0; from == 0 || from + WINDOW <= seconds.size(); from++) {
            double asked = 0, got = 0;
            for (int s = from; s < Math.min(seconds.size(), from + WINDOW); s++) {
                asked += seconds.get(s)[0];
                got += seconds.get(s)[1];
            }
            worst = asked > 0 ? Math.min(worst, got / asked) : worst;
        }
        return worst;
    }

    /** The share of a class; 1 where nothing was asked. */
    public double ofClass(int messageClass) {
        return share(classGot[messageClass], classAsked[messageClass]);
    }

    /** The share of the worst class. */
    public double worstClass() {
        double worst = 1;
        for (int c = 0; c < classAsked.length; c++) {
            worst = Math.min(worst, ofClass(c));
        }
        return worst;
    }

    /** What comes off, a share. */
    public double deductions(DeductionRates p) {
        double tries = Math.max(1, firstTries);
        return (p.connection() * Math.min(1, connections / tries)
                        + p.probe() * Math.min(1, probes / tries)
                        + p.lateFail() * share0(lateFailed, sum(classAsked))
                        + p.waste() * Math.min(1, share0(workWasted, workOffered)))
                / 100;
    }

    /** The figure, 0 to 1. */
    public double figure(DeductionRates p) {
        return Math.max(0, WHOLE * wholeRun() + WORST_WINDOW * worstWindow() + WORST_CLASS * worstClass() - deductions(p));
    }

    /** The share of each second; no number where nothing was asked. */
    public double[] bySecond() {
        return seconds.stream()
                .mapToDouble(s -> s[0] > 0 ? s[1] / s[0] : Double.NaN)
                .toArray();
    }

    /** New connections so far. */
    public long connections() {
        return connections;
    }

    /** Probes so far. */
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

    private static double share(double got, double asked) {
        return asked > 0 ? got / asked : 1;
    }

    private static double share0(double part, double whole) {
        return whole > 0 ? part / whole : 0;
    }
}
