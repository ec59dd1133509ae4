package lilaclever.protocol.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import lilaclever.simulation.sockets.StandInConnection;
import lilaclever.transport.Transport;
import org.glassfish.grizzly.CompletionHandler;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.EmptyCompletionHandler;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.nio.transport.TCPNIOServerConnection;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Client connections where the event loop and the selector thread race. */
class HttpServerFilterTest extends TwoThreadFixture {
    /** As documented in docs/bounds.md. */
    private static final int MAX_REQUESTS_PER_TURN = 16;

    private final LinkedBlockingQueue<HttpServerFilter.Request> requests = new LinkedBlockingQueue<>();
    private HttpServerFilter serverFilter;

    private InetSocketAddress listen(BaseFilter filter) throws IOException {
        var chain = serverFilter.chain();
        chain.set(1, filter); // in place of the server filter, to which it delegates
        TCPNIOServerConnection listener = transport.listen(new InetSocketAddress("127.0.0.1", 0), chain);
        return (InetSocketAddress) listener.getLocalAddress();
    }

    private static StandInConnection connect(InetSocketAddress address) throws IOException {
        StandInConnection wire = new StandInConnection(new Socket(address.getAddress(), address.getPort()));
        wire.setReadTimeout(20_000);
        return wire;
    }

    private HttpServerFilter.Request nextRequest() throws InterruptedException {
        return requests.poll(20, TimeUnit.SECONDS);
    }

    private static void respond(HttpServerFilter.Request request, String body) {
        request.exchange().respond(200, Map.of(), body.getBytes(StandardCharsets.UTF_8), () -> {});
    }

    private static String requestText(String path, int length) {
        return "GET " + path + " HTTP/1.1\r\nContent-Length: " + length + "\r\n\r\n" + "x".repeat(length);
    }

    /**
     * Completes the write of a response only after the next request has been read, or after a while: an order that a
     * race can produce.
     */
    private final class DelayedWriteFilter extends BaseFilter {
        private final CountDownLatch secondRead = new CountDownLatch(2);

        @Override
        public NextAction handleAccept(FilterChainContext context) {
            return serverFilter.handleAccept(context);
        }

        @Override
        public NextAction handleClose(FilterChainContext context) {
            return serverFilter.handleClose(context);
        }

        @Override
        public NextAction handleRead(FilterChainContext context) {
            NextAction action = serverFilter.handleRead(context);
            secondRead.countDown();
            return action;
        }

        @Override
        @SuppressWarnings({"unchecked", "rawtypes"})
        public NextAction handleWrite(FilterChainContext context) {
            CompletionHandler written = context.getTransportContext().getCompletionHandler();
            context.getTransportContext().setCompletionHandler(new EmptyCompletionHandler<Object>() {
                @Override
                public void completed(Object result) {
                    try {
                        secondRead.await(500, TimeUnit.MILLISECONDS);
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    }
                    written.completed(result);
                }
            });
            return context.getInvokeAction();
        }
    }

    /**
     * Guards against losing a large request sent right after a response because it is mistaken for a pipelined request
     * that exceeds the buffer.
     */
    @Test
    void aLargeRequestMayArriveBeforeTheLastWriteCompletes() throws Exception {
        serverFilter = new HttpServerFilter(core, 10, 10, requests::add);
        try (StandInConnection client = connect(listen(new DelayedWriteFilter()))) {
            client.writeText(requestText("/1", 0));
            HttpServerFilter.Request first = nextRequest();
            core.post(() -> respond(first, ""));
            assertEquals("200", client.readHttp().target());
            client.writeText(requestText("/2", 60_000));
            respond(nextRequest(), "");
            assertEquals("200", client.readHttp().target());
        }
    }

