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
import lilaclever.lab.sockets.StandInConnection;
import lilaclever.program.DrainAuditor.Answering;

/** A discovery agent on a socket, which tells a forwarder what it has received of the membership, as scripted. */
final class DrainAgent implements AutoCloseable {
    private static final Pattern WATCH = Pattern.compile(".*\\?after=(-?\\d+)&wait_ms=(\\d+)");
    private static final int QUEUE = 50;
    private static final int BIND_TRIES = 1_000;
    private static final int PIECE = 1, PIECE_EVERY_MS = 100;
    /** More than any forwarder has to read of one list. */
    private static final int OVERSIZE = 5 << 20;

    /** How it answers. */
    enum Manner {
        AT_ONCE(Answering.AT_ONCE),
        /** Every answer is late by the delay. */
        SLOW(Answering.POORLY),
        /** Accepts and never answers; learns nothing meanwhile. */
        SILENT(Answering.SILENT),
        /** Connections are refused; learns nothing meanwhile. */
        REFUSING(Answering.POORLY),
        /** Connections are reset once they have asked. */
        RESETTING(Answering.POORLY),
        /** The first half of the answer comes, then a byte now and then for as long as the connection lasts. */
        TRICKLING(Answering.POORLY),
        /** The first half of the answer comes, then nothing. */
        STALLING(Answering.POORLY),
        /** Each connection ends after one answer, without having said so. */
        CLOSING(Answering.AT_ONCE),
        /** The first half of the answer comes, then the connection ends. */
        CUT(Answering.POORLY),
        /** 503 instead of a list. */
        BUSY(Answering.POORLY),
        /** Watches are answered with the whole list. */
        WHOLE_LISTS(Answering.AT_ONCE),
        INDENTED(Answering.AT_ONCE),
        /** Each entry comes twice. */
        TWICE(Answering.AT_ONCE),
        /** After an entry that is draining or gone comes an older one of the same name that is active. */
        CONTRADICTING(Answering.POORLY),
        /** One more entry has no address. */
        UNREADABLE_ENTRY(Answering.POORLY),
        /** One more entry has a status that the protocol does not name. */
        UNKNOWN_STATUS(Answering.AT_ONCE),
        /** Whole lists are longer than what anybody reads; changes are as ever. */
        OVERSIZE_WHOLE(Answering.POORLY);

        private final Answering answering;

        Manner(Answering answering) {
            this.answering = answering;
        }
    }

    final String name;
    private final DrainAuditor auditor;
    private final int port;
    private ServerSocket server;
    /** Bound and not listening: while connections are refused nobody else gets the port. */
    private Socket portKept;

    private final Set<StandInConnection> open = ConcurrentHashMap.newKeySet();
    private volatile Manner manner = Manner.AT_ONCE;
    private volatile int delayMs;
    /** Watches that are open now bring nothing any more. */
    private final Set<Thread> silenced = ConcurrentHashMap.newKeySet();

    private final Set<Thread> watching = ConcurrentHashMap.newKeySet();

    private record Numbered(long index, DrainChange change) {}

    private final Map<String, Numbered> latest = new LinkedHashMap<>();
    private final List<DrainChange> unheard = new ArrayList<>();
    private long index;
    /** Changes up to this index are not known one by one. */
    private long oldest;

    private boolean behind;

    /** An agent that has received the given changes and counts from the given index on. */
    DrainAgent(String name, DrainAuditor auditor, long firstIndex, List<DrainChange> has) throws IOException {
        this.name = name;
        this.auditor = auditor;
        this.index = firstIndex;
        this.oldest = firstIndex;
        this.server = new ServerSocket(0, QUEUE, InetAddress.getLoopbackAddress());
        this.port = server.getLocalPort();
        has.forEach(this::learn);
        listen(server);
    }

    String address() {
        return "127.0.0.1:" + port;
    }

