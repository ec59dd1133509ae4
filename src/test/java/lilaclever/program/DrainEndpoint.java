package lilaclever.program;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import lilaclever.program.DrainChange.Target;
import lilaclever.simulation.sockets.StandInConnection;

/**
 * An endpoint on a socket that reports the first byte of each call to the auditor. Its connection backlog can be
 * filled: connections opened meanwhile are established about a second later, when the system sends their SYN again.
 *
 * <p>Message ids begin with the destination's number and a dash, as a call does not carry the destination.
 */
final class DrainEndpoint implements AutoCloseable {
    private static final String CALL_PATH_PREFIX = "/receive";
    private static final int BACKLOG = 8;
    private static final int BACKLOG_FULL_TIMEOUT_MILLIS = 100;
    /** Connections accepted so soon after accepting is resumed were established before it was. */
    private static final long QUEUE_NANOS = 20 * DrainAuditor.NANOS_PER_MILLI;

    /** How the endpoint answers a call. */
    enum EndpointBehaviour {
        DELIVERS("200 OK"),
        REPORTS_FULL("503 full"),
        FAILS("500 failed"),
        /** Closes each connection after one answer, without announcing it. */
        CLOSES_IDLE("200 OK");

        private final String answer;

        EndpointBehaviour(String answer) {
            this.answer = answer;
        }
    }

    private final ServerSocket server = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
    private final DrainAuditor auditor;
    private final Semaphore accepting = new Semaphore(1);
    private final Set<StandInConnection> openConnections = ConcurrentHashMap.newKeySet();
    private final List<Socket> backlogFillers = new ArrayList<>();
    private boolean isStopped;
    private volatile long stoppedNanos;
    private volatile long resumedNanos = System.nanoTime() - QUEUE_NANOS;
    private volatile EndpointBehaviour behaviour = EndpointBehaviour.DELIVERS;
    private volatile int answerAfterMs = 80;

    DrainEndpoint(DrainAuditor auditor) throws IOException {
        this.auditor = auditor;
        StandInThreads.start("endpoint " + address(), this::accept);
    }

    String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    void setBehaviour(EndpointBehaviour newBehaviour, int afterMs) {
        behaviour = newBehaviour;
        answerAfterMs = afterMs;
    }

    /** Fills the connection backlog: no connection is established until {@link #resumeAccepting}. */
    synchronized void stopAccepting() throws IOException, InterruptedException {
        if (isStopped) {
            return;
        }
        isStopped = true;
        stoppedNanos = System.nanoTime();
        accepting.acquire();
        while (true) {
            Socket filler = new Socket();
            backlogFillers.add(filler);
            try {
                filler.connect(server.getLocalSocketAddress(), BACKLOG_FULL_TIMEOUT_MILLIS);
            } catch (SocketTimeoutException e) {
                filler.close();
                return;
            }
        }
    }

    synchronized void resumeAccepting() throws IOException {
        if (!isStopped) {
            return;
        }
        isStopped = false;
        for (Socket filler : backlogFillers) {
            filler.close();
        }
        backlogFillers.clear();
        resumedNanos = System.nanoTime();
        accepting.release();
    }

    /** Closes all connections, as an endpoint does with idle ones. */
    void closeConnections() {
        openConnections.forEach(StandInConnection::close);
    }

    private void accept() throws IOException, InterruptedException {
        while (true) {
            Socket socket = server.accept();
            accepting.acquire();
            accepting.release();
            boolean wasQueued = System.nanoTime() - resumedNanos < QUEUE_NANOS;
            boolean hasUnreadCall = wasQueued && socket.getInputStream().available() > 0;
            long earliestNanos = hasUnreadCall ? stoppedNanos : Long.MAX_VALUE;
            StandInThreads.start("call to " + address(), () -> serve(socket, earliestNanos));
        }
    }

    /**
     * Serves a connection. A call that lay unread on it while nothing was accepted counts from {@code earliestNanos}:
     * its bytes may have arrived at any time since.
     */
    private void serve(Socket socket, long earliestNanos) throws IOException, InterruptedException {
        long firstByteNanos = earliestNanos;
        try (StandInConnection wire = new StandInConnection(socket)) {
            openConnections.add(wire);
            for (StandInConnection.HttpMessage call = wire.readHttp(); call != null; call = wire.readHttp()) {
                if (!call.target().startsWith(CALL_PATH_PREFIX)) {
                    wire.writeResponse("404 no probes", "");
                    continue;
                }
                reportCall(call, Math.min(firstByteNanos, call.firstByteNanos()));
                firstByteNanos = Long.MAX_VALUE;
                Thread.sleep(answerAfterMs); // simulates the processing time of a call
                answer(wire, call);
                if (behaviour == EndpointBehaviour.CLOSES_IDLE) {
                    return;
                }
            }
        } finally {
            openConnections.removeIf(x -> !x.isOpen());
        }
    }

    private void reportCall(StandInConnection.HttpMessage call, long firstByteNanos) {
        for (String id : messageIds(call)) {
            int group = Integer.parseInt(id.substring(0, id.indexOf('-')));
            auditor.called(id, new Target(address(), group), firstByteNanos);
        }
    }

    private void answer(StandInConnection wire, StandInConnection.HttpMessage call) throws IOException {
        StringBuilder results = new StringBuilder();
        if (hasSeveralMessages(call)) {
            messageIds(call).forEach(id -> results.append(id).append(" accepted\r\n"));
        }
        wire.writeResponse(behaviour.answer, results.toString());
    }

    private static boolean hasSeveralMessages(StandInConnection.HttpMessage call) {
        return call.target().equals("/receive-many");
    }

    /** The ids of a call's messages, whose bodies contain no line breaks. */
    private static List<String> messageIds(StandInConnection.HttpMessage call) {
        if (!hasSeveralMessages(call)) {
            return List.of(call.header("Req-Id", "?"));
        }
        List<String> ids = new ArrayList<>();
        String[] lines = new String(call.body(), java.nio.charset.StandardCharsets.ISO_8859_1).split("\r\n", -1);
        for (int i = 0; i + 1 < lines.length; i += 2) {
            ids.add(lines[i].split(" ")[0]);
        }
        return ids;
    }

    @Override
    public void close() throws IOException {
        server.close();
        closeConnections();
    }
}
