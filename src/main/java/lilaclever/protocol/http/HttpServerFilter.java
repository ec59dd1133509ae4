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
import lilaclever.transport.AcceptQueue;
import lilaclever.transport.InputBudget;
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
 * The server side of HTTP: assembles requests and writes responses, one after the other on a connection. A client that
 * sends nothing, an incomplete request or malformed data gets an error or is closed in good time, and can't take the
 * capacity of the others: connections, bytes of incomplete requests and the time for each request are limited.
 *
 * <p>Every close from this side is a lingering close (RFC 9112, section 9.6): only the sending direction is closed,
 * further input is read and dropped, and the client closes the connection. A close with unread input resets the
 * connection, which can destroy a response in flight.
 */
final class HttpServerFilter extends BaseFilter {
    static final int MAX_BODY_BYTES = 64 * 1024;
    /** Bytes of pipelined requests buffered while an earlier request is open. */
    private static final int MAX_PIPELINED_BYTES = 16 * 1024;
    /** Requests, and their bytes, over all connections, that are incomplete or that the event loop has not handled. */
    private static final long MAX_UNHANDLED_BYTES = 6 << 20;

    private static final int MAX_UNHANDLED_REQUESTS = 4_096;
    /** Requests of one connection that are handled before the others' input is read. */
    private static final int MAX_REQUESTS_PER_TURN = 16;
    /** Bytes of answers that one client, and all together, have not read: above that their requests wait. */
    private static final int MAX_UNREAD_ANSWER_BYTES = 16 * 1024, MAX_ALL_UNREAD_ANSWER_BYTES = 2 << 20;
    /** What a request takes in memory beside its headers and its body. */
    private static final int REQUEST_OVERHEAD_BYTES = 1_024;
    /** Time for a new connection to send its first byte, and for a request to be complete. */
    private static final long FIRST_BYTE_TIMEOUT_MICROS = 2_000_000, REQUEST_TIMEOUT_MICROS = 2_000_000;
    /** Time that an idle connection stays open, and the shorter one above {@code keepAliveLimit}. */
    private static final long IDLE_TIMEOUT_MICROS = 15_000_000, SHORT_IDLE_TIMEOUT_MICROS = 2_200_000;

    private static final long MAX_CHECK_INTERVAL_MICROS = 500_000, MIN_CHECK_INTERVAL_MICROS = 20_000;
    /** Time for a new connection's first request to arrive before it is evicted in preference to an idle one. */
    private static final long NEW_CONNECTION_GRACE_MICROS = 100_000;
    /** Time for the client to receive its last response; after it the connection is closed with the rest unwritten. */
    private static final long WRITE_TIMEOUT_MICROS = 2_000_000;
    /**
     * How long, and over how many bytes, a connection whose sending direction is closed waits for the client to close
     * it.
     */
    private static final long LINGER_MICROS = 1_000_000, MAX_LINGER_BYTES = 1 << 20;
    /**
     * One in this many connections is reserved for those that linger, and for new ones that are asked to retry later.
     */
    private static final int CLOSING_RESERVE_DIVISOR = 8;

    private static final int READ_BUFFER_BYTES = 16 * 1024;
    private static final byte[] EMPTY_BODY = {};
    private static final byte[] CONTINUE = "HTTP/1.1 100 Continue\r\n\r\n".getBytes(StandardCharsets.US_ASCII);

    /** A request; headers by lower-case name, {@code headerBytes} is what they take in memory. */
    record Request(
            String method,
            String path,
            Map<String, String> headers,
            int headerBytes,
            byte[] body,
            long arrivedMicros,
            Exchange exchange) {
        private int unhandledBytes() {
            return headerBytes + body.length + REQUEST_OVERHEAD_BYTES;
        }
    }

    private final Core core;
    private final int maxConnections, keepAliveLimit;
    private final Consumer<Request> handler;
    private final Set<Client> clients = new LinkedHashSet<>();
    private final AcceptQueue<Client> acceptQueue;
    /** The clients that are to close or that linger, oldest first; guarded by {@code clients}. */
    private final Set<Client> closingClients = new LinkedHashSet<>();

