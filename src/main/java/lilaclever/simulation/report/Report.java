package lilaclever.simulation.report;

import com.google.gson.GsonBuilder;
import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import lilaclever.simulation.audit.Auditor;
import lilaclever.simulation.audit.Breach;
import lilaclever.simulation.audit.DeductionRates;
import lilaclever.simulation.audit.Service;
import lilaclever.simulation.model.MessageClass;
import lilaclever.simulation.world.RehearsalResult;
import lilaclever.simulation.world.TimingQuality;
import org.HdrHistogram.Histogram;

/**
 * Writes the report folder of a run: {@code report.json} with the figures (in virtual time the same scenario and seed
 * give the same bytes), {@code seconds.csv}, {@code partners.csv}, a latency histogram of each class, and {@code
 * index.html} with plots.
 */
public final class Report {
    private static final double[] PERCENTILES = {50, 90, 99, 99.9, 100};

    private Report() {}

    /** Writes the report folder. */
    public static void write(RehearsalResult r, Path folder) throws IOException {
        Files.createDirectories(folder);
        Files.writeString(
                folder.resolve("report.json"),
                new GsonBuilder().setPrettyPrinting().create().toJson(json(r)) + '\n');
        Files.writeString(folder.resolve("seconds.csv"), seconds(r));
        Files.writeString(folder.resolve("partners.csv"), partners(r));
        for (int c = 0; c < r.scenario().classes().size(); c++) {
            try (OutputStream out = Files.newOutputStream(folder.resolve(
                            "latency-" + r.scenario().classes().get(c).name() + ".hgrm"));
                    PrintStream text = new PrintStream(out, false, StandardCharsets.UTF_8)) {
                r.auditor().latency(c).outputPercentileDistribution(text, 5, 1000.0); // milliseconds
            }
        }
        Files.writeString(folder.resolve("index.html"), Page.render(r));
    }

    /** Returns all figures of a run as JSON. */
    public static JsonObject json(RehearsalResult r) {
        Auditor a = r.auditor();
        Service s = a.service();
        JsonObject json = new JsonObject();
        json.addProperty("scenario", r.scenario().name());
        json.addProperty("seed", r.seed());
        json.addProperty("played", r.timingQuality() == null ? "virtual time" : "sockets");
        json.addProperty("partial", r.isPartial());
        if (r.timingQuality() != null) {
            json.add("trust", trust(r.timingQuality()));
        }
        json.addProperty("service", round(s.figure(DeductionRates.DEFAULT)));
        json.addProperty("whole_run", round(s.wholeRun()));
        json.addProperty("worst_10_s", round(s.worstWindow()));
        json.addProperty("worst_class", round(s.worstClass()));
        json.addProperty("deductions", round(s.deductions(DeductionRates.DEFAULT)));
        JsonObject broken = new JsonObject();
        a.breachCounts().forEach((rule, n) -> broken.addProperty(ruleName(rule), n));
        json.add("broken_rules", broken);
        JsonObject counts = new JsonObject();
        a.counts().forEach(counts::addProperty);
        counts.addProperty("new_connections", s.connections());
        counts.addProperty("probes", s.probes());
        counts.addProperty(
                "partners_fallen_over",
                r.partners().stream()
                        .mapToInt(RehearsalResult.PartnerRow::overloads)
                        .sum());
        json.add("counts", counts);
        JsonObject classes = new JsonObject();
        for (int c = 0; c < r.scenario().classes().size(); c++) {
            classes.add(r.scenario().classes().get(c).name(), ofClass(r, c));
        }
        json.add("classes", classes);
        JsonArray events = new JsonArray();
        for (RehearsalResult.EventPeriod b : r.eventPeriods()) {
            JsonObject e = new JsonObject();
            e.addProperty("event", b.name());
            e.addProperty("from_s", b.fromMicros() / 1e6);
            e.addProperty("to_s", b.toMicros() / 1e6);
            events.add(e);
        }
        json.add("events", events);
        JsonArray breaches = new JsonArray();
        for (Breach b : a.breaches().subList(0, Math.min(20, a.breaches().size()))) {
            JsonObject o = new JsonObject();
            o.addProperty("rule", ruleName(b.rule()));
            o.addProperty("at_s", b.atMicros() / 1e6);
            o.addProperty("what", b.description());
            JsonArray lines = new JsonArray();
            b.history().forEach(lines::add);
            o.add("story", lines);
            breaches.add(o);
        }
        json.add("breaches", breaches);
        json.addProperty("virtual_seconds", r.endMicros() / 1_000_000);
        json.addProperty("scheduled_events", r.actionCount());
        return json;
    }

