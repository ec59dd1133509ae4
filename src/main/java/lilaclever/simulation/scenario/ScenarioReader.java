package lilaclever.simulation.scenario;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import lilaclever.DecisionModule;
import lilaclever.conf.ConfFile;
import lilaclever.conf.ConfFile.Section;
import lilaclever.conf.ConfigurationException;
import lilaclever.simulation.model.MessageClass;
import lilaclever.simulation.model.Partner;
import lilaclever.simulation.model.PartnerKind;
import lilaclever.simulation.model.Traffic;
import lilaclever.simulation.scenario.Scenario.EventType;
import lilaclever.simulation.scenario.Scenario.Fleet;
import lilaclever.simulation.scenario.Scenario.ScheduledEvent;
import lilaclever.simulation.scenario.Scenario.Target;
import lilaclever.simulation.scenario.Scenario.TrafficPlan;

/** Reads scenarios. Defaults describe a small exchange of lens labs, suppliers and processors. */
public final class ScenarioReader {
    /** Names of the shipped scenarios. */
    public static final List<String> SHIPPED = List.of(
            "quiet",
            "monday",
            "month-end",
            "restart-wave-with-silent-lab",
            "silent-partner",
            "mass-return",
            "rolling-replacement",
            "hot-forwarder",
            "partners-refuse",
            "bad-afternoon");

    private static final long MILLISECOND_MICROS = 1000, SECOND_MICROS = 1_000_000, HOUR_MICROS = 3600 * SECOND_MICROS;
    private static final double MAX_REAL = 1e6;
    private static final Set<String> SECTIONS = Set.of("about", "fleet", "traffic", "kind", "class", "event");

    private final ConfFile file;
    private final String name;

    private ScenarioReader(ConfFile file, String name) {
        this.file = file;
        this.name = name;
    }

    /** Reads a shipped scenario by its name, or a file by its path. */
    public static Scenario read(String nameOrPath) throws ConfigurationException {
        return read(nameOrPath, List.of());
    }

    /** Reads a scenario with settings that override its own. */
    public static Scenario read(String nameOrPath, List<Overrides.Setting> settings) throws ConfigurationException {
        if (SHIPPED.contains(nameOrPath)) {
            List<String> lines = Overrides.apply(text(nameOrPath).lines().toList(), settings);
            return new ScenarioReader(ConfFile.parse(nameOrPath + ".conf", lines), nameOrPath).read();
        }
        Path path = Path.of(nameOrPath);
        if (!Files.exists(path)) {
            throw new ConfigurationException(
                    nameOrPath,
                    "neither a file nor a shipped scenario"
                            + ConfFile.suggestion(nameOrPath, new java.util.LinkedHashSet<>(SHIPPED)));
        }
        String name = path.getFileName().toString().replaceFirst("\\.conf$", "");
        if (settings.isEmpty()) {
            return new ScenarioReader(ConfFile.read(path), name).read();
        }
        try {
            return new ScenarioReader(
                            ConfFile.parse(path.toString(), Overrides.apply(Files.readAllLines(path), settings)), name)
                    .read();
        } catch (IOException e) {
            throw new ConfigurationException(path.toString(), "can't be read: " + e);
        }
    }

    /** Reads a scenario from the lines of a file. */
    public static Scenario parse(String name, List<String> lines) throws ConfigurationException {
        return new ScenarioReader(ConfFile.parse(name, lines), name).read();
    }

    /** The text of a shipped scenario. */
    public static String text(String shipped) {
        try (InputStream in = ScenarioReader.class.getResourceAsStream("/lilaclever/simulation/" + shipped + ".conf");
                BufferedReader lines = new BufferedReader(new InputStreamReader(in, StandardCharsets.UTF_8))) {
            return String.join("\n", lines.lines().toList()) + '\n';
        } catch (IOException e) {
            throw new IllegalStateException(shipped + " is missing from the jar", e);
        }
    }