    private final Attribute<Client> clientAttribute =
            Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("HttpServerFilter.client");
    /** Bytes of incomplete and of pipelined requests. */
    private final AtomicLong incompleteBytes = new AtomicLong();
    /** The requests that the event loop has not handled; they outlast their connections. */
    private final InputBudget unhandled = new InputBudget(MAX_UNHANDLED_REQUESTS, MAX_UNHANDLED_BYTES);

    /** Bytes of answers that are not wholly in the sockets' buffers, over all connections. */
    private final AtomicLong unreadAnswerBytes = new AtomicLong();

    private volatile boolean isClosing;
    private volatile int acceptedCount;

    /**
     * At most {@code maxConnections} connections. With more than {@code keepAliveLimit} of them none stays idle:
     * otherwise a platform with few descriptors would have none left for the next client. The handler is called on the
     * selector thread.
     */
    HttpServerFilter(Core core, int maxConnections, int keepAliveLimit, Consumer<Request> handler) {
        this.core = core;
        this.maxConnections = maxConnections;
        this.keepAliveLimit = keepAliveLimit;
        this.acceptQueue = new AcceptQueue<>(core::post, Client::checkExpiry);
        this.handler = handler;
    }

    /**
     * One connection. Bytes arrive on the selector thread and responses are written on the event loop; a lock admits
     * one at a time.
     */
    private final class Client {
        private final Connection<?> connection;
        private final HttpMessageReader reader = new HttpMessageReader(false, MAX_BODY_BYTES);
        private final ByteArrayOutputStream pipelined = new ByteArrayOutputStream(0);
        private final AtomicLong countedBytes = new AtomicLong();
        /** Start of the current state: connection opened, first byte of a request received, or response finished. */
        private volatile long stateSinceMicros = Core.monotonicMicros();

        private volatile boolean hasRequested, isPartlyRead, hasOpenRequest, isLingering;
        /** The last response has been queued for writing: further input is dropped. */
        private volatile boolean isFinished;
        /** The client has closed its sending direction, and may still read. */
        private volatile boolean isInputEnded;
        /** Bytes that were read but not parsed, as a request before them is being handled. */
        private volatile int unprocessedBytes;
        /** More pipelined data arrived than there is room for, and the excess is lost. */
        private boolean isTruncated;
        /** Whether the open request is of HTTP/1.1. */
        private boolean acceptsInterimResponses;
        /** Writes, and their bytes, that are not wholly in the socket's buffer yet. */
        private int pendingWrites;

        private int pendingWriteBytes;
        /** Since when the client has read none of the answers that its next request waits for; 0 if none waits. */
        private volatile long backedUpSinceMicros;
        /** Requests handled since the last turn of this connection began. */
        private int requestsInTurn;

        private boolean isTurnScheduled;
        private boolean isReadingSuspended;
        private boolean isRemoved;

        /** It arrived while all capacity was taken by clients waiting for a response, and is asked to retry later. */
        private volatile boolean isOverLimit;

        private long droppedBytes;

        Client(Connection<?> connection) {
            this.connection = connection;
        }

        /** Processes bytes read from the socket. */
        synchronized void received(byte[] in) {
            if (isLingering) {
                droppedBytes += in.length;
                if (droppedBytes > MAX_LINGER_BYTES) {
                    connection.terminateSilently();
                }
            } else if (!isTruncated) {
                requestsInTurn = 0;
                if (pipelined.size() > 0) {
                    bufferPipelined(in, 0);
                } else {
                    process(in);
                }
                updateReading();
            }
        }

        /**
         * Handles the end of the input. The client has either half-closed or closed the connection, which can't be
         * distinguished before something is written: a closed one answers that with a reset. An interim response, which
         * any HTTP/1.1 client has to ignore, shows it in time. Returns whether the connection stays open for a
         * response.
         */
        synchronized boolean onEndOfInput() {
            boolean hasUnanswered = hasOpenRequest || pipelined.size() > 0;
            boolean isBeingWritten = pendingWrites > 0 && (isFinished || !hasUnanswered) && !isLingering;
            boolean awaitsResponse = hasUnanswered && !isFinished && acceptsInterimResponses;
            isInputEnded = isBeingWritten || awaitsResponse;
            if (isBeingWritten) {
                closeOnceWritten();
            } else if (awaitsResponse) {
                sendProbe();
            }
            return isInputEnded;
        }

        private synchronized void sendProbe() {
            if (!isFinished) {
                write(CONTINUE, () -> {});
            }
        }

