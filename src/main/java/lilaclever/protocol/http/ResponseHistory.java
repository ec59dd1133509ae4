package lilaclever.protocol.http;

import java.util.ArrayDeque;
import java.util.Arrays;

/**
 * The recent responses of one connection. Only its place on the connection ties a response to a request, and a peer may
 * write a response again: one that equals an earlier response may be that response repeated. Selector thread.
 */
final class ResponseHistory {
    /** A response later than this after an earlier one does not repeat it. */
    static final long MAX_REPETITION_DELAY_MICROS = 2_000_000;

    private record Entry(int status, int bodyHash, long receivedMicros) {}

    private final ArrayDeque<Entry> recent = new ArrayDeque<>();

    /** Adds a complete response. */
    void add(int status, byte[] body, long nowMicros) {
        removeOld(nowMicros);
        recent.addLast(new Entry(status, Arrays.hashCode(body), nowMicros));
    }

    /** Whether a response with this status line may be an earlier response repeated, in full or in part. */
    boolean mayRepeat(int status, long nowMicros) {
        removeOld(nowMicros);
        return recent.stream().anyMatch(entry -> entry.status() == status);
    }

    /** Whether a complete response has the status and the body of an earlier one. */
    boolean hasEqual(int status, byte[] body, long nowMicros) {
        removeOld(nowMicros);
        int bodyHash = Arrays.hashCode(body);
        return recent.stream().anyMatch(entry -> entry.status() == status && entry.bodyHash() == bodyHash);
    }

    private void removeOld(long nowMicros) {
        while (!recent.isEmpty() && nowMicros - recent.peekFirst().receivedMicros() > MAX_REPETITION_DELAY_MICROS) {
            recent.removeFirst();
        }
    }
}
