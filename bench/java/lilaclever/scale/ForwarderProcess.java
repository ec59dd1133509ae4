package lilaclever.scale;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;

/** The built program, serving in a separate process, and its resource usage. */
final class ForwarderProcess implements AutoCloseable {
    private static final Path JAVA_BIN = Path.of(System.getProperty("java.home"), "bin");
    /** CPU ticks in /proc are 10 ms on every Linux that the program supports. */
    private static final double SECONDS_PER_TICK = 0.01;

    private static final int USER_TICKS = 11, SYSTEM_TICKS = 12;
    private static final int PLATFORM_HEAP_MB = 64, LARGE_HEAP_MB = 3_000, MAX_ENDPOINTS_FOR_PLATFORM_HEAP = 1_000;
    private static final Pattern HISTOGRAM_TOTAL = Pattern.compile("(?m)^Total\\s+\\d+\\s+(\\d+)");
    private static final Pattern SERVING_PORT = Pattern.compile("serves at \\[/[0-9.]+:(\\d+)");

    private final Path folder;
    private final Process process;
    private final double startSeconds;
    private final double startCpuSeconds;
    private int port;

    /**
     * Starts the jar, using the class data archive beside it, with the given number of known endpoints, each of its own
     * destination.
     */
    ForwarderProcess(Path jar, String agent, int endpoints, String endpointAddress) throws IOException {
        folder = Files.createTempDirectory("scale");
        Path config = Files.writeString(folder.resolve("config.json"), config(agent, endpoints, endpointAddress));
        int heap = endpoints <= MAX_ENDPOINTS_FOR_PLATFORM_HEAP ? PLATFORM_HEAP_MB : LARGE_HEAP_MB;
        List<String> command = new ArrayList<>(List.of(
                JAVA_BIN.resolve("java").toString(),
                "-Djava.net.preferIPv4Stack=true",
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-Xms32m",
                "-Xmx" + heap + "m",
                "-Xss256k",
                "-XX:-UsePerfData",
                "-XX:SharedArchiveFile=" + jar.resolveSibling("lilaclever.jsa"),
                "-Xshare:auto",
                "-jar",
                jar.toString(),
                "serve"));
        ProcessBuilder builder =
                new ProcessBuilder(command).redirectErrorStream(true).directory(folder.toFile());
        builder.environment().put("ROUTER_CONFIG", config.toString());
        long startNanos = System.nanoTime();
        process = builder.start();
        awaitServing();
        startSeconds = (System.nanoTime() - startNanos) / 1e9;
        startCpuSeconds = cpuSeconds();
    }

    private static String config(String agent, int endpoints, String address) {
        String list = IntStream.range(0, endpoints)
                .mapToObj(i -> "{\"name\":\"endpoint-" + i + "\",\"address\":\"" + address
                        + "\",\"zone\":\"z\",\"type\":\"lab\",\"group\":" + i + ",\"status\":\"active\"}")
                .collect(Collectors.joining(",", "{\"index\":1,\"snapshot\":true,\"endpoints\":[", "]}"));
        return """
                {"name": "n0", "listen": "127.0.0.1:0", "discovery": "%s", "state": "state", "seed": "0b",
                 "limits": {"disk_mb": 64}, "known": %s,
                 "settings": {"roundS": 0.005, "groupSize": 1, "shapes": ["lab"], "zones": ["z"],
                  "familyInfo": {"callSlots": 20, "kindBatch": [1], "ownLimits": [false]},
                  "limits": {"maxAttempts": 8, "openCap": 2000, "connectTimeoutS": 1.5, "keepaliveS": 15},
                  "requestClasses": [{"name": "status", "aimS": 0.8, "deadlineS": 6, "repeat": "read_like"}],
                  "rules": {"answerSlackS": 0.02, "coldFrom": 0.24, "tipMultiple": 1.5, "rampTimeS": 9.5,
                   "overloadForS": 3, "drainGraceS": 0.5, "askWithinS": 10}}}""".formatted(agent, list);
    }

    private void awaitServing() throws IOException {
        BufferedReader lines = process.inputReader();
        StringBuilder log = new StringBuilder();
        for (String line = lines.readLine(); line != null; line = lines.readLine()) {
            log.append(line).append('\n');
            Matcher serving = SERVING_PORT.matcher(line);
            if (serving.find()) {
                port = Integer.parseInt(serving.group(1));
                AgentStandIn.startDaemon(() -> lines.lines().forEach(ignored -> {}));
                return;
            }
        }
        throw new IOException("the program did not start:\n" + log);
    }

    /** Address at which it accepts messages. */
    InetSocketAddress address() {
        return new InetSocketAddress("127.0.0.1", port);
    }

    /** Wall-clock time from the start of the process until it serves. */
    double startSeconds() {
        return startSeconds;
    }

    /** CPU time of all threads until it serves. */
    double startCpuSeconds() {
        return startCpuSeconds;
    }

    /** CPU time of all threads since the start. */
    double cpuSeconds() throws IOException {
        String stat = Files.readString(Path.of("/proc", Long.toString(process.pid()), "stat"));
        String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
        return (Long.parseLong(fields[USER_TICKS]) + Long.parseLong(fields[SYSTEM_TICKS])) * SECONDS_PER_TICK;
    }

    /** Bytes of live heap objects, after a full garbage collection. */
    long liveHeapBytes() throws IOException {
        Process histogram = new ProcessBuilder(
                        JAVA_BIN.resolve("jcmd").toString(), Long.toString(process.pid()), "GC.class_histogram")
                .redirectErrorStream(true)
                .start();
        try (InputStream out = histogram.getInputStream()) {
            String text = new String(out.readAllBytes(), StandardCharsets.UTF_8);
            Matcher total = HISTOGRAM_TOTAL.matcher(text);
            if (!total.find()) {
                throw new IOException(
                        "no class histogram: " + text.lines().limit(5).toList());
            }
            return Long.parseLong(total.group(1));
        }
    }

    /** Bytes read and written by system calls since the start: sockets, journal and files. */
    long transferredBytes() throws IOException {
        return Files.readAllLines(Path.of("/proc", Long.toString(process.pid()), "io")).stream()
                .filter(line -> line.startsWith("rchar") || line.startsWith("wchar"))
                .mapToLong(line -> Long.parseLong(line.replaceAll("\\D", "")))
                .sum();
    }

    /** Peak resident memory of the process, bytes. */
    long peakMemoryBytes() throws IOException {
        return Files.readAllLines(Path.of("/proc", Long.toString(process.pid()), "status")).stream()
                .filter(line -> line.startsWith("VmHWM"))
                .mapToLong(line -> Long.parseLong(line.replaceAll("\\D", "")) * 1024)
                .findFirst()
                .orElseThrow();
    }

    @Override
    public void close() throws IOException {
        process.destroyForcibly();
        try {
            process.waitFor(10, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        try (Stream<Path> files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder())
                    .forEach(file -> file.toFile().delete());
        }
    }
}