        /** Whether the client has disconnected, as far as is known, so that nothing would read a response. */
        boolean isDisconnected() {
            if (isInputEnded && connection.isOpen()) {
                sendProbe();
            }
            return !connection.isOpen();
        }

        private void process(byte[] in) {
            int at = 0;
            while (at < in.length && !isFinished && connection.isOpen()) {
                if (hasOpenRequest || mustPause()) {
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
            if (!hasOpenRequest && requestsInTurn >= MAX_REQUESTS_PER_TURN && pipelined.size() > 0) {
                scheduleTurn();
            }
        }

        /** Whether no further request is handled now: others have their turn first, or answers are to be read first. */
        private boolean mustPause() {
            return requestsInTurn >= MAX_REQUESTS_PER_TURN || backedUpSinceMicros != 0;
        }

        private void scheduleTurn() {
            if (!isTurnScheduled) {
                isTurnScheduled = true;
                Transport.runOnSelector(connection, this::processPipelined);
            }
        }

        /** Handles buffered requests, once what they waited for is over. Selector thread. */
        private synchronized void processPipelined() {
            isTurnScheduled = false;
            requestsInTurn = 0;
            if (!hasOpenRequest && !isFinished) {
                byte[] bytes = pipelined.toByteArray();
                pipelined.reset();
                countIncomplete(0);
                process(bytes);
                closeIfDone();
            }
            updateReading();
        }

        /**
         * Suspends reading while requests wait for their turn or for the client to read: it has to wait as well. While
         * a request is open input is read, which shows whether the client has left. Selector thread.
         */
        private void updateReading() {
            boolean suspends = !hasOpenRequest && !isFinished && (pipelined.size() > 0 || backedUpSinceMicros != 0);
            if (suspends == isReadingSuspended || isInputEnded || !connection.isOpen()) {
                return;
            }
            isReadingSuspended = suspends;
            try {
                if (suspends) {
                    connection.disableIOEvent(IOEvent.READ);
                } else {
                    connection.enableIOEvent(IOEvent.READ);
                }
            } catch (IOException e) {
                connection.closeSilently(); // it is closed already
            }
        }

        /** Buffers a pipelined request until the open one has its response, as far as there is room. */
        private void bufferPipelined(byte[] in, int from) {
            int room = isFull() ? 0 : MAX_PIPELINED_BYTES - pipelined.size();
            int size = Math.min(room, in.length - from);
            pipelined.write(in, from, size);
            countIncomplete(pipelined.size());
            isTruncated |= size < in.length - from;
        }

        /** Reads up to the end of a request; returns the offset of the next one. */
        private int read(byte[] in, int from) {
            if (!isPartlyRead) {
                isPartlyRead = true;
                // The time for the first request runs from the opening of the connection.
                stateSinceMicros = hasRequested ? Core.monotonicMicros() : stateSinceMicros;
            }
            try {
                int at = reader.read(in, from, in.length);
                countIncomplete(reader.isComplete() ? 0 : reader.bufferedBytes());
                if (!makesRoom(this)) {
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
            requestsInTurn++;
            acceptsInterimResponses = reader.acceptsInterimResponses();
            if (isOverLimit) {
                reject(503);
                return;
            }
            Request request = new Request(
                    reader.method(),
                    reader.path(),
                    reader.headers(),
                    reader.headerBytes(),
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

        /** Responds with an error and closes: what follows can't be distinguished from the rest of this request. */
        private synchronized void reject(int status) {
            if (!isFinished) {
                reader.reset();
                countIncomplete(0);
                core.counters().add(Name.BAD_REQUESTS);
                Map<String, String> headers = status == 503 ? Map.of("Retry-After", "1") : Map.of();
                write(HttpMessageWriter.response(status, headers, true, EMPTY_BODY), () -> {});
                closeOnceWritten();
            }
        }

        /** Queues bytes behind those being written; {@code onFailed} runs if they can't be written. */
        private synchronized void write(byte[] bytes, Runnable onFailed) {
            countPendingWrite(1, bytes.length);
            Transport.write(connection, bytes, () -> onWritten(bytes.length), () -> {
                connection.closeSilently();
                onFailed.run();
            });
        }

        private void countPendingWrite(int writes, int bytes) {
            pendingWrites += writes;
            if (isRemoved) {
                return;
            }
            pendingWriteBytes += bytes;
            long all = unreadAnswerBytes.addAndGet(bytes);
            boolean isBackedUp = pendingWriteBytes > MAX_UNREAD_ANSWER_BYTES
                    || pendingWriteBytes > 0 && all > MAX_ALL_UNREAD_ANSWER_BYTES;
            if (!isBackedUp) {
                backedUpSinceMicros = 0;
            } else if (backedUpSinceMicros == 0 || writes < 0) {
                backedUpSinceMicros = Core.monotonicMicros();
            }
        }

        private synchronized void onWritten(int bytes) {
            boolean wasBackedUp = backedUpSinceMicros != 0;
            countPendingWrite(-1, -bytes);
            if (isFinished) {
                lingerOnceWritten();
            } else if (wasBackedUp && backedUpSinceMicros == 0) {
                scheduleTurn();
            }
        }

        /** What was not written is not counted any more, as the connection has ended. */
        private synchronized void forgetPendingWrites() {
            isRemoved = true;
            unreadAnswerBytes.addAndGet(-pendingWriteBytes);
            pendingWriteBytes = 0;
        }

        private synchronized void onResponded() {
            stateSinceMicros = Core.monotonicMicros();
            hasOpenRequest = false;
            if (unprocessedBytes == 0 && (pipelined.size() > 0 || isReadingSuspended)) {
                scheduleTurn();
            } else {
                closeIfDone();
            }
        }

        /** Closes the connection once all that can be read of its input is handled. */
        private void closeIfDone() {
            boolean isDone = !hasOpenRequest && unprocessedBytes == 0 && pipelined.size() == 0;
            if (isTruncated && isDone) {
                reject(503); // the rest of the pipelined data is lost
            } else if (isInputEnded && isDone) {
                closeOnceWritten(); // an incomplete request will never be completed
            } else if (isClosing) {
                closeIfIdle(); // the connections that were idle are closed already
            }
        }

        /** Whether pipelined requests, or parts of one, wait for the response to this one. */
        private boolean hasPipelined() {
            return pipelined.size() > 0 || isTruncated || unprocessedBytes > 0;
        }

        /** The bytes of an incomplete request that it could be turned away with; 0 where it has none. */
        private long incompleteRequestBytes() {
            return isPartlyRead && !hasOpenRequest && !isFinished ? countedBytes.get() : 0;
        }

        /** Turns the client away in favour of others, unless its request has become whole; returns whether it did. */
        private synchronized boolean turnAway() {
            boolean isIncomplete = incompleteRequestBytes() > 0;
            if (isIncomplete) {
                reject(503);
            }
            return isIncomplete;
        }

        /** Marks the last response as queued for writing: input is dropped from now on until the client closes. */
        private synchronized void closeOnceWritten() {
            if (!isFinished) {
                isFinished = true;
                stateSinceMicros = Core.monotonicMicros();
                lingerOnceWritten();
            }
        }

        /** Closes the sending direction once all is written: an earlier end would cut a response off. */
        private void lingerOnceWritten() {
            if (pendingWrites == 0 && !isLingering && connection.isOpen()) {
                isLingering = true;
                stateSinceMicros = Core.monotonicMicros();
                synchronized (clients) {
                    closingClients.add(this);
                }
                Transport.shutdownOutput(connection);
                if (isInputEnded) {
                    connection.closeSilently(); // no input is left to read
                }
            }
        }

        private boolean isIdle() {
            return !hasOpenRequest && !isPartlyRead && unprocessedBytes == 0 && pipelined.size() == 0;
        }

        /** The time at which the connection expires unless its state changes. */
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
            long waitsSinceMicros = backedUpSinceMicros;
            if (waitsSinceMicros != 0) {
                return waitsSinceMicros + WRITE_TIMEOUT_MICROS;
            }
            long timeoutMicros = isPartlyRead
                    ? REQUEST_TIMEOUT_MICROS
                    : !hasRequested
                            ? FIRST_BYTE_TIMEOUT_MICROS
                            : connectionCount() > keepAliveLimit ? SHORT_IDLE_TIMEOUT_MICROS : IDLE_TIMEOUT_MICROS;
            return stateSinceMicros + timeoutMicros;
        }

        /**
         * Closes the connection if it is still expired. Runs on the selector thread once pending input is read, since
         * a connection that looked idle may have a request in its socket. Later input is sent again by the client on
         * another connection and must not be read as a request here.
         */
        private synchronized void closeIfExpired() {
            if (Core.monotonicMicros() < expiresAtMicros()) {
                return;
            }
            if (isFinished || backedUpSinceMicros != 0) {
                connection.terminateSilently(); // a plain close would wait for the client to read
            } else if (isPartlyRead) {
                reject(408);
            } else {
                closeOnceWritten();
            }
        }

        /** Closes the connection if it is idle, whatever the time. */
        private synchronized void closeIfIdle() {
            if (isIdle()) {
                closeOnceWritten();
            }
        }

        /**
         * Closes the connection to make room, unless a request has arrived meanwhile: its response then closes it, as
         * there are too many connections.
         */
        private synchronized void evict() {
            if (isIdle()) {
                closeOnceWritten();
            } else if (!isFinished) {
                synchronized (clients) {
                    closingClients.remove(this);
                }
            }
        }

        /** Closes the connection now unless it has an open request or an unwritten response; returns whether it did. */
        private synchronized boolean tryCloseNow() {
            boolean isFree = isLingering || isIdle() && pendingWrites == 0;
            if (isFree) {
                isFinished = true;
                connection.closeSilently();
            }
            return isFree;
        }

        /** Checks the connection for expiry until it is closed. Event loop. */
        private void checkExpiry() {
            if (!connection.isOpen()) {
                return;
            }
            long nowMicros = core.nowMicros();
            if (nowMicros >= expiresAtMicros()) {
                Transport.runAfterReading(connection, this::closeIfExpired);
            }
            core.deadlines()
                    .schedule(
                            nowMicros
                                    + Math.max(
                                            MIN_CHECK_INTERVAL_MICROS,
                                            Math.min(MAX_CHECK_INTERVAL_MICROS, expiresAtMicros() - nowMicros)),
                            this::checkExpiry);
        }
    }

    /** The response to one request. */
    final class Exchange {
        private final Client client;
        private final boolean keepAlive;
        /** Guarded by the client. */
        private boolean isAnswered;

        private Exchange(Client client, boolean keepAlive) {
            this.client = client;
            this.keepAlive = keepAlive;
        }

        boolean isClientDisconnected() {
            return client.isDisconnected();
        }

        /**
         * Writes the response; {@code onLost} runs if that fails. The client may receive it, and send its next request,
         * before this returns: that request must not be taken for a pipelined one. A connection that is to close does
         * so after the last request that was read in full. A second response is ignored.
         */
        void respond(int status, Map<String, String> headers, byte[] body, Runnable onLost) {
            synchronized (client) {
                if (isAnswered) {
                    return;
                }
                isAnswered = true;
                boolean staysOpen = keepAlive
                        && !client.isFinished
                        && (client.hasPipelined()
                                || !isClosing && !client.isInputEnded && connectionCount() <= keepAliveLimit);
                client.write(HttpMessageWriter.response(status, headers, !staysOpen, body), onLost);
                if (staysOpen) {
                    client.onResponded();
                } else {
                    client.closeOnceWritten();
                }
            }
        }
    }

    /** Whether the requests of all connections take so much that no further one may be read. */
    private boolean isFull() {
        return !unhandled.hasRoom() || incompleteBytes.get() + unhandled.bytes() > MAX_UNHANDLED_BYTES;
    }

    /**
     * Makes room where the requests of all connections take too much: the client with the largest incomplete request is
     * turned away. Returns whether the given one may go on, which holds as long as another has more. Selector thread,
     * which alone takes the locks of two clients.
     */
    private boolean makesRoom(Client reading) {
        while (isFull()) {
            Client largest = largestIncomplete();
            if (largest == null
                    || largest.incompleteRequestBytes() <= reading.incompleteRequestBytes()
                    || !largest.turnAway()) {
                return false;
            }
        }
        return true;
    }

    private Client largestIncomplete() {
        Client largest = null;
        synchronized (clients) {
            for (Client each : clients) {
                if (largest == null || each.incompleteRequestBytes() > largest.incompleteRequestBytes()) {
                    largest = each;
                }
            }
        }
        return largest;
    }

    /** Passes a request on to the event loop, where it counts as handled once the task has run. */
    void post(Request request, Runnable task) {
        int bytes = request.unhandledBytes();
        unhandled.add(bytes);
        core.post(() -> {
            try {
                task.run();
            } finally {
                unhandled.remove(1, bytes);
            }
        });
    }

    /** The number of requests that have been read whole and that the event loop has not handled. Any thread. */
    int unhandledCount() {
        return unhandled.pieces();
    }

    /** The bytes of answers that clients have not read, beyond the sockets' buffers. Any thread. */
    long unreadAnswerBytes() {
        return unreadAnswerBytes.get();
    }

    /** Returns the filter chain of a client connection. */
    FilterChain chain() {
        return FilterChainBuilder.stateless().add(new SocketFilter()).add(this).build();
    }

    /** Reads and writes the socket. The end of the client's input does not close the connection before a response. */
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
                    connection.disableIOEvent(IOEvent.READ); // otherwise the end of input would be read over and over
                } else {
                    connection.terminateSilently();
                }
            }
            return context.getStopAction();
        }
    }

