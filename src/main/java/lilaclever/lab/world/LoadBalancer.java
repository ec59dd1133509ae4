package lilaclever.lab.world;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import lilaclever.lab.model.RandomStream;
import lilaclever.lab.model.Traffic;

/** The front that spreads clients' messages over the forwarders. It finds out only after a time that one is dead. */
final class LoadBalancer {
    private final Timeline timeline;
    private final RandomStream random;
    /** How long messages still go to a forwarder that has died, least and most, microseconds. */
    private final long[] detectionDelayMicros;

    private final double[] weights;
    /** Forwarders that have died, and from when on this is known. */
    private final Map<Integer, Long> detectedDownMicros = new HashMap<>();

    LoadBalancer(Timeline timeline, RandomStream random, int forwarders, long[] detectionDelayMicros) {
        this.timeline = timeline;
        this.random = random;
        this.detectionDelayMicros = detectionDelayMicros;
        weights = new double[forwarders];
        Arrays.fill(weights, 1);
    }

    /** The forwarder that gets the next message. If none is known to live, any. */
    int pick() {
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

    /** Sets a forwarder's weight; 1 is usual. */
    void setWeight(int forwarder, double weight) {
        weights[forwarder] = weight;
    }

    /** A forwarder has died: that is known here after a while. */
    void onExit(int forwarder) {
        detectedDownMicros.put(forwarder, timeline.nowMicros() + random.in(detectionDelayMicros));
    }

    /** A forwarder is known to serve. */
    void onReady(int forwarder) {
        detectedDownMicros.remove(forwarder);
    }
}
