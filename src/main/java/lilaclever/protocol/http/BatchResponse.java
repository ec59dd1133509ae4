package lilaclever.protocol.http;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * The body of a 200 response to a call of several messages: a line of id and result for each, ended by CRLF. It is
 * trusted only as a whole: if a line is truncated, unknown, repeated or missing, all results are ignored.
 */
final class BatchResponse {
    private static final String LINE_END = "\r\n";

    /** The result of one message as reported by an endpoint. */
    enum Result {
        ACCEPTED,
        FAULT,
        DEFERRED,
        EXPIRED,
        NO_MORE
    }

    private static final Map<String, Result> RESULTS_BY_WORD = Map.of(
            "accepted",
            Result.ACCEPTED,
            "fault",
            Result.FAULT,
            "deferred",
            Result.DEFERRED,
            "expired",
            Result.EXPIRED,
            "no_more",
            Result.NO_MORE);

    private final Map<String, Result> results;

    private BatchResponse(Map<String, Result> results) {
        this.results = results;
    }

    /**
     * Parses the results by message id; empty if the body is not a sequence of complete lines, each for another
     * message.
     */
    static Optional<BatchResponse> parse(byte[] body) {
        String text = new String(body, StandardCharsets.ISO_8859_1);
        Map<String, Result> results = new HashMap<>();
        int at = 0;
        while (at < text.length()) {
            int end = text.indexOf(LINE_END, at);
            int space = text.indexOf(' ', at);
            if (end < 0 || space <= at || space > end) {
                return Optional.empty();
            }
            Result result = RESULTS_BY_WORD.get(text.substring(space + 1, end).strip());
            if (result == null || results.put(text.substring(at, space), result) != null) {
                return Optional.empty();
            }
            at = end + LINE_END.length();
        }
        return Optional.of(new BatchResponse(results));
    }

    /**
     * The results in the complete lines of a body of which the rest may be missing. They are not certain: the body may
     * answer another call.
     */
    static Map<String, Result> completeLines(byte[] body) {
        String text = new String(body, StandardCharsets.ISO_8859_1);
        Map<String, Result> results = new HashMap<>();
        int end = text.indexOf(LINE_END);
        for (int at = 0; end >= 0; end = text.indexOf(LINE_END, at)) {
            String line = text.substring(at, end);
            int space = line.indexOf(' ');
            Result result = space < 0
                    ? null
                    : RESULTS_BY_WORD.get(line.substring(space + 1).strip());
            if (result != null) {
                results.put(line.substring(0, space), result);
            }
            at = end + LINE_END.length();
        }
        return results;
    }

    /** Returns the result of the message, or null if the response has none. */
    Result resultOf(String id) {
        return results.get(id);
    }
}
