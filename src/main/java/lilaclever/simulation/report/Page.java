package lilaclever.simulation.report;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import lilaclever.simulation.audit.Breach;
import lilaclever.simulation.audit.DeductionRates;
import lilaclever.simulation.audit.Service;
import lilaclever.simulation.model.MessageClass;
import lilaclever.simulation.world.RehearsalResult;
import org.HdrHistogram.Histogram;

/** The HTML page of a run: a single file with its plots embedded. */
final class Page {
    private static final double[] NO_VALUES = {};

    private Page() {}

    static String render(RehearsalResult r) {
        StringBuilder html = new StringBuilder(
                        "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><title>")
                .append(escape(r.scenario().name()))
                .append("</title><style>body{font:15px sans-serif;max-width:920px;margin:2em auto;"
                        + "padding:0 1em;color:#222}table{border-collapse:collapse;margin:1em 0}td,th{padding:.2em "
                        + ".8em;text-align:right;"
                        + "border-bottom:1px solid "
                        + "#ddd}td:first-child,th:first-child{text-align:left}img{max-width:100%}"
                        + ".bad{color:#a00}pre{background:#f6f6f6;padding:.6em;overflow:auto}</style></head><body>\n");
        html.append("<h1>")
                .append(escape(r.scenario().name()))
                .append("</h1>\n<p>")
                .append(escape(r.scenario().about()))
                .append(". Seed ")
                .append(r.seed())
                .append(r.timingQuality() == null ? ", virtual time." : ", on sockets.")
                .append("</p>\n");
        if (r.isPartial()) {
            html.append("<p class=\"bad\">Cut short after ")
                    .append(r.endMicros() / 1_000_000)
                    .append(" s: what follows is of that part.</p>\n");
        }
        if (r.timingQuality() != null) {
            html.append(r.timingQuality().isAcceptable() ? "<p>" : "<p class=\"bad\">")
                    .append(escape(r.timingQuality().summary()))
                    .append("</p>\n");
        }
        figures(html, r);
        rules(html, r);
        plots(html, r);
        classes(html, r);
        partners(html, r);
        return html.append("</body></html>\n").toString();
    }

    private static void figures(StringBuilder html, RehearsalResult r) {
        Service s = r.auditor().service();
        html.append(
                "<table><tr><th>service</th><th>whole run</th><th>worst 10 s</th><th>worst class</th><th>prices</th>"
                        + "</tr><tr>");
        for (double x : new double[] {
            s.figure(DeductionRates.DEFAULT),
            s.wholeRun(),
            s.worstWindow(),
            s.worstClass(),
            s.deductions(DeductionRates.DEFAULT)
        }) {
            html.append("<td>").append(String.format(Locale.ROOT, "%.3f", x)).append("</td>");
        }
        html.append(
                "</tr></table>\n<p>Service is 45% the whole run, 35% the worst ten seconds, 20% the worst class, less "
                        + "prices.</p>\n");
    }

    private static void rules(StringBuilder html, RehearsalResult r) {
        if (r.auditor().breachCounts().isEmpty()) {
            html.append("<p>All rules were kept.</p>\n");
            return;
        }
        html.append("<h2 class=\"bad\">Broken rules</h2><ul>");
        r.auditor()
                .breachCounts()
                .forEach((rule, n) -> html.append("<li>")
                        .append(Report.ruleName(rule))
                        .append(", ")
                        .append(n)
                        .append(" times</li>"));
        html.append("</ul>\n");
        List<Breach> breaches = r.auditor().breaches();
        for (Breach b : breaches.subList(0, Math.min(5, breaches.size()))) {
            html.append("<p>").append(escape(b.description())).append("</p>");
            if (!b.history().isEmpty()) {
                html.append("<pre>")
                        .append(escape(String.join("\n", b.history())))
                        .append("</pre>\n");
            }
        }
    }

    private static void plots(StringBuilder html, RehearsalResult r) {
        plot(
                html,
                "Service by the second of the first handing-in",
                Plots.overTime(
                        "share of worth",
                        Map.of("service", r.auditor().service().bySecond()),
                        r.eventPeriods(),
                        1.05));
        plot(
                html,
                "Messages a second",
                Plots.overTime(
                        "messages",
                        pick(r, "arrived", "delivered", "refused", "failed", "turned_down"),
                        r.eventPeriods(),
                        0));
        plot(
                html,
                "Calls, and those that partners refused",
                Plots.overTime("calls a second", pick(r, "calls", "refusals"), r.eventPeriods(), 0));
        plot(html, "Messages held by all forwarders", Plots.overTime("messages", pick(r, "held"), r.eventPeriods(), 0));
        plot(html, "Time to delivery", Plots.latencies(r));
    }

    private static Map<String, double[]> pick(RehearsalResult r, String... names) {
        Map<String, double[]> picked = new LinkedHashMap<>();
        for (String n : names) {
            double[] values = r.series().getOrDefault(n, NO_VALUES);
            if (values.length > 0) {
                picked.put(n.replace('_', ' '), values);
            }
        }
        return picked;
    }

    private static void plot(StringBuilder html, String title, String image) {
        html.append("<h2>")
                .append(title)
                .append("</h2><img alt=\"")
                .append(title)
                .append("\" src=\"")
                .append(image)
                .append("\">\n");
    }

    private static void classes(StringBuilder html, RehearsalResult r) {
        html.append("<h2>Classes</h2><table><tr><th>class</th><th>service</th><th>delivered</th><th>median, ms</th>"
                + "<th>99%, ms</th>"
                + "<th>most, ms</th></tr>");
        for (int c = 0; c < r.scenario().classes().size(); c++) {
            MessageClass mc = r.scenario().classes().get(c);
            Histogram h = r.auditor().latency(c);
            html.append(String.format(
                    Locale.ROOT,
                    "<tr><td>%s</td><td>%.3f</td><td>%d</td><td>%d</td><td>%d</td><td>%d</td></tr>",
                    escape(mc.name()),
                    r.auditor().service().ofClass(c),
                    h.getTotalCount(),
                    h.getValueAtPercentile(50) / 1000,
                    h.getValueAtPercentile(99) / 1000,
                    h.getMaxValue() / 1000));
        }
        html.append("</table>\n");
    }

    private static void partners(StringBuilder html, RehearsalResult r) {
        html.append("<h2>Partners with the most traffic</h2><table><tr><th>destination</th><th>kind</th><th>messages a "
                + "second, at most</th>"
                + "<th>share of traffic</th><th>calls</th><th>refused</th><th>fallen over</th></tr>");
        for (RehearsalResult.PartnerRow p :
                r.partners().subList(0, Math.min(20, r.partners().size()))) {
            html.append(String.format(
                    Locale.ROOT,
                    "<tr><td>%d</td><td>%s</td><td>%.1f</td><td>%.1f%%</td><td>%d</td><td>%d</td><td>%d</td></tr>",
                    p.destination(),
                    escape(p.kind()),
                    p.capacity(),
                    p.share() * 100,
                    p.calls(),
                    p.refused(),
                    p.overloads()));
        }
        html.append("</table>\n");
    }

    static String escape(String text) {
        return text.replace("&", "&amp;")
                .replace("<", "&lt;")
                .replace(">", "&gt;")
                .replace("\"", "&quot;");
    }
}
