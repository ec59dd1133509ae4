package lilaclever.transport;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.glassfish.grizzly.Connection;

/**
 * Idle connections by endpoint, the last used first. Used from the loop thread only. A connection is dropped before
 * the endpoint would close it: a request that crosses that closing ends as a reset and may have run.
 *
 * @param <C> a connection: a socket's, or a rehearsal's in virtual time
 */
public final class ConnectionPool<C> {
    private record Idle<C>(C connection, long sinceMicros) {}

    private final long keepMicros;
    private final int most;
    private final Predicate<C> isOpen;
    private final Consumer<C> close;
    private final Map<String, ArrayDeque<Idle<C>>> idle = new HashMap<>();
    private int count;

    /** Keeps connections for so long, and so many of them: descriptors are few. */
    public ConnectionPool(long keepMicros, int most, Predicate<C> isOpen, Consumer<C> close) {
        this.keepMicros = keepMicros;
        this.most = most;
        this.isOpen = isOpen;
        this.close = close;
    }

    /** The same of real connections. */
    public static ConnectionPool<Connection<?>> ofSockets(long keepMicros, int most) {
        return new ConnectionPool<>(keepMicros, most, Connection::isOpen, Connection::closeSilently);
    }

    /** An idle connection to the endpoint, or null. */
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

    /** Keeps a connection whose call is over. */
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

    /** How many are idle. */
    public int size() {
        return count;
    }

    /** Closes what is idle to the endpoint. */
    public void closeIdle(String endpoint) {
        ArrayDeque<Idle<C>> all = idle.remove(endpoint);
        if (all != null) {
            count -= all.size();
            all.forEach(x -> close.accept(x.connection()));
        }
    }

    /** Closes what has been idle for too long, and forgets what the other side has closed. */
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
