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
 * The server side of HTTP: assembles requests and writes responses, one after the other on a connection. A client that
 * sends nothing, an incomplete request or malformed data gets an error or is closed in good time, and can't take the
 * capacity of the others: connections, bytes of incomplete requests and the time for each request are limited.
 *
 * <p>Every close from this side is a lingering close (RFC 9112, section 9.6): only the sending direction is closed,
 * further input is read and dropped, and the client closes the connection. A close with unread input resets the
 * connection, which can destroy a response in flight.
 */
final class IntakeFilter extends BaseFilter {
    static final int LARGEST_BODY = 64 * 1024;
    /** Bytes of pipelined requests buffered while an earlier request is open. */
    private static final int MOST_AHEAD = 16 * 1024;
    /** Bytes of incomplete requests over all connections. */
    private static final long MOST_GATHERED = 6 << 20;
    /** Time for a new connection to send its first byte, and for a request to be complete. */
    private static final long SILENT = 2_000_000, WHOLE_BY = 2_000_000;
    /** Time that an idle connection stays open, and the shorter one above {@code keepAliveLimit}. */
    private static final long IDLE = 15_000_000, IDLE_CROWDED = 2_200_000;

    private static final long LOOK = 500_000, LEAST_LOOK = 20_000;
    /**
     * Time for the first request of a new connection to arrive before the connection may be evicted for lack of room.
     */
    private static final long NEW = 100_000;
    /** Time for the client to receive its last response; after it the connection is closed with the rest unwritten. */
    private static final long WRITTEN_BY = 2_000_000;
    /**
     * How long, and over how many bytes, a connection whose sending direction is closed waits for the client to close
     * it.
     */
    private static final long LINGER = 1_000_000, MOST_DROPPED = 1 << 20;
    /**
     * One in this many connections is reserved for those that linger, and for new ones that are told to retry later.
     */
    private static final int LEAVING_PART = 8;

    private static final int READ_BUFFER = 16 * 1024;
    private static final byte[] NOTHING = {};
    private static final byte[] CONTINUE = "HTTP/1.1 100 Continue\r\n\r\n".getBytes(StandardCharsets.US_ASCII);

    /** A request; headers by lower-case name. */
    record Request(
            String method,
            String path,
            Map<String, String> headers,
            byte[] body,
            long arrivedMicros,
            Exchange exchange) {}

    private final Core core;
    private final int most, crowd;
    private final Consumer<Request> handler;
    private final Set<Client> clients = new LinkedHashSet<>();
    /** The clients that are to close or that linger, oldest first; guarded by {@code clients}. */
    private final Set<Client> leaving = new LinkedHashSet<>();

    private final Attribute<Client> clientOf = Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("HttpServerFilter.client");
    private final AtomicLong gathered = new AtomicLong();
    private volatile boolean closing;
    private volatile int accepted;

    /**
     * At most {@code maxConnections} connections. With more than {@code keepAliveLimit} of them none stays idle:
     * otherwise a platform with few descriptors would have none left for the next client. The handler is called on the
     * selector thread.
     */
    IntakeFilter(Core core, int most, int crowd, Consumer<Request> handler) {
        this.core = core;
        this.most = most;
        this.crowd = crowd;
        this.handler = handler;
    }

    /**
     * One connection. Bytes arrive on the selector thread and responses are written on the loop thread; a lock admits
     * one at a time.
     */
    private final class Client {
        private final Connection<?> connection;
        private final MessageReader reader = new MessageReader(false, LARGEST_BODY);
        private final ByteArrayOutputStream ahead = new ByteArrayOutputStream(0);
        private final AtomicLong counted = new AtomicLong();
        /** Start of the current state: connection opened, first byte of a request received, or response finished. */
        private volatile long since = Core.micros();

        private volatile boolean asked, partial, answering, lingering;
        /** The last response has been passed on: further input is dropped. */
        private volatile boolean ended;
        /** The client has closed its sending direction, and may still read. */
        private volatile boolean inputEnded;
        /** Bytes that were read but not parsed, as a request before them is being handled. */
        private volatile int unprocessed;
        /** More pipelined data arrived than there is room for, and the excess is lost. */
        private boolean truncated;
        /** Whether the open request is of HTTP/1.1. */
        private boolean takesInterimAnswers;
        /** Writes that are not wholly in the socket's buffer yet. */
        private int writes;

