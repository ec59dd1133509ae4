package lilaclever.lab.sockets;

import java.util.PriorityQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import lilaclever.lab.world.Due;
import lilaclever.lab.world.Timeline;
import org.HdrHistogram.Histogram;

/**
 * Real time: what is due, and what other threads post, runs on the thread that calls {@link #runUntil}, one after the
 * other. How late each was is kept, as the run's figures are worth no more than that. Time stands at 0 until
 * {@link #begin}.
 */
final class RealTime implements Timeline {
    private record Posted(long atNanos, Runnable action) {}

    private static final long LONGEST_WAIT = 50_000, HOUR = 3_600_000_000L;

    private final PriorityQueue<Due> events = new PriorityQueue<>();
    private final LinkedBlockingQueue<Posted> posted = new LinkedBlockingQueue<>();
    private final Histogram lateness = new Histogram(HOUR, 3);
    private volatile long zero = Long.MIN_VALUE;
    private volatile long ended = -1;
    private long order, ran;

    @Override
    public long now() {
        return zero == Long.MIN_VALUE ? 0 : ended >= 0 ? ended : (System.nanoTime() - zero) / 1000;
    }

    /** Time stands still from now on: what ends later is not the run's. */
    void end() {
        ended = now();
    }

    /** Time runs from now on. */
    void begin() {
        zero = System.nanoTime();
    }

    @Override
    public void at(long micros, Runnable action) {
        events.add(new Due(micros, order++, action));
    }

    /** Runs the action as soon as it is its turn. Any thread. */
    void post(Runnable action) {
        posted.add(new Posted(System.nanoTime(), action));
    }

    /** Actions that have run. */
    long ran() {
        return ran;
    }

    /** How late what was due has run, microseconds. */
    Histogram lateness() {
        return lateness;
    }

    /** Runs what is due and what is posted until the time, or until it is told to stop. */
    void runUntil(long end, BooleanSupplier stopped) throws InterruptedException {
        while (now() < end && !stopped.getAsBoolean()) {
            Due next = zero == Long.MIN_VALUE ? null : events.peek();
            long wait = next == null ? LONGEST_WAIT : Math.min(LONGEST_WAIT, next.at() - now());
            Posted task = wait > 0 ? posted.poll(wait, TimeUnit.MICROSECONDS) : posted.poll();
            if (task != null) {
                run(task.action(), (System.nanoTime() - task.atNanos()) / 1000);
            }
            next = zero == Long.MIN_VALUE ? null : events.peek();
            if (next != null && next.at() <= now()) {
                events.poll();
                run(next.action(), now() - next.at());
            }
        }
    }

    private void run(Runnable action, long late) {
        if (zero != Long.MIN_VALUE) {
            lateness.recordValue(Math.min(HOUR, Math.max(0, late)));
        }
        ran++;
        action.run();
    }
}
