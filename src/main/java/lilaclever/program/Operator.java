package lilaclever.program;

import java.nio.file.Path;
import java.util.Set;
import lilaclever.journal.Durability;
import lilaclever.program.Config.Bad;

/**
 * The operator's settings: what {@code serve --conf FILE} adds to what the platform tells. Each subsystem has a section
 * and a record here; a file that is absent leaves all as the platform has it.
 */
record Operator(JournalSettings journal) {
    private static final long SECOND = 1_000_000, HOUR = 3600 * SECOND;

    /** {@code [journal]}: when records are forced, and how long the end of a message is remembered. */
    record JournalSettings(Durability durability, long rememberMicros) { }

    /** What holds without a file. */
    static Operator none() {
        try {
            return of(OperatorFile.empty());
        } catch (Bad e) {
            throw new IllegalStateException("the defaults are good", e);
        }
    }

    /** Reads and checks the file. */
    static Operator read(Path path) throws Bad {
        return of(OperatorFile.read(path));
    }

    static Operator of(OperatorFile file) throws Bad {
        Operator read = new Operator(journal(file.section("journal")));
        file.refuseUnknown(Set.of("journal"));
        return read;
    }

    private static JournalSettings journal(OperatorFile.Section s) throws Bad {
        Durability.How how = s.choice("durability", Durability.How.class, Durability.How.NONE);
        long every = s.time("interval", 50_000, 1000, 60 * SECOND);
        if (how != Durability.How.INTERVAL && s.has("interval")) {
            throw s.bad("interval", "needs durability interval, not " + how.name().toLowerCase());
        }
        return new JournalSettings(new Durability(how, every), s.time("remember", HOUR, SECOND, 240 * HOUR));
    }
}
