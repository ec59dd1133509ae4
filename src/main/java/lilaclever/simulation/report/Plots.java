package lilaclever.simulation.report;

import java.awt.BasicStroke;
import java.awt.Color;
import java.awt.Font;
import java.awt.image.BufferedImage;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import javax.imageio.ImageIO;
import lilaclever.simulation.model.MessageClass;
import lilaclever.simulation.world.RehearsalResult;
import org.HdrHistogram.Histogram;
import org.jfree.chart.ChartFactory;
import org.jfree.chart.JFreeChart;
import org.jfree.chart.axis.LogarithmicAxis;
import org.jfree.chart.axis.NumberAxis;
import org.jfree.chart.plot.IntervalMarker;
import org.jfree.chart.plot.PlotOrientation;
import org.jfree.chart.plot.XYPlot;
import org.jfree.chart.renderer.xy.DeviationRenderer;
import org.jfree.chart.renderer.xy.XYLineAndShapeRenderer;
import org.jfree.chart.ui.Layer;
import org.jfree.chart.ui.RectangleAnchor;
import org.jfree.chart.ui.TextAnchor;
import org.jfree.data.xy.XYSeries;
import org.jfree.data.xy.XYSeriesCollection;
import org.jfree.data.xy.YIntervalSeries;
import org.jfree.data.xy.YIntervalSeriesCollection;

/** Draws plots as PNG images; no display is needed. */
final class Plots {
    private static final int WIDTH = 900, HEIGHT = 300;
    private static final Color[] COLOURS = {
        new Color(0x33, 0x66, 0xaa),
        new Color(0xcc, 0x66, 0x22),
        new Color(0x33, 0x88, 0x55),
        new Color(0x88, 0x44, 0x99),
        new Color(0x77, 0x77, 0x77)
    };
    private static final Font SMALL = new Font(Font.SANS_SERIF, Font.PLAIN, 11);

    static {
        System.setProperty("java.awt.headless", "true");
    }

    private Plots() {}

    /** Plots a line for each series over the seconds of the run, with the events as bands. */
    static String overTime(
            String yLabel, Map<String, double[]> series, List<RehearsalResult.EventPeriod> bands, double maxY) {
        XYSeriesCollection data = new XYSeriesCollection();
        series.forEach((name, values) -> {
            XYSeries s = new XYSeries(name);
            for (int i = 0; i < values.length; i++) {
                if (!Double.isNaN(values[i])) {
                    s.add(i, values[i]);
                }
            }
            data.addSeries(s);
        });
        JFreeChart chart = chart("seconds", yLabel, data);
        XYPlot plot = chart.getXYPlot();
        if (maxY > 0) {
            plot.getRangeAxis().setRange(0, maxY);
        } else {
            ((NumberAxis) plot.getRangeAxis()).setAutoRangeIncludesZero(true);
        }
        int shade = 0;
        for (RehearsalResult.EventPeriod b : bands) {
            IntervalMarker marker =
                    new IntervalMarker(b.fromMicros() / 1e6, b.toMicros() / 1e6, new Color(0xdd, 0xaa, 0x33, 50));
            marker.setLabel(b.name());
            marker.setLabelFont(SMALL);
            marker.setLabelBackgroundColor(new Color(0, 0, 0, 0));
            marker.setLabelAnchor(RectangleAnchor.TOP_LEFT);
            marker.setLabelTextAnchor(TextAnchor.TOP_LEFT);
            marker.setLabelOffset(new org.jfree.chart.ui.RectangleInsets(2 + 14 * (shade++ % 4), 3, 2, 3));
            plot.addDomainMarker(marker, Layer.BACKGROUND);
        }
        return png(chart, WIDTH, HEIGHT);
    }

