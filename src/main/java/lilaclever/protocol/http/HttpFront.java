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
import lilaclever.routing.ClassVersion;
import lilaclever.routing.Core;
import lilaclever.routing.Counters.Name;
import lilaclever.routing.FinalStatus;
import lilaclever.routing.Front;
import lilaclever.routing.Message;
import lilaclever.routing.MessageClasses;
import lilaclever.routing.Submission;
import lilaclever.transport.Transport;
import org.glassfish.grizzly.Connection;

/**
 * The platform's front: clients submit messages over HTTP; final statuses that come later are sent to the platform as
 * notices.
 */
public final class HttpFront implements Front {
    private static final byte[] EMPTY_BODY = {};
    /** Longest time that a client may set as the deadline. */
    private static final long MAX_DEADLINE_MICROS = 3_600_000_000L;
    /** Limit on the selections that closing the listener waits for, in which pending connections are still accepted. */
    private static final int MAX_ACCEPT_ROUNDS = 512;

    private static final long MAX_UNREAD_ALLOWANCE_MICROS = 120_000, UNREAD_ALLOWANCE_DIVISOR = 50;

    private final Core core;
    private final MessageClasses classes;
    private final NoticeSender notices;
    private final HttpServerFilter serverFilter;
    /** Requests that wait for their message to be accepted; several where a client resubmitted it meanwhile. */
    private final Map<Message, List<WaitingRequest>> waitingRequests = new HashMap<>();
    /** The header that names the practice, in lower case, where identities are shared with other ports; else null. */
    private final String practiceHeader;

    private Connection<?> listener;

    /** A request that waits for its response, with the id that it was submitted under. */
    private record WaitingRequest(HttpServerFilter.Exchange exchange, String id) {}

    /**
     * Creates a front for these classes. At most {@code maxClients} client connections are open; above {@code
     * keepAliveLimit} none is kept idle. Requests with the practice header and a key are the same message as those with
     * both on another port; a null header disables that.
     */
    public HttpFront(
            Core core,
            MessageClasses classes,
            int maxClients,
            int keepAliveLimit,
            NoticeSender notices,
            String practiceHeader) {
        this.core = core;
        this.practiceHeader = practiceHeader;
        this.classes = classes;
        this.serverFilter = new HttpServerFilter(core, maxClients, keepAliveLimit, this::handle);
        this.notices = notices;
        core.counters().entryGauge("waiting_clients", waitingRequests::size);
        core.counters().entryGauge("clients", serverFilter::connectionCount);
        core.counters().entryGauge("http_unhandled", serverFilter::unhandledCount);
        core.counters().valueGauge("http_unread_answer_bytes", serverFilter::unreadAnswerBytes);
    }

    @Override
    public String name() {
        return "http";
    }

    /** Starts to listen at the address. */
    public SocketAddress listen(Transport transport, SocketAddress address) throws IOException {
        var server = transport.listen(address, serverFilter.chain());
        listener = server;
        return server.getLocalAddress();
    }

    /** Stops accepting connections and closes idle ones; the others close after their responses. */
    public void close() {
        serverFilter.close();
        if (listener != null) {
            stopListening(MAX_ACCEPT_ROUNDS);
        }
    }

    /**
     * Closes the listener once no connection waits to be accepted. Closing it earlier would reset those connections,
     * which are to be rejected with a response.
     */
    private void stopListening(int roundsLeft) {
        int acceptedBefore = serverFilter.acceptedCount();
        Transport.runAfterReading(listener, () -> {
            if (roundsLeft > 0 && serverFilter.acceptedCount() != acceptedBefore) {
                stopListening(roundsLeft - 1);
            } else {
                listener.closeSilently();
            }
        });
    }

    /** Whether the front has closed and no client waits for a response. */
    public boolean isClosed() {
        return (listener == null || !listener.isOpen()) && serverFilter.isClosed();
    }

