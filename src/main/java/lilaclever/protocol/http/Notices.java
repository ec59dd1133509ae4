package lilaclever.protocol.http;

import com.google.gson.JsonObject;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import lilaclever.routing.Core;
import lilaclever.routing.Counters;
import lilaclever.routing.Deadlines;
import lilaclever.transport.Transport;

/** Tells the platform how messages ended, again and again until it says that it has heard. Loop thread. */
public final class Notices {
    private static final long ANSWER_BY = 1_000_000;
    private static final long PAUSE = 100_000;
    private static final int MOST = 200;

    private record Notice(String line, Runnable settled) { }

    private final Core core;
    private final HttpClient client;
    private final String address;
    private final List<Notice> open = new ArrayList<>();
    private boolean busy;

    /** Notices to the address. */
    public Notices(Core core, Transport transport, String address, long connectMicros, long keepAliveMicros) {
        this.core = core;
        this.client = new HttpClient(core, transport, "notices", connectMicros, keepAliveMicros);
        this.address = address;
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
            core.post(this::send); // with what else ends in this turn
        }
    }

    private void send() {
        if (open.isEmpty()) {
            busy = false;
            return;
        }
        List<Notice> batch = List.copyOf(open.subList(0, Math.min(MOST, open.size())));
        StringBuilder body = new StringBuilder();
        batch.forEach(n -> body.append(n.line()));
        HttpClient.Exchange[] exchange = new HttpClient.Exchange[1];
        Deadlines.Key late = core.deadlines().at(core.now() + ANSWER_BY, () -> {
            exchange[0].close();
            later();
        });
        exchange[0] = client.send(address, "POST", "/status", Map.of("Content-Type", "application/json"),
                body.toString().getBytes(StandardCharsets.UTF_8), new HttpClient.Listener() {
            @Override
            public void answered(int status, Map<String, String> headers, byte[] answer) {
                core.deadlines().cancel(late);
                if (status != 204) {
                    System.err.println("lilaclever: notices answered with " + status);
                    later();
                    return;
                }
                open.subList(0, batch.size()).clear();
                batch.forEach(n -> {
                    core.counters().add(Counters.Name.NOTICES);
                    n.settled().run();
                });
                send();
            }

            @Override
            public void broke(boolean written) {
                core.deadlines().cancel(late);
                later();
            }
        });
    }

    private void later() {
        core.deadlines().at(core.now() + PAUSE, this::send);
    }
}