        /** It arrived while all capacity was taken by clients waiting for a response, and is told to retry later. */
        private volatile boolean tooMany;

        private long dropped;

        Client(Connection<?> connection) {
            this.connection = connection;
        }

        /** Processes bytes read from the socket. */
        synchronized void received(byte[] in) {
            if (lingering) {
                dropped += in.length;
                if (dropped > MOST_DROPPED) {
                    connection.terminateSilently();
                }
            } else if (!truncated) {
                process(in);
            }
        }

        /**
         * Handles the end of the input. The client has either half-closed or closed the connection, which can't be told
         * apart before something is written: a closed one answers that with a reset. An interim response, which any
         * HTTP/1.1 client has to ignore, shows it in time. Returns whether the connection stays open for a response.
         */
        synchronized boolean endOfInput() {
            boolean isBeingWritten = writes > 0 && (ended || !answering) && !lingering;
            boolean awaitsAnswer = answering && !ended && takesInterimAnswers;
            inputEnded = isBeingWritten || awaitsAnswer;
            if (isBeingWritten) {
                closeOnceWritten();
            } else if (awaitsAnswer) {
                probe();
            }
            return inputEnded;
        }

        private synchronized void probe() {
            if (!ended) {
                write(CONTINUE, () -> {});
            }
        }

        /** Whether the client has gone, as far as is known, so that nothing would read a response. */
        boolean isGone() {
            if (inputEnded && connection.isOpen()) {
                probe();
            }
            return !connection.isOpen();
        }

        private void process(byte[] in) {
            int at = 0;
            while (at < in.length && !ended) {
                if (answering) {
                    keepForLater(in, at);
                    at = in.length;
                } else {
                    at = read(in, at);
                }
                unprocessed = in.length - at;
                if (!answering && !ended && reader.isComplete()) {
                    whole();
                }
            }
            unprocessed = 0;
        }

        /** Buffers a pipelined request until the open one has its response, as far as there is room. */
        private void keepForLater(byte[] in, int from) {
            int size = Math.min(MOST_AHEAD - ahead.size(), in.length - from);
            ahead.write(in, from, size);
            truncated |= size < in.length - from;
        }

        /** Reads up to the end of a request; returns the offset of the next one. */
        private int read(byte[] in, int from) {
            if (!partial) {
                partial = true;
                since = asked ? Core.micros() : since; // the first one: since the connection opened
            }
            try {
                int at = reader.read(in, from, in.length);
                count(reader.isComplete() ? 0 : reader.size());
                if (gathered.get() > MOST_GATHERED) {
                    refuse(503);
                } else if (reader.awaitsContinue()) {
                    write(CONTINUE, () -> {});
                }
                return at;
            } catch (MessageReader.Spoilt e) {
                refuse(e.status);
                return in.length;
            }
        }

        private void count(long size) {
            gathered.addAndGet(size - counted.getAndSet(size));
        }

        private void whole() {
            partial = false;
            asked = true;
            answering = true;
            takesInterimAnswers = reader.takesInterimAnswers();
            if (tooMany) {
                refuse(503);
                return;
            }
            Request request = new Request(
                    reader.method(),
                    reader.path(),
                    reader.headers(),
                    reader.body(),
                    Core.micros(),
                    new Exchange(this, reader.keeps()));
            reader.next();
            try {
                handler.accept(request);
            } catch (RuntimeException e) {
                Logs.error("", "request-failed", "a request could not be handled: " + e, e);
                request.exchange().answer(500, Map.of(), NOTHING, () -> {});
            }
        }

        /** Responds with an error and closes: what follows can't be told apart from the rest of this request. */
        private synchronized void refuse(int status) {
            if (!ended) {
                core.counters().add(Name.BAD_REQUESTS);
                Map<String, String> headers = status == 503 ? Map.of("Retry-After", "1") : Map.of();
                write(Head.answer(status, headers, true, NOTHING), () -> {});
                closeOnceWritten();
            }
        }

        /** Queues bytes behind those being written; {@code onFailed} runs if they can't be written. */
        private synchronized void write(byte[] bytes, Runnable failed) {
            writes++;
            Transport.write(connection, bytes, this::written, () -> {
                connection.closeSilently();
                failed.run();
            });
        }

