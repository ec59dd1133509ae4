package lilaclever.protocol.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import lilaclever.DecisionModule;
import lilaclever.routing.Call;
import lilaclever.routing.Core;
import lilaclever.routing.Refutation;
import lilaclever.simulation.sockets.StandInConnection;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Requests and connections where the event loop and the selector thread race. */
class HttpClientTest extends TwoThreadFixture {
    /** More than the socket buffers of both sides hold. */
    private static final int LONG_REQUEST_BYTES = 32 << 20;

    private HttpClient.Listener listener(boolean isExpired) {
        return new HttpClient.Listener() {
            @Override
            public void onResponse(HttpResponse response) {
                reports.add("answered " + response.status());
            }

            @Override
            public void onFailure(boolean written, int status) {
                reports.add("failed " + written);
            }

            @Override
            public boolean isExpired() {
                return isExpired;
            }

            @Override
            public void onWithheld() {
                reports.add("withheld");
            }
        };
    }

    private HttpClient.Exchange send(HttpClient client, boolean isExpired) throws InterruptedException {
        HttpClient.Exchange[] exchange = new HttpClient.Exchange[1];
        runOnLoop(() -> exchange[0] =
                client.send("e", address(), "POST", "/receive", Map.of(), new byte[0], listener(isExpired)));
        return exchange[0];
    }

    private HttpClient client() {
        return new HttpClient(core, transport, "test", 1_500_000, 15_000_000, 4, 64 * 1024);
    }

    /**
     * A response that arrives while its call is being aborted is ignored: the time that the endpoint had for it is
     * over.
     */
    @Test
    void aResponseThatCrossesGiveUpIsIgnored() throws Exception {
        HttpClient.Exchange exchange = send(client(), false);
        try (StandInConnection endpoint = accept()) {
            endpoint.readHttp();
            CountDownLatch release = blockSelector();
            endpoint.writeResponse("200 OK", "all accepted");
            runOnLoop(() -> exchange.giveUp(() -> reports.add("given up")));
            release.countDown();
            assertEquals("given up", reports.poll(20, TimeUnit.SECONDS));
            assertNull(endpoint.readHttp(), "closed");
            runOnLoop(() -> {});
            assertNull(reports.poll());
        }
    }

    /**
     * A caller that closes a request during {@code giveUp} no longer expects a report: it would mistake a later one for
     * the result of its next request.
     */
    @Test
    void nothingIsReportedAfterAClose() throws Exception {
        HttpClient.Exchange exchange = send(client(), false);
        try (StandInConnection endpoint = accept()) {
            endpoint.readHttp();
            CountDownLatch release = blockSelector();
            runOnLoop(() -> exchange.giveUp(() -> reports.add("given up")));
            runOnLoop(exchange::close);
            release.countDown();
            assertNull(endpoint.readHttp(), "closed");
            CountDownLatch after = blockSelector(); // all that was to be posted has been posted
            after.countDown();
            runOnLoop(() -> {});
            assertNull(reports.poll());
        }
    }

    /**
     * A connection is established just as its request is aborted: the selector thread reports whether the request was
     * written.
     */
    @Test
    void giveUpDuringConnectReportsWhetherTheRequestWasWritten() throws Exception {
        HttpClient.Exchange exchange = send(client(), false);
        try (StandInConnection endpoint = accept()) {
            endpoint.readHttp(); // the request was written
            runOnLoop(() -> exchange.giveUp(() -> reports.add("written " + exchange.isWritten())));
            assertEquals("written true", reports.poll(20, TimeUnit.SECONDS));
        }
        CountDownLatch release = blockSelector();
        HttpClient.Exchange second = send(client(), false);
        runOnLoop(() -> second.giveUp(() -> reports.add("written " + second.isWritten())));
        release.countDown();
        assertEquals("written false", reports.poll(20, TimeUnit.SECONDS));
        server.accept().close(); // the connection that blocked the selector thread
        try (StandInConnection endpoint = accept()) {
            assertNull(endpoint.readHttp(), "not a byte");
        }
    }

