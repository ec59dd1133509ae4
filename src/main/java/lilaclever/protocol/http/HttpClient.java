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
 * HTTP/1.1 client with one request at a time on a connection. Requests are never resent: a failed request is reported
 * to its caller. Used from the loop thread; requests are written and responses read on the selector thread.
 */
final class HttpClient {
    private static final long SWEEP = 500_000;
    /** Idle connections are dropped after this fraction of the time for which an endpoint keeps them. */
    private static final double KEEP_PART = 0.8;
    /** After a status line the rest follows at once; otherwise the response is malformed. */
    private static final long REST_BY = 250_000;

    private static final int TOO_LARGE = 413;

    /** Receives the outcome of a request. Exactly one of the outcome methods is called, once, on the loop thread. */
    interface Listener {
        /** The whole response has arrived. */
        void answered(int status, Map<String, String> headers, byte[] body);

        /**
         * No readable response will arrive. {@code written}: the request's last byte had been written. {@code status}:
         * the status from the response's status line, else 0.
         */
        void broke(boolean written, int status);

        /**
         * The headers of a response, as soon as they have arrived, even if the rest never arrives or the request was
         * given up; of a malformed head, the readable part. Selector thread.
         */
        default void head(Map<String, String> headers) {}

        /** Whether the server may get no new request and keep no connection. Selector thread and loop thread. */
        default boolean isServerLeaving() {
            return false;
        }

        /** Whether the request may be sent at this moment, given all that was read before. Selector thread. */
        default boolean mayGo() {
            return true;
        }

        /** Whether the request has expired; it is not written from then on. Selector thread. */
        default boolean isTooLate() {
            return false;
        }

        /**
         * The request was not allowed to be sent, so its last byte was not written: called instead of the other
         * outcomes.
         */
        default void withheld() {}
    }

    /**
     * An incomplete response as far as it was received.
     *
     * @param status from its status line
     * @param headers by lower-case name, as far as they arrived
     * @param body as far as it arrived, up to the client's limit
     * @param isTooLarge whether it was rejected because its body exceeds the limit
     */
    record PartialAnswer(int status, Map<String, String> headers, byte[] body, boolean isTooLarge) {}

    private final Core core;
    private final Transport transport;
    private final long connectMicros;
    private final int mostAnswer;
    private final boolean keepsPartialAnswers;
    private final ConnectionPool<Connection<?>> pool;
    private final FilterChain chain = Transport.chain(new AnswerFilter());
    private final Attribute<Link> links;
    /** Requests of which some but not all bytes are written, as the server reads slowly. */
    private final Set<Exchange> partly = ConcurrentHashMap.newKeySet();

