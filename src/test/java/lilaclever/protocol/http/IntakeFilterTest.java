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
import lilaclever.lab.sockets.StandInConnection;
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
class IntakeFilterTest extends TwoThreads {
    private final LinkedBlockingQueue<IntakeFilter.Request> requests = new LinkedBlockingQueue<>();
    private IntakeFilter intake;

    private InetSocketAddress listen(BaseFilter filter) throws IOException {
        var chain = intake.chain();
        chain.set(1, filter); // in the intake's place, which it calls
        TCPNIOServerConnection listener = transport.listen(new InetSocketAddress("127.0.0.1", 0), chain);
        return (InetSocketAddress) listener.getLocalAddress();
    }

    private static StandInConnection to(InetSocketAddress address) throws IOException {
        StandInConnection wire = new StandInConnection(new Socket(address.getAddress(), address.getPort()));
        wire.setReadTimeout(20_000);
        return wire;
    }

    private IntakeFilter.Request next() throws InterruptedException {
        return requests.poll(20, TimeUnit.SECONDS);
    }

    private static void answer(IntakeFilter.Request request, String body) {
        request.exchange().answer(200, Map.of(), body.getBytes(StandardCharsets.UTF_8), () -> {});
    }

    private static String asks(String path, int length) {
        return "GET " + path + " HTTP/1.1\r\nContent-Length: " + length + "\r\n\r\n" + "x".repeat(length);
    }

    /**
     * Its write of an answer is over only once the next request has been read, or cannot be: the order that a race may
     * take.
     */
    private final class Late extends BaseFilter {
        private final CountDownLatch second = new CountDownLatch(2);

        @Override
        public NextAction handleAccept(FilterChainContext context) {
            return intake.handleAccept(context);
        }

        @Override
        public NextAction handleClose(FilterChainContext context) {
            return intake.handleClose(context);
        }

