package lilaclever.log;

import java.util.LinkedHashMap;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.MDC;

/**
 * The program's log: a line has a level, the part that it comes from, a text for people, and fields for machines:
 * {@code event}, what has happened, in a word that does not change, and where they are known {@code message} and
 * {@code partner}.
 *
 * <p>Lines go through SLF4J, as those of libraries do. Its back end is loaded with the first line, so that a start does
 * not wait for it. Fields travel as the thread's diagnostic context.
 */
public final class Logs {
    /** How lines are written: for people, or a JSON object each. */
    public enum Format {
        TEXT,
        JSON
    }

    /** What is written: this level and those before it. */
    public enum Level {
        ERROR,
        WARNING,
        INFO,
        DEBUG
    }

    /** {@code times}: text lines begin with time and level; those of a supervisor that does so itself need not. */
    public record Settings(Format format, Level level, boolean timestamps) {
        /** Text, as it always was. */
        public static final Settings DEFAULT = new Settings(Format.TEXT, Level.INFO, false);
    }

    private static final String PROGRAM = "lilaclever";
    private static volatile Settings settings = Settings.DEFAULT;
    private static volatile boolean installed;

    private Logs() {}

    /** From now on lines are written like this. */
    public static synchronized void configure(Settings s) {
        settings = s;
        if (installed) {
            StderrHandler.install(s);
        }
    }

    private static Logger logger(String part) {
        if (!installed) {
            installHandler();
        }
        return LoggerFactory.getLogger(part.isEmpty() ? PROGRAM : PROGRAM + '.' + part);
    }

    private static synchronized void installHandler() {
        if (!installed) {
            StderrHandler.install(settings);
            installed = true;
        }
    }

    /** True if {@link #debug} writes anything: to be asked before a text is made for each message. */
    public static boolean isDebug() {
        return settings.level() == Level.DEBUG;
    }

    /** Something that should not be, and that somebody must look at. {@code fields}: names and values in turn. */
    public static void error(String part, String event, String text, Object... fields) {
        withFields(event, fields, () -> logger(part).error(text));
    }

    /** The same, with what was thrown. */
    public static void error(String part, String event, String text, Throwable thrown) {
        withFields(event, new Object[0], () -> logger(part).error(text, thrown));
    }

    /** Something that is not as it should be, and that the program lives with. */
    public static void warn(String part, String event, String text, Object... fields) {
        withFields(event, fields, () -> logger(part).warn(text));
    }

    /** Something that an operator wants to know. */
    public static void info(String part, String event, String text, Object... fields) {
        withFields(event, fields, () -> logger(part).info(text));
    }

    /** What happens to each message. */
    public static void debug(String part, String event, String text, Object... fields) {
        if (isDebug()) {
            withFields(event, fields, () -> logger(part).debug(text));
        }
    }

    private static void withFields(String event, Object[] fields, Runnable line) {
        Map<String, String> context = new LinkedHashMap<>();
        context.put("event", event);
        for (int i = 0; i + 1 < fields.length; i += 2) {
            if (fields[i + 1] != null) {
                context.put(fields[i].toString(), fields[i + 1].toString());
            }
        }
        Map<String, String> before = MDC.getCopyOfContextMap();
        try {
            MDC.setContextMap(context);
            line.run();
        } finally {
            if (before == null) {
                MDC.clear();
            } else {
                MDC.setContextMap(before);
            }
        }
    }
}
