package lilaclever.lab.virtual;

import java.util.PriorityQueue;

/** Virtual time: events in the order of their times, and of their scheduling where these are the same. One thread. */
final class Scheduler {
    private record Event(long at, long order, Runnable action) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            int byTime = Long.compare(at, other.at);
            return byTime != 0 ? byTime : Long.compare(order, other.order);
        }
    }

    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private long now, order, ran;

    /** Microseconds since the beginning. */
    long now() {
        return now;
    }

    /** Events that have run. */
    long ran() {
        return ran;
    }

    /** Runs the action at the time, or now if that is past. */
    void at(long micros, Runnable action) {
        events.add(new Event(Math.max(now, micros), order++, action));
    }

    /** Runs the action after so long. */
    void after(long micros, Runnable action) {
        at(now + micros, action);
    }

    /** Runs all events up to the time. */
    void runUntil(long end) {
        while (!events.isEmpty() && events.peek().at() <= end) {
            Event e = events.poll();
            now = e.at();
            ran++;
            e.action().run();
        }
        now = Math.max(now, end);
    }
}
