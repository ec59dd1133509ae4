package lilaclever.program;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import lilaclever.DecisionModule;
import lilaclever.conf.ConfFile;
import lilaclever.conf.ConfigurationException;
import lilaclever.identity.IdempotencyWindows;
import lilaclever.journal.Durability;
import lilaclever.log.Logs;
import lilaclever.protocol.mllp.MllpSettings;

/**
 * The operator's settings: what {@code serve --conf FILE} adds to what the platform tells. Each subsystem has a section
 * and a record here; a file that is absent leaves all as the platform has it.
 */
record Operator(JournalSettings journal, IdentitySettings identity, MllpSettings mllp, Logs.Settings log) {
    private static final long SECOND = 1_000_000, HOUR = 3600 * SECOND;

    /** {@code [journal]}: when records are forced, and how long the end of a message is remembered. */
    record JournalSettings(Durability durability, long rememberMicros) {}

    /**
     * {@code [identity]}: whether a message is known again on all ports, the header that names its practice on HTTP
     * (null: HTTP has none), and how long ends are remembered.
     */
    record IdentitySettings(boolean shared, String practiceHeader, IdempotencyWindows windows) {}

    /** Connections that the HL7 ports may have. */
    int mllpConnections() {
        return mllp == null
                ? 0
                : mllp.listeners().stream()
                        .mapToInt(MllpSettings.Listener::maxConnections)
                        .sum();
    }

    /** What holds without a file. */
    static Operator none(Config config) {
        try {
            return of(ConfFile.empty(), config);
        } catch (ConfigurationException e) {
            throw new IllegalStateException("the defaults are good", e);
        }
    }

    /** Reads and checks the file; classes and destinations are those of the platform's settings. */
    static Operator read(Path path, Config config) throws ConfigurationException {
        return of(ConfFile.read(path), config);
    }

    static Operator of(ConfFile file, Config config) throws ConfigurationException {
        JournalSettings journal = journal(file.section("journal"));
        IdentitySettings identity = identity(file.section("identity"), config, journal.rememberMicros());
        Operator read = new Operator(
                journal, identity, new MllpSections(file, config, identity.shared()).read(), log(file.section("log")));
        Set<String> kinds = new HashSet<>(MllpSections.KINDS);
        kinds.addAll(Set.of("journal", "identity", "log"));
        file.refuseUnknown(kinds);
        return read;
    }

    private static IdentitySettings identity(ConfFile.Section s, Config config, long remember)
            throws ConfigurationException {
        boolean shared = s.flag("shared", false);
        String header = s.text("http-practice", null);
        if (header != null && !header.matches("[A-Za-z0-9-]{1,64}")) {
            throw s.bad("http-practice", "not the name of a header: " + header);
        }
        if (header != null && !shared) {
            throw s.bad("http-practice", "needs shared yes");
        }
        List<Long> windows = new ArrayList<>();
        for (int i = 0; i < config.classNames().size(); i++) {
            boolean unsafe = config.settings().classes().get(i).repeat() == DecisionModule.RepeatSafety.UNSAFE;
            windows.add(s.time("window-" + config.classNames().get(i), unsafe ? 24 * HOUR : HOUR, SECOND, 240 * HOUR));
        }
        return new IdentitySettings(
                shared,
                header == null ? null : header.toLowerCase(Locale.ROOT),
                new IdempotencyWindows(windows, remember, (int) s.whole("most", 100_000, 1, 10_000_000)));
    }

    private static Logs.Settings log(ConfFile.Section s) throws ConfigurationException {
        Logs.Form form = s.choice("form", Logs.Form.class, Logs.Form.TEXT);
        if (form == Logs.Form.JSON && s.has("times")) {
            throw s.bad("times", "is for form text: JSON lines have their times");
        }
        return new Logs.Settings(form, s.choice("level", Logs.Level.class, Logs.Level.INFO), s.flag("times", false));
    }

    private static JournalSettings journal(ConfFile.Section s) throws ConfigurationException {
        Durability.How how = s.choice("durability", Durability.How.class, Durability.How.NONE);
        long every = s.time("interval", 50_000, 1000, 60 * SECOND);
        if (how != Durability.How.INTERVAL && s.has("interval")) {
            throw s.bad(
                    "interval", "needs durability interval, not " + how.name().toLowerCase());
        }
        return new JournalSettings(new Durability(how, every), s.time("remember", HOUR, SECOND, 240 * HOUR));
    }
}
