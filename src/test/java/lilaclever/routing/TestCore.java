package lilaclever.routing;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Map;
import java.util.SplittableRandom;
import lilaclever.DecisionModule;
import lilaclever.identity.IdempotencyWindows;
import lilaclever.journal.BootClock;
import lilaclever.journal.Durability;
import lilaclever.journal.FolderDisk;
import lilaclever.journal.JournalClocks;
import lilaclever.journal.SegmentedJournal;
import lilaclever.simhost.SettingsReader;
import lilaclever.simhost.WireException;

/** Creates cores with a journal in a folder, for tests of the event loop and of single fronts. */
public final class TestCore {
    /** The names of the classes, by number. */
    public static final String SAFE_CLASS = "status", UNSAFE_CLASS = "payment";

    private static final int JOURNAL_BYTES = 1 << 20;
    private static final String SETTINGS = """
            {"roundS": 0.002, "groupSize": 1, "shapes": ["lab"], "zones": ["z"],
             "familyInfo": {"callSlots": 20, "kindBatch": [1], "ownLimits": [false]},
             "limits": {"maxAttempts": 8, "openCap": 200, "connectTimeoutS": 1.5, "keepaliveS": 15},
             "requestClasses": [
              {"name": "status", "aimS": 0.4, "deadlineS": 6, "repeat": "read_like"},
              {"name": "payment", "aimS": 1, "deadlineS": 28, "repeat": "non_idempotent"}],
             "rules": {"coldFrom": 0.5, "tipMultiple": 1.5}}""";

    private TestCore() {}

    /** The settings of all cores. */
    public static DecisionModule.Settings settings() throws WireException {
        return SettingsReader.read(SETTINGS, 0);
    }

    /** Creates a core that has not started. */
    public static Core create(Path state, Clock clock) throws IOException, WireException {
        SegmentedJournal journal = new SegmentedJournal(
                FolderDisk.lock(state),
                JOURNAL_BYTES,
                Durability.NONE,
                new JournalClocks(clock::monotonicMicros, clock::wallMicros, BootClock.UNKNOWN),
                new SplittableRandom(1));
        return new Core(settings(), 1, journal, new Counters(), new IdempotencyWindows(Map.of(), 1, 1), clock);
    }
}