    private Scenario read() throws ConfigurationException {
        String about = file.section("about").text("text", "");
        List<PartnerKind> kinds = kinds();
        List<MessageClass> classes = classes();
        Scenario read = new Scenario(
                name,
                about,
                fleet(file.section("fleet")),
                kinds,
                classes,
                traffic(file.section("traffic")),
                events(kinds));
        file.rejectUnknown(SECTIONS);
        return read;
    }

    private static Fleet fleet(Section s) throws ConfigurationException {
        int forwarders = (int) s.integer("forwarders", 3, 1, 10_000);
        return new Fleet(
                forwarders,
                (int) s.integer("destinations", 18, 1, 100_000),
                s.decimal("rate", 65, 0.01, MAX_REAL),
                s.decimal("zipf", 1, 0, 3),
                s.range("endpoints", 1, 3, 1, 2_000),
                s.decimal("slots-room", 2, 0.1, 100),
                (int) s.integer("least-slots", 4, 1, 10_000),
                s.decimal("hold", 5, 0.1, 1000),
                (int) s.integer("least-held", 12, 1, 1_000_000),
                s.durationMicros("round", 5 * MILLISECOND_MICROS, 100, SECOND_MICROS),
                (int) s.integer("attempts", 8, 1, 100),
                s.durationMicros("connect-timeout", 1500 * MILLISECOND_MICROS, MILLISECOND_MICROS, 60 * SECOND_MICROS),
                s.durationMicros("keep-alive", 15 * SECOND_MICROS, 100 * MILLISECOND_MICROS, HOUR_MICROS),
                s.durationMicros("network", MILLISECOND_MICROS / 2, 0, SECOND_MICROS),
                s.durationMicros("handshake", 2 * MILLISECOND_MICROS, 0, SECOND_MICROS),
                s.durationRangeMicros("directory-delay", SECOND_MICROS, 4 * SECOND_MICROS, 0, HOUR_MICROS),
                s.durationRangeMicros("front-memory", 1300 * MILLISECOND_MICROS, 4 * SECOND_MICROS, 0, HOUR_MICROS),
                (int) s.integer("client-retries", 1, 0, 100),
                s.durationRangeMicros(
                        "comes-again",
                        770 * MILLISECOND_MICROS,
                        1900 * MILLISECOND_MICROS,
                        MILLISECOND_MICROS,
                        HOUR_MICROS),
                new Partner.Recovery(
                        s.share("cold-from", 0.24, 1),
                        s.durationMicros("cold-ramp", 9500 * MILLISECOND_MICROS, 0, HOUR_MICROS),
                        s.decimal("tip", 1.5, 0.1, 100),
                        s.durationMicros("tip-for", 3 * SECOND_MICROS, 100 * MILLISECOND_MICROS, HOUR_MICROS)),
                s.durationMicros("drain-grace", 500 * MILLISECOND_MICROS, 0, 60 * SECOND_MICROS),
                s.sizeBytes("disk", 3 << 20, 1 << 17, 1L << 34));
    }

    private TrafficPlan traffic(Section s) throws ConfigurationException {
        long lengthMicros = s.durationMicros("length", 60 * SECOND_MICROS, SECOND_MICROS, 48 * HOUR_MICROS);
        List<Traffic.Point> shape = new ArrayList<>();
        List<String> words = s.words("load");
        if (words.isEmpty()) {
            words = List.of("80%");
        }
        if (words.size() == 1) {
            words = List.of("0s", words.get(0));
        }
        for (int i = 0; i + 1 < words.size(); i += 2) {
            Traffic.Point p = new Traffic.Point(
                    s.durationMicros("load", words.get(i), 0, 48 * HOUR_MICROS),
                    s.share("load", words.get(i + 1), 100));
            if (!shape.isEmpty() && p.atMicros() <= shape.get(shape.size() - 1).atMicros()) {
                throw s.error("load", "times must grow: " + words.get(i));
            }
            shape.add(p);
        }
        if (words.size() % 2 != 0 || shape.get(0).atMicros() != 0) {
            throw s.error("load", "one share, or times and shares in turn from 0s on, such as 0s 45% 30s 110%");
        }
        return new TrafficPlan(
                lengthMicros,
                shape,
                s.share("clumps", 0.1, 1),
                s.range("clump-seconds", 1.7, 3.5, 0.1, 1000),
                s.share("hl7", 0, 1));
    }