    /** Plots, for each class, the share of deliveries that took longer than a time. */
    static String latencies(RehearsalResult r) {
        XYSeriesCollection data = new XYSeriesCollection();
        List<MessageClass> classes = r.scenario().classes();
        for (int c = 0; c < classes.size(); c++) {
            Histogram h = r.auditor().latency(c);
            XYSeries s = new XYSeries(classes.get(c).name());
            for (var v : h.percentiles(10)) {
                double left = 100 - v.getPercentileLevelIteratedTo();
                if (left > 0 && v.getValueIteratedTo() > 0) {
                    s.add(Math.max(0.1, v.getValueIteratedTo() / 1000.0), left);
                }
            }
            data.addSeries(s);
        }
        JFreeChart chart = chart("", "", data);
        chart.getXYPlot().setDomainAxis(new LogarithmicAxis("milliseconds from the first handing-in"));
        chart.getXYPlot().setRangeAxis(new LogarithmicAxis("% that took longer"));
        style(chart);
        return png(chart, WIDTH, HEIGHT);
    }

    /** Plots curves with their confidence bands; a point is x, mean, lower and upper end. */
    static byte[] curve(String xLabel, String yLabel, Map<String, List<double[]>> curves) {
        YIntervalSeriesCollection data = new YIntervalSeriesCollection();
        curves.forEach((name, points) -> {
            YIntervalSeries s = new YIntervalSeries(name);
            points.forEach(p -> s.add(p[0], p[1], p[2], p[3]));
            data.addSeries(s);
        });
        JFreeChart chart = ChartFactory.createXYLineChart(
                null, xLabel, yLabel, data, PlotOrientation.VERTICAL, true, false, false);
        DeviationRenderer renderer = new DeviationRenderer(true, true);
        for (int i = 0; i < curves.size(); i++) {
            Color c = COLOURS[i % COLOURS.length];
            renderer.setSeriesStroke(i, new BasicStroke(2));
            renderer.setSeriesPaint(i, c);
            renderer.setSeriesFillPaint(i, new Color(c.getRed(), c.getGreen(), c.getBlue(), 60));
        }
        chart.getXYPlot().setRenderer(renderer);
        chart.getXYPlot().getRangeAxis().setRange(0, 1.02);
        styleBackground(chart);
        return bytes(chart, WIDTH, HEIGHT + 100);
    }

    private static JFreeChart chart(String x, String y, XYSeriesCollection data) {
        JFreeChart chart =
                ChartFactory.createXYLineChart(null, x, y, data, PlotOrientation.VERTICAL, true, false, false);
        style(chart);
        return chart;
    }

    private static void style(JFreeChart chart) {
        XYLineAndShapeRenderer renderer = new XYLineAndShapeRenderer(true, false);
        for (int i = 0; i < chart.getXYPlot().getSeriesCount(); i++) {
            renderer.setSeriesPaint(i, COLOURS[i % COLOURS.length]);
            renderer.setSeriesStroke(i, new BasicStroke(1.6f));
        }
        chart.getXYPlot().setRenderer(renderer);
        styleBackground(chart);
    }

    private static void styleBackground(JFreeChart chart) {
        chart.setBackgroundPaint(Color.WHITE);
        chart.getXYPlot().setBackgroundPaint(new Color(0xfa, 0xfa, 0xfa));
        chart.getXYPlot().setDomainGridlinePaint(Color.LIGHT_GRAY);
        chart.getXYPlot().setRangeGridlinePaint(Color.LIGHT_GRAY);
        chart.getXYPlot().getDomainAxis().setLabelFont(SMALL);
        chart.getXYPlot().getRangeAxis().setLabelFont(SMALL);
        chart.getXYPlot().getDomainAxis().setLowerMargin(0);
        chart.getXYPlot().getDomainAxis().setUpperMargin(0);
    }

    private static byte[] bytes(JFreeChart chart, int width, int height) {
        BufferedImage image = chart.createBufferedImage(width, height);
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        try {
            ImageIO.write(image, "png", out);
        } catch (IOException e) {
            throw new IllegalStateException("encoding a PNG image in memory failed", e);
        }
        return out.toByteArray();
    }

    private static String png(JFreeChart chart, int width, int height) {
        return "data:image/png;base64," + Base64.getEncoder().encodeToString(bytes(chart, width, height));
    }
}
