package lilaclever.journal;

import java.io.IOException;
import java.util.function.LongSupplier;
import lilaclever.journal.SegmentFormat.RecordWriter;
import lilaclever.log.Logs;

/**
 * Appends records to the log, in a further segment where one fails. While the disk takes none it is left alone but for
 * a trial after each {@link Plan#PAUSE}.
 */
final class LogAppender {
    /** Empties segments where a record finds no room. */
    interface RoomMaker {
        /** Makes room for so many bytes, if it can. */
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

    /** Appends the records, all or none, and leaves the room that copies need; false if no segment takes them. */
    boolean append(RecordWriter records, RoomMaker roomMaker) {
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

    /** Appends copies of live records, for which all room may be used; false if no segment takes them. */
    boolean appendCopies(RecordWriter copies) {
        return write(copies, () -> {
            if (!log.fits(copies.size())) {
                log.roll(copies.size());
            }
        });
    }

    private boolean write(RecordWriter records, Step makeFit) {
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

    /** The disk has failed: it is left alone for a while. */
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

    /** True if the disk has failed and is not tried at that time, microseconds. */
    boolean isPausedAt(long nowMicros) {
        return failing && nowMicros < retryAt;
    }

    /** The disk is tried at once, also if it has just failed. */
    void endPause() {
        retryAt = Long.MIN_VALUE;
    }

    /** True if there is room for a record of so many bytes that may grow by so many more; adds segments for it. */
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

    /** Times that the disk took nothing. */
    long failures() {
        return failures;
    }
}
