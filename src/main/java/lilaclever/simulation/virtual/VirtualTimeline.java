package lilaclever.simulation.virtual;

import java.util.PriorityQueue;
import java.util.function.BooleanSupplier;
import lilaclever.simulation.world.ScheduledAction;
import lilaclever.simulation.world.Timeline;

/**
 * A timeline in virtual time. Actions run on one thread in the order of their times, and in the order of scheduling
 * where times are equal.
 */
final class VirtualTimeline implements Timeline {
    private final PriorityQueue<ScheduledAction> scheduled = new PriorityQueue<>();
    private long nowMicros, nextSequence, actionCount;

    @Override
    public long nowMicros() {
        return nowMicros;
    }

    /** The number of actions that have run. */
    long actionCount() {
        return actionCount;
    }

    @Override
    public void at(long atMicros, Runnable action) {
        scheduled.add(new ScheduledAction(Math.max(nowMicros, atMicros), nextSequence++, action));
    }

    /** Runs all actions up to the time, or until {@code stopped} returns true. */
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
