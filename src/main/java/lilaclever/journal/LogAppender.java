package lilaclever.journal;

import java.io.IOException;
import java.util.function.LongSupplier;
import lilaclever.journal.Format.Writer;
import lilaclever.log.Logs;

/**
 * Appends records to the log, in another segment if a write fails. While the disk accepts no records, writes are
 * attempted only once per {@link Plan#PAUSE}.
 */
final class LogAppender {
    /** Frees segments when there is no space for a record. */
    interface RoomMaker {
        /** Frees space for this number of bytes, if possible. */
        void makeRoom(long bytes);
    }

    private interface Step {
        void run() throws IOException;
    }

    private final SegmentLog log;
    private final Plan plan;
    private final JournalState state;
    private final Syncer syncer;
    private final LongSupplier micros;

    private boolean failing;
    private long retryAt;
    private long failures;

    LogAppender(SegmentLog log, Plan plan, JournalState state, Syncer syncer, LongSupplier micros) {
        this.log = log;
        this.plan = plan;
        this.state = state;
        this.syncer = syncer;
        this.micros = micros;
    }

    /**
     * Appends the records, all or none, and leaves the space reserved for copies; false if no segment can take them.
     */
    boolean append(Writer records, RoomMaker roomMaker) {
        int size = records.size();
        return write(records, () -> {
            if (!log.fits(size)) {
                roomMaker.makeRoom(size);
            }
            if (!log.fits(size)) {
                if (!log.canTake(size, Plan.FOR_COPIES)) {
                    throw new SegmentLog.NoRoom();
                }
                log.roll(size);
            }
        });
    }

    /** Appends copies of live records, which may use all space; false if no segment can take them. */
    boolean appendCopies(Writer copies) {
        return write(copies, () -> {
            if (!log.fits(copies.size())) {
                log.roll(copies.size());
            }
        });
    }

    private boolean write(Writer records, Step makeFit) {
        if (isPaused()) {
            return false;
        }
        IOException last = null;
        for (int tries = log.files() + 2; tries > 0; tries--) {
            try {
                makeFit.run();
                log.write(records);
                syncer.wrote();
                succeeded();
                return true;
            } catch (SegmentLog.NoRoom e) {
                last = e;
                break;
            } catch (IOException e) {
                last = e;
            }
        }
        failed(last);
        return false;
    }

    private void succeeded() {
        if (failing) {
            failing = false;
            Logs.info("journal", "disk-good", "the disk takes records again");
        }
    }

    /** Notes that the disk failed, and backs off for a while. */
    void failed(IOException e) {
        failures++;
        retryAt = micros.getAsLong() + Plan.PAUSE;
        if (!failing) {
            failing = true;
            Logs.error(
                    "journal",
                    "disk-bad",
                    "the disk takes no records, asked again every " + Plan.PAUSE / 1000 + " ms: " + e);
        }
    }

    private boolean isPaused() {
        return failing && micros.getAsLong() < retryAt;
    }

    /** True if the disk has failed and is not to be tried yet at this time, in microseconds. */
    boolean isPausedAt(long nowMicros) {
        return failing && nowMicros < retryAt;
    }

    /** Ends the backoff: the disk is tried at once, even if it has just failed. */
    void endPause() {
        retryAt = Long.MIN_VALUE;
    }

    /**
     * True if there is space for a record of this size and its later growth, both in bytes; allocates segments for it.
     */
    boolean hasRoom(long record, long growth) {
        if (isPaused()) {
            return false;
        }
        while (!plan.hasRoom(log.space(state), record, growth)) {
            if (plan.growth(log.space(state), record) == 0 || !log.grow(plan.lengthFor(record))) {
                return false;
            }
        }
        return true;
    }

    /** How many times the disk accepted nothing. */
    long failures() {
        return failures;
    }
}
