package lilaclever.lab.virtual;

import java.util.PriorityQueue;
import java.util.function.BooleanSupplier;
import lilaclever.lab.world.ScheduledAction;
import lilaclever.lab.world.Timeline;

/** Virtual time: events in the order of their times, and of their scheduling where these are the same. One thread. */
final class VirtualTimeline implements Timeline {
    private final PriorityQueue<ScheduledAction> scheduled = new PriorityQueue<>();
    private long nowMicros, nextSequence, actionCount;

    @Override
    public long nowMicros() {
        return nowMicros;
    }

    /** Events that have run. */
    long actionCount() {
        return actionCount;
    }

    @Override
    public void at(long micros, Runnable action) {
        scheduled.add(new ScheduledAction(Math.max(nowMicros, micros), nextSequence++, action));
    }

    /** Runs all events up to the time, or until it is told to stop. */
    void runUntil(long untilMicros, BooleanSupplier stopped) {
        while (!scheduled.isEmpty() && scheduled.peek().atMicros() <= untilMicros) {
            if (stopped.getAsBoolean()) {
                return;
            }
            ScheduledAction next = scheduled.poll();
            nowMicros = next.atMicros();
            actionCount++;
            next.action().run();
        }
        nowMicros = Math.max(nowMicros, untilMicros);
    }
}