    /** The requests of one client that had sent hundreds at once were all handled before any other client's. */
    @Test
    void oneClientsPipelinedRequestsDoNotHoldUpAnother() throws Exception {
        LinkedBlockingQueue<String> handled = new LinkedBlockingQueue<>();
        serverFilter = new HttpServerFilter(core, 10, 10, request -> {
            handled.add(request.path());
            respond(request, "");
        });
        InetSocketAddress address = listen(serverFilter);
        int count = 160;
        try (StandInConnection first = connect(address);
                StandInConnection second = connect(address)) {
            for (StandInConnection client : List.of(first, second)) {
                client.writeText(requestText("/accepted", 0));
                assertEquals("200", client.readHttp().target());
            }
            handled.clear();
            CountDownLatch release = blockSelector();
            first.writeText(requestText("/1", 0).repeat(count));
            second.writeText(requestText("/2", 0).repeat(count));
            release.countDown();
            String previous = "";
            int inARow = 0;
            for (int i = 0; i < 2 * count; i++) {
                String path = handled.poll(20, TimeUnit.SECONDS);
                inARow = previous.equals(path) ? inARow + 1 : 1;
                previous = path;
                assertTrue(inARow <= MAX_REQUESTS_PER_TURN, inARow + " of " + path);
            }
            for (int i = 0; i < count; i++) {
                assertEquals("200", first.readHttp().target());
                assertEquals("200", second.readHttp().target());
            }
        }
    }

    /** A client that ends its sending behind many requests lost those that waited for their turn. */
    @Test
    void pipelinedRequestsBeforeTheEndOfInputAreAllAnswered() throws Exception {
        serverFilter = new HttpServerFilter(core, 10, 10, request -> respond(request, ""));
        InetSocketAddress address = listen(serverFilter);
        int count = 10 * MAX_REQUESTS_PER_TURN;
        try (Socket socket = new Socket(address.getAddress(), address.getPort());
                StandInConnection client = new StandInConnection(socket)) {
            client.setReadTimeout(20_000);
            CountDownLatch release = blockSelector();
            client.writeText(requestText("/1", 0).repeat(count));
            socket.shutdownOutput();
            release.countDown();
            int answered = 0;
            for (StandInConnection.HttpMessage answer = client.readHttp(); answer != null; answer = client.readHttp()) {
                answered += answer.target().equals("200") ? 1 : 0;
            }
            assertEquals(count, answered);
        }
    }

    /** A request unread in the socket of a connection that looks idle is answered before the connection is closed. */
    @Test
    void anUnreadRequestIsAnsweredBeforeItsConnectionCloses() throws Exception {
        serverFilter = new HttpServerFilter(core, 10, 10, requests::add);
        InetSocketAddress address = listen(serverFilter);
        try (StandInConnection client = connect(address)) {
            client.writeText(requestText("/1", 0));
            respond(nextRequest(), "");
            assertEquals("200", client.readHttp().target());
            CountDownLatch release = blockSelector();
            client.writeText(requestText("/2", 0));
            runOnLoop(serverFilter::close);
            release.countDown();
            HttpServerFilter.Request second = nextRequest();
            assertEquals("/2", second.path());
            respond(second, "");
            StandInConnection.HttpMessage last = client.readHttp();
            assertEquals("close", last.headers().get("Connection"));
            assertNull(client.readHttp());
        }
    }

    /**
     * When all capacity is taken by clients that wait for a response, a new one gets a response that tells it to retry
     * later.
     */
    @Test
    void aNewConnectionWithoutCapacityIsRejectedWithAResponse() throws Exception {
        serverFilter = new HttpServerFilter(
                core, 8, 8, requests::add); // one place of them is reserved for closing connections
        InetSocketAddress address = listen(serverFilter);
        StandInConnection[] waiting = new StandInConnection[7];
        for (int i = 0; i < 7; i++) {
            waiting[i] = connect(address);
            waiting[i].writeText(requestText("/" + i, 0));
            assertTrue(nextRequest() != null);
        }
        try (StandInConnection newcomer = connect(address)) {
            newcomer.writeText(requestText("/8", 0));
            StandInConnection.HttpMessage response = newcomer.readHttp();
            assertEquals("503", response.target());
            assertEquals("1", response.headers().get("Retry-After"));
            assertNull(newcomer.readHttp());
        }
        for (StandInConnection each : waiting) {
            each.close();
        }
    }

