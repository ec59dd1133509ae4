package lilaclever.transport;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import org.glassfish.grizzly.Connection;

/**
 * Idle connections by endpoint, the last used first. Used from the loop thread only. A connection is dropped before
 * the endpoint would close it: a request that crosses that closing ends as a reset and may have run.
 */
public final class ConnectionPool {
    private record Idle(Connection<?> connection, long sinceMicros) { }

    private final long keepMicros;
    private final Map<String, ArrayDeque<Idle>> idle = new HashMap<>();

    /** Keeps connections for so long. */
    public ConnectionPool(long keepMicros) {
        this.keepMicros = keepMicros;
    }

    /** An idle connection to the endpoint, or null. */
    public Connection<?> take(String endpoint, long nowMicros) {
        ArrayDeque<Idle> all = idle.get(endpoint);
        while (all != null && !all.isEmpty()) {
            Idle last = all.pollLast();
            if (last.connection().isOpen() && nowMicros - last.sinceMicros() < keepMicros) {
                return last.connection();
            }
            last.connection().closeSilently();
        }
        return null;
    }

    /** Keeps a connection whose call is over. */
    public void giveBack(String endpoint, Connection<?> connection, long nowMicros) {
        idle.computeIfAbsent(endpoint, e -> new ArrayDeque<>()).addLast(new Idle(connection, nowMicros));
    }

    /** Closes what is idle to the endpoint. */
    public void closeIdle(String endpoint) {
        ArrayDeque<Idle> all = idle.remove(endpoint);
        if (all != null) {
            all.forEach(x -> x.connection().closeSilently());
        }
    }

    /** Closes what has been idle for too long, and forgets what the other side has closed. */
    public void sweep(long nowMicros) {
        for (Iterator<ArrayDeque<Idle>> i = idle.values().iterator(); i.hasNext();) {
            ArrayDeque<Idle> all = i.next();
            all.removeIf(x -> {
                boolean old = nowMicros - x.sinceMicros() >= keepMicros;
                if (old) {
                    x.connection().closeSilently();
                }
                return old || !x.connection().isOpen();
            });
            if (all.isEmpty()) {
                i.remove();
            }
        }
    }
}
