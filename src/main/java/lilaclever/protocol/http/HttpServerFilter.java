package lilaclever.protocol.http;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import lilaclever.log.Logs;
import lilaclever.routing.Core;
import lilaclever.routing.Counters.Name;
import lilaclever.transport.Transport;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.Grizzly;
import org.glassfish.grizzly.IOEvent;
import org.glassfish.grizzly.attributes.Attribute;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChain;
import org.glassfish.grizzly.filterchain.FilterChainBuilder;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.filterchain.TransportFilter;
import org.glassfish.grizzly.nio.NIOConnection;

/**
 * The server's side of HTTP: gathers requests and writes answers, one after the other on a connection. Whoever says
 * nothing, half a request or nonsense is answered with an error or closed in good time, and is not let take the room
 * of those who ask: so many connections, so many bytes of requests that are not whole, so much time for each.
 *
 * <p>Every close from this side is a lingering close (RFC 9112, 9.6): only our sending ends, what still comes is read
 * and dropped, and the client closes. A close over unread bytes is a reset, which can destroy an answer on its way.
 */
final class HttpServerFilter extends BaseFilter {
    static final int MAX_BODY_BYTES = 64 * 1024;
    /** Bytes of further requests kept while one is answered. */
    private static final int MAX_PIPELINED_BYTES = 16 * 1024;
    /** Bytes of requests that are not whole, over all connections. */
    private static final long MAX_INCOMPLETE_BYTES = 6 << 20;
    /** A connection that has said nothing is closed after this, and a request must be whole after this. */
    private static final long FIRST_BYTE_TIMEOUT_MICROS = 2_000_000, REQUEST_TIMEOUT_MICROS = 2_000_000;
    /** A connection with no open request is closed after so long, and sooner where many are open. */
    private static final long IDLE_TIMEOUT_MICROS = 15_000_000, CROWDED_IDLE_TIMEOUT_MICROS = 2_200_000;

    private static final long MAX_CHECK_INTERVAL_MICROS = 500_000, MIN_CHECK_INTERVAL_MICROS = 20_000;
    /** How long the first request of a new connection may be on its way when room is made. */
    private static final long NEW_CONNECTION_GRACE_MICROS = 100_000;
    /** A client has to take its last answer within this; after it the connection is closed over what is unwritten. */
    private static final long WRITE_TIMEOUT_MICROS = 2_000_000;
    /** How long, and over how many bytes, a connection whose sending we have ended waits for the client to close it. */
    private static final long LINGER_MICROS = 1_000_000, MAX_LINGER_BYTES = 1 << 20;
    /**
     * Part of the room for connections that is left for those that linger, and for newcomers who are told to come
     * again.
     */
    private static final int CLOSING_RESERVE_DIVISOR = 8;

    private static final int READ_BUFFER_BYTES = 16 * 1024;
    private static final byte[] EMPTY_BODY = {};
    private static final byte[] CONTINUE = "HTTP/1.1 100 Continue\r\n\r\n".getBytes(StandardCharsets.US_ASCII);

    /** One request; headers by lower-case name. */
    record Request(
            String method,
            String path,
            Map<String, String> headers,
            byte[] body,
            long arrivedMicros,
            Exchange exchange) {}

    private final Core core;
    private final int maxConnections, keepAliveLimit;
    private final Consumer<Request> handler;
    private final Set<Client> clients = new LinkedHashSet<>();
    /** Those of them that are to close or linger, the first one first; guarded by the clients. */
    private final Set<Client> closingClients = new LinkedHashSet<>();

    private final Attribute<Client> clientAttribute = Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("IntakeFilter.client");
    private final AtomicLong incompleteBytes = new AtomicLong();
    private volatile boolean isClosing;
    private volatile int acceptedCount;

    /**
     * At most so many connections. With more than {@code crowd} of them none stays idle: a platform with few
     * descriptors has none left for the next client otherwise. The handler is called on the selector thread.
     */
    HttpServerFilter(Core core, int most, int crowd, Consumer<Request> handler) {
        this.core = core;
        this.maxConnections = most;
        this.keepAliveLimit = crowd;
        this.handler = handler;
    }

