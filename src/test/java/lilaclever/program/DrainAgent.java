package lilaclever.program;

import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.locks.LockSupport;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import lilaclever.program.DrainAuditor.AnswerQuality;
import lilaclever.simulation.sockets.StandInConnection;

/** A scripted discovery agent on a socket, which sends the membership changes that it has received to a forwarder. */
final class DrainAgent implements AutoCloseable {
    private static final Pattern WATCH_TARGET = Pattern.compile(".*\\?after=(-?\\d+)&wait_ms=(\\d+)");
    private static final int BACKLOG = 50;
    private static final int BIND_ATTEMPTS = 1_000;
    private static final int PIECE_CHARS = 1, PIECE_INTERVAL_MILLIS = 100;
    /** More than a forwarder reads of one list. */
    private static final int OVERSIZE_BYTES = 5 << 20;

    /** How the agent answers. */
    enum AgentBehaviour {
        AT_ONCE(AnswerQuality.AT_ONCE),
        /** Every answer is delayed. */
        SLOW(AnswerQuality.POORLY),
        /** Accepts and never answers; receives no changes meanwhile. */
        SILENT(AnswerQuality.SILENT),
        /** Connections are refused; receives no changes meanwhile. */
        REFUSING(AnswerQuality.POORLY),
        /** Connections are reset after their request. */
        RESETTING(AnswerQuality.POORLY),
        /** Sends the first half of the answer, then a byte now and then for as long as the connection lasts. */
        TRICKLING(AnswerQuality.POORLY),
        /** Sends the first half of the answer, then nothing. */
        STALLING(AnswerQuality.POORLY),
        /** Closes each connection after one answer, without announcing it. */
        CLOSING(AnswerQuality.AT_ONCE),
        /** Sends the first half of the answer, then closes the connection. */
        CUT(AnswerQuality.POORLY),
        /** Answers 503 instead of a list. */
        BUSY(AnswerQuality.POORLY),
        /** Answers watches with the whole list. */
        WHOLE_LISTS(AnswerQuality.AT_ONCE),
        INDENTED(AnswerQuality.AT_ONCE),
        /** Lists each entry twice. */
        TWICE(AnswerQuality.AT_ONCE),
        /** Follows an entry that is draining or removed with an older, active one of the same name. */
        CONTRADICTING(AnswerQuality.POORLY),
        /** Adds an entry without an address. */
        UNREADABLE_ENTRY(AnswerQuality.POORLY),
        /** Adds an entry with a status unknown to the protocol. */
        UNKNOWN_STATUS(AnswerQuality.AT_ONCE),
        /** Whole lists exceed what a forwarder reads; changes are sent as usual. */
        OVERSIZE_WHOLE(AnswerQuality.POORLY);

        private final AnswerQuality answerQuality;

        AgentBehaviour(AnswerQuality answerQuality) {
            this.answerQuality = answerQuality;
        }
    }

    final String name;
    private final DrainAuditor auditor;
    private final int port;
    private ServerSocket server;
    /** Bound but not listening, so that nobody else gets the port while connections are refused. */
    private Socket portHolder;

    private final Set<StandInConnection> openConnections = ConcurrentHashMap.newKeySet();
    private volatile AgentBehaviour behaviour = AgentBehaviour.AT_ONCE;
    private volatile int delayMs;
    /** The threads of watches that never get an answer. */
    private final Set<Thread> silencedThreads = ConcurrentHashMap.newKeySet();

    private final Set<Thread> watchThreads = ConcurrentHashMap.newKeySet();

    private record IndexedChange(long index, DrainChange change) {}

    private final Map<String, IndexedChange> latestByName = new LinkedHashMap<>();
    private final List<DrainChange> undeliveredChanges = new ArrayList<>();
    private long index;
    /** Changes up to this index are not known individually. */
    private long oldestIndex;

    private boolean isBehind;

    /** An agent that has received the given changes and counts its index from the given one. */
    DrainAgent(String name, DrainAuditor auditor, long firstIndex, List<DrainChange> initialChanges)
            throws IOException {
        this.name = name;
        this.auditor = auditor;
        this.index = firstIndex;
        this.oldestIndex = firstIndex;
        this.server = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
        this.port = server.getLocalPort();
        initialChanges.forEach(this::applyChange);
        listen(server);
    }

    String address() {
        return "127.0.0.1:" + port;
    }

    // Membership
    /** Gives the agent a change, at once or when it recovers. */
    synchronized void publish(DrainChange change) {
        if (isBehind || behaviour == AgentBehaviour.SILENT || behaviour == AgentBehaviour.REFUSING) {
            undeliveredChanges.add(change);
        } else {
            applyChange(change);
        }
    }

