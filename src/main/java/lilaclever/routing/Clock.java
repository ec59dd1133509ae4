package lilaclever.routing;

import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;

/**
 * The clock of the event loop, and how the loop waits: real time, or virtual time where a simulation runs many cores
 * on one thread.
 */
public interface Clock {
    /** The monotonic clock, microseconds. */
    long monotonicMicros();

    /** The wall clock at the start of the process plus the monotonic time since, microseconds; it never jumps. */
    long wallMicros();

    /** Takes the next task, waiting until the given time at most; null if there is none. */
    Runnable awaitTask(BlockingQueue<Runnable> tasks, long untilMicros) throws InterruptedException;

    void sleep(long micros) throws InterruptedException;

    /** Called from any thread after a task was queued for the event loop. */
    void taskPosted();

    /** Real time, for an event loop on its own thread. */
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
                // the blocking queue wakes its waiting thread
            }
        };
    }
}