    /** One connection. Bytes come on the selector thread, answers go out on the loop's: one of them at a time is in. */
    private final class Client {
        private final Connection<?> connection;
        private final HttpMessageReader reader = new HttpMessageReader(false, MAX_BODY_BYTES);
        private final ByteArrayOutputStream pipelined = new ByteArrayOutputStream(0);
        private final AtomicLong countedBytes = new AtomicLong();
        /** Since when it is as it is: opened, or the first byte of a request, or the end of an answer. */
        private volatile long stateSinceMicros = Core.monotonicMicros();

        private volatile boolean hasRequested, isPartlyRead, hasOpenRequest, isLingering;
        /** The last answer is given: what still comes is dropped. */
        private volatile boolean isFinished;
        /** The client has ended its sending, and may still read. */
        private volatile boolean isInputEnded;
        /** Bytes that were read and are not looked at yet, as a request before them is being handled. */
        private volatile int unprocessedBytes;
        /** More was sent ahead than there is room for, and what did not fit is gone. */
        private boolean isTruncated;
        /** The open request is of HTTP/1.1. */
        private boolean acceptsInterimResponses;
        /** Writes that are not wholly in the socket's buffer yet. */
        private int pendingWrites;

        /** It came where all the room is taken by those who wait for an answer: it is told to come again. */
        private volatile boolean isOverLimit;

        private long droppedBytes;

        Client(Connection<?> connection) {
            this.connection = connection;
        }

        /** Takes what was read from the socket. */
        synchronized void received(byte[] in) {
            if (isLingering) {
                droppedBytes += in.length;
                if (droppedBytes > MAX_LINGER_BYTES) {
                    connection.terminateSilently();
                }
            } else if (!isTruncated) {
                process(in);
            }
        }

        /**
         * The client has ended its sending (a TCP half-close) or has closed the connection, which can't be told apart
         * before something is written: a client that has closed answers that with a reset. An interim answer, which any
         * client of HTTP/1.1 has to pass over, tells in time; true if the connection stays open for an answer.
         */
        synchronized boolean onEndOfInput() {
            boolean isBeingWritten = pendingWrites > 0 && (isFinished || !hasOpenRequest) && !isLingering;
            boolean awaitsAnswer = hasOpenRequest && !isFinished && acceptsInterimResponses;
            isInputEnded = isBeingWritten || awaitsAnswer;
            if (isBeingWritten) {
                closeOnceWritten();
            } else if (awaitsAnswer) {
                sendProbe();
            }
            return isInputEnded;
        }

        private synchronized void sendProbe() {
            if (!isFinished) {
                write(CONTINUE, () -> {});
            }
        }

        /** True if nobody reads an answer any more, as far as is known. */
        boolean isGone() {
            if (isInputEnded && connection.isOpen()) {
                sendProbe();
            }
            return !connection.isOpen();
        }

        private void process(byte[] in) {
            int at = 0;
            while (at < in.length && !isFinished) {
                if (hasOpenRequest) {
                    bufferPipelined(in, at);
                    at = in.length;
                } else {
                    at = read(in, at);
                }
                unprocessedBytes = in.length - at;
                if (!hasOpenRequest && !isFinished && reader.isComplete()) {
                    onRequest();
                }
            }
            unprocessedBytes = 0;
        }

        /** Another request before the answer to the first waits for its turn, as far as there is room. */
        private void bufferPipelined(byte[] in, int from) {
            int size = Math.min(MAX_PIPELINED_BYTES - pipelined.size(), in.length - from);
            pipelined.write(in, from, size);
            isTruncated |= size < in.length - from;
        }

        /** Reads up to the end of a request; gives where the next one begins. */
        private int read(byte[] in, int from) {
            if (!isPartlyRead) {
                isPartlyRead = true;
                stateSinceMicros = hasRequested ? Core.monotonicMicros() : stateSinceMicros; // the first one is due since the connection opened
            }
            try {
                int at = reader.read(in, from, in.length);
                countIncomplete(reader.isComplete() ? 0 : reader.bufferedBytes());
                if (incompleteBytes.get() > MAX_INCOMPLETE_BYTES) {
                    reject(503);
                } else if (reader.awaitsContinue()) {
                    write(CONTINUE, () -> {});
                }
                return at;
            } catch (HttpMessageReader.InvalidMessageException e) {
                reject(e.status);
                return in.length;
            }
        }