    private synchronized void applyChange(DrainChange change) {
        index++;
        latestByName.remove(change.name());
        latestByName.put(change.name(), new IndexedChange(index, change));
        auditor.received(name, change, System.nanoTime());
        notifyAll();
    }

    /** Delays changes from now on until {@link #catchUp}. */
    synchronized void fallBehind() {
        isBehind = true;
    }

    synchronized void catchUp() {
        isBehind = false;
        List<DrainChange> all = List.copyOf(undeliveredChanges);
        undeliveredChanges.clear();
        all.forEach(this::publish);
    }

    /** Restarts the agent: it counts from the given index and has the current list, but no earlier changes. */
    synchronized void restart(long firstIndex) {
        List<DrainChange> listed = latestByName.values().stream()
                .map(IndexedChange::change)
                .filter(x -> x.status() != DrainChange.Status.LEFT)
                .toList();
        latestByName.clear();
        index = firstIndex;
        for (DrainChange each : listed) {
            latestByName.put(each.name(), new IndexedChange(++index, each));
        }
        oldestIndex = index;
        openConnections.forEach(StandInConnection::reset);
        notifyAll();
    }

    synchronized long index() {
        return index;
    }

    // Answers
    void setBehaviour(AgentBehaviour newBehaviour) throws IOException {
        setBehaviour(newBehaviour, 0);
    }

