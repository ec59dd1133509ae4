package lilaclever.lab.sockets;

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
import lilaclever.lab.model.Arrival;
import lilaclever.lab.sockets.Wire.Head;
import lilaclever.lab.world.ForwarderHandle;
import lilaclever.lab.world.World;

/** One forwarder of the fleet: the real program in a process of its own. */
final class SocketForwarder implements ForwarderHandle {
    private static final Pattern BROKEN = Pattern.compile("(?m)^(?:broken_invariants|tasks_failed) (\\d+)$");
    private static final long START_WITHIN = 30_000, LOOK = 10, END_WITHIN = 6;

    private final World world;
    private final RealTime time;
    private final int number;
    private final DecisionModule.Settings settings;
    private final long seed;
    private final Path folder, log;
    private final List<String> command;
    private final Listeners listeners;
    private final Agent agent;
    private final Clients clients;
    /** Null where no message comes by HL7. */
    private final Hl7Line line;

    private final InetSocketAddress address;
    private Process process;
    private boolean served;
    private String failure;
    private int life;
    private long broken;

    SocketForwarder(
            World world,
            RealTime time,
            Listeners listeners,
            int number,
            DecisionModule.Settings settings,
            long seed,
            Path folder,
            List<String> command) {
        this.world = world;
        this.time = time;
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
            agent = new Agent(world, time, e -> listeners.address(world.partner(e.destination()), e.host(), number));
            address = Ports.free();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        clients = new Clients(world, time, address);
        line = world.scenario().traffic().hl7Share() > 0 ? hl7() : null;
    }

    private Hl7Line hl7() {
        try {
            InetSocketAddress port = Ports.free();
            Path conf = Files.writeString(
                    folder.resolve("operator-" + number + ".conf"),
                    OperatorFile.text(world.scenario(), "127.0.0.1:" + port.getPort()));
            command.addAll(List.of("--conf", conf.toString()));
            return new Hl7Line(world, time, port);
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
    public int held() {
        return -1;
    }

    @Override
    public long broken() {
        return broken;
    }

    /** Why it could not be started at all; null if it could. */
    String failure() {
        return failure;
    }

    // ---- lives ------------------------------------------------------------------------------------------
    @Override
    public void start(List<DecisionModule.EndpointEntry> known, long version, boolean first) {
        int mine = ++life;
        agent.set(known, version);
        try {
            Path config = Files.writeString(
                    folder.resolve("config-" + number + ".json"),
                    Settings.config(
                                    world.scenario(),
                                    settings,
                                    "127.0.0.1:" + address.getPort(),
                                    agent.address(),
                                    folder.resolve("state-" + number),
                                    seed * 31 + life,
                                    agent.known())
                            .toString());
            ProcessBuilder builder = new ProcessBuilder(command)
                    .redirectErrorStream(true)
                    .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()))
                    .redirectInput(new File("/dev/null"));
            builder.environment().keySet().removeIf(k -> k.startsWith("ROUTER_"));
            builder.environment().put("ROUTER_CONFIG", config.toString());
            process = builder.start();
        } catch (IOException e) {
            failure = "forwarder " + number + " can't be started: " + e.getMessage();
            return;
        }
        Process started = process;
        started.onExit().thenRun(() -> time.post(() -> exited(mine, started.exitValue())));
        Threads.start("start", () -> awaitReady(mine, started));
    }

    private void awaitReady(int mine, Process started) throws InterruptedException {
        long until = System.currentTimeMillis() + START_WITHIN;
        while (started.isAlive() && System.currentTimeMillis() < until) {
            if (answersReady()) {
                time.post(() -> {
                    if (life == mine && process != null) {
                        served = true;
                        world.onReady(number);
                    }
                });
                return;
            }
            Thread.sleep(LOOK);
        }
        if (!started.isAlive()) {
            return; // its exit says more than that it does not serve
        }
        time.post(() -> {
            if (life == mine && process != null && !served) {
                failure = "forwarder " + number + " does not serve after " + START_WITHIN / 1000 + " s, its last line: "
                        + lastLine();
            }
        });
    }

    private boolean answersReady() {
        try (Socket socket = new Socket()) {
            socket.connect(address, 500);
            Wire wire = new Wire(socket);
            wire.patience(500);
            wire.say("GET /health/ready HTTP/1.1\r\nHost: lilaclever\r\n\r\n");
            Head answer = wire.read();
            return answer != null && answer.target().equals("200");
        } catch (IOException e) {
            return false; // not yet
        }
    }

    private void exited(int mine, int code) {
        if (life != mine || process == null) {
            return; // it was killed
        }
        process = null;
        String how = "exit code " + code + ", its last line: " + lastLine();
        if (!served) {
            failure = "forwarder " + number + " did not start: " + how;
        } else {
            world.onUnexpectedDeath(number, how);
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

    /** Asks it to end, and reads what it counted. */
    void stop() throws IOException, InterruptedException {
        Process last = process;
        process = null;
        if (last != null) {
            last.destroy();
            if (!last.waitFor(END_WITHIN, TimeUnit.SECONDS)) {
                last.destroyForcibly().waitFor();
            }
        }
        agent.close();
        clients.close();
        if (line != null) {
            line.close();
        }
        Matcher m = BROKEN.matcher(Files.readString(log));
        while (m.find()) {
            broken += Long.parseLong(m.group(1));
        }
    }

    // ---- what it is given -------------------------------------------------------------------------------
    @Override
    public void handIn(String id, Arrival arrival, long leftMicros) {
        if (line != null && world.scenario().traffic().usesHl7(arrival.number())) {
            line.handIn(id, arrival, leftMicros);
        } else {
            clients.handIn(id, arrival, leftMicros);
        }
    }

    @Override
    public void listing(long version, List<DecisionModule.EndpointEntry> changes) {
        agent.change(version, changes);
        for (DecisionModule.EndpointEntry e : changes) {
            if (e.presence() == Presence.LEFT) {
                listeners.remove(e.host(), number);
            }
        }
    }
}
