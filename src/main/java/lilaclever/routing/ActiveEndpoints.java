package lilaclever.routing;

import java.util.Collection;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * The endpoints that calls and probes may be sent to, as the last list said. The decision module goes by its own
 * memory of the list; this table is for the place where a request is written: a call may have been decided before its
 * endpoint began to drain, and get its connection after. Changed on the loop thread, read on any.
 */
public final class ActiveEndpoints {
    private final Map<String, Call.Endpoint> activeByHost = new ConcurrentHashMap<>();

    /**
     * True if the first byte of a request may go to the endpoint now: it is active, at the same address and for the
     * same destination as when the request was decided.
     */
    public boolean mayReceive(Call.Endpoint endpoint) {
        return endpoint.equals(activeByHost.get(endpoint.host()));
    }

    /** The endpoint is active. */
    void activate(Call.Endpoint endpoint) {
        activeByHost.put(endpoint.host(), endpoint);
    }

    /** The endpoint is draining or gone. */
    void deactivate(Call.Endpoint endpoint) {
        activeByHost.remove(endpoint.host());
    }

    /** Exactly these are active. One that stays is active all the time. */
    void replaceAll(Collection<Call.Endpoint> active) {
        Map<String, Call.Endpoint> next = active.stream()
                .collect(Collectors.toMap(Call.Endpoint::host, Function.identity(), (first, last) -> last));
        activeByHost.keySet().retainAll(next.keySet());
        activeByHost.putAll(next);
    }
}
