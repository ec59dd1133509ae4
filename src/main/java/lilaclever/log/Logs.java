package lilaclever.log;

import java.util.LinkedHashMap;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.MDC;

/**
 * The program's structured log. A line has a level, the part of the program that it comes from, a text for people, and
 * fields for machines: {@code event}, a stable name of what happened, and where they are known {@code message} and
 * {@code partner}.
 *
 * <p>Lines go through SLF4J, like those of libraries. Its back end is loaded with the first line, so that it does not
 * delay the start. Fields are passed in the thread's diagnostic context (MDC).
 */
public final class Logs {
    /** Output format: plain text, or one JSON object per line. */
    public enum Format {
        TEXT,
        JSON
    }

    /** Log threshold: a level includes those listed before it. */
    public enum Level {
        ERROR,
        WARNING,
        INFO,
        DEBUG
    }

    /** {@code timestamps}: whether text lines begin with time and level; needless if a supervisor adds them. */
    public record Settings(Format format, Level level, boolean timestamps) {
        public static final Settings DEFAULT = new Settings(Format.TEXT, Level.INFO, false);
    }

    private static final String PROGRAM = "lilaclever";
    private static volatile Settings settings = Settings.DEFAULT;
    private static volatile boolean installed;

    private Logs() {}

    /** Applies the settings to all lines from now on. */
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

    /** Returns whether {@link #debug} writes lines; to be checked before a text is built for each message. */
    public static boolean isDebug() {
        return settings.level() == Level.DEBUG;
    }

    /** Logs a fault that needs attention. {@code fields}: names and values, alternating. */
    public static void error(String part, String event, String text, Object... fields) {
        withFields(event, fields, () -> logger(part).error(text));
    }

    /** Logs a fault with its stack trace. */
    public static void error(String part, String event, String text, Throwable thrown) {
        withFields(event, new Object[0], () -> logger(part).error(text, thrown));
    }

    /** Logs a problem that the program tolerates. */
    public static void warn(String part, String event, String text, Object... fields) {
        withFields(event, fields, () -> logger(part).warn(text));
    }

    /** Logs normal operation of interest to an operator. */
    public static void info(String part, String event, String text, Object... fields) {
        withFields(event, fields, () -> logger(part).info(text));
    }

    /** Logs details of single messages. */
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
