package lilaclever.simulation.model;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Draws all arrivals of a run in advance. The load is a share of the full load, interpolated linearly between the
 * points of its shape. Arrivals are a Poisson process, drawn by thinning; some of them come in bursts for one
 * destination.
 */
public final class Traffic {
    /** The load at a time. */
    public record Point(long atMicros, double load) {}

    private final List<Point> shape;
    private final double messagesPerSecond, burstShare;
    private final double[] burstSeconds;
    private final List<MessageClass> classes;
    private final double[] weights;
    private final List<Partner> partners;

    /**
     * Creates the traffic; {@code weights} are the shares of the destinations, summing to 1, in the order of the
     * partners.
     */
    public Traffic(
            List<Point> shape,
            double messagesPerSecond,
            double burstShare,
            double[] burstSeconds,
            List<MessageClass> classes,
            double[] weights,
            List<Partner> partners) {
        this.shape = shape;
        this.messagesPerSecond = messagesPerSecond;
        this.burstShare = burstShare;
        this.burstSeconds = burstSeconds;
        this.classes = classes;
        this.weights = weights;
        this.partners = partners;
    }

    /** The load at a time, as a share of the full load. */
    public double load(long atMicros) {
        Point before = shape.get(0);
        for (Point p : shape) {
            if (p.atMicros() > atMicros) {
                double fraction = (double) (atMicros - before.atMicros()) / (p.atMicros() - before.atMicros());
                return before.load() + fraction * (p.load() - before.load());
            }
            before = p;
        }
        return before.load();
    }

    /** Draws all arrivals up to the end, in order of time. */
    public List<Arrival> draw(long endMicros, RandomStream random) {
        double maxLoad = shape.stream().mapToDouble(Point::load).max().orElse(0);
        double[] cumulativeWeights = new double[weights.length];
        double sum = 0;
        for (int i = 0; i < weights.length; i++) {
            sum += weights[i];
            cumulativeWeights[i] = sum;
        }
        List<Arrival> arrivals = new ArrayList<>();
        double atMicros = 0;
        while (maxLoad > 0) {
            atMicros += random.exponential(1e6 / (maxLoad * messagesPerSecond));
            if (atMicros >= endMicros) {
                break;
            }
            if (!random.chance(load((long) atMicros) / maxLoad)) {
                continue;
            }
            int found = java.util.Arrays.binarySearch(cumulativeWeights, random.unit() * sum);
            int partner = Math.min(weights.length - 1, found < 0 ? -found - 1 : found + 1);
            // burstShare is a share of messages, so the chance of starting a burst is divided by the size of the burst.
            double burstSize = partners.get(partner).capacity() * random.in(burstSeconds);
            int count = burstShare > 0 && random.chance(burstShare / Math.max(1, burstSize))
                    ? Math.max(1, (int) burstSize)
                    : 1;
            for (int i = 0; i < count; i++) {
                arrivals.add(arrival((long) (atMicros + i * 1000.0), partner, random));
            }
        }
        arrivals.sort(Comparator.comparingLong(Arrival::atMicros));
        List<Arrival> numbered = new ArrayList<>(arrivals.size());
        for (Arrival a : arrivals) {
            numbered.add(new Arrival(a.atMicros(), numbered.size(), a.messageClass(), a.destination(), a.workMicros()));
        }
        return numbered;
    }

    private Arrival arrival(long atMicros, int partner, RandomStream random) {
        double[] shares = classes.stream().mapToDouble(MessageClass::share).toArray();
        int messageClass = pick(shares, random.unit());
        return new Arrival(
                atMicros,
                0,
                messageClass,
                partners.get(partner).destination(),
                random.in(classes.get(messageClass).workMicros()));
    }

    /** The index into whose part of the sum a number from 0 to 1 falls. */
    public static int pick(double[] parts, double unit) {
        double sum = 0;
        for (double p : parts) {
            sum += p;
        }
        double remaining = unit * sum;
        for (int i = 0; i < parts.length; i++) {
            remaining -= parts[i];
            if (remaining < 0) {
                return i;
            }
        }
        return parts.length - 1;
    }

    /** Shares by Zipf's law with the given exponent, summing to 1. */
    public static double[] zipf(int count, double exponent) {
        double[] parts = new double[count];
        double sum = 0;
        for (int i = 0; i < count; i++) {
            parts[i] = Math.pow(i + 1, -exponent);
            sum += parts[i];
        }
        for (int i = 0; i < count; i++) {
            parts[i] /= sum;
        }
        return parts;
    }
}
