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
import lilaclever.lab.sockets.Wire;
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

/** Clients' connections at the moments where the loop and the selector thread cross. */
class HttpServerFilterTest extends TwoThreadFixture {
    private final LinkedBlockingQueue<HttpServerFilter.Request> requests = new LinkedBlockingQueue<>();
    private HttpServerFilter serverFilter;

    private InetSocketAddress listen(BaseFilter filter) throws IOException {
        var chain = serverFilter.chain();
        chain.set(1, filter); // in the intake's place, which it calls
        TCPNIOServerConnection listener = transport.listen(new InetSocketAddress("127.0.0.1", 0), chain);
        return (InetSocketAddress) listener.getLocalAddress();
    }

    private static Wire connect(InetSocketAddress address) throws IOException {
        Wire wire = new Wire(new Socket(address.getAddress(), address.getPort()));
        wire.patience(20_000);
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
     * Its write of an answer is over only once the next request has been read, or cannot be: the order that a race may
     * take.
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

    /** Guards large requests on the heels of an answer: they were taken for pipelined ones without room, and lost. */
    @Test
    void aLargeRequestMayArriveBeforeTheLastWriteCompletes() throws Exception {
        serverFilter = new HttpServerFilter(core, 10, 10, requests::add);
        try (Wire client = connect(listen(new DelayedWriteFilter()))) {
            client.say(requestText("/1", 0));
            HttpServerFilter.Request first = nextRequest();
            core.post(() -> respond(first, ""));
            assertEquals("200", client.read().target());
            client.say(requestText("/2", 60_000));
            respond(nextRequest(), "");
            assertEquals("200", client.read().target());
        }
    }

    /**
     * A request that lies unread in the socket of a connection that looks idle, as it is to close, is answered first.
     */
    @Test
    void anUnreadRequestIsAnsweredBeforeItsConnectionCloses() throws Exception {
        serverFilter = new HttpServerFilter(core, 10, 10, requests::add);
        InetSocketAddress address = listen(serverFilter);
        try (Wire client = connect(address)) {
            client.say(requestText("/1", 0));
            respond(nextRequest(), "");
            assertEquals("200", client.read().target());
            CountDownLatch free = blockSelector();
            client.say(requestText("/2", 0));
            runOnLoop(serverFilter::close);
            free.countDown();
            HttpServerFilter.Request second = nextRequest();
            assertEquals("/2", second.path());
            respond(second, "");
            Wire.Head last = client.read();
            assertEquals("close", last.headers().get("Connection"));
            assertNull(client.read());
        }
    }

    /** Where all the room is taken by those who wait for an answer, a newcomer is told to come again, in words. */
    @Test
    void aNewConnectionWithoutCapacityIsRejectedWithAResponse() throws Exception {
        serverFilter = new HttpServerFilter(core, 8, 8, requests::add); // one place of them is for those who leave
        InetSocketAddress address = listen(serverFilter);
        Wire[] waiting = new Wire[7];
        for (int i = 0; i < 7; i++) {
            waiting[i] = connect(address);
            waiting[i].say(requestText("/" + i, 0));
            assertTrue(nextRequest() != null);
        }
        try (Wire newcomer = connect(address)) {
            newcomer.say(requestText("/8", 0));
            Wire.Head answer = newcomer.read();
            assertEquals("503", answer.target());
            assertEquals("1", answer.headers().get("Retry-After"));
            assertNull(newcomer.read());
        }
        for (Wire each : waiting) {
            each.close();
        }
    }

    /** Waits until the selector thread has read what had come, so many times over. */
    private void awaitSelections(int times) throws InterruptedException {
        LinkedBlockingQueue<Connection<?>> up = new LinkedBlockingQueue<>();
        InetSocketAddress anywhere = new InetSocketAddress(server.getInetAddress(), server.getLocalPort());
        transport.connect(anywhere, Transport.chain(new BaseFilter() {}), up::add, Throwable::printStackTrace);
        Connection<?> any = up.poll(20, TimeUnit.SECONDS);
        for (int i = 0; i < times; i++) {
            CountDownLatch read = new CountDownLatch(1);
            Transport.runAfterReading(any, read::countDown);
            assertTrue(read.await(20, TimeUnit.SECONDS));
        }
    }

    // ---- requests that were read ---------------------------------------------------------------------------
    private Wire connectAndCompleteRequest(InetSocketAddress address, int number) throws Exception {
        Wire wire = connect(address);
        wire.say(requestText("/first" + number, 0));
        respond(nextRequest(), "");
        assertEquals("200", wire.read().target());
        return wire;
    }

    /**
     * Connections that were chosen for eviction while idle, and whose next request is read before they are closed: the
     * request is answered, whoever else comes. The order of events within one selection is the system's: of several
     * rounds nearly every one evicts a connection whose request is read in that same selection.
     */
    @Test
    void anEvictedConnectionWhoseRequestWasReadIsAnswered() throws Exception {
        for (int round = 0; round < 5; round++) {
            serverFilter = new HttpServerFilter(core, 8, 8, requests::add); // seven stay, and one place is for those who leave
            InetSocketAddress address = listen(serverFilter);
            Wire[] clients = new Wire[7];
            for (int i = 0; i < clients.length; i++) {
                clients[i] = connectAndCompleteRequest(address, i);
            }
            CountDownLatch free = blockSelector();
            for (int i = 0; i < clients.length; i++) {
                clients[i].say(requestText("/" + i, 0));
            }
            Wire[] newcomers = {connect(address), connect(address), connect(address)};
            free.countDown();
            for (HttpServerFilter.Request r = requests.poll(2, TimeUnit.SECONDS);
                    r != null;
                    r = requests.poll(300, TimeUnit.MILLISECONDS)) {
                respond(r, "");
                Wire.Head head = clients[Integer.parseInt(r.path().substring(1))].read();
                assertEquals("200", head == null ? "closed" : head.target(), "round " + round + " " + r.path());
            }
            for (Wire each : clients) {
                each.close();
            }
            for (Wire each : newcomers) {
                each.close();
            }
        }
    }

    /** Requests that were read while an earlier one was open are answered before the connection closes. */
    @ParameterizedTest
    @ValueSource(strings = {"shutdown", "many connections"})
    void pipelinedRequestsAreAnsweredBeforeTheConnectionCloses(String cause) throws Exception {
        serverFilter = new HttpServerFilter(core, 10, cause.equals("shutdown") ? 10 : 0, requests::add);
        try (Wire client = connect(listen(serverFilter))) {
            client.say(requestText("/1", 0) + requestText("/2", 0) + requestText("/3", 0));
            HttpServerFilter.Request first = nextRequest();
            if (cause.equals("shutdown")) {
                runOnLoop(serverFilter::close);
            }
            respond(first, "");
            assertEquals("200", client.read().target());
            for (String path : List.of("/2", "/3")) {
                HttpServerFilter.Request request = nextRequest();
                assertEquals(path, request == null ? "none" : request.path());
                respond(request, "");
                assertEquals("200", client.read().target());
            }
            assertNull(client.read());
        }
    }

    /** Of requests sent ahead those that fit are answered, and the one that does not is told to come again. */
    @Test
    void excessPipelinedDataIsRejectedWithAResponse() throws Exception {
        serverFilter = new HttpServerFilter(core, 10, 10, requests::add);
        try (Wire client = connect(listen(serverFilter))) {
            client.say(requestText("/1", 0));
            HttpServerFilter.Request first = nextRequest();
            client.say(requestText("/2", 0) + requestText("/3", 40_000));
            awaitSelections(4); // each reads up to 16 KiB
            respond(first, "");
            assertEquals("200", client.read().target());
            HttpServerFilter.Request second = nextRequest();
            assertEquals("/2", second == null ? "none" : second.path());
            respond(second, "");
            assertEquals("200", client.read().target());
            assertEquals("503", client.read().target());
            assertNull(client.read());
        }
    }

    /** A request is answered whatever its client sends behind it. */
    @Test
    void excessDataAfterARequestDoesNotCutOffItsResponse() throws Exception {
        serverFilter = new HttpServerFilter(core, 10, 10, requests::add);
        try (Wire client = connect(listen(serverFilter))) {
            client.say(requestText("/1", 0));
            HttpServerFilter.Request first = nextRequest();
            client.write("", new byte[12 << 20]);
            respond(first, "");
            assertEquals("200", client.read().target());
        }
    }

    /** A request whose handling fails is answered as failed. */
    @Test
    void aRequestWhoseHandlerFailsIsAnswered() throws Exception {
        serverFilter = new HttpServerFilter(core, 10, 10, request -> {
            throw new IllegalStateException("a fault of the handler's");
        });
        try (Wire client = connect(listen(serverFilter))) {
            client.say(requestText("/1", 0));
            Wire.Head head = client.read();
            assertEquals("500", head == null ? "closed" : head.target());
        }
    }

    /** A close while an answer is still being written, as its client reads slowly, waits for the answer's last byte. */
    @Test
    void aCloseWaitsForAResponseBeingWritten() throws Exception {
        serverFilter = new HttpServerFilter(core, 10, 10, requests::add);
        InetSocketAddress address = listen(serverFilter);
        Socket socket = new Socket();
        socket.setReceiveBufferSize(4096);
        socket.connect(address);
        try (Wire client = new Wire(socket)) {
            client.patience(20_000);
            client.say(requestText("/1", 0));
            respond(nextRequest(), "x".repeat(4 << 20));
            runOnLoop(serverFilter::close);
            awaitSelections(2); // the close has been carried out
            assertEquals(4 << 20, client.read().body().length);
            assertNull(client.read());
        }
    }
    /** A client that ends its sending behind a request still reads, and gets its answer. */
    @Test
    void aHalfClosedClientIsAnswered() throws Exception {
        serverFilter = new HttpServerFilter(core, 10, 10, requests::add);
        InetSocketAddress address = listen(serverFilter);
        try (Socket socket = new Socket(address.getAddress(), address.getPort());
                Wire client = new Wire(socket)) {
            client.patience(20_000);
            client.say(requestText("/1", 0));
            socket.shutdownOutput();
            HttpServerFilter.Request first = nextRequest();
            awaitSelections(1); // the end of its sending has been read
            respond(first, "");
            Wire.Head head = client.read();
            while (head != null && head.target().equals("100")) {
                head = client.read();
            }
            assertEquals("200", head == null ? "closed" : head.target());
            assertNull(client.read());
        }
    }

    /** The end of a client's sending does not cut an answer off that it is still reading. */
    @Test
    void aHalfClosedClientReceivesItsWholeResponse() throws Exception {
        serverFilter = new HttpServerFilter(core, 10, 10, requests::add);
        InetSocketAddress address = listen(serverFilter);
        try (Socket socket = new Socket()) {
            socket.setReceiveBufferSize(4096);
            socket.connect(address);
            Wire client = new Wire(socket);
            client.patience(20_000);
            client.say(requestText("/1", 0));
            respond(nextRequest(), "x".repeat(4 << 20));
            socket.shutdownOutput();
            awaitSelections(1); // the end of its sending has been read
            assertEquals(4 << 20, client.read().body().length);
            assertNull(client.read());
        }
    }

    /** One that has closed its connection is gone: its message is not taken on, as it is handed in again. */
    @Test
    void aClientThatHasClosedIsGone() throws Exception {
        serverFilter = new HttpServerFilter(core, 10, 10, requests::add);
        InetSocketAddress address = listen(serverFilter);
        Wire client = connect(address);
        client.say(requestText("/1", 0));
        HttpServerFilter.Request first = nextRequest();
        client.close();
        awaitSelections(1); // the end has been read
        assertTrue(first.exchange().isClientGone());
    }
}
