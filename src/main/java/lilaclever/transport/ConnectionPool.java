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
    private final int most;
    private final Map<String, ArrayDeque<Idle>> idle = new HashMap<>();
    private int count;

    /** Keeps connections for so long, and so many of them: descriptors are few. */
    public ConnectionPool(long keepMicros, int most) {
        this.keepMicros = keepMicros;
        this.most = most;
    }

    /** An idle connection to the endpoint, or null. */
    public Connection<?> take(String endpoint, long nowMicros) {
        ArrayDeque<Idle> all = idle.get(endpoint);
        while (all != null && !all.isEmpty()) {
            Idle last = all.pollLast();
            count--;
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
        if (++count > most) {
            dropOldest();
        }
    }

    private void dropOldest() {
        ArrayDeque<Idle> oldest = null;
        for (ArrayDeque<Idle> all : idle.values()) {
            if (!all.isEmpty() && (oldest == null || all.peekFirst().sinceMicros() < oldest.peekFirst().sinceMicros())) {
                oldest = all;
            }
        }
        oldest.pollFirst().connection().closeSilently();
        count--;
    }

    /** How many are idle. */
    public int size() {
        return count;
    }

    /** Closes what is idle to the endpoint. */
    public void closeIdle(String endpoint) {
        ArrayDeque<Idle> all = idle.remove(endpoint);
        if (all != null) {
            count -= all.size();
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
                boolean out = old || !x.connection().isOpen();
                count -= out ? 1 : 0;
                return out;
            });
            if (all.isEmpty()) {
                i.remove();
            }
        }
    }
}
