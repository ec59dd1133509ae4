package lilaclever.protocol.http;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.stream.Collectors;
import lilaclever.DecisionModule.AttemptResult;
import lilaclever.log.Logs;
import lilaclever.routing.Answer;
import lilaclever.routing.Call;
import lilaclever.routing.Core;
import lilaclever.routing.Counters;
import lilaclever.routing.Deadlines;
import lilaclever.routing.Deliverer;
import lilaclever.routing.Message;
import lilaclever.routing.Refutation;
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

        CallListener(Call call, boolean isBatch) {
            super(call.endpoint);
            this.call = call;
            this.isBatch = isBatch;
        }

        @Override
        public void onResponse(HttpResponse response) {
            Map<String, Answer> answers = CallAnswers.of(call, isBatch, response, usesNewConnection(call));
            if (answers.isEmpty()) {
                rejectResponse(call);
                return;
            }
            List.copyOf(call.messages)
                    .forEach(m -> core.answers()
                            .received(
                                    call,
                                    m,
                                    answers.get(m.id()),
                                    !response.needsConfirmation(),
                                    remainingRetryAfter(call)));
        }

        @Override
        public boolean isOwnResponse(HttpResponse response) {
            return CallAnswers.areTiedByMessageIds(call, isBatch, response);
        }

        @Override
        public long confirmByMicros(HttpResponse response) {
            boolean isRetried = !isBatch && CallAnswers.mayBeRetriedAfter(response.status());
            return isBatch || isRetried ? core.nowMicros() : call.firstDeadlineMicros();
        }

        @Override
        public void onConfirmed() {
            core.answers().confirmed(call);
        }

        @Override
        public void onRefuted(Refutation refutation) {
            core.answers().refuted(call, refutation);
        }

        @Override
        public boolean forbidsResending(int status) {
            return CallAnswers.forbidsAttempts(status);
        }

        @Override
        public void onFailure(boolean written, int status) {
            // Before its last byte is written the endpoint has not begun. After that the outcome is unknown, except as
            // far as the part of the answer that has arrived tells it.
            if (status != 0) {
                core.counters().add(Counters.Name.SPOILT_ANSWERS);
            }
            if (written
                    && call.attachment instanceof PendingCall pending
                    && !isBatch
                    && pending.exchange().isOwnStatus()) {
                Answer answer = CallAnswers.ofStatus(status, AttemptResult.RESET);
                List.copyOf(call.messages)
                        .forEach(m -> core.answers().receivedCut(call, m, answer, remainingRetryAfter(call)));
            } else {
                reportInPart(call, written ? AttemptResult.RESET : AttemptResult.NO_CONNECTION);
            }
        }

        @Override
        public boolean isExpired() {
            return Core.monotonicMicros() >= call.writeByMicros();
        }

        @Override
        public void onWithheld() {
            reportAll(call, AttemptResult.WITHHELD);
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
            return !isBatch && exchange.status() == CallAnswers.OK && exchange.isOwnStatus();
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
                core.post(() -> report(call, m, AttemptResult.NOT_SENT));
            }
        }
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

    private static boolean usesNewConnection(Call call) {
        return call.attachment instanceof PendingCall pending
                && pending.exchange().usesNewConnection();
    }

    /** The response answers another request, and so may all that follows on its connection. */
    private void rejectResponse(Call call) {
        core.counters().add(Counters.Name.SPOILT_ANSWERS);
        if (call.attachment instanceof PendingCall pending) {
            pending.exchange().rejectResponse();
        }
        reportInPart(call, AttemptResult.RESET);
    }

    /**
     * Reports a call of which no certain answer arrived: {@code otherwise} for each message that the part which has
     * arrived doesn't end.
     */
    private void reportInPart(Call call, AttemptResult otherwise) {
        if (!(call.attachment instanceof PendingCall pending)) {
            reportAll(call, otherwise);
            return;
        }
        HttpClient.PartialResponse part = pending.exchange().partialResponse();
        for (Message m : List.copyOf(call.messages)) {
            Answer.Meaning meaning = CallAnswers.meaningInPart(
                    m.id(),
                    pending.isBatch(),
                    pending.exchange().statusSoFar(),
                    part == null ? EMPTY_BODY : part.body());
            core.answers().receivedInPart(call, m, meaning, otherwise, remainingRetryAfter(call));
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

    private void reportAll(Call call, AttemptResult outcome) {
        List.copyOf(call.messages).forEach(m -> report(call, m, outcome));
    }

    /**
     * Each outcome carries the current retry-after, which may stem from a response that nothing waited for any more.
     */
    private void report(Call call, Message m, AttemptResult outcome) {
        core.attemptEnded(call, m, outcome, remainingRetryAfter(call), false, false);
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
            core.post(() -> reportAll(call, AttemptResult.NO_CONNECTION));
            return;
        }
        // The slot is free only once the other side has seen the close: a new call in this same turn would find none.
        // What an answer allows that arrives from now on is ignored, as the endpoint was told to answer before.
        boolean isDelivered = pending.hasOwnStatusOfDelivery();
        pending.exchange().giveUp(() -> reportGivenUp(call, pending, isDelivered));
    }

    private void reportGivenUp(Call call, PendingCall pending, boolean isDelivered) {
        if (isDelivered) {
            reportAll(call, AttemptResult.DELIVERED);
        } else {
            reportInPart(call, pending.exchange().isWritten() ? AttemptResult.TIMED_OUT : AttemptResult.NO_CONNECTION);
        }
    }

    @Override
    public void cancelUnsent(Call call) {
        if (call.attachment instanceof PendingCall pending && pending.exchange().withdraw()) {
            core.post(() -> reportAll(call, AttemptResult.WITHHELD));
        }
    }

    @Override
    public void closeIdle(Call.Endpoint endpoint) {
        client.closeIdle(poolKey(endpoint));
    }

    /** The pool key of an endpoint: another process at its address gets no connections of its predecessor. */
    private static String poolKey(Call.Endpoint endpoint) {
        return endpoint.host()
                + '@'
                + endpoint.address()
                + '#'
                + endpoint.startedAtMillis()
                + '/'
                + endpoint.destination();
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
                    public void onRefuted(Refutation refutation) {
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
