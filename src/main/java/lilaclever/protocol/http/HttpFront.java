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

/**
 * The platform's front: clients submit messages over HTTP; final statuses that come later are sent to the platform as
 * notices.
 */
public final class HttpFront implements Front {
    private static final byte[] NOTHING = {};
    /** Longest time that a client may set as the deadline. */
    private static final long LONGEST = 3_600_000_000L;
    /** Limit on the selections that closing the listener waits for, in which pending connections are still accepted. */
    private static final int MOST_WAITING = 512;

    private static final long UNREAD = 120_000, UNREAD_PART = 50;

    private final Core core;
    private volatile Classes classes;
    private final Notices notices;
    private final IntakeFilter intake;
    /** Requests that wait for their message to be accepted; several where a client resubmitted it meanwhile. */
    private final Map<Message, List<Waiting>> waiting = new HashMap<>();
    /** The header that names the practice, in lower case, where identities are shared with other ports; else null. */
    private final String practiceHeader;

    private Connection<?> listener;

    /** A request that waits for its response, with the id that it was submitted under. */
    private record Waiting(IntakeFilter.Exchange exchange, String id) {}

    /**
     * Creates a front for classes under the names that clients use. At most {@code maxClients} client connections are
     * open; above {@code keepAliveLimit} none is kept idle. Requests with the practice header and a key are the same
     * message as those with both on another port; a null header disables that.
     */
    public HttpFront(
            Core core,
            List<String> classNames,
            List<DecisionModule.MessageClass> classes,
            int mostClients,
            int crowd,
            Notices notices,
            String practiceHeader) {
        this.core = core;
        this.practiceHeader = practiceHeader;
        renew(classNames, classes);
        this.intake = new IntakeFilter(core, mostClients, crowd, this::request);
        this.notices = notices;
        core.counters().gauge("waiting_clients", waiting::size);
        core.counters().gauge("clients", intake::size);
    }

    @Override
    public String name() {
        return "http";
    }

    /** Message classes by number, and the names of those that clients may submit. */
    private record Classes(List<String> names, List<DecisionModule.MessageClass> all) {}

    /** Replaces the classes that clients may submit. Loop thread, once the module knows the new ones. */
    public void renew(List<String> classNames, List<DecisionModule.MessageClass> all) {
        classes = new Classes(List.copyOf(classNames), List.copyOf(all));
    }

    /** Starts to listen at the address. */
    public SocketAddress listen(Transport transport, SocketAddress address) throws IOException {
        var server = transport.listen(address, intake.chain());
        listener = server;
        return server.getLocalAddress();
    }

    /** Stops accepting connections and closes idle ones; the others close after their responses. */
    public void close() {
        intake.close();
        if (listener != null) {
            stopListening(MOST_WAITING);
        }
    }

    /**
     * Closes the listener once no connection waits to be accepted. Closing it earlier would reset those connections,
     * which are to be rejected with a response.
     */
    private void stopListening(int most) {
        int before = intake.accepted();
        Transport.afterReading(listener, () -> {
            if (most > 0 && intake.accepted() != before) {
                stopListening(most - 1);
            } else {
                listener.closeSilently();
            }
        });
    }

    /** Whether the front has closed and no client waits for a response. */
    public boolean isClosed() {
        return (listener == null || !listener.isOpen()) && intake.isClosed();
    }

    // Requests: on the selector thread until they are posted to the loop
    private void request(IntakeFilter.Request request) {
        switch (request.method() + ' ' + request.path()) {
            case "POST /api" -> check(request);
            case "GET /health/ready", "GET /health/live" -> answer(request.exchange(), 200, Map.of(), "ready\n");
            case "GET /counters" ->
                core.post(() -> answer(
                        request.exchange(), 200, Map.of(), core.counters().text()));
            default -> answer(request.exchange(), 404, Map.of(), "");
        }
    }

    private static void answer(IntakeFilter.Exchange exchange, int status, Map<String, String> headers, String body) {
        exchange.answer(status, headers, body.getBytes(StandardCharsets.UTF_8), () -> {});
    }

    /** Rejects invalid requests on the selector thread, so that a flood of them does not take the event loop's time. */
    private void check(IntakeFilter.Request request) {
        Submission submission;
        try {
            submission = submission(request);
        } catch (IllegalArgumentException e) {
            core.counters().add(Name.BAD_REQUESTS);
            answer(request.exchange(), 400, Map.of(), e.getMessage() + "\n");
            return;
        }
        core.post(() -> handInOrFail(request, submission));
    }

    /** An internal error must not leave the client without a response. */
    private void handInOrFail(IntakeFilter.Request request, Submission submission) {
        try {
            handIn(request, submission);
        } catch (RuntimeException e) {
            answer(request.exchange(), 500, Map.of(), "");
            throw e; // the loop counts and logs it
        }
    }