    /** Creates a client that accepts response bodies up to the given size. */
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
     * Creates a client. {@code keepsPartialResponses}: an incomplete or too large response is kept for the caller of
     * the request ({@link Exchange#partialAnswer}), who alone limits the time that a response may take.
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
        this.keepsPartialAnswers = keepsPartialAnswers;
        this.core = core;
        this.transport = transport;
        this.connectMicros = connectMicros;
        this.mostAnswer = mostAnswer;
        this.pool = ConnectionPool.ofSockets((long) (KEEP_PART * keepAliveMicros), mostIdle);
        core.counters().gauge("idle_" + name, pool::size);
        core.counters().gauge("partly_written_" + name, partly::size);
        this.links = Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("HttpClient." + name);
    }

    /** Starts the periodic removal of connections that were idle for too long. */
    void start() {
        pool.sweep(core.now());
        core.deadlines().at(core.now() + SWEEP, this::start);
    }

    /** Closes the idle connections of a pool key. */
    void closeIdle(String name) {
        pool.closeIdle(name);
    }

    /** Sends a request. Idle connections are pooled under the key. */
    Exchange send(
            String owner,
            String address,
            String method,
            String path,
            Map<String, String> headers,
            byte[] body,
            Listener listener) {
        Exchange exchange =
                new Exchange(owner, address, of -> Head.request(method, path, address, headers, of), body, listener);
        exchange.begin();
        return exchange;
    }

    /** A connection and the state of reading from it. Selector thread. */
    private final class Link {
        private final Connection<?> connection;
        private final MessageReader reader = new MessageReader(true, mostAnswer, keepsPartialAnswers);
        private volatile Exchange current;
        /** Unsolicited bytes have arrived: no further request may use this connection. */
        private volatile boolean spoilt;

        private boolean headTold;

        Link(Connection<?> connection) {
            this.connection = connection;
        }

        /** Writes the request, unless it was given up meanwhile or the connection is unusable. */
        boolean take(Exchange exchange) {
            if (spoilt || !Transport.isQuiet(connection)) {
                // While idle it was closed or received unsolicited bytes, which must not be taken for this response.
                connection.closeSilently();
                return false;
            }
            if (exchange.mayBegin()) {
                current = exchange;
                exchange.write(this);
            } else {
                exchange.withheld(connection);
            }
            return true;
        }

        void bytes(byte[] in) {
            Exchange exchange = current;
            if (exchange == null) {
                refuse(); // unsolicited bytes: what follows can't be told apart from a response
                return;
            }
            try {
                int at = reader.read(in, 0, in.length);
                if (reader.hasHead()) {
                    head(exchange);
                }
                if (!exchange.written) {
                    refuse(); // a response before the end of its request
                    return;
                }
                exchange.status = reader.status();
                if (reader.isComplete()) {
                    complete(exchange, reader.keeps() && at == in.length);
                } else if (exchange.status != 0) {
                    exchange.begun();
                }
            } catch (MessageReader.Spoilt e) {
                exchange.status = exchange.written ? reader.status() : 0;
                keepPartial(exchange, e.status == TOO_LARGE);
                head(exchange);
                refuse();
            }
        }

        /** Saves what was received of the response, before the connection is closed. Selector thread. */
        private void keepPartial(Exchange exchange, boolean isTooLarge) {
            if (keepsPartialAnswers && exchange.written && exchange.partialAnswer == null && reader.status() != 0) {
                exchange.partialAnswer =
                        new PartialAnswer(reader.status(), reader.headers(), reader.body(), isTooLarge);
            }
        }

        private void refuse() {
            spoilt = true;
            connection.closeSilently();
        }

        private void head(Exchange exchange) {
            if (!headTold) {
                headTold = true;
                exchange.listener.head(reader.headers());
                partly.forEach(Exchange::cutIfHeld);
            }
        }

        private void complete(Exchange exchange, boolean keep) {
            // Any further bytes are unsolicited from now on, even before the loop has processed this response.
            current = null;
            headTold = false;
            spoilt |= !keep;
            exchange.trace("answered");
            int status = reader.status();
            Map<String, String> headers = reader.headers();
            byte[] body = reader.body();
            reader.next();
            core.post(() -> exchange.answered(status, headers, body));
        }

        /**
         * {@code isRemoteClose}: closed by the server, which ends a response without a length; a close by the client
         * does not.
         */
        void closed(boolean remotely) {
            Exchange exchange = current;
            current = null;
            spoilt = true;
            if (exchange != null) {
                partly.remove(exchange);
                head(exchange);
            }
            if (exchange != null && exchange.written && remotely && reader.status() != 0 && reader.ends()) {
                complete(exchange, false);
            } else if (exchange != null) {
                keepPartial(exchange, false);
                core.post(exchange::broke);
            }
        }
    }

    /** One request and its outcome. */
    final class Exchange {
        private final String owner, address;
        private final UnaryOperator<byte[]> form;
        private final Listener listener;
        private Deadlines.Key due;
        private boolean done;
        /** Runs once the connection is closed after {@link #giveUp}. */
        private Runnable givingUp;
        /**
         * Guarded by this: a request that was given up is not written, and one that is being written is not taken back.
         */
        private boolean givenUp;

        private byte[] request;
        private Link link;
        /** Set on the selector thread before the response can be read there. */
        private volatile boolean written;

        private volatile int status;
        /** What was received of an incomplete response; null if nothing was, or if this client keeps none. */
        private volatile PartialAnswer partialAnswer;
        /**
         * The connection was closed before the last byte was written, since the request was no longer allowed to be
         * sent.
         */
        private volatile boolean cut;

        private boolean fresh;
        /** Cancels opening a connection for this request while it is not established. */
        private Runnable connecting = () -> {};

        private Exchange(String owner, String address, UnaryOperator<byte[]> form, byte[] body, Listener listener) {
            this.owner = owner;
            this.address = address;
            this.form = form;
            this.request = form.apply(body);
            this.listener = listener;
        }

        /** Uses an idle connection if a good one exists, else opens a new one. */
        private void begin() {
            if (done) {
                return;
            }
            Connection<?> idle = pool.take(owner, core.now());
            if (idle == null) {
                connect();
                return;
            }
            Link kept = links.get(idle);
            Transport.afterReading(idle, () -> {
                if (!kept.take(this)) {
                    core.post(this::begin); // nothing was written: try another one
                }
            });
        }

        private void connect() {
            fresh = true;
            due = core.deadlines().at(core.now() + connectMicros, this::late);
            core.counters().add(Counters.Name.CONNECTIONS);
            connecting = transport.connect(
                    Transport.address(address),
                    chain,
                    up -> {
                        trace("connected");
                        Link opened = new Link(up);
                        links.set(up, opened);
                        core.post(() -> core.deadlines().cancel(due));
                        Transport.afterReading(up, () -> {
                            if (!opened.take(this)) {
                                core.post(this::broke);
                            }
                        });
                    },
                    problem -> core.post(this::broke));
        }

        /**
         * The endpoint list, a retry-after period or the request's own time may have changed since the loop started it.
         */
        private boolean mayBegin() {
            return !listener.isServerLeaving() && listener.mayGo() && !listener.isTooLate();
        }

        private synchronized void write(Link on) {
            if (givenUp) {
                on.connection.closeSilently();
                return;
            }
            link = on;
            Transport.write(on.connection, request, this::written, on.connection::closeSilently);
            if (!written) {
                partly.add(this);
            }
        }

        private void written() {
            written = true;
            partly.remove(this);
            trace("written");
            if (!listener.mayGo()) {
                core.post(() -> core.counters().holds(false, listener + " was written outside any retry-after period"));
            }
        }

        /** Aborts a partly written request that must not be sent any more. Selector thread. */
        private void cutIfHeld() {
            if (!written && !listener.mayGo()) {
                cut = true;
                partly.remove(this);
                link.connection.terminateSilently(); // a plain close would first write the rest
            }
        }

        private void trace(String event) {
            if (Logs.isDebug()) {
                Logs.debug("", event, event + ": " + listener);
            }
        }

        /** Nothing was written, so the connection stays usable. Selector thread. */
        private void withheld(Connection<?> unused) {
            trace("withheld");
            core.post(() -> {
                if (done) {
                    unused.closeSilently();
                    return;
                }
                done = true;
                core.deadlines().cancel(due);
                keepOrClose(unused);
                listener.withheld();
            });
        }

        /** The status line has arrived. Selector thread. */
        private void begun() {
            if (keepsPartialAnswers) {
                return; // the caller limits the time of the whole response
            }
            core.post(() -> {
                if (!done) {
                    core.deadlines().cancel(due);
                    due = core.deadlines().at(core.now() + REST_BY, this::late);
                }
            });
        }

        private void answered(int said, Map<String, String> headers, byte[] body) {
            if (!done) {
                done = true;
                core.deadlines().cancel(due);
                if (link.spoilt || !link.connection.isOpen()) {
                    link.connection.closeSilently();
                } else {
                    keepOrClose(link.connection);
                }
                listener.answered(said, headers, body);
            }
        }

        private void keepOrClose(Connection<?> unused) {
            if (listener.isServerLeaving()) {
                unused.closeSilently();
            } else {
                pool.giveBack(owner, unused, core.now());
            }
        }

        private void broke() {
            if (!done) {
                close();
                tellBroken();
            }
        }

        private void tellBroken() {
            if (cut) {
                listener.withheld();
            } else {
                listener.broke(written, status);
            }
        }

        /**
         * The time to connect, or to receive the rest of the response, is over. The selector thread may be writing the
         * request just now, so only that thread knows whether its last byte was sent.
         */
        private void late() {
            if (!done) {
                giveUp(this::tellBroken);
            }
        }

        /** Replaces the body; returns false if the previous one may already be in flight. */
        synchronized boolean replaceBody(byte[] body) {
            if (link != null || givenUp) {
                return false;
            }
            request = form.apply(body);
            return true;
        }

        /** Whether a new connection was opened for this request. */
        boolean isFresh() {
            return fresh;
        }

        /**
         * What was received of an incomplete response, after it failed or was given up; null if nothing was, or if this
         * client keeps none.
         */
        PartialAnswer partialAnswer() {
            return partialAnswer;
        }

        /** The status of the response received so far; else 0. */
        int status() {
            return status;
        }

        /** Cancels the request by closing its connection; nothing more is reported. */
        void close() {
            givingUp = null;
            Link open = leave();
            if (open != null) {
                open.connection.terminateSilently(); // a plain close would first write the rest
            }
        }

        /**
         * The same, after reading what the endpoint has sent so far, which may be a retry-after. A response that
         * crosses this is ignored: it arrives after the time that the endpoint was given. {@code closed} runs on the
         * loop thread; from then on {@link #isWritten} does not change.
         */
        void giveUp(Runnable closed) {
            givingUp = closed;
            Link open = leave();
            if (open == null) {
                core.post(this::givenUp);
                return;
            }
            Transport.afterReading(open.connection, () -> {
                if (open.current == this) {
                    open.keepPartial(this, false);
                }
                open.connection.terminateSilently(); // nothing is being written meanwhile on this thread
                core.post(this::givenUp);
            });
        }

        private void givenUp() {
            Runnable closed = givingUp;
            givingUp = null;
            if (closed != null) {
                closed.run();
            }
        }

        /** Gives the request up if none of its bytes is written, and returns whether it did. */
        boolean withdraw() {
            synchronized (this) {
                if (link != null || givenUp || done) {
                    return false;
                }
                givenUp = true;
            }
            leave();
            return true;
        }

        boolean isWritten() {
            return written;
        }

        /** Marks the request as finished; returns the connection that it may be in flight on, or null. */
        private Link leave() {
            done = true;
            core.deadlines().cancel(due);
            connecting.run();
            synchronized (this) {
                givenUp = true;
                return link;
            }
        }
    }

    /** Passes received bytes to the connection's state. */
    private final class AnswerFilter extends BaseFilter {
        @Override
        public NextAction handleRead(FilterChainContext context) {
            Link link = links.get(context.getConnection());
            byte[] bytes = Transport.bytes(context.getMessage());
            if (link == null) {
                context.getConnection().closeSilently(); // bytes before any request
            } else {
                link.bytes(bytes);
            }
            return context.getStopAction();
        }

        @Override
        public NextAction handleClose(FilterChainContext context) {
            Link link = links.get(context.getConnection());
            if (link != null) {
                link.closed(Transport.isEndedRemotely(context.getConnection()));
            }
            return context.getInvokeAction();
        }

        @Override
        public void exceptionOccurred(FilterChainContext context, Throwable error) {
            context.getConnection().closeSilently(); // a read error is treated as a broken connection
        }
    }
}