        private synchronized void written() {
            writes--;
            if (ended) {
                linger();
            }
        }

        private synchronized void answered() {
            since = Core.micros();
            answering = false;
            byte[] waiting = ahead.toByteArray();
            ahead.reset();
            if (waiting.length > 0) {
                process(waiting);
            }
            if (truncated && !answering && unprocessed == 0) {
                refuse(503); // the rest of the pipelined data is lost
            } else if (inputEnded && !answering && unprocessed == 0) {
                closeOnceWritten(); // an incomplete request will never be completed
            } else if (closing) {
                closeIfIdle(); // the connections that were idle are closed already
            }
        }

        /** Whether pipelined requests, or parts of one, wait for the response to this one. */
        private boolean hasMore() {
            return ahead.size() > 0 || truncated || unprocessed > 0;
        }

        /** Marks the last response as passed on: input is dropped from now on until the client closes. */
        private synchronized void closeOnceWritten() {
            if (!ended) {
                ended = true;
                since = Core.micros();
                linger();
            }
        }

        /** Closes the sending direction once all is written: an earlier end would cut a response off. */
        private void linger() {
            if (writes == 0 && !lingering && connection.isOpen()) {
                lingering = true;
                since = Core.micros();
                synchronized (clients) {
                    leaving.add(this);
                }
                Transport.endSending(connection);
                if (inputEnded) {
                    connection.closeSilently(); // no input is left to read
                }
            }
        }

        private boolean isIdle() {
            return !answering && !partial && unprocessed == 0;
        }

        /** The time at which the connection expires unless its state changes. */
        private long due() {
            if (lingering) {
                return since + LINGER;
            }
            if (ended) {
                return since + WRITTEN_BY;
            }
            if (answering) {
                return Long.MAX_VALUE;
            }
            long time = partial ? WHOLE_BY : !asked ? SILENT : size() > crowd ? IDLE_CROWDED : IDLE;
            return since + time;
        }

        /**
         * Closes the connection if it is still expired. Runs on the selector thread once pending input is read, since
         * a connection that looked idle may have a request in its socket. Later input is sent again by the client on
         * another connection and must not be read as a request here.
         */
        private synchronized void over() {
            if (Core.micros() < due()) {
                return;
            }
            if (ended) {
                connection.closeSilently();
            } else if (partial) {
                refuse(408);
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
        private synchronized void makeRoom() {
            if (isIdle()) {
                closeOnceWritten();
            } else if (!ended) {
                synchronized (clients) {
                    leaving.remove(this);
                }
            }
        }

        /** Closes the connection now unless it has an open request or an unwritten response; returns whether it did. */
        private synchronized boolean closeNow() {
            boolean free = lingering || isIdle() && writes == 0;
            if (free) {
                ended = true;
                connection.closeSilently();
            }
            return free;
        }

        /** Checks the connection for expiry until it is closed. Loop thread. */
        private void look() {
            if (!connection.isOpen()) {
                return;
            }
            long now = core.now();
            if (now >= due()) {
                Transport.afterReading(connection, this::over);
            }
            core.deadlines().at(now + Math.max(LEAST_LOOK, Math.min(LOOK, due() - now)), this::look);
        }
    }

    /** The response to one request. */
    final class Exchange {
        private final Client client;
        private final boolean keep;
        /** Guarded by the client. */
        private boolean answered;

        private Exchange(Client client, boolean keep) {
            this.client = client;
            this.keep = keep;
        }

        boolean gone() {
            return client.isGone();
        }

        /**
         * Writes the response; {@code onLost} runs if that fails. The client may receive it, and send its next request,
         * before this returns: that request must not be taken for a pipelined one. A connection that is to close does
         * so after the last request that was read in full. A second response is ignored.
         */
        void answer(int status, Map<String, String> headers, byte[] body, Runnable lost) {
            synchronized (client) {
                if (answered) {
                    return;
                }
                answered = true;
                boolean stay = keep
                        && !client.ended
                        && (client.hasMore() || !closing && !client.inputEnded && size() <= crowd);
                client.write(Head.answer(status, headers, !stay, body), lost);
                if (stay) {
                    client.answered();
                } else {
                    client.closeOnceWritten();
                }
            }
        }
    }

    /** Returns the filter chain of a client connection. */
    FilterChain chain() {
        return FilterChainBuilder.stateless().add(new SocketFilter()).add(this).build();
    }

    /** Reads and writes the socket. The end of the client's input does not close the connection before a response. */
    private final class SocketFilter extends TransportFilter {
        /** Used on the selector thread alone. */
        private final ByteBuffer buffer = ByteBuffer.allocateDirect(READ_BUFFER);

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
                Client client = clientOf.get(connection);
                if (client != null && client.endOfInput()) {
                    connection.disableIOEvent(IOEvent.READ); // otherwise the end of input would be read over and over
                } else {
                    connection.terminateSilently();
                }
            }
            return context.getStopAction();
        }
    }

