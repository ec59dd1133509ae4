package lilaclever.routing;

import java.util.ArrayList;
import java.util.List;

/** One call to an endpoint: one message, or several where the endpoint's kind takes several. */
public final class Call {
    /** The endpoint's name in the list and where it is. */
    public final Endpoint endpoint;
    /** What travels in it. */
    public final List<Message> messages = new ArrayList<>();
    /** When it was started, by the loop's clock, microseconds. */
    public final long startedAt;
    /** What the deliverer keeps for it. */
    public Object attachment;

    int open;
    private volatile long expiresAt = Long.MAX_VALUE;
    /** True once the deliverer has it: its attempts are in the journal. */
    boolean started;

    Deadlines.Key deadline;

    /**
     * An endpoint of the list, with the deliverer that reaches it. {@code apart}: limits and told waits are its own.
     */
    public record Endpoint(
            String host, String address, int destination, int zone, int batch, boolean apart, Deliverer deliverer) {}

    Call(Endpoint endpoint, long startedAt) {
        this.endpoint = endpoint;
        this.startedAt = startedAt;
    }

    /** A message goes along; its attempt is over at the given time. */
    void take(Message m, long expiresAt) {
        m.out = this;
        m.attemptExpiresAt = expiresAt;
        messages.add(m);
        open++;
        this.expiresAt = Math.min(this.expiresAt, expiresAt);
    }

    /** A message goes along no more. Loop thread. */
    public void leftOut(Message m) {
        messages.remove(m);
        expiresAt = expiryOf(messages);
    }

    /**
     * When the time of the first of its messages is up, by the loop's clock, microseconds. A call has one time, which
     * its endpoint is told: from then on it is not written, and no answer to it counts. Any thread.
     */
    public long expiresAt() {
        return expiresAt;
    }

    /** What {@link #expiresAt} is for a call of the given messages of this one. */
    public static long expiryOf(List<Message> messages) {
        return messages.stream().mapToLong(m -> m.attemptExpiresAt).min().orElse(Long.MAX_VALUE);
    }

    /** Has the messages whose time is up leave, if others go and the call is not on its way yet. */
    void leaveExpired(long now) {
        List.copyOf(messages).stream().filter(m -> m.attemptExpiresAt <= now).forEach(this::leave);
    }

    /** Has a message leave, if others go and the call is not on its way yet. */
    void leave(Message m) {
        if (m.out == this && started && messages.size() > 1) {
            endpoint.deliverer().leaveOut(this, m);
        }
    }
}
