package lilaclever.protocol.http;

import java.io.IOException;
import java.net.SocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import lilaclever.DecisionModule;
import lilaclever.identity.Identity;
import lilaclever.routing.Core;
import lilaclever.routing.Counters.Name;
import lilaclever.routing.FinalStatus;
import lilaclever.routing.Front;
import lilaclever.routing.Message;
import lilaclever.routing.Submission;
import lilaclever.transport.Transport;
import org.glassfish.grizzly.Connection;

/** The platform's front: clients hand in over HTTP; later ends go to the platform as notices. */
public final class HttpFront implements Front {
    private static final byte[] EMPTY_BODY = {};
    /** Nobody waits for longer. */
    private static final long MAX_DEADLINE_MICROS = 3_600_000_000L;
    /** Selections at most in which those are accepted who came before the listener closes. */
    private static final int MAX_ACCEPT_ROUNDS = 512;

    private static final long MAX_UNREAD_ALLOWANCE_MICROS = 120_000, UNREAD_ALLOWANCE_DIVISOR = 50;

    private final Core core;
    private volatile MessageClasses classes;
    private final NoticeSender notices;
    private final HttpServerFilter serverFilter;
    /** Who waits to hear that a message is taken on: more than one where it came again meanwhile. */
    private final Map<Message, List<WaitingRequest>> waitingRequests = new HashMap<>();
    /** The header that names the practice, in lower case, where identities are shared with other ports; else null. */
    private final String practiceHeader;

    private Connection<?> listener;

    /** A request that waits, under the id that it came with. */
    private record WaitingRequest(HttpServerFilter.Exchange exchange, String id) {}

    /**
     * Classes by the name that clients use; at most so many connections of clients, none idle above a crowd. Requests
     * with the header for the practice and a key are the same message as those with both on another port; null: none.
     */
    public HttpFront(
            Core core,
            List<String> classNames,
            List<DecisionModule.MessageClass> classes,
            int mostClients,
            int crowd,
            NoticeSender notices,
            String practiceHeader) {
        this.core = core;
        this.practiceHeader = practiceHeader;
        updateClasses(classNames, classes);
        this.serverFilter = new HttpServerFilter(core, mostClients, crowd, this::handle);
        this.notices = notices;
        core.counters().entryGauge("waiting_clients", waitingRequests::size);
        core.counters().entryGauge("clients", serverFilter::connectionCount);
    }

    @Override
    public String name() {
        return "http";
    }

    /** Classes by number, and the names of those that may be handed in. */
    private record MessageClasses(List<String> names, List<DecisionModule.MessageClass> all) {}

    /** Other classes may be handed in from now on. Loop thread, once the module knows them. */
    public void updateClasses(List<String> classNames, List<DecisionModule.MessageClass> all) {
        classes = new MessageClasses(List.copyOf(classNames), List.copyOf(all));
    }

    /** Listens from now on. */
    public SocketAddress listen(Transport transport, SocketAddress address) throws IOException {
        var server = transport.listen(address, serverFilter.chain());
        listener = server;
        return server.getLocalAddress();
    }

    /** Accepts no more, and closes idle connections; the others close after their answers. */
    public void close() {
        serverFilter.close();
        if (listener != null) {
            stopListening(MAX_ACCEPT_ROUNDS);
        }
    }

    /**
     * Closes the listener once nobody waits to be accepted there: those would be reset, and are turned down in words.
     */
    private void stopListening(int most) {
        int before = serverFilter.acceptedCount();
        Transport.runAfterReading(listener, () -> {
            if (most > 0 && serverFilter.acceptedCount() != before) {
                stopListening(most - 1);
            } else {
                listener.closeSilently();
            }
        });
    }

    /** True once it has closed and no client waits for an answer. */
    public boolean isClosed() {
        return (listener == null || !listener.isOpen()) && serverFilter.isClosed();
    }