    private static JsonObject trust(TimingQuality t) {
        JsonObject o = new JsonObject();
        o.addProperty("good", t.isAcceptable());
        o.addProperty("tasks", t.tasks());
        o.addProperty("late_share", round(t.lateShare()));
        o.addProperty("late_ms_p50", t.medianMicros() / 1e3);
        o.addProperty("late_ms_p99", t.p99Micros() / 1e3);
        o.addProperty("late_ms_most", t.maxMicros() / 1e3);
        o.addProperty("troubles", t.errorCount());
        return o;
    }

    private static JsonObject ofClass(RehearsalResult r, int c) {
        JsonObject o = new JsonObject();
        o.addProperty("service", round(r.auditor().service().ofClass(c)));
        Histogram h = r.auditor().latency(c);
        o.addProperty("delivered", h.getTotalCount());
        JsonObject latency = new JsonObject();
        for (double p : PERCENTILES) {
            latency.addProperty(
                    p == 100 ? "most" : "p" + String.valueOf(p).replaceAll("\\.0$", ""),
                    h.getValueAtPercentile(p) / 1000);
        }
        o.add("latency_ms", latency);
        return o;
    }

    static double round(double x) {
        return Math.round(x * 10_000) / 10_000.0;
    }

    static String ruleName(Breach.Rule rule) {
        return rule.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    private static String seconds(RehearsalResult r) {
        List<String> names = new ArrayList<>(r.series().keySet());
        int length = r.series().values().stream().mapToInt(v -> v.length).max().orElse(0);
        StringBuilder csv = new StringBuilder("second,service," + String.join(",", names) + "\n");
        double[] service = r.auditor().service().bySecond();
        for (int i = 0; i < length; i++) {
            csv.append(i)
                    .append(',')
                    .append(i < service.length && !Double.isNaN(service[i]) ? String.valueOf(round(service[i])) : "");
            for (String n : names) {
                csv.append(',').append((long) r.series().get(n)[i]);
            }
            csv.append('\n');
        }
        return csv.toString();
    }

    private static String partners(RehearsalResult r) {
        StringBuilder csv = new StringBuilder(
                "destination,kind,messages_a_second_at_most,share_of_traffic,calls,refused,served,fallen_over\n");
        for (RehearsalResult.PartnerRow p : r.partners()) {
            csv.append(String.format(
                    Locale.ROOT,
                    "%d,%s,%.2f,%.4f,%d,%d,%d,%d%n",
                    p.destination(),
                    p.kind(),
                    p.capacity(),
                    p.share(),
                    p.calls(),
                    p.refused(),
                    p.served(),
                    p.overloads()));
        }
        return csv.toString();
    }

    /** Returns a short summary for the terminal. */
    public static String summary(RehearsalResult r) {
        Service s = r.auditor().service();
        StringBuilder text = new StringBuilder(String.format(
                Locale.ROOT,
                "%s, seed %d%s: service %.3f (whole run %.3f, worst 10 s %.3f, worst class %.3f, prices %.3f)%n",
                r.scenario().name(),
                r.seed(),
                r.isPartial() ? ", CUT SHORT after " + r.endMicros() / 1_000_000 + " s" : "",
                s.figure(DeductionRates.DEFAULT),
                s.wholeRun(),
                s.worstWindow(),
                s.worstClass(),
                s.deductions(DeductionRates.DEFAULT)));
        Map<String, Long> counts = r.auditor().counts();
        long messages = counts.getOrDefault("messages", 0L);
        text.append(String.format(
                Locale.ROOT,
                "%d messages, %d delivered, %d attempts, %d restarts%n",
                messages,
                counts.getOrDefault("fate_delivered", 0L),
                counts.getOrDefault("attempts", 0L),
                counts.getOrDefault("restarts", 0L)));
        for (int c = 0; c < r.scenario().classes().size(); c++) {
            MessageClass mc = r.scenario().classes().get(c);
            Histogram h = r.auditor().latency(c);
            text.append(String.format(
                    Locale.ROOT,
                    "  %-16s service %.3f, delivered in %d ms (median), %d ms (99th percentile)%n",
                    mc.name(),
                    s.ofClass(c),
                    h.getValueAtPercentile(50) / 1000,
                    h.getValueAtPercentile(99) / 1000));
        }
        if (r.timingQuality() != null) {
            text.append(r.timingQuality().summary()).append('\n');
        }
        if (r.auditor().breachCounts().isEmpty()) {
            return text + "all rules kept\n";
        }
        r.auditor()
                .breachCounts()
                .forEach((rule, n) -> text.append("BROKEN ")
                        .append(ruleName(rule))
                        .append(", ")
                        .append(n)
                        .append(" times\n"));
        Breach first = r.auditor().breaches().get(0);
        text.append("first: ").append(first.description()).append('\n');
        first.history().forEach(line -> text.append("    ").append(line).append('\n'));
        return text.toString();
    }
}
