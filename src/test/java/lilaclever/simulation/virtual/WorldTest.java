package lilaclever.simulation.virtual;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Stream;
import lilaclever.conf.ConfigurationException;
import lilaclever.simulation.audit.Breach.Rule;
import lilaclever.simulation.audit.DeductionRates;
import lilaclever.simulation.report.Comparison;
import lilaclever.simulation.report.Report;
import lilaclever.simulation.scenario.Scenario;
import lilaclever.simulation.scenario.ScenarioReader;
import lilaclever.simulation.world.Fault;
import lilaclever.simulation.world.RehearsalResult;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Complete rehearsals in virtual time: the real core, decision module and journal in a simulated environment. */
class WorldTest {
    private static RehearsalResult run(Scenario scenario, long seed, Fault fault) {
        return VirtualRehearsal.run(scenario, seed, fault);
    }

    private static RehearsalResult run(String name, Fault fault) throws ConfigurationException {
        return run(ScenarioReader.read(name), 1, fault);
    }

    /** The same seed gives byte-identical reports; another seed gives different ones. */
    @Test
    void runsWithTheSameSeedWriteIdenticalReports(@TempDir Path folder) throws Exception {
        for (String run : List.of("a", "b")) {
            Report.write(run("bad-afternoon", Fault.NONE), folder.resolve(run));
        }
        try (Stream<Path> files = Files.list(folder.resolve("a"))) {
            List<Path> all = files.toList();
            assertEquals(7, all.size());
            for (Path file : all) {
                assertEquals(
                        -1, Files.mismatch(file, folder.resolve("b").resolve(file.getFileName())), file.toString());
            }
        }
        assertTrue(Files.readString(folder.resolve("a/index.html")).contains("data:image/png;base64,"));
        Report.write(run(ScenarioReader.read("bad-afternoon"), 2, Fault.NONE), folder.resolve("c"));
        assertNotEquals(-1, Files.mismatch(folder.resolve("a/report.json"), folder.resolve("c/report.json")));
        assertTrue(Comparison.table(folder.resolve("a"), folder.resolve("b"))
                .contains("1 of them of the same scenario and seed"));
    }

    /** No shipped scenario breaks a rule. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "quiet",
                "monday",
                "month-end",
                "restart-wave-with-silent-lab",
                "silent-partner",
                "mass-return",
                "rolling-replacement",
                "hot-forwarder",
                "partners-refuse"
            })
    void shippedScenarioBreaksNoRule(String name) throws ConfigurationException {
        RehearsalResult result = run(name, Fault.NONE);
        assertEquals(Map.of(), result.auditor().breachCounts(), () -> Report.summary(result));
        long messages = result.auditor().counts().get("messages");
        assertTrue(messages > 500, name + " has " + messages);
    }

    @Test
    void quietScenarioReachesServiceGoal() throws ConfigurationException {
        assertTrue(run("quiet", Fault.NONE).auditor().service().figure(DeductionRates.DEFAULT) > 0.9);
    }

    /** Guards against an auditor that detects nothing: each fault must be reported under the rule that it breaks. */
    @ParameterizedTest
    @CsvSource({
        "silent-partner, RESENDS, REPEAT",
        "rolling-replacement, IGNORES_DRAINS, DRAIN",
        "month-end, ENDS_TWICE, ONE_END",
        "mass-return, FLOODS, FAIL_BACK",
        "month-end, SILENT, ONE_END"
    })
    void faultyForwarderBreaksTheExpectedRule(String name, Fault fault, Rule rule) throws ConfigurationException {
        RehearsalResult result = run(name, fault);
        assertTrue(result.auditor().breachCounts().containsKey(rule), () -> Report.summary(result));
        assertTrue(rule == Rule.FAIL_BACK
                || result.auditor().breaches().stream()
                        .anyMatch(b -> b.rule() == rule && !b.history().isEmpty()));
    }

    /**
     * A call whose connection is established late must not be sent if a retry-after was received in the meantime: 46
     * were sent in a run of 120 forwarders.
     */
    @Test
    void callIsWithheldWhenRetryAfterArrivesBeforeConnection() throws ConfigurationException {
        RehearsalResult result = run(
                ScenarioReader.parse(
                        "late",
                        List.of(
                                "[fleet]",
                                "forwarders 20",
                                "destinations 12",
                                "rate 200",
                                "handshake 150ms",
                                "[traffic]",
                                "length 20s",
                                "load 110%",
                                "[kind a]",
                                "limit window",
                                "tells-wait 100%",
                                "wait 500ms 3s")),
                1,
                Fault.NONE);
        assertEquals(Map.of(), result.auditor().breachCounts(), () -> Report.summary(result));
        assertTrue(
                result.auditor().counts().getOrDefault("ended_withheld", 0L) > 0,
                () -> result.auditor().counts().toString());
    }

    /** A forwarder that ignores the partners' retry-after periods is reported. */
    @Test
    void forwarderIgnoringRetryAfterBreaksWaitRule() throws ConfigurationException {
        Scenario scenario = ScenarioReader.parse(
                "waits",
                List.of(
                        "[traffic]",
                        "length 40s",
                        "load 140%",
                        "[kind a]",
                        "limit rate",
                        "tells-wait 100%",
                        "wait 500ms 900ms"));
        assertEquals(
                Set.of(), run(scenario, 1, Fault.NONE).auditor().breachCounts().keySet());
        assertEquals(
                Set.of(Rule.WAIT),
                run(scenario, 1, Fault.IGNORES_WAITS).auditor().breachCounts().keySet());
    }

    /** A scenario in which nothing can be delivered ends like any other, with a service of 0. */
    @Test
    void permanentOutageScenarioEndsWithZeroService() throws ConfigurationException {
        Scenario scenario = ScenarioReader.parse(
                "hopeless",
                List.of(
                        "[traffic]",
                        "length 20s",
                        "load 500%",
                        "[event all]",
                        "what down",
                        "at 0s",
                        "for 1h",
                        "part 100%"));
        RehearsalResult result = run(scenario, 1, Fault.NONE);
        assertEquals(0, result.auditor().service().wholeRun());
        assertEquals(Map.of(), result.auditor().breachCounts());
    }
}
