package lilaclever.soak;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import lilaclever.program.StandInThreads;
import lilaclever.simulation.sockets.StandInConnection.HttpMessage;

/** The agent of one forwarder: its list of endpoints, watches of it, and notices. */
final class SoakPlatform implements AutoCloseable {
    private static final Pattern WATCH_TARGET = Pattern.compile(".*\\?after=(-?\\d+)&wait_ms=(\\d+)");
    private static final int BACKLOG = 128;
    private static final int SLOW_ANSWER_MILLIS = 400;
    /** A change counts as told at the latest this long after discovery had it and could be reached. */
    private static final long LATEST_TOLD_NANOS = 6_000 * SoakAccount.NANOS_PER_MILLI;

    private static final long FIRST_INDEX = 1_000;

    /** How the agent answers requests for the list. */
    enum State {
        WORKS,
        SLOW,
        /** It answers no request for the list and learns nothing. */
        SILENT
    }

    /** An endpoint as listed since the given index. */
    private record Entry(String json, String status, long index) {
        String text() {
            return json.replace("STATUS", status);
        }
    }

    private final String forwarder;
    private final SoakAccount account;
    private final AnswerFaults faults;
    private final double noticesDropped;
    private final SplittableRandom random;
    private final ServerSocket server = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
    private final Set<FaultyConnection> connections = ConcurrentHashMap.newKeySet();
    private final Map<String, Entry> entries = new LinkedHashMap<>();
    private final List<Runnable> unlearned = new ArrayList<>();
    private long index = FIRST_INDEX;
    /** Changes up to this index are known only as part of the whole list. */
    private long oldestIndex = FIRST_INDEX;

    private long unreliableUntilNanos;
    private State state = State.WORKS;

    SoakPlatform(
            String forwarder, SoakAccount account, AnswerFaults faults, double noticesDropped, SplittableRandom random)
            throws IOException {
        this.forwarder = forwarder;
        this.account = account;
        this.faults = faults;
        this.noticesDropped = noticesDropped;
        this.random = random;
        StandInThreads.start("platform of " + forwarder, this::accept);
    }

    String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    // The list
    /** Lists an endpoint as active. */
    synchronized void add(String name, String address, String type, int destination) {
        String json = "{\"name\":\"" + name + "\",\"address\":\"" + address + "\",\"zone\":\"z\",\"type\":\"" + type
                + "\",\"group\":" + destination + ",\"status\":\"STATUS\",\"weight\":1.0,\"since_ms\":0}";
        entries.put(name, new Entry(json, "active", ++index));
        oldestIndex = index;
    }

    /** The endpoint drains ({@code leaving}) or has left; the agent learns it at once or when it works again. */
    synchronized void setStatus(String name, String status) {
        if (state == State.SILENT) {
            unlearned.add(() -> setStatus(name, status));
            return;
        }
        entries.put(name, new Entry(entries.get(name).json(), status, ++index));
        long nowNanos = System.nanoTime();
        boolean isReliable = state == State.WORKS && nowNanos >= unreliableUntilNanos;
        account.toldOfDeparture(forwarder, name, isReliable ? nowNanos : nowNanos + LATEST_TOLD_NANOS);
        notifyAll();
    }

    synchronized void setState(State newState) {
        if (state != State.WORKS && newState == State.WORKS) {
            unreliableUntilNanos = System.nanoTime() + LATEST_TOLD_NANOS;
        }
        state = newState;
        if (newState != State.SILENT) {
            List<Runnable> learned = List.copyOf(unlearned);
            unlearned.clear();
            learned.forEach(Runnable::run);
        }
        notifyAll();
    }

    /** Counts from a lower index and resets all connections. */
    synchronized void restart() {
        unreliableUntilNanos = System.nanoTime() + LATEST_TOLD_NANOS;
        index = 0;
        entries.replaceAll((name, entry) -> new Entry(entry.json(), entry.status(), ++index));
        oldestIndex = index;
        connections.forEach(FaultyConnection::reset);
        notifyAll();
    }