    private List<PartnerKind> kinds() throws ConfigurationException {
        List<Section> sections = file.sections("kind");
        List<PartnerKind> kinds = new ArrayList<>();
        for (Section s : sections) {
            kinds.add(kind(s, false));
        }
        if (sections.isEmpty()) {
            kinds.add(kind(file.section("kind lens-lab"), true));
            kinds.add(kind(file.section("kind supplier"), false));
        }
        double sum = kinds.stream().mapToDouble(PartnerKind::share).sum();
        if (Math.abs(sum - 1) > 1e-6) {
            throw sections.get(0)
                    .error(
                            "share",
                            "the shares of all kinds are " + Math.round(sum * 1000) / 10.0 + "% together, not 100%");
        }
        return kinds;
    }

    private static PartnerKind kind(Section s, boolean lensLab) throws ConfigurationException {
        boolean isDefault = !s.isPresent();
        PartnerKind.Limit limit =
                s.choice("limit", PartnerKind.Limit.class, lensLab ? PartnerKind.Limit.WINDOW : PartnerKind.Limit.NONE);
        return new PartnerKind(
                isDefault ? lensLab ? "lens-lab" : "supplier" : s.qualifier(),
                s.share("share", isDefault ? lensLab ? 0.25 : 0.75 : 1, 1),
                s.flag("large", lensLab),
                limit,
                s.range("headroom", 0.94, 1.9, 0.01, 1000),
                s.range("least-rate", 1.9, 4, 0.001, MAX_REAL),
                s.durationMicros("span", 2 * SECOND_MICROS, 10 * MILLISECOND_MICROS, HOUR_MICROS),
                s.range("spare", 1.15, 1.6, 0.1, 100),
                s.range("depth", 0.3, 1, 0, 1000),
                s.share("tells-wait", 0, 1),
                s.durationRangeMicros("wait", 200 * MILLISECOND_MICROS, SECOND_MICROS, 0, HOUR_MICROS),
                s.share("refused-count", 1, 1),
                s.range("connections", lensLab ? 0 : 2.3, lensLab ? 0 : 3.7, 0, MAX_REAL),
                s.range("least-connections", 7.2, 15, 1, MAX_REAL),
                s.decimal("variation", 0.5, 0, 10),
                (int) s.integer("batch", lensLab ? 20 : 1, 1, 1000),
                s.decimal("item-cost", 0.15, 0, 1));
    }

    private List<MessageClass> classes() throws ConfigurationException {
        List<Section> sections = file.sections("class");
        List<MessageClass> classes = new ArrayList<>();
        if (sections.isEmpty()) {
            classes.add(messageClass(
                    file.section("class lens-order"),
                    "lens-order",
                    0.57,
                    62,
                    110,
                    4000,
                    20,
                    0.5,
                    1,
                    DecisionModule.RepeatSafety.KEYED));
            classes.add(messageClass(
                    file.section("class status-update"),
                    "status-update",
                    0.23,
                    100,
                    180,
                    800,
                    6,
                    0,
                    1,
                    DecisionModule.RepeatSafety.SAFE));
            classes.add(messageClass(
                    file.section("class payment"),
                    "payment",
                    0.2,
                    62,
                    110,
                    4000,
                    28,
                    0.5,
                    3,
                    DecisionModule.RepeatSafety.UNSAFE));
        }
        for (Section s : sections) {
            classes.add(
                    messageClass(s, s.qualifier(), 1, 62, 110, 4000, 20, 0.5, 1, DecisionModule.RepeatSafety.UNSAFE));
        }
        double sum = classes.stream().mapToDouble(MessageClass::share).sum();
        if (Math.abs(sum - 1) > 1e-6) {
            throw sections.get(0)
                    .error(
                            "share",
                            "the shares of all classes are " + Math.round(sum * 1000) / 10.0 + "% together, not 100%");
        }
        return classes;
    }