    private void handIn(IntakeFilter.Request request, Submission submission) {
        IntakeFilter.Exchange exchange = request.exchange();
        if (exchange.gone()) {
            return; // the client has stopped waiting and will resubmit the message
        }
        if (!core.knows(submission.destination())) {
            // Discovery is seconds late, so the destination may be new. Keeping the message pending would gain nothing
            // and use scarce capacity.
            answer(exchange, 503, Map.of(), "X-Envelope: dest: no such destination\n");
            return;
        }
        Message m = core.handIn(this, submission);
        if (m.isTakenOn()) {
            // Submitted under the same id before: no second message is created, whichever client asks.
            core.whenDurable(() -> exchange.answer(202, Map.of(), NOTHING, () -> {}));
        } else if (m.isOpen()) {
            waiting.computeIfAbsent(m, x -> new ArrayList<>(1)).add(new Waiting(exchange, submission.id()));
        } else {
            refuse(exchange, m.verdict());
        }
    }

    private Submission submission(IntakeFilter.Request request) {
        Map<String, String> headers = request.headers();
        String id = needed(headers, "req-id");
        check(Figures.isWord(id), "Req-Id: not an id");
        Classes known = classes;
        String kind = needed(headers, "req-kind");
        int number = known.names().indexOf(kind);
        check(number >= 0 && !kind.isEmpty(), "Req-Kind: unknown class");
        Integer destination = null;
        for (String part : needed(headers, "x-envelope").split("[,; ]+")) {
            if (part.startsWith("dest=")) {
                check(destination == null, "X-Envelope: more than one dest");
                destination = Figures.whole(part.substring(5));
                check(destination != null, "X-Envelope: dest: not a whole number");
            }
        }
        check(destination != null, "X-Envelope: no dest");
        Long deadline = Figures.decimal(needed(headers, "req-deadline"), 6);
        check(deadline != null && deadline <= LONGEST, "Req-Deadline: not a time to wait for");
        String key = headers.get("idempotency-key");
        // In a call of several messages '-' stands for a missing key.
        check(
                key == null
                        ? known.all().get(number).repeat() != DecisionModule.Repeat.KEYED
                        : Figures.isWord(key) && !key.equals("-"),
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
                budget(deadline, Core.micros() - request.arrivedMicros()));
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
    public static long budget(long deadline, long sinceRead) {
        return Math.max(0, deadline - Math.min(UNREAD, deadline / UNREAD_PART) - Math.max(0, sinceRead));
    }

    private static void check(boolean good, String problem) {
        if (!good) {
            throw new IllegalArgumentException(problem);
        }
    }

    private static String needed(Map<String, String> headers, String name) {
        String value = headers.get(name);
        check(value != null && !value.isEmpty(), name + ": missing");
        return value;
    }

    // Responses: on the loop thread
    @Override
    public void taken(Message message) {
        List<Waiting> all = waiting.remove(message);
        if (all == null) {
            return; // it was submitted on another port; a client of this one attached to it and has left
        }
        // If the responses to all requests of an id are lost, the client submits the message again. One response
        // suffices: a message may be submitted twice, on a connection closed meanwhile and on its successor.
        Map<String, Integer> lost = new HashMap<>();
        all.forEach(w -> lost.merge(w.id(), 1, Integer::sum));
        for (Waiting w : all) {
            w.exchange()
                    .answer(
                            202,
                            Map.of(),
                            NOTHING,
                            () -> core.post(() -> {
                                if (lost.merge(w.id(), -1, Integer::sum) == 0) {
                                    core.clientGone(message, this, w.id());
                                }
                            }));
        }
    }

    @Override
    public void turnedDown(Message message, FinalStatus verdict) {
        List<Waiting> all = waiting.remove(message);
        if (all != null) {
            all.forEach(w -> refuse(w.exchange(), verdict));
        }
    }

    @Override
    public void notJoined(Message message, String id, FinalStatus verdict) {
        List<Waiting> all = waiting.getOrDefault(message, List.of());
        all.stream().filter(w -> w.id().equals(id)).forEach(w -> refuse(w.exchange(), verdict));
        all.removeIf(w -> w.id().equals(id));
    }

    private static void refuse(IntakeFilter.Exchange exchange, FinalStatus verdict) {
        if (verdict.kind() == FinalStatus.Kind.REFUSED) {
            Map<String, String> headers = new LinkedHashMap<>();
            if (verdict.comeBackMicros() > 0) {
                headers.put("Retry-After", HttpDeliverer.seconds(verdict.comeBackMicros()));
            }
            answer(exchange, 503, headers, "");
        } else if (verdict.kind() == FinalStatus.Kind.DELIVERED) {
            answer(exchange, 200, Map.of(), ""); // it was delivered before, and no further notification is pending
        } else if (verdict.kind() == FinalStatus.Kind.CLASH) {
            answer(exchange, 409, Map.of(), "Idempotency-Key: another message has it\n");
        } else {
            answer(exchange, 500, Map.of(), "");
        }
    }

    @Override
    public void ended(Message message, String id, FinalStatus verdict, Runnable settled) {
        switch (verdict.kind()) {
            case REFUSED -> notices.add(id, "deferred", verdict.comeBackMicros(), settled);
            case FAILED -> notices.add(id, "undeliverable", 0, settled);
            default -> settled.run();
        }
    }
}
