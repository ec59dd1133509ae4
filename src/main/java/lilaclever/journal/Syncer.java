package lilaclever.journal;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executor;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import lilaclever.log.Logs;

/**
 * Syncs records to the disk on its own thread, all pending ones together. The tasks that waited for a sync then run on
 * the event loop, as does everything but the sync itself.
 */
final class Syncer {
    private final Durability durability;
    private final Disk disk;
    private final Listener listener;
    private ExecutorService thread;
    private Executor loop = Runnable::run;
    private List<Runnable> waitingTasks = new ArrayList<>();
    private boolean running;
    /** True from a failed sync until the next one that covers everything written. */
    private boolean lastFailed;
    /**
     * True after two failed syncs in a row, until a probe sync succeeds. A probe shows that the disk works again, but
     * makes no earlier record durable.
     */
    private boolean probing;

    private boolean unsyncedWrites;
    private long started, lastSuccessful;
    private long lastStartedMicros;
    private long failureCount;

    /** Receives the progress of syncs, on the event loop. */
    interface Listener {
        /** A sync of everything written so far starts. */
        void syncStarted();

        /** Everything written before the sync started is durable. */
        void syncSucceeded();

        /**
         * A sync failed, and the one before it had not: everything written since the last successful one must be
         * written again, to another segment.
         */
        void syncFailed();

        /** The next sync failed too: nothing is written again until a probe sync succeeds. */
        void syncFailedAgain();

        /** A probe is about to start and needs something to sync. */
        void probeStarting();

        /** The disk syncs again: everything written since the last successful sync must be written again. */
        void probeSucceeded();
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

    boolean isEnabled() {
        return durability.mode() != Durability.Mode.NONE;
    }

    /** True while probe syncs check whether the disk works again. */
    boolean isProbing() {
        return probing;
    }

    /** The number of the last successful sync. */
    long lastSuccessful() {
        return lastSuccessful;
    }

    /** The number of syncs started so far; the next one covers what is written now. */
    long started() {
        return started;
    }

    /** True if a sync that started after the given count has succeeded. */
    boolean hasSucceededAfter(long count) {
        return !isEnabled() || lastSuccessful > count;
    }

    /** True while a sync is in progress. */
    boolean isRunning() {
        return running;
    }

    long failureCount() {
        return failureCount;
    }

    void recordsWritten() {
        unsyncedWrites = true;
    }

    void whenDurable(Runnable task) {
        if (durability.mode() == Durability.Mode.GROUP) {
            waitingTasks.add(task);
        } else {
            task.run();
        }
    }

    /** Starts a sync if one is due and none is in progress. */
    void startIfDue(long nowMicros, SegmentLog log) {
        if (!running
                && (probing
                        ? nowMicros - lastStartedMicros >= SpacePolicy.DISK_RETRY_DELAY_MICROS
                        : isDue(nowMicros))) {
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
        List<Runnable> coveredTasks = new ArrayList<>();
        if (probing) {
            listener.probeStarting();
        } else {
            listener.syncStarted();
            unsyncedWrites = false;
            coveredTasks = waitingTasks;
            waitingTasks = new ArrayList<>();
        }
        List<Runnable> tasks = coveredTasks;
        SegmentLog.SyncBatch batch = log.takeSyncBatch();
        thread.execute(() -> {
            IOException failure = sync(disk, batch);
            loop.execute(() -> finished(number, tasks, failure));
        });
    }

    private void finished(long number, List<Runnable> coveredTasks, IOException failure) {
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
            coveredTasks.forEach(Runnable::run);
            return;
        }
        // The system may have dropped the data it could not write: a second sync of the same file would prove nothing.
        failureCount++;
        coveredTasks.addAll(waitingTasks);
        waitingTasks = coveredTasks;
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

    /** Syncs everything written on the caller's thread, unless syncs are turned off. */
    void syncNow(SegmentLog log) throws IOException {
        if (isEnabled()) {
            IOException failure = sync(disk, log.takeSyncBatch());
            if (failure != null) {
                throw failure;
            }
        }
    }

    /** Syncs the files and closes the full segments; returns the first failure, or null. */
    private static IOException sync(Disk disk, SegmentLog.SyncBatch batch) {
        IOException failure = null;
        try {
            for (Disk.DiskFile file : batch.fullSegments()) {
                file.sync();
            }
            if (batch.active() != null) {
                batch.active().sync();
            }
            if (batch.folderChanged()) {
                disk.syncFolder();
            }
        } catch (IOException e) {
            failure = e;
        }
        for (Disk.DiskFile file : batch.fullSegments()) {
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
