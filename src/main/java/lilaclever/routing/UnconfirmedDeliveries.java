package lilaclever.routing;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Messages whose delivery was answered, but whose answer may belong to an earlier request on the same connection. Each
 * stays in the journal as possibly processed until its answer is confirmed or refuted, or until its final status is
 * due: a notice about a delivered message does no harm, a missing one does. Event loop.
 */
final class UnconfirmedDeliveries {
    /** A final status may be this late after the message's deadline; it is lost 300 ms after it. */
    private static final long LATEST_AFTER_DEADLINE_MICROS = 50_000;

    private record Entry(Message message, Deadlines.Key latest) {}

    private final Deadlines deadlines;
    private final Consumer<Message> whenRefuted;
    private final Map<Call, Entry> entries = new HashMap<>();

    /** {@code whenRefuted} is called with each message whose delivery is refuted or not confirmed in time. */
    UnconfirmedDeliveries(Deadlines deadlines, Consumer<Message> whenRefuted) {
        this.deadlines = deadlines;
        this.whenRefuted = whenRefuted;
    }

    /** Adds the message of a call of one. */
    void add(Call call, Message message) {
        Deadlines.Key latest =
                deadlines.schedule(message.deadlineMicros + LATEST_AFTER_DEADLINE_MICROS, () -> refute(call));
        entries.put(call, new Entry(message, latest));
    }

    /** The answer was the call's own: returns its message, or null if that has been refuted before. */
    Message confirm(Call call) {
        Entry entry = entries.remove(call);
        if (entry == null) {
            return null;
        }
        deadlines.cancel(entry.latest());
        return entry.message();
    }

    /** The answer may be another call's. */
    void refute(Call call) {
        Message message = confirm(call);
        if (message != null) {
            whenRefuted.accept(message);
        }
    }

    int size() {
        return entries.size();
    }
}