    // ---- what it knows -------------------------------------------------------------------------------------
    /** Discovery tells it a change, which it gets at once, or at its return. */
    synchronized void tell(DrainChange change) {
        if (behind || manner == Manner.SILENT || manner == Manner.REFUSING) {
            unheard.add(change);
        } else {
            learn(change);
        }
    }

    private synchronized void learn(DrainChange change) {
        index++;
        latest.remove(change.name());
        latest.put(change.name(), new Numbered(index, change));
        auditor.received(name, change, System.nanoTime());
        notifyAll();
    }

    /** From now on changes reach it late: with {@link #catchUp}. */
    synchronized void fallBehind() {
        behind = true;
    }

    synchronized void catchUp() {
        behind = false;
        List<DrainChange> all = List.copyOf(unheard);
        unheard.clear();
        all.forEach(this::tell);
    }

    /** It starts anew, counts from the given index on, and knows the list as it is but no earlier changes. */
    synchronized void restart(long firstIndex) {
        List<DrainChange> listed = latest.values().stream()
                .map(Numbered::change)
                .filter(x -> x.status() != DrainChange.Status.LEFT)
                .toList();
        latest.clear();
        index = firstIndex;
        for (DrainChange each : listed) {
            latest.put(each.name(), new Numbered(++index, each));
        }
        oldest = index;
        open.forEach(StandInConnection::reset);
        notifyAll();
    }

    synchronized long index() {
        return index;
    }

    // ---- how it answers ------------------------------------------------------------------------------------
    void answers(Manner next) throws IOException {
        answers(next, 0);
    }

