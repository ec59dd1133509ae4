package lilaclever.routing;

import java.util.Collection;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * The endpoints that calls and probes may be sent to, according to the latest endpoint list. The decision module has
 * its own view of the list; this table is checked at the point where a request is written, since an endpoint may begin
 * to drain after a call to it was decided and before the call gets a connection. Modified on the event loop, read from
 * any thread.
 */
public final class ActiveEndpoints {
    private final Map<String, Call.Endpoint> activeByHost = new ConcurrentHashMap<>();

    /**
     * Whether the first byte of a request may be sent to the endpoint now: it is active, with the same address and
     * destination as when the request was decided.
     */
    public boolean mayReceive(Call.Endpoint endpoint) {
        return endpoint.equals(activeByHost.get(endpoint.host()));
    }

    /** Marks the endpoint as active. */
    void activate(Call.Endpoint endpoint) {
        activeByHost.put(endpoint.host(), endpoint);
    }

    /** Marks the endpoint as inactive: it is draining or was removed. */
    void deactivate(Call.Endpoint endpoint) {
        activeByHost.remove(endpoint.host());
    }

    /** Makes exactly these endpoints active; one that was active before stays so without interruption. */
    void replaceAll(Collection<Call.Endpoint> active) {
        Map<String, Call.Endpoint> next = active.stream()
                .collect(Collectors.toMap(Call.Endpoint::host, Function.identity(), (first, last) -> last));
        activeByHost.keySet().retainAll(next.keySet());
        activeByHost.putAll(next);
    }
}
