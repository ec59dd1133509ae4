package lilaclever.protocol.http;

import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.UnaryOperator;
import lilaclever.log.Logs;
import lilaclever.routing.Core;
import lilaclever.routing.Counters;
import lilaclever.routing.Deadlines;
import lilaclever.transport.ConnectionPool;
import lilaclever.transport.Transport;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.Grizzly;
import org.glassfish.grizzly.attributes.Attribute;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChain;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;

/**
 * Requests over HTTP/1.1, one at a time on a connection. Nothing is ever sent twice: a request that breaks is told
 * to its owner. Used from the loop thread; requests are written and answers read on the selector thread.
 */
final class HttpClient {
    private static final long SWEEP_INTERVAL_MICROS = 500_000;
    /** Part of the time that an endpoint keeps an idle connection after which it is dropped here. */
    private static final double KEEP_ALIVE_FRACTION = 0.8;
    /** Once a first line is here the rest follows at once, or the answer is spoilt. */
    private static final long REMAINDER_TIMEOUT_MICROS = 250_000;

    private static final int CONTENT_TOO_LARGE = 413;

    /** How a request went; one of the two is called, once, on the loop thread. */
    interface Listener {
        /** The whole answer is here. */
        void onResponse(int status, Map<String, String> headers, byte[] body);

        /**
         * No answer will come, or none that can be read. {@code written}: the request's last byte had been written.
         * {@code status}: what the answer's first line said, else 0.
         */
        void onFailure(boolean written, int status);

        /**
         * What an answer's head says, as soon as it is here, though the rest may never come or nobody may wait for it
         * any more; of one that can't be read, the part that can. Selector thread.
         */
        default void onHead(Map<String, String> headers) {}

        /** Whether the server is to get nothing new and keep no connection. Selector thread and loop thread. */
        default boolean isServerDraining() {
            return false;
        }

        /** Whether the request may go out at this moment, when all that had come before was read. Selector thread. */
        default boolean maySend() {
            return true;
        }

        /** Whether its time is up: from then on it is not written. Selector thread. */
        default boolean isExpired() {
            return false;
        }

        /** It might not go out any more, so its last byte was not written: called in place of the others. */
        default void onWithheld() {}
    }

    /**
     * What had come of an answer that is not whole.
     *
     * @param status what its first line says
     * @param headers by lower-case name, as far as they came
     * @param body as far as it came, up to the client's bound
     * @param isTooLarge whether it was refused because its body is longer than the bound
     */
    record PartialResponse(int status, Map<String, String> headers, byte[] body, boolean isTooLarge) {}

    private final Core core;
    private final Transport transport;
    private final long connectTimeoutMicros;
    private final int maxResponseBytes;
    private final boolean keepsPartialResponses;
    private final ConnectionPool<Connection<?>> pool;
    private final FilterChain chain = Transport.chain(new ResponseFilter());
    private final Attribute<ConnectionState> connectionStates;
    /** Requests whose first bytes are written and whose last are not, as the other side reads slowly. */
    private final Set<Exchange> partlyWritten = ConcurrentHashMap.newKeySet();

    /** A client whose answers have bodies up to so many bytes. */
    HttpClient(
            Core core,
            Transport transport,
            String name,
            long connectMicros,
            long keepAliveMicros,
            int mostIdle,
            int mostAnswer) {
        this(core, transport, name, connectMicros, keepAliveMicros, mostIdle, mostAnswer, false);
    }

    /**
     * The same. {@code keepsPartialAnswers}: what had come of an answer that breaks off, is given up or is too large
     * is kept for the owner of its request ({@link Exchange#partialResponsese}), who alone bounds the time that an answer
     * may take.
     */
    HttpClient(
            Core core,
            Transport transport,
            String name,
            long connectMicros,
            long keepAliveMicros,
            int mostIdle,
            int mostAnswer,
            boolean keepsPartialAnswers) {
        this.keepsPartialResponses = keepsPartialAnswers;
        this.core = core;
        this.transport = transport;
        this.connectTimeoutMicros = connectMicros;
        this.maxResponseBytes = mostAnswer;
        this.pool = ConnectionPool.ofSockets((long) (KEEP_ALIVE_FRACTION * keepAliveMicros), mostIdle);
        core.counters().entryGauge("idle_" + name, pool::size);
        core.counters().entryGauge("partly_written_" + name, partlyWritten::size);
        this.connectionStates = Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("HttpClient." + name);
    }

