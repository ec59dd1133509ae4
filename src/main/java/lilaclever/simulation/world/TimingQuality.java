package lilaclever.simulation.world;

import java.util.Locale;
import org.HdrHistogram.Histogram;

/**
 * Whether the figures of a run in real time can be trusted, by how late the stand-ins ran their actions. A partner that
 * answers late, or a client that submits late, is slower than the scenario's, so that the figures do not describe the
 * scenario.
 *
 * @param tasks the number of actions
 * @param lateShare the share of actions that ran more than {@link #LATE_MICROS} late
 * @param maxMicros how late the latest action ran
 * @param errorCount other errors of the stand-ins
 */
public record TimingQuality(
        long tasks, double lateShare, long medianMicros, long p99Micros, long maxMicros, long errorCount) {
    /** An action that runs later than this counts as late. */
    public static final long LATE_MICROS = 10_000;

    private static final double MAX_LATE_SHARE = 0.005;
    private static final long MAX_LATENESS_MICROS = 500_000;

    /** Summarizes how late each action ran, in microseconds. */
    public static TimingQuality of(Histogram lateness, long errorCount) {
        long tasks = lateness.getTotalCount();
        double lateShare = tasks == 0 ? 0 : 1 - lateness.getCountBetweenValues(0, LATE_MICROS) / (double) tasks;
        return new TimingQuality(
                tasks,
                lateShare,
                lateness.getValueAtPercentile(50),
                lateness.getValueAtPercentile(99),
                lateness.getMaxValue(),
                errorCount);
    }

    /** True if the stand-ins were punctual enough for the figures to be those of the scenario. */
    public boolean isAcceptable() {
        return lateShare <= MAX_LATE_SHARE && maxMicros <= MAX_LATENESS_MICROS && errorCount == 0;
    }

    /** A description of the timing for people. */
    public String summary() {
        return String.format(
                Locale.ROOT,
                "%s: of %d tasks %.2f%% were over %d ms late; median %.1f ms, 99th percentile %.1f ms, most %.1f ms%s",
                isAcceptable() ? "the stand-ins kept up" : "NOT TO BE TRUSTED, the stand-ins did not keep up",
                tasks,
                lateShare * 100,
                LATE_MICROS / 1000,
                medianMicros / 1e3,
                p99Micros / 1e3,
                maxMicros / 1e3,
                errorCount == 0 ? "" : "; troubles of their own: " + errorCount);
    }
}
