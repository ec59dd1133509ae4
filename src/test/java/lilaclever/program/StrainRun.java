package lilaclever.program;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Stream;
import lilaclever.program.Peer.Request;
import lilaclever.program.Peer.Wire;

/**
 * Strains the journal, outside CI: real processes under load are killed at random moments, have their disk filled, or
 * have a bit of the journal flipped while they are down; then the history of every message is checked.
 * {@code bench/strain} starts it.
 *
 * <p>A lane is one process with its clients, endpoints and platform. Messages have short deadlines so that a run ends.
 */
final class StrainRun {
    private static final int CLIENTS = 6, SENDS_PER_SECOND = 20;
    private static final long NANOS_PER_MILLI = 1_000_000,
            NOTICE_GRACE_NANOS = 400 * NANOS_PER_MILLI,
            RESTART_GRACE_NANOS = 1500 * NANOS_PER_MILLI,
            REPEAT_WINDOW_NANOS = 5_000 * NANOS_PER_MILLI;
    /**
     * Calls with a random number below these thresholds, out of 1000, are refused, fail or have their connection
     * dropped.
     */
    private static final int FULL_BELOW = 1, FAULT_BELOW = 10, DROP_BELOW = 20;

    private static final int DESTINATIONS = 6, FIRST_DESTINATION = 7;
    private static final String[] CLASSES = {"order", "status", "payment"};
    private static final double[] DEADLINE_SECONDS = {8, 4, 9};

    /** The history of one message; times in nanoseconds. */
    private static final class MessageHistory {
        final int classIndex;
        final long sentAt;
        long acceptedAt, deliveredAt, noticeAt;
        int openAttempts;
        Wire lastConnection;
        final List<String> events = new ArrayList<>();
        final List<Long> mayHaveRunAt = new ArrayList<>();

        MessageHistory(int classIndex, long sentAt) {
            this.classIndex = classIndex;
            this.sentAt = sentAt;
        }

        synchronized void addEvent(long at, String what) {
            events.add((at - sentAt) / NANOS_PER_MILLI + " ms " + what);
        }
    }

    /** Counts and broken rules of all lanes. */
    private static final class RunFindings {
        final TreeMap<String, Long> counts = new TreeMap<>();
        final List<String> brokenHistories = new ArrayList<>();
        final List<Long> readyMillis = new ArrayList<>(),
                latencyMillis = new ArrayList<>(),
                recoveryMillis = new ArrayList<>();

        synchronized void count(String what, long n) {
            counts.merge(what, n, Long::sum);
        }

        synchronized void countBroken(String rule, String id, MessageHistory history) {
            count("BROKEN " + rule, 1);
            if (brokenHistories.size() < 10) {
                brokenHistories.add(rule + ": " + id + " " + CLASSES[history.classIndex] + " " + history.events);
            }
        }
    }

    private final RunFindings findings;
    private final SplittableRandom random;
    private final String mode;
    /**
     * Number of the lane in its message ids and its own address: with a shared address, a port that one lane's process
     * releases could be taken by another lane's process.
     */
    private final int lane;

    private final Path folder;
    private final Map<String, MessageHistory> histories = new ConcurrentHashMap<>();
    private final AtomicLong ids = new AtomicLong();
    private final List<long[]> downtimes = new ArrayList<>();
    private volatile InetSocketAddress address;
    private volatile boolean ended;
    private Process process;

    private StrainRun(String mode, int lane, long seed, RunFindings findings) throws IOException {
        this.mode = mode;
        this.lane = lane;
        this.findings = findings;
        random = new SplittableRandom(seed);
        folder = Files.createTempDirectory("strain");
    }

    // Peers
    private Peer endpoint(long seed) throws IOException {
        SplittableRandom endpointRandom = new SplittableRandom(seed);
        return new Peer(wire -> {
            for (Request r = wire.readRequest(); r != null; r = wire.readRequest()) {
                MessageHistory history = histories.get(r.headers().getOrDefault("req-id", ""));
                int randomPerThousand;
                synchronized (endpointRandom) {
                    randomPerThousand = endpointRandom.nextInt(1000);
                }
                if (history == null || !r.path().equals("/receive")) {
                    findings.count("BROKEN unknown message at an endpoint", 1);
                    wire.writeResponse("400 what", "");
                    continue;
                }
                long now = System.nanoTime();
                synchronized (history) {
                    if (history.openAttempts > 0 && history.lastConnection.isOpen()) {
                        findings.countBroken("two attempts out", r.headers().get("req-id"), history);
                    }
                    if (history.noticeAt > 0 && now - history.noticeAt > 50 * NANOS_PER_MILLI) {
                        findings.countBroken("called after its end", r.headers().get("req-id"), history);
                    }
                    if (randomPerThousand >= FULL_BELOW) {
                        checkRepeat(r.headers().get("req-id"), history, now);
                    }
                    history.openAttempts++;
                    history.lastConnection = wire;
                }
                history.addEvent(now, "call " + randomPerThousand);
                answer(wire, history, randomPerThousand);
            }
        });
    }

