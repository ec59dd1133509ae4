package lilaclever.routing;

import java.util.TreeMap;

/** Timers of the event loop, which runs the due ones each turn. Used on the event loop only. */
public final class Deadlines {
    /** Identifies a scheduled action, for cancelling it; {@code order} keeps the order of equal times. */
    public record Key(long atMicros, long order) implements Comparable<Key> {
        @Override
        public int compareTo(Key other) {
            int byTime = Long.compare(atMicros, other.atMicros);
            return byTime != 0 ? byTime : Long.compare(order, other.order);
        }
    }

    private final TreeMap<Key, Runnable> entries = new TreeMap<>();
    private long nextOrder;

    /** Schedules the action for the first turn at or after the given time. */
    public Key schedule(long atMicros, Runnable action) {
        Key key = new Key(atMicros, nextOrder++);
        entries.put(key, action);
        return key;
    }

    /** Cancels an action; no effect for null or if it has run already. */
    public void cancel(Key key) {
        if (key != null) {
            entries.remove(key);
        }
    }

    int size() {
        return entries.size();
    }

    /** The earliest scheduled time, or the given time if that is sooner. */
    long earliestOr(long latestMicros) {
        return entries.isEmpty()
                ? latestMicros
                : Math.min(latestMicros, entries.firstKey().atMicros());
    }

    /** Runs the due actions in order; those that they schedule meanwhile wait for the next call, even if due. */
    void runDue(long nowMicros) {
        long firstNewOrder = nextOrder;
        while (!entries.isEmpty()
                && entries.firstKey().atMicros() <= nowMicros
                && entries.firstKey().order() < firstNewOrder) {
            entries.pollFirstEntry().getValue().run();
        }
    }
}
