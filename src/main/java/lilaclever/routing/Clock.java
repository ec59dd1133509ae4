package lilaclever.routing;

import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;

/**
 * The time that the loop goes by, and how it waits: the machine's, or that of a host that runs many cores in virtual
 * time on one thread.
 */
public interface Clock {
    /** The monotonic clock, microseconds. */
    long monotonicMicros();

    /** The wall clock, microseconds; it goes on from where it was at the beginning and does not jump. */
    long wallMicros();

    /** Takes the next task, and waits for one until the given time at most; null if none came. */
    Runnable awaitTask(BlockingQueue<Runnable> tasks, long untilMicros) throws InterruptedException;

    /** Lets the time pass. */
    void sleep(long micros) throws InterruptedException;

    /** A task was added for the loop. Any thread. */
    void taskPosted();

    /** The machine's time, for a loop on a thread of its own. */
    static Clock system() {
        return new Clock() {
            @Override
            public long monotonicMicros() {
                return Core.monotonicMicros();
            }

            @Override
            public long wallMicros() {
                return Core.wallMicros();
            }

            @Override
            public Runnable awaitTask(BlockingQueue<Runnable> ready, long untilMicros) throws InterruptedException {
                return ready.poll(Math.max(0, untilMicros - Core.monotonicMicros()), TimeUnit.MICROSECONDS);
            }

            @Override
            public void sleep(long micros) throws InterruptedException {
                TimeUnit.MICROSECONDS.sleep(micros);
            }

            @Override
            public void taskPosted() {
                // whoever waits for the queue wakes by it
            }
        };
    }
}
