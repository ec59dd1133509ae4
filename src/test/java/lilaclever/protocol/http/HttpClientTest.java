package lilaclever.protocol.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import lilaclever.DecisionModule;
import lilaclever.lab.sockets.Wire;
import lilaclever.routing.Call;
import lilaclever.routing.Core;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Requests and connections where the event loop and the selector thread race. */
class HttpClientTest extends TwoThreads {
    private HttpClient.Listener listener(boolean tooLate) {
        return new HttpClient.Listener() {
            @Override
            public void answered(int status, Map<String, String> headers, byte[] body) {
                told.add("answered " + status);
            }

            @Override
            public void broke(boolean written, int status) {
                told.add("failed " + written);
            }

            @Override
            public boolean isTooLate() {
                return tooLate;
            }

            @Override
            public void withheld() {
                told.add("withheld");
            }
        };
    }

    private HttpClient.Exchange send(HttpClient client, boolean tooLate) throws InterruptedException {
        HttpClient.Exchange[] exchange = new HttpClient.Exchange[1];
        onLoop(() -> exchange[0] =
                client.send("e", address(), "POST", "/receive", Map.of(), new byte[0], listener(tooLate)));
        return exchange[0];
    }

    private HttpClient client() {
        return new HttpClient(core, transport, "test", 1_500_000, 15_000_000, 4, 64 * 1024);
    }

    /**
     * A response that arrives while its call is given up comes after the time that the endpoint was given: it is
     * ignored.
     */
    @Test
    void anAnswerThatCrossesTheGivingUpCountsForNothing() throws Exception {
        HttpClient.Exchange exchange = send(client(), false);
        try (Wire endpoint = accept()) {
            endpoint.read();
            CountDownLatch free = hold();
            endpoint.answer("200 OK", "all accepted");
            onLoop(() -> exchange.giveUp(() -> told.add("given up")));
            free.countDown();
            assertEquals("given up", told.poll(20, TimeUnit.SECONDS));
            assertNull(endpoint.read(), "closed");
            onLoop(() -> {});
            assertNull(told.poll());
        }
    }

    /**
     * The caller that closes a request during {@code giveUp} has moved on: a later report would be taken for one on its
     * next request.
     */
    @Test
    void nothingIsToldAfterAClose() throws Exception {
        HttpClient.Exchange exchange = send(client(), false);
        try (Wire endpoint = accept()) {
            endpoint.read();
            CountDownLatch free = hold();
            onLoop(() -> exchange.giveUp(() -> told.add("given up")));
            onLoop(exchange::close);
            free.countDown();
            assertNull(endpoint.read(), "closed");
            CountDownLatch after = hold(); // all that was to be posted has been posted
            after.countDown();
            onLoop(() -> {});
            assertNull(told.poll());
        }
    }

    /**
     * A connection is established just as its request is given up: the selector thread reports whether the request was
     * written.
     */
    @Test
    void aRequestWhoseConnectionComesUpAtItsTimeOutHasEitherGoneOrNot() throws Exception {
        HttpClient.Exchange exchange = send(client(), false);
        try (Wire endpoint = accept()) {
            endpoint.read(); // the request was written
            onLoop(() -> exchange.giveUp(() -> told.add("written " + exchange.isWritten())));
            assertEquals("written true", told.poll(20, TimeUnit.SECONDS));
        }
        CountDownLatch free = hold();
        HttpClient.Exchange second = send(client(), false);
        onLoop(() -> second.giveUp(() -> told.add("written " + second.isWritten())));
        free.countDown();
        assertEquals("written false", told.poll(20, TimeUnit.SECONDS));
        server.accept().close(); // the connection that blocked the selector thread
        try (Wire endpoint = accept()) {
            assertNull(endpoint.read(), "not a byte");
        }
    }

    /** An expired request is not written, even if the loop has not yet given it up. */
    @Test
    void whatIsTooLateIsNotWritten() throws Exception {
        send(client(), true);
        try (Wire endpoint = accept()) {
            assertEquals("withheld", told.poll(20, TimeUnit.SECONDS));
            endpoint.patience(50);
            assertThrows(SocketTimeoutException.class, endpoint::read, "not a byte");
        }
    }

