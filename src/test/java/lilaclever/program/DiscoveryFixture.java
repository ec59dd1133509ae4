package lilaclever.program;

import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.SocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import lilaclever.program.Peer.Request;
import lilaclever.program.Peer.Wire;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.io.TempDir;

/** Test fixture: a forwarder, endpoints, and discovery agents whose answers a test scripts. */
abstract class DiscoveryFixture {
    private static final long TIMEOUT_MILLIS = 20_000;

    /** A request to an agent, with the connection that it arrived on. */
    record AgentRequest(int number, String path, Wire wire) {
        boolean isForWholeList() {
            return !path.contains("?");
        }

        boolean isWatch() {
            return path.contains("wait_ms=2000");
        }

        boolean isAfter(long index) {
            return path.contains("?after=" + index + "&");
        }

        void answer(String list) throws IOException {
            wire.writeResponse("200 OK", list);
        }
    }

    /** Answers a request, or leaves it pending. */
    interface Script {
        void onRequest(AgentRequest request) throws IOException, InterruptedException;
    }

    /** A discovery agent; records its requests, and the requests whose connections the forwarder has closed. */
    final class Agent {
        final LinkedBlockingQueue<AgentRequest> requests = new LinkedBlockingQueue<>();
        final LinkedBlockingQueue<Integer> closedRequests = new LinkedBlockingQueue<>();
        private int requestCount;
        /** The answer to the first request, which is for the whole list; null if the script answers it. */
        private volatile String firstAnswer;

        private final Peer peer;

        Agent(Script script) throws IOException {
            peer = new Peer(wire -> {
                int last = 0;
                try {
                    for (Request r = wire.readRequest(); r != null; r = wire.readRequest()) {
                        String list = takeFirstAnswer();
                        if (list != null) {
                            wire.writeResponse("200 OK", list);
                            continue;
                        }
                        AgentRequest next = new AgentRequest(nextNumber(), r.path(), wire);
                        last = next.number();
                        requests.add(next);
                        script.onRequest(next);
                    }
                } finally {
                    closedRequests.add(last);
                }
            });
            openPeers.add(peer);
        }

        private synchronized String takeFirstAnswer() {
            String list = firstAnswer;
            firstAnswer = null;
            return list;
        }

        private synchronized int nextNumber() {
            return ++requestCount;
        }

        String address() {
            return peer.address();
        }

        AgentRequest nextRequest() throws InterruptedException {
            return DiscoveryFixture.take(requests);
        }
    }

    @TempDir
    Path state;

    /** The name of the endpoint and the id of the message, for each call. */
    final LinkedBlockingQueue<String> calls = new LinkedBlockingQueue<>();

    private final List<AutoCloseable> openPeers = new CopyOnWriteArrayList<>();
    private Forwarder forwarder;
    private SocketAddress address;

    @AfterEach
    void stop() throws Exception {
        if (forwarder != null) {
            forwarder.stop();
        }
        for (AutoCloseable each : openPeers) {
            each.close();
        }
    }

    static <T> T take(LinkedBlockingQueue<T> queue) throws InterruptedException {
        T value = queue.poll(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        assertNotNull(value, "nothing received in time");
        return value;
    }

    /**
     * Starts an endpoint of destination 7 that accepts all messages, and returns its address; {@link #entry} makes its
     * list entry.
     */
    String endpoint(String name) throws IOException {
        Peer peer = new Peer(wire -> {
            for (Request r = wire.readRequest(); r != null; r = wire.readRequest()) {
                calls.add(name + " " + r.headers().get("req-id"));
                wire.writeResponse("200 OK", "");
            }
        });
        openPeers.add(peer);
        return peer.address();
    }

    static String entry(String name, String address, String status) {
        return "{\"name\":\"" + name + "\",\"address\":\"" + address
                + "\",\"zone\":\"z\",\"type\":\"lab\",\"group\":7,\"status\":\"" + status + "\"}";
    }

    static String wholeList(long index, String... entries) {
        return list(index, true, entries);
    }

    static String changes(long index, String... entries) {
        return list(index, false, entries);
    }

    private static String list(long index, boolean whole, String... entries) {
        return "{\"index\":" + index + ",\"snapshot\":" + whole + ",\"endpoints\":[" + String.join(",", entries) + "]}";
    }

    /** A configuration with this known list, or "null". */
    String configText(Agent agent, String known) {
        return ForwarderSetup.configText(agent.address(), state, null, 3)
                .replace("\"known\": null", "\"known\": " + known);
    }

    /** Starts a forwarder whose known list the agent gives too; the script's first request is a watch. */
    void serveWithKnownList(Agent agent, String known) throws Exception {
        agent.firstAnswer = known.equals("null") ? null : known;
        start(agent, known);
    }

    /** Starts a forwarder; the script gets all requests, the first of which is for the whole list. */
    void start(Agent agent, String known) throws Exception {
        forwarder = Forwarder.start(Config.parse(configText(agent, known), Map.of()), null);
        address = forwarder.addresses().get(0);
    }

    /** Reloads the configuration, with discovery at this agent. */
    void reload(Agent agent, String known) throws IOException {
        Path file = Files.writeString(state.resolve("config.json"), configText(agent, known));
        forwarder.reload(Map.of("ROUTER_CONFIG", file.toString()));
    }

    void submit(String id) throws IOException {
        try (Wire client = Wire.connect(address)) {
            assertTrue(client.submit(id, "payment", 20, "").startsWith("202"));
        }
    }

    /** Waits until the forwarder's counters contain this line. */
    void awaitCounter(String counterLine) throws IOException {
        String last = "";
        try (Wire client = Wire.connect(address)) {
            long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MILLIS);
            while (!last.contains("\n" + counterLine + "\n") && System.nanoTime() < end) {
                client.writeText("GET /counters HTTP/1.1\r\nHost: app.svc\r\n\r\n");
                last = client.readRequest().body();
            }
        }
        assertTrue(last.contains("\n" + counterLine + "\n"), last);
    }
}