    /** Starts to drop connections that were idle for too long. */
    void start() {
        pool.closeExpired(core.nowMicros());
        core.deadlines().schedule(core.nowMicros() + SWEEP_INTERVAL_MICROS, this::start);
    }

    /** Closes what is idle under the name. */
    void closeIdle(String name) {
        pool.closeIdle(name);
    }

    /** Sends a request; headers by name. Connections are kept and found again under the owner's name. */
    Exchange send(
            String owner,
            String address,
            String method,
            String path,
            Map<String, String> headers,
            byte[] body,
            Listener listener) {
        Exchange exchange =
                new Exchange(owner, address, of -> HttpMessageWriter.request(method, path, address, headers, of), body, listener);
        exchange.start();
        return exchange;
    }

    /** A connection, and what is read from it. Selector thread. */
    private final class ConnectionState {
        private final Connection<?> connection;
        private final HttpMessageReader reader = new HttpMessageReader(true, maxResponseBytes, keepsPartialResponses);
        private volatile Exchange currentExchange;
        /** More came than was asked for: nobody may ask here again. */
        private volatile boolean isUnusable;

        private boolean isHeadReported;

        ConnectionState(Connection<?> connection) {
            this.connection = connection;
        }

        /** Writes the request, unless it was given up meanwhile or the connection is not as it should be. */
        boolean startExchange(Exchange exchange) {
            if (isUnusable || !Transport.isOpenAndSilent(connection)) {
                // Its idle time was used to close it, or for a word too many: that must not answer this request.
                connection.closeSilently();
                return false;
            }
            if (exchange.mayStart()) {
                currentExchange = exchange;
                exchange.write(this);
            } else {
                exchange.reportWithheld(connection);
            }
            return true;
        }

        void onBytes(byte[] in) {
            Exchange exchange = currentExchange;
            if (exchange == null) {
                discard(); // nobody asked: what follows can't be told from an answer
                return;
            }
            try {
                int at = reader.read(in, 0, in.length);
                if (reader.hasHead()) {
                    reportHead(exchange);
                }
                if (!exchange.isWritten) {
                    discard(); // it could not wait for the end of what it was asked
                    return;
                }
                exchange.status = reader.status();
                if (reader.isComplete()) {
                    complete(exchange, reader.keepsConnection() && at == in.length);
                } else if (exchange.status != 0) {
                    exchange.onStatusLine();
                }
            } catch (HttpMessageReader.InvalidMessageException e) {
                exchange.status = exchange.isWritten ? reader.status() : 0;
                savePartialResponse(exchange, e.status == CONTENT_TOO_LARGE);
                reportHead(exchange);
                discard();
            }
        }

        /** Keeps what has come of the answer, before the connection is closed. Selector thread. */
        private void savePartialResponse(Exchange exchange, boolean isTooLarge) {
            if (keepsPartialResponses && exchange.isWritten && exchange.partialResponse == null && reader.status() != 0) {
                exchange.partialResponse =
                        new PartialResponse(reader.status(), reader.headers(), reader.body(), isTooLarge);
            }
        }

        private void discard() {
            isUnusable = true;
            connection.closeSilently();
        }

        private void reportHead(Exchange exchange) {
            if (!isHeadReported) {
                isHeadReported = true;
                exchange.listener.onHead(reader.headers());
                partlyWritten.forEach(Exchange::abortIfWithheld);
            }
        }

        private void complete(Exchange exchange, boolean keep) {
            // From now on whatever comes is one too many, also before the loop has seen this answer.
            currentExchange = null;
            isHeadReported = false;
            isUnusable |= !keep;
            exchange.trace("answered");
            int status = reader.status();
            Map<String, String> headers = reader.headers();
            byte[] body = reader.body();
            reader.reset();
            core.post(() -> exchange.reportResponse(status, headers, body));
        }

        /** {@code remotely}: by the other side; an answer without a length ends so, and not by a close from here. */
        void onClosed(boolean remotely) {
            Exchange exchange = currentExchange;
            currentExchange = null;
            isUnusable = true;
            if (exchange != null) {
                partlyWritten.remove(exchange);
                reportHead(exchange);
            }
            if (exchange != null && exchange.isWritten && remotely && reader.status() != 0 && reader.completeAtClose()) {
                complete(exchange, false);
            } else if (exchange != null) {
                savePartialResponse(exchange, false);
                core.post(exchange::fail);
            }
        }
    }

