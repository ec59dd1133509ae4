package lilaclever.simulation.sockets;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import lilaclever.simulation.model.Partner;
import lilaclever.simulation.model.Partner.Answer;
import lilaclever.simulation.sockets.StandInConnection.HttpMessage;
import lilaclever.simulation.world.World;

/**
 * A forwarder's connection to a partner's endpoint. It reads calls, asks the partner's model for the answer and writes
 * it when it is due, one call at a time. A separate thread reads; everything else runs on the timeline's thread.
 */
final class PartnerConnection {
    /**
     * A message may seem to have two attempts in progress, since the reading threads can overtake each other. A call
     * with such a message is checked again at the first interval, and processed once the earlier attempt has ended or
     * the second interval has passed.
     */
    private static final long ATTEMPT_END_RECHECK_MICROS = 5_000, MAX_ATTEMPT_END_DELAY_MICROS = 50_000;

    /** A message of a call, with the id that the call has for it. */
    record CallItem(String wireId, byte[] body) {
        /** The id of its submission. The forwarder gives an HL7 message another id; the submission's is in MSH-10. */
        String submissionId() {
            String text = new String(body, 0, Math.min(body.length, MAX_HEADER_BYTES), StandardCharsets.ISO_8859_1);
            String[] fields = text.startsWith("MSH|") ? text.split("\\|", CONTROL_ID_FIELD + 2) : new String[0];
            return fields.length > CONTROL_ID_FIELD ? fields[CONTROL_ID_FIELD] : wireId;
        }
    }

    private static final int MAX_HEADER_BYTES = 300, CONTROL_ID_FIELD = 9;

    private final World world;
    private final RealTimeline timeline;
    private final StandInConnection connection;
    private final Partner partner;
    private final String host;
    private final int forwarder;
    /** False if the partner already had as many connections as it accepts when this one was opened. */
    private final boolean hasCapacity;

    private final Consumer<PartnerConnection> onClosed;
    private List<String> inFlightIds = List.of();
    /** The messages of the batch call in flight, whose answer must name each; empty for a call with one message. */
    private List<CallItem> batchItems = List.of();

    private boolean isFirstRequest = true, isClosed;

    PartnerConnection(
            World world,
            RealTimeline timeline,
            StandInConnection connection,
            Partner partner,
            String host,
            int forwarder,
            boolean hasCapacity,
            Consumer<PartnerConnection> onClosed) {
        this.world = world;
        this.timeline = timeline;
        this.connection = connection;
        this.partner = partner;
        this.host = host;
        this.forwarder = forwarder;
        this.hasCapacity = hasCapacity;
        this.onClosed = onClosed;
    }

    void start() {
        SocketThreads.start("partner " + host, () -> {
            try {
                for (HttpMessage request = connection.readHttp(); request != null; request = connection.readHttp()) {
                    HttpMessage received = request;
                    timeline.post(() -> handleRequest(received));
                }
            } catch (IOException | NumberFormatException e) {
                // the connection was reset, or it does not carry HTTP: it is closed
            }
            timeline.post(this::onPeerClosed);
        });
    }

    // Closing

    /** The forwarder has closed the connection: a call in flight is given up. */
    private void onPeerClosed() {
        if (!isClosed) {
            attemptsEnded(inFlightIds, "given up", false);
            if (!inFlightIds.isEmpty()) {
                partner.failureSeen(forwarder, timeline.nowMicros());
            }
            close();
        }
    }

    /** Resets the connection, as the failure of the partner's machine does. */
    void reset() {
        if (!isClosed) {
            attemptsEnded(inFlightIds, "reset", false);
            partner.failureSeen(forwarder, timeline.nowMicros());
            connection.reset();
            close();
        }
    }

    private void close() {
        if (isClosed) {
            return;
        }
        isClosed = true;
        inFlightIds = List.of();
        connection.close();
        if (hasCapacity) {
            partner.disconnect(host, forwarder);
        }
        onClosed.accept(this);
    }

    private void respond(String status, String body, String... headers) {
        try {
            connection.writeResponse(status, body, headers);
        } catch (IOException e) {
            close();
        }
    }

    // Calls

    private void handleRequest(HttpMessage request) {
        if (isClosed) {
            return;
        }
        long firstByteMicros =
                Math.max(0, timeline.nowMicros() - (System.nanoTime() - request.firstByteNanos()) / 1000);
        switch (request.method() + ' ' + request.target()) {
            case "GET /health/live", "GET /stats" -> afterNetworkDelay(this::handleProbe);
            case "POST /receive" ->
                receive(List.of(new CallItem(request.header("Req-Id", ""), request.body())), false, firstByteMicros);
            case "POST /receive-many" -> receive(parseBatch(request.body()), true, firstByteMicros);
            default -> respond("404 Not Found", "");
        }
    }

    /** Runs the step after the network delay, and after the handshake if the connection is new. */
    private void afterNetworkDelay(Runnable step) {
        long delayMicros = world.networkDelayMicros();
        timeline.after(
                delayMicros
                        + (isFirstRequest
                                ? 2 * delayMicros + world.scenario().fleet().handshakeMicros()
                                : 0),
                step);
        isFirstRequest = false;
    }

