package lilaclever.lab.virtual;

import java.util.PriorityQueue;
import java.util.function.BooleanSupplier;
import lilaclever.lab.world.Due;
import lilaclever.lab.world.Timeline;

/** Virtual time: events in the order of their times, and of their scheduling where these are the same. One thread. */
final class Scheduler implements Timeline {
    private final PriorityQueue<Due> events = new PriorityQueue<>();
    private long now, order, ran;

    @Override
    public long now() {
        return now;
    }

    /** Events that have run. */
    long ran() {
        return ran;
    }

    @Override
    public void at(long micros, Runnable action) {
        events.add(new Due(Math.max(now, micros), order++, action));
    }

    /** Runs all events up to the time, or until it is told to stop. */
    void runUntil(long end, BooleanSupplier stopped) {
        while (!events.isEmpty() && events.peek().at() <= end) {
            if (stopped.getAsBoolean()) {
                return;
            }
            Due e = events.poll();
            now = e.at();
            ran++;
            e.action().run();
        }
        now = Math.max(now, end);
    }
}
