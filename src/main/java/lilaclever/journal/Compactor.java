package lilaclever.journal;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import lilaclever.journal.Format.Writer;
import lilaclever.log.Logs;

/** Compacts the log from its oldest segment on: copies live records forward and releases segments that hold none. */
final class Compactor implements LogAppender.RoomMaker {
    private final SegmentLog log;
    private final Plan plan;
    private final JournalState state;
    private final Syncer syncer;
    private final LogAppender appender;
    private final Writer copies = new Writer();
    private long copied;

    Compactor(SegmentLog log, Plan plan, JournalState state, Syncer syncer, LogAppender appender) {
        this.log = log;
        this.plan = plan;
        this.state = state;
        this.syncer = syncer;
        this.appender = appender;
    }

    /**
     * Copies all live records out of the segments up to this sequence number and releases these segments. Used for
     * damaged segments and the legacy file, which must not stay in the log.
     */
    void carryOver(long upTo) throws IOException {
        while (log.oldest() != null && log.oldest().sequence <= upTo) {
            copyOldest("migrate");
            if (log.oldest().liveRecords == 0) {
                syncer.forceNow(log);
                log.release(state);
            }
        }
    }

    /** Copies all live records into as few segments as possible and removes the other files. */
    void compactAll() throws IOException {
        log.giveUpActive();
        long last = log.newest();
        while (log.oldest() != null && log.oldest().sequence <= last) {
            copyOldest("copy");
            syncer.forceNow(log);
            log.release(state);
        }
        log.giveUpSpares();
    }

    private void copyOldest(String purpose) throws JournalException {
        if (!copy(Long.MAX_VALUE)) {
            throw new JournalException("no space to " + purpose + " " + log.oldest().name);
        }
    }

    /** Compacts segments where that can't wait for the slice of the current turn. */
    @Override
    public void makeRoom(long bytes) {
        try {
            emptySegments(bytes);
        } catch (IOException e) {
            // A segment that can't be renamed or deleted now stays in the log; the pending record may fit all the same.
            Logs.warn("journal", "release-failed", "an empty segment could not be released: " + e);
        }
    }

    private void emptySegments(long bytes) throws IOException {
        int wanted = plan.forced(log.space(state));
        for (int n = log.files(); n > 0 && log.oldest() != null; n--) {
            boolean enough = wanted-- <= 0 && log.canTake(bytes, Plan.FOR_COPIES);
            if (enough || !copy(Long.MAX_VALUE) || !releaseEmpty()) {
                return;
            }
        }
    }

    /** Does the work of one turn: copies a slice of the oldest segment if the policy asks for it. */
    void runSlice() throws IOException {
        releaseEmpty();
        long slice = plan.slice(log.space(state));
        if (slice > 0 && log.oldest() != null) {
            copy(slice);
            releaseEmpty();
        }
    }

    /** Copies live records of the oldest segment, up to a number of bytes; false if they could not be written. */
    private boolean copy(long most) {
        Segment from = log.oldest();
        return copy(state.owed, from, most, (out, id, o) -> RecordEncoder.snapshot(out, o))
                && copy(state.remembered, from, most, RecordEncoder::remembered);
    }

    private interface Encoder<T> {
        void write(Writer out, String key, T value);
    }

    private <T> boolean copy(Map<String, JournalState.Slot<T>> map, Segment from, long most, Encoder<T> encoder) {
        long left = most;
        while (left > 0) {
            List<String> keys = new ArrayList<>();
            List<Integer> sizes = new ArrayList<>();
            fillBatch(map, from, left, encoder, keys, sizes);
            if (keys.isEmpty()) {
                return true;
            }
            if (!appender.appendCopies(copies)) {
                return false;
            }
            for (int i = 0; i < keys.size(); i++) {
                state.moved(map, keys.get(i), log.active(), sizes.get(i));
            }
            copied += copies.size();
            left -= copies.size();
        }
        return true;
    }

    /** Fills {@link #copies} with records for one segment, and the lists with their keys and sizes. */
    private <T> void fillBatch(
            Map<String, JournalState.Slot<T>> map,
            Segment from,
            long most,
            Encoder<T> encoder,
            List<String> keys,
            List<Integer> sizes) {
        copies.clear();
        for (Map.Entry<String, JournalState.Slot<T>> e : map.entrySet()) {
            JournalState.Slot<T> slot = e.getValue();
            if (slot.base != from || copies.size() >= most) {
                break;
            }
            int before = copies.size();
            encoder.write(copies, e.getKey(), slot.value);
            if (!keys.isEmpty() && copies.size() > log.left()) {
                copies.cut(before); // goes into the next segment, so that a batch wastes no space in this one
                break;
            }
            keys.add(e.getKey());
            sizes.add(copies.size() - before);
        }
    }

    /** Releases the oldest segments while they hold no live records; true if there was one. */
    private boolean releaseEmpty() throws IOException {
        boolean any = false;
        for (Segment s = log.oldest(); s != null && s.liveRecords == 0; s = log.oldest()) {
            if (s.emptyAt < 0) {
                s.emptyAt = syncer.begun();
            }
            if (!syncer.coversAfter(s.emptyAt)) {
                break; // the copies of its records may not be durable yet
            }
            log.release(state);
            any = true;
        }
        return any;
    }

    /** Returns the number of bytes copied so far. */
    long copied() {
        return copied;
    }
}
