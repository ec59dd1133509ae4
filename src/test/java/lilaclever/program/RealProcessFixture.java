package lilaclever.program;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.atomic.AtomicInteger;
import lilaclever.program.Peer.Request;
import lilaclever.program.Peer.Wire;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.io.TempDir;

/** A forwarder in a process of its own between scripted peers, with what its endpoints ran and its platform read. */
abstract class RealProcessFixture {
    static final double DEADLINE_SECONDS = 4;
    static final int NOTICE_SLACK_MILLIS = 350;
    private static final int DESCRIPTORS = 256;

    @TempDir
    Path state;

    final LinkedBlockingQueue<String> notices = new LinkedBlockingQueue<>();
    /** What the processes have logged since they served. */
    final List<String> logLines = new CopyOnWriteArrayList<>();
    /** How often an endpoint has run each message. */
    private final Map<String, AtomicInteger> runsById = new ConcurrentHashMap<>();

    Process process;
    SocketAddress address;

    @AfterEach
    void stop() {
        if (process != null) {
            process.destroyForcibly();
        }
    }

    void startProcess(Peer platform, Peer endpoint) throws IOException {
        startProcess(ForwarderSetup.configText(platform.address(), state, endpoint.address(), 3)
                .replace("\"kindBatch\": [20]", "\"kindBatch\": [1]"));
    }

    void startProcess(String config) throws IOException {
        startProcess(config, DESCRIPTORS);
    }

    void startProcess(String config, int descriptors) throws IOException {
        process = ForwarderSetup.startProcess(state, config, descriptors);
        BufferedReader log = process.errorReader();
        String line = log.readLine();
        while (!line.contains("serves at")) {
            line = log.readLine();
        }
        StandInThreads.start("log", () -> log.lines().forEach(logLines::add));
        address = new InetSocketAddress("127.0.0.1", Integer.parseInt(line.replaceAll(".*:(\\d+)]", "$1")));
    }

    final void run(Request request) {
        run(request.headers().get("req-id"));
    }

    final void run(String messageId) {
        runsById.computeIfAbsent(messageId, id -> new AtomicInteger()).incrementAndGet();
    }

    final int runsOf(String id) {
        return runsById.getOrDefault(id, new AtomicInteger()).get();
    }

    /** Whether a notice says that the message has not run and may be submitted again. */
    final boolean isDeferred(String id) {
        return notices.stream()
                .anyMatch(notice -> notice.contains("\"" + id + "\"") && notice.contains("\"deferred\""));
    }

    final boolean hasNotice(String id) {
        return notices.stream().anyMatch(notice -> notice.contains("\"" + id + "\""));
    }

    void submit(String id, String messageClass) throws IOException {
        try (Wire client = Wire.connect(address)) {
            assertTrue(client.submit(id, messageClass, DEADLINE_SECONDS, "").startsWith("202"));
        }
    }

    void awaitRun(String id) throws InterruptedException {
        for (int i = 0; runsOf(id) == 0; i++) {
            assertTrue(i < 1_000, id + " was not run");
            Thread.sleep(10);
        }
    }
}
