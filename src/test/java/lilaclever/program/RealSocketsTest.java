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
import lilaclever.lab.audit.Breach.Rule;
import lilaclever.lab.report.Report;
import lilaclever.lab.scenario.Scenario;
import lilaclever.lab.scenario.ScenarioReader;
import lilaclever.lab.sockets.RealSockets;
import lilaclever.lab.virtual.VirtualTime;
import lilaclever.lab.world.Fault;
import lilaclever.lab.world.Result;
import lilaclever.lab.world.TimingQuality;
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

    private Result run(Scenario s, List<String> command) throws IOException, InterruptedException {
        return RealSockets.run(s, 1, folder, command, now -> {}, () -> false);
    }

    /**
     * Both client protocols, a restart in the middle and a drain: each message has its end, and the plan is that of
     * virtual time.
     */
    @Test
    void aDayOnSocketsHasThePlanOfVirtualTime() throws Exception {
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
        Result r = run(s, ChildProcessCommand.command("serve"));
        Result v = VirtualTime.run(s, 1, Fault.NONE);
        assertEquals(Map.of(), r.auditor().breachCounts(), () -> Report.summary(r));
        assertEquals(v.auditor().counts().get("messages"), r.auditor().counts().get("messages"));
        assertEquals(v.events(), r.events());
        assertEquals(1, r.auditor().counts().get("restarts"));
        assertTrue(
                r.auditor().counts().get("application_accepts") > 20,
                () -> r.auditor().counts().toString());
        assertTrue(
                r.auditor().counts().get("fate_delivered")
                        > 0.8 * r.auditor().counts().get("messages"),
                () -> Report.summary(r));
        assertNotNull(r.trust());
        assertFalse(r.partial());
    }

    /** A daemon that dies by itself is named, and the day goes on with the next life. */
    @Test
    void aDaemonThatDiesIsNamed() throws Exception {
        List<String> dies = new ArrayList<>(List.of("timeout", "-s", "KILL", "4"));
        dies.addAll(ChildProcessCommand.command("serve"));
        Result r = run(scenario("[traffic]", "length 4s", "load 50%"), dies);
        assertTrue(
                r.auditor().counts().get("deaths") >= 2,
                () -> r.auditor().counts().toString());
        assertTrue(
                r.auditor().breaches().stream()
                        .anyMatch(b -> b.rule() == Rule.INVARIANT
                                && b.description().contains("forwarder 0 died: exit code 137")),
                () -> r.auditor().breaches().toString());
    }

    /** A daemon that can't start, such as one whose port is taken, ends the rehearsal with its own words. */
    @Test
    void aDaemonThatCanNotStartEndsTheRun() throws Exception {
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

    /** Its threads kept a daemon alive whose port was taken: it served nobody, and nobody started it again. */
    @Test
    void aDaemonWhosePortIsTakenSaysSoAndEnds() throws Exception {
        try (java.net.ServerSocket taken = new java.net.ServerSocket(0, 1, java.net.InetAddress.getLoopbackAddress())) {
            String address = "127.0.0.1:" + taken.getLocalPort();
            Process p = Setup.process(
                    folder,
                    Setup.text("127.0.0.1:1", folder.resolve("state"), null, 3)
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

    /** Told to stop in the middle: what there is is given, and it says that it is a part. */
    @Test
    void aRunCutShortIsPartial() throws Exception {
        long[] now = {0};
        Result r = RealSockets.run(
                scenario("[traffic]", "length 60s", "load 50%"),
                1,
                folder,
                ChildProcessCommand.command("serve"),
                t -> now[0] = t,
                () -> now[0] >= 2_000_000);
        assertTrue(r.partial());
        assertTrue(Report.summary(r).contains("CUT SHORT after"), Report.summary(r));
        assertTrue(Report.json(r).get("partial").getAsBoolean());
    }

    /**
     * A hook of the machine's end could not draw the page: AWT refuses to begin then, and the report was half written.
     */
    @Test
    void ctrlCLeavesAWholeReportOfAPart() throws Exception {
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
            for (int i = 0; i < 3000 && !serves(logs); i++) {
                Thread.sleep(10);
            }
            p.toHandle().destroy(); // SIGTERM is treated as Ctrl-C is
            String out = new String(p.getInputStream().readAllBytes(), java.nio.charset.StandardCharsets.UTF_8);
            assertEquals(Interrupt.CODE, p.waitFor(), out);
            assertTrue(out.contains("CUT SHORT"), out);
            assertTrue(java.nio.file.Files.readString(folder.resolve("out/index.html"))
                    .contains("Cut short after"));
        } finally {
            p.destroyForcibly();
        }
    }

    private static boolean serves(Path logs) throws IOException {
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

    /** Guards against false figures: stand-ins that were late say so, and by how much. */
    @Test
    void aRunWhoseStandInsWereLateIsNotTrusted() {
        Histogram late = new Histogram(3_600_000_000L, 3);
        late.recordValueWithCount(100, 990);
        assertTrue(TimingQuality.of(late, 0).good());
        late.recordValueWithCount(20_000, 10);
        assertFalse(TimingQuality.of(late, 0).good());
        assertTrue(
                TimingQuality.of(late, 0)
                        .text()
                        .startsWith(
                                "NOT TO BE TRUSTED, the stand-ins did not keep up: of 1000 tasks 1.00% were over 10 "
                                        + "ms late"),
                TimingQuality.of(late, 0).text());
        Histogram once = new Histogram(3_600_000_000L, 3);
        once.recordValueWithCount(100, 100_000);
        once.recordValue(800_000);
        assertFalse(TimingQuality.of(once, 0).good());
        assertFalse(TimingQuality.of(new Histogram(3_600_000_000L, 3), 1).good());
    }

    @Test
    void whatIsTooLargeForOneMachineIsSaidSo() throws ConfigurationException {
        assertTrue(RealSockets.tooLarge(ScenarioReader.parse("x", List.of("[fleet]", "forwarders 2000")))
                .startsWith("forwarders: 2000"));
        assertTrue(RealSockets.tooLarge(ScenarioReader.parse("x", List.of("[fleet]", "destinations 5000")))
                .startsWith("destinations: about"));
        assertEquals(null, RealSockets.tooLarge(ScenarioReader.read("monday")));
    }
}