    /** An expired request is not written, even if the event loop has not aborted it yet. */
    @Test
    void anExpiredRequestIsNotWritten() throws Exception {
        send(client(), true);
        try (StandInConnection endpoint = accept()) {
            assertEquals("withheld", reports.poll(20, TimeUnit.SECONDS));
            endpoint.setReadTimeout(50);
            assertThrows(SocketTimeoutException.class, endpoint::readHttp, "not a byte");
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
    void aResponseIsCompleteByItsFraming(String rest, boolean reset, String expected) throws Exception {
        CountDownLatch read = new CountDownLatch(1);
        runOnLoop(() -> client().send(
                        "e", address(), "POST", "/receive-many", Map.of(), new byte[0], new HttpClient.Listener() {
                            @Override
                            public void onResponse(HttpResponse response) {
                                reports.add("answered " + response.status());
                            }

                            @Override
                            public void onFailure(boolean written, int status) {
                                reports.add("failed " + written);
                            }

                            @Override
                            public void onHead(Map<String, String> headers) {
                                read.countDown();
                            }
                        }));
        try (StandInConnection endpoint = accept()) {
            endpoint.readHttp();
            endpoint.writeText("HTTP/1.1 200 OK\r\n" + rest.replace("~", "\r\n").replace("#", "x".repeat(70_000)));
            assertTrue(read.await(20, TimeUnit.SECONDS), "the head must be read before the reset");
            if (reset) {
                endpoint.reset();
            }
        }
        assertEquals(expected, reports.poll(20, TimeUnit.SECONDS));
    }

    /** After an answer before the end of a long request the close wrote the rest first, and nothing was reported. */
    @Test
    void restOfARequestIsNotWrittenAfterAnEarlyAnswer() throws Exception {
        runOnLoop(() -> client().send(
                        "e", address(), "POST", "/receive", Map.of(), new byte[LONG_REQUEST_BYTES], listener(false)));
        try (StandInConnection endpoint = accept()) {
            endpoint.readLine();
            endpoint.writeResponse("503 Service Unavailable", "");
            assertEquals("failed false", reports.poll(20, TimeUnit.SECONDS));
            assertThrows(IOException.class, endpoint::readHttp, "the request ends before its last byte");
        }
    }

    /** A request that was taken back closed its connection, and refuted the answer that waited for confirmation. */
    @Test
    void answerIsNotRefutedByALaterRequestThatIsTakenBack() throws Exception {
        HttpClient client = client();
        LinkedBlockingQueue<String> outcomes = new LinkedBlockingQueue<>();
        HttpClient.Listener confirmedLater = new HttpClient.Listener() {
            @Override
            public void onResponse(HttpResponse response) {
                outcomes.add("answered " + response.needsConfirmation());
            }

            @Override
            public void onConfirmed() {
                outcomes.add("confirmed");
            }

            @Override
            public void onRefuted(Refutation refutation) {
                outcomes.add("refuted");
            }

            @Override
            public void onFailure(boolean written, int status) {
                outcomes.add("failed");
            }
        };
        runOnLoop(() -> client.send("e", address(), "POST", "/1", Map.of(), new byte[0], confirmedLater));
        try (StandInConnection endpoint = accept()) {
            endpoint.readHttp();
            endpoint.writeResponse("200 OK", "");
            assertEquals("answered false", outcomes.poll(20, TimeUnit.SECONDS));
            runOnLoop(() -> client.send("e", address(), "POST", "/2", Map.of(), new byte[0], confirmedLater));
            endpoint.readHttp();
            endpoint.writeResponse("200 OK", "");
            assertEquals("answered true", outcomes.poll(20, TimeUnit.SECONDS));
            CountDownLatch release = blockSelector();
            runOnLoop(() -> {
                HttpClient.Exchange taken =
                        client.send("e", address(), "POST", "/3", Map.of(), new byte[0], listener(false));
                reports.add("taken back " + taken.withdraw());
            });
            release.countDown();
            assertEquals("taken back true", reports.poll(20, TimeUnit.SECONDS));
            assertEquals("confirmed", outcomes.poll(20, TimeUnit.SECONDS));
            assertNull(endpoint.readHttp(), "not a byte of the third request");
        }
    }

    /**
     * A probe is a call to its destination: a retry-after in its response is recorded, and none is written within such
     * a period.
     */
    @Test
    void aProbeObservesAndRecordsRetryAfter() throws Exception {
        HttpDeliverer deliverer = new HttpDeliverer(core, transport, 1_500_000, 15_000_000, 4);
        Call.Endpoint one = new Call.Endpoint("e1", address(), 7, 0, 1, false, deliverer);
        Call.Endpoint other = new Call.Endpoint("e2", address(), 8, 0, 1, false, deliverer);
        runOnLoop(deliverer::start);
        runOnLoop(() -> list(1, DecisionModule.Presence.ACTIVE, one, other));
        runOnLoop(() -> deliverer.probe(one));
        try (StandInConnection first = accept()) {
            first.readHttp();
            first.writeResponse("503 no", "", "X-Retry-In-Ms: 60000");
            while (!core.counters().toText().contains("\nentries_idle_calls 1\n")) {
                runOnLoop(() -> {}); // its response is in flight
            }
            runOnLoop(() -> deliverer.probe(one));
            runOnLoop(() -> deliverer.probe(other));
            try (StandInConnection second = accept()) {
                second.readHttp();
                first.setReadTimeout(50);
                assertThrows(SocketTimeoutException.class, first::readHttp, "no further request on this connection");
            }
        }
    }

    /** A probe is a call to its endpoint: it is not written to a draining one, not even on an idle connection. */
    @Test
    void aProbeOfADrainingEndpointIsNotWritten() throws Exception {
        HttpDeliverer deliverer = new HttpDeliverer(core, transport, 1_500_000, 15_000_000, 4);
        Call.Endpoint one = new Call.Endpoint("e1", address(), 7, 0, 1, false, deliverer);
        runOnLoop(deliverer::start);
        runOnLoop(() -> list(1, DecisionModule.Presence.ACTIVE, one));
        runOnLoop(() -> deliverer.probe(one));
        try (StandInConnection first = accept()) {
            first.readHttp();
            first.writeResponse("200 OK", "");
            while (!core.counters().toText().contains("\nentries_idle_calls 1\n")) {
                runOnLoop(() -> {}); // its response is in flight
            }
            CountDownLatch release = blockSelector();
            runOnLoop(() -> deliverer.probe(one));
            runOnLoop(() -> list(2, DecisionModule.Presence.LEAVING, one));
            release.countDown();
            assertNull(first.readHttp(), "closed without a byte");
        }
    }

    /** Another process took an address over; what was meant for it went to the old one on a connection kept idle. */
    @ParameterizedTest
    @CsvSource({"2, 7, CHANGES", "1, 8, CHANGES", "2, 7, ALL", "1, 8, ALL"})
    void anotherProcessAtAnAddressGetsNoConnectionOfItsPredecessor(
            long startedAtMillis, int destination, DecisionModule.ListingKind kind) throws Exception {
        HttpDeliverer deliverer = new HttpDeliverer(core, transport, 1_500_000, 15_000_000, 4);
        Call.Endpoint old = new Call.Endpoint("e1", address(), 1, 7, 0, 1, false, deliverer);
        Call.Endpoint successor =
                new Call.Endpoint("e1", address(), startedAtMillis, destination, 0, 1, false, deliverer);
        runOnLoop(deliverer::start);
        runOnLoop(() -> list(1, DecisionModule.Presence.ACTIVE, old));
        runOnLoop(() -> deliverer.probe(old));
        try (StandInConnection first = accept()) {
            first.readHttp();
            first.writeResponse("200 OK", "");
            while (!core.counters().toText().contains("\nentries_idle_calls 1\n")) {
                runOnLoop(() -> {}); // its response is in flight
            }
            runOnLoop(() -> list(kind, 2, DecisionModule.Presence.ACTIVE, successor));
            runOnLoop(() -> deliverer.probe(successor));
            assertNull(first.readHttp(), "closed without a byte");
            try (StandInConnection second = accept()) {
                assertEquals("/health/live", second.readHttp().target());
            }
        }
    }

    private void list(long version, DecisionModule.Presence presence, Call.Endpoint... endpoints) {
        list(DecisionModule.ListingKind.CHANGES, version, presence, endpoints);
    }

    private void list(
            DecisionModule.ListingKind kind,
            long version,
            DecisionModule.Presence presence,
            Call.Endpoint... endpoints) {
        List<Core.ListedEndpoint> listed = new ArrayList<>();
        for (Call.Endpoint each : endpoints) {
            listed.add(new Core.ListedEndpoint(
                    new DecisionModule.EndpointEntry(each.host(), each.destination(), each.zone(), 0, presence, 1, 0),
                    each));
        }
        core.updateEndpoints(kind, version, listed);
    }
}
