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
import lilaclever.routing.Refutation;
import lilaclever.transport.Transport;

/**
 * Notifies the platform of the final status of messages, and repeats each notice until the platform confirms it. Event
 * loop.
 */
public final class NoticeSender {
    /**
     * A final status counts as lost 300 ms after its message's deadline. The platform answers at once, so a batch
     * without an answer is repeated early enough that the attempt after {@link #PROMPT_ATTEMPTS} fits in that time, and
     * has longer to be answered.
     */
    private static final long INITIAL_TIMEOUT_MICROS = 60_000, MAX_TIMEOUT_MICROS = 1_000_000;

    private static final long INITIAL_RETRY_DELAY_MICROS = 10_000, MAX_RETRY_DELAY_MICROS = 100_000;
    /** From then on timeouts and delays double with each failure, as the platform is slow or gone. */
    private static final int PROMPT_ATTEMPTS = 3;

    private static final int NO_CONTENT = 204;
    private static final int MAX_DOUBLINGS = 5;
    private static final int MAX_BATCH_SIZE = 200;
    /** Notices of this time go together, as each request takes a connection that has rested, or a new one. */
    private static final long BATCH_INTERVAL_MICROS = 10_000;

    private static final int MAX_IDLE_CONNECTIONS = 4;
    private static final int MAX_RESPONSE_BYTES = 16 * 1024;

    private record Notice(String line, Runnable settled) {}

    private final Core core;
    private final HttpClient client;
    private final List<Notice> pending = new ArrayList<>();
    /** Notices whose confirmation may be that of an earlier batch. */
    private int unconfirmedCount;

    private String address;
    private boolean isSending;
    /** Consecutive batches that were not confirmed. */
    private int consecutiveFailures;
    /** The batch in flight. */
    private HttpClient.Exchange inFlight;
    /** The start of the next batch, or the timeout of the one in flight. */
    private Deadlines.Key timer;

    /** Sends notices to the address. */
    public NoticeSender(
            Core core, Transport transport, String address, long connectTimeoutMicros, long keepAliveMicros) {
        this.core = core;
        this.client = new HttpClient(
                core,
                transport,
                "notices",
                connectTimeoutMicros,
                keepAliveMicros,
                MAX_IDLE_CONNECTIONS,
                MAX_RESPONSE_BYTES);
        client.restAlways(); // a confirmation again, for a batch that is dropped, would be followed by silence
        this.address = address;
        core.counters().entryGauge("notices", () -> pending.size() + unconfirmedCount);
    }

    void add(String id, String status, long retryAfterMicros, Runnable settled) {
        JsonObject line = new JsonObject();
        line.addProperty("id", id);
        line.addProperty("status", status);
        if (retryAfterMicros > 0) {
            line.addProperty("again_ms", (retryAfterMicros + 999) / 1000);
        }
        pending.add(new Notice(line.toString() + '\n', settled));
        startSending();
    }

    private void startSending() {
        if (!isSending) {
            isSending = true;
            timer = core.deadlines().schedule(core.nowMicros() + 1, this::send); // batches all notices of this turn
        }
    }

    /**
     * Switches to a new address, also for notices that the old one has not confirmed: a repeated notice does no harm.
     */
    public void moveTo(String newAddress) {
        client.closeIdle(address);
        address = newAddress;
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
                .schedule(
                        core.nowMicros() + Math.min(MAX_TIMEOUT_MICROS, INITIAL_TIMEOUT_MICROS << doublings()), () -> {
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
                new BatchListener(batch));
    }

    /** Hears how the platform answers a batch. */
    private final class BatchListener implements HttpClient.Listener {
        private final List<Notice> batch;
        private boolean isUnconfirmed;

        BatchListener(List<Notice> batch) {
            this.batch = batch;
        }

        @Override
        public void onResponse(HttpResponse response) {
            core.deadlines().cancel(timer);
            if (response.status() != NO_CONTENT) {
                Logs.warn("", "notices-refused", "the platform answered notices with status " + response.status());
                retryLater();
                return;
            }
            consecutiveFailures = 0;
            pending.subList(0, batch.size()).clear();
            if (response.needsConfirmation()) {
                isUnconfirmed = true;
                unconfirmedCount += batch.size();
            } else {
                settle();
            }
            inFlight = null;
            timer = core.deadlines().schedule(core.nowMicros() + BATCH_INTERVAL_MICROS, NoticeSender.this::send);
        }

        private void settle() {
            batch.forEach(notice -> {
                core.counters().add(Counters.Name.NOTICES);
                notice.settled().run();
            });
        }

        @Override
        public void onConfirmed() {
            if (isUnconfirmed) {
                unconfirmedCount -= batch.size();
                settle();
            }
        }

        @Override
        public void onRefuted(Refutation refutation) {
            if (isUnconfirmed) {
                unconfirmedCount -= batch.size();
                pending.addAll(batch);
                startSending();
            }
        }

        @Override
        public void onFailure(boolean written, int status) {
            core.deadlines().cancel(timer);
            retryLater();
        }

        @Override
        public String toString() {
            return batch.size() + " notices";
        }
    }

    private void retryLater() {
        inFlight = null;
        timer = core.deadlines()
                .schedule(
                        core.nowMicros() + Math.min(MAX_RETRY_DELAY_MICROS, INITIAL_RETRY_DELAY_MICROS << doublings()),
                        this::send);
        consecutiveFailures++;
    }

    private int doublings() {
        return Math.min(Math.max(0, consecutiveFailures - PROMPT_ATTEMPTS + 1), MAX_DOUBLINGS);
    }
}
