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

    private final long keepMicros;
    private final int most;
    private final Predicate<C> isOpen;
    private final Consumer<C> close;
    private final Map<String, ArrayDeque<Idle<C>>> idle = new HashMap<>();
    private int count;

    /** Keeps idle connections up to the given time and total number, since file descriptors are limited. */
    public ConnectionPool(long keepMicros, int most, Predicate<C> isOpen, Consumer<C> close) {
        this.keepMicros = keepMicros;
        this.most = most;
        this.isOpen = isOpen;
        this.close = close;
    }

    /** A pool of socket connections. */
    public static ConnectionPool<Connection<?>> ofSockets(long keepMicros, int most) {
        return new ConnectionPool<>(keepMicros, most, Connection::isOpen, Connection::closeSilently);
    }

    /** Takes an idle connection to the endpoint out of the pool; null if there is none. */
    public C acquire(String endpoint, long nowMicros) {
        ArrayDeque<Idle<C>> all = idle.get(endpoint);
        while (all != null && !all.isEmpty()) {
            Idle<C> last = all.pollLast();
            count--;
            if (isOpen.test(last.connection()) && nowMicros - last.sinceMicros() < keepMicros) {
                return last.connection();
            }
            close.accept(last.connection());
        }
        return null;
    }

    /** Returns a connection to the pool after its call. */
    public void release(String endpoint, C connection, long nowMicros) {
        idle.computeIfAbsent(endpoint, e -> new ArrayDeque<>()).addLast(new Idle<>(connection, nowMicros));
        if (++count > most) {
            dropOldest();
        }
    }

    private void dropOldest() {
        ArrayDeque<Idle<C>> oldest = null;
        for (ArrayDeque<Idle<C>> all : idle.values()) {
            if (!all.isEmpty()
                    && (oldest == null
                            || all.peekFirst().sinceMicros()
                                    < oldest.peekFirst().sinceMicros())) {
                oldest = all;
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
        ArrayDeque<Idle<C>> all = idle.remove(endpoint);
        if (all != null) {
            count -= all.size();
            all.forEach(x -> close.accept(x.connection()));
        }
    }

    /** Closes connections that have been idle for too long, and removes those closed by the peer. */
    public void closeExpired(long nowMicros) {
        for (Iterator<ArrayDeque<Idle<C>>> i = idle.values().iterator(); i.hasNext(); ) {
            ArrayDeque<Idle<C>> all = i.next();
            all.removeIf(x -> {
                boolean old = nowMicros - x.sinceMicros() >= keepMicros;
                if (old) {
                    close.accept(x.connection());
                }
                boolean out = old || !isOpen.test(x.connection());
                count -= out ? 1 : 0;
                return out;
            });
            if (all.isEmpty()) {
                i.remove();
            }
        }
    }
}