    void answers(Manner next, int lateByMs) throws IOException {
        Manner before = manner;
        delayMs = lateByMs;
        if (next == Manner.REFUSING) {
            auditor.answers(name, next.answering, System.nanoTime());
            manner = next;
            server.close();
            open.forEach(StandInConnection::reset);
            keepPort();
            return;
        }
        if (before == Manner.REFUSING) {
            portKept.close();
            server = new ServerSocket();
            server.setReuseAddress(true);
            server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), QUEUE);
            listen(server);
        }
        synchronized (this) {
            if (before == Manner.REFUSING) { // what it gets just now counts as from one that could not be reached
                catchUpAs(next);
                auditor.answers(name, next.answering, System.nanoTime());
            } else {
                auditor.answers(name, next.answering, System.nanoTime());
                catchUpAs(next);
            }
        }
    }

    private void keepPort() throws IOException {
        for (int tries = BIND_TRIES; ; tries--) {
            portKept = new Socket();
            portKept.setReuseAddress(true);
            try {
                portKept.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
                return;
            } catch (BindException e) { // the thread that accepts has not let go of it yet
                portKept.close();
                if (tries == 0) {
                    throw e;
                }
                LockSupport.parkNanos(DrainAuditor.MS);
            }
        }
    }

    private void catchUpAs(Manner next) {
        manner = next;
        if (!behind) {
            catchUp();
        }
    }

    /** All watches that are open fall silent; a new one is answered. */
    synchronized void silenceWatches() {
        auditor.watchFellSilent(name, System.nanoTime());
        silenced.addAll(watching);
    }

    private void listen(ServerSocket on) {
        DrainThreads.start("agent " + name, () -> {
            while (true) {
                Socket socket = on.accept();
                DrainThreads.start("watch of " + name, () -> serve(socket));
            }
        });
    }

    private void serve(Socket socket) throws IOException, InterruptedException {
        StandInConnection wire = new StandInConnection(socket);
        open.add(wire);
        try (wire) {
            for (StandInConnection.HttpMessage asked = wire.readHttp(); asked != null; asked = wire.readHttp()) {
                if (asked.method().equals("POST")) {
                    wire.writeResponse("204 No Content", "");
                } else if (!answer(wire, asked.target())) {
                    return;
                }
            }
        } finally {
            open.remove(wire);
            silenced.remove(Thread.currentThread());
        }
    }

    /** False if the connection is to be closed. */
    private boolean answer(StandInConnection wire, String target) throws IOException, InterruptedException {
        if (manner == Manner.RESETTING) {
            wire.reset();
            return false;
        }
        Matcher watch = WATCH.matcher(target);
        String list =
                watch.matches() ? waitFor(Long.parseLong(watch.group(1)), Integer.parseInt(watch.group(2))) : whole();
        Manner now = manner;
        if (now == Manner.SLOW) {
            Thread.sleep(delayMs); // stands for an agent that has no processor time
        }
        if (now == Manner.SILENT || silenced.contains(Thread.currentThread())) {
            Thread.sleep(Long.MAX_VALUE);
        }
        return say(wire, now, list);
    }

    private static boolean say(StandInConnection wire, Manner now, String list)
            throws IOException, InterruptedException {
        String all = "HTTP/1.1 200 OK\r\nContent-Length: " + list.length() + "\r\n\r\n" + list;
        int half = all.length() - list.length() / 2;
        switch (now) {
            case CUT -> {
                wire.writeText(all.substring(0, half));
                return false;
            }
            case STALLING -> {
                wire.writeText(all.substring(0, half));
                Thread.sleep(Long.MAX_VALUE);
                return false;
            }
            case CLOSING -> {
                wire.writeText(all);
                return false;
            }
            case TRICKLING -> {
                wire.writeText(all.substring(0, half));
                for (int at = half; at < all.length(); at += PIECE) {
                    Thread.sleep(PIECE_EVERY_MS); // stands for a slow network
                    wire.writeText(all.substring(at, Math.min(all.length(), at + PIECE)));
                }
                return true;
            }
            case BUSY -> {
                wire.writeResponse("503 busy", "");
                return true;
            }
            default -> {
                wire.writeText(all);
                return true;
            }
        }
    }

    private synchronized String waitFor(long after, int waitMs) throws InterruptedException {
        watching.add(Thread.currentThread());
        try {
            long end = System.nanoTime() + waitMs * DrainAuditor.MS;
            for (long left = waitMs; index <= after && left > 0; ) {
                wait(left);
                left = (end - System.nanoTime()) / DrainAuditor.MS;
            }
        } finally {
            watching.remove(Thread.currentThread());
        }
        if (after > index || after < oldest || manner == Manner.WHOLE_LISTS) {
            return whole();
        }
        return text(
                false,
                latest.values().stream()
                        .filter(x -> x.index() > after)
                        .map(Numbered::change)
                        .toList());
    }

    /** The whole list as it is now. */
    synchronized String whole() {
        return text(
                true,
                latest.values().stream()
                        .map(Numbered::change)
                        .filter(x -> x.status() != DrainChange.Status.LEFT)
                        .toList());
    }

    private String text(boolean whole, List<DrainChange> changes) {
        Manner now = manner;
        String entries = changes.stream().flatMap(x -> entries(now, x)).collect(Collectors.joining(","));
        String more = switch (now) {
            case UNREADABLE_ENTRY -> "{\"name\":\"broken\",\"group\":7,\"status\":\"active\"}";
            case UNKNOWN_STATUS ->
                "{\"name\":\"resting\",\"address\":\"127.0.0.1:9\",\"zone\":\"z\",\"type\":\"lab\","
                        + "\"group\":7,\"status\":\"resting\"}";
            default -> "";
        };
        String list = "{\"index\":" + index + ",\"snapshot\":" + whole + ",\"endpoints\":["
                + Stream.of(entries, more).filter(x -> !x.isEmpty()).collect(Collectors.joining(",")) + "]}";
        if (now == Manner.OVERSIZE_WHOLE && whole) {
            return list + " ".repeat(OVERSIZE);
        }
        return now == Manner.INDENTED
                ? list.replace("{", "{\n  ")
                        .replace(",", ",\n  ")
                        .replace(":", " : ")
                        .replace("127.0.0.1 : ", "127.0.0.1:")
                : list;
    }

    private static Stream<String> entries(Manner now, DrainChange change) {
        return switch (now) {
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
        open.forEach(StandInConnection::reset);
    }
}