    // ---- requests: on the selector thread until they are posted -------------------------------------------
    private void handle(HttpServerFilter.Request request) {
        switch (request.method() + ' ' + request.path()) {
            case "POST /api" -> parseAndPost(request);
            case "GET /health/ready", "GET /health/live" -> respond(request.exchange(), 200, Map.of(), "ready\n");
            case "GET /counters" ->
                core.post(() -> respond(
                        request.exchange(), 200, Map.of(), core.counters().toText()));
            default -> respond(request.exchange(), 404, Map.of(), "");
        }
    }

    private static void respond(HttpServerFilter.Exchange exchange, int status, Map<String, String> headers, String body) {
        exchange.respond(status, headers, body.getBytes(StandardCharsets.UTF_8), () -> {});
    }

    /** What can't be a message is turned away here: nonsense that comes fast must not take the loop's time. */
    private void parseAndPost(HttpServerFilter.Request request) {
        Submission submission;
        try {
            submission = parseSubmission(request);
        } catch (IllegalArgumentException e) {
            core.counters().add(Name.BAD_REQUESTS);
            respond(request.exchange(), 400, Map.of(), e.getMessage() + "\n");
            return;
        }
        core.post(() -> submitOrFail(request, submission));
    }

    /** A fault of the program's must not leave the client without an answer. */
    private void submitOrFail(HttpServerFilter.Request request, Submission submission) {
        try {
            submit(request, submission);
        } catch (RuntimeException e) {
            respond(request.exchange(), 500, Map.of(), "");
            throw e; // the loop counts and logs it
        }
    }

    private void submit(HttpServerFilter.Request request, Submission submission) {
        HttpServerFilter.Exchange exchange = request.exchange();
        if (exchange.isClientGone()) {
            return; // the client has stopped waiting and hands it in again
        }
        if (!core.isKnownDestination(submission.destination())) {
            // Discovery is seconds late: it may be new. Held it would wait for nothing, and its room is scarce.
            respond(exchange, 503, Map.of(), "X-Envelope: dest: no such destination\n");
            return;
        }
        Message m = core.submit(this, submission);
        if (m.isAccepted()) {
            // Handed in under the same id before: it makes no second message, whoever asks.
            core.whenDurable(() -> exchange.respond(202, Map.of(), EMPTY_BODY, () -> {}));
        } else if (m.isOpen()) {
            waitingRequests.computeIfAbsent(m, x -> new ArrayList<>(1)).add(new WaitingRequest(exchange, submission.id()));
        } else {
            respondFinal(exchange, m.finalStatus());
        }
    }

    private Submission parseSubmission(HttpServerFilter.Request request) {
        Map<String, String> headers = request.headers();
        String id = requiredHeader(headers, "req-id");
        require(HeaderValues.isIdentifier(id), "Req-Id: not an id");
        MessageClasses known = classes;
        String kind = requiredHeader(headers, "req-kind");
        int number = known.names().indexOf(kind);
        require(number >= 0 && !kind.isEmpty(), "Req-Kind: unknown class");
        Integer destination = null;
        for (String part : requiredHeader(headers, "x-envelope").split("[,; ]+")) {
            if (part.startsWith("dest=")) {
                require(destination == null, "X-Envelope: more than one dest");
                destination = HeaderValues.wholeNumber(part.substring(5));
                require(destination != null, "X-Envelope: dest: not a whole number");
            }
        }
        require(destination != null, "X-Envelope: no dest");
        Long deadline = HeaderValues.shiftedDecimal(requiredHeader(headers, "req-deadline"), 6);
        require(deadline != null && deadline <= MAX_DEADLINE_MICROS, "Req-Deadline: not a time to wait for");
        String key = headers.get("idempotency-key");
        // Among others a message without a key is written with a '-' in its place.
        require(
                key == null
                        ? known.all().get(number).repeat() != DecisionModule.RepeatSafety.KEYED
                        : HeaderValues.isIdentifier(key) && !key.equals("-"),
                "Idempotency-Key: " + (key == null ? "missing" : "not a key"));
        String retry = headers.getOrDefault("req-retry", "");
        return new Submission(
                id,
                identity(headers, key),
                number,
                destination,
                key,
                request.body(),
                !retry.isEmpty(),
                retry.equals("again"),
                budgetMicros(deadline, Core.monotonicMicros() - request.arrivedMicros()));
    }