    /** Returns the number of connections. */
    int connectionCount() {
        synchronized (clients) {
            return clients.size();
        }
    }

    /** Closes idle connections at once, the others after their response, and new ones on arrival. */
    void close() {
        isClosing = true;
        List<Client> all;
        synchronized (clients) {
            all = List.copyOf(clients);
        }
        all.forEach(c -> Transport.runAfterReading(c.connection, c::closeIfIdle));
    }

    /** Returns the number of connections accepted since the start. */
    int acceptedCount() {
        return acceptedCount;
    }

    /** Whether no connection is left; before that, a request may still be read that needs its response. */
    boolean isClosed() {
        return connectionCount() == 0;
    }

    /**
     * Chooses the connection to evict: the oldest without a request, if it had time to send one; then the one idle for
     * longest, as its client will open a new connection; then any without a request. The newest is chosen only where
     * all others wait for a response: its request would have failed.
     */
    private Client evictionCandidate(Client newest) {
        long nowMicros = Core.monotonicMicros();
        Client withoutRequest = null, idle = null;
        for (Client c : clients) {
            if (closingClients.contains(c)) {
                continue;
            }
            if (!c.hasRequested && c != newest && withoutRequest == null) {
                withoutRequest = c; // in the order of opening: the first is the oldest
            }
            if (c.hasRequested && c.isIdle() && (idle == null || c.stateSinceMicros < idle.stateSinceMicros)) {
                idle = c;
            }
        }
        return withoutRequest != null
                        && (nowMicros - withoutRequest.stateSinceMicros > NEW_CONNECTION_GRACE_MICROS || idle == null)
                ? withoutRequest
                : idle != null ? idle : newest;
    }

