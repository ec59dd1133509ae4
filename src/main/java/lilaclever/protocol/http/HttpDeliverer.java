package lilaclever.protocol.http;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;
import lilaclever.DecisionModule.Ending;
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
    private static final byte[] NOTHING = {};
    private static final byte[] CRLF = {'\r', '\n'};
    private static final String DEADLINE = "Req-Deadline";
    /** Responses of endpoints are short; longer ones are treated as malformed. */
    private static final int MOST_ANSWER = 64 * 1024;
    /** Ten years in microseconds: longer than any message's lifetime and any process run, and far from an overflow. */
    private static final long MOST_WAIT = 315_360_000_000_000L;

    private static final long SWEEP = 500_000;

    /**
     * A request to an endpoint. It isn't written while the endpoint drains or within a retry-after period; a
     * retry-after in its response is recorded.
     */
    private abstract class Heedful implements HttpClient.Listener {
        private final Call.Endpoint endpoint;

        Heedful(Call.Endpoint endpoint) {
            this.endpoint = endpoint;
        }

        @Override
        public void head(Map<String, String> answer) {
            heed(endpoint, answer);
        }

        @Override
        public boolean isServerLeaving() {
            return !core.activeEndpoints().mayReceive(endpoint);
        }

        @Override
        public boolean mayGo() {
            return waits.left(endpoint, Core.micros()) == 0;
        }
    }

    /**
     * An in-flight call with the headers that it is written with. {@code isBatch}: its response has a result for each
     * message, however many are left.
     */
    private record Out(HttpClient.Exchange exchange, Map<String, String> headers, boolean several) {}

    private final Core core;
    private final HttpClient client;
    private final long probeMicros;
    private final RetryAfterTable waits = new RetryAfterTable();

    /** Creates a deliverer with its own connections. */
    public HttpDeliverer(Core core, Transport transport, long connectMicros, long keepAliveMicros, int mostIdle) {
        this.core = core;
        this.probeMicros = connectMicros;
        this.client = new HttpClient(core, transport, "calls", connectMicros, keepAliveMicros, mostIdle, MOST_ANSWER);
    }

    /** Starts the periodic cleanup. */
    public void start() {
        client.start();
        core.counters().gauge("waits", waits::size);
        sweep();
    }

    private void sweep() {
        waits.sweep(core.now());
        core.deadlines().at(core.now() + SWEEP, this::sweep);
    }

    @Override
    public void start(Call call) {
        List<Message> messages = call.messages;
        boolean several = messages.size() > 1;
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put(DEADLINE, waitOf(call, messages));
        HttpClient.Listener listener = new Heedful(call.endpoint) {
            @Override
            public void answered(int status, Map<String, String> answer, byte[] body) {
                outcomes(call, several, status, answer, body);
            }

            @Override
            public void broke(boolean written, int status) {
                // Before its last byte is written the endpoint has not begun. After that the outcome is unknown, except
                // that a status line confirms the delivery of a call of one message.
                if (status != 0) {
                    core.counters().add(Counters.Name.SPOILT_ANSWERS);
                }
                all(
                        call,
                        saysDelivered(several, status)
                                ? Ending.DELIVERED
                                : written ? Ending.RESET : Ending.NO_CONNECTION,
                        false,
                        false);
            }

            @Override
            public boolean isTooLate() {
                return Core.micros() >= call.writeBy();
            }

            @Override
            public void withheld() {
                all(call, Ending.WITHHELD, false, false);
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
            body = many(messages);
        } else {
            Message m = messages.get(0);
            headers.put("Req-Id", m.id());
            if (m.submission.key() != null) {
                headers.put("Idempotency-Key", m.submission.key());
            }
            body = m.submission.body();
        }
        call.attachment = new Out(
                client.send(
                        owner(call.endpoint),
                        call.endpoint.address(),
                        "POST",
                        several ? "/receive-many" : "/receive",
                        headers,
                        body,
                        listener),
                headers,
                several);
    }

    /** Returns the time that a call of the given messages waits for its response, as written to the endpoint. */
    private static String waitOf(Call call, List<Message> messages) {
        return seconds(Math.max(0, Call.expiryOf(messages) - call.startedAt));
    }

    @Override
    public void leaveOut(Call call, Message m) {
        List<Message> rest = call.messages.stream().filter(x -> x != m).toList();
        if (call.attachment instanceof Out out) {
            out.headers().put(DEADLINE, waitOf(call, rest)); // sent only if the body is replaced as well
            if (out.exchange().replaceBody(many(rest))) {
                call.leftOut(m);
                core.post(() -> outcome(call, m, Ending.NOT_SENT, false, false));
            }
        }
    }

    private static boolean saysDelivered(boolean several, int status) {
        return status == 200 && !several;
    }

    private static byte[] many(List<Message> messages) {
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

    private void outcomes(Call call, boolean several, int status, Map<String, String> headers, byte[] body) {
        switch (status) {
            case 200 -> {
                if (several) {
                    each(call, body);
                } else {
                    all(call, Ending.DELIVERED, false, false);
                }
            }
            case 429, 503 -> {
                boolean noSlot = "1".equals(headers.get("x-no-slot"));
                all(
                        call,
                        noSlot ? Ending.NOT_SENT : noRoom(call, status, headers) ? Ending.NO_ROOM : Ending.FULL,
                        noSlot,
                        false);
            }
            case 504, 413, 400 -> all(call, Ending.NOT_SENT, false, false);
            case 410 -> all(call, Ending.NOT_SENT, false, true);
            default -> all(call, Ending.ERROR, false, false);
        }
    }

    /**
     * Whether the endpoint has reached its limit of connections: it closes a connection that was just opened. An
     * endpoint over its call limit keeps the connection. Mistaking the first for the second would slow all calls there
     * to no effect.
     */
    private static boolean noRoom(Call call, int status, Map<String, String> headers) {
        return status == 503
                && call.attachment instanceof Out out
                && out.exchange().isFresh()
                && "close"
                        .equalsIgnoreCase(headers.getOrDefault("connection", "").strip());
    }

    /** Reports the result of each message, or all messages as possibly executed if the response is incomplete. */
    private void each(Call call, byte[] body) {
        Optional<SeveralAnswer> answer =
                SeveralAnswer.parse(body).filter(x -> call.messages.stream().allMatch(m -> x.of(m.id()) != null));
        if (answer.isEmpty()) {
            core.counters().add(Counters.Name.SPOILT_ANSWERS);
            all(call, Ending.RESET, false, false);
            return;
        }
        for (Message m : List.copyOf(call.messages)) {
            switch (answer.get().of(m.id())) {
                case ACCEPTED -> outcome(call, m, Ending.DELIVERED, false, false);
                case DEFERRED -> outcome(call, m, Ending.FULL, false, false);
                case EXPIRED -> outcome(call, m, Ending.NOT_SENT, false, true);
                case NO_MORE -> outcome(call, m, Ending.NOT_SENT, false, false);
                default -> outcome(call, m, Ending.ERROR, false, false);
            }
        }
    }

    /**
     * Records the longest retry-after period of a response, whatever its status. It starts when the response is
     * written, so counting from when it is read ends no sooner. Values that aren't numbers are ignored.
     */
    private void heed(Call.Endpoint endpoint, Map<String, String> answer) {
        long longest = 0;
        for (String wait : answer.getOrDefault("x-retry-in-ms", "").split(",")) {
            longest = Math.max(longest, Figures.atLeast(wait.strip(), 3, MOST_WAIT));
        }
        if (longest > 0) {
            long now = Core.micros() + 1; // the clock is truncated to whole microseconds
            waits.told(endpoint, now + longest);
            Logs.debug(
                    "",
                    "wait",
                    "retry-after until " + (now + longest),
                    "partner",
                    endpoint.destination(),
                    "endpoint",
                    endpoint.host());
        }
    }

    private void all(Call call, Ending ending, boolean noSlot, boolean over) {
        List.copyOf(call.messages).forEach(m -> outcome(call, m, ending, noSlot, over));
    }

    /**
     * Each outcome carries the current retry-after, which may stem from a response that nothing waited for any more.
     */
    private void outcome(Call call, Message m, Ending ending, boolean noSlot, boolean over) {
        core.outcome(call, m, ending, waits.left(call.endpoint, core.now()), noSlot, over);
    }

    /** Formats seconds with decimals, as the protocol writes them. */
    static String seconds(long micros) {
        return String.format(Locale.ROOT, "%.3f", micros / 1e6);
    }

    @Override
    public void giveUp(Call call) {
        if (!(call.attachment instanceof Out out)) { // starting it failed
            core.post(() -> all(call, Ending.NO_CONNECTION, false, false));
            return;
        }
        // The slot is free only once the other side has seen the close: a new call in this same turn would find none.
        // Responses that arrive from now on are ignored.
        boolean delivered = saysDelivered(out.several(), out.exchange().status());
        out.exchange()
                .giveUp(() -> all(
                        call,
                        delivered
                                ? Ending.DELIVERED
                                : out.exchange().isWritten() ? Ending.TIMED_OUT : Ending.NO_CONNECTION,
                        false,
                        false));
    }

    @Override
    public void withdraw(Call call) {
        if (call.attachment instanceof Out out && out.exchange().withdraw()) {
            core.post(() -> all(call, Ending.WITHHELD, false, false));
        }
    }

    @Override
    public void closeIdle(Call.Endpoint endpoint) {
        client.closeIdle(owner(endpoint));
    }

    /**
     * The pool key of an endpoint. It has host and address, so that an endpoint at a reused address gets no connections
     * of its predecessor.
     */
    private static String owner(Call.Endpoint endpoint) {
        return endpoint.host() + '@' + endpoint.address();
    }

    @Override
    public void probe(Call.Endpoint endpoint) {
        long started = core.now();
        HttpClient.Exchange[] exchange = new HttpClient.Exchange[1];
        Deadlines.Key late = core.deadlines()
                .at(
                        started + probeMicros,
                        () -> exchange[0].giveUp(() -> probed(
                                endpoint, exchange[0].isWritten() ? Ending.TIMED_OUT : Ending.NO_CONNECTION, started)));
        exchange[0] = client.send(
                owner(endpoint), endpoint.address(), "GET", "/health/live", Map.of(), NOTHING, new Heedful(endpoint) {
                    @Override
                    public void answered(int status, Map<String, String> headers, byte[] body) {
                        end(status == 200 ? Ending.DELIVERED : status == 503 ? Ending.FULL : Ending.ERROR);
                    }

                    @Override
                    public void broke(boolean written, int status) {
                        end(written ? Ending.RESET : Ending.NO_CONNECTION);
                    }

                    @Override
                    public void withheld() {
                        end(Ending.WITHHELD);
                    }

                    private void end(Ending ending) {
                        core.deadlines().cancel(late);
                        probed(endpoint, ending, started);
                    }
                });
    }

    private void probed(Call.Endpoint endpoint, Ending ending, long started) {
        core.probed(endpoint.host(), ending, core.now() - started);
    }
}