    // Requests: on the selector thread until they are posted to the event loop
    private void handle(HttpServerFilter.Request request) {
        switch (request.method() + ' ' + request.path()) {
            case "POST /api" -> parseAndPost(request);
            case "GET /health/ready", "GET /health/live" -> respond(request.exchange(), 200, Map.of(), "ready\n");
            case "GET /counters" ->
                serverFilter.post(
                        request,
                        () -> respond(
                                request.exchange(),
                                200,
                                Map.of(),
                                core.counters().toText()));
            default -> respond(request.exchange(), 404, Map.of(), "");
        }
    }

    private static void respond(
            HttpServerFilter.Exchange exchange, int status, Map<String, String> headers, String body) {
        exchange.respond(status, headers, body.getBytes(StandardCharsets.UTF_8), () -> {});
    }

    /** Rejects invalid requests on the selector thread, so that a flood of them takes no time of the event loop. */
    private void parseAndPost(HttpServerFilter.Request request) {
        Submission submission;
        try {
            submission = parseSubmission(request);
        } catch (IllegalArgumentException e) {
            core.counters().add(Name.BAD_REQUESTS);
            respond(request.exchange(), 400, Map.of(), e.getMessage() + "\n");
            return;
        }
        serverFilter.post(request, () -> submitOrFail(request, submission));
    }

    /** An internal error must not leave the client without a response. */
    private void submitOrFail(HttpServerFilter.Request request, Submission submission) {
        try {
            submit(request, submission);
        } catch (RuntimeException e) {
            respond(request.exchange(), 500, Map.of(), "");
            throw e; // the event loop counts and logs it
        }
    }

    private void submit(HttpServerFilter.Request request, Submission submission) {
        HttpServerFilter.Exchange exchange = request.exchange();
        if (exchange.isClientDisconnected()) {
            return; // the client has stopped waiting and will resubmit the message
        }
        if (!core.isKnownDestination(submission.destination())) {
            // Discovery is seconds late, so the destination may be new. Keeping the message pending would gain nothing
            // and use scarce capacity.
            respond(exchange, 503, Map.of(), "X-Envelope: dest: no such destination\n");
            return;
        }
        Message m = core.submit(this, submission);
        if (m.isAccepted()) {
            // Submitted under the same id before: no second message is created, whichever client asks.
            core.whenDurable(() -> exchange.respond(202, Map.of(), EMPTY_BODY, () -> {}));
        } else if (m.isOpen()) {
            waitingRequests
                    .computeIfAbsent(m, x -> new ArrayList<>(1))
                    .add(new WaitingRequest(exchange, submission.id()));
        } else {
            respondFinal(exchange, m.finalStatus());
        }
    }