    /**
     * Makes room for a new connection: another one is evicted, and above the limit of connections one is closed at
     * once.
     */
    private void evictFor(Client newest) {
        Client evicted = null;
        boolean isFull;
        synchronized (clients) {
            if (clients.size() - closingClients.size() > maxConnections - maxConnections / CLOSING_RESERVE_DIVISOR) {
                evicted = evictionCandidate(newest);
                evicted.isOverLimit = evicted == newest;
                closingClients.add(evicted);
            }
            isFull = clients.size() > maxConnections;
        }
        if (evicted != null) {
            core.counters().add(Name.CROWDED_OUT);
            if (evicted != newest) {
                Transport.runAfterReading(evicted.connection, evicted::evict);
            }
        }
        if (isFull) {
            closeOneClosing(newest);
        }
    }

    /**
     * Closes the first of the closing connections without a pending response; else the newest one, which nothing was
     * read from. One that was chosen while idle may have received a request since, which has to be answered.
     */
    private void closeOneClosing(Client newest) {
        List<Client> candidates;
        synchronized (clients) {
            candidates = new ArrayList<>(closingClients);
        }
        candidates.remove(newest);
        candidates.sort(Comparator.comparing(each -> !each.isLingering)); // stable: keeps the order within each group
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
        acceptQueue.add(client);
        return context.getInvokeAction();
    }

    private void remove(Client client) {
        client.countIncomplete(0);
        client.forgetPendingWrites();
        synchronized (clients) {
            clients.remove(client);
            closingClients.remove(client);
        }
    }

    @Override
    public NextAction handleClose(FilterChainContext context) {
        Client client = clientAttribute.get(context.getConnection());
        if (client != null) {
            acceptQueue.remove(client);
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
