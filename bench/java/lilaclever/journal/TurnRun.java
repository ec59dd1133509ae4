package lilaclever.journal;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.stream.Stream;
import lilaclever.routing.Submission;

/**
 * Measures turns of the journal and shows where the longest of them spent their time. Each disk operation is timed, to
 * separate the time of the operating system from that of the code. {@code TurnRun turns PENDING TURNS} runs turns back
 * to back, without syncs. {@code TurnRun durability MODE RATE SECONDS} runs turns at a steady rate, as the event loop
 * does, and measures the duration of a turn and the delay until its records are durable.
 */
public final class TurnRun {
    private static final int BODY_BYTES = 300, REPORTED_TURNS = 12;
    private static final List<java.lang.management.GarbageCollectorMXBean> COLLECTORS =
            java.lang.management.ManagementFactory.getGarbageCollectorMXBeans();
    private static final long MAX_BYTES = 4L << 30;

    /**
     * Duration of a turn in nanoseconds: wall-clock time, CPU time, time in disk operations and in the longest of them;
     * and the milliseconds of garbage collection in it.
     */
    private record Turn(
            long index,
            long totalNanos,
            long cpuNanos,
            long diskNanos,
            long longestOperationNanos,
            String operation,
            long collectionMillis) {}

    private final TimedDisk disk;
    private final SegmentedJournal journal;
    private final ConcurrentLinkedQueue<Runnable> loopTasks = new ConcurrentLinkedQueue<>();
    private final byte[] body = new byte[BODY_BYTES];
    private long nextMessage;

    private TurnRun(Path folder, Durability durability) throws IOException {
        new Random(1).nextBytes(body);
        disk = new TimedDisk(FolderDisk.lock(folder));
        journal = new SegmentedJournal(
                disk,
                MAX_BYTES,
                durability,
                new JournalClocks(() -> System.nanoTime() / 1000, () -> 0, BootClock.UNKNOWN),
                new SplittableRandom(1));
        journal.setLoop(loopTasks::add);
    }

    /** Runs the measurement that the arguments name. */
    public static void main(String[] args) throws Exception {
        Path folder = Files.createTempDirectory("turn-run");
        try {
            if (args[0].equals("turns")) {
                new TurnRun(folder, Durability.NONE).measureTurns(Integer.parseInt(args[1]), Long.parseLong(args[2]));
            } else {
                Durability.Mode mode = Durability.Mode.valueOf(args[1].toUpperCase(java.util.Locale.ROOT));
                new TurnRun(folder, new Durability(mode, 50_000))
                        .measureSteadyRate(args[1], Integer.parseInt(args[2]), Integer.parseInt(args[3]));
            }
        } finally {
            try (Stream<Path> files = Files.walk(folder)) {
                files.sorted(Comparator.reverseOrder()).forEach(f -> f.toFile().delete());
            }
        }
    }

    private void runTurn(int pendingCount, Runnable onDurable) {
        accept();
        journal.whenDurable(onDurable);
        journal.recordAttempt("message-" + nextMessage, "endpoint-7", 0, 1);
        journal.recordOutcome("message-" + nextMessage, true);
        journal.recordSettled("message-" + (nextMessage - pendingCount));
        nextMessage++;
        journal.maintain(0);
    }

    private void accept() {
        String id = "message-" + nextMessage;
        if (!journal.recordAccepted(
                "http", new Submission(id, null, 1, 7, "k-" + id, body, false, false, 20_000_000), 99, 0)) {
            throw new IllegalStateException("no space left in the journal");
        }
    }

    private void fill(int pendingCount) {
        while (nextMessage < pendingCount) {
            accept();
            nextMessage++;
            journal.maintain(0);
        }
    }

    private void measureTurns(int pendingCount, long turns) throws IOException {
        fill(pendingCount);
        for (long i = 0; i < turns / 4; i++) {
            runTurn(pendingCount, () -> {});
        }
        PriorityQueue<Turn> longest = new PriorityQueue<>(Comparator.comparingLong(Turn::totalNanos));
        java.lang.management.ThreadMXBean thread = java.lang.management.ManagementFactory.getThreadMXBean();
        long maxCpuNanos = 0, slowTurns = 0, slowCpuTurns = 0;
        for (long i = 0; i < turns; i++) {
            disk.reset();
            long collectedBefore = collectionMillis();
            long cpuStartNanos = thread.getCurrentThreadCpuTime();
            long startNanos = System.nanoTime();
            runTurn(pendingCount, () -> {});
            long totalNanos = System.nanoTime() - startNanos;
            long cpuNanos = thread.getCurrentThreadCpuTime() - cpuStartNanos;
            maxCpuNanos = Math.max(maxCpuNanos, cpuNanos);
            slowTurns += totalNanos > 2_000_000 ? 1 : 0;
            slowCpuTurns += cpuNanos > 2_000_000 ? 1 : 0;
            longest.add(new Turn(
                    i,
                    totalNanos,
                    cpuNanos,
                    disk.totalNanos,
                    disk.longestNanos,
                    disk.operation,
                    collectionMillis() - collectedBefore));
            if (longest.size() > REPORTED_TURNS) {
                longest.poll();
            }
        }
        System.out.printf(
                "held %d, turns %d: over 2 ms %d, by the processor's time (the system's for it included) %d; "
                        + "most of the processor's time %.0f us%n",
                pendingCount, turns, slowTurns, slowCpuTurns, maxCpuNanos / 1e3);
        List<Turn> sorted = new ArrayList<>(longest);
        sorted.sort(Comparator.comparingLong(Turn::totalNanos).reversed());
        for (Turn t : sorted) {
            System.out.printf(
                    "  turn %d: %6.0f us in all, %6.0f of the processor, %6.0f in the disk's operations, the longest "
                            + "%s %6.0f, collections %d ms%n",
                    t.index,
                    t.totalNanos / 1e3,
                    t.cpuNanos / 1e3,
                    t.diskNanos / 1e3,
                    t.operation,
                    t.longestOperationNanos / 1e3,
                    t.collectionMillis);
        }
        journal.close();
    }

