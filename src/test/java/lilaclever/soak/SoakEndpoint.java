package lilaclever.soak;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicLong;
import lilaclever.program.StandInThreads;
import lilaclever.simulation.sockets.StandInConnection.HttpMessage;
import lilaclever.soak.SoakAccount.CallEnd;

/**
 * An endpoint that reads calls, answers them as the protocol page says, with the faults of its run, and keeps account.
 * Ids of messages begin with the forwarder's name and a dash.
 */
final class SoakEndpoint implements AutoCloseable {
    private static final int BACKLOG = 128;
    private static final double WAIT_SHARE = 0.3;
    private static final double BAD_GATEWAY_SHARE = 0.3;
    private static final int MIN_WAIT_MILLIS = 150, MAX_WAIT_MILLIS = 700;

    /** How it deals with calls. */
    enum State {
        WORKS,
        HANGS,
        FAILS,
        REFUSES
    }

    /** The outcome of one message in a call. */
    private record Result(String id, int callNumber, CallEnd end) {}

    private final String name;
    private final int destination;
    private final SoakAccount account;
    private final AnswerFaults faults;
    private final SoakPlan.CallShares shares;
    private final SoakPlan.Load load;
    private final SplittableRandom random;
    private final AtomicLong connectionCount;
    private final ServerSocket server = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
    private volatile State state = State.WORKS;

    SoakEndpoint(
            String name,
            int destination,
            SoakAccount account,
            AnswerFaults faults,
            SoakPlan.CallShares shares,
            SoakPlan.Load load,
            SplittableRandom random,
            AtomicLong connectionCount)
            throws IOException {
        this.name = name;
        this.destination = destination;
        this.account = account;
        this.faults = faults;
        this.shares = shares;
        this.load = load;
        this.random = random;
        this.connectionCount = connectionCount;
        StandInThreads.start(name, this::accept);
    }

    String name() {
        return name;
    }

    int destination() {
        return destination;
    }

    String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    void setState(State newState) {
        state = newState;
    }

    private void accept() throws IOException {
        while (true) {
            Socket socket = server.accept();
            connectionCount.incrementAndGet();
            SplittableRandom connectionRandom;
            synchronized (random) {
                connectionRandom = random.split();
            }
            StandInThreads.start(name + " call", () -> serve(socket, connectionRandom));
        }
    }

    private void serve(Socket socket, SplittableRandom connectionRandom) throws IOException, InterruptedException {
        try (FaultyConnection connection = new FaultyConnection(socket, faults, connectionRandom.split())) {
            for (HttpMessage request = connection.readHttp(); request != null; request = connection.readHttp()) {
                connection.requestRead();
                if (request.method().equals("GET")) {
                    connection.answer("200 OK", "", false, (isWritten, nanos) -> {});
                } else {
                    answerCall(connection, request, connectionRandom);
                }
            }
        }
    }

    private void answerCall(FaultyConnection connection, HttpMessage request, SplittableRandom connectionRandom)
            throws IOException, InterruptedException {
        boolean isBatch = request.target().equals("/receive-many");
        long readNanos = System.nanoTime();
        List<String> ids = isBatch ? idsOf(request.body()) : List.of(request.header("Req-Id", "?"));
        List<Result> results = new ArrayList<>();
        CallEnd whole = drawEnd(connectionRandom);
        for (String id : ids) {
            int callNumber = account.called(id, name, request.firstByteNanos(), readNanos);
            CallEnd end = isBatch && whole == CallEnd.DELIVERED ? drawEnd(connectionRandom) : whole;
            results.add(new Result(id, callNumber, end));
        }
        if (state == State.HANGS) {
            Thread.sleep(Long.MAX_VALUE); // the forwarder gives the call up
        }
        Thread.sleep(connectionRandom.nextInt(load.minServiceMillis(), load.maxServiceMillis()));
        switch (whole) {
            case DELIVERED -> answerWorked(connection, isBatch, results);
            case NEVER_RAN -> answerRefused(connection, results, connectionRandom);
            case OVER -> answer(connection, "410 Gone", results);
            case NO_ATTEMPTS_LEFT -> answer(connection, "504 Gateway Timeout", results);
            default ->
                answer(
                        connection,
                        connectionRandom.nextDouble() < BAD_GATEWAY_SHARE
                                ? "502 Bad Gateway"
                                : "500 Internal Server Error",
                        results);
        }
    }

    private void answer(FaultyConnection connection, String status, List<Result> results)
            throws IOException, InterruptedException {
        connection.answer(status, "", false, (isWritten, nanos) -> end(results, isWritten, nanos));
    }

    private CallEnd drawEnd(SplittableRandom connectionRandom) {
        if (state == State.REFUSES) {
            return CallEnd.NEVER_RAN;
        }
        return state == State.FAILS ? CallEnd.MAY_HAVE_RUN : shares.draw(connectionRandom.nextDouble());
    }

    private void answerWorked(FaultyConnection connection, boolean isBatch, List<Result> results)
            throws IOException, InterruptedException {
        StringBuilder body = new StringBuilder();
        if (isBatch) {
            results.forEach(result -> body.append(result.id())
                    .append(' ')
                    .append(word(result.end()))
                    .append("\r\n"));
        }
        connection.answer("200 OK", body.toString(), isBatch, (isWritten, nanos) -> end(results, isWritten, nanos));
    }

    private static String word(CallEnd end) {
        return switch (end) {
            case DELIVERED -> "accepted";
            case NEVER_RAN -> "deferred";
            case MAY_HAVE_RUN -> "fault";
            case OVER -> "expired";
            case NO_ATTEMPTS_LEFT -> "no_more";
        };
    }

    private void answerRefused(FaultyConnection connection, List<Result> results, SplittableRandom connectionRandom)
            throws IOException, InterruptedException {
        long[] decidedNanos = {0};
        FaultyConnection.Decided decided = (isWritten, nanos) -> {
            decidedNanos[0] = nanos;
            end(results, isWritten, nanos);
        };
        if (connectionRandom.nextDouble() >= WAIT_SHARE) {
            connection.answer("503 Service Unavailable", "", false, decided);
            return;
        }
        int waitMillis = connectionRandom.nextInt(MIN_WAIT_MILLIS, MAX_WAIT_MILLIS);
        AnswerFaults.Kind kind =
                connection.answer("429 Too Many Requests", "", false, decided, "X-Retry-In-Ms: " + waitMillis);
        boolean isWhole = switch (kind) {
            case CUT, NEVER_ENDED, WRONG_LENGTH, RESET -> false;
            default -> true;
        };
        if (isWhole) {
            account.toldToWait(
                    results.get(0).id().split("-")[0],
                    "destination " + destination,
                    decidedNanos[0],
                    System.nanoTime(),
                    waitMillis * SoakAccount.NANOS_PER_MILLI);
        }
    }

    private void end(List<Result> results, boolean isWritten, long nanos) {
        for (Result result : results) {
            CallEnd end = isWritten || result.end() == CallEnd.NEVER_RAN ? result.end() : CallEnd.MAY_HAVE_RUN;
            account.callEnded(result.id(), result.callNumber(), end, nanos);
        }
    }

    /** The ids of a call of several messages, whose bodies contain no line breaks. */
    private static List<String> idsOf(byte[] body) {
        List<String> ids = new ArrayList<>();
        String[] lines = new String(body, StandardCharsets.ISO_8859_1).split("\r\n", -1);
        for (int i = 0; i + 1 < lines.length; i += 2) {
            ids.add(lines[i].split(" ")[0]);
        }
        return ids;
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
