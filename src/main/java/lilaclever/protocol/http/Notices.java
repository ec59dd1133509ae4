package lilaclever.protocol.http;

import com.google.gson.JsonObject;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import lilaclever.log.Logs;
import lilaclever.routing.Core;
import lilaclever.routing.Counters;
import lilaclever.routing.Deadlines;
import lilaclever.transport.Transport;

/** Tells the platform how messages ended, again and again until it says that it has heard. Loop thread. */
public final class Notices {
    /**
     * The platform answers at once, and an end counts as lost 300 ms after its message's time: a connection that has
     * fallen silent or is closed must be noticed well within that. A platform that is slow is given longer, time and
     * again twice as long.
     */
    private static final long FIRST_ANSWER_BY = 100_000, LAST_ANSWER_BY = 1_000_000;

    private static final long FIRST_PAUSE = 10_000, LAST_PAUSE = 100_000;
    private static final int MOST_DOUBLINGS = 4;
    private static final int MOST = 200;
    private static final int MOST_ANSWER = 16 * 1024;

    private record Notice(String line, Runnable settled) {}

    private final Core core;
    private final HttpClient client;
    private final List<Notice> open = new ArrayList<>();
    private String address;
    private boolean busy;
    /** Batches in a row that were not confirmed. */
    private int failures;
    /** The batch that is on its way, and when it is given up or sent again. */
    private HttpClient.Exchange sending;

    private Deadlines.Key again;

    /** Notices to the address. */
    public Notices(Core core, Transport transport, String address, long connectMicros, long keepAliveMicros) {
        this.core = core;
        this.client = new HttpClient(core, transport, "notices", connectMicros, keepAliveMicros, 1, MOST_ANSWER);
        this.address = address;
        core.counters().entryGauge("notices", open::size);
    }

    void add(String id, String status, long againMicros, Runnable settled) {
        JsonObject line = new JsonObject();
        line.addProperty("id", id);
        line.addProperty("status", status);
        if (againMicros > 0) {
            line.addProperty("again_ms", (againMicros + 999) / 1000);
        }
        open.add(new Notice(line.toString() + '\n', settled));
        if (!busy) {
            busy = true;
            again = core.deadlines().schedule(core.nowMicros() + 1, this::send); // with what else ends in this turn
        }
    }

    /** Tells the new address from now on, what the old one has not confirmed too: a second notice does no harm. */
    public void move(String to) {
        client.closeIdle(address);
        address = to;
        if (busy) {
            core.deadlines().cancel(again);
            if (sending != null) {
                sending.close();
            }
            send();
        }
    }

    private void send() {
        sending = null;
        if (open.isEmpty()) {
            busy = false;
            return;
        }
        List<Notice> batch = List.copyOf(open.subList(0, Math.min(MOST, open.size())));
        StringBuilder body = new StringBuilder();
        batch.forEach(n -> body.append(n.line()));
        again = core.deadlines()
                .schedule(core.nowMicros() + Math.min(LAST_ANSWER_BY, FIRST_ANSWER_BY << failures), () -> {
                    sending.close();
                    later();
                });
        sending = client.send(
                address,
                address,
                "POST",
                "/status",
                Map.of("Content-Type", "application/json"),
                body.toString().getBytes(StandardCharsets.UTF_8),
                new HttpClient.Listener() {
                    @Override
                    public void answered(int status, Map<String, String> headers, byte[] answer) {
                        core.deadlines().cancel(again);
                        if (status != 204) {
                            Logs.warn("", "notices-refused", "notices answered with " + status);
                            later();
                            return;
                        }
                        failures = 0;
                        open.subList(0, batch.size()).clear();
                        batch.forEach(n -> {
                            core.counters().add(Counters.Name.NOTICES);
                            n.settled().run();
                        });
                        send();
                    }

                    @Override
                    public void broke(boolean written, int status) {
                        core.deadlines().cancel(again);
                        later();
                    }
                });
    }

    private void later() {
        sending = null;
        again = core.deadlines().schedule(core.nowMicros() + Math.min(LAST_PAUSE, FIRST_PAUSE << failures), this::send);
        failures = Math.min(failures + 1, MOST_DOUBLINGS);
    }
}
