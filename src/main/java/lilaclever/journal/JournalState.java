package lilaclever.journal;

import java.util.AbstractCollection;
import java.util.Collection;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeSet;
import lilaclever.identity.CompletedMessage;
import lilaclever.routing.FinalStatus;
import lilaclever.routing.PendingMessage;
import lilaclever.routing.Submission;

/**
 * The state that the records make: what is owed and what is remembered, each with the segment that it rests on. Both
 * maps are in the order of those segments. Does no I/O.
 */
final class JournalState {
    /** What a message's record may grow by: its attempts' hosts and its end, in a snapshot. */
    private static final int MESSAGE_GROWTH_BYTES = 640;

    /** Something live, and the record that it rests on. */
    static final class Entry<T> {
        final T value;
        Segment segment;
        int recordBytes;

        Entry(T value) {
            this.value = value;
        }

        private void moveTo(Segment on, int size) {
            if (segment != null) {
                segment.removeRecord(recordBytes);
            }
            segment = on;
            recordBytes = size;
            if (on != null) {
                on.addRecord(size);
            }
        }
    }

    final Map<String, Entry<PendingMessage>> pending = new LinkedHashMap<>();
    final Map<String, Entry<CompletedMessage<FinalStatus>>> remembered = new LinkedHashMap<>();
    /** The same by their time: windows differ, so the order of writing tells nothing of it. */
    private final TreeSet<Expiry> expiries = new TreeSet<>();
    /** Counts of live records by the bits of their size: the largest is known without a sorted map. */
    private final int[] recordsByBitLength = new int[Integer.SIZE];

    private long liveBytes, growthBytes;

    /** When a remembered end is forgotten. */
    private record Expiry(long untilWall, String identity) implements Comparable<Expiry> {
        @Override
        public int compareTo(Expiry other) {
            int byTime = Long.compare(untilWall, other.untilWall);
            return byTime != 0 ? byTime : identity.compareTo(other.identity);
        }
    }

    // ---- figures ----------------------------------------------------------------------------------------
    /** Bytes that are live. */
    long liveBytes() {
        return liveBytes;
    }

    /** What they may still grow by. */
    long growthBytes() {
        return growthBytes;
    }

    /** No record that is live is larger; at most twice the largest. */
    long largestRecordBytes() {
        for (int bits = recordsByBitLength.length - 1; bits > 0; bits--) {
            if (recordsByBitLength[bits] > 0) {
                return (1L << bits) - 1;
            }
        }
        return 0;
    }

    /** What a message may need beyond the record of its taking on. */
    static long growthBytes(Submission h) {
        return MESSAGE_GROWTH_BYTES + (h.identity() == null ? 0 : rememberedRecordBytes(h.identity()));
    }

    /** What a claim on a message's end adds to its record. */
    static long growthBytes(PendingMessage.Submitter claim) {
        return 3 * (long) (claim.front().length() + claim.id().length()) + 8;
    }

    private static long growthBytes(PendingMessage o) {
        long all = growthBytes(o.submission());
        for (PendingMessage.Submitter claim : o.attachedSubmitters()) {
            all += growthBytes(claim);
        }
        return all;
    }

    private static long rememberedRecordBytes(String identity) {
        return SegmentFormat.FRAME_BYTES + 3 * (long) (identity.length() + RecordEncoder.MAX_DETAIL_CHARS) + 52;
    }

    private <T> void moveRecord(Entry<T> slot, Segment on, int size) {
        if (slot.segment != null) {
            liveBytes -= slot.recordBytes;
            recordsByBitLength[bitLength(slot.recordBytes)]--;
        }
        slot.moveTo(on, size);
        if (on != null) {
            liveBytes += size;
            recordsByBitLength[bitLength(size)]++;
        }
    }

    private static int bitLength(int size) {
        return Integer.SIZE - Integer.numberOfLeadingZeros(size);
    }

    /** All messages that are owed, as a view, in the order of {@link #pending}. */
    Collection<PendingMessage> pendingMessages() {
        return new AbstractCollection<>() {
            @Override
            public Iterator<PendingMessage> iterator() {
                Iterator<Entry<PendingMessage>> slots = pending.values().iterator();
                return new Iterator<>() {
                    @Override
                    public boolean hasNext() {
                        return slots.hasNext();
                    }

                    @Override
                    public PendingMessage next() {
                        return slots.next().value;
                    }
                };
            }

            @Override
            public int size() {
                return pending.size();
            }
        };
    }

    // ---- changes ----------------------------------------------------------------------------------------
    /** A message is taken on. What ended under its identity was past its time: it is not this one's end. */
    void addAccepted(PendingMessage o, Segment base, int size) {
        if (o.submission().identity() != null) {
            removeRemembered(o.submission().identity());
        }
        put(o, base, size);
    }

    /** A message, or all that is known of one, stands in a record of the segment. */
    void put(PendingMessage o, Segment base, int size) {
        String id = o.submission().id();
        removeMessage(id);
        Entry<PendingMessage> slot = new Entry<>(o);
        pending.put(id, slot);
        growthBytes += growthBytes(o);
        moveRecord(slot, base, size);
    }

    /** The message has ended. */
    void removeMessage(String id) {
        Entry<PendingMessage> slot = pending.remove(id);
        if (slot != null) {
            growthBytes -= growthBytes(slot.value);
            moveRecord(slot, null, 0);
        }
    }

    /** Somebody else is owed the end of a message. */
    void addClaim(PendingMessage o, PendingMessage.Submitter claim) {
        growthBytes -= growthBytes(o);
        o.attach(claim);
        growthBytes += growthBytes(o);
    }

    /** An end that is remembered stands in a record of the segment. */
    void put(String identity, CompletedMessage<FinalStatus> p, Segment base, int size) {
        removeRemembered(identity);
        Entry<CompletedMessage<FinalStatus>> slot = new Entry<>(p);
        remembered.put(identity, slot);
        expiries.add(new Expiry(p.untilWallMicros(), identity));
        moveRecord(slot, base, size);
    }

    /** The end is remembered no more. */
    void removeRemembered(String identity) {
        Entry<CompletedMessage<FinalStatus>> slot = remembered.remove(identity);
        if (slot != null) {
            expiries.remove(new Expiry(slot.value.untilWallMicros(), identity));
            moveRecord(slot, null, 0);
        }
    }

    /** Forgets the end whose time is up soonest. */
    void removeFirstToExpire() {
        if (!expiries.isEmpty()) {
            removeRemembered(expiries.first().identity());
        }
    }

    /** The slot's record has been written anew: it goes to the end of its map. */
    <T> void recordMoved(Map<String, Entry<T>> map, String key, Segment base, int size) {
        Entry<T> slot = map.remove(key);
        map.put(key, slot);
        moveRecord(slot, base, size);
    }

    /** Forgets ends whose time is up, so many at most; gives how many. */
    int removeExpired(long nowWall, int most) {
        int gone = 0;
        while (gone < most && !expiries.isEmpty() && expiries.first().untilWall() <= nowWall) {
            removeFirstToExpire();
            gone++;
        }
        return gone;
    }

    /** Records are lost: all that is known of any message so far may be too little. */
    void markPossiblyRun() {
        pending.values().forEach(slot -> slot.value.assumeLostAttempt());
    }
}
