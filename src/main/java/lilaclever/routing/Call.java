package lilaclever.routing;

import java.util.ArrayList;
import java.util.List;

/** One call to an endpoint: one message, or several where the endpoint's kind takes several. */
public final class Call {
    /** The endpoint's name in the list and where it is. */
    public final Endpoint endpoint;
    /** What travels in it. */
    public final List<Message> messages = new ArrayList<>();
    /** When to give it up, and when it was started. */
    public final long dropAt, startedAt;
    /** What the deliverer keeps for it. */
    public Object attachment;

    int open;
    /** From then on one of its messages must not go any more, and so the call must not as it is. */
    private volatile long writeBy = Long.MAX_VALUE;
    /** True once the deliverer has it: its attempts are in the journal. */
    boolean started;

    Deadlines.Key deadline;

    /**
     * An endpoint of the list, with the deliverer that reaches it. {@code apart}: limits and told waits are its own.
     */
    public record Endpoint(
            String host, String address, int destination, int zone, int batch, boolean apart, Deliverer deliverer) {}

    Call(Endpoint endpoint, long dropAt, long startedAt) {
        this.endpoint = endpoint;
        this.dropAt = dropAt;
        this.startedAt = startedAt;
    }

    /** A message goes along, if the call is written by then. */
    void take(Message m, long by) {
        m.out = this;
        m.writeBy = by;
        messages.add(m);
        open++;
        writeBy = Math.min(writeBy, by);
    }

    /** A message goes along no more. Loop thread. */
    public void leftOut(Message m) {
        messages.remove(m);
        writeBy = messages.stream().mapToLong(x -> x.writeBy).min().orElse(Long.MAX_VALUE);
    }

    /** When the first of its messages must not go any more: the loop may come late with taking it out. Any thread. */
    public long writeBy() {
        return writeBy;
    }

    /** Has a message that must not go any more leave, if others go and the call is not on its way yet. */
    void leave(Message m) {
        if (m.out == this && started && messages.size() > 1) {
            endpoint.deliverer().leaveOut(this, m);
        }
    }
}
