package lilaclever.simulation.fleet;

import java.util.ArrayList;
import java.util.List;

/**
 * Results of the checkers of all regions: breaches, and the number of unserved shards (no process may send for them).
 */
final class FleetChecks {
    private static final int MAX_BREACHES = 100;
    private final List<FleetBreach> breaches = new ArrayList<>();
    private long checks;
    private int unserved;
    private int peakUnserved;

    void countCheck() {
        checks++;
    }

    long checks() {
        return checks;
    }

    /** Records a breach; only the first {@link #MAX_BREACHES} are kept. */
    void addBreach(FleetBreach breach) {
        if (breaches.size() < MAX_BREACHES) {
            breaches.add(breach);
        }
    }

    List<FleetBreach> breaches() {
        return List.copyOf(breaches);
    }

    void unservedChanged(int difference) {
        unserved += difference;
        peakUnserved = Math.max(peakUnserved, unserved);
    }

    int unserved() {
        return unserved;
    }

    int peakUnserved() {
        return peakUnserved;
    }

    void resetPeak() {
        peakUnserved = unserved;
    }
}
