package lilaclever.routing;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Until when nothing may go to a destination, or to one of its endpoints where these are routes apart, since it has
 * asked for that. The module has its own memory of it and decides by that; this one is for the place where answers are
 * read and calls are written: a call may have been decided before a wait was told, and come to its connection after.
 * Any thread.
 */
public final class RetryAfterTable {
    private final Map<Object, Long> expiryMicros = new ConcurrentHashMap<>();

    /** What a wait told by this endpoint binds. */
    private static Object keyOf(Call.Endpoint endpoint) {
        return endpoint.hasOwnLimits() ? endpoint.host() : (Object) endpoint.destination();
    }

    /** The endpoint has asked for a wait; a shorter one does not end a longer one. */
    public void recordRetryAfter(Call.Endpoint endpoint, long untilMicros) {
        expiryMicros.merge(keyOf(endpoint), untilMicros, Math::max);
    }

    /** How long a wait that binds the endpoint still lasts; 0 if there is none. */
    public long remainingMicros(Call.Endpoint endpoint, long nowMicros) {
        return Math.max(0, expiryMicros.getOrDefault(keyOf(endpoint), nowMicros) - nowMicros);
    }

    /** Forgets what is over. */
    public void removeExpired(long nowMicros) {
        expiryMicros.values().removeIf(untilMicros -> untilMicros <= nowMicros);
    }

    /** How many are kept. */
    public int size() {
        return expiryMicros.size();
    }
}
