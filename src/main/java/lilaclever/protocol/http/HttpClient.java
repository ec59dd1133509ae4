package lilaclever.protocol.http;

import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.UnaryOperator;
import lilaclever.log.Logs;
import lilaclever.routing.Core;
import lilaclever.routing.Counters;
import lilaclever.routing.Deadlines;
import lilaclever.routing.Refutation;
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
 * HTTP/1.1 client with one request at a time on a connection. Requests are never resent: a failed request is reported
 * to its caller. Used on the event loop; requests are written and responses read on the selector thread.
 *
 * <p>A server may write a response again, and the copy may arrive after the next request was written. So a response
 * that may repeat an earlier one is confirmed by its content or by silence after it ({@link UnconfirmedResponses}), and
 * the connections of a server that does so rest before they are used again.
 */
final class HttpClient {
    private static final long SWEEP_INTERVAL_MICROS = 500_000;
    /** Idle connections are dropped after this fraction of the time for which an endpoint keeps them. */
    private static final double KEEP_ALIVE_FRACTION = 0.8;
    /** After a status line the rest follows at once; otherwise the response is malformed. */
    private static final long REMAINDER_TIMEOUT_MICROS = 250_000;

    /** How long connections rest between requests after a server has sent something unasked. */
    private static final long RESTING_PERIOD_MICROS = 60_000_000;

    private static final int CONTENT_TOO_LARGE = 413;

    /** Receives the outcome of a request. Exactly one of the outcome methods is called, once, on the event loop. */
    interface Listener {
        /**
         * The whole response has arrived. If it needs confirmation, either {@link #onConfirmed} or {@link #onRefuted}
         * follows.
         */
        void onResponse(HttpResponse response);

        /** Whether its content shows that the response belongs to this request. Event loop. */
        default boolean isOwnResponse(HttpResponse response) {
            return false;
        }

        /** By when the response should be confirmed if that is possible, microseconds. Event loop. */
        default long confirmByMicros(HttpResponse response) {
            return Long.MAX_VALUE;
        }

        /** The response belongs to this request. Event loop. */
        default void onConfirmed() {}

        /**
         * It is not known whether the response belongs to this request, which may have been processed. The connection
         * is closed. Event loop.
         */
        default void onRefuted(Refutation refutation) {}

        /** Whether a response with this status forbids to send its request again. Any thread. */
        default boolean forbidsResending(int status) {
            return false;
        }

        /**
         * No readable response will arrive. {@code written}: the request's last byte had been written. {@code status}:
         * the status from the response's status line, else 0.
         */
        void onFailure(boolean written, int status);

        /**
         * The headers of a response, as soon as they have arrived, even if the rest never arrives or the request was
         * given up; of a malformed head, the readable part. Selector thread.
         */
        default void onHead(Map<String, String> headers) {}

        /** Whether the server may get no new request and keep no connection. Selector thread and event loop. */
        default boolean isServerDraining() {
            return false;
        }

        /** Whether the request may be sent at this moment, given all that was read before. Selector thread. */
        default boolean maySend() {
            return true;
        }

        /** Whether the request has expired; it is not written from then on. Selector thread. */
        default boolean isExpired() {
            return false;
        }

        /**
         * The request was not allowed to be sent, so its last byte was not written: called instead of the other
         * outcomes.
         */
        default void onWithheld() {}
    }

    /**
     * An incomplete response as far as it was received.
     *
     * @param status from its status line
     * @param headers by lower-case name, as far as they arrived
     * @param body as far as it arrived, up to the client's limit
     * @param isTooLarge whether it was rejected because its body exceeds the limit
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
    /** Requests of which some but not all bytes are written, as the server reads slowly. */
    private final Set<Exchange> partlyWritten = ConcurrentHashMap.newKeySet();
    /** Until when connections rest between requests, since a server has sent something unasked. Event loop. */
    private long restingUntilMicros;

    /** Creates a client that accepts response bodies up to the given size. */
    HttpClient(
            Core core,
            Transport transport,
            String name,
            long connectTimeoutMicros,
            long keepAliveMicros,
            int maxIdle,
            int maxResponseBytes) {
        this(core, transport, name, connectTimeoutMicros, keepAliveMicros, maxIdle, maxResponseBytes, false);
    }

