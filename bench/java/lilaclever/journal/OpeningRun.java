package lilaclever.journal;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Random;

/**
 * Measures the time and memory that opening a journal folder takes, in a separate process. {@code fill KIND PENDING
 * FOLDER} makes a folder with that many pending messages and three times as many settled ones, {@code remember
 * COUNT FOLDER} one with that many remembered final statuses, and {@code open KIND FOLDER} opens it and prints the
 * milliseconds and the peak memory of the process.
 */
final class OpeningRun {
    private OpeningRun() {}

    public static void main(String[] args) throws IOException {
        switch (args[0]) {
            case "fill" -> fill(args[1], Integer.parseInt(args[2]), Path.of(args[3]));
            case "remember" -> remember(Integer.parseInt(args[1]), Path.of(args[2]));
            default -> open(args[1], Path.of(args[2]));
        }
    }

    private static void fill(String kind, int pending, Path folder) throws IOException {
        byte[] body = new byte[300];
        new Random(1).nextBytes(body);
        try (Store store = Store.open(kind, folder)) {
            for (int i = 0; i < 4 * pending; i++) {
                store.recordAccepted("message-" + i, body);
                store.recordAttempt("message-" + i);
                if (i >= pending) {
                    store.recordSettled("message-" + (i - pending));
                }
                if (i % 10 == 0) {
                    store.endTurn();
                }
            }
            store.endTurn();
        }
    }

    private static void remember(int count, Path folder) throws IOException {
        try (SegmentedJournal journal = new SegmentedJournal(
                FolderDisk.lock(folder),
                Store.MAX_BYTES,
                Durability.NONE,
                new JournalClocks(() -> System.nanoTime() / 1000, () -> 0, BootClock.UNKNOWN),
                new java.util.SplittableRandom())) {
            long longestNanos = 0;
            for (int i = 0; i < count; i++) {
                journal.remember(
                        "<" + i + "@mail.example> frames@supplier.example",
                        new lilaclever.routing.FinalStatus(
                                lilaclever.routing.FinalStatus.Kind.DELIVERED, 0, "250 2.0.0 queued"),
                        i < count / 2 ? 1 : 1000);
                long startNanos = System.nanoTime();
                journal.maintain(0);
                longestNanos = i > 5000 ? Math.max(longestNanos, System.nanoTime() - startNanos) : 0;
            }
            System.out.println("remembered " + journal.rememberedCount() + ", longest slice us " + longestNanos / 1000);
            longestNanos = 0;
            int turns = 0;
            for (; journal.rememberedCount() > count / 2; turns++) {
                long startNanos = System.nanoTime();
                journal.maintain(2);
                longestNanos = Math.max(longestNanos, System.nanoTime() - startNanos);
            }
            System.out.println(
                    "half of them past and forgotten in " + turns + " turns, longest us " + longestNanos / 1000);
        }
    }

    private static void open(String kind, Path folder) throws IOException {
        long startNanos = System.nanoTime();
        try (Store store = Store.open(kind, folder)) {
            long openMillis = (System.nanoTime() - startNanos) / 1_000_000;
            String peakMemory = Files.readAllLines(Path.of("/proc/self/status")).stream()
                    .filter(l -> l.startsWith("VmHWM"))
                    .findFirst()
                    .orElse("?");
            System.out.println(kind + " owed " + store.pendingCount() + " opened in " + openMillis + " ms, "
                    + peakMemory.replaceAll("\\s+", " "));
        }
    }
}