    private static MessageClass messageClass(
            Section s,
            String name,
            double share,
            long minWorkMillis,
            long maxWorkMillis,
            long aimMillis,
            long deadlineSeconds,
            double lateShare,
            double worth,
            DecisionModule.RepeatSafety repeat)
            throws ConfigurationException {
        long aimMicros = s.durationMicros("aim", aimMillis * MILLISECOND_MICROS, MILLISECOND_MICROS, HOUR_MICROS);
        long deadlineMicros =
                s.durationMicros("deadline", deadlineSeconds * SECOND_MICROS, 10 * MILLISECOND_MICROS, HOUR_MICROS);
        if (aimMicros > deadlineMicros) {
            throw s.error("aim", "is after the deadline");
        }
        return new MessageClass(
                name,
                s.share("share", share, 1),
                s.durationRangeMicros(
                        "work", minWorkMillis * MILLISECOND_MICROS, maxWorkMillis * MILLISECOND_MICROS, 1, HOUR_MICROS),
                new DecisionModule.MessageClass(
                        aimMicros,
                        deadlineMicros,
                        s.decimal("worth", worth, 0, MAX_REAL),
                        s.choice("repeat", DecisionModule.RepeatSafety.class, repeat),
                        DecisionModule.KeyScope.ALL,
                        s.durationMicros("window", 5 * SECOND_MICROS, 0, HOUR_MICROS),
                        false,
                        s.share("late", lateShare, 1),
                        true));
    }

    private List<ScheduledEvent> events(List<PartnerKind> kinds) throws ConfigurationException {
        List<ScheduledEvent> events = new ArrayList<>();
        for (Section s : file.sections("event")) {
            if (!s.has("what")) {
                throw s.error(
                        "what",
                        "missing: one of restart, drain, silent, failing, shut, down, slow, lowered, hot, deaf");
            }
            EventType type = s.choice("what", EventType.class, EventType.RESTART);
            if (!s.has("at")) {
                throw s.error("at", "missing: a time, or the least and the most");
            }
            String kind = s.text("kind", null);
            if (kind != null && kinds.stream().noneMatch(k -> k.name().equals(kind))) {
                throw s.error("kind", "no such kind of partner: " + kind);
            }
            double[] strength = switch (type) {
                case FAILING -> s.range("strength", 0.5, 1, 0, 1);
                case SLOW -> s.range("strength", 3, 6, 1, 1000);
                case LOWERED -> s.range("strength", 0.3, 0.7, 0, 1);
                case HOT -> s.range("strength", 0.06, 0.22, 0, 1);
                default -> new double[] {0, 0};
            };
            events.add(new ScheduledEvent(
                    s.qualifier(),
                    type,
                    s.durationRangeMicros("at", 0, 0, 0, 48 * HOUR_MICROS),
                    s.durationRangeMicros(
                            "for", 10 * SECOND_MICROS, 20 * SECOND_MICROS, MILLISECOND_MICROS, 48 * HOUR_MICROS),
                    s.share("part", type == EventType.RESTART || type == EventType.DRAIN ? 1 : 0.2, 1),
                    s.choice("target", Target.class, Target.ANY),
                    kind,
                    strength,
                    type == EventType.RESTART
                            ? s.durationRangeMicros(
                                    "down",
                                    300 * MILLISECOND_MICROS,
                                    1500 * MILLISECOND_MICROS,
                                    MILLISECOND_MICROS,
                                    HOUR_MICROS)
                            : type == EventType.DRAIN
                                    ? s.durationRangeMicros(
                                            "down", 2 * SECOND_MICROS, 6 * SECOND_MICROS, 0, HOUR_MICROS)
                                    : new long[] {0, 0}));
        }
        return events;
    }
}
