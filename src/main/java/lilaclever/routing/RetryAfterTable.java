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
    private final Map<Object, Long> ends = new ConcurrentHashMap<>();

    /** What a wait told by this endpoint binds. */
    private static Object route(Call.Endpoint endpoint) {
        return endpoint.hasOwnLimits() ? endpoint.host() : (Object) endpoint.destination();
    }

    /** The endpoint has asked for a wait; a shorter one does not end a longer one. */
    public void record(Call.Endpoint endpoint, long untilMicros) {
        ends.merge(route(endpoint), untilMicros, Math::max);
    }

    /** How long a wait that binds the endpoint still lasts; 0 if there is none. */
    public long remainingMicros(Call.Endpoint endpoint, long nowMicros) {
        return Math.max(0, ends.getOrDefault(route(endpoint), nowMicros) - nowMicros);
    }

    /** Forgets what is over. */
    public void removeExpired(long nowMicros) {
        ends.values().removeIf(end -> end <= nowMicros);
    }

    /** How many are kept. */
    public int size() {
        return ends.size();
    }
}
