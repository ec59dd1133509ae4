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
    private static final int GROWTH = 640;

    /** Something live, and the record that it rests on. */
    static final class Slot<T> {
        final T value;
        Segment base;
        int bytes;

        Slot(T value) {
            this.value = value;
        }

        private void rest(Segment on, int size) {
            if (base != null) {
                base.loses(bytes);
            }
            base = on;
            bytes = size;
            if (on != null) {
                on.gains(size);
            }
        }
    }

    final Map<String, Slot<PendingMessage>> owed = new LinkedHashMap<>();
    final Map<String, Slot<CompletedMessage<FinalStatus>>> remembered = new LinkedHashMap<>();
    /** The same by their time: windows differ, so the order of writing tells nothing of it. */
    private final TreeSet<Expiry> expiries = new TreeSet<>();
    /** Counts of live records by the bits of their size: the largest is known without a sorted map. */
    private final int[] sizes = new int[Integer.SIZE];

    private long live, growth;

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
    long live() {
        return live;
    }

    /** What they may still grow by. */
    long growth() {
        return growth;
    }

    /** No record that is live is larger; at most twice the largest. */
    long largest() {
        for (int bits = sizes.length - 1; bits > 0; bits--) {
            if (sizes[bits] > 0) {
                return (1L << bits) - 1;
            }
        }
        return 0;
    }

    /** What a message may need beyond the record of its taking on. */
    static long growth(Submission h) {
        return GROWTH + (h.identity() == null ? 0 : rememberedSize(h.identity()));
    }

    /** What a claim on a message's end adds to its record. */
    static long growth(PendingMessage.Submitter claim) {
        return 3 * (long) (claim.front().length() + claim.id().length()) + 8;
    }

    private static long growth(PendingMessage o) {
        long all = growth(o.submission());
        for (PendingMessage.Submitter claim : o.attachedSubmitters()) {
            all += growth(claim);
        }
        return all;
    }

    private static long rememberedSize(String identity) {
        return SegmentFormat.FRAME + 3 * (long) (identity.length() + RecordEncoder.MOST_DETAIL) + 52;
    }

    private <T> void rest(Slot<T> slot, Segment on, int size) {
        if (slot.base != null) {
            live -= slot.bytes;
            sizes[bits(slot.bytes)]--;
        }
        slot.rest(on, size);
        if (on != null) {
            live += size;
            sizes[bits(size)]++;
        }
    }

    private static int bits(int size) {
        return Integer.SIZE - Integer.numberOfLeadingZeros(size);
    }

    /** All messages that are owed, as a view, in the order of {@link #owed}. */
    Collection<PendingMessage> messages() {
        return new AbstractCollection<>() {
            @Override
            public Iterator<PendingMessage> iterator() {
                Iterator<Slot<PendingMessage>> slots = owed.values().iterator();
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
                return owed.size();
            }
        };
    }

    // ---- changes ----------------------------------------------------------------------------------------
    /** A message is taken on. What ended under its identity was past its time: it is not this one's end. */
    void taken(PendingMessage o, Segment base, int size) {
        if (o.submission().identity() != null) {
            forget(o.submission().identity());
        }
        put(o, base, size);
    }

    /** A message, or all that is known of one, stands in a record of the segment. */
    void put(PendingMessage o, Segment base, int size) {
        String id = o.submission().id();
        drop(id);
        Slot<PendingMessage> slot = new Slot<>(o);
        owed.put(id, slot);
        growth += growth(o);
        rest(slot, base, size);
    }

    /** The message has ended. */
    void drop(String id) {
        Slot<PendingMessage> slot = owed.remove(id);
        if (slot != null) {
            growth -= growth(slot.value);
            rest(slot, null, 0);
        }
    }

    /** Somebody else is owed the end of a message. */
    void join(PendingMessage o, PendingMessage.Submitter claim) {
        growth -= growth(o);
        o.attach(claim);
        growth += growth(o);
    }

    /** An end that is remembered stands in a record of the segment. */
    void put(String identity, CompletedMessage<FinalStatus> p, Segment base, int size) {
        forget(identity);
        Slot<CompletedMessage<FinalStatus>> slot = new Slot<>(p);
        remembered.put(identity, slot);
        expiries.add(new Expiry(p.untilWallMicros(), identity));
        rest(slot, base, size);
    }

    /** The end is remembered no more. */
    void forget(String identity) {
        Slot<CompletedMessage<FinalStatus>> slot = remembered.remove(identity);
        if (slot != null) {
            expiries.remove(new Expiry(slot.value.untilWallMicros(), identity));
            rest(slot, null, 0);
        }
    }

    /** Forgets the end whose time is up soonest. */
    void forgetSoonest() {
        if (!expiries.isEmpty()) {
            forget(expiries.first().identity());
        }
    }

    /** The slot's record has been written anew: it goes to the end of its map. */
    <T> void moved(Map<String, Slot<T>> map, String key, Segment base, int size) {
        Slot<T> slot = map.remove(key);
        map.put(key, slot);
        rest(slot, base, size);
    }

    /** Forgets ends whose time is up, so many at most; gives how many. */
    int expire(long nowWall, int most) {
        int gone = 0;
        while (gone < most && !expiries.isEmpty() && expiries.first().untilWall() <= nowWall) {
            forgetSoonest();
            gone++;
        }
        return gone;
    }

    /** Records are lost: all that is known of any message so far may be too little. */
    void doubt() {
        owed.values().forEach(slot -> slot.value.assumeLostAttempt());
    }
}
