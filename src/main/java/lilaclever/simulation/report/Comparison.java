package lilaclever.simulation.report;

import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.TreeMap;
import java.util.stream.Stream;

/**
 * Compares two sets of runs. Runs of the same scenario and seed form pairs; the mean of their differences has a 95%
 * confidence interval (Student's t). If that contains 0, the difference may be due to chance.
 */
public final class Comparison {
    private static final String[] FIGURES = {"service", "whole_run", "worst_10_s", "worst_class", "deductions"};
    /** Student's t at 97.5% for 1 to 30 degrees of freedom. */
    private static final double[] STUDENT_T_97_5 = {
        12.706, 4.303, 3.182, 2.776, 2.571, 2.447, 2.365, 2.306, 2.262, 2.228, 2.201, 2.179, 2.160, 2.145, 2.131, 2.120,
        2.110, 2.101, 2.093, 2.086, 2.080, 2.074, 2.069, 2.064, 2.060, 2.056, 2.052, 2.048, 2.045, 2.042
    };

    private Comparison() {}

    /** Reads all reports below a folder, keyed by scenario and seed. */
    public static TreeMap<String, JsonObject> read(Path folder) throws IOException {
        TreeMap<String, JsonObject> reports = new TreeMap<>();
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path f : files.filter(p -> p.getFileName().toString().equals("report.json"))
                    .sorted()
                    .toList()) {
                try {
                    JsonObject r = JsonParser.parseString(Files.readString(f)).getAsJsonObject();
                    reports.put(
                            r.get("scenario").getAsString() + ", seed "
                                    + r.get("seed").getAsLong(),
                            r);
                } catch (JsonParseException | IllegalStateException | NullPointerException e) {
                    throw new IOException(f + " is not a report", e);
                }
            }
        }
        if (reports.isEmpty()) {
            throw new IOException(folder + " contains no report.json");
        }
        return reports;
    }

    /** Returns the comparison as a table. */
    public static String table(Path a, Path b) throws IOException {
        TreeMap<String, JsonObject> first = read(a), second = read(b);
        List<String> sharedRuns =
                first.keySet().stream().filter(second::containsKey).toList();
        StringBuilder text = new StringBuilder();
        text.append(String.format(
                Locale.ROOT,
                "%d runs in %s, %d in %s, %d of them of the same scenario and seed%n",
                first.size(),
                a,
                second.size(),
                b,
                sharedRuns.size()));
        if (sharedRuns.isEmpty()) {
            return text.append("nothing to compare: run both with the same scenarios and seeds\n")
                    .toString();
        }
        text.append(String.format("%-14s %8s %8s %11s   %s%n", "figure", "A", "B", "B less A", "95% of chance"));
        for (String figure : FIGURES) {
            List<Double> differences = new ArrayList<>();
            double sumA = 0, sumB = 0;
            for (String run : sharedRuns) {
                double x = first.get(run).get(figure).getAsDouble(),
                        y = second.get(run).get(figure).getAsDouble();
                sumA += x;
                sumB += y;
                differences.add(y - x);
            }
            double[] interval = interval(differences);
            text.append(String.format(
                    Locale.ROOT,
                    "%-14s %8.4f %8.4f %+11.4f   %s%n",
                    figure,
                    sumA / sharedRuns.size(),
                    sumB / sharedRuns.size(),
                    mean(differences),
                    interval == null
                            ? "no interval from a single pair"
                            : String.format(
                                    Locale.ROOT,
                                    "%+.4f to %+.4f%s",
                                    interval[0],
                                    interval[1],
                                    interval[0] > 0 || interval[1] < 0 ? "" : ", may be chance")));
        }
        for (String run : sharedRuns) {
            text.append(broken(run, "A", first.get(run))).append(broken(run, "B", second.get(run)));
        }
        return text.toString();
    }

    private static String broken(String run, String set, JsonObject report) {
        JsonObject broken = report.getAsJsonObject("broken_rules");
        return broken.size() == 0 ? "" : "BROKEN in " + set + ", " + run + ": " + broken + "\n";
    }

    static double mean(List<Double> values) {
        return values.stream().mapToDouble(Double::doubleValue).average().orElse(0);
    }

    /** The 95% confidence interval of the mean; null for fewer than two values. */
    public static double[] interval(List<Double> values) {
        int n = values.size();
        if (n < 2) {
            return null;
        }
        double mean = mean(values);
        double squares =
                values.stream().mapToDouble(v -> (v - mean) * (v - mean)).sum();
        double half =
                (n - 1 <= STUDENT_T_97_5.length ? STUDENT_T_97_5[n - 2] : 1.96) * Math.sqrt(squares / (n - 1) / n);
        return new double[] {mean - half, mean + half};
    }
}
