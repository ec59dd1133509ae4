package lilaclever.routing;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Retry-after periods: until when nothing may be sent to a destination, or to one of its endpoints if these have their
 * own limits. The decision module has its own view of them; this table is used at the point where responses are read
 * and calls are written, since a retry-after may arrive after a call was decided and before the call gets a connection.
 * Any thread.
 */
public final class RetryAfterTable {
    private final Map<Object, Long> expiryMicros = new ConcurrentHashMap<>();

    /** What a retry-after of this endpoint applies to. */
    private static Object keyOf(Call.Endpoint endpoint) {
        return endpoint.limitPerEndpoint() ? endpoint.host() : (Object) endpoint.destination();
    }

    /** Records a retry-after of the endpoint; a shorter period does not cut a longer one short. */
    public void recordRetryAfter(Call.Endpoint endpoint, long untilMicros) {
        expiryMicros.merge(keyOf(endpoint), untilMicros, Math::max);
    }

    /** The rest of the retry-after period that applies to the endpoint; 0 if there is none. */
    public long remainingMicros(Call.Endpoint endpoint, long nowMicros) {
        return Math.max(0, expiryMicros.getOrDefault(keyOf(endpoint), nowMicros) - nowMicros);
    }

    public void removeExpired(long nowMicros) {
        expiryMicros.values().removeIf(untilMicros -> untilMicros <= nowMicros);
    }

    public int size() {
        return expiryMicros.size();
    }
}