        private void countIncomplete(long size) {
            incompleteBytes.addAndGet(size - countedBytes.getAndSet(size));
        }

        private void onRequest() {
            isPartlyRead = false;
            hasRequested = true;
            hasOpenRequest = true;
            acceptsInterimResponses = reader.acceptsInterimResponses();
            if (isOverLimit) {
                reject(503);
                return;
            }
            Request request = new Request(
                    reader.method(),
                    reader.path(),
                    reader.headers(),
                    reader.body(),
                    Core.monotonicMicros(),
                    new Exchange(this, reader.keepsConnection()));
            reader.reset();
            try {
                handler.accept(request);
            } catch (RuntimeException e) {
                Logs.error("", "request-failed", "a request could not be handled: " + e, e);
                request.exchange().respond(500, Map.of(), EMPTY_BODY, () -> {});
            }
        }

        /** Tells what is wrong and closes: what follows on the connection can't be told from the rest of this. */
        private synchronized void reject(int status) {
            if (!isFinished) {
                core.counters().add(Name.BAD_REQUESTS);
                Map<String, String> headers = status == 503 ? Map.of("Retry-After", "1") : Map.of();
                write(HttpMessageWriter.response(status, headers, true, EMPTY_BODY), () -> {});
                closeOnceWritten();
            }
        }

        /** Writes behind what is being written; {@code failed} is run if that could not be. */
        private synchronized void write(byte[] bytes, Runnable failed) {
            pendingWrites++;
            Transport.write(connection, bytes, this::onWritten, () -> {
                connection.closeSilently();
                failed.run();
            });
        }

        private synchronized void onWritten() {
            pendingWrites--;
            if (isFinished) {
                lingerOnceWritten();
            }
        }

        private synchronized void onResponded() {
            stateSinceMicros = Core.monotonicMicros();
            hasOpenRequest = false;
            byte[] waiting = pipelined.toByteArray();
            pipelined.reset();
            if (waiting.length > 0) {
                process(waiting);
            }
            if (isTruncated && !hasOpenRequest && unprocessedBytes == 0) {
                reject(503); // the rest of what was sent ahead is not there
            } else if (isInputEnded && !hasOpenRequest && unprocessedBytes == 0) {
                closeOnceWritten(); // what is not whole will never be
            } else if (isClosing) {
                closeIfIdle(); // the others that were idle are closed already
            }
        }

        /** True if requests that were read, or parts of one, wait for this one's answer. */
        private boolean hasPipelined() {
            return pipelined.size() > 0 || isTruncated || unprocessedBytes > 0;
        }

        /** The last answer is given: what comes from now on is dropped, until the client closes. */
        private synchronized void closeOnceWritten() {
            if (!isFinished) {
                isFinished = true;
                stateSinceMicros = Core.monotonicMicros();
                lingerOnceWritten();
            }
        }

        /** Ends our sending once all that was written has gone: an end before that would cut an answer off. */
        private void lingerOnceWritten() {
            if (pendingWrites == 0 && !isLingering && connection.isOpen()) {
                isLingering = true;
                stateSinceMicros = Core.monotonicMicros();
                synchronized (clients) {
                    closingClients.add(this);
                }
                Transport.shutdownOutput(connection);
                if (isInputEnded) {
                    connection.closeSilently(); // nothing is left to be read
                }
            }
        }

        private boolean isIdle() {
            return !hasOpenRequest && !isPartlyRead && unprocessedBytes == 0;
        }

        /** When it has to go if it stays as it is. */
        private long expiresAtMicros() {
            if (isLingering) {
                return stateSinceMicros + LINGER_MICROS;
            }
            if (isFinished) {
                return stateSinceMicros + WRITE_TIMEOUT_MICROS;
            }
            if (hasOpenRequest) {
                return Long.MAX_VALUE;
            }
            long time = isPartlyRead ? REQUEST_TIMEOUT_MICROS : !hasRequested ? FIRST_BYTE_TIMEOUT_MICROS : connectionCount() > keepAliveLimit ? CROWDED_IDLE_TIMEOUT_MICROS : IDLE_TIMEOUT_MICROS;
            return stateSinceMicros + time;
        }

