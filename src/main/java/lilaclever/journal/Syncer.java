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
    private List<Runnable> waitingTasks = new ArrayList<>();
    private boolean running;
    /** True from a failed forcing to the next that covers what is written. */
    private boolean lastFailed;
    /** From a second failed forcing until one has gone well that proves nothing but that the disk forces again. */
    private boolean probing;

    private boolean unsyncedWrites;
    private long started, lastSuccessful;
    private long lastStartedMicros;
    private long failureCount;

    /** Hears of forcings, on the loop thread. */
    interface Listener {
        /** What is written so far is being forced. */
        void syncStarted();

        /** What was written before the beginning outlasts the machine. */
        void syncSucceeded();

        /** What was written since the last good one must be written again, elsewhere. */
        void syncFailed();

        /** That one failed too: nothing is written again before the disk forces anything. */
        void syncFailedAgain();

        /** A trial is about to begin: there has to be something to force. */
        void probeStarting();

        /** The disk forces again: what was written since the last good one must be written again. */
        void probeSucceeded();
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

    boolean isEnabled() {
        return durability.mode() != Durability.Mode.NONE;
    }

    /** True while the disk is not known to force again. */
    boolean isProbing() {
        return probing;
    }

    /** The number of the last forcing that went well. */
    long lastSuccessful() {
        return lastSuccessful;
    }

    /** Forcings begun so far: what is written now is covered by the next. */
    long started() {
        return started;
    }

    /** True if a forcing that began after the given count has ended well. */
    boolean hasSucceededAfter(long count) {
        return !isEnabled() || lastSuccessful > count;
    }

    /** True while a forcing is under way. */
    boolean isRunning() {
        return running;
    }

    long failureCount() {
        return failureCount;
    }

    void recordsWritten() {
        unsyncedWrites = true;
    }

    void whenDurable(Runnable consequence) {
        if (durability.mode() == Durability.Mode.GROUP) {
            waitingTasks.add(consequence);
        } else {
            consequence.run();
        }
    }

    /** Begins a forcing if one is due and none is under way. */
    void startIfDue(long nowMicros, SegmentLog log) {
        if (!running && (probing ? nowMicros - lastStartedMicros >= SpacePolicy.DISK_RETRY_DELAY_MICROS : isDue(nowMicros))) {
            start(nowMicros, log);
        }
    }

    private boolean isDue(long nowMicros) {
        return switch (durability.mode()) {
            case NONE -> false;
            case GROUP -> unsyncedWrites || !waitingTasks.isEmpty();
            case INTERVAL -> unsyncedWrites && nowMicros - lastStartedMicros >= durability.intervalMicros();
        };
    }

    private void start(long nowMicros, SegmentLog log) {
        if (thread == null) {
            thread = Executors.newSingleThreadExecutor(r -> {
                Thread t = new Thread(r, "journal-sync");
                t.setDaemon(true);
                return t;
            });
        }
        running = true;
        lastStartedMicros = nowMicros;
        long number = ++started;
        List<Runnable> covered = new ArrayList<>();
        if (probing) {
            listener.probeStarting();
        } else {
            listener.syncStarted();
            unsyncedWrites = false;
            covered = waitingTasks;
            waitingTasks = new ArrayList<>();
        }
        List<Runnable> consequences = covered;
        SegmentLog.SyncBatch pending = log.takeSyncBatch();
        thread.execute(() -> {
            IOException failure = sync(disk, pending);
            loop.execute(() -> finished(number, consequences, failure));
        });
    }

    private void finished(long number, List<Runnable> covered, IOException failure) {
        running = false;
        if (failure == null && probing) {
            probing = false;
            listener.probeSucceeded();
            return;
        }
        if (failure == null) {
            lastFailed = false;
            lastSuccessful = number;
            listener.syncSucceeded();
            covered.forEach(Runnable::run);
            return;
        }
        // The system may have dropped what it could not write: a second forcing of the same file would prove nothing.
        failureCount++;
        covered.addAll(waitingTasks);
        waitingTasks = covered;
        unsyncedWrites = true;
        if (lastFailed) {
            probing = true;
            listener.syncFailedAgain();
        } else {
            lastFailed = true;
            Logs.error("journal", "force-failed", "could not be forced to the disk, written again: " + failure);
            listener.syncFailed();
        }
    }

    /** Forces what is written, now and on the caller's thread, where anything is to be forced at all. */
    void syncNow(SegmentLog log) throws IOException {
        if (isEnabled()) {
            IOException failure = sync(disk, log.takeSyncBatch());
            if (failure != null) {
                throw failure;
            }
        }
    }

    /** Forces the files, closes those that are full; gives what failed first, or null. */
    private static IOException sync(Disk disk, SegmentLog.SyncBatch pending) {
        IOException failure = null;
        try {
            for (Disk.DiskFile file : pending.fullSegments()) {
                file.sync();
            }
            if (pending.active() != null) {
                pending.active().sync();
            }
            if (pending.folderChanged()) {
                disk.syncFolder();
            }
        } catch (IOException e) {
            failure = e;
        }
        for (Disk.DiskFile file : pending.fullSegments()) {
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