    private void checkRepeat(String id, MessageHistory history, long now) {
        if (!history.mayHaveRunAt.isEmpty()) {
            if (history.classIndex == 2) {
                findings.countBroken("payment sent twice", id, history);
            } else if (history.classIndex == 0
                    && now - history.mayHaveRunAt.get(0) > REPEAT_WINDOW_NANOS + 50 * NANOS_PER_MILLI) {
                findings.countBroken("order sent again after its window", id, history);
            }
        }
        history.mayHaveRunAt.add(now);
    }

    private static void answer(Wire wire, MessageHistory history, int randomPerThousand)
            throws IOException, InterruptedException {
        try {
            Thread.sleep(randomPerThousand < 950 ? 5 + randomPerThousand % 20 : 300);
            if (randomPerThousand < FULL_BELOW) {
                wire.writeResponse("503 full", "");
            } else if (randomPerThousand < FAULT_BELOW) {
                wire.writeResponse("500 fault", "");
            } else if (randomPerThousand < DROP_BELOW) {
                wire.close();
            } else {
                long now = System.nanoTime();
                synchronized (history) {
                    history.deliveredAt = history.deliveredAt == 0 ? now : history.deliveredAt;
                }
                history.addEvent(now, "200");
                wire.writeResponse("200 OK", "");
            }
        } finally {
            synchronized (history) {
                history.openAttempts--;
            }
        }
    }

    private Peer platform(String list) throws IOException {
        return new Peer(wire -> {
            for (Request r = wire.readRequest(); r != null; r = wire.readRequest()) {
                if (r.path().equals("/status")) {
                    long now = System.nanoTime();
                    r.body().lines().forEach(l -> recordNotice(l, now));
                    wire.writeResponse("204 No Content", "");
                } else if (!r.path().contains("?")) {
                    wire.writeResponse("200 OK", list);
                }
            }
        });
    }

    private void recordNotice(String line, long now) {
        MessageHistory history = histories.get(line.replaceAll(".*\"id\":\"([^\"]*)\".*", "$1"));
        if (history != null) {
            synchronized (history) {
                history.noticeAt = history.noticeAt == 0 ? now : history.noticeAt;
            }
            history.addEvent(now, line);
        }
    }