        /**
         * Ends it if it still has to go. On the selector thread alone, once what had come is read: a request may have
         * lain in the socket of one that looked idle. What comes after is sent again on another connection, and must
         * not be read as a request here.
         */
        private synchronized void closeIfExpired() {
            if (Core.monotonicMicros() < expiresAtMicros()) {
                return;
            }
            if (isFinished) {
                connection.closeSilently();
            } else if (isPartlyRead) {
                reject(408);
            } else {
                closeOnceWritten();
            }
        }

        /** The same for one that is idle, whatever the time. */
        private synchronized void closeIfIdle() {
            if (isIdle()) {
                closeOnceWritten();
            }
        }

        /** Makes room, unless it has asked meanwhile: then its answer closes it, as there is a crowd. */
        private synchronized void evict() {
            if (isIdle()) {
                closeOnceWritten();
            } else if (!isFinished) {
                synchronized (clients) {
                    closingClients.remove(this);
                }
            }
        }

        /** Closes it now, unless a request of it is open or its answer is not written yet; false then. */
        private synchronized boolean tryCloseNow() {
            boolean free = isLingering || isIdle() && pendingWrites == 0;
            if (free) {
                isFinished = true;
                connection.closeSilently();
            }
            return free;
        }

        /** Looks at it until it is closed. Loop thread. */
        private void checkExpiry() {
            if (!connection.isOpen()) {
                return;
            }
            long now = core.nowMicros();
            if (now >= expiresAtMicros()) {
                Transport.runAfterReading(connection, this::closeIfExpired);
            }
            core.deadlines().schedule(now + Math.max(MIN_CHECK_INTERVAL_MICROS, Math.min(MAX_CHECK_INTERVAL_MICROS, expiresAtMicros() - now)), this::checkExpiry);
        }
    }

    /** One request's answer. */
    final class Exchange {
        private final Client client;
        private final boolean keepAlive;
        /** Guarded by the client. */
        private boolean isAnswered;

        private Exchange(Client client, boolean keep) {
            this.client = client;
            this.keepAlive = keep;
        }

        boolean isClientGone() {
            return client.isGone();
        }

        /**
         * Writes the answer; {@code lost} is run if it could not be written. The client may have it, and send its next
         * request, before this returns: that one must not be taken for one that came before its turn. A connection
         * that is to close does so behind the last request that was read whole. A second answer is passed over.
         */
        void respond(int status, Map<String, String> headers, byte[] body, Runnable lost) {
            synchronized (client) {
                if (isAnswered) {
                    return;
                }
                isAnswered = true;
                boolean stay = keepAlive
                        && !client.isFinished
                        && (client.hasPipelined() || !isClosing && !client.isInputEnded && connectionCount() <= keepAliveLimit);
                client.write(HttpMessageWriter.response(status, headers, !stay, body), lost);
                if (stay) {
                    client.onResponded();
                } else {
                    client.closeOnceWritten();
                }
            }
        }
    }

    /** The chain of a client's connection. */
    FilterChain chain() {
        return FilterChainBuilder.stateless().add(new SocketFilter()).add(this).build();
    }

    /** Reads and writes the socket. The end of a client's sending does not close the connection under an answer. */
    private final class SocketFilter extends TransportFilter {
        /** Used on the selector thread alone. */
        private final ByteBuffer buffer = ByteBuffer.allocateDirect(READ_BUFFER_BYTES);

        @Override
        public NextAction handleRead(FilterChainContext context) throws IOException {
            NIOConnection connection = (NIOConnection) context.getConnection();
            buffer.clear();
            int size = ((SocketChannel) connection.getChannel()).read(buffer);
            if (size > 0) {
                byte[] bytes = new byte[size];
                buffer.flip().get(bytes);
                context.setMessage(bytes);
                return context.getInvokeAction();
            }
            if (size < 0) {
                Client client = clientAttribute.get(connection);
                if (client != null && client.onEndOfInput()) {
                    connection.disableIOEvent(IOEvent.READ); // or the end would be read again and again
                } else {
                    connection.terminateSilently();
                }
            }
            return context.getStopAction();
        }
    }