    private Submission parseSubmission(HttpServerFilter.Request request) {
        Map<String, String> headers = request.headers();
        String id = requiredHeader(headers, "req-id");
        require(HeaderValues.isIdentifier(id), "Req-Id: not an id");
        ClassVersion messageClass = classes.current(requiredHeader(headers, "req-kind"));
        require(messageClass != null, "Req-Kind: unknown class");
        Integer destination = null;
        for (String part : requiredHeader(headers, "x-envelope").split("[,; ]+")) {
            if (part.startsWith("dest=")) {
                require(destination == null, "X-Envelope: more than one dest");
                destination = HeaderValues.wholeNumber(part.substring(5));
                require(destination != null, "X-Envelope: dest: not a whole number");
            }
        }
        require(destination != null, "X-Envelope: no dest");
        Long deadlineMicros = HeaderValues.shiftedDecimal(requiredHeader(headers, "req-deadline"), 6);
        require(
                deadlineMicros != null && deadlineMicros <= MAX_DEADLINE_MICROS,
                "Req-Deadline: not a time to wait for");
        String key = headers.get("idempotency-key");
        // In a call of several messages '-' stands for a missing key.
        require(
                key == null
                        ? messageClass.definition().repeat() != DecisionModule.RepeatSafety.KEYED
                        : HeaderValues.isIdentifier(key) && !key.equals("-"),
                "Idempotency-Key: " + (key == null ? "missing" : "not a key"));
        String retry = headers.getOrDefault("req-retry", "");
        return new Submission(
                id,
                identity(headers, key),
                messageClass,
                destination,
                key,
                request.body(),
                !retry.isEmpty(),
                retry.equals("again"),
                budgetMicros(deadlineMicros, Core.monotonicMicros() - request.arrivedMicros()));
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
     * Returns the time that is left to deliver the message. The request may have been in the socket for an unknown
     * time: a client waits 400 ms for the message to be accepted, and just after a start that much passes, while a
     * final status is lost when it is sent 300 ms after the deadline. So a fraction of a long deadline is reserved for
     * that.
     */
    public static long budgetMicros(long deadlineMicros, long sinceReadMicros) {
        return Math.max(
                0,
                deadlineMicros
                        - Math.min(MAX_UNREAD_ALLOWANCE_MICROS, deadlineMicros / UNREAD_ALLOWANCE_DIVISOR)
                        - Math.max(0, sinceReadMicros));
    }

    private static void require(boolean isValid, String problem) {
        if (!isValid) {
            throw new IllegalArgumentException(problem);
        }
    }

    private static String requiredHeader(Map<String, String> headers, String name) {
        String value = headers.get(name);
        require(value != null && !value.isEmpty(), name + ": missing");
        return value;
    }

    // Responses: on the event loop
    @Override
    public void onAccepted(Message message) {
        List<WaitingRequest> requests = waitingRequests.remove(message);
        if (requests == null) {
            return; // it was submitted on another port; a client of this one attached to it and has left
        }
        // If the responses to all requests of an id are lost, the client submits the message again. One response
        // suffices: a message may be submitted twice, on a connection closed meanwhile and on its successor.
        Map<String, Integer> pendingResponses = new HashMap<>();
        requests.forEach(waitingRequest -> pendingResponses.merge(waitingRequest.id(), 1, Integer::sum));
        for (WaitingRequest waitingRequest : requests) {
            waitingRequest
                    .exchange()
                    .respond(
                            202,
                            Map.of(),
                            EMPTY_BODY,
                            () -> core.post(() -> {
                                if (pendingResponses.merge(waitingRequest.id(), -1, Integer::sum) == 0) {
                                    core.withdrawSubmitter(message, this, waitingRequest.id());
                                }
                            }));
        }
    }

    @Override
    public void onRejected(Message message, FinalStatus finalStatus) {
        List<WaitingRequest> requests = waitingRequests.remove(message);
        if (requests != null) {
            requests.forEach(waitingRequest -> respondFinal(waitingRequest.exchange(), finalStatus));
        }
    }

    @Override
    public void onAttachRejected(Message message, String id, FinalStatus finalStatus) {
        List<WaitingRequest> requests = waitingRequests.getOrDefault(message, List.of());
        requests.stream()
                .filter(waitingRequest -> waitingRequest.id().equals(id))
                .forEach(waitingRequest -> respondFinal(waitingRequest.exchange(), finalStatus));
        requests.removeIf(waitingRequest -> waitingRequest.id().equals(id));
    }

    private static void respondFinal(HttpServerFilter.Exchange exchange, FinalStatus finalStatus) {
        if (finalStatus.kind() == FinalStatus.Kind.REFUSED) {
            Map<String, String> headers = new LinkedHashMap<>();
            if (finalStatus.retryAfterMicros() > 0) {
                headers.put("Retry-After", HttpDeliverer.seconds(finalStatus.retryAfterMicros()));
            }
            respond(exchange, 503, headers, "");
        } else if (finalStatus.kind() == FinalStatus.Kind.DELIVERED) {
            respond(exchange, 200, Map.of(), ""); // it was delivered before, and no notice follows
        } else if (finalStatus.kind() == FinalStatus.Kind.CLASH) {
            respond(exchange, 409, Map.of(), "Idempotency-Key: another message has it\n");
        } else {
            respond(exchange, 500, Map.of(), "");
        }
    }

    /** A notice has only the id. */
    @Override
    public byte[] bodyForNotification(Submission submission) {
        return EMPTY_BODY;
    }

    @Override
    public void onFinalStatus(Message message, String id, FinalStatus finalStatus, Runnable settled) {
        switch (finalStatus.kind()) {
            case REFUSED -> notices.add(id, "deferred", finalStatus.retryAfterMicros(), settled);
            case FAILED -> notices.add(id, "undeliverable", 0, settled);
            default -> settled.run();
        }
    }
}
