package lilaclever.simhost;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The simulator's line protocol: events in, actions out, and one error message for malformed input. */
class MainTest {
    private static final String SETTINGS = "{\"groupSize\": 1, \"roundS\": 0.005, \"unknown\": {\"x\": [1]},"
            + " \"familyInfo\": {\"callSlots\": 2, \"kindBatch\": [1], \"ownLimits\": [false]},"
            + " \"limits\": {\"maxAttempts\": 3, \"openCap\": 10, \"maxRetryAfterS\": 2.0, \"retryAfter\": true},"
            + " \"requestClasses\": [{\"aimS\": 2.0, \"deadlineS\": 20.0, \"repeat\": \"read_like\"}],"
            + " \"rules\": {\"answerSlackS\": 0.02, \"coldFrom\": 0.2, \"tipMultiple\": 2.5, \"rampTimeS\": 10}}";
    private static final String START = "ROUND 5.000001\nHELLO relay/3 18446744073709551615 " + SETTINGS
            + "\nMANIFEST 2 2\nITEM 0 active - 10.0.0.1:80 1 5 0\nITEM 0 left 4.5 10.0.0.2:80 1 5 0\n"
            + "BACKENDS_CHANGED relay/3 1 2 remembered\nGO\n";

    private String errorOutput;
    private int exitCode;

    private String run(String input) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        ByteArrayOutputStream errors = new ByteArrayOutputStream();
        exitCode = Main.run(
                new ByteArrayInputStream(input.getBytes(StandardCharsets.UTF_8)),
                out,
                new PrintStream(errors, true, StandardCharsets.UTF_8));
        errorOutput = errors.toString(StandardCharsets.UTF_8).trim();
        return out.toString(StandardCharsets.UTF_8);
    }

    @Test
    void emptyInputExitsWithZero() {
        assertEquals("", run(""));
        assertEquals(0, exitCode);
    }

    @Test
    void messageIsSentAndRefusalIsAnsweredWithADelay() {
        String out = run(START + "ROUND 5.5\nSUBMIT relay/3 t/a 0 - 5 0 - 20 0\nGO\n"
                + "ROUND 5.6\nREPLY relay/3 t/a 0.1 10.0.0.1:80 0 400 0 QueueFull x0:0.1,x1:7.5\nGO\n");
        assertEquals(0, exitCode);
        assertTrue(out.startsWith("FINISHED\nTRY relay/3 t/a 10.0.0.1:80 7.500000\nWAKE_AT relay/3 "), out);
        assertTrue(out.endsWith("FINISHED\n"), out);
    }

    @Test
    void crashedForwarderIsRemovedAndMayBeRestarted() {
        String out = run(START + "ROUND 6\nSUBMIT relay/3 t/a 0 - 5 0 - 20 0\nCRASH_NOW relay/3\n"
                + START.substring(START.indexOf('\n') + 1)
                + "ROUND 7\nREPLY relay/3 t/a 0.1 10.0.0.1:80 0 - 1 Ok -\nGO\n");
        assertEquals("FINISHED\nFINISHED\nFINISHED\n", out);
    }

    @Test
    void timesAreWrittenInWholeMicroseconds() {
        assertEquals("0.000001", WireWriter.seconds(1));
        assertEquals("12.340000", WireWriter.seconds(12_340_000));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "ROUND x|line 8, field clock: not a time: x",
                "ROUND -1|line 8, field clock: not a time: -1",
                "TICK 1|line 8, field message: expected ROUND, got TICK",
                "ROUND 6;NEWS relay/3|line 9, field message: unknown message NEWS",
                "ROUND 6;SUBMIT relay/3 t/a|line 9, field marks: missing",
                "ROUND 6;SUBMIT relay/4 t/a|line 9, field relay: no HELLO came for relay/4",
                "ROUND 6;REMINDER relay/3 7x|line 9, field ctx: not a whole number: 7x",
                "ROUND 6;REPLY relay/3 t/a 0.1 h 0 - 1 Fine -|line 9, field status: unknown value Fine",
                "ROUND 6;REPLY relay/3 t/a 0.1 h 0 - yes Ok -|line 9, field terminal: not 1 or 0: yes",
                "ROUND 6;BACKENDS_CHANGED relay/3 2 7 all|line 9, field slot: no MANIFEST came with number 7",
                "ROUND 6;HELLO relay/4 1 {oops|line 9, field conf: the settings are no JSON",
                "ROUND 6;HELLO relay/4 1 {}|line 9, field conf: limits.slots must be above 0",
                "ROUND 6;HELLO relay/4 1 {\"limits\": 3}|line 9, field conf.limits: not an object",
                "ROUND 6;HELLO relay/4 1 {\"requestClasses\": [{\"aimS\": -1}]}|"
                        + "line 9, field conf.requestClasses.aimS: not a time",
                "ROUND 6|line 8, field GO: the input ended inside a batch"
            })
    void malformedInputIsReportedWithLineAndField(String lines, String message) {
        String out = run(START + lines.replace(';', '\n') + "\n");
        assertEquals("FINISHED\n", out);
        assertEquals(1, exitCode);
        assertEquals("lilaclever: " + message, errorOutput);
    }
}
