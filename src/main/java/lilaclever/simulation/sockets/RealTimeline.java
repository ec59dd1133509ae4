package lilaclever.simulation.sockets;

import java.util.PriorityQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import lilaclever.simulation.world.ScheduledAction;
import lilaclever.simulation.world.Timeline;
import org.HdrHistogram.Histogram;

/**
 * A timeline in real time. Scheduled actions and those posted by other threads run one after the other on the thread
 * that calls {@link #runUntil}. It records how late each action ran, since late stand-ins distort the figures of a run.
 * The time is 0 until {@link #begin}.
 */
final class RealTimeline implements Timeline {
    private record PostedAction(long postedNanos, Runnable action) {}

    private static final long MAX_WAIT_MICROS = 50_000, HOUR_MICROS = 3_600_000_000L;

    private final PriorityQueue<ScheduledAction> scheduled = new PriorityQueue<>();
    private final LinkedBlockingQueue<PostedAction> posted = new LinkedBlockingQueue<>();
    private final Histogram lateness = new Histogram(HOUR_MICROS, 3);
    private volatile long beginNanos = Long.MIN_VALUE;
    private volatile long endMicros = -1;
    private long nextSequence, actionCount;

    @Override
    public long nowMicros() {
        return beginNanos == Long.MIN_VALUE ? 0 : endMicros >= 0 ? endMicros : (System.nanoTime() - beginNanos) / 1000;
    }

    /** Stops the time, so that the run does not include what ends later. */
    void end() {
        endMicros = nowMicros();
    }

    /** Starts the time. */
    void begin() {
        beginNanos = System.nanoTime();
    }

    @Override
    public void at(long atMicros, Runnable action) {
        scheduled.add(new ScheduledAction(atMicros, nextSequence++, action));
    }

    /** Queues the action for the timeline's thread. May be called on any thread. */
    void post(Runnable action) {
        posted.add(new PostedAction(System.nanoTime(), action));
    }

    /** The number of actions that have run. */
    long actionCount() {
        return actionCount;
    }

    /** How late the actions ran, in microseconds. */
    Histogram lateness() {
        return lateness;
    }

    /** Runs due and posted actions until the time, or until {@code stopped} returns true. */
    void runUntil(long untilMicros, BooleanSupplier stopped) throws InterruptedException {
        while (nowMicros() < untilMicros && !stopped.getAsBoolean()) {
            ScheduledAction next = beginNanos == Long.MIN_VALUE ? null : scheduled.peek();
            long waitMicros = next == null ? MAX_WAIT_MICROS : Math.min(MAX_WAIT_MICROS, next.atMicros() - nowMicros());
            PostedAction task = waitMicros > 0 ? posted.poll(waitMicros, TimeUnit.MICROSECONDS) : posted.poll();
            if (task != null) {
                run(task.action(), (System.nanoTime() - task.postedNanos()) / 1000);
            }
            next = beginNanos == Long.MIN_VALUE ? null : scheduled.peek();
            if (next != null && next.atMicros() <= nowMicros()) {
                scheduled.poll();
                run(next.action(), nowMicros() - next.atMicros());
            }
        }
    }

    private void run(Runnable action, long lateMicros) {
        if (beginNanos != Long.MIN_VALUE) {
            lateness.recordValue(Math.min(HOUR_MICROS, Math.max(0, lateMicros)));
        }
        actionCount++;
        action.run();
    }
}