    private String identity(Map<String, String> headers, String key) {
        String practice = practiceHeader == null ? null : headers.get(practiceHeader);
        if (practice == null || key == null) {
            return null;
        }
        try {
            return new Identity(practice, key).text();
        } catch (IllegalArgumentException e) {
            throw new IllegalArgumentException(practiceHeader + ": " + e.getMessage(), e);
        }
    }

    /**
     * How long the message may still take. It may have lain in the socket for longer than is known: a client waits
     * 400 ms to hear that it is taken on, and just after a start that much goes by, while its end is lost when told
     * 300 ms after its time. So a part of a long time is left for that.
     */
    public static long budgetMicros(long deadline, long sinceRead) {
        return Math.max(0, deadline - Math.min(MAX_UNREAD_ALLOWANCE_MICROS, deadline / UNREAD_ALLOWANCE_DIVISOR) - Math.max(0, sinceRead));
    }

    private static void require(boolean good, String problem) {
        if (!good) {
            throw new IllegalArgumentException(problem);
        }
    }

    private static String requiredHeader(Map<String, String> headers, String name) {
        String value = headers.get(name);
        require(value != null && !value.isEmpty(), name + ": missing");
        return value;
    }

    // ---- answers: on the loop thread ----------------------------------------------------------------------
    @Override
    public void onAccepted(Message message) {
        List<WaitingRequest> all = waitingRequests.remove(message);
        if (all == null) {
            return; // it came on another port, and a client of this one joined it and has left
        }
        // Nobody is left to hear of it: it is handed in again. One is enough, as one message may have come twice,
        // on a connection that was closed as it came and on the next one.
        Map<String, Integer> lost = new HashMap<>();
        all.forEach(w -> lost.merge(w.id(), 1, Integer::sum));
        for (WaitingRequest w : all) {
            w.exchange()
                    .respond(
                            202,
                            Map.of(),
                            EMPTY_BODY,
                            () -> core.post(() -> {
                                if (lost.merge(w.id(), -1, Integer::sum) == 0) {
                                    core.withdrawSubmitter(message, this, w.id());
                                }
                            }));
        }
    }

    @Override
    public void onRejected(Message message, FinalStatus verdict) {
        List<WaitingRequest> all = waitingRequests.remove(message);
        if (all != null) {
            all.forEach(w -> respondFinal(w.exchange(), verdict));
        }
    }

    @Override
    public void onAttachRejected(Message message, String id, FinalStatus verdict) {
        List<WaitingRequest> all = waitingRequests.getOrDefault(message, List.of());
        all.stream().filter(w -> w.id().equals(id)).forEach(w -> respondFinal(w.exchange(), verdict));
        all.removeIf(w -> w.id().equals(id));
    }

    private static void respondFinal(HttpServerFilter.Exchange exchange, FinalStatus verdict) {
        if (verdict.kind() == FinalStatus.Kind.REFUSED) {
            Map<String, String> headers = new LinkedHashMap<>();
            if (verdict.retryAfterMicros() > 0) {
                headers.put("Retry-After", HttpDeliverer.seconds(verdict.retryAfterMicros()));
            }
            respond(exchange, 503, headers, "");
        } else if (verdict.kind() == FinalStatus.Kind.DELIVERED) {
            respond(exchange, 200, Map.of(), ""); // it came before, and nothing more is owed
        } else if (verdict.kind() == FinalStatus.Kind.CLASH) {
            respond(exchange, 409, Map.of(), "Idempotency-Key: another message has it\n");
        } else {
            respond(exchange, 500, Map.of(), "");
        }
    }

    @Override
    public void onFinalStatus(Message message, String id, FinalStatus verdict, Runnable settled) {
        switch (verdict.kind()) {
            case REFUSED -> notices.add(id, "deferred", verdict.retryAfterMicros(), settled);
            case FAILED -> notices.add(id, "undeliverable", 0, settled);
            default -> settled.run();
        }
    }
}
