package lilaclever.program;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import lilaclever.conf.ConfigurationException;
import lilaclever.simulation.audit.Breach.Rule;
import lilaclever.simulation.report.Report;
import lilaclever.simulation.scenario.Scenario;
import lilaclever.simulation.scenario.ScenarioReader;
import lilaclever.simulation.sockets.SocketRehearsal;
import lilaclever.simulation.virtual.VirtualRehearsal;
import lilaclever.simulation.world.Fault;
import lilaclever.simulation.world.RehearsalResult;
import lilaclever.simulation.world.TimingQuality;
import org.HdrHistogram.Histogram;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Short rehearsals on sockets: the real program in processes of its own, among stand-ins. */
class RealSocketsTest {
    @TempDir
    Path folder;

    private static Scenario scenario(String... more) throws ConfigurationException {
        List<String> lines = new ArrayList<>(List.of(
                "[fleet]",
                "forwarders 2",
                "destinations 4",
                "rate 60",
                "[class a]",
                "share 60%",
                "deadline 3s",
                "aim 1s",
                "repeat keyed",
                "work 5ms 20ms",
                "[class p]",
                "share 40%",
                "deadline 3s",
                "aim 1s",
                "repeat unsafe",
                "work 5ms 20ms"));
        lines.addAll(List.of(more));
        return ScenarioReader.parse("short", lines);
    }

    private RehearsalResult run(Scenario s, List<String> command) throws IOException, InterruptedException {
        return SocketRehearsal.run(s, 1, folder, command, now -> {}, () -> false);
    }

    /**
     * Both client protocols, a restart midway and a drain: each message gets its result, and the plan equals that of
     * virtual time.
     */
    @Test
    void socketRehearsalFollowsThePlanOfVirtualTime() throws Exception {
        Scenario s = scenario(
                "[traffic]",
                "length 5s",
                "load 60%",
                "hl7 50%",
                "[event r]",
                "what restart",
                "at 2s",
                "for 1s",
                "part 50%",
                "[event d]",
                "what drain",
                "at 1s",
                "for 2s",
                "part 30%");
        RehearsalResult r = run(s, ChildProcessCommand.command("serve"));
        RehearsalResult v = VirtualRehearsal.run(s, 1, Fault.NONE);
        assertEquals(Map.of(), r.auditor().breachCounts(), () -> Report.summary(r));
        assertEquals(v.auditor().counts().get("messages"), r.auditor().counts().get("messages"));
        assertEquals(v.eventPeriods(), r.eventPeriods());
        assertEquals(1, r.auditor().counts().get("restarts"));
        assertTrue(
                r.auditor().counts().get("application_accepts") > 20,
                () -> r.auditor().counts().toString());
        assertTrue(
                r.auditor().counts().get("fate_delivered")
                        > 0.8 * r.auditor().counts().get("messages"),
                () -> Report.summary(r));
        assertNotNull(r.timingQuality());
        assertFalse(r.isPartial());
    }

    /** A forwarder process that dies is reported, and the rehearsal continues with the next process. */
    @Test
    void forwarderProcessThatDiesIsReported() throws Exception {
        List<String> commandWithTimeLimit = new ArrayList<>(List.of("timeout", "-s", "KILL", "4"));
        commandWithTimeLimit.addAll(ChildProcessCommand.command("serve"));
        RehearsalResult r = run(scenario("[traffic]", "length 4s", "load 50%"), commandWithTimeLimit);
        assertTrue(
                r.auditor().counts().get("deaths") >= 2,
                () -> r.auditor().counts().toString());
        assertTrue(
                r.auditor().breaches().stream()
                        .anyMatch(b -> b.rule() == Rule.INVARIANT
                                && b.description().contains("forwarder 0 died: exit code 137")),
                () -> r.auditor().breaches().toString());
    }

    /**
     * A forwarder process that cannot start, for example because its port is in use, ends the rehearsal with an error
     * that contains its last log line.
     */
    @Test
    void forwarderProcessThatCannotStartEndsTheRehearsal() throws Exception {
        IOException e = assertThrows(
                IOException.class,
                () -> run(
                        scenario("[traffic]", "length 4s"),
                        List.of("sh", "-c", "echo 'lilaclever: Address already in use'; exit 1")));
        assertTrue(
                e.getMessage()
                        .matches("forwarder \\d did not start: exit code 1, its last line: lilaclever: Address already "
                                + "in use"),
                e.getMessage());
        assertThrows(IOException.class, () -> run(scenario("[traffic]", "length 4s"), List.of("no-such-program")));
    }