    /**
     * Creates a client. {@code keepsPartialResponses}: an incomplete or too large response is kept for the caller of
     * the request ({@link Exchange#partialResponse}), who alone limits the time that a response may take.
     */
    HttpClient(
            Core core,
            Transport transport,
            String name,
            long connectTimeoutMicros,
            long keepAliveMicros,
            int maxIdle,
            int maxResponseBytes,
            boolean keepsPartialResponses) {
        this.keepsPartialResponses = keepsPartialResponses;
        this.core = core;
        this.transport = transport;
        this.connectTimeoutMicros = connectTimeoutMicros;
        this.maxResponseBytes = maxResponseBytes;
        this.pool = new ConnectionPool<>(
                this::availability,
                (long) (KEEP_ALIVE_FRACTION * keepAliveMicros),
                maxIdle,
                Connection::isOpen,
                this::closeIdleConnection);
        core.counters().entryGauge("idle_" + name, pool::size);
        core.counters().entryGauge("partly_written_" + name, partlyWritten::size);
        this.connectionStates = Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("HttpClient." + name);
    }

    /** Starts the periodic removal of connections that were idle for too long. */
    void start() {
        pool.closeExpired(core.nowMicros());
        core.deadlines().schedule(core.nowMicros() + SWEEP_INTERVAL_MICROS, this::start);
    }

    /** Closes the idle connections of a pool key. */
    void closeIdle(String poolKey) {
        pool.closeIdle(poolKey);
    }

    /** Lets connections rest between requests from the start, whatever the servers send. */
    void restAlways() {
        restingUntilMicros = Long.MAX_VALUE;
    }

    private void restConnections() {
        restingUntilMicros = Math.max(restingUntilMicros, core.nowMicros() + RESTING_PERIOD_MICROS);
    }

    private void closeIdleConnection(Connection<?> idle) {
        connectionStates.get(idle).closeWhenConfirmed();
    }

    /** One that has rested, with all responses confirmed, is preferred: fewer of its next ones need confirmation. */
    private ConnectionPool.Availability availability(Connection<?> idle, long idleMicros) {
        ConnectionState state = connectionStates.get(idle);
        boolean hasRested = idleMicros >= UnconfirmedResponses.SILENCE_MICROS;
        if (state.unconfirmed.needSilence(core.nowMicros()) || !hasRested && core.nowMicros() < restingUntilMicros) {
            return ConnectionPool.Availability.RESTING;
        }
        return hasRested && state.unconfirmed.isEmpty()
                ? ConnectionPool.Availability.PREFERRED
                : ConnectionPool.Availability.USABLE;
    }

    /** Sends a request. Idle connections are pooled under the key. */
    Exchange send(
            String poolKey,
            String address,
            String method,
            String path,
            Map<String, String> headers,
            byte[] body,
            Listener listener) {
        Exchange exchange = new Exchange(
                poolKey, address, of -> HttpMessageWriter.request(method, path, address, headers, of), body, listener);
        exchange.start();
        return exchange;
    }

    /** A connection and the state of reading from it. Selector thread. */
    private final class ConnectionState {
        private final Connection<?> connection;
        /** Event loop. */
        private final UnconfirmedResponses unconfirmed = new UnconfirmedResponses();

        private Deadlines.Key silenceTimer;
        /** Whether the connection is to close once its responses are confirmed. Event loop. */
        private boolean isClosing;

        /** That of the latest request. Selector thread. */
        private Listener lastListener;

        /** How often something was read. Selector thread. */
        private long readCount;

        private final HttpMessageReader reader = new HttpMessageReader(true, maxResponseBytes, keepsPartialResponses);
        private final ResponseHistory history = new ResponseHistory();
        private volatile Exchange currentExchange;
        /** No further request may use this connection: it is to close or has received unsolicited bytes. */
        private volatile boolean isUnusable;

        private boolean isHeadReported;
        /** Whether a response that forbids to send its request again has arrived since no response waits. */
        private volatile boolean hasForbidden;

        /** Whether responses were refuted. Event loop. */
        private boolean hasRefuted;

        /** Whether something has arrived that no request asked for. */
        private volatile boolean hasUnsolicited;

        /** Why the connection was closed, for the log. */
        private volatile String closeReason = "by this side";

