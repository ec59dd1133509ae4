package lilaclever.routing;

import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;

/**
 * The clock of the event loop, and how the loop waits: real time, or virtual time where a simulation runs many cores
 * on one thread.
 */
public interface Clock {
    /** The monotonic clock, microseconds. */
    long micros();

    /** The wall clock at the start of the process plus the monotonic time since, microseconds; it never jumps. */
    long wall();

    /** Takes the next task, waiting until the given time at most; null if there is none. */
    Runnable await(BlockingQueue<Runnable> ready, long untilMicros) throws InterruptedException;

    void pause(long micros) throws InterruptedException;

    /** Called from any thread after a task was queued for the event loop. */
    void posted();

    /** Real time, for an event loop on its own thread. */
    static Clock system() {
        return new Clock() {
            @Override
            public long micros() {
                return Core.micros();
            }

            @Override
            public long wall() {
                return Core.wall();
            }

            @Override
            public Runnable await(BlockingQueue<Runnable> ready, long untilMicros) throws InterruptedException {
                return ready.poll(Math.max(0, untilMicros - Core.micros()), TimeUnit.MICROSECONDS);
            }

            @Override
            public void pause(long micros) throws InterruptedException {
                TimeUnit.MICROSECONDS.sleep(micros);
            }

            @Override
            public void posted() {
                // the blocking queue wakes its waiting thread
            }
        };
    }
}