        @Override
        public NextAction handleRead(FilterChainContext context) {
            NextAction action = intake.handleRead(context);
            second.countDown();
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
                        second.await(500, TimeUnit.MILLISECONDS);
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
    void aLargeRequestMayComeBeforeItsAnswersWriteIsOver() throws Exception {
        intake = new IntakeFilter(core, 10, 10, requests::add);
        try (StandInConnection client = to(listen(new Late()))) {
            client.writeText(asks("/1", 0));
            IntakeFilter.Request first = next();
            core.post(() -> answer(first, ""));
            assertEquals("200", client.readHttp().target());
            client.writeText(asks("/2", 60_000));
            answer(next(), "");
            assertEquals("200", client.readHttp().target());
        }
    }

    /**
     * A request that lies unread in the socket of a connection that looks idle, as it is to close, is answered first.
     */
    @Test
    void anUnreadRequestIsAnsweredBeforeItsConnectionCloses() throws Exception {
        intake = new IntakeFilter(core, 10, 10, requests::add);
        InetSocketAddress address = listen(intake);
        try (StandInConnection client = to(address)) {
            client.writeText(asks("/1", 0));
            answer(next(), "");
            assertEquals("200", client.readHttp().target());
            CountDownLatch free = hold();
            client.writeText(asks("/2", 0));
            onLoop(intake::close);
            free.countDown();
            IntakeFilter.Request second = next();
            assertEquals("/2", second.path());
            answer(second, "");
            StandInConnection.HttpMessage last = client.readHttp();
            assertEquals("close", last.headers().get("Connection"));
            assertNull(client.readHttp());
        }
    }

    /** Where all the room is taken by those who wait for an answer, a newcomer is told to come again, in words. */
    @Test
    void aNewcomerWithoutRoomIsToldSo() throws Exception {
        intake = new IntakeFilter(core, 8, 8, requests::add); // one place of them is for those who leave
        InetSocketAddress address = listen(intake);
        StandInConnection[] waiting = new StandInConnection[7];
        for (int i = 0; i < 7; i++) {
            waiting[i] = to(address);
            waiting[i].writeText(asks("/" + i, 0));
            assertTrue(next() != null);
        }
        try (StandInConnection newcomer = to(address)) {
            newcomer.writeText(asks("/8", 0));
            StandInConnection.HttpMessage answer = newcomer.readHttp();
            assertEquals("503", answer.target());
            assertEquals("1", answer.headers().get("Retry-After"));
            assertNull(newcomer.readHttp());
        }
        for (StandInConnection each : waiting) {
            each.close();
        }
    }

    /** Waits until the selector thread has read what had come, so many times over. */
    private void selections(int times) throws InterruptedException {
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
    private StandInConnection answeredOnce(InetSocketAddress address, int number) throws Exception {
        StandInConnection wire = to(address);
        wire.writeText(asks("/first" + number, 0));
        answer(next(), "");
        assertEquals("200", wire.readHttp().target());
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
            intake = new IntakeFilter(core, 8, 8, requests::add); // seven stay, and one place is for those who leave
            InetSocketAddress address = listen(intake);
            StandInConnection[] clients = new StandInConnection[7];
            for (int i = 0; i < clients.length; i++) {
                clients[i] = answeredOnce(address, i);
            }
            CountDownLatch free = hold();
            for (int i = 0; i < clients.length; i++) {
                clients[i].writeText(asks("/" + i, 0));
            }
            StandInConnection[] newcomers = {to(address), to(address), to(address)};
            free.countDown();
            for (IntakeFilter.Request r = requests.poll(2, TimeUnit.SECONDS);
                    r != null;
                    r = requests.poll(300, TimeUnit.MILLISECONDS)) {
                answer(r, "");
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

    /** Requests that were read while an earlier one was open are answered before the connection closes. */
    @ParameterizedTest
    @ValueSource(strings = {"shutdown", "many connections"})
    void pipelinedRequestsAreAnsweredBeforeTheConnectionCloses(String cause) throws Exception {
        intake = new IntakeFilter(core, 10, cause.equals("shutdown") ? 10 : 0, requests::add);
        try (StandInConnection client = to(listen(intake))) {
            client.writeText(asks("/1", 0) + asks("/2", 0) + asks("/3", 0));
            IntakeFilter.Request first = next();
            if (cause.equals("shutdown")) {
                onLoop(intake::close);
            }
            answer(first, "");
            assertEquals("200", client.readHttp().target());
            for (String path : List.of("/2", "/3")) {
                IntakeFilter.Request request = next();
                assertEquals(path, request == null ? "none" : request.path());
                answer(request, "");
                assertEquals("200", client.readHttp().target());
            }
            assertNull(client.readHttp());
        }
    }

    /** Of requests sent ahead those that fit are answered, and the one that does not is told to come again. */
    @Test
    void whatIsSentAheadBeyondTheRoomIsRefusedInWords() throws Exception {
        intake = new IntakeFilter(core, 10, 10, requests::add);
        try (StandInConnection client = to(listen(intake))) {
            client.writeText(asks("/1", 0));
            IntakeFilter.Request first = next();
            client.writeText(asks("/2", 0) + asks("/3", 40_000));
            selections(4); // each reads up to 16 KiB
            answer(first, "");
            assertEquals("200", client.readHttp().target());
            IntakeFilter.Request second = next();
            assertEquals("/2", second == null ? "none" : second.path());
            answer(second, "");
            assertEquals("200", client.readHttp().target());
            assertEquals("503", client.readHttp().target());
            assertNull(client.readHttp());
        }
    }

    /** A request is answered whatever its client sends behind it. */
    @Test
    void muchThatFollowsARequestDoesNotCutItsAnswer() throws Exception {
        intake = new IntakeFilter(core, 10, 10, requests::add);
        try (StandInConnection client = to(listen(intake))) {
            client.writeText(asks("/1", 0));
            IntakeFilter.Request first = next();
            client.write("", new byte[12 << 20]);
            answer(first, "");
            assertEquals("200", client.readHttp().target());
        }
    }

    /** A request whose handling fails is answered as failed. */
    @Test
    void aRequestWhoseHandlerFailsIsAnswered() throws Exception {
        intake = new IntakeFilter(core, 10, 10, request -> {
            throw new IllegalStateException("a fault of the handler's");
        });
        try (StandInConnection client = to(listen(intake))) {
            client.writeText(asks("/1", 0));
            StandInConnection.HttpMessage head = client.readHttp();
            assertEquals("500", head == null ? "closed" : head.target());
        }
    }

    /** A close while an answer is still being written, as its client reads slowly, waits for the answer's last byte. */
    @Test
    void aCloseWaitsForAnAnswerThatIsBeingWritten() throws Exception {
        intake = new IntakeFilter(core, 10, 10, requests::add);
        InetSocketAddress address = listen(intake);
        Socket socket = new Socket();
        socket.setReceiveBufferSize(4096);
        socket.connect(address);
        try (StandInConnection client = new StandInConnection(socket)) {
            client.setReadTimeout(20_000);
            client.writeText(asks("/1", 0));
            answer(next(), "x".repeat(4 << 20));
            onLoop(intake::close);
            selections(2); // the close has been carried out
            assertEquals(4 << 20, client.readHttp().body().length);
            assertNull(client.readHttp());
        }
    }
    /** A client that ends its sending behind a request still reads, and gets its answer. */
    @Test
    void aClientThatEndsItsSendingIsAnswered() throws Exception {
        intake = new IntakeFilter(core, 10, 10, requests::add);
        InetSocketAddress address = listen(intake);
        try (Socket socket = new Socket(address.getAddress(), address.getPort());
                StandInConnection client = new StandInConnection(socket)) {
            client.setReadTimeout(20_000);
            client.writeText(asks("/1", 0));
            socket.shutdownOutput();
            IntakeFilter.Request first = next();
            selections(1); // the end of its sending has been read
            answer(first, "");
            StandInConnection.HttpMessage head = client.readHttp();
            while (head != null && head.target().equals("100")) {
                head = client.readHttp();
            }
            assertEquals("200", head == null ? "closed" : head.target());
            assertNull(client.readHttp());
        }
    }

    /** The end of a client's sending does not cut an answer off that it is still reading. */
    @Test
    void aClientThatEndsItsSendingReadsItsAnswerToTheEnd() throws Exception {
        intake = new IntakeFilter(core, 10, 10, requests::add);
        InetSocketAddress address = listen(intake);
        try (Socket socket = new Socket()) {
            socket.setReceiveBufferSize(4096);
            socket.connect(address);
            StandInConnection client = new StandInConnection(socket);
            client.setReadTimeout(20_000);
            client.writeText(asks("/1", 0));
            answer(next(), "x".repeat(4 << 20));
            socket.shutdownOutput();
            selections(1); // the end of its sending has been read
            assertEquals(4 << 20, client.readHttp().body().length);
            assertNull(client.readHttp());
        }
    }

    /** One that has closed its connection is gone: its message is not taken on, as it is handed in again. */
    @Test
    void aClientThatHasClosedIsGone() throws Exception {
        intake = new IntakeFilter(core, 10, 10, requests::add);
        InetSocketAddress address = listen(intake);
        StandInConnection client = to(address);
        client.writeText(asks("/1", 0));
        IntakeFilter.Request first = next();
        client.close();
        selections(1); // the end has been read
        assertTrue(first.exchange().gone());
    }
}
