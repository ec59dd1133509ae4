package lilaclever.lab.world;

import java.util.TreeMap;

/** Figures of a run by second: a named row of sums for each. */
final class TimeSeries {
    private static final long SECOND_MICROS = 1_000_000;

    private final Timeline timeline;
    private final int seconds;
    private final TreeMap<String, double[]> rows = new TreeMap<>();

    /** Rows that are long enough for so many microseconds; what is added later is dropped. */
    TimeSeries(Timeline timeline, long lengthMicros) {
        this.timeline = timeline;
        seconds = (int) (lengthMicros / SECOND_MICROS) + 1;
    }

    /** Adds to the present second of that row. */
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