        ConnectionState(Connection<?> connection) {
            this.connection = connection;
        }

        /** Writes the request, unless it was given up meanwhile or the connection is unusable. */
        boolean startExchange(Exchange exchange) {
            if (isUnusable || !Transport.isOpenAndSilent(connection)) {
                // While idle it was closed or received unsolicited bytes, which must not be taken for this response.
                discard("not silent before use");
                return false;
            }
            if (exchange.mayStart()) {
                currentExchange = exchange;
                lastListener = exchange.listener;
                exchange.write(this);
            } else {
                exchange.reportWithheld(connection);
            }
            return true;
        }

        void onBytes(byte[] in) {
            Exchange exchange = currentExchange;
            readCount++;
            if (exchange == null) {
                reportUnsolicited(in, 0);
                discard("unsolicited bytes"); // what follows can't be distinguished from a response
                return;
            }
            try {
                int at = reader.read(in, 0, in.length);
                if (reader.hasHead()) {
                    reportHead(exchange);
                }
                if (!exchange.isWritten) {
                    exchange.statusSoFar = reader.statusSoFar();
                    reportUnsolicited(in, in.length);
                    discard("response before the end of its request");
                    return;
                }
                noteStatus(exchange);
                if (reader.isComplete()) {
                    complete(exchange);
                    if (at < in.length) {
                        reportUnsolicited(in, at);
                        discard("bytes behind a response");
                    }
                } else if (exchange.status != 0) {
                    exchange.onStatusLine();
                }
            } catch (HttpMessageReader.InvalidMessageException e) {
                if (exchange.isWritten) {
                    noteStatus(exchange);
                } else {
                    exchange.status = 0;
                }
                savePartialResponse(exchange, e.status == CONTENT_TOO_LARGE);
                reportHead(exchange);
                discard("malformed response: " + e.getMessage());
            }
        }

        private void noteStatus(Exchange exchange) {
            exchange.mayBeRepetition = history.mayRepeat(reader.statusSoFar(), Core.monotonicMicros());
            exchange.status = reader.status();
            exchange.statusSoFar = reader.statusSoFar();
            hasForbidden |= exchange.listener.forbidsResending(reader.statusSoFar());
        }

        /** Saves what was received of the response, before the connection is closed. Selector thread. */
        private void savePartialResponse(Exchange exchange, boolean isTooLarge) {
            if (exchange.isWritten && exchange.partialResponse == null && reader.status() != 0) {
                exchange.partialResponse =
                        new PartialResponse(reader.status(), reader.headers(), reader.body(), isTooLarge);
            }
        }

        private void discard(String reason) {
            isUnusable = true;
            logClose(reason);
            connection.terminateSilently(); // a plain close would first write the rest of a request
        }

        private void logClose(String reason) {
            closeReason = reason;
            if (Logs.isDebug()) {
                Logs.debug("", "closed", "connection to " + connection.getPeerAddress() + " closed: " + reason);
            }
        }

        private void reportHead(Exchange exchange) {
            if (!isHeadReported) {
                isHeadReported = true;
                exchange.listener.onHead(reader.headers());
                partlyWritten.forEach(Exchange::abortIfWithheld);
            }
        }

        /** The head of what arrived unasked may still hold a retry-after. */
        private void reportUnsolicited(byte[] in, int from) {
            core.counters().add(Counters.Name.UNSOLICITED_ANSWERS);
            hasUnsolicited = true;
            try {
                reader.read(in, from, in.length);
            } catch (HttpMessageReader.InvalidMessageException e) {
                logClose(e.getMessage());
            }
            if (lastListener != null) {
                lastListener.onHead(reader.headers());
                hasForbidden |= lastListener.forbidsResending(reader.statusSoFar());
            }
            core.post(HttpClient.this::restConnections);
        }

        private void complete(Exchange exchange) {
            // Any further bytes are unsolicited from now on, even before the event loop has processed this response.
            currentExchange = null;
            isHeadReported = false;
            isUnusable |= !reader.keepsConnection();
            // A response that announces a close repeats no earlier one, as the connection was used after those.
            HttpResponse response = takeResponse(exchange.mayBeRepetition && reader.keepsConnection());
            exchange.trace(response.needsConfirmation() ? "answered, to be confirmed" : "answered");
            exchange.partialResponse =
                    new PartialResponse(response.status(), response.headers(), response.body(), false);
            long reads = readCount;
            core.post(() -> exchange.reportResponse(response, reads));
        }

