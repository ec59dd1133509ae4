package lilaclever.simulation.sockets;

import java.io.IOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.Arrays;
import java.util.Locale;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import lilaclever.simulation.model.Arrival;
import lilaclever.simulation.sockets.StandInConnection.HttpMessage;
import lilaclever.simulation.world.World;

/**
 * The HTTP clients of one forwarder. Each submission has a connection to itself until it is answered; then the
 * connection is reused. A submission therefore never waits for an earlier one.
 */
final class HttpSubmitter {
    private static final int ANSWER_TIMEOUT_MILLIS = 400, CONNECT_TIMEOUT_MILLIS = 1000, BODY_BYTES = 200;

    private final World world;
    private final RealTimeline timeline;
    private final InetSocketAddress address;
    private final ExecutorService executor = Executors.newCachedThreadPool(task -> {
        Thread thread = new Thread(null, task, "client", 128 << 10);
        thread.setDaemon(true);
        return thread;
    });
    private final ConcurrentLinkedDeque<StandInConnection> idle = new ConcurrentLinkedDeque<>();

    HttpSubmitter(World world, RealTimeline timeline, InetSocketAddress address) {
        this.world = world;
        this.timeline = timeline;
        this.address = address;
    }

    /** Submits a message on a separate thread and reports the outcome to the world. */
    void submit(String id, Arrival arrival, long leftMicros) {
        byte[] body = new byte[BODY_BYTES];
        Arrays.fill(body, (byte) 'x');
        String head = "POST /api HTTP/1.1\r\nHost: lilaclever\r\nReq-Id: " + id + "\r\nReq-Kind: "
                + world.scenario().classes().get(arrival.messageClass()).name() + "\r\nReq-Deadline: "
                + String.format(Locale.ROOT, "%.6f", leftMicros / 1e6) + "\r\nIdempotency-Key: k" + arrival.number()
                + "\r\nX-Envelope: dest=" + arrival.destination() + "\r\nContent-Length: " + BODY_BYTES + "\r\n\r\n";
        executor.execute(() -> {
            StandInConnection reused = idle.pollLast();
            Runnable reusedOutcome = reused == null ? null : exchange(reused, id, head, body, true);
            Runnable outcome = reusedOutcome != null ? reusedOutcome : submitOnNewConnection(id, head, body);
            timeline.post(outcome);
        });
    }

    private Runnable submitOnNewConnection(String id, String head, byte[] body) {
        try {
            Socket socket = new Socket();
            socket.connect(address, CONNECT_TIMEOUT_MILLIS);
            return exchange(new StandInConnection(socket), id, head, body, false);
        } catch (ConnectException e) {
            return () -> world.onConnectionRefused(id);
        } catch (IOException e) {
            return () -> world.onNoAnswer(id);
        }
    }

    /** Returns the action that reports the outcome, or null if a reused connection was closed before an answer came. */
    private Runnable exchange(StandInConnection connection, String id, String head, byte[] body, boolean isReused) {
        try {
            connection.setReadTimeout(ANSWER_TIMEOUT_MILLIS);
            connection.write(head, body);
            HttpMessage answer = connection.readHttp();
            if (answer == null) {
                connection.close();
                return isReused ? null : () -> world.onNoAnswer(id);
            }
            if ("close".equalsIgnoreCase(answer.header("Connection", ""))) {
                connection.close();
            } else {
                idle.addLast(connection);
            }
            return outcome(id, answer);
        } catch (java.net.SocketTimeoutException e) {
            connection.close();
            return () -> world.onNoAnswer(id);
        } catch (IOException e) {
            connection.close();
            return isReused ? null : () -> world.onNoAnswer(id);
        }
    }

    private Runnable outcome(String id, HttpMessage answer) {
        return switch (answer.target()) {
            case "200", "202" -> () -> world.onAccepted(id);
            case "429", "503" ->
                () -> world.onRejected(id, (long) (Double.parseDouble(answer.header("Retry-After", "0")) * 1e6));
            default ->
                () -> {
                    world.auditor().count("hand_ins_answered_" + answer.target());
                    world.onRejected(id, 0);
                };
        };
    }

    void close() {
        executor.shutdownNow();
        idle.forEach(StandInConnection::close);
    }
}
