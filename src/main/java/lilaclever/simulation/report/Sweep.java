package lilaclever.simulation.report;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * The service figure against the load or a setting: a point for each value, with the 95% confidence interval over the
 * seeds.
 */
public final class Sweep {
    private final List<double[]> points = new ArrayList<>();
    private final StringBuilder csv = new StringBuilder("at,service,low,high,runs,broken_rules\n");
    private final String axis;

    /** Creates a sweep over the setting that {@code axis} names. */
    public Sweep(String axis) {
        this.axis = axis;
    }

    /**
     * Adds the runs of one point and returns its line of text; {@code broken} is the number of rules broken in all of
     * them.
     */
    public String add(double at, String label, List<Double> services, int broken) {
        double mean = Comparison.mean(services);
        double[] interval = Comparison.interval(services);
        double low = interval == null ? mean : interval[0], high = interval == null ? mean : interval[1];
        points.add(new double[] {at, mean, low, high});
        csv.append(
                String.format(Locale.ROOT, "%s,%.4f,%.4f,%.4f,%d,%d%n", at, mean, low, high, services.size(), broken));
        return String.format(
                Locale.ROOT,
                "%s: service %.3f (%.3f to %.3f)%s",
                label,
                mean,
                low,
                high,
                broken > 0 ? ", BROKEN rules " + broken : "");
    }

    /** Writes {@code sweep.csv} and {@code sweep.png}. */
    public void write(Path folder, String scenario) throws IOException {
        Files.createDirectories(folder);
        Files.writeString(folder.resolve("sweep.csv"), csv);
        Files.write(folder.resolve("sweep.png"), Plots.curve(axis, "service", Map.of(scenario, points)));
    }

    /**
     * The highest load at which the service still meets the aim, interpolated linearly between points; 0 if there is
     * none.
     */
    public double highestLoadMeeting(double aim) {
        double highest = 0;
        for (int i = 0; i < points.size(); i++) {
            if (points.get(i)[1] >= aim) {
                highest = points.get(i)[0];
            } else if (i > 0 && points.get(i - 1)[1] >= aim) {
                double[] a = points.get(i - 1), b = points.get(i);
                return a[0] + (a[1] - aim) / (a[1] - b[1]) * (b[0] - a[0]);
            }
        }
        return highest;
    }
}
