package lilaclever.lab.sockets;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import lilaclever.lab.model.Partner;
import lilaclever.lab.model.Partner.Answer;
import lilaclever.lab.sockets.Wire.Head;
import lilaclever.lab.world.World;

/**
 * A forwarder's connection to a partner's endpoint: reads calls, asks the partner's model, writes what it answers when
 * it is due. One call at a time. A thread of its own reads; the rest runs on the timeline's thread.
 */
final class PartnerConnection {
    /** A second copy may only seem one, as the threads that read overtake each other: so long it is waited for. */
    private static final long OVERTAKEN = 5_000, MOST_OVERTAKEN = 50_000;

    /** A message of a call, under the name that the wire has for it. */
    record Item(String wireId, byte[] body) {
        /**
         * Its name among the hand-ins: an HL7 message has it in its header (MSH-10), as the forwarder gives it another.
         */
        String id() {
            String text = new String(body, 0, Math.min(body.length, MOST_HEADER), StandardCharsets.ISO_8859_1);
            String[] fields = text.startsWith("MSH|") ? text.split("\\|", CONTROL_ID + 2) : new String[0];
            return fields.length > CONTROL_ID ? fields[CONTROL_ID] : wireId;
        }
    }

    private static final int MOST_HEADER = 300, CONTROL_ID = 9;

    private final World world;
    private final RealTime time;
    private final Wire wire;
    private final Partner partner;
    private final String host;
    private final int forwarder;
    /** False: the partner holds as many connections as it takes. */
    private final boolean welcome;

    private final Consumer<PartnerConnection> ended;
    private List<String> out = List.of();
    /** The messages of the call that is out, where the answer must name each. */
    private List<Item> named = List.of();

    private boolean first = true, closed;

    PartnerConnection(
            World world,
            RealTime time,
            Wire wire,
            Partner partner,
            String host,
            int forwarder,
            boolean welcome,
            Consumer<PartnerConnection> ended) {
        this.world = world;
        this.time = time;
        this.wire = wire;
        this.partner = partner;
        this.host = host;
        this.forwarder = forwarder;
        this.welcome = welcome;
        this.ended = ended;
    }

    void start() {
        Threads.start("partner " + host, () -> {
            try {
                for (Head h = wire.read(); h != null; h = wire.read()) {
                    Head read = h;
                    time.post(() -> arrived(read));
                }
            } catch (IOException | NumberFormatException e) {
                // reset, or no HTTP: it ends here
            }
            time.post(this::gone);
        });
    }

    // ---- ends of the connection -------------------------------------------------------------------------
    /** The other side has closed it: a call that is out is given up. */
    private void gone() {
        if (!closed) {
            over(out, "given up", false);
            if (!out.isEmpty()) {
                partner.failureSeen(forwarder, time.now());
            }
            close();
        }
    }

    /** The partner's machine is gone. */
    void cut() {
        if (!closed) {
            over(out, "reset", false);
            partner.failureSeen(forwarder, time.now());
            wire.reset();
            close();
        }
    }

    private void close() {
        if (closed) {
            return;
        }
        closed = true;
        out = List.of();
        wire.close();
        if (welcome) {
            partner.disconnect(host, forwarder);
        }
        ended.accept(this);
    }

    private void write(String status, String body, String... headers) {
        try {
            wire.answer(status, body, headers);
        } catch (IOException e) {
            close();
        }
    }

    // ---- calls ------------------------------------------------------------------------------------------
    private void arrived(Head head) {
        if (closed) {
            return;
        }
        long at = Math.max(0, time.now() - (System.nanoTime() - head.firstByteNanos()) / 1000);
        switch (head.method() + ' ' + head.target()) {
            case "GET /health/live", "GET /stats" -> later(this::probed);
            case "POST /receive" -> receive(List.of(new Item(head.header("Req-Id", ""), head.body())), false, at);
            case "POST /receive-many" -> receive(items(head.body()), true, at);
            default -> write("404 Not Found", "");
        }
    }

    /** After what the network takes, and on a new connection its handshake. */
    private void later(Runnable step) {
        long network = world.network();
        time.after(network + (first ? 2 * network + world.scenario().fleet().handshakeMicros() : 0), step);
        first = false;
    }

    private void receive(List<Item> items, boolean asMany, long at) {
        named = asMany ? items : List.of();
        receive(items.stream().map(Item::id).toList(), at, 0);
    }

