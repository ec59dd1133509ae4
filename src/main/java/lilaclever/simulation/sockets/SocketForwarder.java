package lilaclever.simulation.sockets;

import java.io.File;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import lilaclever.DecisionModule;
import lilaclever.DecisionModule.Presence;
import lilaclever.simulation.model.Arrival;
import lilaclever.simulation.sockets.StandInConnection.HttpMessage;
import lilaclever.simulation.world.ForwarderHandle;
import lilaclever.simulation.world.World;

/** A forwarder of the fleet that runs the real program in its own process. */
final class SocketForwarder implements ForwarderHandle {
    private static final Pattern INVARIANT_COUNTS = Pattern.compile("(?m)^(?:broken_invariants|tasks_failed) (\\d+)$");
    private static final long START_TIMEOUT_MILLIS = 30_000, READY_POLL_MILLIS = 10, STOP_TIMEOUT_SECONDS = 6;

    private final World world;
    private final RealTimeline timeline;
    private final int number;
    private final DecisionModule.Settings settings;
    private final long seed;
    private final Path folder, log;
    private final List<String> command;
    private final PartnerListeners listeners;
    private final PlatformStandIn platform;
    private final HttpSubmitter httpSubmitter;
    /** Null if the scenario has no HL7 traffic. */
    private final Hl7Submitter hl7Submitter;

    private final InetSocketAddress address;
    private Process process;
    private boolean wasReady;
    private String startFailure;
    /** The number of the current process run, from 1; it identifies tasks of earlier runs and varies the seed. */
    private int processRun;

    private long brokenInvariants;

