package lilaclever.routing;

import java.util.ArrayList;
import java.util.List;

/** One request to an endpoint, with one message, or several where the endpoint's kind accepts batches. */
public final class Call {
    public final Endpoint endpoint;
    /** The messages still in the call; one that is removed before the request is written is no longer here. */
    public final List<Message> messages = new ArrayList<>();
    /** Creation time on the event loop's clock, microseconds. */
    public final long startedAtMicros;
    /** State that belongs to the deliverer. */
    public Object attachment;

    int pendingOutcomes;
    private volatile long writeByMicros = Long.MAX_VALUE;
    private long expiresAtMicros = Long.MAX_VALUE;
    /** Whether the call was handed to the deliverer, which happens once its attempts are recorded durably. */
    boolean isStarted;

    Deadlines.Key deadline;

    /**
     * A process that serves as an endpoint of the list, with the deliverer that reaches it. Another process under the
     * same name and address differs in its start time or its destination.
     *
     * @param host the endpoint's unique name in the list
     * @param address where to connect
     * @param startedAtMillis when it was last started by the list's clock, as listed; 0 where that is unknown
     * @param maxBatchSize the most messages that a call may carry
     * @param limitPerEndpoint true if limits and retry-after periods apply to this endpoint, not to its whole
     *     destination
     */
    public record Endpoint(
            String host,
            String address,
            long startedAtMillis,
            int destination,
            int zone,
            int maxBatchSize,
            boolean limitPerEndpoint,
            Deliverer deliverer) {
        /** An endpoint whose start time is unknown. */
        public Endpoint(
                String host,
                String address,
                int destination,
                int zone,
                int maxBatchSize,
                boolean limitPerEndpoint,
                Deliverer deliverer) {
            this(host, address, 0, destination, zone, maxBatchSize, limitPerEndpoint, deliverer);
        }

        /** Whether both are the same process, whatever else the list says of it. */
        public boolean isSameProcess(Endpoint other) {
            return host.equals(other.host)
                    && address.equals(other.address)
                    && startedAtMillis == other.startedAtMillis
                    && destination == other.destination;
        }
    }

    Call(Endpoint endpoint, long startedAtMicros) {
        this.endpoint = endpoint;
        this.startedAtMicros = startedAtMicros;
    }

    /**
     * Adds a message. All times are on the event loop's clock, microseconds.
     *
     * @param writeByMicros when the attempt is dropped: from then on the message must not be sent, and the call isn't
     *     kept open for it
     * @param deadlineMicros the message's deadline
     */
    void addMessage(Message message, long writeByMicros, long deadlineMicros) {
        message.currentCall = this;
        message.writeByMicros = writeByMicros;
        message.deadlineMicros = deadlineMicros;
        messages.add(message);
        pendingOutcomes++;
        updateTimes();
    }

    /** Removes a message that has not been sent. Event loop. */
    public void removeMessage(Message message) {
        messages.remove(message);
        updateTimes();
    }

    private void updateTimes() {
        writeByMicros = messages.stream()
                .mapToLong(message -> message.writeByMicros)
                .min()
                .orElse(Long.MAX_VALUE);
        expiresAtMicros = expiryMicrosOf(messages);
    }

    /**
     * The earliest time from which one of the messages must not be sent. Checked before writing, since the event loop
     * may be late in removing that message. Any thread.
     */
    public long writeByMicros() {
        return writeByMicros;
    }

    /**
     * When to abort the call, on the event loop's clock, microseconds: once the last of its messages has to be
     * dropped, but no later than the earliest deadline. The call has a single timeout, which is sent to the endpoint.
     */
    public long expiresAtMicros() {
        return expiresAtMicros;
    }

    /** The earliest deadline of its messages, on the event loop's clock, microseconds. */
    public long firstDeadlineMicros() {
        return firstDeadlineMicrosOf(messages);
    }

    private static long firstDeadlineMicrosOf(List<Message> messages) {
        return messages.stream()
                .mapToLong(message -> message.deadlineMicros)
                .min()
                .orElse(Long.MAX_VALUE);
    }

    /** The value that {@link #expiresAtMicros} has for a call with these messages only. */
    public static long expiryMicrosOf(List<Message> messages) {
        long lastWriteByMicros = messages.stream()
                .mapToLong(message -> message.writeByMicros)
                .max()
                .orElse(Long.MAX_VALUE);
        return Math.min(lastWriteByMicros, firstDeadlineMicrosOf(messages));
    }

    /** Asks the deliverer to remove expired messages, as long as others remain and the call has not been sent. */
    void requestRemovalOfExpired(long nowMicros) {
        List.copyOf(messages).stream()
                .filter(message -> message.writeByMicros <= nowMicros)
                .forEach(this::requestRemoval);
    }

    /** Asks the deliverer to remove a message, as long as others remain and the call has not been sent. */
    void requestRemoval(Message message) {
        if (message.currentCall == this && isStarted && messages.size() > 1) {
            endpoint.deliverer().removeMessage(this, message);
        }
    }
}