    /** Waits until the selector thread has read pending input the given number of times. */
    private void awaitSelections(int times) throws InterruptedException {
        LinkedBlockingQueue<Connection<?>> opened = new LinkedBlockingQueue<>();
        InetSocketAddress anywhere = new InetSocketAddress(server.getInetAddress(), server.getLocalPort());
        transport.connect(anywhere, Transport.chain(new BaseFilter() {}), opened::add, Throwable::printStackTrace);
        Connection<?> connection = opened.poll(20, TimeUnit.SECONDS);
        for (int i = 0; i < times; i++) {
            CountDownLatch read = new CountDownLatch(1);
            Transport.runAfterReading(connection, read::countDown);
            assertTrue(read.await(20, TimeUnit.SECONDS));
        }
    }

    private StandInConnection connectAndCompleteRequest(InetSocketAddress address, int number) throws Exception {
        StandInConnection wire = connect(address);
        wire.writeText(requestText("/first" + number, 0));
        respond(nextRequest(), "");
        assertEquals("200", wire.readHttp().target());
        return wire;
    }

    /**
     * Connections are chosen for eviction while idle, and their next requests are read before they are closed: the
     * requests are answered whatever connections follow. The system orders the events within one selection, but over
     * several rounds nearly every round evicts a connection whose request is read in the same selection.
     */
    @Test
    void anEvictedConnectionWhoseRequestWasReadIsAnswered() throws Exception {
        for (int round = 0; round < 5; round++) {
            serverFilter = new HttpServerFilter(core, 8, 8, requests::add); // seven stay, one is reserved
            InetSocketAddress address = listen(serverFilter);
            StandInConnection[] clients = new StandInConnection[7];
            for (int i = 0; i < clients.length; i++) {
                clients[i] = connectAndCompleteRequest(address, i);
            }
            CountDownLatch release = blockSelector();
            for (int i = 0; i < clients.length; i++) {
                clients[i].writeText(requestText("/" + i, 0));
            }
            StandInConnection[] newcomers = {connect(address), connect(address), connect(address)};
            release.countDown();
            for (HttpServerFilter.Request r = requests.poll(2, TimeUnit.SECONDS);
                    r != null;
                    r = requests.poll(300, TimeUnit.MILLISECONDS)) {
                respond(r, "");
                StandInConnection.HttpMessage head =
                        clients[Integer.parseInt(r.path().substring(1))].readHttp();
                assertEquals("200", head == null ? "closed" : head.target(), "round " + round + " " + r.path());
            }
            for (StandInConnection each : clients) {
                each.close();
            }
            for (StandInConnection each : newcomers) {
                each.close();
            }
        }
    }

    /** Pipelined requests that were read are answered before the connection closes. */
    @ParameterizedTest
    @ValueSource(strings = {"shutdown", "many connections"})
    void pipelinedRequestsAreAnsweredBeforeTheConnectionCloses(String cause) throws Exception {
        serverFilter = new HttpServerFilter(core, 10, cause.equals("shutdown") ? 10 : 0, requests::add);
        try (StandInConnection client = connect(listen(serverFilter))) {
            client.writeText(requestText("/1", 0) + requestText("/2", 0) + requestText("/3", 0));
            HttpServerFilter.Request first = nextRequest();
            if (cause.equals("shutdown")) {
                runOnLoop(serverFilter::close);
            }
            respond(first, "");
            assertEquals("200", client.readHttp().target());
            for (String path : List.of("/2", "/3")) {
                HttpServerFilter.Request request = nextRequest();
                assertEquals(path, request == null ? "none" : request.path());
                respond(request, "");
                assertEquals("200", client.readHttp().target());
            }
            assertNull(client.readHttp());
        }
    }

    /**
     * Of pipelined requests those that fit are answered, and the first that does not is rejected with a retry-after.
     */
    @Test
    void excessPipelinedDataIsRejectedWithAResponse() throws Exception {
        serverFilter = new HttpServerFilter(core, 10, 10, requests::add);
        try (StandInConnection client = connect(listen(serverFilter))) {
            client.writeText(requestText("/1", 0));
            HttpServerFilter.Request first = nextRequest();
            client.writeText(requestText("/2", 0) + requestText("/3", 40_000));
            awaitSelections(4); // each reads up to 16 KiB
            respond(first, "");
            assertEquals("200", client.readHttp().target());
            HttpServerFilter.Request second = nextRequest();
            assertEquals("/2", second == null ? "none" : second.path());
            respond(second, "");
            assertEquals("200", client.readHttp().target());
            assertEquals("503", client.readHttp().target());
            assertNull(client.readHttp());
        }
    }

