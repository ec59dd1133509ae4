package lilaclever.simulation.fleet;

import org.apache.commons.rng.UniformRandomProvider;

/** Delivers messages in virtual time, with delay, reordering, duplication and loss. */
final class Network {
    private static final long MIN_HOP_MICROS = 200;
    private static final int HOP_SPREAD_MICROS = 1_800;
    private static final double SLOW_SHARE = 0.001;
    private static final int SLOW_SPREAD_MICROS = 200_000;
    private static final long MIN_WIDE_AREA_MICROS = 30_000;
    private static final int WIDE_AREA_SPREAD_MICROS = 120_000;

    private final EventQueue queue;
    private final UniformRandomProvider random;
    private final double lossShare;
    private final double duplicationShare;
    private long messages;
    private long lost;

    Network(EventQueue queue, UniformRandomProvider random, FleetSettings settings) {
        this.queue = queue;
        this.random = random;
        this.lossShare = settings.messageLoss();
        this.duplicationShare = settings.messageDuplication();
    }

    /** Sends a message within a region over the given number of hops. */
    void withinRegion(int hops, Runnable onArrival) {
        if (isLost()) {
            return;
        }
        queue.schedule(regionDelayMicros(hops), onArrival);
        if (random.nextDouble() < duplicationShare) {
            queue.schedule(regionDelayMicros(hops), onArrival);
        }
    }

    /** Sends a message from one region to another. */
    void betweenRegions(Runnable onArrival) {
        if (!isLost()) {
            queue.schedule(MIN_WIDE_AREA_MICROS + random.nextInt(WIDE_AREA_SPREAD_MICROS), onArrival);
        }
    }

    long messageCount() {
        return messages;
    }

    long lostCount() {
        return lost;
    }

    private boolean isLost() {
        messages++;
        if (random.nextDouble() >= lossShare) {
            return false;
        }
        lost++;
        return true;
    }

    private long regionDelayMicros(int hops) {
        long delayMicros = hops * MIN_HOP_MICROS + random.nextInt(hops * HOP_SPREAD_MICROS);
        return random.nextDouble() < SLOW_SHARE ? delayMicros + random.nextInt(SLOW_SPREAD_MICROS) : delayMicros;
    }
}
