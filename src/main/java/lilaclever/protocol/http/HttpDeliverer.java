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

/** Calls over the platform's protocol: requests out, answers to endings. */
public final class HttpDeliverer implements Deliverer {
    private static final byte[] EMPTY_BODY = {};
    private static final byte[] CRLF = {'\r', '\n'};
    private static final String DEADLINE_HEADER = "Req-Deadline";
    /** What an endpoint has to say is short; whatever says more is spoilt. */
    private static final int MAX_RESPONSE_BYTES = 64 * 1024;
    /** Longer than any message lives or any process runs, and far from an overflow: ten years, microseconds. */
    private static final long MAX_RETRY_AFTER_MICROS = 315_360_000_000_000L;

    private static final long SWEEP_INTERVAL_MICROS = 500_000;

    /** A request to an endpoint: not written while it drains or has asked for a wait; a wait in its answer binds. */
    private abstract class EndpointListener implements HttpClient.Listener {
        private final Call.Endpoint endpoint;

        EndpointListener(Call.Endpoint endpoint) {
            this.endpoint = endpoint;
        }

        @Override
        public void onHead(Map<String, String> answer) {
            recordRetryAfter(endpoint, answer);
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

    /**
     * What is out for a call, and the headers that it is written with; {@code several}: its answer tells the end of
     * each message, however many are left.
     */
    private record PendingCall(HttpClient.Exchange exchange, Map<String, String> headers, boolean isBatch) {}

    private final Core core;
    private final HttpClient client;
    private final long probeTimeoutMicros;
    private final RetryAfterTable retryAfterTable = new RetryAfterTable();

    /** A deliverer with connections of its own. */
    public HttpDeliverer(Core core, Transport transport, long connectMicros, long keepAliveMicros, int mostIdle) {
        this.core = core;
        this.probeTimeoutMicros = connectMicros;
        this.client = new HttpClient(core, transport, "calls", connectMicros, keepAliveMicros, mostIdle, MAX_RESPONSE_BYTES);
    }

    /** Starts its housekeeping. */
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
        boolean several = messages.size() > 1;
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put(DEADLINE_HEADER, timeoutSeconds(call, messages));
        HttpClient.Listener listener = new EndpointListener(call.endpoint) {
            @Override
            public void onResponse(int status, Map<String, String> answer, byte[] body) {
                reportResponse(call, several, status, answer, body);
            }

            @Override
            public void onFailure(boolean written, int status) {
                // Before the last byte the endpoint has not begun; after it nobody knows, but for a call of one
                // message whose answer's first line still says that it is delivered.
                if (status != 0) {
                    core.counters().add(Counters.Name.SPOILT_ANSWERS);
                }
                reportAll(
                        call,
                        confirmsDelivery(several, status)
                                ? AttemptResult.DELIVERED
                                : written ? AttemptResult.RESET : AttemptResult.NO_CONNECTION,
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
        };
        byte[] body;
        if (several) {
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
                        several ? "/receive-many" : "/receive",
                        headers,
                        body,
                        listener),
                headers,
                several);
    }

    /** How long a call of the given messages waits for its answer, as its endpoint is told. */
    private static String timeoutSeconds(Call call, List<Message> messages) {
        return seconds(Math.max(0, Call.expiryMicrosOf(messages) - call.startedAtMicros));
    }

    @Override
    public void removeMessage(Call call, Message m) {
        List<Message> rest = call.messages.stream().filter(x -> x != m).toList();
        if (call.attachment instanceof PendingCall out) {
            out.headers().put(DEADLINE_HEADER, timeoutSeconds(call, rest)); // written anew with the body, or not at all
            if (out.exchange().replaceBody(encodeBatch(rest))) {
                call.removeMessage(m);
                core.post(() -> report(call, m, AttemptResult.NOT_SENT, false, false));
            }
        }
    }

    private static boolean confirmsDelivery(boolean several, int status) {
        return status == 200 && !several;
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

    private void reportResponse(Call call, boolean several, int status, Map<String, String> headers, byte[] body) {
        switch (status) {
            case 200 -> {
                if (several) {
                    reportEach(call, body);
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
     * Whether it was the connection that the endpoint has no room for: it closes what was opened just now. One that is
     * over its limit keeps the connection. To take the first for the second would slow all calls there, and change
     * nothing.
     */
    private static boolean isConnectionLimit(Call call, int status, Map<String, String> headers) {
        return status == 503
                && call.attachment instanceof PendingCall out
                && out.exchange().usesNewConnection()
                && "close"
                        .equalsIgnoreCase(headers.getOrDefault("connection", "").strip());
    }

    /** Ends each message as the answer says, or all as calls that may have run where the answer is not whole. */
    private void reportEach(Call call, byte[] body) {
        Optional<BatchResponse> answer =
                BatchResponse.parse(body).filter(x -> call.messages.stream().allMatch(m -> x.resultOf(m.id()) != null));
        if (answer.isEmpty()) {
            core.counters().add(Counters.Name.SPOILT_ANSWERS);
            reportAll(call, AttemptResult.RESET, false, false);
            return;
        }
        for (Message m : List.copyOf(call.messages)) {
            switch (answer.get().resultOf(m.id())) {
                case ACCEPTED -> report(call, m, AttemptResult.DELIVERED, false, false);
                case DEFERRED -> report(call, m, AttemptResult.FULL, false, false);
                case EXPIRED -> report(call, m, AttemptResult.NOT_SENT, false, true);
                case NO_MORE -> report(call, m, AttemptResult.NOT_SENT, false, false);
                default -> report(call, m, AttemptResult.ERROR, false, false);
            }
        }
    }

    /**
     * Keeps the wait that an answer asks for, whatever else it says: the longest, if it names several. It runs from the
     * answer's writing, so one counted from its reading ends no sooner. What is no number is none.
     */
    private void recordRetryAfter(Call.Endpoint endpoint, Map<String, String> answer) {
        long longest = 0;
        for (String wait : answer.getOrDefault("x-retry-in-ms", "").split(",")) {
            longest = Math.max(longest, HeaderValues.shiftedDecimalUpTo(wait.strip(), 3, MAX_RETRY_AFTER_MICROS));
        }
        if (longest > 0) {
            long now = Core.monotonicMicros() + 1; // the clock is cut to whole microseconds
            retryAfterTable.recordRetryAfter(endpoint, now + longest);
            Logs.debug(
                    "",
                    "wait",
                    "told to wait until " + (now + longest),
                    "partner",
                    endpoint.destination(),
                    "endpoint",
                    endpoint.host());
        }
    }

    private void reportAll(Call call, AttemptResult ending, boolean noSlot, boolean over) {
        List.copyOf(call.messages).forEach(m -> report(call, m, ending, noSlot, over));
    }

    /** Any outcome tells what is known of waits: a wait may have come with an answer that nobody waited for. */
    private void report(Call call, Message m, AttemptResult ending, boolean noSlot, boolean over) {
        core.attemptEnded(call, m, ending, retryAfterTable.remainingMicros(call.endpoint, core.nowMicros()), noSlot, over);
    }

    /** Seconds with decimals, as the protocol writes them. */
    static String seconds(long micros) {
        return String.format(Locale.ROOT, "%.3f", micros / 1e6);
    }

    @Override
    public void abort(Call call) {
        if (!(call.attachment instanceof PendingCall out)) { // its start has failed
            core.post(() -> reportAll(call, AttemptResult.NO_CONNECTION, false, false));
            return;
        }
        // The slot is free once the other side has seen the close: a call in this same turn would find none.
        boolean delivered = confirmsDelivery(out.isBatch(), out.exchange().status()); // not what comes from now on
        out.exchange()
                .giveUp(() -> reportAll(
                        call,
                        delivered
                                ? AttemptResult.DELIVERED
                                : out.exchange().isWritten() ? AttemptResult.TIMED_OUT : AttemptResult.NO_CONNECTION,
                        false,
                        false));
    }

    @Override
    public void cancelUnsent(Call call) {
        if (call.attachment instanceof PendingCall out && out.exchange().withdraw()) {
            core.post(() -> reportAll(call, AttemptResult.WITHHELD, false, false));
        }
    }

    @Override
    public void closeIdle(Call.Endpoint endpoint) {
        client.closeIdle(poolKey(endpoint));
    }

    /** Whose connections are found again: an endpoint that comes to the address of another inherits none. */
    private static String poolKey(Call.Endpoint endpoint) {
        return endpoint.host() + '@' + endpoint.address();
    }

    @Override
    public void probe(Call.Endpoint endpoint) {
        long started = core.nowMicros();
        HttpClient.Exchange[] exchange = new HttpClient.Exchange[1];
        Deadlines.Key late = core.deadlines()
                .schedule(
                        started + probeTimeoutMicros,
                        () -> exchange[0].giveUp(() -> reportProbe(
                                endpoint,
                                exchange[0].isWritten() ? AttemptResult.TIMED_OUT : AttemptResult.NO_CONNECTION,
                                started)));
        exchange[0] = client.send(
                poolKey(endpoint), endpoint.address(), "GET", "/health/live", Map.of(), EMPTY_BODY, new EndpointListener(endpoint) {
                    @Override
                    public void onResponse(int status, Map<String, String> headers, byte[] body) {
                        end(
                                status == 200
                                        ? AttemptResult.DELIVERED
                                        : status == 503 ? AttemptResult.FULL : AttemptResult.ERROR);
                    }

                    @Override
                    public void onFailure(boolean written, int status) {
                        end(written ? AttemptResult.RESET : AttemptResult.NO_CONNECTION);
                    }

                    @Override
                    public void onWithheld() {
                        end(AttemptResult.WITHHELD);
                    }

                    private void end(AttemptResult ending) {
                        core.deadlines().cancel(late);
                        reportProbe(endpoint, ending, started);
                    }
                });
    }

    private void reportProbe(Call.Endpoint endpoint, AttemptResult ending, long started) {
        core.probeEnded(endpoint.host(), ending, core.nowMicros() - started);
    }
}
