package lilaclever.protocol.http;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;
import lilaclever.DecisionModule.AttemptResult;
import lilaclever.log.Logs;
import lilaclever.routing.Call;
import lilaclever.routing.Core;
import lilaclever.routing.Counters;
import lilaclever.routing.Deadlines;
import lilaclever.routing.Deliverer;
import lilaclever.routing.Message;
import lilaclever.routing.RetryAfterTable;
import lilaclever.transport.Transport;

/** Makes calls over the platform's HTTP protocol and translates the responses to outcomes. */
public final class HttpDeliverer implements Deliverer {
    private static final byte[] EMPTY_BODY = {};
    private static final byte[] CRLF = {'\r', '\n'};
    private static final String DEADLINE_HEADER = "Req-Deadline";
    /** Responses of endpoints are short; longer ones are treated as malformed. */
    private static final int MAX_RESPONSE_BYTES = 64 * 1024;
    /** Ten years in microseconds: longer than any message's lifetime and any process run, and far from an overflow. */
    private static final long MAX_RETRY_AFTER_MICROS = 315_360_000_000_000L;

    private static final long SWEEP_INTERVAL_MICROS = 500_000;

    /**
     * A request to an endpoint. It isn't written while the endpoint drains or within a retry-after period; a
     * retry-after in its response is recorded.
     */
    private abstract class EndpointListener implements HttpClient.Listener {
        private final Call.Endpoint endpoint;

        EndpointListener(Call.Endpoint endpoint) {
            this.endpoint = endpoint;
        }

        @Override
        public void onHead(Map<String, String> responseHeaders) {
            recordRetryAfter(endpoint, responseHeaders);
        }

        @Override
        public boolean isServerDraining() {
            return !core.activeEndpoints().mayReceive(endpoint);
        }

        @Override
        public boolean maySend() {
            return retryAfterTable.remainingMicros(endpoint, Core.monotonicMicros()) == 0;
        }
    }

    /** A call of one message or several; reports the outcome of each to the core. */
    private final class CallListener extends EndpointListener {
        private final Call call;
        private final boolean isBatch;
        /** A response that has to be confirmed before its outcome is certain, else null. */
        private HttpResponse unconfirmed;

        CallListener(Call call, boolean isBatch) {
            super(call.endpoint);
            this.call = call;
            this.isBatch = isBatch;
        }

        @Override
        public void onResponse(HttpResponse response) {
            boolean namesOtherMessages = isBatch
                    && response.status() == 200
                    && resultsFor(call, response).isEmpty();
            if (!response.needsConfirmation() || namesOtherMessages) {
                reportResponse(call, isBatch, response);
                return;
            }
            unconfirmed = response;
            if (confirmsDelivery(isBatch, response.status())) {
                List.copyOf(call.messages)
                        .forEach(m -> core.attemptDeliveredUnconfirmed(call, m, remainingRetryAfter(call)));
            }
        }

        @Override
        public boolean isOwnResponse(HttpResponse response) {
            return isTiedByMessageIds(call, isBatch, response);
        }

        @Override
        public long confirmByMicros(HttpResponse response) {
            return confirmsDelivery(isBatch, response.status()) ? call.firstDeadlineMicros() : core.nowMicros();
        }

        @Override
        public void onConfirmed() {
            if (unconfirmed == null) {
                return; // reported before
            }
            if (confirmsDelivery(isBatch, unconfirmed.status())) {
                core.deliveryConfirmed(call);
            } else {
                reportResponse(call, isBatch, unconfirmed);
            }
        }

        @Override
        public void onRefuted() {
            if (unconfirmed == null) {
                return; // reported before
            }
            if (confirmsDelivery(isBatch, unconfirmed.status())) {
                core.deliveryRefuted(call);
            } else {
                reportAll(call, AttemptResult.RESET, false, false);
            }
        }

        @Override
        public void onFailure(boolean written, int status) {
            // Before its last byte is written the endpoint has not begun. After that the outcome is unknown, except
            // that a status of 200 of this call's own confirms the delivery of a call of one message.
            if (status != 0) {
                core.counters().add(Counters.Name.SPOILT_ANSWERS);
            }
            boolean isDelivered = call.attachment instanceof PendingCall pending && pending.hasOwnStatusOfDelivery();
            reportAll(
                    call,
                    isDelivered ? AttemptResult.DELIVERED : written ? AttemptResult.RESET : AttemptResult.NO_CONNECTION,
                    false,
                    false);
        }

