package lilaclever.scale;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import lilaclever.scale.AgentStandIn.Behaviour;

/**
 * Measures the built program in a separate process: {@code listed JAR SIZE...} the heap, memory and start time by
 * number of known endpoints, {@code idle JAR SECONDS SIZE...} the CPU time of an idle process by number of known
 * endpoints and by behaviour of its agent. Each line of the output is a {@link Sample}.
 */
final class ProcessRun {
    /** Excludes the first seconds of a process, in which it still compiles code. */
    private static final long SETTLE_MILLIS = 5_000;

    private static final String UNUSED_ADDRESS = "127.0.0.1:9";

    private ProcessRun() {}

    public static void main(String[] args) throws Exception {
        Path jar = Path.of(args[1]).toAbsolutePath();
        if (args[0].equals("listed")) {
            for (int size : sizes(args, 2)) {
                measureListed(jar, size);
            }
        } else {
            for (int size : sizes(args, 3)) {
                measureIdle(jar, Behaviour.ANSWERS, size, Long.parseLong(args[2]));
            }
            for (Behaviour behaviour : List.of(Behaviour.REFUSES, Behaviour.SILENT, Behaviour.UNREADABLE)) {
                measureIdle(jar, behaviour, 1, Long.parseLong(args[2]));
            }
        }
    }

    private static int[] sizes(String[] args, int from) {
        return Arrays.stream(args, from, args.length)
                .mapToInt(Integer::parseInt)
                .toArray();
    }

    private static void measureListed(Path jar, int size) throws IOException {
        try (AgentStandIn agent = new AgentStandIn(Behaviour.ANSWERS);
                ForwarderProcess forwarder = new ForwarderProcess(jar, agent.address(), size, UNUSED_ADDRESS)) {
            Sample.print("listed_start_wall", size, forwarder.startSeconds(), "s");
            Sample.print("listed_start_cpu", size, forwarder.startCpuSeconds(), "s");
            Sample.print("listed_peak_memory", size, forwarder.peakMemoryBytes(), "bytes");
            Sample.print("listed_heap", size, forwarder.liveHeapBytes(), "bytes");
        }
    }

    private static void measureIdle(Path jar, Behaviour behaviour, int size, long seconds)
            throws IOException, InterruptedException {
        try (AgentStandIn agent = new AgentStandIn(behaviour);
                ForwarderProcess forwarder = new ForwarderProcess(jar, agent.address(), size, UNUSED_ADDRESS)) {
            Thread.sleep(SETTLE_MILLIS);
            double cpuSecondsBefore = forwarder.cpuSeconds();
            long bytesBefore = forwarder.transferredBytes();
            long startNanos = System.nanoTime();
            Thread.sleep(seconds * 1_000);
            double elapsedSeconds = (System.nanoTime() - startNanos) / 1e9;
            String behaviourName = behaviour.name().toLowerCase(Locale.ROOT);
            Sample.print(
                    "idle_cpu_agent_" + behaviourName,
                    size,
                    (forwarder.cpuSeconds() - cpuSecondsBefore) / elapsedSeconds,
                    "core");
            Sample.print(
                    "idle_bytes_agent_" + behaviourName,
                    size,
                    (forwarder.transferredBytes() - bytesBefore) / elapsedSeconds,
                    "bytes/s");
        }
    }
}
