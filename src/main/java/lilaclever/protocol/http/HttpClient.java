package lilaclever.protocol.http;

import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.Map;
import lilaclever.routing.Core;
import lilaclever.routing.Counters;
import lilaclever.routing.Deadlines;
import lilaclever.transport.ConnectionPool;
import lilaclever.transport.Transport;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.Grizzly;
import org.glassfish.grizzly.attributes.Attribute;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChain;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.http.HttpClientFilter;
import org.glassfish.grizzly.http.HttpContent;
import org.glassfish.grizzly.http.HttpRequestPacket;
import org.glassfish.grizzly.http.HttpResponsePacket;
import org.glassfish.grizzly.http.Method;
import org.glassfish.grizzly.http.Protocol;
import org.glassfish.grizzly.memory.Buffers;
import org.glassfish.grizzly.memory.MemoryManager;

/**
 * Requests over HTTP/1.1, one at a time on a connection. Nothing is ever sent twice: a request that breaks is told
 * to its owner. Used from the loop thread; what comes in on the selector thread is posted there.
 */
final class HttpClient {
    private static final long SWEEP = 500_000;
    /** Part of the time that an endpoint keeps an idle connection after which it is dropped here. */
    private static final double KEEP_PART = 0.8;

    /** How a request went; one of the two is called, once, on the loop thread. */
    interface Listener {
        /** The whole answer is here. */
        void answered(int status, Map<String, String> headers, byte[] body);

        /** No answer will come. {@code written}: the request's last byte had been written. */
        void broke(boolean written);
    }

    private final Core core;
    private final Transport transport;
    private final long connectMicros;
    private final ConnectionPool pool;
    private final FilterChain chain;
    private final Attribute<Exchange> exchanges;

    HttpClient(Core core, Transport transport, String name, long connectMicros, long keepAliveMicros) {
        this.core = core;
        this.transport = transport;
        this.connectMicros = connectMicros;
        this.pool = new ConnectionPool((long) (KEEP_PART * keepAliveMicros));
        this.exchanges = Grizzly.DEFAULT_ATTRIBUTE_BUILDER
                .createAttribute("HttpClient." + name);
        this.chain = Transport.chain(new HttpClientFilter(), new AnswerFilter());
    }

    /** Starts to drop connections that were idle for too long. */
    void start() {
        pool.sweep(core.now());
        core.deadlines().at(core.now() + SWEEP, this::start);
    }

    void closeIdle(String address) {
        pool.closeIdle(address);
    }

    /** Sends a request; headers by name. */
    Exchange send(String address, String method, String path, Map<String, String> headers, byte[] body,
            Listener listener) {
        HttpRequestPacket.Builder head = HttpRequestPacket.builder().method(Method.valueOf(method)).uri(path)
                .protocol(Protocol.HTTP_1_1).header("Host", address).contentLength(body.length);
        headers.forEach(head::header);
        Buffer content = Buffers.wrap(MemoryManager.DEFAULT_MEMORY_MANAGER, body);
        Exchange exchange = new Exchange(address, head.build().httpContentBuilder().content(content).last(true).build(),
                listener);
        Connection<?> idle = pool.take(address, core.now());
        if (idle != null) {
            exchange.write(idle);
        } else {
            exchange.connect();
        }
        return exchange;
    }

    /** One request and what becomes of it. */
    final class Exchange {
        private final String address;
        private final HttpContent request;
        private final Listener listener;
        private Connection<?> connection;
        private Deadlines.Key connectBy;
        private boolean done;
        /** Set by the thread that writes, before any close of the connection is posted. */
        private volatile boolean written;

        private Exchange(String address, HttpContent request, Listener listener) {
            this.address = address;
            this.request = request;
            this.listener = listener;
        }

        private void connect() {
            connectBy = core.deadlines().at(core.now() + connectMicros, () -> finish(() -> listener.broke(false)));
            core.counters().add(Counters.Name.CONNECTIONS);
            transport.connect(Transport.address(address), chain, up -> core.post(() -> {
                core.deadlines().cancel(connectBy);
                if (done) {
                    up.closeSilently();
                } else {
                    write(up);
                }
            }), problem -> core.post(() -> finish(() -> listener.broke(false))));
        }

        private void write(Connection<?> to) {
            connection = to;
            exchanges.set(to, this);
            if (!to.isOpen()) {
                closed(); // closed before it was ours: its close was told to nobody
                return;
            }
            Transport.write(to, request, () -> written = true, () -> {
                to.closeSilently();
                core.post(this::closed);
            });
        }

        private void closed() {
            finish(() -> listener.broke(written));
        }

        private void answered(int status, Map<String, String> headers, byte[] body, boolean keep) {
            Connection<?> used = connection;
            // An answer that came before the request was out leaves the rest of it on the connection.
            if (!done && keep && written && used.isOpen()) {
                exchanges.remove(used);
                pool.giveBack(address, used, core.now());
                connection = null;
            }
            finish(() -> listener.answered(status, headers, body));
        }

        private void finish(Runnable tell) {
            if (!done) {
                close();
                tell.run();
            }
        }

        /** Gives the request up by closing its connection; true if its last byte had been written. */
        boolean close() {
            done = true;
            core.deadlines().cancel(connectBy);
            if (connection != null) {
                exchanges.remove(connection);
                connection.closeSilently();
            }
            return written;
        }
    }

    /** Gathers an answer and hands it to its exchange. */
    private final class AnswerFilter extends BaseFilter {
        @Override
        public NextAction handleRead(FilterChainContext context) throws IOException {
            HttpContent content = context.getMessage();
            if (!content.isLast()) {
                return context.getStopAction(content);
            }
            HttpResponsePacket head = (HttpResponsePacket) content.getHttpHeader();
            Map<String, String> headers = new LinkedHashMap<>();
            head.getHeaders().names().forEach(name -> headers.put(name.toLowerCase(), head.getHeader(name)));
            byte[] body = HttpFilters.bytes(content);
            int status = head.getStatus();
            boolean keep = head.getProcessingState().isKeepAlive();
            Exchange exchange = exchanges.get(context.getConnection());
            if (exchange == null) {
                context.getConnection().closeSilently(); // an answer that nobody asked for
            } else {
                core.post(() -> exchange.answered(status, headers, body, keep));
            }
            return context.getStopAction();
        }

        @Override
        public NextAction handleClose(FilterChainContext context) throws IOException {
            Exchange exchange = exchanges.get(context.getConnection());
            if (exchange != null) {
                core.post(exchange::closed);
            }
            return context.getInvokeAction();
        }

        @Override
        public void exceptionOccurred(FilterChainContext context, Throwable error) {
            context.getConnection().closeSilently(); // what can't be read is as good as a broken connection
        }
    }
}
