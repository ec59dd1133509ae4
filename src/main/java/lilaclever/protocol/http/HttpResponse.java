package lilaclever.protocol.http;

import java.util.Map;

/**
 * A complete response.
 *
 * @param headers by lower-case name
 * @param needsConfirmation whether it may be an earlier response of the connection repeated: it is confirmed once the
 *     connection has stayed silent, and refuted by whatever arrives before
 * @param hasEarlierEqual whether an earlier response of the connection had the same status and body
 */
record HttpResponse(
        int status, Map<String, String> headers, byte[] body, boolean needsConfirmation, boolean hasEarlierEqual) {
    /** The same response, with or without need of confirmation. */
    HttpResponse needingConfirmation(boolean isNeeded) {
        return new HttpResponse(status, headers, body, isNeeded, hasEarlierEqual);
    }
}
