package lilaclever.simulation.world;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import lilaclever.simulation.model.RandomStream;
import lilaclever.simulation.model.Traffic;

/** The load balancer between clients and forwarders. It detects only after a delay that a forwarder is down. */
final class LoadBalancer {
    private final Timeline timeline;
    private final RandomStream random;
    /** The shortest and the longest time for which messages still go to a forwarder that is down. */
    private final long[] failureDetectionMicros;

    private final double[] weights;
    /** Forwarders that are down, with the time at which this is detected. */
    private final Map<Integer, Long> detectedDownMicros = new HashMap<>();

    LoadBalancer(Timeline timeline, RandomStream random, int forwarders, long[] failureDetectionMicros) {
        this.timeline = timeline;
        this.random = random;
        this.failureDetectionMicros = failureDetectionMicros;
        weights = new double[forwarders];
        Arrays.fill(weights, 1);
    }

    /** Picks the forwarder for the next message; any of them if all are known to be down. */
    int pickForwarder() {
        double[] shares = weights.clone();
        for (Map.Entry<Integer, Long> down : detectedDownMicros.entrySet()) {
            if (timeline.nowMicros() >= down.getValue()) {
                shares[down.getKey()] = 0;
            }
        }
        double sum = Arrays.stream(shares).sum();
        double unit = random.unit();
        return sum == 0 ? (int) (unit * shares.length) : Traffic.pick(shares, unit);
    }

    /** Sets a forwarder's weight, which is 1 by default. */
    void setWeight(int forwarder, double weight) {
        weights[forwarder] = weight;
    }

    /** A forwarder's process has ended, which is detected after a random delay. */
    void onExit(int forwarder) {
        detectedDownMicros.put(forwarder, timeline.nowMicros() + random.in(failureDetectionMicros));
    }

    /** A forwarder is known to be ready. */
    void onReady(int forwarder) {
        detectedDownMicros.remove(forwarder);
    }
}