    void setBehaviour(AgentBehaviour newBehaviour, int newDelayMs) throws IOException {
        AgentBehaviour before = behaviour;
        delayMs = newDelayMs;
        if (newBehaviour == AgentBehaviour.REFUSING) {
            auditor.answerQualityChanged(name, newBehaviour.answerQuality, System.nanoTime());
            behaviour = newBehaviour;
            server.close();
            openConnections.forEach(StandInConnection::reset);
            holdPort();
            return;
        }
        if (before == AgentBehaviour.REFUSING) {
            portHolder.close();
            server = new ServerSocket();
            server.setReuseAddress(true);
            server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), BACKLOG);
            listen(server);
        }
        synchronized (this) {
            if (before == AgentBehaviour.REFUSING) {
                // Changes received at this moment count as from an unreachable agent.
                catchUpWith(newBehaviour);
                auditor.answerQualityChanged(name, newBehaviour.answerQuality, System.nanoTime());
            } else {
                auditor.answerQualityChanged(name, newBehaviour.answerQuality, System.nanoTime());
                catchUpWith(newBehaviour);
            }
        }
    }

    private void holdPort() throws IOException {
        for (int attemptsLeft = BIND_ATTEMPTS; ; attemptsLeft--) {
            portHolder = new Socket();
            portHolder.setReuseAddress(true);
            try {
                portHolder.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
                return;
            } catch (BindException e) { // the accepting thread has not released the port yet
                portHolder.close();
                if (attemptsLeft == 0) {
                    throw e;
                }
                LockSupport.parkNanos(DrainAuditor.NANOS_PER_MILLI);
            }
        }
    }

    private void catchUpWith(AgentBehaviour newBehaviour) {
        behaviour = newBehaviour;
        if (!isBehind) {
            catchUp();
        }
    }

    /** Never answers the watches that are open now; new ones are answered. */
    synchronized void silenceWatches() {
        auditor.watchFellSilent(name, System.nanoTime());
        silencedThreads.addAll(watchThreads);
    }

    private void listen(ServerSocket serverSocket) {
        StandInThreads.start("agent " + name, () -> {
            while (true) {
                Socket socket = serverSocket.accept();
                StandInThreads.start("watch of " + name, () -> serve(socket));
            }
        });
    }

    private void serve(Socket socket) throws IOException, InterruptedException {
        StandInConnection wire = new StandInConnection(socket);
        openConnections.add(wire);
        try (wire) {
            for (StandInConnection.HttpMessage request = wire.readHttp(); request != null; request = wire.readHttp()) {
                if (request.method().equals("POST")) {
                    wire.writeResponse("204 No Content", "");
                } else if (!answer(wire, request.target())) {
                    return;
                }
            }
        } finally {
            openConnections.remove(wire);
            silencedThreads.remove(Thread.currentThread());
        }
    }

    /** Returns false if the connection is to be closed. */
    private boolean answer(StandInConnection wire, String target) throws IOException, InterruptedException {
        if (behaviour == AgentBehaviour.RESETTING) {
            wire.reset();
            return false;
        }
        Matcher watch = WATCH_TARGET.matcher(target);
        String list = watch.matches()
                ? awaitChanges(Long.parseLong(watch.group(1)), Integer.parseInt(watch.group(2)))
                : wholeList();
        AgentBehaviour current = behaviour;
        if (current == AgentBehaviour.SLOW) {
            Thread.sleep(delayMs); // simulates an agent that gets no processor time
        }
        if (current == AgentBehaviour.SILENT || silencedThreads.contains(Thread.currentThread())) {
            Thread.sleep(Long.MAX_VALUE);
        }
        return sendAnswer(wire, current, list);
    }

    private static boolean sendAnswer(StandInConnection wire, AgentBehaviour current, String list)
            throws IOException, InterruptedException {
        String response = "HTTP/1.1 200 OK\r\nContent-Length: " + list.length() + "\r\n\r\n" + list;
        int half = response.length() - list.length() / 2;
        switch (current) {
            case CUT -> {
                wire.writeText(response.substring(0, half));
                return false;
            }
            case STALLING -> {
                wire.writeText(response.substring(0, half));
                Thread.sleep(Long.MAX_VALUE);
                return false;
            }
            case CLOSING -> {
                wire.writeText(response);
                return false;
            }
            case TRICKLING -> {
                wire.writeText(response.substring(0, half));
                for (int at = half; at < response.length(); at += PIECE_CHARS) {
                    Thread.sleep(PIECE_INTERVAL_MILLIS); // simulates a slow network
                    wire.writeText(response.substring(at, Math.min(response.length(), at + PIECE_CHARS)));
                }
                return true;
            }
            case BUSY -> {
                wire.writeResponse("503 busy", "");
                return true;
            }
            default -> {
                wire.writeText(response);
                return true;
            }
        }
    }

    private synchronized String awaitChanges(long after, int waitMs) throws InterruptedException {
        watchThreads.add(Thread.currentThread());
        try {
            long end = System.nanoTime() + waitMs * DrainAuditor.NANOS_PER_MILLI;
            for (long left = waitMs; index <= after && left > 0; ) {
                wait(left);
                left = (end - System.nanoTime()) / DrainAuditor.NANOS_PER_MILLI;
            }
        } finally {
            watchThreads.remove(Thread.currentThread());
        }
        if (after > index || after < oldestIndex || behaviour == AgentBehaviour.WHOLE_LISTS) {
            return wholeList();
        }
        return listJson(
                false,
                latestByName.values().stream()
                        .filter(x -> x.index() > after)
                        .map(IndexedChange::change)
                        .toList());
    }

    /** The current whole list. */
    synchronized String wholeList() {
        return listJson(
                true,
                latestByName.values().stream()
                        .map(IndexedChange::change)
                        .filter(x -> x.status() != DrainChange.Status.LEFT)
                        .toList());
    }

    private String listJson(boolean whole, List<DrainChange> changes) {
        AgentBehaviour current = behaviour;
        String entries = changes.stream().flatMap(x -> entries(current, x)).collect(Collectors.joining(","));
        String more = switch (current) {
            case UNREADABLE_ENTRY -> "{\"name\":\"broken\",\"group\":7,\"status\":\"active\"}";
            case UNKNOWN_STATUS ->
                "{\"name\":\"resting\",\"address\":\"127.0.0.1:9\",\"zone\":\"z\",\"type\":\"lab\","
                        + "\"group\":7,\"status\":\"resting\"}";
            default -> "";
        };
        String list = "{\"index\":" + index + ",\"snapshot\":" + whole + ",\"endpoints\":["
                + Stream.of(entries, more).filter(x -> !x.isEmpty()).collect(Collectors.joining(",")) + "]}";
        if (current == AgentBehaviour.OVERSIZE_WHOLE && whole) {
            return list + " ".repeat(OVERSIZE_BYTES);
        }
        return current == AgentBehaviour.INDENTED
                ? list.replace("{", "{\n  ")
                        .replace(",", ",\n  ")
                        .replace(":", " : ")
                        .replace("127.0.0.1 : ", "127.0.0.1:")
                : list;
    }

    private static Stream<String> entries(AgentBehaviour current, DrainChange change) {
        return switch (current) {
            case TWICE -> Stream.of(change.json(), change.json());
            case CONTRADICTING ->
                change.isActive()
                        ? Stream.of(change.json())
                        : Stream.of(
                                change.json(),
                                new DrainChange(
                                                change.version(),
                                                change.name(),
                                                change.address(),
                                                change.group(),
                                                DrainChange.Status.ACTIVE)
                                        .json());
            default -> Stream.of(change.json());
        };
    }

    @Override
    public void close() throws IOException {
        server.close();
        openConnections.forEach(StandInConnection::reset);
    }
}
