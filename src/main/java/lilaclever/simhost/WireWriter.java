package lilaclever.simhost;

import java.io.IOException;
import java.io.Writer;
import java.util.HexFormat;
import java.util.List;
import lilaclever.DecisionModule.Action;

/** Writes actions in the simulator's line format; the output of a batch is flushed once, at its end. */
final class WireWriter {
    private static final long MICROS_PER_SECOND = 1_000_000;
    private final Writer out;

    WireWriter(Writer out) {
        this.out = out;
    }

    void writeActions(String moduleName, List<Action> actions) throws IOException {
        for (Action action : actions) {
            out.write(line(moduleName, action));
            out.write('\n');
        }
    }

    void writePanic(String moduleName, String reason) throws IOException {
        out.write("PANIC " + moduleName + ' ' + oneLine(reason) + '\n');
    }

    void finishBatch() throws IOException {
        out.write("FINISHED\n");
        out.flush();
    }

    private static String line(String moduleName, Action action) {
        if (action instanceof Action.Send a) {
            return "TRY " + moduleName + ' ' + a.id() + ' ' + a.host() + ' ' + seconds(a.dropAtMicros());
        } else if (action instanceof Action.Wake a) {
            return "WAKE_AT " + moduleName + ' ' + seconds(a.afterMicros()) + ' ' + a.token();
        } else if (action instanceof Action.Refuse a) {
            return "SHED " + moduleName + ' ' + a.id() + ' ' + seconds(a.comeBackMicros());
        } else if (action instanceof Action.Fail a) {
            return "REPORT_FAILURE " + moduleName + ' ' + a.id();
        } else if (action instanceof Action.Cancel a) {
            return "STOP_ATTEMPT " + moduleName + ' ' + a.id() + ' ' + a.attempt();
        } else if (action instanceof Action.CloseIdle a) {
            return "DROP_CONNS " + moduleName + ' ' + a.host();
        } else if (action instanceof Action.Watch a) {
            return "WATCH " + moduleName + ' ' + (a.on() ? 1 : 0);
        } else if (action instanceof Action.FetchList) {
            return "LIST_ALL " + moduleName;
        } else if (action instanceof Action.Probe a) {
            return "TOUCH " + moduleName + ' ' + a.host();
        } else if (action instanceof Action.Tell a) {
            String hex = HexFormat.of().formatHex(a.content());
            return "PUBLISH " + moduleName + ' ' + a.to() + ' ' + (hex.isEmpty() ? "-" : hex);
        } else if (action instanceof Action.Log a) {
            return "RECORD " + moduleName + ' ' + oneLine(a.text());
        }
        throw new IllegalStateException("no line for " + action);
    }

    /** Formats microseconds as seconds with six decimal places. */
    static String seconds(long micros) {
        String fraction = Long.toString(micros % MICROS_PER_SECOND + MICROS_PER_SECOND);
        return micros / MICROS_PER_SECOND + "." + fraction.substring(1);
    }

    private static String oneLine(String text) {
        return text.replaceAll("\\s+", " ");
    }
}
