package lilaclever.journal;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Level;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.TearDown;
import org.openjdk.jmh.annotations.Warmup;

/**
 * One turn of the event loop as the journal sees it, with a constant number of pending messages: one message is
 * accepted and attempted, one is settled, and the store does its maintenance. Compaction therefore runs all the time,
 * at the rate that the load needs.
 */
@State(Scope.Thread)
@BenchmarkMode(Mode.SampleTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Warmup(iterations = 2, time = 3)
@Measurement(iterations = 4, time = 5)
@Fork(
        value = 1,
        jvmArgsAppend = {"-Xmx10g", "-XX:+UseZGC"})
public class JournalBench {
    private static final int BODY_BYTES = 300;

    /** The store under test. */
    @Param({"segments", "one-file", "mvstore"})
    public String store;

    /** Number of pending messages. */
    @Param({"1000", "10000", "100000", "1000000"})
    public int held;

    private Path folder;
    private long writtenBytesBefore;
    private Store openStore;
    private long nextMessage;
    private final byte[] body = new byte[BODY_BYTES];

    /** Fills the store with pending messages. */
    @Setup(Level.Trial)
    public void fill() throws IOException {
        new Random(1).nextBytes(body);
        folder = Files.createTempDirectory("journal-bench");
        openStore = Store.open(store, folder);
        writtenBytesBefore = writtenBytes();
        while (nextMessage < held) {
            openStore.recordAccepted("message-" + nextMessage++, body);
            if (nextMessage % 100 == 0) {
                openStore.endTurn();
            }
        }
        openStore.endTurn();
    }

    /** One turn. */
    @Benchmark
    public void turn() {
        openStore.recordAccepted("message-" + nextMessage, body);
        openStore.recordAttempt("message-" + nextMessage);
        openStore.recordOutcome("message-" + nextMessage);
        openStore.recordSettled("message-" + (nextMessage - held));
        nextMessage++;
        openStore.endTurn();
    }

    /** Bytes that the process has passed to write calls, from /proc/self/io. */
    private static long writtenBytes() throws IOException {
        return Files.readAllLines(Path.of("/proc/self/io")).stream()
                .filter(l -> l.startsWith("wchar: "))
                .mapToLong(l -> Long.parseLong(l.substring(7)))
                .findFirst()
                .orElse(0);
    }

    /** Prints the bytes written per message, and how long opening the store takes. */
    @TearDown(Level.Trial)
    public void end() throws IOException {
        System.out.printf(
                "%nFIGURE %s %d bytes-a-message %d%n",
                store, held, (writtenBytes() - writtenBytesBefore) / nextMessage);
        openStore.close();
        System.gc();
        for (int i = 0; i < 3; i++) {
            long startNanos = System.nanoTime();
            try (Store reopened = Store.open(store, folder)) {
                System.out.printf(
                        "FIGURE %s %d open-ms %d owed %d%n",
                        store, held, (System.nanoTime() - startNanos) / 1_000_000, reopened.pendingCount());
            }
        }
        try (Stream<Path> files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder()).forEach(f -> f.toFile().delete());
        }
    }
}
