package lilaclever.journal;

import java.util.AbstractCollection;
import java.util.Collection;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeSet;
import lilaclever.identity.CompletedMessage;
import lilaclever.routing.ClassVersion;
import lilaclever.routing.FinalStatus;
import lilaclever.routing.PendingMessage;
import lilaclever.routing.Submission;

/**
 * The state that the records describe: pending messages and remembered results, each with the segment that holds its
 * current record. Both maps are in the order of those segments. Does no I/O.
 */
final class JournalState {
    /**
     * How many bytes a message's record may grow by in a snapshot: the hosts and zones of its attempts and its final
     * status.
     */
    private static final int MESSAGE_GROWTH_BYTES = 640;

    /** A live entry, and the segment that holds its record. */
    static final class Entry<T> {
        final T value;
        Segment segment;
        int recordBytes;

        Entry(T value) {
            this.value = value;
        }

        private void moveTo(Segment target, int size) {
            if (segment != null) {
                segment.removeRecord(recordBytes);
            }
            segment = target;
            recordBytes = size;
            if (target != null) {
                target.addRecord(size);
            }
        }
    }

    final Map<String, Entry<PendingMessage>> pending = new LinkedHashMap<>();
    final Map<String, Entry<CompletedMessage<FinalStatus>>> remembered = new LinkedHashMap<>();
    /** Remembered results by expiry time: repeat windows differ, so the order of writing is not that of expiry. */
    private final TreeSet<Expiry> expiries = new TreeSet<>();
    /** Number of live records by the bit length of their size, which bounds the largest without a sorted map. */
    private final int[] recordsByBitLength = new int[Integer.SIZE];

    private long liveBytes, growthBytes;

    /** When a remembered result expires. */
    private record Expiry(long untilWallMicros, String identity) implements Comparable<Expiry> {
        @Override
        public int compareTo(Expiry other) {
            int byTime = Long.compare(untilWallMicros, other.untilWallMicros);
            return byTime != 0 ? byTime : identity.compareTo(other.identity);
        }
    }

    // Sizes

    /** Size of all live records in bytes. */
    long liveBytes() {
        return liveBytes;
    }

    /** The number of bytes that live records may still grow by. */
    long growthBytes() {
        return growthBytes;
    }

    /** An upper bound on the size of live records, less than twice the largest. */
    long largestRecordBytes() {
        for (int bits = recordsByBitLength.length - 1; bits > 0; bits--) {
            if (recordsByBitLength[bits] > 0) {
                return (1L << bits) - 1;
            }
        }
        return 0;
    }

    /** How many bytes a message may need beyond the record of its acceptance. */
    static long growthBytes(Submission submission) {
        return MESSAGE_GROWTH_BYTES
                + (submission.identity() == null ? 0 : rememberedRecordBytes(submission.identity()));
    }

    /** How many bytes another submitter of a message adds to its record. */
    static long growthBytes(PendingMessage.Submitter submitter) {
        return 3 * (long) (submitter.front().length() + submitter.id().length()) + 8;
    }

    private static long growthBytes(PendingMessage message) {
        long total = growthBytes(message.submission()) + message.unrecordedClassBytes();
        for (PendingMessage.Submitter submitter : message.attachedSubmitters()) {
            total += growthBytes(submitter);
        }
        return total;
    }

    private static long rememberedRecordBytes(String identity) {
        return SegmentFormat.FRAME_BYTES + 3 * (long) (identity.length() + RecordEncoder.MAX_DETAIL_CHARS) + 52;
    }

    private <T> void moveRecord(Entry<T> entry, Segment target, int size) {
        if (entry.segment != null) {
            liveBytes -= entry.recordBytes;
            recordsByBitLength[bitLength(entry.recordBytes)]--;
        }
        entry.moveTo(target, size);
        if (target != null) {
            liveBytes += size;
            recordsByBitLength[bitLength(size)]++;
        }
    }

    private static int bitLength(int size) {
        return Integer.SIZE - Integer.numberOfLeadingZeros(size);
    }