    private void receive(List<String> ids, long at, long waited) {
        if (closed) {
            return;
        }
        if (ids.isEmpty() || !ids.stream().allMatch(world::isCurrent)) {
            world.auditor().count("calls_of_no_message");
            write(ids.isEmpty() ? "400 Bad Request" : "410 Gone", "");
            return;
        }
        if (waited < MOST_OVERTAKEN
                && ids.stream().anyMatch(id -> world.auditor().hasAttemptInProgress(World.number(id)))) {
            time.after(
                    OVERTAKEN, () -> receive(ids, at, waited + OVERTAKEN)); // its end may be on its way to this thread
            return;
        }
        out = ids;
        ids.forEach(id -> world.onAttempt(id, forwarder, host, partner.destination(), at));
        later(() -> decide(ids));
    }

    private void decide(List<String> ids) {
        if (closed) {
            return;
        }
        if (!welcome) {
            over(ids, "full", true);
            partner.failureSeen(forwarder, time.now());
            write("503 Service Unavailable", "", "Connection: close");
            close();
            return;
        }
        Answer a = world.call(partner, host, forwarder, ids);
        switch (a.status()) {
            case NO_CONNECTION -> cut();
            case FULL -> time.at(a.atMicros(), () -> answer(ids, () -> full(ids, a.retryAfterMicros())));
            case ERROR ->
                time.at(
                        a.atMicros(),
                        () -> answer(ids, () -> {
                            over(ids, "error", false);
                            partner.failureSeen(forwarder, time.now());
                            write("500 Internal Server Error", "");
                        }));
            case DELIVERED -> time.at(a.atMicros(), () -> delivered(ids, a));
            default -> {} // nothing comes back
        }
    }

    private void answer(List<String> ids, Runnable how) {
        if (!closed && out == ids) {
            how.run();
            out = List.of();
        }
    }

    private void full(List<String> ids, long wait) {
        over(ids, "full", true);
        partner.failureSeen(forwarder, time.now());
        if (wait > 0) {
            world.auditor().retryAfterReceived(forwarder, partner.destination(), time.now(), wait);
            write("429 Too Many Requests", "", "X-Retry-In-Ms: " + (wait + 999) / 1000);
        } else {
            write("503 Service Unavailable", "");
        }
    }

    /** The partner has done the work, whether or not anybody still waits for its answer. */
    private void delivered(List<String> ids, Answer a) {
        if (closed || out != ids || !partner.canStillAnswer(host, a.atMicros())) {
            ids.forEach(id -> world.onProcessed(id, false));
            return;
        }
        ids.forEach(id -> world.onProcessed(id, true));
        out = List.of();
        StringBuilder body = new StringBuilder();
        named.forEach(i -> body.append(i.wireId()).append(" accepted\r\n"));
        time.after(world.network(), () -> {
            if (!closed) {
                write("200 OK", body.toString());
            }
        });
    }

    private void probed() {
        if (closed) {
            return;
        }
        world.auditor().service().addProbe();
        Answer a = partner.call(host, forwarder, new long[] {1000}, time.now());
        String status = switch (a.status()) {
            case DELIVERED -> "200 OK";
            case FULL -> "503 Service Unavailable";
            case ERROR -> "500 Internal Server Error";
            default -> null;
        };
        if (status != null) {
            time.at(a.atMicros(), () -> {
                if (!closed) {
                    if (!status.startsWith("200")) {
                        partner.failureSeen(forwarder, time.now());
                    }
                    write(status, "");
                }
            });
        } else if (a.status() == Partner.Status.NO_CONNECTION) {
            cut();
        }
    }

    private void over(List<String> ids, String how, boolean neverRan) {
        ids.forEach(id -> world.onAttemptOver(id, how, neverRan));
    }

    /** The messages in the body of a call with several; none if it can't be read. */
    static List<Item> items(byte[] body) {
        List<Item> items = new ArrayList<>();
        Set<String> seen = new HashSet<>();
        int at = 0;
        while (at < body.length) {
            int end = at;
            while (end < body.length && body[end] != '\n') {
                end++;
            }
            String[] words = new String(body, at, end - at, StandardCharsets.ISO_8859_1)
                    .strip()
                    .split(" ");
            if (words.length != 3 || !words[2].matches("\\d{1,7}") || !seen.add(words[0])) {
                return List.of();
            }
            int from = end + 1, to = from + Integer.parseInt(words[2]);
            if (to + 2 > body.length) {
                return List.of();
            }
            items.add(new Item(words[0], Arrays.copyOfRange(body, from, to)));
            at = to + 2;
        }
        return items;
    }
}
