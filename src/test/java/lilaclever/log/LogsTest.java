package lilaclever.log;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.parallel.ResourceLock;
import org.junit.jupiter.api.parallel.Resources;
import org.slf4j.LoggerFactory;

/** The form of log lines, as text and as JSON. */
@ResourceLock(Resources.SYSTEM_ERR)
class LogsTest {
    private interface LogCalls {
        void run();
    }

    private static String captureLog(Logs.Settings settings, LogCalls calls) {
        PrintStream before = System.err;
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try {
            Logs.configure(settings);
            System.setErr(new PrintStream(bytes, true, StandardCharsets.UTF_8));
            calls.run();
        } finally {
            System.setErr(before);
        }
        return bytes.toString(StandardCharsets.UTF_8);
    }

    @AfterEach
    void restoreDefaults() {
        Logs.configure(Logs.Settings.DEFAULT);
    }

    /** Tools and supervisors parse these lines, so their form stays the same. */
    @Test
    void textFormIsStable() {
        assertEquals(
                "lilaclever: n0 serves at [/127.0.0.1:1]\nlilaclever: journal: x.seg could not be deleted: why "
                        + "segment=x.seg\n",
                captureLog(Logs.Settings.DEFAULT, () -> {
                    Logs.info("", "serves", "n0 serves at [/127.0.0.1:1]");
                    Logs.warn(
                            "journal",
                            "delete-failed",
                            "x.seg could not be deleted: why",
                            "segment",
                            "x.seg",
                            "other",
                            null);
                    Logs.debug("", "attempt", "not written");
                }));
    }

    /** Guards against input that adds log lines of its own through line breaks. */
    @Test
    void lineBreaksInValuesAreReplaced() {
        assertEquals(
                "lilaclever: a?b message=m?1\n",
                captureLog(Logs.Settings.DEFAULT, () -> Logs.info("", "x", "a\nb", "message", "m\r1")));
    }

    @Test
    void textCanIncludeTimes() {
        String line = captureLog(
                new Logs.Settings(Logs.Format.TEXT, Logs.Level.INFO, true), () -> Logs.warn("mllp", "x", "closed"));
        assertTrue(
                line.matches("\\d{4}-\\d\\d-\\d\\dT\\d\\d:\\d\\d:\\d\\d(\\.\\d+)?Z warning lilaclever: mllp: closed\n"),
                line);
    }

    @Test
    void jsonContainsTheFields() {
        String line = captureLog(
                new Logs.Settings(Logs.Format.JSON, Logs.Level.DEBUG, false),
                () -> Logs.debug("", "attempt", "sent \"now\"\n", "message", "m1", "partner", 7));
        JsonObject read = JsonParser.parseString(line).getAsJsonObject();
        assertEquals("debug", read.get("level").getAsString());
        assertEquals("attempt", read.get("event").getAsString());
        assertEquals("m1", read.get("message").getAsString());
        assertEquals("7", read.get("partner").getAsString());
        assertEquals("sent \"now\"\n", read.get("text").getAsString());
        assertEquals(1, line.lines().count());
    }

    @Test
    void messagesBelowTheLevelAreDropped() {
        assertEquals(
                "lilaclever: bad\n", captureLog(new Logs.Settings(Logs.Format.TEXT, Logs.Level.ERROR, false), () -> {
                    Logs.warn("", "w", "not written");
                    Logs.error("", "e", "bad");
                }));
    }

    /**
     * Libraries that log through SLF4J or the JDK write lines of the same form under their own name; their debug
     * messages are dropped.
     */
    @Test
    void librariesLogInTheSameForm() {
        String lines = captureLog(new Logs.Settings(Logs.Format.TEXT, Logs.Level.DEBUG, false), () -> {
            Logs.debug("", "x", "ours");
            LoggerFactory.getLogger("some.Library").debug("not written");
            LoggerFactory.getLogger("some.Library").warn("odd {}", 5);
            java.util.logging.Logger.getLogger("other").log(java.util.logging.Level.WARNING, "value {0}", "v");
        });
        assertEquals("lilaclever: ours\nlilaclever: some.Library: odd 5\nlilaclever: other: value v\n", lines);
    }

    @Test
    void stackTraceIsWritten() {
        String lines = captureLog(
                Logs.Settings.DEFAULT,
                () -> Logs.error("", "task-failed", "a task failed", new IllegalStateException("why")));
        assertTrue(lines.startsWith("lilaclever: a task failed\njava.lang.IllegalStateException: why\n\tat "), lines);
    }
}
