package lilaclever.routing;

import java.util.concurrent.BlockingQueue;

/** Time that a test advances; the test also runs the turns of the event loop. */
final class ManualClock implements Clock {
    /** Microseconds. */
    long nowMicros;

    ManualClock(long startMicros) {
        nowMicros = startMicros;
    }

    @Override
    public long monotonicMicros() {
        return nowMicros;
    }

    @Override
    public long wallMicros() {
        return nowMicros;
    }

    @Override
    public Runnable awaitTask(BlockingQueue<Runnable> ready, long untilMicros) {
        throw new IllegalStateException("the test runs the turns");
    }

    @Override
    public void sleep(long micros) {
        throw new IllegalStateException("the test runs the turns");
    }

    @Override
    public void taskPosted() {
        // the next turn runs the task
    }
}
