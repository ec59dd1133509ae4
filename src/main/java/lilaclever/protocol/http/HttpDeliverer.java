package lilaclever.protocol.http;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import lilaclever.Relay.Ending;
import lilaclever.routing.Call;
import lilaclever.routing.Core;
import lilaclever.routing.Counters;
import lilaclever.routing.Deadlines;
import lilaclever.routing.Deliverer;
import lilaclever.routing.Message;
import lilaclever.transport.Transport;

/** Calls over the platform's protocol: requests out, answers to endings. */
public final class HttpDeliverer implements Deliverer {
    private static final byte[] NOTHING = {};
    private static final byte[] CRLF = {'\r', '\n'};
    /** What an endpoint has to say is short; whatever says more is spoilt. */
    private static final int MOST_ANSWER = 64 * 1024;

    /** What is out for a call; {@code several}: its answer tells the end of each message, however many are left. */
    private record Out(HttpClient.Exchange exchange, boolean several) { }

    private final Core core;
    private final HttpClient client;
    private final long probeMicros;

    /** A deliverer with connections of its own. */
    public HttpDeliverer(Core core, Transport transport, long connectMicros, long keepAliveMicros, int mostIdle) {
        this.core = core;
        this.probeMicros = connectMicros;
        this.client = new HttpClient(core, transport, "calls", connectMicros, keepAliveMicros, mostIdle, MOST_ANSWER);
    }

    /** Starts its housekeeping. */
    public void start() {
        client.start();
    }

    @Override
    public void start(Call call) {
        List<Message> messages = call.messages;
        boolean several = messages.size() > 1;
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("Req-Deadline", seconds(Math.max(0, call.dropAt - call.startedAt)));
        HttpClient.Listener listener = new HttpClient.Listener() {
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
                all(call, saysDelivered(several, status) ? Ending.DELIVERED : written ? Ending.RESET
                        : Ending.NO_CONNECTION, 0, false, false);
            }
        };
        byte[] body;
        if (several) {
            body = many(messages);
        } else {
            Message m = messages.get(0);
            headers.put("Req-Id", m.id());
            if (m.handin.key() != null) {
                headers.put("Idempotency-Key", m.handin.key());
            }
            body = m.handin.body();
        }
        call.attachment = new Out(client.send(owner(call.endpoint), call.endpoint.address(), "POST",
                several ? "/receive-many" : "/receive", headers, body, listener), several);
    }

    @Override
    public void leaveOut(Call call, Message m) {
        List<Message> rest = call.messages.stream().filter(x -> x != m).toList();
        if (call.attachment instanceof Out out && out.exchange().replaceBody(many(rest))) {
            call.messages.remove(m);
            core.post(() -> core.outcome(call, m, Ending.NOT_SENT, 0, false, false));
        }
    }

    private static boolean saysDelivered(boolean several, int status) {
        return status == 200 && !several;
    }

    private static byte[] many(List<Message> messages) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        for (Message m : messages) {
            String key = m.handin.key() == null ? "-" : m.handin.key();
            out.writeBytes((m.id() + ' ' + key + ' ' + m.handin.body().length)
                    .getBytes(StandardCharsets.ISO_8859_1));
            out.writeBytes(CRLF);
            out.writeBytes(m.handin.body());
            out.writeBytes(CRLF);
        }
        return out.toByteArray();
    }

    private void outcomes(Call call, boolean several, int status, Map<String, String> headers, byte[] body) {
        long wait = wait(headers);
        switch (status) {
            case 200 -> {
                if (several) {
                    each(call, wait, new String(body, StandardCharsets.ISO_8859_1));
                } else {
                    all(call, Ending.DELIVERED, 0, false, false);
                }
            }
            case 429, 503 -> {
                boolean noSlot = "1".equals(headers.get("x-no-slot"));
                all(call, noSlot ? Ending.NOT_SENT : Ending.FULL, wait, noSlot, false);
            }
            case 504, 413, 400 -> all(call, Ending.NOT_SENT, 0, false, false);
            case 410 -> all(call, Ending.NOT_SENT, 0, false, true);
            default -> all(call, Ending.ERROR, 0, false, false);
        }
    }

    private void each(Call call, long wait, String text) {
        Map<String, String> ends = new HashMap<>();
        for (String line : text.split("\r?\n")) {
            int space = line.indexOf(' ');
            if (space > 0) {
                ends.put(line.substring(0, space), line.substring(space + 1).trim());
            }
        }
        for (Message m : List.copyOf(call.messages)) {
            String end = ends.getOrDefault(m.id(), "fault"); // not told: it may have run
            switch (end) {
                case "accepted" -> core.outcome(call, m, Ending.DELIVERED, 0, false, false);
                case "deferred" -> core.outcome(call, m, Ending.FULL, wait, false, false);
                case "expired" -> core.outcome(call, m, Ending.NOT_SENT, 0, false, true);
                case "no_more" -> core.outcome(call, m, Ending.NOT_SENT, 0, false, false);
                default -> core.outcome(call, m, Ending.ERROR, 0, false, false);
            }
        }
    }

    /** The wait that an answer tells, microseconds; what is no number, or none of a wait, is none. */
    private static long wait(Map<String, String> headers) {
        Long wait = Figures.decimal(headers.getOrDefault("x-retry-in-ms", ""), 3);
        return wait == null ? 0 : wait;
    }

    private void all(Call call, Ending ending, long wait, boolean noSlot, boolean over) {
        List.copyOf(call.messages).forEach(m -> core.outcome(call, m, ending, wait, noSlot, over));
    }

    /** Seconds with decimals, as the protocol writes them. */
    static String seconds(long micros) {
        return String.format(Locale.ROOT, "%.3f", micros / 1e6);
    }

    @Override
    public void giveUp(Call call) {
        Out out = (Out) call.attachment;
        boolean written = out != null && out.exchange().close();
        boolean delivered = out != null && saysDelivered(out.several(), out.exchange().status());
        // The slot is free once the other side has seen the close: a call in this same turn would find none.
        core.post(() -> all(call, delivered ? Ending.DELIVERED : written ? Ending.TIMED_OUT : Ending.NO_CONNECTION, 0,
                false, false));
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
        long started = core.now();
        HttpClient.Exchange[] exchange = new HttpClient.Exchange[1];
        Deadlines.Key late = core.deadlines().at(started + probeMicros, () -> {
            exchange[0].close();
            core.probed(endpoint.host(), Ending.TIMED_OUT, core.now() - started);
        });
        exchange[0] = client.send(owner(endpoint), endpoint.address(), "GET", "/health/live", Map.of(), NOTHING,
                new HttpClient.Listener() {
            @Override
            public void answered(int status, Map<String, String> headers, byte[] body) {
                end(status == 200 ? Ending.DELIVERED : status == 503 ? Ending.FULL : Ending.ERROR);
            }

            @Override
            public void broke(boolean written, int status) {
                end(written ? Ending.RESET : Ending.NO_CONNECTION);
            }

            private void end(Ending ending) {
                core.deadlines().cancel(late);
                core.probed(endpoint.host(), ending, core.now() - started);
            }
        });
    }
}
