package lilaclever.journal;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executor;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import lilaclever.log.Logs;

/**
 * Syncs records to the disk on its own thread, all pending ones together, and then runs the tasks on the event loop
 * that waited for it. Everything but the sync itself runs on the loop thread.
 */
final class Syncer {
    private final Durability durability;
    private final Disk disk;
    private final Listener listener;
    private ExecutorService thread;
    private Executor loop = Runnable::run;
    private List<Runnable> waiting = new ArrayList<>();
    private boolean running;
    /** True from a failed sync until the next one that covers everything written. */
    private boolean failed;
    /**
     * True after two failed syncs in a row, until a probe sync succeeds. A probe shows that the disk works again, but
     * makes no earlier record durable.
     */
    private boolean trying;

    private boolean written;
    private long begun, done;
    private long lastBegun;
    private long failures;

    /** Receives the progress of syncs, on the loop thread. */
    interface Listener {
        /** A sync of everything written so far starts. */
        void begun();

        /** Everything written before the sync started is durable. */
        void succeeded();

        /**
         * The first sync failed: everything written since the last successful one must be written again, to another
         * segment.
         */
        void failed();

        /** A further sync failed: nothing is written again until a probe sync succeeds. */
        void failedAgain();

        /** A probe is about to start and needs something to sync. */
        void trying();

        /** The disk syncs again: everything written since the last successful sync must be written again. */
        void worksAgain();
    }

    /** {@code listener} is notified of each sync but the one when the journal is closed. */
    Syncer(Durability durability, Disk disk, Listener listener) {
        this.durability = durability;
        this.disk = disk;
        this.listener = listener;
    }

    void attach(Executor toLoop) {
        loop = toLoop;
    }

    boolean forces() {
        return durability.how() != Durability.How.NONE;
    }

    /** True while probe syncs check whether the disk works again. */
    boolean isTrying() {
        return trying;
    }

    /** The number of the last successful sync. */
    long lastGood() {
        return done;
    }

    /** The number of syncs started so far; the next one covers what is written now. */
    long begun() {
        return begun;
    }

    /** True if a sync that started after the given count has succeeded. */
    boolean coversAfter(long count) {
        return !forces() || done > count;
    }

    /** True while a sync is in progress. */
    boolean isRunning() {
        return running;
    }

    long failures() {
        return failures;
    }

    void wrote() {
        written = true;
    }

    void whenDurable(Runnable consequence) {
        if (durability.how() == Durability.How.GROUP) {
            waiting.add(consequence);
        } else {
            consequence.run();
        }
    }

    /** Starts a sync if one is due and none is in progress. */
    void turn(long nowMicros, SegmentLog log) {
        if (!running && (trying ? nowMicros - lastBegun >= Plan.PAUSE : isDue(nowMicros))) {
            begin(nowMicros, log);
        }
    }

    private boolean isDue(long nowMicros) {
        return switch (durability.how()) {
            case NONE -> false;
            case GROUP -> written || !waiting.isEmpty();
            case INTERVAL -> written && nowMicros - lastBegun >= durability.everyMicros();
        };
    }

    private void begin(long nowMicros, SegmentLog log) {
        if (thread == null) {
            thread = Executors.newSingleThreadExecutor(r -> {
                Thread t = new Thread(r, "journal-sync");
                t.setDaemon(true);
                return t;
            });
        }
        running = true;
        lastBegun = nowMicros;
        long number = ++begun;
        List<Runnable> covered = new ArrayList<>();
        if (trying) {
            listener.trying();
        } else {
            listener.begun();
            written = false;
            covered = waiting;
            waiting = new ArrayList<>();
        }
        List<Runnable> consequences = covered;
        SegmentLog.Pending pending = log.pending();
        thread.execute(() -> {
            IOException failure = force(disk, pending);
            loop.execute(() -> ended(number, consequences, failure));
        });
    }

    private void ended(long number, List<Runnable> covered, IOException failure) {
        running = false;
        if (failure == null && trying) {
            trying = false;
            listener.worksAgain();
            return;
        }
        if (failure == null) {
            failed = false;
            done = number;
            listener.succeeded();
            covered.forEach(Runnable::run);
            return;
        }
        // The system may have dropped the data it could not write: a second sync of the same file would prove nothing.
        failures++;
        covered.addAll(waiting);
        waiting = covered;
        written = true;
        if (failed) {
            trying = true;
            listener.failedAgain();
        } else {
            failed = true;
            Logs.error("journal", "force-failed", "could not be forced to the disk, written again: " + failure);
            listener.failed();
        }
    }

    /** Syncs everything written on the caller's thread, unless syncs are turned off. */
    void forceNow(SegmentLog log) throws IOException {
        if (forces()) {
            IOException failure = force(disk, log.pending());
            if (failure != null) {
                throw failure;
            }
        }
    }

    /** Syncs the files and closes the full segments; returns the first failure, or null. */
    private static IOException force(Disk disk, SegmentLog.Pending pending) {
        IOException failure = null;
        try {
            for (Disk.DiskFile file : pending.full()) {
                file.force();
            }
            if (pending.active() != null) {
                pending.active().force();
            }
            if (pending.names()) {
                disk.forceNames();
            }
        } catch (IOException e) {
            failure = e;
        }
        for (Disk.DiskFile file : pending.full()) {
            try {
                file.close();
            } catch (IOException e) {
                failure = failure == null ? e : failure;
            }
        }
        return failure;
    }

    /** Stops the thread; the caller syncs the rest. */
    void close() {
        if (thread != null) {
            thread.shutdown();
            try {
                thread.awaitTermination(10, java.util.concurrent.TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }
}