        @Override
        public boolean isExpired() {
            return Core.monotonicMicros() >= call.writeByMicros();
        }

        @Override
        public void onWithheld() {
            reportAll(call, AttemptResult.WITHHELD, false, false);
        }

        @Override
        public String toString() {
            return "call to " + call.endpoint.host() + " of destination " + call.endpoint.destination()
                    + " with message "
                    + call.messages.stream().map(Message::id).collect(Collectors.joining(", "));
        }
    }

    /**
     * An in-flight call with the headers that it is written with. {@code isBatch}: its response has a result for each
     * message, however many are left.
     */
    private record PendingCall(HttpClient.Exchange exchange, Map<String, String> headers, boolean isBatch) {
        /** Whether a status line has arrived that confirms the delivery and repeats no earlier one. */
        boolean hasOwnStatusOfDelivery() {
            return confirmsDelivery(isBatch, exchange.status()) && !exchange.mayBeRepetition();
        }
    }

    private final Core core;
    private final HttpClient client;
    private final long probeTimeoutMicros;
    private final RetryAfterTable retryAfterTable = new RetryAfterTable();

    /** Creates a deliverer with its own connections. */
    public HttpDeliverer(Core core, Transport transport, long connectTimeoutMicros, long keepAliveMicros, int maxIdle) {
        this.core = core;
        this.probeTimeoutMicros = connectTimeoutMicros;
        this.client = new HttpClient(
                core, transport, "calls", connectTimeoutMicros, keepAliveMicros, maxIdle, MAX_RESPONSE_BYTES);
    }

    /** Starts the periodic cleanup. */
    public void start() {
        client.start();
        core.counters().entryGauge("waits", retryAfterTable::size);
        sweep();
    }

    private void sweep() {
        retryAfterTable.removeExpired(core.nowMicros());
        core.deadlines().schedule(core.nowMicros() + SWEEP_INTERVAL_MICROS, this::sweep);
    }

    @Override
    public void start(Call call) {
        List<Message> messages = call.messages;
        boolean isBatch = messages.size() > 1;
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put(DEADLINE_HEADER, timeoutSeconds(call, messages));
        byte[] body;
        if (isBatch) {
            body = encodeBatch(messages);
        } else {
            Message m = messages.get(0);
            headers.put("Req-Id", m.id());
            if (m.submission.key() != null) {
                headers.put("Idempotency-Key", m.submission.key());
            }
            body = m.submission.body();
        }
        call.attachment = new PendingCall(
                client.send(
                        poolKey(call.endpoint),
                        call.endpoint.address(),
                        "POST",
                        isBatch ? "/receive-many" : "/receive",
                        headers,
                        body,
                        new CallListener(call, isBatch)),
                headers,
                isBatch);
    }

    /** Returns the time that a call of the given messages waits for its response, as written to the endpoint. */
    private static String timeoutSeconds(Call call, List<Message> messages) {
        return seconds(Math.max(0, Call.expiryMicrosOf(messages) - call.startedAtMicros));
    }

    @Override
    public void removeMessage(Call call, Message m) {
        List<Message> rest = call.messages.stream().filter(x -> x != m).toList();
        if (call.attachment instanceof PendingCall pending) {
            // Sent only if the body is replaced as well.
            pending.headers().put(DEADLINE_HEADER, timeoutSeconds(call, rest));
            if (pending.exchange().replaceBody(encodeBatch(rest))) {
                call.removeMessage(m);
                core.post(() -> report(call, m, AttemptResult.NOT_SENT, false, false));
            }
        }
    }

    private static boolean confirmsDelivery(boolean isBatch, int status) {
        return status == 200 && !isBatch;
    }

