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
public final class NoticeSender {
    /**
     * The platform answers at once, and an end counts as lost 300 ms after its message's time: a connection that has
     * fallen silent or is closed must be noticed well within that. A platform that is slow is given longer, time and
     * again twice as long.
     */
    private static final long INITIAL_TIMEOUT_MICROS = 100_000, MAX_TIMEOUT_MICROS = 1_000_000;

    private static final long INITIAL_RETRY_DELAY_MICROS = 10_000, MAX_RETRY_DELAY_MICROS = 100_000;
    private static final int MAX_DOUBLINGS = 4;
    private static final int MAX_BATCH_SIZE = 200;
    private static final int MAX_RESPONSE_BYTES = 16 * 1024;

    private record Notice(String line, Runnable settled) {}

    private final Core core;
    private final HttpClient client;
    private final List<Notice> pending = new ArrayList<>();
    private String address;
    private boolean isSending;
    /** Batches in a row that were not confirmed. */
    private int consecutiveFailures;
    /** The batch that is on its way, and when it is given up or sent again. */
    private HttpClient.Exchange inFlight;

    private Deadlines.Key timer;

    /** Notices to the address. */
    public NoticeSender(Core core, Transport transport, String address, long connectMicros, long keepAliveMicros) {
        this.core = core;
        this.client = new HttpClient(core, transport, "notices", connectMicros, keepAliveMicros, 1, MAX_RESPONSE_BYTES);
        this.address = address;
        core.counters().entryGauge("notices", pending::size);
    }

    void add(String id, String status, long againMicros, Runnable settled) {
        JsonObject line = new JsonObject();
        line.addProperty("id", id);
        line.addProperty("status", status);
        if (againMicros > 0) {
            line.addProperty("again_ms", (againMicros + 999) / 1000);
        }
        pending.add(new Notice(line.toString() + '\n', settled));
        if (!isSending) {
            isSending = true;
            timer = core.deadlines().schedule(core.nowMicros() + 1, this::send); // with what else ends in this turn
        }
    }

    /** Tells the new address from now on, what the old one has not confirmed too: a second notice does no harm. */
    public void moveTo(String to) {
        client.closeIdle(address);
        address = to;
        if (isSending) {
            core.deadlines().cancel(timer);
            if (inFlight != null) {
                inFlight.close();
            }
            send();
        }
    }

    private void send() {
        inFlight = null;
        if (pending.isEmpty()) {
            isSending = false;
            return;
        }
        List<Notice> batch = List.copyOf(pending.subList(0, Math.min(MAX_BATCH_SIZE, pending.size())));
        StringBuilder body = new StringBuilder();
        batch.forEach(n -> body.append(n.line()));
        timer = core.deadlines()
                .schedule(core.nowMicros() + Math.min(MAX_TIMEOUT_MICROS, INITIAL_TIMEOUT_MICROS << consecutiveFailures), () -> {
                    inFlight.close();
                    retryLater();
                });
        inFlight = client.send(
                address,
                address,
                "POST",
                "/status",
                Map.of("Content-Type", "application/json"),
                body.toString().getBytes(StandardCharsets.UTF_8),
                new HttpClient.Listener() {
                    @Override
                    public void onResponse(int status, Map<String, String> headers, byte[] answer) {
                        core.deadlines().cancel(timer);
                        if (status != 204) {
                            Logs.warn("", "notices-refused", "notices answered with " + status);
                            retryLater();
                            return;
                        }
                        consecutiveFailures = 0;
                        pending.subList(0, batch.size()).clear();
                        batch.forEach(n -> {
                            core.counters().add(Counters.Name.NOTICES);
                            n.settled().run();
                        });
                        send();
                    }

                    @Override
                    public void onFailure(boolean written, int status) {
                        core.deadlines().cancel(timer);
                        retryLater();
                    }
                });
    }

    private void retryLater() {
        inFlight = null;
        timer = core.deadlines().schedule(core.nowMicros() + Math.min(MAX_RETRY_DELAY_MICROS, INITIAL_RETRY_DELAY_MICROS << consecutiveFailures), this::send);
        consecutiveFailures = Math.min(consecutiveFailures + 1, MAX_DOUBLINGS);
    }
}
