package lilaclever.routing;

import java.util.TreeMap;

/** All deadlines of the program, in order; the loop sweeps them each turn. Used from the loop thread only. */
public final class Deadlines {
    /** One entry; needed only to take it back. */
    public record Key(long atMicros, long order) implements Comparable<Key> {
        @Override
        public int compareTo(Key other) {
            int byTime = Long.compare(atMicros, other.atMicros);
            return byTime != 0 ? byTime : Long.compare(order, other.order);
        }
    }

    private final TreeMap<Key, Runnable> entries = new TreeMap<>();
    private long nextOrder;

    /** Runs the action in the first turn at or past the time. */
    public Key schedule(long atMicros, Runnable action) {
        Key key = new Key(atMicros, nextOrder++);
        entries.put(key, action);
        return key;
    }

    /** Takes an entry back; null and what has run are passed over. */
    public void cancel(Key key) {
        if (key != null) {
            entries.remove(key);
        }
    }

    /** How many there are. */
    int size() {
        return entries.size();
    }

    /** The earliest time, or the given one if that is sooner. */
    long earliestOr(long latestMicros) {
        return entries.isEmpty()
                ? latestMicros
                : Math.min(latestMicros, entries.firstKey().atMicros());
    }

    /** Runs what is due, in order; what an action adds for the past waits for the next sweep. */
    void runDue(long nowMicros) {
        long firstNewOrder = nextOrder;
        while (!entries.isEmpty()
                && entries.firstKey().atMicros() <= nowMicros
                && entries.firstKey().order() < firstNewOrder) {
            entries.pollFirstEntry().getValue().run();
        }
    }
}
