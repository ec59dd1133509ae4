package lilaclever.routing;

import java.util.ArrayList;
import java.util.List;

/** One request to an endpoint, with one message, or several where the endpoint's kind accepts batches. */
public final class Call {
    public final Endpoint endpoint;
    /** The messages still in the call; one that is removed before the request is written is no longer here. */
    public final List<Message> messages = new ArrayList<>();
    /** Creation time on the event loop's clock, microseconds. */
    public final long startedAt;
    /** State that belongs to the deliverer. */
    public Object attachment;

    int open;
    private volatile long writeBy = Long.MAX_VALUE;
    private long expiresAt = Long.MAX_VALUE;
    /** Whether the call was handed to the deliverer, which happens once its attempts are recorded durably. */
    boolean started;

    Deadlines.Key deadline;

    /**
     * An endpoint of the list, with the deliverer that reaches it.
     *
     * @param host the endpoint's unique name in the list
     * @param address where to connect
     * @param batch how many messages a call may carry
     * @param apart true if limits and retry-after periods apply to this endpoint alone, not to its whole destination
     */
    public record Endpoint(
            String host, String address, int destination, int zone, int batch, boolean apart, Deliverer deliverer) {}

    Call(Endpoint endpoint, long startedAt) {
        this.endpoint = endpoint;
        this.startedAt = startedAt;
    }

    /**
     * Adds a message. All times are on the event loop's clock, microseconds.
     *
     * @param writeBy when the attempt is dropped: the message must not be sent from then on, and needs no answer
     * @param deadline the message's deadline
     */
    void take(Message m, long writeBy, long deadline) {
        m.out = this;
        m.writeBy = writeBy;
        m.deadline = deadline;
        messages.add(m);
        open++;
        setTimes();
    }

    /** Removes a message that has not been sent. Event loop. */
    public void leftOut(Message m) {
        messages.remove(m);
        setTimes();
    }

    private void setTimes() {
        writeBy = messages.stream().mapToLong(m -> m.writeBy).min().orElse(Long.MAX_VALUE);
        expiresAt = expiryOf(messages);
    }

    /**
     * The earliest time from which one of the messages must not be sent. Checked before writing, since the event loop
     * may be late in removing that message. Any thread.
     */
    public long writeBy() {
        return writeBy;
    }

    /**
     * When to abort the call, on the event loop's clock, microseconds: once the last of its messages has to be
     * dropped, but no later than the earliest deadline. The call has a single timeout, which is sent to the endpoint.
     */
    public long expiresAt() {
        return expiresAt;
    }

    /** The value that {@link #expiresAt} has for a call with these messages only. */
    public static long expiryOf(List<Message> messages) {
        long longestWait = messages.stream().mapToLong(m -> m.writeBy).max().orElse(Long.MAX_VALUE);
        long firstDeadline = messages.stream().mapToLong(m -> m.deadline).min().orElse(Long.MAX_VALUE);
        return Math.min(longestWait, firstDeadline);
    }

    /** Asks the deliverer to remove expired messages, as long as others remain and the call has not been sent. */
    void leaveExpired(long now) {
        List.copyOf(messages).stream().filter(m -> m.writeBy <= now).forEach(this::leave);
    }

    /** Asks the deliverer to remove a message, as long as others remain and the call has not been sent. */
    void leave(Message m) {
        if (m.out == this && started && messages.size() > 1) {
            endpoint.deliverer().leaveOut(this, m);
        }
    }
}