        private HttpResponse takeResponse(boolean mayBeRepetition) {
            long nowMicros = Core.monotonicMicros();
            int status = reader.status();
            byte[] body = reader.body();
            HttpResponse response = new HttpResponse(
                    status, reader.headers(), body, mayBeRepetition, history.hasEqual(status, body, nowMicros));
            history.add(status, body, nowMicros);
            reader.reset();
            return response;
        }

        /** Waits for silence after a response, during which the next request may be in flight. Event loop. */
        private void awaitSilence(long reads) {
            core.deadlines().cancel(silenceTimer);
            silenceTimer = core.deadlines()
                    .schedule(
                            core.nowMicros() + UnconfirmedResponses.SILENCE_MICROS,
                            () -> Transport.runAfterReading(connection, () -> {
                                if (readCount == reads && connection.isOpen()) {
                                    core.post(this::confirm);
                                }
                            }));
        }

        private void confirm() {
            unconfirmed.confirmAll();
            hasForbidden = false;
            if (isClosing) {
                connection.closeSilently();
            }
        }

        /** The connection has ended. Event loop. */
        private void refute() {
            core.deadlines().cancel(silenceTimer);
            hasRefuted |= !unconfirmed.isEmpty();
            unconfirmed.refuteAll(new Refutation(hasForbidden, hasUnsolicited));
        }

        /** Closes the connection, at once or after its responses are confirmed. Event loop. */
        private void closeWhenConfirmed() {
            isClosing = true;
            if (unconfirmed.isEmpty()) {
                connection.closeSilently();
            }
        }

        /**
         * {@code isRemoteClose}: closed by the server, which ends a response without a length; a close by the client
         * does not.
         */
        void onClosed(boolean isRemoteClose) {
            Exchange exchange = currentExchange;
            currentExchange = null;
            isUnusable = true;
            if (isRemoteClose) {
                logClose("by the peer");
            }
            if (exchange != null) {
                partlyWritten.remove(exchange);
                reportHead(exchange);
            }
            if (exchange != null
                    && exchange.isWritten
                    && isRemoteClose
                    && reader.status() != 0
                    && reader.completeAtClose()) {
                complete(exchange); // its end says that the connection is not kept
            } else if (exchange != null) {
                savePartialResponse(exchange, false);
                core.post(exchange::fail);
            }
            core.post(this::refute);
        }
    }

    /** One request and its outcome. */
    final class Exchange implements UnconfirmedResponses.Listener {
        private final String poolKey, address;
        private final UnaryOperator<byte[]> encoder;
        private final Listener listener;
        private Deadlines.Key timeout;
        private boolean isDone;
        /** Runs once the connection is closed after {@link #giveUp}. */
        private Runnable onGivenUp;
        /**
         * Guarded by this: a request that was given up is not written, and one that is being written is not withdrawn.
         */
        private boolean isGivenUp;

        private byte[] requestBytes;
        private ConnectionState connectionState;
        /** Set on the selector thread before the response can be read there. */
        private volatile boolean isWritten;

        private volatile int status;
        /** The status, also from an incomplete status line. */
        private volatile int statusSoFar;
        /** Whether the response, as far as its status line tells, may be an earlier one repeated. */
        private volatile boolean mayBeRepetition;

        /** What was received of the response; null if nothing was. */
        private volatile PartialResponse partialResponse;
        /**
         * The connection was closed before the last byte was written, since the request was no longer allowed to be
         * sent.
         */
        private volatile boolean isAborted;

        private boolean usesNewConnection;
        /** Cancels opening a connection for this request while it is not established. */
        private Runnable cancelConnect = () -> {};

        private Exchange(
                String poolKey, String address, UnaryOperator<byte[]> encoder, byte[] body, Listener listener) {
            this.poolKey = poolKey;
            this.address = address;
            this.encoder = encoder;
            this.requestBytes = encoder.apply(body);
            this.listener = listener;
        }

