package lilaclever.protocol.http;

import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import lilaclever.transport.Transport;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.Grizzly;
import org.glassfish.grizzly.attributes.Attribute;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.http.HttpContent;
import org.glassfish.grizzly.http.HttpRequestPacket;
import org.glassfish.grizzly.http.HttpResponsePacket;
import org.glassfish.grizzly.memory.Buffers;
import org.glassfish.grizzly.memory.MemoryManager;

/** The server's side of HTTP: gathers requests and writes answers; knows which connections are idle. */
final class IntakeFilter extends BaseFilter {
    private static final int LARGEST = 64 * 1024;
    private static final byte[] NOTHING = {};

    /** One request; headers by lower-case name. */
    record Request(String method, String path, Map<String, String> headers, byte[] body, long arrivedMicros,
            Exchange exchange) { }

    private final Consumer<Request> handler;
    private final Set<Connection<?>> connections = ConcurrentHashMap.newKeySet();
    private final Attribute<Exchange> open =
            Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("IntakeFilter.exchange");
    private volatile boolean closing;

    /** The handler is called on the selector thread. */
    IntakeFilter(Consumer<Request> handler) {
        this.handler = handler;
    }

    /** One request's answer. */
    final class Exchange {
        private final Connection<?> connection;
        private final HttpResponsePacket response;
        private final boolean keep;

        private Exchange(Connection<?> connection, HttpRequestPacket request) {
            this.connection = connection;
            this.response = request.getResponse();
            this.keep = request.getProcessingState().isKeepAlive();
        }

        boolean gone() {
            return !connection.isOpen();
        }

        /** Writes the answer; {@code lost} is run if it could not be written. */
        void answer(int status, Map<String, String> headers, byte[] body, Runnable lost) {
            boolean stay = keep && !closing;
            response.setStatus(status);
            headers.forEach(response::setHeader);
            response.setContentLength(body.length);
            if (!stay) {
                response.setHeader("Connection", "close");
            }
            open.remove(connection);
            Buffer content = Buffers.wrap(MemoryManager.DEFAULT_MEMORY_MANAGER, body);
            Transport.write(connection, response.httpContentBuilder().content(content).last(true).build(), () -> {
                if (!stay) {
                    connection.closeSilently();
                }
            }, () -> {
                connection.closeSilently();
                lost.run();
            });
        }
    }

    /** Closes idle connections, and each other one after its answer. */
    void closeIdle() {
        closing = true;
        connections.stream().filter(c -> open.get(c) == null).forEach(Connection::closeSilently);
    }

    @Override
    public NextAction handleAccept(FilterChainContext context) throws IOException {
        connections.add(context.getConnection());
        return context.getInvokeAction();
    }

    @Override
    public NextAction handleClose(FilterChainContext context) throws IOException {
        connections.remove(context.getConnection());
        return context.getInvokeAction();
    }

    @Override
    public NextAction handleRead(FilterChainContext context) throws IOException {
        HttpContent content = context.getMessage();
        HttpRequestPacket head = (HttpRequestPacket) content.getHttpHeader();
        Connection<?> connection = context.getConnection();
        Exchange exchange = open.get(connection);
        if (exchange == null) {
            exchange = new Exchange(connection, head);
            open.set(connection, exchange);
        } else if (exchange.response != head.getResponse()) {
            connection.closeSilently(); // a second request before the answer to the first: answers could be mixed up
            return context.getStopAction();
        }
        if (content.getContent().remaining() > LARGEST) {
            exchange.answer(413, Map.of("Connection", "close"), NOTHING, () -> { });
            connection.closeSilently();
            return context.getStopAction();
        }
        if (!content.isLast()) {
            return context.getStopAction(content);
        }
        Map<String, String> headers = new LinkedHashMap<>();
        head.getHeaders().names().forEach(name -> headers.put(name.toLowerCase(), head.getHeader(name)));
        handler.accept(new Request(head.getMethod().getMethodString(), head.getRequestURI(), headers,
                HttpFilters.bytes(content), System.nanoTime() / 1000, exchange));
        return context.getStopAction();
    }

    @Override
    public void exceptionOccurred(FilterChainContext context, Throwable error) {
        context.getConnection().closeSilently();
    }
}