    /** Returns the number of connections. */
    int size() {
        synchronized (clients) {
            return clients.size();
        }
    }

    /** Closes idle connections at once, the others after their response, and new ones on arrival. */
    void close() {
        closing = true;
        List<Client> all;
        synchronized (clients) {
            all = List.copyOf(clients);
        }
        all.forEach(c -> Transport.afterReading(c.connection, c::closeIfIdle));
    }

    /** Returns the number of connections accepted since the start. */
    int accepted() {
        return accepted;
    }

    /** Whether no connection is left; before that, a request may still be read that needs its response. */
    boolean isClosed() {
        return size() == 0;
    }

    /**
     * Chooses the connection to evict: the oldest without a request, if it had time to send one; then the one idle for
     * longest, as its client will open a new connection; then any without a request. The newest is chosen only where
     * all others wait for a response: its request would have failed.
     */
    private Client leastWanted(Client newest) {
        long now = Core.micros();
        Client silent = null, idle = null;
        for (Client c : clients) {
            if (leaving.contains(c)) {
                continue;
            }
            if (!c.asked && c != newest && silent == null) {
                silent = c; // in the order of opening: the first is the oldest
            }
            if (c.asked && c.isIdle() && (idle == null || c.since < idle.since)) {
                idle = c;
            }
        }
        return silent != null && (now - silent.since > NEW || idle == null) ? silent : idle != null ? idle : newest;
    }

    /**
     * Makes room for a new connection: one of the others is evicted, and where all room is taken, one is closed now.
     */
    private void evictFor(Client newest) {
        Client out = null;
        boolean full;
        synchronized (clients) {
            if (clients.size() - leaving.size() > most - most / LEAVING_PART) {
                out = leastWanted(newest);
                out.tooMany = out == newest;
                leaving.add(out);
            }
            full = clients.size() > most;
        }
        if (out != null) {
            core.counters().add(Name.CROWDED_OUT);
            if (out != newest) {
                Transport.afterReading(out.connection, out::makeRoom);
            }
        }
        if (full) {
            closeOneOfLeaving(newest);
        }
    }

    /**
     * Closes the first of the closing connections without a pending response; else the newest one, which nothing was
     * read from. One that was chosen while idle may have received a request since, which has to be answered.
     */
    private void closeOneOfLeaving(Client newest) {
        List<Client> candidates;
        synchronized (clients) {
            candidates = new ArrayList<>(leaving);
        }
        candidates.remove(newest);
        candidates.sort(Comparator.comparing(each -> !each.lingering)); // stable: keeps the order within each group
        for (Client each : candidates) {
            if (each.closeNow()) {
                forget(each);
                return;
            }
        }
        newest.closeNow();
        forget(newest);
    }

    @Override
    public NextAction handleAccept(FilterChainContext context) {
        Client client = new Client(context.getConnection());
        clientOf.set(client.connection, client);
        accepted++; // on the selector thread alone
        synchronized (clients) {
            clients.add(client);
        }
        evictFor(client);
        core.post(client::look);
        return context.getInvokeAction();
    }

    private void forget(Client client) {
        client.count(0);
        synchronized (clients) {
            clients.remove(client);
            leaving.remove(client);
        }
    }

    @Override
    public NextAction handleClose(FilterChainContext context) {
        Client client = clientOf.get(context.getConnection());
        if (client != null) {
            forget(client);
        }
        return context.getInvokeAction();
    }

    @Override
    public NextAction handleRead(FilterChainContext context) {
        Client client = clientOf.get(context.getConnection());
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