    private static long collectionMillis() {
        long millis = 0;
        for (java.lang.management.GarbageCollectorMXBean g : COLLECTORS) {
            millis += g.getCollectionTime();
        }
        return millis;
    }

    private void measureSteadyRate(String mode, int rate, int seconds) throws IOException {
        int pendingCount = 1000;
        fill(pendingCount);
        int turns = rate * seconds;
        long[] turnNanos = new long[turns], durableNanos = new long[turns];
        long startNanos = System.nanoTime() + 1_000_000_000L;
        for (int i = 0; i < turns; ) {
            for (Runnable task = loopTasks.poll(); task != null; task = loopTasks.poll()) {
                task.run();
            }
            if (System.nanoTime() < startNanos + i * 1_000_000_000L / rate) {
                Thread.onSpinWait();
                continue;
            }
            long turnStartNanos = System.nanoTime();
            int index = i++;
            runTurn(pendingCount, () -> durableNanos[index] = System.nanoTime() - turnStartNanos);
            turnNanos[index] = System.nanoTime() - turnStartNanos;
        }
        long endNanos = System.nanoTime() + 2_000_000_000L;
        while (System.nanoTime() < endNanos) {
            for (Runnable task = loopTasks.poll(); task != null; task = loopTasks.poll()) {
                task.run();
            }
        }
        System.out.printf(
                "%s at %d turns a second: turn %s; until it may be told %s; forcings %d, each %s us%n",
                mode,
                rate,
                percentiles(turnNanos),
                percentiles(durableNanos),
                disk.syncNanos.size(),
                percentiles(disk.syncNanos.stream().mapToLong(Long::longValue).toArray()));
        journal.close();
    }

    private static String percentiles(long[] nanos) {
        long[] sorted = nanos.clone();
        Arrays.sort(sorted);
        return sorted.length == 0
                ? "-"
                : String.format(
                        "%.0f / %.0f / %.0f us",
                        sorted[sorted.length / 2] / 1e3,
                        sorted[sorted.length * 99 / 100] / 1e3,
                        sorted[sorted.length - 1] / 1e3);
    }

    /** A disk that measures the duration of its operations. */
    private static final class TimedDisk implements Disk {
        private final Disk real;
        private final ConcurrentLinkedQueue<Long> syncNanos = new ConcurrentLinkedQueue<>();
        private long totalNanos, longestNanos;
        private String operation = "";

        TimedDisk(Disk real) {
            this.real = real;
        }

        void reset() {
            totalNanos = 0;
            longestNanos = 0;
            operation = "none";
        }

        private interface DiskOperation<T> {
            T run() throws IOException;
        }

        private <T> T timed(String name, DiskOperation<T> step) throws IOException {
            long startNanos = System.nanoTime();
            T result = step.run();
            long nanos = System.nanoTime() - startNanos;
            totalNanos += nanos;
            if (nanos > longestNanos) {
                longestNanos = nanos;
                operation = name;
            }
            return result;
        }

        @Override
        public List<String> fileNames() throws IOException {
            return real.fileNames();
        }

        @Override
        public long length(String name) throws IOException {
            return real.length(name);
        }

        @Override
        public DiskFile open(String name) throws IOException {
            return new TimedFile(timed("open", () -> real.open(name)));
        }

        @Override
        public void rename(String from, String to) throws IOException {
            timed("rename", () -> {
                real.rename(from, to);
                return null;
            });
        }

        @Override
        public void delete(String name) throws IOException {
            timed("delete", () -> {
                real.delete(name);
                return null;
            });
        }

        @Override
        public void syncFolder() throws IOException {
            real.syncFolder();
        }

        @Override
        public void close() throws IOException {
            real.close();
        }

        private final class TimedFile implements DiskFile {
            private final DiskFile file;

            TimedFile(DiskFile file) {
                this.file = file;
            }

            @Override
            public int read(ByteBuffer into, long position) throws IOException {
                return file.read(into, position);
            }

            @Override
            public void write(ByteBuffer bytes, long position) throws IOException {
                timed("write of " + bytes.remaining(), () -> {
                    file.write(bytes, position);
                    return null;
                });
            }

            @Override
            public void truncate(long length) throws IOException {
                timed("truncate", () -> {
                    file.truncate(length);
                    return null;
                });
            }

            @Override
            public void sync() throws IOException {
                long startNanos = System.nanoTime(); // on the sync thread
                file.sync();
                syncNanos.add(System.nanoTime() - startNanos);
            }

            @Override
            public void close() throws IOException {
                timed("close", () -> {
                    file.close();
                    return null;
                });
            }
        }
    }
}
