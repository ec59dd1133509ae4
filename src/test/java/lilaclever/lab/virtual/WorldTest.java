package lilaclever.lab.virtual;

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
import lilaclever.lab.audit.Breach.Rule;
import lilaclever.lab.audit.DeductionRates;
import lilaclever.lab.report.Comparison;
import lilaclever.lab.report.Report;
import lilaclever.lab.scenario.Scenario;
import lilaclever.lab.scenario.ScenarioReader;
import lilaclever.lab.world.Fault;
import lilaclever.lab.world.Result;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Whole rehearsals in virtual time: the real core, module and journal among models. */
class WorldTest {
    private static Result run(Scenario s, long seed, Fault fault) {
        return VirtualTime.run(s, seed, fault);
    }

    private static Result run(String name, Fault fault) throws ConfigurationException {
        return run(ScenarioReader.read(name), 1, fault);
    }

    /** The same seed gives the same folder, byte for byte; another seed another one. */
    @Test
    void aRunIsTheSameEachTime(@TempDir Path folder) throws Exception {
        for (String life : List.of("a", "b")) {
            Report.write(run("bad-afternoon", Fault.NONE), folder.resolve(life));
        }
        try (Stream<Path> files = Files.list(folder.resolve("a"))) {
            List<Path> all = files.toList();
            assertEquals(7, all.size());
            for (Path f : all) {
                assertEquals(-1, Files.mismatch(f, folder.resolve("b").resolve(f.getFileName())), f.toString());
            }
        }
        assertTrue(Files.readString(folder.resolve("a/index.html")).contains("data:image/png;base64,"));
        Report.write(run(ScenarioReader.read("bad-afternoon"), 2, Fault.NONE), folder.resolve("c"));
        assertNotEquals(-1, Files.mismatch(folder.resolve("a/report.json"), folder.resolve("c/report.json")));
        assertTrue(Comparison.table(folder.resolve("a"), folder.resolve("b"))
                .contains("1 of them of the same scenario and seed"));
    }

    /** What the forwarder is for: no rule is broken on any day that is shipped. */
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
    void noRuleIsBroken(String name) throws ConfigurationException {
        Result r = run(name, Fault.NONE);
        assertEquals(Map.of(), r.auditor().breachCounts(), () -> Report.summary(r));
        long messages = r.auditor().counts().get("messages");
        assertTrue(messages > 500, name + " has " + messages);
    }

    @Test
    void aQuietDayIsServed() throws ConfigurationException {
        assertTrue(run("quiet", Fault.NONE).auditor().service().figure(DeductionRates.DEFAULT) > 0.9);
    }

    /** Guards against an auditor that sees nothing: each fault is caught, and by the rule that it breaks. */
    @ParameterizedTest
    @CsvSource({
        "silent-partner, RESENDS, REPEAT",
        "rolling-replacement, IGNORES_DRAINS, DRAIN",
        "month-end, ENDS_TWICE, ONE_END",
        "mass-return, FLOODS, FAIL_BACK",
        "month-end, SILENT, ONE_END"
    })
    void aBrokenForwarderIsCaughtAndNamed(String name, Fault fault, Rule rule) throws ConfigurationException {
        Result r = run(name, fault);
        assertTrue(r.auditor().breachCounts().containsKey(rule), () -> Report.summary(r));
        assertTrue(rule == Rule.FAIL_BACK
                || r.auditor().breaches().stream()
                        .anyMatch(b -> b.rule() == rule && !b.history().isEmpty()));
    }

    /**
     * Connections that come up late carry no call under a wait that was told meanwhile: 46 did in a run of 120
     * forwarders.
     */
    @Test
    void aCallThatComesUpUnderAWaitIsWithheld() throws ConfigurationException {
        Result r = run(
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
        assertEquals(Map.of(), r.auditor().breachCounts(), () -> Report.summary(r));
        assertTrue(
                r.auditor().counts().getOrDefault("ended_withheld", 0L) > 0,
                () -> r.auditor().counts().toString());
    }

    /** Where partners tell waits, a forwarder that does not hear them is caught. */
    @Test
    void aForwarderThatIgnoresWaitsIsCaught() throws ConfigurationException {
        Scenario s = ScenarioReader.parse(
                "waits",
                List.of(
                        "[traffic]",
                        "length 40s",
                        "load 140%",
                        "[kind a]",
                        "limit rate",
                        "tells-wait 100%",
                        "wait 500ms 900ms"));
        assertEquals(Set.of(), run(s, 1, Fault.NONE).auditor().breachCounts().keySet());
        assertEquals(
                Set.of(Rule.WAIT),
                run(s, 1, Fault.IGNORES_WAITS).auditor().breachCounts().keySet());
    }

    /** A scenario that can never be served ends like any other, with its figure. */
    @Test
    void whatCanNeverBeServedEndsToo() throws ConfigurationException {
        Scenario s = ScenarioReader.parse(
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
        Result r = run(s, 1, Fault.NONE);
        assertEquals(0, r.auditor().service().wholeRun());
        assertEquals(Map.of(), r.auditor().breachCounts());
    }
}