        /** Uses an idle connection if a good one exists, else opens a new one. */
        private void start() {
            if (isDone) {
                return;
            }
            Connection<?> idle = pool.acquire(poolKey, core.nowMicros());
            if (idle == null && listener.maySend()) {
                connect();
                return;
            }
            if (idle == null) {
                core.post(this::finishWithheld);
                return;
            }
            ConnectionState idleState = connectionStates.get(idle);
            Transport.runAfterReading(idle, () -> {
                if (!idleState.startExchange(this)) {
                    core.post(this::start); // nothing was written: try another one
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
                        ConnectionState newState = new ConnectionState(up);
                        connectionStates.set(up, newState);
                        core.post(() -> core.deadlines().cancel(timeout));
                        Transport.runAfterReading(up, () -> {
                            if (!newState.startExchange(this)) {
                                core.post(this::fail);
                            }
                        });
                    },
                    problem -> core.post(this::fail));
        }

        /**
         * The endpoint list, a retry-after period or the request's own time may have changed since the event loop
         * started it.
         */
        private boolean mayStart() {
            return !listener.isServerDraining() && listener.maySend() && !listener.isExpired();
        }

        private synchronized void write(ConnectionState state) {
            if (isGivenUp) {
                // Nothing was written, and answers that wait for confirmation on the connection are not in doubt.
                state.currentExchange = null;
                core.post(state::closeWhenConfirmed);
                return;
            }
            connectionState = state;
            Transport.write(state.connection, requestBytes, this::onWritten, state.connection::closeSilently);
            if (!isWritten) {
                partlyWritten.add(this);
            }
        }

        private void onWritten() {
            isWritten = true;
            partlyWritten.remove(this);
            trace("written");
            if (!listener.maySend()) {
                core.post(() -> core.counters()
                        .checkInvariant(false, listener + " was written outside any retry-after period"));
            }
        }

        /** Aborts a partly written request that must not be sent any more. Selector thread. */
        private void abortIfWithheld() {
            if (!isWritten && !listener.maySend()) {
                isAborted = true;
                partlyWritten.remove(this);
                connectionState.connection.terminateSilently(); // a plain close would first write the rest
            }
        }

        private void trace(String event) {
            if (Logs.isDebug()) {
                Logs.debug("", event, event + ": " + listener);
            }
        }

        /** Nothing was written, so the connection stays usable. Selector thread. */
        private void reportWithheld(Connection<?> unused) {
            trace("withheld");
            core.post(() -> {
                if (isDone) {
                    closeIdleConnection(unused);
                    return;
                }
                releaseConnection(unused);
                finishWithheld();
            });
        }

        private void finishWithheld() {
            if (!isDone) {
                isDone = true;
                core.deadlines().cancel(timeout);
                listener.onWithheld();
            }
        }

        /** The status line has arrived. Selector thread. */
        private void onStatusLine() {
            if (keepsPartialResponses) {
                return; // the caller limits the time of the whole response
            }
            core.post(() -> {
                if (!isDone) {
                    core.deadlines().cancel(timeout);
                    timeout = core.deadlines().schedule(core.nowMicros() + REMAINDER_TIMEOUT_MICROS, this::onTimeout);
                }
            });
        }

        private void reportResponse(HttpResponse received, long reads) {
            if (isDone) {
                return;
            }
            isDone = true;
            core.deadlines().cancel(timeout);
            HttpResponse response = received.needingConfirmation(needsConfirmation(received));
            if (response.needsConfirmation()) {
                connectionState.unconfirmed.add(this, listener.confirmByMicros(response), core.nowMicros());
                connectionState.awaitSilence(reads);
            } else {
                connectionState.hasForbidden = false; // nothing waits that it could belong to
            }
            if (connectionState.isUnusable || !connectionState.connection.isOpen()) {
                connectionState.closeWhenConfirmed();
            } else {
                releaseConnection(connectionState.connection);
            }
            listener.onResponse(response);
        }

        private boolean needsConfirmation(HttpResponse response) {
            UnconfirmedResponses earlier = connectionState.unconfirmed;
            if (listener.isOwnResponse(response)) {
                earlier.confirmAll(); // as many responses as requests have arrived on the connection
                return false;
            }
            return response.needsConfirmation() || !earlier.isEmpty();
        }

        @Override
        public void onConfirmed() {
            listener.onConfirmed();
        }

        @Override
        public void onRefuted(Refutation refutation) {
            core.counters().add(Counters.Name.DOUBTED_ANSWERS);
            Logs.info(
                    "",
                    "answer-refuted",
                    "status " + status + " may not be the answer to " + listener + "; connection closed: "
                            + connectionState.closeReason);
            listener.onRefuted(refutation);
        }

        private void releaseConnection(Connection<?> unused) {
            if (listener.isServerDraining()) {
                closeIdleConnection(unused);
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
         * The time to connect, or to receive the rest of the response, is over. The selector thread may be writing the
         * request just now, so only that thread knows whether its last byte was sent.
         */
        private void onTimeout() {
            if (!isDone) {
                giveUp(this::reportFailure);
            }
        }

        /** Replaces the body; returns false if the previous one may already be in flight. */
        synchronized boolean replaceBody(byte[] body) {
            if (connectionState != null || isGivenUp) {
                return false;
            }
            requestBytes = encoder.apply(body);
            return true;
        }

        /** Whether a new connection was opened for this request. */
        boolean usesNewConnection() {
            return usesNewConnection;
        }

        /** What was received of the response, also if it is incomplete or came too late; null if nothing was. */
        PartialResponse partialResponse() {
            return partialResponse;
        }

        /** The status from the response's status line; 0 before that. */
        int status() {
            return status;
        }

        /** The status, also from a status line of which the end has not arrived; 0 before that. */
        int statusSoFar() {
            return statusSoFar;
        }

        /** Whether the response with that status belongs to this request, as far as can be known now. Event loop. */
        boolean isOwnStatus() {
            return status != 0
                    && !mayBeRepetition
                    && connectionState.unconfirmed.isEmpty()
                    && !connectionState.hasRefuted;
        }

        /** The response belongs to another request: closes its connection, and nothing more is reported. */
        void rejectResponse() {
            restConnections();
            connectionState.hasUnsolicited = true;
            close();
        }

        /** Cancels the request by closing its connection; nothing more is reported. */
        void close() {
            onGivenUp = null;
            ConnectionState state = finish();
            if (state != null) {
                state.connection.terminateSilently(); // a plain close would first write the rest
            }
        }

        /**
         * Cancels the request as {@link #close} does, but first reads what the endpoint has sent so far, which may
         * include a retry-after. A response that crosses this is ignored: it arrives after the time that the endpoint
         * was given. {@code whenClosed} runs on the event loop; from then on {@link #isWritten} does not change.
         */
        void giveUp(Runnable whenClosed) {
            onGivenUp = whenClosed;
            ConnectionState state = finish();
            if (state == null) {
                core.post(this::reportGivenUp);
                return;
            }
            Transport.runAfterReading(state.connection, () -> {
                if (state.currentExchange == this) {
                    state.savePartialResponse(this, false);
                }
                state.connection.terminateSilently(); // nothing is being written meanwhile on this thread
                core.post(this::reportGivenUp);
            });
        }

        private void reportGivenUp() {
            Runnable whenClosed = onGivenUp;
            onGivenUp = null;
            if (whenClosed != null) {
                whenClosed.run();
            }
        }

        /** Gives the request up if none of its bytes is written, and returns whether it did. */
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

        /** Whether the request's last byte has been written. */
        boolean isWritten() {
            return isWritten;
        }

        /** Marks the request as finished; returns the connection that it may be in flight on, or null. */
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

    /** Passes received bytes to the connection's state. */
    private final class ResponseFilter extends BaseFilter {
        @Override
        public NextAction handleRead(FilterChainContext context) {
            ConnectionState state = connectionStates.get(context.getConnection());
            byte[] bytes = Transport.toBytes(context.getMessage());
            if (state == null) {
                context.getConnection().closeSilently(); // bytes before any request
            } else {
                state.onBytes(bytes);
            }
            return context.getStopAction();
        }

        @Override
        public NextAction handleClose(FilterChainContext context) {
            ConnectionState state = connectionStates.get(context.getConnection());
            if (state != null) {
                state.onClosed(Transport.isClosedByPeer(context.getConnection()));
            }
            return context.getInvokeAction();
        }

        @Override
        public void exceptionOccurred(FilterChainContext context, Throwable error) {
            context.getConnection().closeSilently(); // a read error is treated as a broken connection
        }
    }
}
