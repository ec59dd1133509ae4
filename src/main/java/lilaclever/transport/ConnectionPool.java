package lilaclever.transport;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.glassfish.grizzly.Connection;

/**
 * Idle connections by endpoint, of which a policy tells those that may be used. Used on the event loop only. A
 * connection is closed before the endpoint would close it: a request that crosses the endpoint's close ends as a
 * connection reset, and then it is not known whether it was processed.
 *
 * @param <C> the connection type: a socket, or a simulated connection in virtual time
 */
public final class ConnectionPool<C> {
    /** Whether an idle connection may be used. */
    public enum Availability {
        RESTING,
        USABLE,
        PREFERRED
    }

    /** Tells whether an idle connection may be used yet. */
    public interface ReusePolicy<C> {
        Availability availability(C connection, long idleMicros);
    }

    private record Idle<C>(C connection, long sinceMicros) {}

    private final ReusePolicy<C> policy;
    private final long maxIdleMicros;
    private final int maxIdle;
    private final Predicate<C> isOpen;
    private final Consumer<C> close;
    private final Map<String, ArrayDeque<Idle<C>>> idle = new HashMap<>();
    private int count;

    /**
     * Keeps idle connections up to the given time and total number, since file descriptors are limited, and gives out
     * those that are available.
     */
    public ConnectionPool(
            ReusePolicy<C> policy, long maxIdleMicros, int maxIdle, Predicate<C> isOpen, Consumer<C> close) {
        this.policy = policy;
        this.maxIdleMicros = maxIdleMicros;
        this.maxIdle = maxIdle;
        this.isOpen = isOpen;
        this.close = close;
    }

    /** A pool of socket connections. */
    public static ConnectionPool<Connection<?>> ofSockets(
            ReusePolicy<Connection<?>> policy, long maxIdleMicros, int maxIdle) {
        return new ConnectionPool<>(policy, maxIdleMicros, maxIdle, Connection::isOpen, Connection::closeSilently);
    }

    /**
     * Takes a connection to the endpoint out of the pool: of the preferred ones that which has been idle for longest,
     * else of those that may be used the most recent one; null if there is none.
     */
    public C acquire(String endpoint, long nowMicros) {
        ArrayDeque<Idle<C>> connections = idle.getOrDefault(endpoint, new ArrayDeque<>());
        C preferred = take(connections.iterator(), Availability.PREFERRED, nowMicros);
        return preferred != null ? preferred : take(connections.descendingIterator(), Availability.USABLE, nowMicros);
    }

    private C take(Iterator<Idle<C>> candidates, Availability atLeast, long nowMicros) {
        while (candidates.hasNext()) {
            Idle<C> candidate = candidates.next();
            long idleMicros = nowMicros - candidate.sinceMicros();
            boolean isGood = isOpen.test(candidate.connection()) && idleMicros < maxIdleMicros;
            if (isGood
                    && policy.availability(candidate.connection(), idleMicros).compareTo(atLeast) < 0) {
                continue;
            }
            candidates.remove();
            count--;
            if (isGood) {
                return candidate.connection();
            }
            close.accept(candidate.connection());
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