    /** A request is answered whatever its client sends after it. */
    @Test
    void excessDataAfterARequestDoesNotCutOffItsResponse() throws Exception {
        serverFilter = new HttpServerFilter(core, 10, 10, requests::add);
        try (StandInConnection client = connect(listen(serverFilter))) {
            client.writeText(requestText("/1", 0));
            HttpServerFilter.Request first = nextRequest();
            client.write("", new byte[12 << 20]);
            respond(first, "");
            assertEquals("200", client.readHttp().target());
        }
    }

    /** A request whose handling fails gets an error response. */
    @Test
    void aRequestWhoseHandlerFailsIsAnswered() throws Exception {
        serverFilter = new HttpServerFilter(core, 10, 10, request -> {
            throw new IllegalStateException("handler failure");
        });
        try (StandInConnection client = connect(listen(serverFilter))) {
            client.writeText(requestText("/1", 0));
            StandInConnection.HttpMessage head = client.readHttp();
            assertEquals("500", head == null ? "closed" : head.target());
        }
    }

    /** A close while a slow client is still receiving a response waits for the response's last byte. */
    @Test
    void aCloseWaitsForAResponseBeingWritten() throws Exception {
        serverFilter = new HttpServerFilter(core, 10, 10, requests::add);
        InetSocketAddress address = listen(serverFilter);
        Socket socket = new Socket();
        socket.setReceiveBufferSize(4096);
        socket.connect(address);
        try (StandInConnection client = new StandInConnection(socket)) {
            client.setReadTimeout(20_000);
            client.writeText(requestText("/1", 0));
            respond(nextRequest(), "x".repeat(4 << 20));
            runOnLoop(serverFilter::close);
            awaitSelections(2); // the close has been executed
            assertEquals(4 << 20, client.readHttp().body().length);
            assertNull(client.readHttp());
        }
    }

    /** A client that half-closes after a request still reads, and gets its response. */
    @Test
    void aHalfClosedClientIsAnswered() throws Exception {
        serverFilter = new HttpServerFilter(core, 10, 10, requests::add);
        InetSocketAddress address = listen(serverFilter);
        try (Socket socket = new Socket(address.getAddress(), address.getPort());
                StandInConnection client = new StandInConnection(socket)) {
            client.setReadTimeout(20_000);
            client.writeText(requestText("/1", 0));
            socket.shutdownOutput();
            HttpServerFilter.Request first = nextRequest();
            awaitSelections(1); // the end of its input has been read
            respond(first, "");
            StandInConnection.HttpMessage head = client.readHttp();
            while (head != null && head.target().equals("100")) {
                head = client.readHttp();
            }
            assertEquals("200", head == null ? "closed" : head.target());
            assertNull(client.readHttp());
        }
    }

    /** The end of a client's input does not cut off a response that the client is still receiving. */
    @Test
    void aHalfClosedClientReceivesItsWholeResponse() throws Exception {
        serverFilter = new HttpServerFilter(core, 10, 10, requests::add);
        InetSocketAddress address = listen(serverFilter);
        try (Socket socket = new Socket()) {
            socket.setReceiveBufferSize(4096);
            socket.connect(address);
            StandInConnection client = new StandInConnection(socket);
            client.setReadTimeout(20_000);
            client.writeText(requestText("/1", 0));
            respond(nextRequest(), "x".repeat(4 << 20));
            socket.shutdownOutput();
            awaitSelections(1); // the end of its input has been read
            assertEquals(4 << 20, client.readHttp().body().length);
            assertNull(client.readHttp());
        }
    }

    /**
     * A client that has closed its connection is reported as gone: its message is not accepted, as the client will
     * submit it again.
     */
    @Test
    void aClientThatHasClosedIsGone() throws Exception {
        serverFilter = new HttpServerFilter(core, 10, 10, requests::add);
        InetSocketAddress address = listen(serverFilter);
        StandInConnection client = connect(address);
        client.writeText(requestText("/1", 0));
        HttpServerFilter.Request first = nextRequest();
        client.close();
        awaitSelections(1); // the end of its input has been read
        assertTrue(first.exchange().isClientDisconnected());
    }
}
