package lilaclever.journal;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import lilaclever.journal.SegmentFormat.RecordWriter;
import lilaclever.log.Logs;

/** Empties the log from its oldest segment on: copies forward what is live, and releases what nothing rests on. */
final class Compactor implements LogAppender.SpaceReclaimer {
    private final SegmentLog log;
    private final SpacePolicy policy;
    private final JournalState state;
    private final Syncer syncer;
    private final LogAppender appender;
    private final RecordWriter copies = new RecordWriter();
    private long copiedBytes;

    Compactor(SegmentLog log, SpacePolicy plan, JournalState state, Syncer syncer, LogAppender appender) {
        this.log = log;
        this.policy = plan;
        this.state = state;
        this.syncer = syncer;
        this.appender = appender;
    }

    /**
     * Copies all that is live out of the segments up to that number and releases them: damaged ones and those of the
     * first format have no place in the log any more.
     */
    void migrateUpTo(long upTo) throws IOException {
        while (log.oldest() != null && log.oldest().sequence <= upTo) {
            copyOldest("carry over");
            if (log.oldest().liveRecords == 0) {
                syncer.syncNow(log);
                log.releaseOldest(state);
            }
        }
    }

    /** Copies all that is live into as few segments as hold it, and gives up the others. */
    void compactAll() throws IOException {
        log.abandonActive();
        long last = log.newestSequence();
        while (log.oldest() != null && log.oldest().sequence <= last) {
            copyOldest("copy");
            syncer.syncNow(log);
            log.releaseOldest(state);
        }
        log.deletePreallocated();
    }

    private void copyOldest(String purpose) throws JournalException {
        if (!copyLiveRecords(Long.MAX_VALUE)) {
            throw new JournalException("no room to " + purpose + " " + log.oldest().name);
        }
    }

    /** Empties segments where that can't wait for the turn's slice. */
    @Override
    public void reclaim(long bytes) {
        try {
            compactSegments(bytes);
        } catch (IOException e) {
            // A segment that can't be renamed or deleted now stays; what is to be written may fit all the same.
            Logs.warn("journal", "release-failed", "an empty segment could not be released: " + e);
        }
    }

    private void compactSegments(long bytes) throws IOException {
        int wanted = policy.forcedCompactions(log.spaceUsage(state));
        for (int n = log.fileCount(); n > 0 && log.oldest() != null; n--) {
            boolean enough = wanted-- <= 0 && log.canProvide(bytes, SpacePolicy.SEGMENTS_FOR_COMPACTION);
            if (enough || !copyLiveRecords(Long.MAX_VALUE) || !releaseEmptySegments()) {
                return;
            }
        }
    }

    /** Does one turn's part: copies a slice of the oldest segment if the plan wants that. */
    void runSlice() throws IOException {
        releaseEmptySegments();
        long slice = policy.sliceBytes(log.spaceUsage(state));
        if (slice > 0 && log.oldest() != null) {
            copyLiveRecords(slice);
            releaseEmptySegments();
        }
    }

    /** Copies live records of the oldest segment, so many bytes of them; false if they could not be written. */
    private boolean copyLiveRecords(long most) {
        Segment from = log.oldest();
        return copyEntries(state.pending, from, most, (out, id, o) -> RecordEncoder.snapshot(out, o))
                && copyEntries(state.remembered, from, most, RecordEncoder::remembered);
    }

    private interface Encoder<T> {
        void encode(RecordWriter out, String key, T value);
    }

    private <T> boolean copyEntries(Map<String, JournalState.Entry<T>> map, Segment from, long most, Encoder<T> encoder) {
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
                state.recordMoved(map, keys.get(i), log.active(), sizes.get(i));
            }
            copiedBytes += copies.size();
            left -= copies.size();
        }
        return true;
    }

    /** Fills {@link #copies} with records for one segment, and the lists with what they are of and their sizes. */
    private <T> void fillBatch(
            Map<String, JournalState.Entry<T>> map,
            Segment from,
            long most,
            Encoder<T> encoder,
            List<String> keys,
            List<Integer> sizes) {
        copies.clear();
        for (Map.Entry<String, JournalState.Entry<T>> e : map.entrySet()) {
            JournalState.Entry<T> slot = e.getValue();
            if (slot.segment != from || copies.size() >= most) {
                break;
            }
            int before = copies.size();
            encoder.encode(copies, e.getKey(), slot.value);
            if (!keys.isEmpty() && copies.size() > log.activeBytesLeft()) {
                copies.truncate(before); // it goes into the next segment, and none of this one's room is lost to a batch
                break;
            }
            keys.add(e.getKey());
            sizes.add(copies.size() - before);
        }
    }

    /** Takes segments out of the log on which nothing rests any more; true if there was one. */
    private boolean releaseEmptySegments() throws IOException {
        boolean any = false;
        for (Segment s = log.oldest(); s != null && s.liveRecords == 0; s = log.oldest()) {
            if (s.emptiedAtSync < 0) {
                s.emptiedAtSync = syncer.started();
            }
            if (!syncer.hasSucceededAfter(s.emptiedAtSync)) {
                break; // its records' copies might not outlast the machine yet
            }
            log.releaseOldest(state);
            any = true;
        }
        return any;
    }

    /** Bytes copied so far. */
    long copiedBytes() {
        return copiedBytes;
    }
}
