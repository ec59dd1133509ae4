package lilaclever.scale;

import java.awt.Color;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Stream;
import org.jfree.chart.ChartFactory;
import org.jfree.chart.ChartUtils;
import org.jfree.chart.JFreeChart;
import org.jfree.chart.plot.XYPlot;
import org.jfree.chart.renderer.xy.XYLineAndShapeRenderer;
import org.jfree.data.xy.XYSeries;
import org.jfree.data.xy.XYSeriesCollection;

/**
 * Fits a line to each measure of all {@code *.samples.tsv} in a folder, and writes {@code fits.tsv} and plots of the
 * main measures there. {@code FitRun FOLDER}.
 */
final class FitRun {
    private static final Set<String> PLOTTED = Set.of(
            "listed_heap",
            "listed_start_cpu",
            "change_cpu",
            "held_heap",
            "held_disk",
            "held_busy_turn_cpu",
            "held_recovery_cpu",
            "event_cpu",
            "process_event_cpu");
    private static final int WIDTH = 640, HEIGHT = 360;
    private static final int MIN_SIZES = 4;

    private FitRun() {}

    public static void main(String[] args) throws IOException {
        System.setProperty("java.awt.headless", "true");
        Path folder = Path.of(args[0]);
        Map<String, List<Sample>> measures = read(folder);
        List<String> lines = new ArrayList<>();
        lines.add("measure\tunit\tsizes\tsamples\tper_unit\tat_zero\tr_squared\trms_residual\tworst_residual_part");
        for (Map.Entry<String, List<Sample>> measure : measures.entrySet()) {
            List<Sample> samples = measure.getValue();
            long sizes = samples.stream().mapToDouble(Sample::size).distinct().count();
            if (sizes < MIN_SIZES) {
                continue; // measured at too few sizes, as the agent's behaviours are
            }
            LinearFit fit = LinearFit.fit(samples.stream()
                    .map(s -> new LinearFit.Point(s.size(), s.value()))
                    .toList());
            lines.add(String.format(
                    Locale.ROOT,
                    "%s\t%s\t%d\t%d\t%.6g\t%.6g\t%.5f\t%.4g\t%.4f",
                    measure.getKey(),
                    samples.get(0).unit(),
                    sizes,
                    samples.size(),
                    fit.perUnit(),
                    fit.intercept(),
                    fit.rSquared(),
                    fit.rmsResidual(),
                    fit.maxRelativeResidual()));
            if (PLOTTED.contains(measure.getKey())) {
                plot(folder.resolve(measure.getKey() + ".png"), measure.getKey(), samples, fit);
            }
        }
        Files.write(folder.resolve("fits.tsv"), lines);
        lines.forEach(System.out::println);
    }

    private static Map<String, List<Sample>> read(Path folder) throws IOException {
        Map<String, List<Sample>> measures = new TreeMap<>();
        try (Stream<Path> files = Files.list(folder)) {
            for (Path file : files.filter(f -> f.toString().endsWith(".samples.tsv"))
                    .sorted()
                    .toList()) {
                Files.readAllLines(file).stream()
                        .filter(line -> !line.equals(Sample.HEADER))
                        .map(Sample::parse)
                        .forEach(s -> measures.computeIfAbsent(s.measure(), m -> new ArrayList<>())
                                .add(s));
            }
        }
        return measures;
    }

    private static void plot(Path file, String name, List<Sample> samples, LinearFit fit) throws IOException {
        XYSeries points = new XYSeries("measured");
        XYSeries line = new XYSeries("least squares");
        for (Sample sample : samples) {
            points.add(sample.size(), sample.value());
            line.addOrUpdate(sample.size(), fit.valueAt(sample.size()));
        }
        XYSeriesCollection data = new XYSeriesCollection(points);
        data.addSeries(line);
        JFreeChart chart =
                ChartFactory.createXYLineChart(name, "size", samples.get(0).unit(), data);
        XYPlot plot = chart.getXYPlot();
        plot.setBackgroundPaint(Color.WHITE);
        XYLineAndShapeRenderer renderer = new XYLineAndShapeRenderer();
        renderer.setSeriesLinesVisible(0, false);
        renderer.setSeriesShapesVisible(1, false);
        plot.setRenderer(renderer);
        try (OutputStream out = Files.newOutputStream(file)) {
            ChartUtils.writeChartAsPNG(out, chart, WIDTH, HEIGHT);
        }
    }
}