    /** How many connections there are. */
    int connectionCount() {
        synchronized (clients) {
            return clients.size();
        }
    }

    /** Closes idle connections, each other one after its answer, and new ones at once. */
    void close() {
        isClosing = true;
        List<Client> all;
        synchronized (clients) {
            all = List.copyOf(clients);
        }
        all.forEach(c -> Transport.runAfterReading(c.connection, c::closeIfIdle));
    }

    /** How many connections have been accepted since the start. */
    int acceptedCount() {
        return acceptedCount;
    }

    /** True once no connection is left: until then a request may be read that still wants its answer. */
    boolean isClosed() {
        return connectionCount() == 0;
    }

    /**
     * The one to close where there is no more room: the oldest that has never asked, if it had the time to; then the
     * one that is idle for longest, as its client comes again on a new connection; then whoever has not asked. A
     * newcomer only where all others wait for an answer: its request would have failed.
     */
    private Client evictionCandidate(Client newest) {
        long now = Core.monotonicMicros();
        Client silent = null, idle = null;
        for (Client c : clients) {
            if (closingClients.contains(c)) {
                continue;
            }
            if (!c.hasRequested && c != newest && silent == null) {
                silent = c; // in the order of opening: the first is the oldest
            }
            if (c.hasRequested && c.isIdle() && (idle == null || c.stateSinceMicros < idle.stateSinceMicros)) {
                idle = c;
            }
        }
        return silent != null && (now - silent.stateSinceMicros > NEW_CONNECTION_GRACE_MICROS || idle == null) ? silent : idle != null ? idle : newest;
    }

    /**
     * Makes room for a newcomer: one of those who stay has to leave, and where there is no room for that either, one
     * goes now.
     */
    private void evictFor(Client newest) {
        Client out = null;
        boolean full;
        synchronized (clients) {
            if (clients.size() - closingClients.size() > maxConnections - maxConnections / CLOSING_RESERVE_DIVISOR) {
                out = evictionCandidate(newest);
                out.isOverLimit = out == newest;
                closingClients.add(out);
            }
            full = clients.size() > maxConnections;
        }
        if (out != null) {
            core.counters().add(Name.CROWDED_OUT);
            if (out != newest) {
                Transport.runAfterReading(out.connection, out::evict);
            }
        }
        if (full) {
            closeOneClosing(newest);
        }
    }

    /**
     * Closes the first of those that leave and owe no answer; else the newcomer, of which nothing is read. One that was
     * chosen to leave while it was idle may have asked since then, and has to be answered.
     */
    private void closeOneClosing(Client newest) {
        List<Client> candidates;
        synchronized (clients) {
            candidates = new ArrayList<>(closingClients);
        }
        candidates.remove(newest);
        candidates.sort(Comparator.comparing(each -> !each.isLingering)); // stable: the first of each kind goes first
        for (Client each : candidates) {
            if (each.tryCloseNow()) {
                remove(each);
                return;
            }
        }
        newest.tryCloseNow();
        remove(newest);
    }

    @Override
    public NextAction handleAccept(FilterChainContext context) {
        Client client = new Client(context.getConnection());
        clientAttribute.set(client.connection, client);
        acceptedCount++; // on the selector thread alone
        synchronized (clients) {
            clients.add(client);
        }
        evictFor(client);
        core.post(client::checkExpiry);
        return context.getInvokeAction();
    }

    private void remove(Client client) {
        client.countIncomplete(0);
        synchronized (clients) {
            clients.remove(client);
            closingClients.remove(client);
        }
    }

    @Override
    public NextAction handleClose(FilterChainContext context) {
        Client client = clientAttribute.get(context.getConnection());
        if (client != null) {
            remove(client);
        }
        return context.getInvokeAction();
    }

    @Override
    public NextAction handleRead(FilterChainContext context) {
        Client client = clientAttribute.get(context.getConnection());
        byte[] bytes = context.getMessage();
        if (client != null) {
            client.received(bytes);
        }
        return context.getStopAction();
    }

    @Override
    public void exceptionOccurred(FilterChainContext context, Throwable error) {
        context.getConnection().closeSilently();
    }
}
