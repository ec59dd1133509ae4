package lilaclever.scale;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import lilaclever.scale.AgentStandIn.Behaviour;
import lilaclever.simulation.sockets.StandInConnection;

/**
 * Measures the cost of an event in the built program over real sockets: {@code EventRun JAR EVENTS...}. Clients submit
 * one message after the other, and one endpoint accepts each. Each line of the output is a {@link Sample}.
 */
final class EventRun {
    private static final int CLIENTS = 4, WARM_UP_EVENTS = 10_000;
    /**
     * Least interval between the messages of a client, so that none has to be rejected: 800 a second from all clients.
     */
    private static final long SEND_INTERVAL_NANOS = 5_000_000;
    /** Longer than the deadline of a message; later deliveries are impossible. */
    private static final long MAX_WAIT_SECONDS = 10;

    private static final String BODY = "x".repeat(300);

    private EventRun() {}

    public static void main(String[] args) throws Exception {
        for (int i = 1; i < args.length; i++) {
            measure(Path.of(args[0]).toAbsolutePath(), Integer.parseInt(args[i]));
        }
    }

    private static void measure(Path jar, int events) throws Exception {
        try (Endpoint endpoint = new Endpoint();
                AgentStandIn agent = new AgentStandIn(Behaviour.ANSWERS);
                ForwarderProcess forwarder = new ForwarderProcess(jar, agent.address(), 1, endpoint.address())) {
            send(forwarder, endpoint, "warm-", WARM_UP_EVENTS);
            double cpuSecondsBefore = forwarder.cpuSeconds();
            long bytesBefore = forwarder.transferredBytes();
            long startNanos = System.nanoTime();
            send(forwarder, endpoint, "event-", events);
            double seconds = (System.nanoTime() - startNanos) / 1e9;
            Sample.print("process_event_cpu", events, forwarder.cpuSeconds() - cpuSecondsBefore, "s");
            Sample.print("process_event_bytes", events, forwarder.transferredBytes() - bytesBefore, "bytes");
            Sample.print("process_event_rate", events, events / seconds, "1/s");
        }
    }

    private static void send(ForwarderProcess forwarder, Endpoint endpoint, String prefix, int events)
            throws Exception {
        CountDownLatch delivered = endpoint.expect(events);
        ExecutorService clients = Executors.newFixedThreadPool(CLIENTS);
        List<Future<?>> done = new ArrayList<>();
        for (int client = 0; client < CLIENTS; client++) {
            String mine = prefix + client + "-";
            done.add(clients.submit(() -> runClient(forwarder, mine, events / CLIENTS)));
        }
        try {
            for (Future<?> each : done) {
                each.get();
            }
            if (!delivered.await(MAX_WAIT_SECONDS, TimeUnit.SECONDS)) {
                throw new IOException(delivered.getCount() + " of " + events + " were not delivered");
            }
        } catch (ExecutionException e) {
            throw new IOException("a client failed", e);
        } finally {
            clients.shutdownNow();
        }
    }

    private static Void runClient(ForwarderProcess forwarder, String prefix, int events) throws IOException {
        try (StandInConnection wire = new StandInConnection(
                new Socket(forwarder.address().getAddress(), forwarder.address().getPort()))) {
            long startNanos = System.nanoTime();
            for (int i = 0; i < events; i++) {
                LockSupport.parkNanos(startNanos + i * SEND_INTERVAL_NANOS - System.nanoTime());
                String id = prefix + i;
                wire.writeText("POST /api HTTP/1.1\r\nHost: app.svc\r\nReq-Id: " + id
                        + "\r\nReq-Kind: status\r\nReq-Deadline: 6\r\n" + "Idempotency-Key: k-" + id
                        + "\r\nX-Envelope: dest=0\r\nContent-Length: " + BODY.length() + "\r\n\r\n" + BODY);
                StandInConnection.HttpMessage answer = wire.readHttp();
                if (answer == null || !answer.target().startsWith("202")) {
                    throw new IOException(id + " was not accepted: " + answer);
                }
            }
        }
        return null;
    }

    /** An endpoint that accepts every message at once. */
    private static final class Endpoint implements AutoCloseable {
        private final ServerSocket server = new ServerSocket(0, 100, InetAddress.getByName("127.0.0.1"));
        private volatile CountDownLatch expected = new CountDownLatch(0);

        Endpoint() throws IOException {
            AgentStandIn.startDaemon(this::accept);
        }

        String address() {
            return "127.0.0.1:" + server.getLocalPort();
        }

        CountDownLatch expect(int events) {
            expected = new CountDownLatch(events / CLIENTS * CLIENTS);
            return expected;
        }

        private void accept() {
            try {
                while (true) {
                    Socket socket = server.accept();
                    AgentStandIn.startDaemon(() -> serve(socket));
                }
            } catch (IOException e) {
                // closed at the end of the run
            }
        }

        private void serve(Socket socket) {
            try (StandInConnection wire = new StandInConnection(socket)) {
                for (StandInConnection.HttpMessage call = wire.readHttp(); call != null; call = wire.readHttp()) {
                    wire.writeResponse("200 OK", "");
                    expected.countDown();
                }
            } catch (IOException e) {
                // the forwarder has closed the connection
            }
        }

        @Override
        public void close() throws IOException {
            server.close();
        }
    }
}