    private void client(long seed) {
        SplittableRandom clientRandom = new SplittableRandom(seed);
        Wire wire = null;
        long nextSendNanos = System.nanoTime();
        while (!ended) {
            nextSendNanos += (long) (2 * clientRandom.nextDouble() * 1000 / SENDS_PER_SECOND * NANOS_PER_MILLI);
            try {
                TimeUnit.NANOSECONDS.sleep(nextSendNanos - System.nanoTime());
                if (wire == null) {
                    wire = Wire.connect(address);
                }
                int randomPercent = clientRandom.nextInt(100);
                int classIndex = randomPercent < 57 ? 0 : randomPercent < 80 ? 1 : 2;
                String id = "m" + lane + "-" + ids.getAndIncrement();
                MessageHistory history = new MessageHistory(classIndex, System.nanoTime());
                histories.put(id, history);
                String answer = wire.submit(
                        id,
                        CLASSES[classIndex],
                        FIRST_DESTINATION + clientRandom.nextInt(DESTINATIONS),
                        DEADLINE_SECONDS[classIndex],
                        "x".repeat(200 + clientRandom.nextInt(200)));
                long now = System.nanoTime();
                history.addEvent(now, answer.split(" ")[0]);
                if (answer.startsWith("202")) {
                    history.acceptedAt = now;
                } else if (answer.equals("closed")) {
                    wire = null;
                }
            } catch (IOException e) {
                wire = null;
                nextSendNanos = Math.max(
                        nextSendNanos,
                        System.nanoTime() - 100 * NANOS_PER_MILLI); // no burst to make up for unsent messages
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    // The process
    private void start(String config) throws IOException {
        long began = System.nanoTime();
        ForwarderSetup.RunningForwarder served =
                ForwarderSetup.startJar(folder, config, null, false, 64, this::checkLogLine);
        findings.readyMillis.add((System.nanoTime() - began) / NANOS_PER_MILLI);
        process = served.process();
        address = served.addresses().get(0);
    }

    private String listen() {
        return "127.0.1." + (lane + 1);
    }

    private void checkLogLine(String line) {
        if (line.contains("Exception") || line.contains("does not hold") || line.contains("can't be read")) {
            findings.count("log: " + line.replaceAll("segment-\\S+|\\d+", "#").replaceAll("^(.{60}).*", "$1"), 1);
        }
    }

    private void kill() throws IOException, InterruptedException {
        long at = System.nanoTime();
        process.destroyForcibly().waitFor();
        downtimes.add(new long[] {at, Long.MAX_VALUE});
    }

    private void endDowntime() {
        downtimes.get(downtimes.size() - 1)[1] = System.nanoTime() + RESTART_GRACE_NANOS;
    }

    /** Flips one bit in the used part of a random segment. */
    private void flipBit() throws IOException {
        List<Path> files;
        try (Stream<Path> all = Files.list(folder.resolve("state"))) {
            files = all.filter(f -> f.getFileName().toString().startsWith("segment-"))
                    .sorted()
                    .toList();
        }
        Path file = files.get(random.nextInt(files.size()));
        byte[] content = Files.readAllBytes(file);
        int used = content.length;
        while (used > 0 && content[used - 1] == 0) {
            used--;
        }
        if (used > 0) {
            content[random.nextInt(used)] ^= (byte) (1 << random.nextInt(8));
            Files.write(file, content);
        }
    }

    private void limitFileSize(String bytes) throws IOException, InterruptedException {
        new ProcessBuilder("prlimit", "--pid", "" + process.pid(), "--fsize=" + bytes + ":unlimited")
                .inheritIO()
                .start()
                .waitFor();
    }

    private void run(int cycles) throws IOException, InterruptedException {
        try (Peer one = endpoint(random.nextLong());
                Peer two = endpoint(random.nextLong());
                Peer platform = platform("")) {
            StringBuilder list = new StringBuilder("{\"index\":1,\"snapshot\":true,\"endpoints\":[");
            for (int d = 0; d < DESTINATIONS; d++) {
                for (Peer peer : List.of(one, two)) {
                    list.append(list.toString().endsWith("[") ? "" : ",")
                            .append(("{\"name\":\"e%d-%s\",\"address\":\"%s\","
                                            + "\"zone\":\"z\",\"type\":\"lab\",\"group\":%d,\"status\":\"active\"}")
                                    .formatted(d, peer == one ? "a" : "b", peer.address(), FIRST_DESTINATION + d));
                }
            }
            String config = ForwarderSetup.configText(platform.address(), folder.resolve("state"), null, 3)
                    .replace("\"kindBatch\": [20]", "\"kindBatch\": [1]")
                    .replace("\"listen\": \"127.0.0.1:0\"", "\"listen\": \"" + listen() + ":0\"")
                    .replace("\"known\": null", "\"known\": " + list.append("]}"));
            start(config);
            List<Thread> clients = new ArrayList<>();
            for (int i = 0; i < CLIENTS; i++) {
                long seed = random.nextLong();
                clients.add(new Thread(() -> client(seed)));
            }
            clients.forEach(Thread::start);
            for (int i = 0; i < cycles; i++) {
                if (mode.equals("full")) {
                    fillDisk();
                }
                Thread.sleep(mode.equals("full") ? 500 : 200 + random.nextInt(1800));
                kill();
                if (mode.equals("flip")) {
                    flipBit();
                }
                start(config);
                endDowntime();
                findings.count(mode + " kills", 1);
            }
            Thread.sleep(1000);
            ended = true;
            for (Thread t : clients) {
                t.join();
            }
            Thread.sleep(10_000); // until every deadline is past and every result reported
            process.destroyForcibly().waitFor();
            check();
        } finally {
            process.destroyForcibly();
        }
    }

    /** Fills the disk under load for some seconds, then frees it and waits for normal service. */
    private void fillDisk() throws IOException, InterruptedException {
        Thread.sleep(2000);
        limitFileSize("" + (random.nextBoolean() ? 4096 : 20_000));
        Thread.sleep(3000 + random.nextInt(3000));
        limitFileSize("unlimited");
        long freed = System.nanoTime();
        // Service is normal once over 80% of one second's messages are delivered within 500 ms.
        while (System.nanoTime() - freed < 40_000 * NANOS_PER_MILLI) {
            Thread.sleep(500);
            long from = System.nanoTime() - 1500 * NANOS_PER_MILLI;
            List<MessageHistory> recent = histories.values().stream()
                    .filter(history -> history.sentAt > from
                            && history.sentAt < from + 1000 * NANOS_PER_MILLI
                            && history.sentAt > freed)
                    .toList();
            long good = recent.stream()
                    .filter(history ->
                            history.deliveredAt > 0 && history.deliveredAt - history.sentAt < 500 * NANOS_PER_MILLI)
                    .count();
            if (recent.size() > 40 && good > 0.8 * recent.size()) {
                break;
            }
        }
        findings.recoveryMillis.add((System.nanoTime() - freed) / NANOS_PER_MILLI);
    }

    // The rules
    private void check() {
        histories.forEach((id, history) -> {
            findings.count("handed in", 1);
            if (history.acceptedAt == 0) {
                return;
            }
            findings.count("taken", 1);
            findings.count(
                    history.deliveredAt > 0 ? "delivered" : history.noticeAt > 0 ? "ended by notice" : "no end", 1);
            long due = history.sentAt
                    + (long) (DEADLINE_SECONDS[history.classIndex] * 1000 * NANOS_PER_MILLI)
                    + NOTICE_GRACE_NANOS;
            if (history.deliveredAt == 0 && history.noticeAt == 0) {
                findings.countBroken(mode.equals("flip") ? "lost (its record was hit)" : "lost", id, history);
            } else if (Math.min(
                                    history.deliveredAt > 0 ? history.deliveredAt : Long.MAX_VALUE,
                                    history.noticeAt > 0 ? history.noticeAt : Long.MAX_VALUE)
                            > due
                    && downtimes.stream().noneMatch(d -> d[0] < due && due < d[1])) {
                findings.countBroken("ended late", id, history);
            }
            if (history.deliveredAt > 0
                    && downtimes.stream().noneMatch(d -> d[0] < history.deliveredAt && history.sentAt < d[1])) {
                findings.latencyMillis.add((history.deliveredAt - history.sentAt) / NANOS_PER_MILLI);
            }
        });
    }

    private static String percentiles(List<Long> values) {
        long[] all = values.stream().mapToLong(Long::longValue).sorted().toArray();
        return all.length == 0
                ? "none"
                : "median " + all[all.length / 2] + ", 99th percentile " + all[(int) (0.99 * (all.length - 1))]
                        + ", most " + all[all.length - 1] + " (of " + all.length + ")";
    }

    /** Arguments: kill, flip or full; how many cycles in all; lanes; seed. Exit code 1 if a rule was broken. */
    public static void main(String[] args) throws Exception {
        String mode = args[0];
        int cycles = Integer.parseInt(args[1]);
        int lanes = Integer.parseInt(args[2]);
        SplittableRandom seeds = new SplittableRandom(Long.parseLong(args[3]));
        RunFindings findings = new RunFindings();
        List<Thread> threads = new ArrayList<>();
        LinkedBlockingQueue<Throwable> failures = new LinkedBlockingQueue<>();
        for (int i = 0; i < lanes; i++) {
            StrainRun lane = new StrainRun(mode, i, seeds.nextLong(), findings);
            Thread t = new Thread(() -> {
                try {
                    lane.run((cycles + lanes - 1) / lanes);
                } catch (IOException | InterruptedException | RuntimeException e) {
                    failures.add(e);
                }
            });
            threads.add(t);
            t.start();
        }
        for (Thread t : threads) {
            t.join();
        }
        System.out.println("| " + String.join(" ", Arrays.asList(args)) + " | |\n| --- | --- |");
        findings.counts.forEach((what, n) -> System.out.println("| " + what + " | " + n + " |"));
        System.out.println("| ready after a start, ms | " + percentiles(findings.readyMillis) + " |");
        System.out.println(
                "| handed in to delivered, no restart between, ms | " + percentiles(findings.latencyMillis) + " |");
        if (mode.equals("full")) {
            System.out.println("| room again to normal service, ms | " + percentiles(findings.recoveryMillis) + " |");
        }
        findings.brokenHistories.forEach(System.out::println);
        failures.forEach(Throwable::printStackTrace);
        System.exit(
                failures.isEmpty()
                                && findings.counts.keySet().stream()
                                        .noneMatch(k -> k.startsWith("BROKEN") && !k.contains("record was hit"))
                        ? 0
                        : 1);
    }
}