    private static byte[] encodeBatch(List<Message> messages) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        for (Message m : messages) {
            String key = m.submission.key() == null ? "-" : m.submission.key();
            out.writeBytes(
                    (m.id() + ' ' + key + ' ' + m.submission.body().length).getBytes(StandardCharsets.ISO_8859_1));
            out.writeBytes(CRLF);
            out.writeBytes(m.submission.body());
            out.writeBytes(CRLF);
        }
        return out.toByteArray();
    }

    /**
     * Whether the response names the messages of the call and is not equal to an earlier one, which may have named the
     * same messages.
     */
    private static boolean isTiedByMessageIds(Call call, boolean isBatch, HttpResponse response) {
        return isBatch
                && response.status() == 200
                && !response.hasEarlierEqual()
                && resultsFor(call, response).isPresent();
    }

    /** The results of all messages of the call; empty if the response lacks one, or can't be read. */
    private static Optional<BatchResponse> resultsFor(Call call, HttpResponse response) {
        return BatchResponse.parse(response.body())
                .filter(results -> call.messages.stream().allMatch(m -> results.resultOf(m.id()) != null));
    }

    private void reportResponse(Call call, boolean isBatch, HttpResponse response) {
        Map<String, String> headers = response.headers();
        int status = response.status();
        switch (status) {
            case 200 -> {
                if (isBatch) {
                    reportEach(call, response);
                } else {
                    reportAll(call, AttemptResult.DELIVERED, false, false);
                }
            }
            case 429, 503 -> {
                boolean noSlot = "1".equals(headers.get("x-no-slot"));
                reportAll(
                        call,
                        noSlot
                                ? AttemptResult.NOT_SENT
                                : isConnectionLimit(call, status, headers) ? AttemptResult.NO_ROOM : AttemptResult.FULL,
                        noSlot,
                        false);
            }
            case 504, 413, 400 -> reportAll(call, AttemptResult.NOT_SENT, false, false);
            case 410 -> reportAll(call, AttemptResult.NOT_SENT, false, true);
            default -> reportAll(call, AttemptResult.ERROR, false, false);
        }
    }

    /**
     * Whether the endpoint has reached its limit of connections: it closes a connection that was just opened. An
     * endpoint over its call limit keeps the connection. Mistaking the first for the second would slow down all
     * calls there without any benefit.
     */
    private static boolean isConnectionLimit(Call call, int status, Map<String, String> headers) {
        return status == 503
                && call.attachment instanceof PendingCall pending
                && pending.exchange().usesNewConnection()
                && "close"
                        .equalsIgnoreCase(headers.getOrDefault("connection", "").strip());
    }

    /**
     * Reports the result of each message, or all messages as possibly executed if the response is incomplete or names
     * others: then it answers another request, and so may all that follows on its connection.
     */
    private void reportEach(Call call, HttpResponse response) {
        Optional<BatchResponse> results = resultsFor(call, response);
        if (results.isEmpty()) {
            core.counters().add(Counters.Name.SPOILT_ANSWERS);
            if (call.attachment instanceof PendingCall pending) {
                pending.exchange().rejectResponse();
            }
            reportAll(call, AttemptResult.RESET, false, false);
            return;
        }
        for (Message m : List.copyOf(call.messages)) {
            switch (results.get().resultOf(m.id())) {
                case ACCEPTED -> report(call, m, AttemptResult.DELIVERED, false, false);
                case DEFERRED -> report(call, m, AttemptResult.FULL, false, false);
                case EXPIRED -> report(call, m, AttemptResult.NOT_SENT, false, true);
                case NO_MORE -> report(call, m, AttemptResult.NOT_SENT, false, false);
                default -> report(call, m, AttemptResult.ERROR, false, false);
            }
        }
    }

    /**
     * Records the longest retry-after period of a response, whatever its status. It starts when the response is
     * written, so counting from when it is read ends no sooner. Values that aren't numbers are ignored.
     */
    private void recordRetryAfter(Call.Endpoint endpoint, Map<String, String> responseHeaders) {
        long longestMicros = 0;
        for (String value : responseHeaders.getOrDefault("x-retry-in-ms", "").split(",")) {
            longestMicros =
                    Math.max(longestMicros, HeaderValues.shiftedDecimalUpTo(value.strip(), 3, MAX_RETRY_AFTER_MICROS));
        }
        if (longestMicros > 0) {
            long nowMicros = Core.monotonicMicros() + 1; // the clock is truncated to whole microseconds
            retryAfterTable.recordRetryAfter(endpoint, nowMicros + longestMicros);
            Logs.debug(
                    "",
                    "wait",
                    "retry-after until " + (nowMicros + longestMicros),
                    "partner",
                    endpoint.destination(),
                    "endpoint",
                    endpoint.host());
        }
    }

    private void reportAll(Call call, AttemptResult outcome, boolean noSlot, boolean finished) {
        List.copyOf(call.messages).forEach(m -> report(call, m, outcome, noSlot, finished));
    }

    /**
     * Each outcome carries the current retry-after, which may stem from a response that nothing waited for any more.
     */
    private void report(Call call, Message m, AttemptResult outcome, boolean noSlot, boolean finished) {
        core.attemptEnded(call, m, outcome, remainingRetryAfter(call), noSlot, finished);
    }

    private long remainingRetryAfter(Call call) {
        return retryAfterTable.remainingMicros(call.endpoint, core.nowMicros());
    }

    /** Formats seconds with decimals, as the protocol writes them. */
    static String seconds(long micros) {
        return String.format(Locale.ROOT, "%.3f", micros / 1e6);
    }

    @Override
    public void abort(Call call) {
        if (!(call.attachment instanceof PendingCall pending)) { // starting it failed
            core.post(() -> reportAll(call, AttemptResult.NO_CONNECTION, false, false));
            return;
        }
        // The slot is free only once the other side has seen the close: a new call in this same turn would find none.
        // Responses that arrive from now on are ignored.
        boolean delivered = pending.hasOwnStatusOfDelivery();
        pending.exchange()
                .giveUp(() -> reportAll(
                        call,
                        delivered
                                ? AttemptResult.DELIVERED
                                : pending.exchange().isWritten()
                                        ? AttemptResult.TIMED_OUT
                                        : AttemptResult.NO_CONNECTION,
                        false,
                        false));
    }

    @Override
    public void cancelUnsent(Call call) {
        if (call.attachment instanceof PendingCall pending && pending.exchange().withdraw()) {
            core.post(() -> reportAll(call, AttemptResult.WITHHELD, false, false));
        }
    }

    @Override
    public void closeIdle(Call.Endpoint endpoint) {
        client.closeIdle(poolKey(endpoint));
    }

    /**
     * The pool key of an endpoint. It has host and address, so that an endpoint at a reused address gets no connections
     * of its predecessor.
     */
    private static String poolKey(Call.Endpoint endpoint) {
        return endpoint.host() + '@' + endpoint.address();
    }

    @Override
    public void probe(Call.Endpoint endpoint) {
        long startedAtMicros = core.nowMicros();
        HttpClient.Exchange[] exchange = new HttpClient.Exchange[1];
        Deadlines.Key timeout = core.deadlines()
                .schedule(
                        startedAtMicros + probeTimeoutMicros,
                        () -> exchange[0].giveUp(() -> reportProbe(
                                endpoint,
                                exchange[0].isWritten() ? AttemptResult.TIMED_OUT : AttemptResult.NO_CONNECTION,
                                startedAtMicros)));
        exchange[0] = client.send(
                poolKey(endpoint),
                endpoint.address(),
                "GET",
                "/health/live",
                Map.of(),
                EMPTY_BODY,
                new EndpointListener(endpoint) {
                    private AttemptResult unconfirmed;

                    @Override
                    public long confirmByMicros(HttpResponse response) {
                        return core.nowMicros();
                    }

                    @Override
                    public void onResponse(HttpResponse response) {
                        unconfirmed = response.status() == 200
                                ? AttemptResult.DELIVERED
                                : response.status() == 503 ? AttemptResult.FULL : AttemptResult.ERROR;
                        if (response.needsConfirmation()) {
                            core.deadlines().cancel(timeout); // it is confirmed or refuted in its time
                        } else {
                            finishProbe(unconfirmed);
                        }
                    }

                    @Override
                    public void onConfirmed() {
                        finishProbe(unconfirmed);
                    }

                    @Override
                    public void onRefuted() {
                        finishProbe(AttemptResult.RESET);
                    }

                    @Override
                    public void onFailure(boolean written, int status) {
                        finishProbe(written ? AttemptResult.RESET : AttemptResult.NO_CONNECTION);
                    }

                    @Override
                    public void onWithheld() {
                        finishProbe(AttemptResult.WITHHELD);
                    }

                    private void finishProbe(AttemptResult outcome) {
                        core.deadlines().cancel(timeout);
                        reportProbe(endpoint, outcome, startedAtMicros);
                    }
                });
    }

    private void reportProbe(Call.Endpoint endpoint, AttemptResult outcome, long startedAtMicros) {
        core.probeEnded(endpoint.host(), outcome, core.nowMicros() - startedAtMicros);
    }
}
