package lilaclever.protocol.http;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import lilaclever.DecisionModule.AttemptResult;
import lilaclever.routing.Answer;
import lilaclever.routing.Answer.Meaning;
import lilaclever.routing.Call;

/** What the responses of endpoints, whole and in part, say of the messages of their calls. */
final class CallAnswers {
    static final int OK = 200;
    private static final int BAD_REQUEST = 400, GONE = 410, CONTENT_TOO_LARGE = 413, TOO_MANY_REQUESTS = 429;
    private static final int UNAVAILABLE = 503, GATEWAY_TIMEOUT = 504;

    private CallAnswers() {}

    /** What a status says of all messages of a call; {@code otherwise} for one with no meaning of its own. */
    static Answer ofStatus(int status, AttemptResult otherwise) {
        return switch (status) {
            case OK -> Answer.DELIVERED;
            case TOO_MANY_REQUESTS, UNAVAILABLE -> Answer.failure(AttemptResult.FULL);
            case BAD_REQUEST, CONTENT_TOO_LARGE -> Answer.failure(AttemptResult.NOT_SENT);
            case GONE -> Answer.OVER;
            case GATEWAY_TIMEOUT -> Answer.NO_ATTEMPTS_LEFT;
            default -> Answer.failure(otherwise);
        };
    }

    /** Whether no message of a call that is answered with the status may be sent again. */
    static boolean forbidsAttempts(int status) {
        return ofStatus(status, AttemptResult.ERROR).meaning().forbidsAttempts();
    }

    /** Whether messages of a call that is answered with the status may be tried again. */
    static boolean mayBeRetriedAfter(int status) {
        return status != OK && !forbidsAttempts(status);
    }

    /**
     * The answers to the messages of a call, by id; empty if the response lacks one of them, or can't be read.
     *
     * @param isNewConnection whether the call was the first on its connection
     */
    static Map<String, Answer> of(Call call, boolean isBatch, HttpResponse response, boolean isNewConnection) {
        Map<String, Answer> answers = new LinkedHashMap<>();
        if (isBatch && response.status() == OK) {
            resultsFor(call, response)
                    .ifPresent(results ->
                            call.messages.forEach(m -> answers.put(m.id(), of(results.resultOf(m.id())))));
            return answers;
        }
        Answer all = ofWholeResponse(response, isNewConnection);
        call.messages.forEach(m -> answers.put(m.id(), all));
        return answers;
    }

    private static Answer of(BatchResponse.Result result) {
        return switch (result) {
            case ACCEPTED -> Answer.DELIVERED;
            case DEFERRED -> Answer.failure(AttemptResult.FULL);
            case EXPIRED -> Answer.OVER;
            case NO_MORE -> Answer.NO_ATTEMPTS_LEFT;
            default -> Answer.failure(AttemptResult.ERROR);
        };
    }

    private static Answer ofWholeResponse(HttpResponse response, boolean isNewConnection) {
        boolean isRefusal = response.status() == TOO_MANY_REQUESTS || response.status() == UNAVAILABLE;
        if (isRefusal && "1".equals(response.headers().get("x-no-slot"))) {
            return Answer.withoutSlot();
        }
        return isNewConnection && isConnectionLimit(response)
                ? Answer.failure(AttemptResult.NO_ROOM)
                : ofStatus(response.status(), AttemptResult.ERROR);
    }

    /**
     * Whether the endpoint has reached its limit of connections: it closes a connection that was just opened. An
     * endpoint over its call limit keeps the connection. Mistaking the first for the second would slow down all
     * calls there without any benefit.
     */
    private static boolean isConnectionLimit(HttpResponse response) {
        return response.status() == UNAVAILABLE
                && "close"
                        .equalsIgnoreCase(response.headers()
                                .getOrDefault("connection", "")
                                .strip());
    }

    /** The results of all messages of the call; empty if the response lacks one, or can't be read. */
    private static Optional<BatchResponse> resultsFor(Call call, HttpResponse response) {
        return BatchResponse.parse(response.body())
                .filter(results -> call.messages.stream().allMatch(m -> results.resultOf(m.id()) != null));
    }

    /**
     * Whether the response names the messages of the call and is not equal to an earlier one, which may have named the
     * same messages.
     */
    static boolean areTiedByMessageIds(Call call, boolean isBatch, HttpResponse response) {
        return isBatch
                && response.status() == OK
                && !response.hasEarlierEqual()
                && resultsFor(call, response).isPresent();
    }

    /**
     * What the part of a response that has arrived says of a message. A result in a call of several counts if its line
     * is complete; the part allows nothing, so that only what it forbids matters.
     */
    static Meaning meaningInPart(String id, boolean isBatch, int statusSoFar, byte[] bodySoFar) {
        if (!isBatch || statusSoFar != OK) {
            return ofStatus(statusSoFar, AttemptResult.ERROR).meaning();
        }
        BatchResponse.Result result = BatchResponse.completeLines(bodySoFar).get(id);
        return result == null ? Meaning.MAY_HAVE_RUN : of(result).meaning();
    }
}
