package lilaclever.journal;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executor;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import lilaclever.log.Logs;

/**
 * Forces records to the disk on a thread of its own, all that came together in one go, and runs on the loop what waited
 * for it. All but the forcing itself is on the loop thread.
 */
final class Syncer {
    private final Durability durability;
    private final Disk disk;
    private final Listener listener;
    private ExecutorService thread;
    private Executor loop = Runnable::run;
    private List<Runnable> waiting = new ArrayList<>();
    private boolean running;
    /** True from a failed forcing to the next that covers what is written. */
    private boolean failed;
    /** From a second failed forcing until one has gone well that proves nothing but that the disk forces again. */
    private boolean trying;

    private boolean written;
    private long begun, done;
    private long lastBegun;
    private long failures;

    /** Hears of forcings, on the loop thread. */
    interface Listener {
        /** What is written so far is being forced. */
        void begun();

        /** What was written before the beginning outlasts the machine. */
        void succeeded();

        /** What was written since the last good one must be written again, elsewhere. */
        void failed();

        /** That one failed too: nothing is written again before the disk forces anything. */
        void failedAgain();

        /** A trial is about to begin: there has to be something to force. */
        void trying();

        /** The disk forces again: what was written since the last good one must be written again. */
        void worksAgain();
    }

    /** {@code listener} hears of each forcing but the last one, at the close. */
    Syncer(Durability durability, Disk disk, Listener listener) {
        this.durability = durability;
        this.disk = disk;
        this.listener = listener;
    }

    void attach(Executor toLoop) {
        loop = toLoop;
    }

    boolean forces() {
        return durability.mode() != Durability.Mode.NONE;
    }

    /** True while the disk is not known to force again. */
    boolean isTrying() {
        return trying;
    }

    /** The number of the last forcing that went well. */
    long lastGood() {
        return done;
    }

    /** Forcings begun so far: what is written now is covered by the next. */
    long begun() {
        return begun;
    }

    /** True if a forcing that began after the given count has ended well. */
    boolean coversAfter(long count) {
        return !forces() || done > count;
    }

    /** True while a forcing is under way. */
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
        if (durability.mode() == Durability.Mode.GROUP) {
            waiting.add(consequence);
        } else {
            consequence.run();
        }
    }

    /** Begins a forcing if one is due and none is under way. */
    void turn(long nowMicros, SegmentLog log) {
        if (!running && (trying ? nowMicros - lastBegun >= Plan.PAUSE : isDue(nowMicros))) {
            begin(nowMicros, log);
        }
    }

    private boolean isDue(long nowMicros) {
        return switch (durability.mode()) {
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
        // The system may have dropped what it could not write: a second forcing of the same file would prove nothing.
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

    /** Forces what is written, now and on the caller's thread, where anything is to be forced at all. */
    void forceNow(SegmentLog log) throws IOException {
        if (forces()) {
            IOException failure = force(disk, log.pending());
            if (failure != null) {
                throw failure;
            }
        }
    }

    /** Forces the files, closes those that are full; gives what failed first, or null. */
    private static IOException force(Disk disk, SegmentLog.Pending pending) {
        IOException failure = null;
        try {
            for (Disk.DiskFile file : pending.full()) {
                file.sync();
            }
            if (pending.active() != null) {
                pending.active().sync();
            }
            if (pending.names()) {
                disk.syncFolder();
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

    /** Ends the thread; what is left is forced by the caller. */
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
