package lilaclever.scale;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.Comparator;
import java.util.stream.Stream;
import lilaclever.journal.FolderDisk;
import lilaclever.routing.Counters;
import org.HdrHistogram.Histogram;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Measures forwarders without sockets: {@code destinations SIZE...} by listed destinations, {@code held SIZE...} by
 * pending messages for destinations that are down, and {@code events SIZE...} by delivered events. Each line of the
 * output is a {@link Sample}. CPU time is that of the event loop alone; garbage collections run on other threads.
 */
final class HollowRun {
    /** Destinations of one owner at the planned size of the fleet, and those of them that are down. */
    private static final int OWNED_DESTINATIONS = 374, DOWN_DESTINATIONS = 4;

    private static final int BODY_BYTES = 300;
    /** 1,842 events a second, in turns of 5 ms. */
    private static final int EVENTS_PER_TURN = 9;

    private static final int MESSAGES_PER_TURN = 1_000,
            BUSY_TURNS = 200,
            CHANGES = 100,
            IDLE_SECONDS = 60,
            WAITING_SECONDS = 10;
    private static final int WARM_UP_EVENTS = 50_000, EVENTS_BY_DESTINATIONS = 50_000;
    private static final double NANOS_PER_SECOND = 1e9;
    private static final long MAX_TURN_NANOS = 60_000_000_000L;

    private HollowRun() {}

    public static void main(String[] args) throws IOException {
        int[] sizes =
                Arrays.stream(args, 1, args.length).mapToInt(Integer::parseInt).toArray();
        measureEvents(
                "", OWNED_DESTINATIONS, WARM_UP_EVENTS); // warm-up, so that the code is compiled before it is measured
        for (int size : sizes) {
            switch (args[0]) {
                case "destinations" -> measureDestinations(size);
                case "held" -> measurePending(size);
                case "events" -> measureEvents("event", OWNED_DESTINATIONS, size);
                default -> throw new IllegalArgumentException("destinations, held or events, not " + args[0]);
            }
        }
    }

    private interface FolderTask {
        void run(Path folder) throws IOException;
    }

    private static void withTemporaryFolder(FolderTask task) throws IOException {
        Path folder = Files.createTempDirectory("scale");
        try {
            task.run(folder);
        } finally {
            try (Stream<Path> files = Files.walk(folder)) {
                files.sorted(Comparator.reverseOrder())
                        .forEach(file -> file.toFile().delete());
            }
        }
    }

    private static void measureDestinations(int size) throws IOException {
        withTemporaryFolder(folder -> {
            long heapBytesBefore = ResourceUsage.liveHeapBytes();
            SocketlessForwarder[] started = new SocketlessForwarder[1];
            double startSeconds = ResourceUsage.cpuSeconds(() -> started[0] = open(folder, size, size, 100));
            try (SocketlessForwarder forwarder = started[0]) {
                Sample.print("destination_heap", size, ResourceUsage.liveHeapBytes() - heapBytesBefore, "bytes");
                Sample.print("destination_start_cpu", size, startSeconds, "s");
                double changeSeconds = ResourceUsage.cpuSeconds(() -> {
                    for (int i = 0; i < CHANGES; i++) {
                        forwarder.updateEndpoint(i, 2 + i);
                    }
                });
                Sample.print("change_cpu", size, changeSeconds / CHANGES, "s");
                double idleCpuSeconds = ResourceUsage.cpuSeconds(
                        () -> forwarder.advance(IDLE_SECONDS * SocketlessForwarder.SECOND_MICROS));
                Sample.print("idle_second_cpu", size, idleCpuSeconds / IDLE_SECONDS, "s");
            }
        });
        measureEvents("event_by_destinations", size, EVENTS_BY_DESTINATIONS);
    }

    private static SocketlessForwarder open(Path folder, int destinations, int firstDown, int maxPending) {
        try {
            return new SocketlessForwarder(folder, destinations, firstDown, maxPending);
        } catch (IOException e) {
            throw new IllegalStateException("opening a forwarder in a new folder failed", e);
        }
    }