    /** One request and what becomes of it. */
    final class Exchange {
        private final String poolKey, address;
        private final UnaryOperator<byte[]> encoder;
        private final Listener listener;
        private Deadlines.Key timeout;
        private boolean isDone;
        /** What is run once it is closed after a giving up. */
        private Runnable onGivenUp;
        /** Guarded by this: a request that was given up is not written, one that is being written is not unsent. */
        private boolean isGivenUp;

        private byte[] requestBytes;
        private ConnectionState connectionState;
        /** Set on the selector thread before the answer can be read there. */
        private volatile boolean isWritten;

        private volatile int status;
        /** What had come of an answer that is not whole; null if nothing had, or nobody wants it. */
        private volatile PartialResponse partialResponse;
        /** Its connection was closed before its last byte was written, since it might not go out any more. */
        private volatile boolean isAborted;

        private boolean usesNewConnection;
        /** Gives up a connection that is opened for it and is not up yet. */
        private Runnable cancelConnect = () -> {};

        private Exchange(String owner, String address, UnaryOperator<byte[]> form, byte[] body, Listener listener) {
            this.poolKey = owner;
            this.address = address;
            this.encoder = form;
            this.requestBytes = form.apply(body);
            this.listener = listener;
        }

        /** On an idle connection if there is one that is good, else on a new one. */
        private void start() {
            if (isDone) {
                return;
            }
            Connection<?> idle = pool.acquire(poolKey, core.nowMicros());
            if (idle == null) {
                connect();
                return;
            }
            ConnectionState kept = connectionStates.get(idle);
            Transport.runAfterReading(idle, () -> {
                if (!kept.startExchange(this)) {
                    core.post(this::start); // nothing was written: another one
                }
            });
        }

        private void connect() {
            usesNewConnection = true;
            timeout = core.deadlines().schedule(core.nowMicros() + connectTimeoutMicros, this::onTimeout);
            core.counters().add(Counters.Name.CONNECTIONS);
            cancelConnect = transport.connect(
                    Transport.parseAddress(address),
                    chain,
                    up -> {
                        trace("connected");
                        ConnectionState opened = new ConnectionState(up);
                        connectionStates.set(up, opened);
                        core.post(() -> core.deadlines().cancel(timeout));
                        Transport.runAfterReading(up, () -> {
                            if (!opened.startExchange(this)) {
                                core.post(this::fail);
                            }
                        });
                    },
                    problem -> core.post(this::fail));
        }

        /** The list, a wait or its own time may have changed since the loop began it. */
        private boolean mayStart() {
            return !listener.isServerDraining() && listener.maySend() && !listener.isExpired();
        }

        private synchronized void write(ConnectionState on) {
            if (isGivenUp) {
                on.connection.closeSilently();
                return;
            }
            connectionState = on;
            Transport.write(on.connection, requestBytes, this::onWritten, on.connection::closeSilently);
            if (!isWritten) {
                partlyWritten.add(this);
            }
        }

        private void onWritten() {
            isWritten = true;
            partlyWritten.remove(this);
            trace("written");
            if (!listener.maySend()) {
                core.post(() -> core.counters().checkInvariant(false, listener + " was written under no wait"));
            }
        }

        /** The rest of a request that is half written must not follow. Selector thread. */
        private void abortIfWithheld() {
            if (!isWritten && !listener.maySend()) {
                isAborted = true;
                partlyWritten.remove(this);
                connectionState.connection.terminateSilently(); // to close it would first write what is left
            }
        }

        private void trace(String event) {
            if (Logs.isDebug()) {
                Logs.debug("", event, event + ": " + listener);
            }
        }

        /** Nothing is written: the connection is as good as before. Selector thread. */
        private void reportWithheld(Connection<?> unused) {
            trace("withheld");
            core.post(() -> {
                if (isDone) {
                    unused.closeSilently();
                    return;
                }
                isDone = true;
                core.deadlines().cancel(timeout);
                releaseConnection(unused);
                listener.onWithheld();
            });
        }

        /** The first line is here. Selector thread. */
        private void onStatusLine() {
            if (keepsPartialResponses) {
                return; // the owner bounds the whole span of the answer
            }
            core.post(() -> {
                if (!isDone) {
                    core.deadlines().cancel(timeout);
                    timeout = core.deadlines().schedule(core.nowMicros() + REMAINDER_TIMEOUT_MICROS, this::onTimeout);
                }
            });
        }

