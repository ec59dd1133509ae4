package lilaclever.log;

import com.google.gson.JsonObject;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.Map;
import java.util.TreeMap;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogManager;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import org.slf4j.MDC;

/**
 * Writes log lines to standard error, each in a single write, so that lines of several threads do not interleave. The
 * back end is {@code java.util.logging}, which adds the least start-up time: the transport's library loads it anyway.
 */
final class StderrHandler extends Handler {
    private static final String PROGRAM = "lilaclever";
    /** Field that is written in JSON lines only. */
    private static final String EVENT = "event";

    private static final int MAX_TEXT_LENGTH = 4000;

    private final Logs.Settings settings;

    private StderrHandler(Logs.Settings settings) {
        this.settings = settings;
    }

    /** Replaces all handlers of the root logger by one with these settings. */
    static void install(Logs.Settings settings) {
        Logger root = LogManager.getLogManager().getLogger("");
        for (Handler h : root.getHandlers()) {
            root.removeHandler(h);
        }
        Level level = switch (settings.level()) {
            case ERROR -> Level.SEVERE;
            case WARNING -> Level.WARNING;
            case INFO -> Level.INFO;
            case DEBUG -> Level.FINE;
        };
        root.setLevel(settings.level() == Logs.Level.DEBUG ? Level.INFO : level); // no debug lines of libraries
        Logger programLogger = Logger.getLogger(PROGRAM);
        programLogger.setLevel(level);
        RETAINED_LOGGER[0] = programLogger; // java.util.logging drops an unreferenced logger with its level
        root.addHandler(new StderrHandler(settings));
    }

    private static final Logger[] RETAINED_LOGGER = new Logger[1];

    @Override
    public void publish(LogRecord record) {
        Map<String, String> fields = MDC.getCopyOfContextMap();
        String line = settings.format() == Logs.Format.JSON
                ? json(record, fields == null ? Map.of() : fields)
                : text(record, fields == null ? Map.of() : fields);
        System.err.print(line + '\n');
    }

    private static String part(LogRecord record) {
        String name = record.getLoggerName() == null ? "" : record.getLoggerName();
        return name.equals(PROGRAM) ? "" : name.startsWith(PROGRAM + '.') ? name.substring(PROGRAM.length() + 1) : name;
    }

    private static String level(LogRecord record) {
        int value = record.getLevel().intValue();
        return value >= Level.SEVERE.intValue()
                ? "error"
                : value >= Level.WARNING.intValue() ? "warning" : value >= Level.INFO.intValue() ? "info" : "debug";
    }

    private static Instant time(LogRecord record) {
        return record.getInstant().truncatedTo(ChronoUnit.MILLIS);
    }

    /** Formats messages that libraries log with parameters; those from SLF4J are formatted already. */
    private static String message(LogRecord record) {
        String text = record.getMessage() == null ? "" : record.getMessage();
        if (record.getParameters() != null && record.getParameters().length > 0) {
            try {
                text = java.text.MessageFormat.format(text, record.getParameters());
            } catch (IllegalArgumentException e) {
                return text;
            }
        }
        return text.length() <= MAX_TEXT_LENGTH ? text : text.substring(0, MAX_TEXT_LENGTH) + "...";
    }

    private String text(LogRecord record, Map<String, String> fields) {
        StringBuilder line = new StringBuilder();
        if (settings.timestamps()) {
            line.append(time(record)).append(' ').append(level(record)).append(' ');
        }
        line.append(PROGRAM).append(": ");
        if (!part(record).isEmpty()) {
            line.append(part(record)).append(": ");
        }
        line.append(printable(message(record)));
        new TreeMap<>(fields).forEach((name, value) -> {
            if (!name.equals(EVENT)) {
                line.append(' ').append(name).append('=').append(printable(value));
            }
        });
        return record.getThrown() == null
                ? line.toString()
                : line.append('\n').append(stack(record.getThrown())).toString().stripTrailing();
    }

    /** Replaces control characters, so that text from outside cannot break the line. */
    private static String printable(String text) {
        StringBuilder clean = null;
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            if (Character.isISOControl(c)) {
                clean = clean == null ? new StringBuilder(text) : clean;
                clean.setCharAt(i, '?');
            }
        }
        return clean == null ? text : clean.toString();
    }

    private String json(LogRecord record, Map<String, String> fields) {
        JsonObject line = new JsonObject();
        line.addProperty("time", time(record).toString());
        line.addProperty("level", level(record));
        if (!part(record).isEmpty()) {
            line.addProperty("part", part(record));
        }
        line.addProperty("text", message(record));
        new TreeMap<>(fields).forEach(line::addProperty);
        if (record.getThrown() != null) {
            line.addProperty("stack", stack(record.getThrown()));
        }
        return line.toString();
    }

    private static String stack(Throwable thrown) {
        StringWriter text = new StringWriter();
        thrown.printStackTrace(new PrintWriter(text, true));
        return text.toString();
    }

    @Override
    public void flush() {
        System.err.flush();
    }

    @Override
    public void close() {
        flush();
    }
}
