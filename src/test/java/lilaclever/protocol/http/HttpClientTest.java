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
import lilaclever.lab.sockets.StandInConnection;
import lilaclever.routing.Call;
import lilaclever.routing.Core;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Requests and connections at the moments where the loop and the selector thread cross. */
class HttpClientTest extends TwoThreads {
    private HttpClient.Listener listener(boolean tooLate) {
        return new HttpClient.Listener() {
            @Override
            public void answered(int status, Map<String, String> headers, byte[] body) {
                told.add("answered " + status);
            }

            @Override
            public void broke(boolean written, int status) {
                told.add("broke " + written);
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
     * An answer that crosses the giving up of its call comes after the time that was told: only the giving up counts.
     */
    @Test
    void anAnswerThatCrossesTheGivingUpCountsForNothing() throws Exception {
        HttpClient.Exchange exchange = send(client(), false);
        try (StandInConnection endpoint = accept()) {
            endpoint.readHttp();
            CountDownLatch free = hold();
            endpoint.writeResponse("200 OK", "all accepted");
            onLoop(() -> exchange.giveUp(() -> told.add("given up")));
            free.countDown();
            assertEquals("given up", told.poll(20, TimeUnit.SECONDS));
            assertNull(endpoint.readHttp(), "closed");
            onLoop(() -> {});
            assertNull(told.poll());
        }
    }

    /**
     * Whoever closes a request that is being given up has moved on: a word of it later would be taken for the next
     * one's.
     */
    @Test
    void nothingIsToldAfterAClose() throws Exception {
        HttpClient.Exchange exchange = send(client(), false);
        try (StandInConnection endpoint = accept()) {
            endpoint.readHttp();
            CountDownLatch free = hold();
            onLoop(() -> exchange.giveUp(() -> told.add("given up")));
            onLoop(exchange::close);
            free.countDown();
            assertNull(endpoint.readHttp(), "closed");
            CountDownLatch after = hold(); // what was to be posted has been
            after.countDown();
            onLoop(() -> {});
            assertNull(told.poll());
        }
    }

    /**
     * The connection comes up as its time is up: whether the request went is told by the thread that writes, as it was.
     */
    @Test
    void aRequestWhoseConnectionComesUpAtItsTimeOutHasEitherGoneOrNot() throws Exception {
        HttpClient.Exchange exchange = send(client(), false);
        try (StandInConnection endpoint = accept()) {
            endpoint.readHttp(); // it has gone
            onLoop(() -> exchange.giveUp(() -> told.add("written " + exchange.isWritten())));
            assertEquals("written true", told.poll(20, TimeUnit.SECONDS));
        }
        CountDownLatch free = hold();
        HttpClient.Exchange second = send(client(), false);
        onLoop(() -> second.giveUp(() -> told.add("written " + second.isWritten())));
        free.countDown();
        assertEquals("written false", told.poll(20, TimeUnit.SECONDS));
        server.accept().close(); // the one that held the thread
        try (StandInConnection endpoint = accept()) {
            assertNull(endpoint.readHttp(), "not a byte");
        }
    }

    /** A request whose time is up is not written, though the loop has not come to give it up yet. */
    @Test
    void whatIsTooLateIsNotWritten() throws Exception {
        send(client(), true);
        try (StandInConnection endpoint = accept()) {
            assertEquals("withheld", told.poll(20, TimeUnit.SECONDS));
            endpoint.setReadTimeout(50);
            assertThrows(SocketTimeoutException.class, endpoint::readHttp, "not a byte");
        }
    }

    /**
     * An answer is believed only as a whole, as RFC 9112 says in section 8: without a length it ends with the
     * connection; a length or chunks that are not all there are never whole, nor is what is cut off here as it is too
     * much (#).
     */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "Connection: close~~a accepted~                         | false | answered 200",
                "Connection: close~~#                                   | false | broke true",
                "Content-Length: 99~~a accepted~                        | false | broke true",
                "Transfer-Encoding: chunked~~c~a accepted~~             | false | broke true",
                "Transfer-Encoding: chunked~~c~a accepted~~0~           | false | broke true",
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
                                told.add("broke " + written);
                            }

                            @Override
                            public void head(Map<String, String> headers) {
                                read.countDown();
                            }
                        }));
        try (StandInConnection endpoint = accept()) {
            endpoint.readHttp();
            endpoint.writeText("HTTP/1.1 200 OK\r\n" + rest.replace("~", "\r\n").replace("#", "x".repeat(70_000)));
            assertTrue(read.await(20, TimeUnit.SECONDS), "a reset must not overtake it");
            if (reset) {
                endpoint.reset();
            }
        }
        assertEquals(expected, told.poll(20, TimeUnit.SECONDS));
    }

    /** A probe is a call to its destination: a wait told in its answer binds, and none is written under a wait. */
    @Test
    void aProbeKeepsAndTellsWaits() throws Exception {
        HttpDeliverer deliverer = new HttpDeliverer(core, transport, 1_500_000, 15_000_000, 4);
        Call.Endpoint one = new Call.Endpoint("e1", address(), 7, 0, 1, false, deliverer);
        Call.Endpoint other = new Call.Endpoint("e2", address(), 8, 0, 1, false, deliverer);
        onLoop(deliverer::start);
        onLoop(() -> list(1, DecisionModule.Presence.ACTIVE, one, other));
        onLoop(() -> deliverer.probe(one));
        try (StandInConnection first = accept()) {
            first.readHttp();
            first.writeResponse("503 no", "", "X-Retry-In-Ms: 60000");
            while (!core.counters().toText().contains("\nentries_idle_calls 1\n")) {
                onLoop(() -> {}); // its answer is on its way
            }
            onLoop(() -> deliverer.probe(one));
            onLoop(() -> deliverer.probe(other));
            try (StandInConnection second = accept()) {
                second.readHttp();
                first.setReadTimeout(50);
                assertThrows(SocketTimeoutException.class, first::readHttp, "nothing more came there");
            }
        }
    }

    /** A probe is a call to its endpoint: it is not written to one that drains, also on a connection that is idle. */
    @Test
    void aProbeOfADrainingEndpointIsNotWritten() throws Exception {
        HttpDeliverer deliverer = new HttpDeliverer(core, transport, 1_500_000, 15_000_000, 4);
        Call.Endpoint one = new Call.Endpoint("e1", address(), 7, 0, 1, false, deliverer);
        onLoop(deliverer::start);
        onLoop(() -> list(1, DecisionModule.Presence.ACTIVE, one));
        onLoop(() -> deliverer.probe(one));
        try (StandInConnection first = accept()) {
            first.readHttp();
            first.writeResponse("200 OK", "");
            while (!core.counters().toText().contains("\nentries_idle_calls 1\n")) {
                onLoop(() -> {}); // its answer is on its way
            }
            CountDownLatch free = hold();
            onLoop(() -> deliverer.probe(one));
            onLoop(() -> list(2, DecisionModule.Presence.LEAVING, one));
            free.countDown();
            assertNull(first.readHttp(), "closed without a byte");
        }
    }

    private void list(long version, DecisionModule.Presence presence, Call.Endpoint... endpoints) {
        List<Core.ListedEndpoint> listed = new ArrayList<>();
        for (Call.Endpoint each : endpoints) {
            listed.add(new Core.ListedEndpoint(
                    new DecisionModule.EndpointEntry(each.host(), each.destination(), each.zone(), 0, presence, 1, 0),
                    each));
        }
        core.updateEndpoints(DecisionModule.ListingKind.CHANGES, version, listed);
    }
}