        private void reportResponse(int said, Map<String, String> headers, byte[] body) {
            if (!isDone) {
                isDone = true;
                core.deadlines().cancel(timeout);
                if (connectionState.isUnusable || !connectionState.connection.isOpen()) {
                    connectionState.connection.closeSilently();
                } else {
                    releaseConnection(connectionState.connection);
                }
                listener.onResponse(said, headers, body);
            }
        }

        private void releaseConnection(Connection<?> unused) {
            if (listener.isServerDraining()) {
                unused.closeSilently();
            } else {
                pool.release(poolKey, unused, core.nowMicros());
            }
        }

        private void fail() {
            if (!isDone) {
                close();
                reportFailure();
            }
        }

        private void reportFailure() {
            if (isAborted) {
                listener.onWithheld();
            } else {
                listener.onFailure(isWritten, status);
            }
        }

        /**
         * Its time to connect, or to get the rest of its answer, is up. The selector thread may be writing it just now:
         * only there it is known whether its last byte has gone.
         */
        private void onTimeout() {
            if (!isDone) {
                giveUp(this::reportFailure);
            }
        }

        /** Has it carry another body; false if the first one may be on its way. */
        synchronized boolean replaceBody(byte[] body) {
            if (connectionState != null || isGivenUp) {
                return false;
            }
            requestBytes = encoder.apply(body);
            return true;
        }

        /** Whether its connection was opened for it. */
        boolean usesNewConnection() {
            return usesNewConnection;
        }

        /**
         * What had come of an answer that is not whole, once it broke off or was given up; null if nothing had, or this
         * client keeps none.
         */
        PartialResponse partialResponse() {
            return partialResponse;
        }

        /** What the first line of the answer has said so far; else 0. */
        int status() {
            return status;
        }

        /** Gives the request up by closing its connection; nothing more is told of it. */
        void close() {
            onGivenUp = null;
            ConnectionState open = finish();
            if (open != null) {
                open.connection.terminateSilently(); // to close it would first write what is left
            }
        }

        /**
         * The same, once what its endpoint has said until now is read: that may be a wait. An answer that crosses this
         * counts for nothing: it comes after the time that the endpoint was told. {@code closed} is run on the loop
         * thread; from then on {@link #isWritten} does not change.
         */
        void giveUp(Runnable closed) {
            onGivenUp = closed;
            ConnectionState open = finish();
            if (open == null) {
                core.post(this::reportGivenUp);
                return;
            }
            Transport.runAfterReading(open.connection, () -> {
                if (open.currentExchange == this) {
                    open.savePartialResponse(this, false);
                }
                open.connection.terminateSilently(); // on this thread nothing is being written meanwhile
                core.post(this::reportGivenUp);
            });
        }

        private void reportGivenUp() {
            Runnable closed = onGivenUp;
            onGivenUp = null;
            if (closed != null) {
                closed.run();
            }
        }

        /** Gives the request up if none of its bytes is written, and says whether it did. */
        boolean withdraw() {
            synchronized (this) {
                if (connectionState != null || isGivenUp || isDone) {
                    return false;
                }
                isGivenUp = true;
            }
            finish();
            return true;
        }

        /** Whether its last byte has been written. */
        boolean isWritten() {
            return isWritten;
        }

        /** Nobody waits for the answer any more; gives the connection that it may be on its way on, or null. */
        private ConnectionState finish() {
            isDone = true;
            core.deadlines().cancel(timeout);
            cancelConnect.run();
            synchronized (this) {
                isGivenUp = true;
                return connectionState;
            }
        }
    }

    /** Hands what is read to its link. */
    private final class ResponseFilter extends BaseFilter {
        @Override
        public NextAction handleRead(FilterChainContext context) {
            ConnectionState link = connectionStates.get(context.getConnection());
            byte[] bytes = Transport.toBytes(context.getMessage());
            if (link == null) {
                context.getConnection().closeSilently(); // it spoke before it was asked
            } else {
                link.onBytes(bytes);
            }
            return context.getStopAction();
        }

        @Override
        public NextAction handleClose(FilterChainContext context) {
            ConnectionState link = connectionStates.get(context.getConnection());
            if (link != null) {
                link.onClosed(Transport.isClosedByPeer(context.getConnection()));
            }
            return context.getInvokeAction();
        }

        @Override
        public void exceptionOccurred(FilterChainContext context, Throwable error) {
            context.getConnection().closeSilently(); // what can't be read is as good as a broken connection
        }
    }
}
