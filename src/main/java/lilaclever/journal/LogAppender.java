package lilaclever.journal;

import java.io.IOException;
import java.util.function.LongSupplier;
import lilaclever.journal.SegmentFormat.RecordWriter;
import lilaclever.log.Logs;

/**
 * Appends records to the log, in another segment if a write fails. While the disk accepts no records, writes are
 * attempted only once per {@link SpacePolicy#DISK_RETRY_DELAY_MICROS}.
 */
final class LogAppender {
    /** Frees segments when there is no space for a record. */
    interface SpaceReclaimer {
        /** Frees space for this number of bytes, if possible. */
        void reclaim(long bytes);
    }

    private interface IoAction {
        void run() throws IOException;
    }

    private final SegmentLog log;
    private final SpacePolicy policy;
    private final JournalState state;
    private final Syncer syncer;
    private final LongSupplier monotonicMicros;

    private boolean failing;
    private long retryAtMicros;
    private long failureCount;

    LogAppender(SegmentLog log, SpacePolicy policy, JournalState state, Syncer syncer, LongSupplier micros) {
        this.log = log;
        this.policy = policy;
        this.state = state;
        this.syncer = syncer;
        this.monotonicMicros = micros;
    }

    /**
     * Appends the records, all or none, and leaves the space reserved for copies; false if no segment can take them.
     */
    boolean append(RecordWriter records, SpaceReclaimer reclaimer) {
        int size = records.size();
        return write(records, () -> {
            if (!log.fitsActive(size)) {
                reclaimer.reclaim(size);
            }
            if (!log.fitsActive(size)) {
                if (!log.canProvide(size, SpacePolicy.SEGMENTS_FOR_COMPACTION)) {
                    throw new SegmentLog.OutOfSpace();
                }
                log.roll(size);
            }
        });
    }

    /** Appends copies of live records, which may use all space; false if no segment can take them. */
    boolean appendCopies(RecordWriter copies) {
        return write(copies, () -> {
            if (!log.fitsActive(copies.size())) {
                log.roll(copies.size());
            }
        });
    }

    private boolean write(RecordWriter records, IoAction ensureFits) {
        if (isBackingOff()) {
            return false;
        }
        IOException lastFailure = null;
        for (int triesLeft = log.fileCount() + 2; triesLeft > 0; triesLeft--) {
            try {
                ensureFits.run();
                log.write(records);
                syncer.recordsWritten();
                writeSucceeded();
                return true;
            } catch (SegmentLog.OutOfSpace e) {
                lastFailure = e;
                break;
            } catch (IOException e) {
                lastFailure = e;
            }
        }
        writeFailed(lastFailure);
        return false;
    }

    private void writeSucceeded() {
        if (failing) {
            failing = false;
            Logs.info("journal", "disk-good", "the disk takes records again");
        }
    }

    /** Notes that the disk failed, and backs off for a while. */
    void writeFailed(IOException e) {
        failureCount++;
        retryAtMicros = monotonicMicros.getAsLong() + SpacePolicy.DISK_RETRY_DELAY_MICROS;
        if (!failing) {
            failing = true;
            Logs.error(
                    "journal",
                    "disk-bad",
                    "the disk takes no records, asked again every " + SpacePolicy.DISK_RETRY_DELAY_MICROS / 1000
                            + " ms: " + e);
        }
    }

    private boolean isBackingOff() {
        return failing && monotonicMicros.getAsLong() < retryAtMicros;
    }

    /** True if the disk has failed and is not to be tried yet at this time, in microseconds. */
    boolean isBackingOffAt(long nowMicros) {
        return failing && nowMicros < retryAtMicros;
    }

    /** Ends the backoff: the disk is tried at once, even if it has just failed. */
    void endBackoff() {
        retryAtMicros = Long.MIN_VALUE;
    }

    /**
     * True if there is space for a record of this size and its later growth, both in bytes; allocates segments for it.
     */
    boolean ensureSpace(long recordBytes, long growthBytes) {
        if (isBackingOff()) {
            return false;
        }
        while (!policy.hasSpace(log.spaceUsage(state), recordBytes, growthBytes)) {
            if (policy.newSegmentBytes(log.spaceUsage(state), recordBytes) == 0
                    || !log.preallocate(policy.segmentBytesFor(recordBytes))) {
                return false;
            }
        }
        return true;
    }

    /** How many times the disk accepted nothing. */
    long failureCount() {
        return failureCount;
    }
}
