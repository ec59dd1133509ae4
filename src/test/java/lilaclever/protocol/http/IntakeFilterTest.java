package lilaclever.protocol.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import lilaclever.lab.sockets.Wire;
import lilaclever.transport.Transport;
import org.glassfish.grizzly.CompletionHandler;
import org.glassfish.grizzly.EmptyCompletionHandler;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.nio.transport.TCPNIOServerConnection;
import org.junit.jupiter.api.Test;

/** Clients' connections at the moments where the loop and the selector thread cross. */
class IntakeFilterTest extends TwoThreads {
    private final LinkedBlockingQueue<IntakeFilter.Request> requests = new LinkedBlockingQueue<>();
    private IntakeFilter intake;

    private InetSocketAddress listen(BaseFilter filter) throws IOException {
        TCPNIOServerConnection listener =
                transport.listen(new InetSocketAddress("127.0.0.1", 0), Transport.chain(filter));
        return (InetSocketAddress) listener.getLocalAddress();
    }

    private static Wire to(InetSocketAddress address) throws IOException {
        Wire wire = new Wire(new Socket(address.getAddress(), address.getPort()));
        wire.patience(20_000);
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
        try (Wire client = to(listen(new Late()))) {
            client.say(asks("/1", 0));
            IntakeFilter.Request first = next();
            core.post(() -> answer(first, ""));
            assertEquals("200", client.read().target());
            client.say(asks("/2", 60_000));
            answer(next(), "");
            assertEquals("200", client.read().target());
        }
    }

    /**
     * A request that lies unread in the socket of a connection that looks idle, as it is to close, is answered first.
     */
    @Test
    void anUnreadRequestIsAnsweredBeforeItsConnectionCloses() throws Exception {
        intake = new IntakeFilter(core, 10, 10, requests::add);
        InetSocketAddress address = listen(intake);
        try (Wire client = to(address)) {
            client.say(asks("/1", 0));
            answer(next(), "");
            assertEquals("200", client.read().target());
            CountDownLatch free = hold();
            client.say(asks("/2", 0));
            onLoop(intake::close);
            free.countDown();
            IntakeFilter.Request second = next();
            assertEquals("/2", second.path());
            answer(second, "");
            Wire.Head last = client.read();
            assertEquals("close", last.headers().get("Connection"));
            assertNull(client.read());
        }
    }

    /** Where all the room is taken by those who wait for an answer, a newcomer is told to come again, in words. */
    @Test
    void aNewcomerWithoutRoomIsToldSo() throws Exception {
        intake = new IntakeFilter(core, 8, 8, requests::add); // one place of them is for those who leave
        InetSocketAddress address = listen(intake);
        Wire[] waiting = new Wire[7];
        for (int i = 0; i < 7; i++) {
            waiting[i] = to(address);
            waiting[i].say(asks("/" + i, 0));
            assertTrue(next() != null);
        }
        try (Wire newcomer = to(address)) {
            newcomer.say(asks("/8", 0));
            Wire.Head answer = newcomer.read();
            assertEquals("503", answer.target());
            assertEquals("1", answer.headers().get("Retry-After"));
            assertNull(newcomer.read());
        }
        for (Wire each : waiting) {
            each.close();
        }
    }
}