    SocketForwarder(
            World world,
            RealTimeline timeline,
            PartnerListeners listeners,
            int number,
            DecisionModule.Settings settings,
            long seed,
            Path folder,
            List<String> command) {
        this.world = world;
        this.timeline = timeline;
        this.listeners = listeners;
        this.number = number;
        this.settings = settings;
        this.seed = seed;
        this.folder = folder;
        this.command = new ArrayList<>(command);
        log = folder.resolve("forwarder-" + number + ".log");
        try {
            Files.createDirectories(folder.resolve("state-" + number));
            Files.writeString(log, "");
            platform = new PlatformStandIn(
                    world, timeline, e -> listeners.address(world.partner(e.destination()), e.host(), number));
            address = LoopbackPorts.unusedAddress();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        httpSubmitter = new HttpSubmitter(world, timeline, address);
        hl7Submitter = world.scenario().traffic().hl7Share() > 0 ? createHl7Submitter() : null;
    }

    private Hl7Submitter createHl7Submitter() {
        try {
            InetSocketAddress hl7Address = LoopbackPorts.unusedAddress();
            Path conf = Files.writeString(
                    folder.resolve("operator-" + number + ".conf"),
                    OperatorFile.text(world.scenario(), "127.0.0.1:" + hl7Address.getPort()));
            command.addAll(List.of("--conf", conf.toString()));
            return new Hl7Submitter(world, timeline, hl7Address);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    @Override
    public int number() {
        return number;
    }

    @Override
    public boolean isUp() {
        return process != null;
    }

    @Override
    public int pendingCount() {
        return -1;
    }

    @Override
    public long brokenInvariants() {
        return brokenInvariants;
    }

    /** Why the process could not be started or did not become ready; null if it did. */
    String startFailure() {
        return startFailure;
    }

    // Process runs

    @Override
    public void start(List<DecisionModule.EndpointEntry> knownEndpoints, long version, boolean isFirstRun) {
        int startedRun = ++processRun;
        platform.setEndpoints(knownEndpoints, version);
        try {
            Path config = Files.writeString(
                    folder.resolve("config-" + number + ".json"),
                    ForwarderConfigJson.create(
                                    world.scenario(),
                                    settings,
                                    "127.0.0.1:" + address.getPort(),
                                    platform.address(),
                                    folder.resolve("state-" + number),
                                    seed * 31 + processRun,
                                    platform.completeList())
                            .toString());
            ProcessBuilder builder = new ProcessBuilder(command)
                    .redirectErrorStream(true)
                    .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()))
                    .redirectInput(new File("/dev/null"));
            builder.environment().keySet().removeIf(k -> k.startsWith("ROUTER_"));
            builder.environment().put("ROUTER_CONFIG", config.toString());
            process = builder.start();
        } catch (IOException e) {
            startFailure = "forwarder " + number + " cannot be started: " + e.getMessage();
            return;
        }
        Process started = process;
        started.onExit().thenRun(() -> timeline.post(() -> onExit(startedRun, started.exitValue())));
        SocketThreads.start("start", () -> awaitReady(startedRun, started));
    }

    private void awaitReady(int startedRun, Process started) throws InterruptedException {
        long untilMillis = System.currentTimeMillis() + START_TIMEOUT_MILLIS;
        while (started.isAlive() && System.currentTimeMillis() < untilMillis) {
            if (answersReady()) {
                timeline.post(() -> {
                    if (processRun == startedRun && process != null) {
                        wasReady = true;
                        world.onReady(number);
                    }
                });
                return;
            }
            Thread.sleep(READY_POLL_MILLIS);
        }
        if (!started.isAlive()) {
            return; // onExit reports the exit code
        }
        timeline.post(() -> {
            if (processRun == startedRun && process != null && !wasReady) {
                startFailure = "forwarder " + number + " is not ready after " + START_TIMEOUT_MILLIS / 1000
                        + " s, its last line: " + lastLine();
            }
        });
    }

    private boolean answersReady() {
        try (Socket socket = new Socket()) {
            socket.connect(address, 500);
            StandInConnection connection = new StandInConnection(socket);
            connection.setReadTimeout(500);
            connection.writeText("GET /health/ready HTTP/1.1\r\nHost: lilaclever\r\n\r\n");
            HttpMessage answer = connection.readHttp();
            return answer != null && answer.target().equals("200");
        } catch (IOException e) {
            return false; // not ready yet
        }
    }

    private void onExit(int startedRun, int code) {
        if (processRun != startedRun || process == null) {
            return; // the run was ended by kill() or stop()
        }
        process = null;
        String cause = "exit code " + code + ", its last line: " + lastLine();
        if (!wasReady) {
            startFailure = "forwarder " + number + " did not start: " + cause;
        } else {
            world.onUnexpectedExit(number, cause);
        }
    }

    private String lastLine() {
        try {
            List<String> lines = Files.readAllLines(log);
            return lines.isEmpty() ? "(none)" : lines.get(lines.size() - 1);
        } catch (IOException e) {
            return e.toString();
        }
    }

    @Override
    public void kill() {
        process.destroyForcibly();
        process = null;
    }

    /** Ends the process and reads the broken invariants that it has logged. */
    void stop() throws IOException, InterruptedException {
        Process last = process;
        process = null;
        if (last != null) {
            last.destroy();
            if (!last.waitFor(STOP_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
                last.destroyForcibly().waitFor();
            }
        }
        platform.close();
        httpSubmitter.close();
        if (hl7Submitter != null) {
            hl7Submitter.close();
        }
        Matcher matcher = INVARIANT_COUNTS.matcher(Files.readString(log));
        while (matcher.find()) {
            brokenInvariants += Long.parseLong(matcher.group(1));
        }
    }

    // Input from the world

    @Override
    public void submit(String id, Arrival arrival, long leftMicros) {
        if (hl7Submitter != null && world.scenario().traffic().usesHl7(arrival.number())) {
            hl7Submitter.submit(id, arrival, leftMicros);
        } else {
            httpSubmitter.submit(id, arrival, leftMicros);
        }
    }

    @Override
    public void onEndpointsChanged(long version, List<DecisionModule.EndpointEntry> changes) {
        platform.applyChange(version, changes);
        for (DecisionModule.EndpointEntry e : changes) {
            if (e.presence() == Presence.LEFT) {
                listeners.remove(e.host(), number);
            }
        }
    }
}
