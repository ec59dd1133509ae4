package lilaclever.program;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/** Ctrl-C (SIGINT) or SIGTERM during long work: it is told to end, and has some time to write what it has. */
final class Interrupt {
    private static final long PATIENCE = 30;

    private final CountDownLatch done = new CountDownLatch(1);
    private volatile boolean come;

    /** From now on the end of the program waits for {@link #done}. */
    void watch() {
        Runtime.getRuntime().addShutdownHook(new Thread(() -> {
            come = true;
            try {
                done.await(PATIENCE, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                // the program ends without it
            }
        }, "interrupt"));
    }

    /** True once the program was told to end. */
    boolean come() {
        return come;
    }

    /** The work is over. */
    void done() {
        done.countDown();
    }
}
