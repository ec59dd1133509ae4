package lilaclever.soak;

import java.io.BufferedReader;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import lilaclever.program.StandInThreads;
import lilaclever.simulation.sockets.StandInConnection;

/**
 * A real forwarder, started by the deploy file's {@code run}, with a state folder that outlives its processes. It is
 * restarted as the protocol page says: SIGKILL no sooner than 3.7 s after SIGTERM, the next start 0.6 s later.
 */
final class SoakForwarder implements AutoCloseable {
    private static final long KILL_AFTER_TERM_MILLIS = 3_700;
    private static final long START_AFTER_KILL_MILLIS = 600;
    private static final long NEW_CONNECTIONS_AFTER_TERM_MILLIS = 300;
    private static final long POLL_MILLIS = 20;
    private static final int HANGUPS = 4;
    private static final long SIGNAL_PAUSE_MILLIS = 80;
    private static final long PROCESS_PAUSE_MILLIS = 150;
    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;
    private static final Pattern SERVES = Pattern.compile("serves at \\[/([0-9.]+):(\\d+)");
    private static final Pattern RUN_KEY = Pattern.compile("(?m)^run = \"([^\"]*)\"");

    private final String name;
    private final Path build;
    private final Path folder;
    private final SoakAccount account;
    private final List<long[]> downSpans = new ArrayList<>();
    private Process process;
    private volatile InetSocketAddress address;
    private volatile boolean acceptsNew;
    private volatile boolean isBeingEnded;
    private Duration endedProcessorTime = Duration.ZERO;

    SoakForwarder(String name, Path build, Path folder, SoakAccount account) {
        this.name = name;
        this.build = build;
        this.folder = folder;
        this.account = account;
    }

    String name() {
        return name;
    }

    /** Where clients may open connections now, or null. */
    InetSocketAddress address() {
        return acceptsNew ? address : null;
    }

    /** Starts the program with the configuration and returns once it answers that it is ready. */
    void start(String config) throws IOException, InterruptedException {
        Path file = Files.writeString(folder.resolve("config.json"), config);
        Matcher run = RUN_KEY.matcher(Files.readString(build.resolve("deploy/balancer.toml")));
        if (!run.find()) {
            throw new IOException("deploy/balancer.toml has no run");
        }
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", run.group(1)).directory(build.toFile());
        builder.environment().put("ROUTER_CONFIG", file.toString());
        long startedNanos = System.nanoTime();
        process = builder.start();
        isBeingEnded = false;
        watch(process);
        readAddress(process);
        awaitReady();
        account.ready(name, startedNanos, System.nanoTime());
        acceptsNew = true;
    }

    private void watch(Process started) {
        started.onExit().thenAccept(ended -> {
            if (!isBeingEnded) {
                account.crashed(name, "exit code " + ended.exitValue());
                acceptsNew = false;
            }
        });
    }

    private void readAddress(Process started) throws IOException {
        BufferedReader log = started.errorReader();
        for (String line = log.readLine(); line != null; line = log.readLine()) {
            Matcher serves = SERVES.matcher(line);
            if (serves.find()) {
                address = new InetSocketAddress(serves.group(1), Integer.parseInt(serves.group(2)));
                Path file = folder.resolve("log-" + name);
                StandInThreads.start(
                        "log of " + name, () -> Files.write(file, (Iterable<String>) log.lines()::iterator));
                return;
            }
        }
        throw new IOException(name + " ended before it served");
    }

    private void awaitReady() throws InterruptedException {
        while (!isReady()) {
            Thread.sleep(POLL_MILLIS);
        }
    }

    private boolean isReady() {
        try (Socket socket = new Socket()) {
            socket.connect(address, CONNECT_TIMEOUT_MILLIS);
            StandInConnection connection = new StandInConnection(socket);
            connection.setReadTimeout(CONNECT_TIMEOUT_MILLIS);
            connection.writeText("GET /health/ready HTTP/1.1\r\nConnection: close\r\n\r\n");
            StandInConnection.HttpMessage answer = connection.readHttp();
            return answer != null && answer.target().equals("200");
        } catch (IOException e) {
            return false;
        }
    }

    /** Restarts the program in the way of the event. */
    void restart(SoakPlan.EventKind kind, String config) throws IOException, InterruptedException {
        long signalNanos = System.nanoTime();
        isBeingEnded = true;
        if (kind != SoakPlan.EventKind.KILL) {
            if (kind == SoakPlan.EventKind.HANGUP_THEN_TERM) {
                signal("HUP");
            }
            signal("TERM");
            Thread.sleep(NEW_CONNECTIONS_AFTER_TERM_MILLIS);
            acceptsNew = false;
            if (kind == SoakPlan.EventKind.TERM_TWICE_THEN_KILL) {
                signal("TERM");
            }
            process.waitFor(KILL_AFTER_TERM_MILLIS - NEW_CONNECTIONS_AFTER_TERM_MILLIS, TimeUnit.MILLISECONDS);
        }
        acceptsNew = false;
        kill();
        Thread.sleep(START_AFTER_KILL_MILLIS);
        start(config);
        long readyNanos = System.nanoTime();
        synchronized (downSpans) {
            downSpans.add(new long[] {signalNanos, readyNanos});
        }
        account.restarted(name, signalNanos, readyNanos);
    }

    private void kill() throws InterruptedException {
        endedProcessorTime = endedProcessorTime.plus(currentProcessorTime());
        account.killed(name, System.nanoTime());
        process.destroyForcibly().waitFor();
    }

    private Duration currentProcessorTime() {
        return process.toHandle().info().totalCpuDuration().orElse(Duration.ZERO);
    }

    /** The processor time of all its processes. */
    Duration processorTime() {
        return process.isAlive() ? endedProcessorTime.plus(currentProcessorTime()) : endedProcessorTime;
    }

    /** Whether the process was being ended, or was away, at some moment since the given time. */
    boolean wasDownSince(long nanos) {
        synchronized (downSpans) {
            return isBeingEnded || downSpans.stream().anyMatch(span -> span[1] >= nanos);
        }
    }

    /** Whether the process is away: killed and not ready again. */
    boolean isDead() {
        return !process.isAlive();
    }

    void hangUpRepeatedly() throws IOException, InterruptedException {
        for (int i = 0; i < HANGUPS; i++) {
            signal("HUP");
            Thread.sleep(SIGNAL_PAUSE_MILLIS);
        }
    }

    /** Holds the process up, as a busy machine would. */
    void pause() throws IOException, InterruptedException {
        signal("STOP");
        Thread.sleep(PROCESS_PAUSE_MILLIS);
        signal("CONT");
    }

    /** Lets no file of the process grow for a while. */
    void fillDisk(int millis) throws IOException, InterruptedException {
        limitFileSize("4096");
        Thread.sleep(millis);
        limitFileSize("unlimited");
    }

    private void limitFileSize(String bytes) throws IOException, InterruptedException {
        run("prlimit", "--pid", Long.toString(process.pid()), "--fsize=" + bytes + ":unlimited");
    }

    private void signal(String signal) throws IOException, InterruptedException {
        run("kill", "-" + signal, Long.toString(process.pid()));
    }

    private static void run(String... command) throws IOException, InterruptedException {
        new ProcessBuilder(command).redirectErrorStream(true).start().waitFor();
    }

    @Override
    public void close() {
        isBeingEnded = true;
        acceptsNew = false;
        if (process != null) {
            process.destroyForcibly();
        }
    }
}
