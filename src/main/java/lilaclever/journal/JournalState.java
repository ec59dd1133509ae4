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
 * The state that the records describe: pending messages and remembered results, each with the segment that holds its
 * current record. Both maps are in the order of those segments. Does no I/O.
 */
final class JournalState {
    /** How many bytes a message's record may grow by in a snapshot: the hosts of its attempts and its final status. */
    private static final int GROWTH = 640;

    /** A live entry, and the segment that holds its record. */
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
    /** Remembered results by expiry time: repeat windows differ, so the order of writing does not show it. */
    private final TreeSet<Expiry> expiries = new TreeSet<>();
    /** Number of live records by the bit length of their size, which bounds the largest without a sorted map. */
    private final int[] sizes = new int[Integer.SIZE];

    private long live, growth;

    /** When a remembered result expires. */
    private record Expiry(long untilWall, String identity) implements Comparable<Expiry> {
        @Override
        public int compareTo(Expiry other) {
            int byTime = Long.compare(untilWall, other.untilWall);
            return byTime != 0 ? byTime : identity.compareTo(other.identity);
        }
    }

    // Sizes

    /** Size of all live records in bytes. */
    long live() {
        return live;
    }

    /** The number of bytes that live records may still grow by. */
    long growth() {
        return growth;
    }

    /** An upper bound on the size of live records, less than twice the largest. */
    long largest() {
        for (int bits = sizes.length - 1; bits > 0; bits--) {
            if (sizes[bits] > 0) {
                return (1L << bits) - 1;
            }
        }
        return 0;
    }

    /** How many bytes a message may need beyond the record of its acceptance. */
    static long growth(Submission h) {
        return GROWTH + (h.identity() == null ? 0 : rememberedSize(h.identity()));
    }

    /** How many bytes another claim on a message's result adds to its record. */
    static long growth(PendingMessage.Claim claim) {
        return 3 * (long) (claim.front().length() + claim.id().length()) + 8;
    }

    private static long growth(PendingMessage o) {
        long all = growth(o.submission());
        for (PendingMessage.Claim claim : o.joined()) {
            all += growth(claim);
        }
        return all;
    }

    private static long rememberedSize(String identity) {
        return Format.FRAME + 3 * (long) (identity.length() + RecordEncoder.MOST_DETAIL) + 52;
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

    /** A view of all pending messages, in the order of {@link #owed}. */
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

    // Changes

    /**
     * Adds an accepted message. A result remembered under its identity has expired and does not belong to this message.
     */
    void taken(PendingMessage o, Segment base, int size) {
        if (o.submission().identity() != null) {
            forget(o.submission().identity());
        }
        put(o, base, size);
    }

    /** Adds or replaces a message whose record, or complete snapshot, is in this segment. */
    void put(PendingMessage o, Segment base, int size) {
        String id = o.submission().id();
        drop(id);
        Slot<PendingMessage> slot = new Slot<>(o);
        owed.put(id, slot);
        growth += growth(o);
        rest(slot, base, size);
    }

    /** Removes a message that has ended. */
    void drop(String id) {
        Slot<PendingMessage> slot = owed.remove(id);
        if (slot != null) {
            growth -= growth(slot.value);
            rest(slot, null, 0);
        }
    }

    /** Adds another claim on the result of a message. */
    void join(PendingMessage o, PendingMessage.Claim claim) {
        growth -= growth(o);
        o.join(claim);
        growth += growth(o);
    }

    /** Adds or replaces a remembered result whose record is in this segment. */
    void put(String identity, CompletedMessage<FinalStatus> p, Segment base, int size) {
        forget(identity);
        Slot<CompletedMessage<FinalStatus>> slot = new Slot<>(p);
        remembered.put(identity, slot);
        expiries.add(new Expiry(p.untilWall(), identity));
        rest(slot, base, size);
    }

    /** Removes a remembered result. */
    void forget(String identity) {
        Slot<CompletedMessage<FinalStatus>> slot = remembered.remove(identity);
        if (slot != null) {
            expiries.remove(new Expiry(slot.value.untilWall(), identity));
            rest(slot, null, 0);
        }
    }

    /** Removes the remembered result that expires first. */
    void forgetSoonest() {
        if (!expiries.isEmpty()) {
            forget(expiries.first().identity());
        }
    }

    /** Notes that the entry's record was written again, which moves it to the end of its map. */
    <T> void moved(Map<String, Slot<T>> map, String key, Segment base, int size) {
        Slot<T> slot = map.remove(key);
        map.put(key, slot);
        rest(slot, base, size);
    }

    /** Removes up to {@code most} expired results and returns their number. */
    int expire(long nowWall, int most) {
        int gone = 0;
        while (gone < most && !expiries.isEmpty() && expiries.first().untilWall() <= nowWall) {
            forgetSoonest();
            gone++;
        }
        return gone;
    }

    /** Records were lost: any attempt of the messages known so far may have run without its record. */
    void doubt() {
        owed.values().forEach(slot -> slot.value.doubt());
    }
}
