package lilaclever.journal;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import lilaclever.journal.SegmentFormat.RecordWriter;
import lilaclever.log.Logs;

/** Compacts the log from its oldest segment on: copies live records forward and releases segments that hold none. */
final class Compactor implements LogAppender.SpaceReclaimer {
    private final SegmentLog log;
    private final SpacePolicy policy;
    private final JournalState state;
    private final Syncer syncer;
    private final LogAppender appender;
    private final RecordWriter copies = new RecordWriter();
    private long copiedBytes;

    Compactor(SegmentLog log, SpacePolicy policy, JournalState state, Syncer syncer, LogAppender appender) {
        this.log = log;
        this.policy = policy;
        this.state = state;
        this.syncer = syncer;
        this.appender = appender;
    }

    /**
     * Copies all live records out of the segments up to this sequence number and releases these segments. Used for
     * damaged segments and the legacy file, which must not stay in the log.
     */
    void migrateUpTo(long lastSequence) throws IOException {
        while (log.oldest() != null && log.oldest().sequence <= lastSequence) {
            copyOldest("migrate");
            if (log.oldest().liveRecords == 0) {
                syncer.syncNow(log);
                log.releaseOldest(state);
            }
        }
    }

    /** Copies all live records into as few segments as possible and removes the other files. */
    void compactAll() throws IOException {
        log.abandonActive();
        long lastSequence = log.newestSequence();
        while (log.oldest() != null && log.oldest().sequence <= lastSequence) {
            copyOldest("copy");
            syncer.syncNow(log);
            log.releaseOldest(state);
        }
        log.deletePreallocated();
    }

    private void copyOldest(String purpose) throws JournalException {
        if (!copyLiveRecords(Long.MAX_VALUE)) {
            throw new JournalException("no space to " + purpose + " " + log.oldest().name);
        }
    }

    /** Compacts segments at once, for a write that can't wait for the slice of the current turn. */
    @Override
    public void reclaim(long bytes) {
        try {
            compactSegments(bytes);
        } catch (IOException e) {
            // A segment that can't be renamed or deleted now stays in the log; the pending record may fit all the same.
            Logs.warn("journal", "release-failed", "an empty segment could not be released: " + e);
        }
    }

    private void compactSegments(long bytes) throws IOException {
        int segmentsLeft = policy.forcedCompactions(log.spaceUsage(state));
        for (int filesLeft = log.fileCount(); filesLeft > 0 && log.oldest() != null; filesLeft--) {
            boolean enough = segmentsLeft-- <= 0 && log.canProvide(bytes, SpacePolicy.SEGMENTS_FOR_COMPACTION);
            if (enough || !copyLiveRecords(Long.MAX_VALUE) || !releaseEmptySegments()) {
                return;
            }
        }
    }

    /** Does the work of one turn: copies a slice of the oldest segment if the policy asks for it. */
    void runSlice() throws IOException {
        releaseEmptySegments();
        long sliceBytes = policy.sliceBytes(log.spaceUsage(state));
        if (sliceBytes > 0 && log.oldest() != null) {
            copyLiveRecords(sliceBytes);
            releaseEmptySegments();
        }
    }

    /** Copies live records of the oldest segment, up to a number of bytes; false if they could not be written. */
    private boolean copyLiveRecords(long maxBytes) {
        Segment from = log.oldest();
        return copyEntries(state.pending, from, maxBytes, (out, id, message) -> RecordEncoder.snapshot(out, message))
                && copyEntries(state.remembered, from, maxBytes, RecordEncoder::remembered);
    }

    private interface Encoder<T> {
        void encode(RecordWriter out, String key, T value);
    }

    private <T> boolean copyEntries(
            Map<String, JournalState.Entry<T>> map, Segment from, long maxBytes, Encoder<T> encoder) {
        long bytesLeft = maxBytes;
        while (bytesLeft > 0) {
            List<String> keys = new ArrayList<>();
            List<Integer> sizes = new ArrayList<>();
            fillBatch(map, from, bytesLeft, encoder, keys, sizes);
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
            bytesLeft -= copies.size();
        }
        return true;
    }

    /** Fills {@link #copies} with records for one segment, and the lists with their keys and sizes. */
    private <T> void fillBatch(
            Map<String, JournalState.Entry<T>> map,
            Segment from,
            long maxBytes,
            Encoder<T> encoder,
            List<String> keys,
            List<Integer> sizes) {
        copies.clear();
        for (Map.Entry<String, JournalState.Entry<T>> entry : map.entrySet()) {
            JournalState.Entry<T> liveEntry = entry.getValue();
            if (liveEntry.segment != from || copies.size() >= maxBytes) {
                break;
            }
            int sizeBefore = copies.size();
            encoder.encode(copies, entry.getKey(), liveEntry.value);
            if (!keys.isEmpty() && copies.size() > log.activeBytesLeft()) {
                copies.truncate(sizeBefore); // goes into the next segment, so that a batch wastes no space in this one
                break;
            }
            keys.add(entry.getKey());
            sizes.add(copies.size() - sizeBefore);
        }
    }

    /** Releases the oldest segments while they hold no live records; true if there was one. */
    private boolean releaseEmptySegments() throws IOException {
        boolean released = false;
        for (Segment oldest = log.oldest(); oldest != null && oldest.liveRecords == 0; oldest = log.oldest()) {
            if (oldest.emptiedAtSync < 0) {
                oldest.emptiedAtSync = syncer.started();
            }
            if (!syncer.hasSucceededAfter(oldest.emptiedAtSync)) {
                break; // the copies of its records may not be durable yet
            }
            log.releaseOldest(state);
            released = true;
        }
        return released;
    }

    /** Returns the number of bytes copied so far. */
    long copiedBytes() {
        return copiedBytes;
    }
}
