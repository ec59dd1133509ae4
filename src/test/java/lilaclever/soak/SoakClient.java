package lilaclever.soak;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicInteger;
import lilaclever.simulation.sockets.StandInConnection;

/**
 * A client of one forwarder: it sends one request at a time and keeps its connection, also after SIGTERM for as long as
 * the connection stays open.
 */
final class SoakClient {
    /** A client waits this long for the answer that its message is taken on. */
    private static final int ANSWER_TIMEOUT_MILLIS = 400;

    private static final int MIN_PAUSE_MILLIS = 20, MAX_PAUSE_MILLIS = 250;
    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;
    private static final double IN_PIECES_SHARE = 0.03;
    private static final int PIECE_BYTES = 16;

    private final SoakForwarder forwarder;
    private final SoakPlan plan;
    private final SoakAccount account;
    private final SplittableRandom random;
    private final AtomicInteger messageCount;
    private volatile boolean isStopped;
    private StandInConnection connection;

    SoakClient(
            SoakForwarder forwarder,
            SoakPlan plan,
            SoakAccount account,
            SplittableRandom random,
            AtomicInteger messageCount) {
        this.forwarder = forwarder;
        this.plan = plan;
        this.account = account;
        this.random = random;
        this.messageCount = messageCount;
    }

    /** Sends messages until it is stopped. */
    void run() throws InterruptedException {
        while (!isStopped) {
            Thread.sleep(random.nextInt(MIN_PAUSE_MILLIS, MAX_PAUSE_MILLIS));
            try {
                if (connection == null) {
                    connection = connect();
                }
                if (connection != null && connection.isOpen()) {
                    sendMessage();
                } else {
                    drop();
                }
            } catch (IOException e) {
                drop(); // the connection could not be opened, or a request not be written
            }
        }
        drop();
    }

    void stop() {
        isStopped = true;
    }

    private StandInConnection connect() throws IOException {
        InetSocketAddress address = forwarder.address();
        if (address == null) {
            return null;
        }
        Socket socket = new Socket();
        socket.connect(address, CONNECT_TIMEOUT_MILLIS);
        StandInConnection opened = new StandInConnection(socket);
        opened.setReadTimeout(ANSWER_TIMEOUT_MILLIS);
        return opened;
    }

    private void drop() {
        if (connection != null) {
            connection.close();
            connection = null;
        }
    }

    private void sendMessage() throws IOException, InterruptedException {
        SoakPlan.MessageClass messageClass =
                plan.classes().get(random.nextInt(plan.classes().size()));
        String id = forwarder.name() + "-" + messageCount.incrementAndGet();
        String request = "POST /api HTTP/1.1\r\nHost: app.svc\r\nReq-Id: " + id + "\r\nReq-Kind: " + messageClass.name()
                + "\r\nReq-Deadline: " + messageClass.deadlineMillis() / 1_000.0 + "\r\nIdempotency-Key: k" + id
                + "\r\nX-Envelope: dest=" + random.nextInt(plan.destinations())
                + "\r\nContent-Length: 2\r\n\r\nok";
        account.handedIn(
                id,
                forwarder.name(),
                messageClass.repeat(),
                System.nanoTime(),
                messageClass.deadlineMillis() * SoakAccount.NANOS_PER_MILLI,
                messageClass.windowMillis() * SoakAccount.NANOS_PER_MILLI);
        if (!exchange(id, request) && connection != null && !isStopped) {
            sendOnceMore(id, request);
        }
        if (connection != null && random.nextDouble() < plan.requestsTwice()) {
            Thread.sleep(random.nextInt(SoakPlan.MAX_SECOND_REQUEST_MILLIS)); // a copy on its way
            account.remark(id, System.nanoTime(), "request written again");
            exchange(id, request);
        }
    }

    /**
     * The connection ended with no answer: a close may have crossed the request unread, so it is sent once more on a
     * new connection. If that ends with no answer as well, the request was read.
     */
    private void sendOnceMore(String id, String request) throws IOException, InterruptedException {
        long nanos = System.nanoTime();
        drop();
        connection = connect();
        if (connection != null && !exchange(id, request) && !forwarder.wasDownSince(nanos)) {
            account.endedWithoutAnswer(id, System.nanoTime());
        }
    }

    /** Writes the request and reads its answer; false if the connection ended with no answer. */
    private boolean exchange(String id, String request) throws InterruptedException {
        try {
            write(request);
            StandInConnection.HttpMessage answer = connection.readHttp();
            if (answer == null) {
                return false;
            }
            account.answered(id, Integer.parseInt(answer.target()), System.nanoTime());
            if (answer.header("Connection", "").equalsIgnoreCase("close")) {
                drop();
            }
            return true;
        } catch (SocketTimeoutException e) {
            account.remark(id, System.nanoTime(), "client gave up");
            drop();
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    private void write(String request) throws IOException, InterruptedException {
        if (random.nextDouble() >= IN_PIECES_SHARE) {
            connection.writeText(request);
            return;
        }
        for (int at = 0; at < request.length(); at += PIECE_BYTES) {
            connection.writeText(request.substring(at, Math.min(request.length(), at + PIECE_BYTES)));
            Thread.sleep(1); // a slow network
        }
    }
}
