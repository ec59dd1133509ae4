package lilaclever.transport;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.glassfish.grizzly.Connection;

/**
 * Idle connections by endpoint; the most recently used is taken first. Used on the event loop only. A connection is
 * closed before the endpoint would close it: a request that crosses the endpoint's close ends as a connection reset,
 * and then it is not known whether it was processed.
 *
 * @param <C> the connection type: a socket, or a simulated connection in virtual time
 */
public final class ConnectionPool<C> {
    private record Idle<C>(C connection, long sinceMicros) {}

    private final long maxIdleMicros;
    private final int maxIdle;
    private final Predicate<C> isOpen;
    private final Consumer<C> close;
    private final Map<String, ArrayDeque<Idle<C>>> idle = new HashMap<>();
    private int count;

    /** Keeps idle connections up to the given time and total number, since file descriptors are limited. */
    public ConnectionPool(long maxIdleMicros, int maxIdle, Predicate<C> isOpen, Consumer<C> close) {
        this.maxIdleMicros = maxIdleMicros;
        this.maxIdle = maxIdle;
        this.isOpen = isOpen;
        this.close = close;
    }

    /** A pool of socket connections. */
    public static ConnectionPool<Connection<?>> ofSockets(long maxIdleMicros, int maxIdle) {
        return new ConnectionPool<>(maxIdleMicros, maxIdle, Connection::isOpen, Connection::closeSilently);
    }

    /** Takes an idle connection to the endpoint out of the pool; null if there is none. */
    public C acquire(String endpoint, long nowMicros) {
        ArrayDeque<Idle<C>> connections = idle.get(endpoint);
        while (connections != null && !connections.isEmpty()) {
            Idle<C> last = connections.pollLast();
            count--;
            if (isOpen.test(last.connection()) && nowMicros - last.sinceMicros() < maxIdleMicros) {
                return last.connection();
            }
            close.accept(last.connection());
        }
        return null;
    }

    /** Returns a connection to the pool after its call. */
    public void release(String endpoint, C connection, long nowMicros) {
        idle.computeIfAbsent(endpoint, e -> new ArrayDeque<>()).addLast(new Idle<>(connection, nowMicros));
        if (++count > maxIdle) {
            closeOldest();
        }
    }

    private void closeOldest() {
        ArrayDeque<Idle<C>> oldest = null;
        for (ArrayDeque<Idle<C>> connections : idle.values()) {
            if (!connections.isEmpty()
                    && (oldest == null
                            || connections.peekFirst().sinceMicros()
                                    < oldest.peekFirst().sinceMicros())) {
                oldest = connections;
            }
        }
        close.accept(oldest.pollFirst().connection());
        count--;
    }

    /** Number of idle connections. */
    public int size() {
        return count;
    }

    /** Closes the idle connections to the endpoint. */
    public void closeIdle(String endpoint) {
        ArrayDeque<Idle<C>> connections = idle.remove(endpoint);
        if (connections != null) {
            count -= connections.size();
            connections.forEach(item -> close.accept(item.connection()));
        }
    }

    /** Closes connections that have been idle for too long, and removes those closed by the peer. */
    public void closeExpired(long nowMicros) {
        for (Iterator<ArrayDeque<Idle<C>>> i = idle.values().iterator(); i.hasNext(); ) {
            ArrayDeque<Idle<C>> connections = i.next();
            connections.removeIf(item -> {
                boolean isExpired = nowMicros - item.sinceMicros() >= maxIdleMicros;
                if (isExpired) {
                    close.accept(item.connection());
                }
                boolean isRemoved = isExpired || !isOpen.test(item.connection());
                count -= isRemoved ? 1 : 0;
                return isRemoved;
            });
            if (connections.isEmpty()) {
                i.remove();
            }
        }
    }
}
