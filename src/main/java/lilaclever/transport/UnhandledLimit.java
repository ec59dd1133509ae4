package lilaclever.transport;

import java.util.concurrent.atomic.AtomicInteger;

/**
 * Limits the events of clients that wait for the event loop, such as accepted connections. The cause of one beyond the
 * limit is to be closed at once, so that clients who connect and leave faster than the loop runs leave no tasks behind.
 * Any thread.
 */
public final class UnhandledLimit {
    private final int maxUnhandled;
    private final AtomicInteger unhandled = new AtomicInteger();

    /** Creates a limit of which nothing is in use. */
    public UnhandledLimit(int maxUnhandled) {
        this.maxUnhandled = maxUnhandled;
    }

    /** Counts an event that is to wait for the loop, if there is room for it. */
    public boolean tryAdd() {
        if (unhandled.incrementAndGet() <= maxUnhandled) {
            return true;
        }
        unhandled.decrementAndGet();
        return false;
    }

    /** The event loop has handled an event. */
    public void handled() {
        unhandled.decrementAndGet();
    }
}