    /**
     * Guards against a process that stays alive without serving because its threads keep running after the port was
     * found in use, so that no supervisor restarts it.
     */
    @Test
    void forwarderWhosePortIsInUseReportsItAndExits() throws Exception {
        try (java.net.ServerSocket portHolder =
                new java.net.ServerSocket(0, 1, java.net.InetAddress.getLoopbackAddress())) {
            String address = "127.0.0.1:" + portHolder.getLocalPort();
            Process p = ForwarderSetup.startProcess(
                    folder,
                    ForwarderSetup.configText("127.0.0.1:1", folder.resolve("state"), null, 3)
                            .replace("\"listen\": \"127.0.0.1:0\"", "\"listen\": \"" + address + '"'),
                    256);
            try {
                assertTrue(p.waitFor(30, java.util.concurrent.TimeUnit.SECONDS));
                assertEquals(1, p.exitValue());
                String log = new String(p.getErrorStream().readAllBytes(), java.nio.charset.StandardCharsets.UTF_8);
                assertTrue(log.contains("can't listen at /" + address + ": Address already in use"), log);
            } finally {
                p.destroyForcibly();
            }
        }
    }

    /** A run interrupted midway gives its results so far, marked as partial. */
    @Test
    void interruptedRunIsMarkedPartial() throws Exception {
        long[] now = {0};
        RehearsalResult r = SocketRehearsal.run(
                scenario("[traffic]", "length 60s", "load 50%"),
                1,
                folder,
                ChildProcessCommand.command("serve"),
                t -> now[0] = t,
                () -> now[0] >= 2_000_000);
        assertTrue(r.isPartial());
        assertTrue(Report.summary(r).contains("CUT SHORT after"), Report.summary(r));
        assertTrue(Report.json(r).get("partial").getAsBoolean());
    }

    /**
     * Guards against a half-written report: AWT cannot start in a shutdown hook of the JVM, so the page with plots must
     * not be drawn there.
     */
    @Test
    void interruptLeavesACompleteReportOfAPartialRun() throws Exception {
        List<String> command = new ArrayList<>(ChildProcessCommand.command(
                "rehearse",
                "run",
                "quiet",
                "--sockets",
                "--out",
                folder.resolve("out").toString()));
        command.remove("-Xmx64m");
        Process p = new ProcessBuilder(command).redirectErrorStream(true).start();
        try {
            Path logs = folder.resolve("out/forwarders");
            for (int i = 0; i < 3000 && !isServing(logs); i++) {
                Thread.sleep(10);
            }
            p.toHandle().destroy(); // SIGTERM is handled like Ctrl-C
            String out = new String(p.getInputStream().readAllBytes(), java.nio.charset.StandardCharsets.UTF_8);
            assertEquals(Interrupt.EXIT_CODE, p.waitFor(), out);
            assertTrue(out.contains("CUT SHORT"), out);
            assertTrue(java.nio.file.Files.readString(folder.resolve("out/index.html"))
                    .contains("Cut short after"));
        } finally {
            p.destroyForcibly();
        }
    }

    private static boolean isServing(Path logs) throws IOException {
        if (!java.nio.file.Files.exists(logs)) {
            return false;
        }
        try (java.util.stream.Stream<Path> files = java.nio.file.Files.walk(logs)) {
            return files.anyMatch(f -> f.toString().endsWith(".log") && text(f).contains("serves at"));
        }
    }

    private static String text(Path f) {
        try {
            return java.nio.file.Files.readString(f);
        } catch (IOException e) {
            return "";
        }
    }

    /** Guards against figures falsified by late stand-ins: the result says that they were late, and by how much. */
    @Test
    void runWithLateStandInsIsMarkedUntrusted() {
        Histogram late = new Histogram(3_600_000_000L, 3);
        late.recordValueWithCount(100, 990);
        assertTrue(TimingQuality.of(late, 0).isAcceptable());
        late.recordValueWithCount(20_000, 10);
        assertFalse(TimingQuality.of(late, 0).isAcceptable());
        assertTrue(
                TimingQuality.of(late, 0)
                        .summary()
                        .startsWith(
                                "NOT TO BE TRUSTED, the stand-ins did not keep up: of 1000 tasks 1.00% were over 10 "
                                        + "ms late"),
                TimingQuality.of(late, 0).summary());
        Histogram once = new Histogram(3_600_000_000L, 3);
        once.recordValueWithCount(100, 100_000);
        once.recordValue(800_000);
        assertFalse(TimingQuality.of(once, 0).isAcceptable());
        assertFalse(TimingQuality.of(new Histogram(3_600_000_000L, 3), 1).isAcceptable());
    }

    @Test
    void scenarioTooLargeForOneMachineIsRejected() throws ConfigurationException {
        assertTrue(SocketRehearsal.sizeProblem(ScenarioReader.parse("x", List.of("[fleet]", "forwarders 2000")))
                .startsWith("forwarders: 2000"));
        assertTrue(SocketRehearsal.sizeProblem(ScenarioReader.parse("x", List.of("[fleet]", "destinations 5000")))
                .startsWith("destinations: about"));
        assertEquals(null, SocketRehearsal.sizeProblem(ScenarioReader.read("monday")));
    }
}
