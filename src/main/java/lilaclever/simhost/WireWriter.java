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

    void actions(String relay, List<Action> actions) throws IOException {
        for (Action action : actions) {
            out.write(line(relay, action));
            out.write('\n');
        }
    }

    void panic(String relay, String reason) throws IOException {
        out.write("PANIC " + relay + ' ' + oneLine(reason) + '\n');
    }

    void finish() throws IOException {
        out.write("FINISHED\n");
        out.flush();
    }

    private static String line(String relay, Action action) {
        if (action instanceof Action.Send a) {
            return "TRY " + relay + ' ' + a.id() + ' ' + a.host() + ' ' + seconds(a.dropAtMicros());
        } else if (action instanceof Action.Wake a) {
            return "WAKE_AT " + relay + ' ' + seconds(a.afterMicros()) + ' ' + a.token();
        } else if (action instanceof Action.Refuse a) {
            return "SHED " + relay + ' ' + a.id() + ' ' + seconds(a.comeBackMicros());
        } else if (action instanceof Action.Fail a) {
            return "REPORT_FAILURE " + relay + ' ' + a.id();
        } else if (action instanceof Action.Cancel a) {
            return "STOP_ATTEMPT " + relay + ' ' + a.id() + ' ' + a.attempt();
        } else if (action instanceof Action.CloseIdle a) {
            return "DROP_CONNS " + relay + ' ' + a.host();
        } else if (action instanceof Action.Watch a) {
            return "WATCH " + relay + ' ' + (a.on() ? 1 : 0);
        } else if (action instanceof Action.FetchList) {
            return "LIST_ALL " + relay;
        } else if (action instanceof Action.Probe a) {
            return "TOUCH " + relay + ' ' + a.host();
        } else if (action instanceof Action.Tell a) {
            String hex = HexFormat.of().formatHex(a.content());
            return "PUBLISH " + relay + ' ' + a.to() + ' ' + (hex.isEmpty() ? "-" : hex);
        } else if (action instanceof Action.Log a) {
            return "RECORD " + relay + ' ' + oneLine(a.text());
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