    /** A view of all pending messages, in the order of {@link #pending}. */
    Collection<PendingMessage> pendingMessages() {
        return new AbstractCollection<>() {
            @Override
            public Iterator<PendingMessage> iterator() {
                Iterator<Entry<PendingMessage>> entries = pending.values().iterator();
                return new Iterator<>() {
                    @Override
                    public boolean hasNext() {
                        return entries.hasNext();
                    }

                    @Override
                    public PendingMessage next() {
                        return entries.next().value;
                    }
                };
            }

            @Override
            public int size() {
                return pending.size();
            }
        };
    }

    // Changes

    /**
     * Adds an accepted message. A result remembered under its identity has expired and is removed: it does not belong
     * to this message.
     */
    void addAccepted(PendingMessage message, Segment segment, int size) {
        if (message.submission().identity() != null) {
            removeRemembered(message.submission().identity());
        }
        put(message, segment, size);
    }

    /** Adds or replaces a message whose record, or complete snapshot, is in this segment. */
    void put(PendingMessage message, Segment segment, int size) {
        String id = message.submission().id();
        removeMessage(id);
        Entry<PendingMessage> entry = new Entry<>(message);
        pending.put(id, entry);
        growthBytes += growthBytes(message);
        moveRecord(entry, segment, size);
    }

    /** Removes a settled message. */
    void removeMessage(String id) {
        Entry<PendingMessage> entry = pending.remove(id);
        if (entry != null) {
            growthBytes -= growthBytes(entry.value);
            moveRecord(entry, null, 0);
        }
    }

    /** Attaches another submitter to a pending message. */
    void addSubmitter(PendingMessage message, PendingMessage.Submitter submitter) {
        growthBytes -= growthBytes(message);
        message.attach(submitter);
        growthBytes += growthBytes(message);
    }

    /** Sets the class of a message that was recovered. One that its record does not hold makes its snapshot larger. */
    void assignClass(PendingMessage message, ClassVersion version) {
        growthBytes -= growthBytes(message);
        if (message.submission().messageClass().definition() == null) {
            message.addUnrecordedClass(RecordEncoder.classBytes(version));
        }
        message.assignClass(version);
        growthBytes += growthBytes(message);
    }

    /** Adds or replaces a remembered result whose record is in this segment. */
    void put(String identity, CompletedMessage<FinalStatus> result, Segment segment, int size) {
        removeRemembered(identity);
        Entry<CompletedMessage<FinalStatus>> entry = new Entry<>(result);
        remembered.put(identity, entry);
        expiries.add(new Expiry(result.untilWallMicros(), identity));
        moveRecord(entry, segment, size);
    }

    /** Removes a remembered result. */
    void removeRemembered(String identity) {
        Entry<CompletedMessage<FinalStatus>> entry = remembered.remove(identity);
        if (entry != null) {
            expiries.remove(new Expiry(entry.value.untilWallMicros(), identity));
            moveRecord(entry, null, 0);
        }
    }

    /** Removes the remembered result that expires first. */
    void removeSoonestExpiring() {
        if (!expiries.isEmpty()) {
            removeRemembered(expiries.first().identity());
        }
    }

    /** Notes that the entry's record was written again, which moves it to the end of its map. */
    <T> void recordMoved(Map<String, Entry<T>> map, String key, Segment segment, int size) {
        Entry<T> entry = map.remove(key);
        map.put(key, entry);
        moveRecord(entry, segment, size);
    }

    /** Removes up to {@code limit} expired results and returns their number. */
    int removeExpired(long nowWallMicros, int limit) {
        int removed = 0;
        while (removed < limit && !expiries.isEmpty() && expiries.first().untilWallMicros() <= nowWallMicros) {
            removeSoonestExpiring();
            removed++;
        }
        return removed;
    }

    /** Records were lost: each message that is pending so far may have had an attempt that is not recorded. */
    void assumeLostAttempts() {
        pending.values().forEach(entry -> entry.value.assumeLostAttempt());
    }
}
