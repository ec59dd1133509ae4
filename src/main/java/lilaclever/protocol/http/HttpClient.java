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
    private static final long SWEEP = 500_000;
    /** Part of the time that an endpoint keeps an idle connection after which it is dropped here. */
    private static final double KEEP_PART = 0.8;
    /** Once a first line is here the rest follows at once, or the answer is spoilt. */
    private static final long REST_BY = 250_000;

    private static final int TOO_LARGE = 413;

    /** How a request went; one of the two is called, once, on the loop thread. */
    interface Listener {
        /** The whole answer is here. */
        void answered(int status, Map<String, String> headers, byte[] body);

        /**
         * No answer will come, or none that can be read. {@code written}: the request's last byte had been written.
         * {@code status}: what the answer's first line said, else 0.
         */
        void broke(boolean written, int status);

        /**
         * What an answer's head says, as soon as it is here, though the rest may never come or nobody may wait for it
         * any more; of one that can't be read, the part that can. Selector thread.
         */
        default void head(Map<String, String> headers) {}

        /** Whether the server is to get nothing new and keep no connection. Selector thread and loop thread. */
        default boolean isServerLeaving() {
            return false;
        }

        /** Whether the request may go out at this moment, when all that had come before was read. Selector thread. */
        default boolean mayGo() {
            return true;
        }

        /** Whether its time is up: from then on it is not written. Selector thread. */
        default boolean isTooLate() {
            return false;
        }

        /** It might not go out any more, so its last byte was not written: called in place of the others. */
        default void withheld() {}
    }

    /**
     * What had come of an answer that is not whole.
     *
     * @param status what its first line says
     * @param headers by lower-case name, as far as they came
     * @param body as far as it came, up to the client's bound
     * @param isTooLarge whether it was refused because its body is longer than the bound
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
    /** Requests whose first bytes are written and whose last are not, as the other side reads slowly. */
    private final Set<Exchange> partly = ConcurrentHashMap.newKeySet();

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
     * is kept for the owner of its request ({@link Exchange#partialAnswer}), who alone bounds the time that an answer
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
        this.keepsPartialAnswers = keepsPartialAnswers;
        this.core = core;
        this.transport = transport;
        this.connectMicros = connectMicros;
        this.mostAnswer = mostAnswer;
        this.pool = ConnectionPool.ofSockets((long) (KEEP_PART * keepAliveMicros), mostIdle);
        core.counters().entryGauge("idle_" + name, pool::size);
        core.counters().entryGauge("partly_written_" + name, partly::size);
        this.links = Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("HttpClient." + name);
    }

    /** Starts to drop connections that were idle for too long. */
    void start() {
        pool.closeExpired(core.nowMicros());
        core.deadlines().schedule(core.nowMicros() + SWEEP, this::start);
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
                new Exchange(owner, address, of -> Head.request(method, path, address, headers, of), body, listener);
        exchange.begin();
        return exchange;
    }

    /** A connection, and what is read from it. Selector thread. */
    private final class Link {
        private final Connection<?> connection;
        private final MessageReader reader = new MessageReader(true, mostAnswer, keepsPartialAnswers);
        private volatile Exchange current;
        /** More came than was asked for: nobody may ask here again. */
        private volatile boolean spoilt;

        private boolean headTold;

        Link(Connection<?> connection) {
            this.connection = connection;
        }

        /** Writes the request, unless it was given up meanwhile or the connection is not as it should be. */
        boolean take(Exchange exchange) {
            if (spoilt || !Transport.isOpenAndSilent(connection)) {
                // Its idle time was used to close it, or for a word too many: that must not answer this request.
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
                refuse(); // nobody asked: what follows can't be told from an answer
                return;
            }
            try {
                int at = reader.read(in, 0, in.length);
                if (reader.hasHead()) {
                    head(exchange);
                }
                if (!exchange.written) {
                    refuse(); // it could not wait for the end of what it was asked
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

        /** Keeps what has come of the answer, before the connection is closed. Selector thread. */
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
            // From now on whatever comes is one too many, also before the loop has seen this answer.
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

        /** {@code remotely}: by the other side; an answer without a length ends so, and not by a close from here. */
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

    /** One request and what becomes of it. */
    final class Exchange {
        private final String owner, address;
        private final UnaryOperator<byte[]> form;
        private final Listener listener;
        private Deadlines.Key due;
        private boolean done;
        /** What is run once it is closed after a giving up. */
        private Runnable givingUp;
        /** Guarded by this: a request that was given up is not written, one that is being written is not unsent. */
        private boolean givenUp;

        private byte[] request;
        private Link link;
        /** Set on the selector thread before the answer can be read there. */
        private volatile boolean written;

        private volatile int status;
        /** What had come of an answer that is not whole; null if nothing had, or nobody wants it. */
        private volatile PartialAnswer partialAnswer;
        /** Its connection was closed before its last byte was written, since it might not go out any more. */
        private volatile boolean cut;

        private boolean fresh;
        /** Gives up a connection that is opened for it and is not up yet. */
        private Runnable connecting = () -> {};

        private Exchange(String owner, String address, UnaryOperator<byte[]> form, byte[] body, Listener listener) {
            this.owner = owner;
            this.address = address;
            this.form = form;
            this.request = form.apply(body);
            this.listener = listener;
        }

        /** On an idle connection if there is one that is good, else on a new one. */
        private void begin() {
            if (done) {
                return;
            }
            Connection<?> idle = pool.acquire(owner, core.nowMicros());
            if (idle == null) {
                connect();
                return;
            }
            Link kept = links.get(idle);
            Transport.runAfterReading(idle, () -> {
                if (!kept.take(this)) {
                    core.post(this::begin); // nothing was written: another one
                }
            });
        }

        private void connect() {
            fresh = true;
            due = core.deadlines().schedule(core.nowMicros() + connectMicros, this::late);
            core.counters().add(Counters.Name.CONNECTIONS);
            connecting = transport.connect(
                    Transport.parseAddress(address),
                    chain,
                    up -> {
                        trace("connected");
                        Link opened = new Link(up);
                        links.set(up, opened);
                        core.post(() -> core.deadlines().cancel(due));
                        Transport.runAfterReading(up, () -> {
                            if (!opened.take(this)) {
                                core.post(this::broke);
                            }
                        });
                    },
                    problem -> core.post(this::broke));
        }

        /** The list, a wait or its own time may have changed since the loop began it. */
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
                core.post(() -> core.counters().checkInvariant(false, listener + " was written under no wait"));
            }
        }

        /** The rest of a request that is half written must not follow. Selector thread. */
        private void cutIfHeld() {
            if (!written && !listener.mayGo()) {
                cut = true;
                partly.remove(this);
                link.connection.terminateSilently(); // to close it would first write what is left
            }
        }

        private void trace(String event) {
            if (Logs.isDebug()) {
                Logs.debug("", event, event + ": " + listener);
            }
        }

        /** Nothing is written: the connection is as good as before. Selector thread. */
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

        /** The first line is here. Selector thread. */
        private void begun() {
            if (keepsPartialAnswers) {
                return; // the owner bounds the whole span of the answer
            }
            core.post(() -> {
                if (!done) {
                    core.deadlines().cancel(due);
                    due = core.deadlines().schedule(core.nowMicros() + REST_BY, this::late);
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
                pool.release(owner, unused, core.nowMicros());
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
         * Its time to connect, or to get the rest of its answer, is up. The selector thread may be writing it just now:
         * only there it is known whether its last byte has gone.
         */
        private void late() {
            if (!done) {
                giveUp(this::tellBroken);
            }
        }

        /** Has it carry another body; false if the first one may be on its way. */
        synchronized boolean replaceBody(byte[] body) {
            if (link != null || givenUp) {
                return false;
            }
            request = form.apply(body);
            return true;
        }

        /** Whether its connection was opened for it. */
        boolean isFresh() {
            return fresh;
        }

        /**
         * What had come of an answer that is not whole, once it broke off or was given up; null if nothing had, or this
         * client keeps none.
         */
        PartialAnswer partialAnswer() {
            return partialAnswer;
        }

        /** What the first line of the answer has said so far; else 0. */
        int status() {
            return status;
        }

        /** Gives the request up by closing its connection; nothing more is told of it. */
        void close() {
            givingUp = null;
            Link open = leave();
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
            givingUp = closed;
            Link open = leave();
            if (open == null) {
                core.post(this::givenUp);
                return;
            }
            Transport.runAfterReading(open.connection, () -> {
                if (open.current == this) {
                    open.keepPartial(this, false);
                }
                open.connection.terminateSilently(); // on this thread nothing is being written meanwhile
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

        /** Gives the request up if none of its bytes is written, and says whether it did. */
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

        /** Whether its last byte has been written. */
        boolean isWritten() {
            return written;
        }

        /** Nobody waits for the answer any more; gives the connection that it may be on its way on, or null. */
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

    /** Hands what is read to its link. */
    private final class AnswerFilter extends BaseFilter {
        @Override
        public NextAction handleRead(FilterChainContext context) {
            Link link = links.get(context.getConnection());
            byte[] bytes = Transport.toBytes(context.getMessage());
            if (link == null) {
                context.getConnection().closeSilently(); // it spoke before it was asked
            } else {
                link.bytes(bytes);
            }
            return context.getStopAction();
        }

        @Override
        public NextAction handleClose(FilterChainContext context) {
            Link link = links.get(context.getConnection());
            if (link != null) {
                link.closed(Transport.isClosedByPeer(context.getConnection()));
            }
            return context.getInvokeAction();
        }

        @Override
        public void exceptionOccurred(FilterChainContext context, Throwable error) {
            context.getConnection().closeSilently(); // what can't be read is as good as a broken connection
        }
    }
}
