package lilaclever.lab.sockets;

import java.io.IOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.Arrays;
import java.util.Locale;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import lilaclever.lab.model.Arrival;
import lilaclever.lab.sockets.StandInConnection.HttpMessage;
import lilaclever.lab.world.World;

/**
 * The clients of one forwarder: each hand-in on a connection of its own for that while, which is kept and used again.
 * They are never held up by earlier hand-ins.
 */
final class Clients {
    private static final int PATIENCE = 400, CONNECT = 1000, BODY = 200;

    private final World world;
    private final RealTime time;
    private final InetSocketAddress address;
    private final ExecutorService threads = Executors.newCachedThreadPool(task -> {
        Thread thread = new Thread(null, task, "client", 128 << 10);
        thread.setDaemon(true);
        return thread;
    });
    private final ConcurrentLinkedDeque<StandInConnection> idle = new ConcurrentLinkedDeque<>();

    Clients(World world, RealTime time, InetSocketAddress address) {
        this.world = world;
        this.time = time;
        this.address = address;
    }

    /** Hands in on a thread of its own; what becomes of it is told to the world. */
    void handIn(String id, Arrival a, long leftMicros) {
        byte[] body = new byte[BODY];
        Arrays.fill(body, (byte) 'x');
        String head = "POST /api HTTP/1.1\r\nHost: lilaclever\r\nReq-Id: " + id + "\r\nReq-Kind: "
                + world.scenario().classes().get(a.messageClass()).name() + "\r\nReq-Deadline: "
                + String.format(Locale.ROOT, "%.6f", leftMicros / 1e6) + "\r\nIdempotency-Key: k" + a.number()
                + "\r\nX-Envelope: dest=" + a.destination() + "\r\nContent-Length: " + BODY + "\r\n\r\n";
        threads.execute(() -> {
            StandInConnection kept = idle.pollLast();
            Runnable told = kept == null ? null : ask(kept, id, head, body, true);
            Runnable outcome = told != null ? told : fresh(id, head, body);
            time.post(outcome);
        });
    }

    private Runnable fresh(String id, String head, byte[] body) {
        try {
            Socket socket = new Socket();
            socket.connect(address, CONNECT);
            return ask(new StandInConnection(socket), id, head, body, false);
        } catch (ConnectException e) {
            return () -> world.onConnectionRefused(id);
        } catch (IOException e) {
            return () -> world.onNoAnswer(id);
        }
    }

    /** What the answer means; null if a kept connection had been closed before it was read. */
    private Runnable ask(StandInConnection wire, String id, String head, byte[] body, boolean kept) {
        try {
            wire.setReadTimeout(PATIENCE);
            wire.write(head, body);
            HttpMessage answer = wire.readHttp();
            if (answer == null) {
                wire.close();
                return kept ? null : () -> world.onNoAnswer(id);
            }
            if ("close".equalsIgnoreCase(answer.header("Connection", ""))) {
                wire.close();
            } else {
                idle.addLast(wire);
            }
            return outcome(id, answer);
        } catch (java.net.SocketTimeoutException e) {
            wire.close();
            return () -> world.onNoAnswer(id);
        } catch (IOException e) {
            wire.close();
            return kept ? null : () -> world.onNoAnswer(id);
        }
    }

    private Runnable outcome(String id, HttpMessage answer) {
        return switch (answer.target()) {
            case "200", "202" -> () -> world.onAccepted(id);
            case "429", "503" ->
                () -> world.onRefused(id, (long) (Double.parseDouble(answer.header("Retry-After", "0")) * 1e6));
            default ->
                () -> {
                    world.auditor().count("hand_ins_answered_" + answer.target());
                    world.onRefused(id, 0);
                };
        };
    }

    void close() {
        threads.shutdownNow();
        idle.forEach(StandInConnection::close);
    }
}