    private static void measurePending(int size) throws IOException {
        withTemporaryFolder(folder -> {
            long heapBytesBefore = ResourceUsage.liveHeapBytes();
            try (SocketlessForwarder forwarder = open(folder, 1 + DOWN_DESTINATIONS, 1, 2 * size)) {
                for (int i = 0; i < size; i++) {
                    forwarder.submit(1 + i % DOWN_DESTINATIONS, new byte[BODY_BYTES]);
                    if (i % MESSAGES_PER_TURN == 0) {
                        forwarder.turn();
                    }
                }
                forwarder.turn();
                requirePending(forwarder, size);
                Sample.print("held_heap", size, ResourceUsage.liveHeapBytes() - heapBytesBefore, "bytes");
                Sample.print("held_disk", size, forwarder.diskBytes(), "bytes");
                double waitingCpuSeconds = ResourceUsage.cpuSeconds(
                        () -> forwarder.advance(WAITING_SECONDS * SocketlessForwarder.SECOND_MICROS));
                Sample.print("held_second_cpu", size, waitingCpuSeconds / WAITING_SECONDS, "s");
                Histogram turns = busyTurns(forwarder);
                Sample.print("held_busy_turn_cpu", size, turns.getValueAtPercentile(50) / NANOS_PER_SECOND, "s");
                Sample.print("held_busy_turn_p99_cpu", size, turns.getValueAtPercentile(99) / NANOS_PER_SECOND, "s");
            }
            SocketlessForwarder[] reopened = new SocketlessForwarder[1];
            double recoverySeconds =
                    ResourceUsage.cpuSeconds(() -> reopened[0] = open(folder, 1 + DOWN_DESTINATIONS, 1, 2 * size));
            try (SocketlessForwarder forwarder = reopened[0]) {
                requirePending(forwarder, size);
                Sample.print("held_recovery_cpu", size, recoverySeconds, "s");
            }
        });
    }

    /** Measures turns with one message for a healthy destination each, while the other messages are pending. */
    private static Histogram busyTurns(SocketlessForwarder forwarder) {
        Histogram turns = new Histogram(MAX_TURN_NANOS, 3);
        for (int i = 0; i < BUSY_TURNS; i++) {
            forwarder.submit(0, new byte[BODY_BYTES]);
            turns.recordValue((long) (ResourceUsage.cpuSeconds(forwarder::turn) * NANOS_PER_SECOND));
        }
        forwarder.advance(SocketlessForwarder.SECOND_MICROS);
        return turns;
    }

    private static void requirePending(SocketlessForwarder forwarder, int size) {
        if (forwarder.pendingMessages() != size) {
            throw new IllegalStateException("pending " + forwarder.pendingMessages() + " of " + size);
        }
    }

    /** Prints nothing if the name of the measure is empty. */
    private static void measureEvents(String measure, int destinations, int events) throws IOException {
        withTemporaryFolder(folder -> {
            CountingDisk disk = new CountingDisk(FolderDisk.lock(folder));
            UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(11);
            try (SocketlessForwarder forwarder = new SocketlessForwarder(disk, destinations, destinations, 10_000)) {
                double cpuSeconds = ResourceUsage.cpuSeconds(() -> {
                    for (int i = 0; i < events; i++) {
                        forwarder.submit(random.nextInt(destinations), new byte[BODY_BYTES]);
                        if (i % EVENTS_PER_TURN == 0) {
                            forwarder.turn();
                        }
                    }
                    forwarder.advance(SocketlessForwarder.SECOND_MICROS);
                });
                if (forwarder.counter(Counters.Name.DELIVERED) != events) {
                    throw new IllegalStateException(
                            "delivered " + forwarder.counter(Counters.Name.DELIVERED) + " of " + events);
                }
                if (measure.equals("event")) {
                    Sample.print("event_cpu", events, cpuSeconds, "s");
                    Sample.print("event_journal_written", events, disk.writtenBytes(), "bytes");
                } else if (!measure.isEmpty()) {
                    Sample.print(measure + "_cpu", destinations, cpuSeconds / events, "s");
                }
            }
        });
    }
}
