package lilaclever.simulation.world;

import java.util.TreeMap;

/** Figures of a rehearsal by second: each a named row of sums. */
final class TimeSeries {
    private static final long SECOND_MICROS = 1_000_000;

    private final Timeline timeline;
    private final int seconds;
    private final TreeMap<String, double[]> rows = new TreeMap<>();

    /** Creates rows for the given length; what is added after it is dropped. */
    TimeSeries(Timeline timeline, long lengthMicros) {
        this.timeline = timeline;
        seconds = (int) (lengthMicros / SECOND_MICROS) + 1;
    }

    /** Adds to the current second of that row. */
    void add(String name, double amount) {
        int second = (int) (timeline.nowMicros() / SECOND_MICROS);
        if (second < seconds) {
            rows.computeIfAbsent(name, x -> new double[seconds])[second] += amount;
        }
    }

    /** All rows by name. */
    TreeMap<String, double[]> rows() {
        return rows;
    }
}