    private void receive(List<CallItem> items, boolean isBatch, long firstByteMicros) {
        batchItems = isBatch ? items : List.of();
        receive(items.stream().map(CallItem::submissionId).toList(), firstByteMicros, 0);
    }

    private void receive(List<String> ids, long firstByteMicros, long waitedMicros) {
        if (isClosed) {
            return;
        }
        if (ids.isEmpty() || !ids.stream().allMatch(world::isCurrent)) {
            world.auditor().count("calls_of_no_message");
            respond(ids.isEmpty() ? "400 Bad Request" : "410 Gone", "");
            return;
        }
        if (waitedMicros < MAX_ATTEMPT_END_DELAY_MICROS
                && ids.stream().anyMatch(id -> world.auditor().hasAttemptInProgress(World.messageNumber(id)))) {
            // The end of the earlier attempt may be queued for this thread.
            timeline.after(
                    ATTEMPT_END_RECHECK_MICROS,
                    () -> receive(ids, firstByteMicros, waitedMicros + ATTEMPT_END_RECHECK_MICROS));
            return;
        }
        inFlightIds = ids;
        ids.forEach(id -> world.onAttemptStarted(id, forwarder, host, partner.destination(), firstByteMicros));
        afterNetworkDelay(() -> process(ids));
    }

    private void process(List<String> ids) {
        if (isClosed) {
            return;
        }
        if (!hasCapacity) {
            attemptsEnded(ids, "full", true);
            partner.failureSeen(forwarder, timeline.nowMicros());
            respond("503 Service Unavailable", "", "Connection: close");
            close();
            return;
        }
        Answer answer = world.callPartner(partner, host, forwarder, ids);
        switch (answer.status()) {
            case NO_CONNECTION -> reset();
            case FULL ->
                timeline.at(
                        answer.atMicros(),
                        () -> answerIfInFlight(ids, () -> answerFull(ids, answer.retryAfterMicros())));
            case ERROR ->
                timeline.at(
                        answer.atMicros(),
                        () -> answerIfInFlight(ids, () -> {
                            attemptsEnded(ids, "error", false);
                            partner.failureSeen(forwarder, timeline.nowMicros());
                            respond("500 Internal Server Error", "");
                        }));
            case DELIVERED -> timeline.at(answer.atMicros(), () -> answerDelivered(ids, answer));
            default -> {} // the partner never answers
        }
    }

    private void answerIfInFlight(List<String> ids, Runnable writeAnswer) {
        if (!isClosed && inFlightIds == ids) {
            writeAnswer.run();
            inFlightIds = List.of();
        }
    }

    private void answerFull(List<String> ids, long retryAfterMicros) {
        attemptsEnded(ids, "full", true);
        partner.failureSeen(forwarder, timeline.nowMicros());
        if (retryAfterMicros > 0) {
            world.auditor()
                    .retryAfterReceived(forwarder, partner.destination(), timeline.nowMicros(), retryAfterMicros);
            respond("429 Too Many Requests", "", "X-Retry-In-Ms: " + (retryAfterMicros + 999) / 1000);
        } else {
            respond("503 Service Unavailable", "");
        }
    }

    /** The partner has done the work, whether or not the forwarder still waits for the answer. */
    private void answerDelivered(List<String> ids, Answer answer) {
        if (isClosed || inFlightIds != ids || !partner.canStillAnswer(host, answer.atMicros())) {
            ids.forEach(id -> world.onProcessed(id, false));
            return;
        }
        ids.forEach(id -> world.onProcessed(id, true));
        inFlightIds = List.of();
        StringBuilder body = new StringBuilder();
        batchItems.forEach(i -> body.append(i.wireId()).append(" accepted\r\n"));
        timeline.after(world.networkDelayMicros(), () -> {
            if (!isClosed) {
                respond("200 OK", body.toString());
            }
        });
    }

    private void handleProbe() {
        if (isClosed) {
            return;
        }
        world.auditor().service().addProbe();
        Answer answer = partner.call(host, forwarder, new long[] {1000}, timeline.nowMicros());
        String status = switch (answer.status()) {
            case DELIVERED -> "200 OK";
            case FULL -> "503 Service Unavailable";
            case ERROR -> "500 Internal Server Error";
            default -> null;
        };
        if (status != null) {
            timeline.at(answer.atMicros(), () -> {
                if (!isClosed) {
                    if (!status.startsWith("200")) {
                        partner.failureSeen(forwarder, timeline.nowMicros());
                    }
                    respond(status, "");
                }
            });
        } else if (answer.status() == Partner.Status.NO_CONNECTION) {
            reset();
        }
    }

    private void attemptsEnded(List<String> ids, String result, boolean neverRan) {
        ids.forEach(id -> world.onAttemptEnded(id, result, neverRan));
    }

    /** The messages in the body of a batch call; none if it is malformed. */
    static List<CallItem> parseBatch(byte[] body) {
        List<CallItem> items = new ArrayList<>();
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
            items.add(new CallItem(words[0], Arrays.copyOfRange(body, from, to)));
            at = to + 2;
        }
        return items;
    }
}
