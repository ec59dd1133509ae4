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
    public final long startedAtMicros;
    /** What the deliverer keeps for it. */
    public Object attachment;

    int pendingOutcomes;
    private volatile long writeByMicros = Long.MAX_VALUE;
    private long expiresAtMicros = Long.MAX_VALUE;
    /** True once the deliverer has it: its attempts are in the journal. */
    boolean isStarted;

    Deadlines.Key deadline;

    /**
     * An endpoint of the list, with the deliverer that reaches it. {@code apart}: limits and told waits are its own.
     */
    public record Endpoint(
            String host,
            String address,
            int destination,
            int zone,
            int maxMessagesPerCall,
            boolean hasOwnLimits,
            Deliverer deliverer) {}

    Call(Endpoint endpoint, long startedAtMicros) {
        this.endpoint = endpoint;
        this.startedAtMicros = startedAtMicros;
    }

    /**
     * A message goes along. All times by the loop's clock, microseconds.
     *
     * @param writeBy  from then on it must not go, and needs no answer for its own sake
     * @param deadline when its time is up
     */
    void addMessage(Message message, long writeByMicros, long deadlineMicros) {
        message.currentCall = this;
        message.writeByMicros = writeByMicros;
        message.deadlineMicros = deadlineMicros;
        messages.add(message);
        pendingOutcomes++;
        updateTimes();
    }

    /** A message goes along no more. Loop thread. */
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

    /** When the first of its messages must not go any more: the loop may come late with taking it out. Any thread. */
    public long writeByMicros() {
        return writeByMicros;
    }

    /**
     * When to give it up, by the loop's clock, microseconds: it waits as long as any of its messages may, but has one
     * time, which its endpoint is told, and that is over with the first message whose time is up.
     */
    public long expiresAtMicros() {
        return expiresAtMicros;
    }

    /** What {@link #expiresAtMicros} is for a call of the given messages of this one. */
    public static long expiryMicrosOf(List<Message> messages) {
        long lastWriteByMicros = messages.stream()
                .mapToLong(message -> message.writeByMicros)
                .max()
                .orElse(Long.MAX_VALUE);
        long firstDeadlineMicros = messages.stream()
                .mapToLong(message -> message.deadlineMicros)
                .min()
                .orElse(Long.MAX_VALUE);
        return Math.min(lastWriteByMicros, firstDeadlineMicros);
    }

    /** Has the messages whose time is up leave, if others go and the call is not on its way yet. */
    void requestRemovalOfExpired(long nowMicros) {
        List.copyOf(messages).stream()
                .filter(message -> message.writeByMicros <= nowMicros)
                .forEach(this::requestRemoval);
    }

    /** Has a message leave, if others go and the call is not on its way yet. */
    void requestRemoval(Message message) {
        if (message.currentCall == this && isStarted && messages.size() > 1) {
            endpoint.deliverer().removeMessage(this, message);
        }
    }
}
