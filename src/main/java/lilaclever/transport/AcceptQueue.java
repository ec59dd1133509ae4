package lilaclever.transport;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Accepted connections that the event loop has not handled yet. One task of the loop stands for all of them, and those
 * that end before it runs are forgotten, so that connections which come and go leave nothing behind. Any thread.
 *
 * @param <C> what is kept for a connection
 */
public final class AcceptQueue<C> {
    private final Consumer<Runnable> eventLoop;
    private final Consumer<C> handler;
    private final Set<C> waiting = new LinkedHashSet<>();
    private boolean isTaskPosted;

    /** Creates an empty queue whose connections are passed to the handler on the event loop. */
    public AcceptQueue(Consumer<Runnable> eventLoop, Consumer<C> handler) {
        this.eventLoop = eventLoop;
        this.handler = handler;
    }

    /** A connection was accepted. */
    public void add(C connection) {
        synchronized (this) {
            waiting.add(connection);
            if (isTaskPosted) {
                return;
            }
            isTaskPosted = true;
        }
        eventLoop.accept(this::handleAll);
    }

    /** The connection has ended; returns whether the event loop has not handled it, and never will. */
    public synchronized boolean remove(C connection) {
        return waiting.remove(connection);
    }

    private void handleAll() {
        Deque<C> accepted;
        synchronized (this) {
            accepted = new ArrayDeque<>(waiting);
            waiting.clear();
            isTaskPosted = false;
        }
        try {
            while (!accepted.isEmpty()) {
                handler.accept(accepted.remove());
            }
        } finally {
            accepted.forEach(this::add); // a failure with one connection must not affect the others
        }
    }
}
