package lilaclever.lab.world;

import java.util.Locale;
import org.HdrHistogram.Histogram;

/**
 * Whether a run in real time can be believed: how late the stand-ins did what was due. A partner that answers late, or
 * a client that hands in late, is a slower one than the scenario's, and the figures are then of another day.
 *
 * @param tasks what was due
 * @param lateShare the share of it that was over {@link #LATE_MICROS} late
 * @param maxMicros how late the latest was
 * @param errorCount what else went wrong with the stand-ins
 */
public record TimingQuality(
        long tasks, double lateShare, long medianMicros, long p99Micros, long maxMicros, long errorCount) {
    /** Later than this counts as late, microseconds. */
    public static final long LATE_MICROS = 10_000;

    private static final double MAX_LATE_SHARE = 0.005;
    private static final long MAX_LATENESS_MICROS = 500_000;

    /** From how late each task was, microseconds. */
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

    /** True if the figures are those of the scenario. */
    public boolean isAcceptable() {
        return lateShare <= MAX_LATE_SHARE && maxMicros <= MAX_LATENESS_MICROS && errorCount == 0;
    }

    /** For people. */
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