    synchronized String wholeList() {
        return list(
                true,
                entries.values().stream()
                        .filter(entry -> !entry.status().equals("left"))
                        .toList());
    }

    private String list(boolean isWhole, List<Entry> listed) {
        return "{\"index\":" + index + ",\"snapshot\":" + isWhole + ",\"endpoints\":["
                + listed.stream().map(Entry::text).collect(Collectors.joining(",")) + "]}";
    }

    private synchronized String awaitChanges(long after, int waitMillis) throws InterruptedException {
        long endNanos = System.nanoTime() + waitMillis * SoakAccount.NANOS_PER_MILLI;
        for (long leftMillis = waitMillis; index <= after && leftMillis > 0; ) {
            wait(leftMillis);
            leftMillis = (endNanos - System.nanoTime()) / SoakAccount.NANOS_PER_MILLI;
        }
        return after > index || after < oldestIndex
                ? wholeList()
                : list(
                        false,
                        entries.values().stream()
                                .filter(entry -> entry.index() > after)
                                .toList());
    }

    private synchronized void awaitVoice() throws InterruptedException {
        while (state == State.SILENT) {
            wait();
        }
    }

    // Connections
    private void accept() throws IOException {
        while (true) {
            Socket socket = server.accept();
            SplittableRandom connectionRandom;
            synchronized (random) {
                connectionRandom = random.split();
            }
            StandInThreads.start("request to the platform of " + forwarder, () -> serve(socket, connectionRandom));
        }
    }

    private void serve(Socket socket, SplittableRandom connectionRandom) throws IOException, InterruptedException {
        FaultyConnection connection = new FaultyConnection(socket, faults, connectionRandom.split());
        connections.add(connection);
        try (connection) {
            for (HttpMessage request = connection.readHttp(); request != null; request = connection.readHttp()) {
                connection.requestRead();
                if (request.method().equals("POST")) {
                    if (connectionRandom.nextDouble() >= noticesDropped) {
                        confirmNotices(connection, request);
                    } else {
                        dropNotices(request);
                    }
                } else {
                    sendList(connection, request.target());
                }
            }
        } finally {
            connections.remove(connection);
        }
    }

    private void confirmNotices(FaultyConnection connection, HttpMessage request)
            throws IOException, InterruptedException {
        List<JsonObject> notices = noticesOf(request);
        connection.answer("204 No Content", "", false, (isWritten, nanos) -> {
            if (isWritten) {
                notices.forEach(notice -> account.noticed(
                        notice.get("id").getAsString(), notice.get("status").getAsString(), nanos));
            }
        });
    }

    /** Notices that are read and not answered stand in the record, as how often that happened explains a late one. */
    private void dropNotices(HttpMessage request) {
        long nanos = System.nanoTime();
        noticesOf(request)
                .forEach(notice -> account.remark(notice.get("id").getAsString(), nanos, "notice read, not answered"));
    }

    private static List<JsonObject> noticesOf(HttpMessage request) {
        return new String(request.body(), StandardCharsets.UTF_8)
                .lines()
                .map(line -> JsonParser.parseString(line).getAsJsonObject())
                .toList();
    }

    private void sendList(FaultyConnection connection, String target) throws IOException, InterruptedException {
        Matcher watch = WATCH_TARGET.matcher(target);
        awaitVoice();
        String list = watch.matches()
                ? awaitChanges(Long.parseLong(watch.group(1)), Integer.parseInt(watch.group(2)))
                : wholeList();
        awaitVoice();
        if (state == State.SLOW) {
            Thread.sleep(SLOW_ANSWER_MILLIS); // an agent without processor time
        }
        connection.answer("200 OK", list, false, (isWritten, nanos) -> {});
    }

    @Override
    public void close() throws IOException {
        server.close();
        connections.forEach(FaultyConnection::reset);
    }
}
