package lilaclever.protocol.http;

import java.io.IOException;
import java.math.BigDecimal;
import java.net.SocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import lilaclever.routing.Core;
import lilaclever.routing.Front;
import lilaclever.routing.Handin;
import lilaclever.routing.Message;
import lilaclever.routing.Verdict;
import lilaclever.transport.Transport;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.http.HttpServerFilter;
import org.glassfish.grizzly.http.KeepAlive;

/** The platform's front: clients hand in over HTTP; later ends go to the platform as notices. */
public final class HttpFront implements Front {
    private static final byte[] NOTHING = {};
    private static final int HEADERS = 8 * 1024;

    private final Core core;
    private final List<String> classNames;
    private final Notices notices;
    private final IntakeFilter intake = new IntakeFilter(this::request);
    private final Map<Message, IntakeFilter.Exchange> waiting = new HashMap<>();
    private Connection<?> listener;

    /** Classes by the name that clients use. */
    public HttpFront(Core core, List<String> classNames, Notices notices) {
        this.core = core;
        this.classNames = List.copyOf(classNames);
        this.notices = notices;
    }

    @Override
    public String name() {
        return "http";
    }

    /** Listens from now on. All constructors of the server's filter are marked as deprecated in Grizzly 4. */
    @SuppressWarnings("deprecation")
    public SocketAddress listen(Transport transport, SocketAddress address) throws IOException {
        KeepAlive forEver = new KeepAlive();
        forEver.setMaxRequestsCount(-1);
        var server = transport.listen(address, Transport.chain(
                new HttpServerFilter(true, HEADERS, null, forEver, null), intake));
        listener = server;
        return server.getLocalAddress();
    }

    /** Accepts no more, and closes idle connections; the others close after their answers. */
    public void close() {
        if (listener != null) {
            listener.closeSilently();
        }
        intake.closeIdle();
    }

    // ---- requests: on the selector thread until they are posted -------------------------------------------
    private void request(IntakeFilter.Request request) {
        switch (request.method() + ' ' + request.path()) {
            case "POST /api" -> core.post(() -> handIn(request));
            case "GET /health/ready", "GET /health/live" -> answer(request.exchange(), 200, Map.of(), "ready\n");
            case "GET /counters" -> answer(request.exchange(), 200, Map.of(), core.counters().text());
            default -> answer(request.exchange(), 404, Map.of(), "");
        }
    }

    private static void answer(IntakeFilter.Exchange exchange, int status, Map<String, String> headers, String body) {
        exchange.answer(status, headers, body.getBytes(StandardCharsets.UTF_8), () -> { });
    }

    private void handIn(IntakeFilter.Request request) {
        if (request.exchange().gone()) {
            return; // the client has stopped waiting and hands it in again
        }
        Handin handin;
        try {
            handin = handin(request);
        } catch (IllegalArgumentException | ArithmeticException e) {
            answer(request.exchange(), 400, Map.of(), e.getMessage() + "\n");
            return;
        }
        Message m = core.handIn(this, handin);
        if (m.handin != handin) {
            accept(request.exchange(), m); // handed in under the same id before: it is already taken on
        } else if (m.isOpen()) {
            waiting.put(m, request.exchange());
        } else {
            refuse(request.exchange(), m.verdict());
        }
    }

    private Handin handin(IntakeFilter.Request request) {
        Map<String, String> headers = request.headers();
        int messageClass = classNames.indexOf(needed(headers, "req-kind"));
        if (messageClass < 0) {
            throw new IllegalArgumentException("Req-Kind: unknown class " + headers.get("req-kind"));
        }
        Integer destination = null;
        for (String part : needed(headers, "x-envelope").split("[,; ]+")) {
            if (part.startsWith("dest=")) {
                destination = Integer.valueOf(part.substring(5));
            }
        }
        if (destination == null) {
            throw new IllegalArgumentException("X-Envelope: no dest");
        }
        long budget = new BigDecimal(needed(headers, "req-deadline").trim()).movePointRight(6).longValue()
                - Math.max(0, core.now() - request.arrivedMicros());
        String retry = headers.getOrDefault("req-retry", "");
        return new Handin(needed(headers, "req-id"), null, messageClass, destination,
                headers.get("idempotency-key"), request.body(), !retry.isEmpty(), retry.equals("again"),
                Math.max(0, budget));
    }

    private static String needed(Map<String, String> headers, String name) {
        String value = headers.get(name);
        if (value == null || value.isBlank()) {
            throw new IllegalArgumentException(name + ": missing");
        }
        return value;
    }

    // ---- answers: on the loop thread ----------------------------------------------------------------------
    @Override
    public void taken(Message message) {
        IntakeFilter.Exchange exchange = waiting.remove(message);
        if (exchange.gone()) {
            core.clientGone(message);
        } else {
            accept(exchange, message);
        }
    }

    private void accept(IntakeFilter.Exchange exchange, Message message) {
        exchange.answer(202, Map.of(), NOTHING, () -> core.post(() -> core.clientGone(message)));
    }

    @Override
    public void turnedDown(Message message, Verdict verdict) {
        IntakeFilter.Exchange exchange = waiting.remove(message);
        if (exchange != null) {
            refuse(exchange, verdict);
        }
    }

    private static void refuse(IntakeFilter.Exchange exchange, Verdict verdict) {
        if (verdict.kind() == Verdict.Kind.REFUSED) {
            Map<String, String> headers = new LinkedHashMap<>();
            if (verdict.comeBackMicros() > 0) {
                headers.put("Retry-After", HttpDeliverer.seconds(verdict.comeBackMicros()));
            }
            answer(exchange, 503, headers, "");
        } else {
            answer(exchange, 500, Map.of(), "");
        }
    }

    @Override
    public void ended(Message message, Verdict verdict, Runnable settled) {
        switch (verdict.kind()) {
            case REFUSED -> notices.add(message.id(), "deferred", verdict.comeBackMicros(), settled);
            case FAILED -> notices.add(message.id(), "undeliverable", 0, settled);
            default -> settled.run();
        }
    }
}
