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

/** Calls over the platform's protocol: requests out, answers to endings. */
public final class HttpDeliverer implements Deliverer {
    private static final byte[] NOTHING = {};
    private static final byte[] CRLF = {'\r', '\n'};
    private static final String DEADLINE = "Req-Deadline";
    /** What an endpoint has to say is short; whatever says more is spoilt. */
    private static final int MOST_ANSWER = 64 * 1024;
    /** Longer than any message lives or any process runs, and far from an overflow: ten years, microseconds. */
    private static final long MOST_WAIT = 315_360_000_000_000L;

    private static final long SWEEP = 500_000;

    /** A request to an endpoint: not written while it drains or has asked for a wait; a wait in its answer binds. */
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
            return waits.remainingMicros(endpoint, Core.monotonicMicros()) == 0;
        }
    }

    /**
     * What is out for a call, and the headers that it is written with; {@code several}: its answer tells the end of
     * each message, however many are left.
     */
    private record Out(HttpClient.Exchange exchange, Map<String, String> headers, boolean several) {}

    private final Core core;
    private final HttpClient client;
    private final long probeMicros;
    private final RetryAfterTable waits = new RetryAfterTable();

    /** A deliverer with connections of its own. */
    public HttpDeliverer(Core core, Transport transport, long connectMicros, long keepAliveMicros, int mostIdle) {
        this.core = core;
        this.probeMicros = connectMicros;
        this.client = new HttpClient(core, transport, "calls", connectMicros, keepAliveMicros, mostIdle, MOST_ANSWER);
    }

    /** Starts its housekeeping. */
    public void start() {
        client.start();
        core.counters().entryGauge("waits", waits::size);
        sweep();
    }

    private void sweep() {
        waits.removeExpired(core.nowMicros());
        core.deadlines().schedule(core.nowMicros() + SWEEP, this::sweep);
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
                // Before the last byte the endpoint has not begun; after it nobody knows, but for a call of one
                // message whose answer's first line still says that it is delivered.
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
                return Core.monotonicMicros() >= call.writeByMicros();
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

    /** How long a call of the given messages waits for its answer, as its endpoint is told. */
    private static String waitOf(Call call, List<Message> messages) {
        return seconds(Math.max(0, Call.expiryMicrosOf(messages) - call.startedAtMicros));
    }

    @Override
    public void removeMessage(Call call, Message m) {
        List<Message> rest = call.messages.stream().filter(x -> x != m).toList();
        if (call.attachment instanceof Out out) {
            out.headers().put(DEADLINE, waitOf(call, rest)); // written anew with the body, or not at all
            if (out.exchange().replaceBody(many(rest))) {
                call.removeMessage(m);
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
     * Whether it was the connection that the endpoint has no room for: it closes what was opened just now. One that is
     * over its limit keeps the connection. To take the first for the second would slow all calls there, and change
     * nothing.
     */
    private static boolean noRoom(Call call, int status, Map<String, String> headers) {
        return status == 503
                && call.attachment instanceof Out out
                && out.exchange().isFresh()
                && "close"
                        .equalsIgnoreCase(headers.getOrDefault("connection", "").strip());
    }

    /** Ends each message as the answer says, or all as calls that may have run where the answer is not whole. */
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
     * Keeps the wait that an answer asks for, whatever else it says: the longest, if it names several. It runs from the
     * answer's writing, so one counted from its reading ends no sooner. What is no number is none.
     */
    private void heed(Call.Endpoint endpoint, Map<String, String> answer) {
        long longest = 0;
        for (String wait : answer.getOrDefault("x-retry-in-ms", "").split(",")) {
            longest = Math.max(longest, Figures.atLeast(wait.strip(), 3, MOST_WAIT));
        }
        if (longest > 0) {
            long now = Core.monotonicMicros() + 1; // the clock is cut to whole microseconds
            waits.recordRetryAfter(endpoint, now + longest);
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

    private void all(Call call, Ending ending, boolean noSlot, boolean over) {
        List.copyOf(call.messages).forEach(m -> outcome(call, m, ending, noSlot, over));
    }

    /** Any outcome tells what is known of waits: a wait may have come with an answer that nobody waited for. */
    private void outcome(Call call, Message m, Ending ending, boolean noSlot, boolean over) {
        core.attemptEnded(call, m, ending, waits.remainingMicros(call.endpoint, core.nowMicros()), noSlot, over);
    }

    /** Seconds with decimals, as the protocol writes them. */
    static String seconds(long micros) {
        return String.format(Locale.ROOT, "%.3f", micros / 1e6);
    }

    @Override
    public void abort(Call call) {
        if (!(call.attachment instanceof Out out)) { // its start has failed
            core.post(() -> all(call, Ending.NO_CONNECTION, false, false));
            return;
        }
        // The slot is free once the other side has seen the close: a call in this same turn would find none.
        boolean delivered = saysDelivered(out.several(), out.exchange().status()); // not what comes from now on
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
    public void cancelUnsent(Call call) {
        if (call.attachment instanceof Out out && out.exchange().withdraw()) {
            core.post(() -> all(call, Ending.WITHHELD, false, false));
        }
    }

    @Override
    public void closeIdle(Call.Endpoint endpoint) {
        client.closeIdle(owner(endpoint));
    }

    /** Whose connections are found again: an endpoint that comes to the address of another inherits none. */
    private static String owner(Call.Endpoint endpoint) {
        return endpoint.host() + '@' + endpoint.address();
    }

    @Override
    public void probe(Call.Endpoint endpoint) {
        long started = core.nowMicros();
        HttpClient.Exchange[] exchange = new HttpClient.Exchange[1];
        Deadlines.Key late = core.deadlines()
                .schedule(
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
        core.probeEnded(endpoint.host(), ending, core.nowMicros() - started);
    }
}