    /**
     * A response counts only if it is complete (RFC 9112, section 8): without a length it ends with the connection; a
     * truncated length or truncated chunks are never complete, nor is a response that is cut off here for its size (#).
     */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "Connection: close~~a accepted~                         | false | answered 200",
                "Connection: close~~#                                   | false | failed true",
                "Content-Length: 99~~a accepted~                        | false | failed true",
                "Transfer-Encoding: chunked~~c~a accepted~~             | false | failed true",
                "Transfer-Encoding: chunked~~c~a accepted~~0~           | false | failed true",
                "Transfer-Encoding: chunked~~c~a accepted~~0~~         | true  | answered 200"
            })
    void anAnswerIsWholeByItsFraming(String rest, boolean reset, String expected) throws Exception {
        CountDownLatch read = new CountDownLatch(1);
        onLoop(() -> client().send(
                        "e", address(), "POST", "/receive-many", Map.of(), new byte[0], new HttpClient.Listener() {
                            @Override
                            public void answered(int status, Map<String, String> headers, byte[] body) {
                                told.add("answered " + status);
                            }

                            @Override
                            public void broke(boolean written, int status) {
                                told.add("failed " + written);
                            }

                            @Override
                            public void head(Map<String, String> headers) {
                                read.countDown();
                            }
                        }));
        try (Wire endpoint = accept()) {
            endpoint.read();
            endpoint.say("HTTP/1.1 200 OK\r\n" + rest.replace("~", "\r\n").replace("#", "x".repeat(70_000)));
            assertTrue(read.await(20, TimeUnit.SECONDS), "the head must be read before the reset");
            if (reset) {
                endpoint.reset();
            }
        }
        assertEquals(expected, told.poll(20, TimeUnit.SECONDS));
    }

    /**
     * A probe is a call to its destination: a retry-after in its response is recorded, and none is written within such
     * a period.
     */
    @Test
    void aProbeKeepsAndTellsWaits() throws Exception {
        HttpDeliverer deliverer = new HttpDeliverer(core, transport, 1_500_000, 15_000_000, 4);
        Call.Endpoint one = new Call.Endpoint("e1", address(), 7, 0, 1, false, deliverer);
        Call.Endpoint other = new Call.Endpoint("e2", address(), 8, 0, 1, false, deliverer);
        onLoop(deliverer::start);
        onLoop(() -> list(1, DecisionModule.Presence.ACTIVE, one, other));
        onLoop(() -> deliverer.probe(one));
        try (Wire first = accept()) {
            first.read();
            first.answer("503 no", "", "X-Retry-In-Ms: 60000");
            while (!core.counters().text().contains("\nentries_idle_calls 1\n")) {
                onLoop(() -> {}); // its response is in flight
            }
            onLoop(() -> deliverer.probe(one));
            onLoop(() -> deliverer.probe(other));
            try (Wire second = accept()) {
                second.read();
                first.patience(50);
                assertThrows(SocketTimeoutException.class, first::read, "no further request on this connection");
            }
        }
    }

    /** A probe is a call to its endpoint: it is not written to a draining one, not even on an idle connection. */
    @Test
    void aProbeOfADrainingEndpointIsNotWritten() throws Exception {
        HttpDeliverer deliverer = new HttpDeliverer(core, transport, 1_500_000, 15_000_000, 4);
        Call.Endpoint one = new Call.Endpoint("e1", address(), 7, 0, 1, false, deliverer);
        onLoop(deliverer::start);
        onLoop(() -> list(1, DecisionModule.Presence.ACTIVE, one));
        onLoop(() -> deliverer.probe(one));
        try (Wire first = accept()) {
            first.read();
            first.answer("200 OK", "");
            while (!core.counters().text().contains("\nentries_idle_calls 1\n")) {
                onLoop(() -> {}); // its response is in flight
            }
            CountDownLatch free = hold();
            onLoop(() -> deliverer.probe(one));
            onLoop(() -> list(2, DecisionModule.Presence.LEAVING, one));
            free.countDown();
            assertNull(first.read(), "closed without a byte");
        }
    }

    private void list(long version, DecisionModule.Presence presence, Call.Endpoint... endpoints) {
        List<Core.Listed> listed = new ArrayList<>();
        for (Call.Endpoint each : endpoints) {
            listed.add(new Core.Listed(
                    new DecisionModule.Entry(each.host(), each.destination(), each.zone(), 0, presence, 1, 0), each));
        }
        core.listing(DecisionModule.ListingKind.CHANGES, version, listed);
    }
}
