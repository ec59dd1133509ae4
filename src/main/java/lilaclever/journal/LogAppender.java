package lilaclever.journal;

import java.io.IOException;
import java.util.function.LongSupplier;
import lilaclever.journal.SegmentFormat.RecordWriter;
import lilaclever.log.Logs;

/**
 * Appends records to the log, in a further segment where one fails. While the disk takes none it is left alone but for
 * a trial after each {@link SpacePolicy#DISK_RETRY_DELAY_MICROS}.
 */
final class LogAppender {
    /** Empties segments where a record finds no room. */
    interface SpaceReclaimer {
        /** Makes room for so many bytes, if it can. */
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

    LogAppender(SegmentLog log, SpacePolicy plan, JournalState state, Syncer syncer, LongSupplier micros) {
        this.log = log;
        this.policy = plan;
        this.state = state;
        this.syncer = syncer;
        this.monotonicMicros = micros;
    }

    /** Appends the records, all or none, and leaves the room that copies need; false if no segment takes them. */
    boolean append(RecordWriter records, SpaceReclaimer roomMaker) {
        int size = records.size();
        return write(records, () -> {
            if (!log.fitsActive(size)) {
                roomMaker.reclaim(size);
            }
            if (!log.fitsActive(size)) {
                if (!log.canProvide(size, SpacePolicy.SEGMENTS_FOR_COMPACTION)) {
                    throw new SegmentLog.OutOfSpace();
                }
                log.roll(size);
            }
        });
    }

    /** Appends copies of live records, for which all room may be used; false if no segment takes them. */
    boolean appendCopies(RecordWriter copies) {
        return write(copies, () -> {
            if (!log.fitsActive(copies.size())) {
                log.roll(copies.size());
            }
        });
    }

    private boolean write(RecordWriter records, IoAction makeFit) {
        if (isBackingOff()) {
            return false;
        }
        IOException last = null;
        for (int tries = log.fileCount() + 2; tries > 0; tries--) {
            try {
                makeFit.run();
                log.write(records);
                syncer.recordsWritten();
                writeSucceeded();
                return true;
            } catch (SegmentLog.OutOfSpace e) {
                last = e;
                break;
            } catch (IOException e) {
                last = e;
            }
        }
        writeFailed(last);
        return false;
    }

    private void writeSucceeded() {
        if (failing) {
            failing = false;
            Logs.info("journal", "disk-good", "the disk takes records again");
        }
    }

    /** The disk has failed: it is left alone for a while. */
    void writeFailed(IOException e) {
        failureCount++;
        retryAtMicros = monotonicMicros.getAsLong() + SpacePolicy.DISK_RETRY_DELAY_MICROS;
        if (!failing) {
            failing = true;
            Logs.error(
                    "journal",
                    "disk-bad",
                    "the disk takes no records, asked again every " + SpacePolicy.DISK_RETRY_DELAY_MICROS / 1000 + " ms: " + e);
        }
    }

    private boolean isBackingOff() {
        return failing && monotonicMicros.getAsLong() < retryAtMicros;
    }

    /** True if the disk has failed and is not tried at that time, microseconds. */
    boolean isBackingOffAt(long nowMicros) {
        return failing && nowMicros < retryAtMicros;
    }

    /** The disk is tried at once, also if it has just failed. */
    void endBackoff() {
        retryAtMicros = Long.MIN_VALUE;
    }

    /** True if there is room for a record of so many bytes that may grow by so many more; adds segments for it. */
    boolean ensureSpace(long record, long growth) {
        if (isBackingOff()) {
            return false;
        }
        while (!policy.hasSpace(log.spaceUsage(state), record, growth)) {
            if (policy.newSegmentBytes(log.spaceUsage(state), record) == 0 || !log.preallocate(policy.segmentBytesFor(record))) {
                return false;
            }
        }
        return true;
    }

    /** Times that the disk took nothing. */
    long failureCount() {
        return failureCount;
    }
}
