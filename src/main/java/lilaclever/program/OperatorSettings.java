package lilaclever.program;

import java.nio.file.Path;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import lilaclever.DecisionModule;
import lilaclever.conf.ConfFile;
import lilaclever.conf.ConfigurationException;
import lilaclever.identity.IdempotencyWindows;
import lilaclever.journal.Durability;
import lilaclever.log.Logs;
import lilaclever.protocol.mllp.MllpSettings;

/**
 * The operator's settings, which {@code serve --conf FILE} adds to the platform's configuration. Each subsystem has a
 * section in the file and a record here; without a file all settings have their defaults.
 */
record OperatorSettings(JournalSettings journal, IdentitySettings identity, MllpSettings mllp, Logs.Settings log) {
    private static final long SECOND_MICROS = 1_000_000, HOUR_MICROS = 3600 * SECOND_MICROS;

    /** {@code [journal]}: when records are synced to disk, and how long the final status of a message is retained. */
    record JournalSettings(Durability durability, long rememberMicros) {}

    /**
     * {@code [identity]}: whether repeated messages are recognized across all ports, the HTTP header that names the
     * practice (null: none), and for how long final statuses are retained.
     */
    record IdentitySettings(boolean shared, String practiceHeader, IdempotencyWindows windows) {}

    /** Limit of the connections of all HL7 ports. */
    int mllpConnections() {
        return mllp == null
                ? 0
                : mllp.listeners().stream()
                        .mapToInt(MllpSettings.Listener::maxConnections)
                        .sum();
    }

    /** Returns the settings that apply without a file. */
    static OperatorSettings defaults(Config config) {
        try {
            return of(ConfFile.empty(), config);
        } catch (ConfigurationException e) {
            throw new IllegalStateException("invalid default", e);
        }
    }

    /** Reads and checks the file, which refers to the classes of the platform's settings. */
    static OperatorSettings read(Path path, Config config) throws ConfigurationException {
        return of(ConfFile.read(path), config);
    }

    static OperatorSettings of(ConfFile file, Config config) throws ConfigurationException {
        JournalSettings journal = journal(file.section("journal"));
        IdentitySettings identity = identity(file.section("identity"), config, journal.rememberMicros());
        OperatorSettings read = new OperatorSettings(
                journal, identity, new MllpSections(file, config, identity.shared()).read(), log(file.section("log")));
        Set<String> kinds = new HashSet<>(MllpSections.SECTION_KINDS);
        kinds.addAll(Set.of("journal", "identity", "log"));
        file.rejectUnknown(kinds);
        return read;
    }

    private static IdentitySettings identity(ConfFile.Section s, Config config, long rememberMicros)
            throws ConfigurationException {
        boolean shared = s.flag("shared", false);
        String header = s.text("http-practice", null);
        if (header != null && !header.matches("[A-Za-z0-9-]{1,64}")) {
            throw s.error("http-practice", "not the name of a header: " + header);
        }
        if (header != null && !shared) {
            throw s.error("http-practice", "needs shared yes");
        }
        Map<String, Long> windows = new HashMap<>();
        for (int i = 0; i < config.classNames().size(); i++) {
            boolean unsafe = config.settings().classes().get(i).repeat() == DecisionModule.RepeatSafety.UNSAFE;
            String key = "window-" + config.classNames().get(i);
            long windowMicros = s.durationMicros(
                    key, IdempotencyWindows.defaultForClassMicros(unsafe), SECOND_MICROS, 240 * HOUR_MICROS);
            if (s.has(key)) {
                windows.put(config.classNames().get(i), windowMicros);
            }
        }
        return new IdentitySettings(
                shared,
                header == null ? null : header.toLowerCase(Locale.ROOT),
                new IdempotencyWindows(windows, rememberMicros, (int) s.integer("most", 100_000, 1, 10_000_000)));
    }

    private static Logs.Settings log(ConfFile.Section s) throws ConfigurationException {
        Logs.Format format = s.choice("form", Logs.Format.class, Logs.Format.TEXT);
        if (format == Logs.Format.JSON && s.has("times")) {
            throw s.error("times", "is for form text: JSON lines always have timestamps");
        }
        return new Logs.Settings(format, s.choice("level", Logs.Level.class, Logs.Level.INFO), s.flag("times", false));
    }

    private static JournalSettings journal(ConfFile.Section s) throws ConfigurationException {
        Durability.Mode mode = s.choice("durability", Durability.Mode.class, Durability.Mode.NONE);
        long intervalMicros = s.durationMicros("interval", 50_000, 1000, 60 * SECOND_MICROS);
        if (mode != Durability.Mode.INTERVAL && s.has("interval")) {
            throw s.error(
                    "interval", "needs durability interval, not " + mode.name().toLowerCase());
        }
        return new JournalSettings(
                new Durability(mode, intervalMicros),
                s.durationMicros("remember", HOUR_MICROS, SECOND_MICROS, 240 * HOUR_MICROS));
    }
}
