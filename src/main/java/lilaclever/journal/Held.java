package lilaclever.journal;

import java.nio.ByteBuffer;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeSet;
import lilaclever.identity.Fingerprint;
import lilaclever.identity.Past;
import lilaclever.journal.Format.Type;
import lilaclever.journal.Format.Writer;
import lilaclever.routing.Handin;
import lilaclever.routing.Owed;
import lilaclever.routing.Verdict;

/**
 * The state that the records make: what is owed and what is remembered, each with the segment that it rests on. Both
 * maps are in the order of those segments. Knows how each record is written and what it changes; does no I/O.
 */
final class Held {
    /** What a message's record may grow by: its attempts' hosts and its end, in a snapshot. */
    private static final int GROWTH = 640;
    /** Of what an endpoint said for people, so many characters outlast the process. */
    private static final int MOST_DETAIL = 160;

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

    final Map<String, Slot<Owed>> owed = new LinkedHashMap<>();
    final Map<String, Slot<Past<Verdict>>> remembered = new LinkedHashMap<>();
    /** The same by their time: windows differ, so the order of writing tells nothing of it. */
    private final TreeSet<Expiry> expiries = new TreeSet<>();
    /** Counts of live records by the bits of their size: the largest is known without a sorted map. */
    private final int[] sizes = new int[Integer.SIZE];

    private long live, growth;
    /** What to add to walls that are read. */
    private long shift;

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
    static long growth(Handin h) {
        return GROWTH + (h.identity() == null ? 0 : rememberedSize(h.identity()));
    }

    /** What a claim on a message's end adds to its record. */
    static long growth(Owed.Claim claim) {
        return 3 * (long) (claim.front().length() + claim.id().length()) + 8;
    }

    private static long growth(Owed o) {
        long all = growth(o.handin());
        for (Owed.Claim claim : o.joined()) {
            all += growth(claim);
        }
        return all;
    }

    private static long rememberedSize(String identity) {
        return Format.FRAME + 3 * (long) (identity.length() + MOST_DETAIL) + 52;
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

    // ---- changes ----------------------------------------------------------------------------------------
    /** A message is taken on. What ended under its identity was past its time: it is not this one's end. */
    void taken(Owed o, Segment base, int size) {
        if (o.handin().identity() != null) {
            forget(o.handin().identity());
        }
        put(o, base, size);
    }

    /** A message, or all that is known of one, stands in a record of the segment. */
    void put(Owed o, Segment base, int size) {
        String id = o.handin().id();
        drop(id);
        Slot<Owed> slot = new Slot<>(o);
        owed.put(id, slot);
        growth += growth(o);
        rest(slot, base, size);
    }

    /** The message has ended. */
    void drop(String id) {
        Slot<Owed> slot = owed.remove(id);
        if (slot != null) {
            growth -= growth(slot.value);
            rest(slot, null, 0);
        }
    }

    /** Somebody else is owed the end of a message. */
    void join(Owed o, Owed.Claim claim) {
        growth -= growth(o);
        o.join(claim);
        growth += growth(o);
    }

    /** An end that is remembered stands in a record of the segment. */
    void put(String identity, Past<Verdict> p, Segment base, int size) {
        forget(identity);
        Slot<Past<Verdict>> slot = new Slot<>(p);
        remembered.put(identity, slot);
        expiries.add(new Expiry(p.untilWall(), identity));
        rest(slot, base, size);
    }

    /** The end is remembered no more. */
    void forget(String identity) {
        Slot<Past<Verdict>> slot = remembered.remove(identity);
        if (slot != null) {
            expiries.remove(new Expiry(slot.value.untilWall(), identity));
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
        owed.values().forEach(slot -> slot.value.doubt());
    }

    // ---- records ----------------------------------------------------------------------------------------
    static void taken(Writer out, Owed o) {
        out.begin(Type.TAKEN);
        whole(out, o);
        out.end();
    }

    static void attempt(Writer out, String id, String host, int zone, long wall) {
        out.begin(Type.ATTEMPT).text(id).text(host).small(zone).number(wall).end();
    }

    static void outcome(Writer out, String id, boolean neverRan) {
        out.begin(Type.OUTCOME).text(id).flag(neverRan).end();
    }

    static void verdict(Writer out, String id, Verdict v) {
        out.begin(Type.VERDICT).text(id);
        end(out, v);
        out.end();
    }

    static void ended(Writer out, String id) {
        out.begin(Type.ENDED).text(id).end();
    }

    static void remembered(Writer out, String identity, Past<Verdict> p) {
        out.begin(Type.REMEMBERED).text(identity);
        end(out, p.end());
        out.number(p.untilWall()).flag(p.content() != null);
        if (p.content() != null) {
            out.number(p.content().high()).number(p.content().low());
        }
        out.end();
    }

    static void joined(Writer out, String id, Owed.Claim claim) {
        out.begin(Type.JOINED).text(id).text(claim.front()).text(claim.id()).end();
    }

    /** All that is known of a message, in one record. */
    static void snapshot(Writer out, Owed o) {
        out.begin(Type.SNAPSHOT);
        whole(out, o);
        out.small(o.attempts()).flag(o.isOut()).text(o.host()).small(o.zone()).number(o.sentWall());
        out.flag(o.mayHaveRun()).text(o.riskHost()).small(o.riskZone()).number(o.riskWall());
        out.flag(o.verdict() != null);
        if (o.verdict() != null) {
            end(out, o.verdict());
        }
        out.small(o.joined().size());
        o.joined().forEach(claim -> out.text(claim.front()).text(claim.id()));
        out.end();
    }

    static void previous(Writer out, long sequence, long end) {
        out.begin(Type.PREVIOUS).number(sequence).number(end).end();
    }

    private static void whole(Writer out, Owed o) {
        Handin h = o.handin();
        out.text(o.front()).text(h.id()).flag(h.identity() != null);
        if (h.identity() != null) {
            out.text(h.identity());
        }
        out.small(h.messageClass()).small(h.destination()).flag(h.key() != null);
        if (h.key() != null) {
            out.text(h.key());
        }
        out.flag(h.again())
                .flag(h.inherited())
                .number(h.budgetMicros())
                .number(o.deadlineWall())
                .bytes(h.body());
    }

    private static void end(Writer out, Verdict v) {
        String detail = v.detail().substring(0, Math.min(v.detail().length(), MOST_DETAIL));
        out.small(v.kind().ordinal()).number(v.comeBackMicros()).text(detail);
    }

    // ---- reading ----------------------------------------------------------------------------------------
    /** The wall clock was set by so much since what is read from now on was written. */
    void shiftWalls(long micros) {
        shift = micros;
    }

    private long wall(ByteBuffer in) {
        return in.getLong() + shift;
    }

    /** Applies a record; false if its content makes no sense. */
    boolean apply(Type type, ByteBuffer in, Segment segment, int size) {
        try {
            switch (type) {
                case TAKEN -> taken(readWhole(in), segment, size);
                case SNAPSHOT -> {
                    Owed o = readWhole(in);
                    readPast(in, o);
                    put(o, segment, size);
                }
                case REMEMBERED -> {
                    String identity = Format.text(in);
                    Verdict end = readEnd(in);
                    long until = wall(in);
                    // Version 1 has no fingerprint.
                    boolean compared = in.hasRemaining() && Format.flag(in);
                    put(
                            identity,
                            new Past<>(end, compared ? new Fingerprint(in.getLong(), in.getLong()) : null, until),
                            segment,
                            size);
                }
                case ENDED -> drop(Format.text(in));
                case PREVIOUS -> {}
                default -> applyToOne(type, in);
            }
            return true;
        } catch (RuntimeException e) { // too short, or a number out of its range
            return false;
        }
    }

    private void applyToOne(Type type, ByteBuffer in) {
        Slot<Owed> slot = owed.get(Format.text(in));
        if (slot == null) {
            return; // its message has ended, or a later record tells all of it
        }
        switch (type) {
            case ATTEMPT -> slot.value.attempt(Format.text(in), in.getInt(), wall(in));
            case OUTCOME -> slot.value.outcome(Format.flag(in));
            case JOINED -> join(slot.value, new Owed.Claim(Format.text(in), Format.text(in)));
            default -> slot.value.verdict(readEnd(in));
        }
    }

    private Owed readWhole(ByteBuffer in) {
        String front = Format.text(in);
        String id = Format.text(in);
        String identity = Format.flag(in) ? Format.text(in) : null;
        int messageClass = in.getInt();
        int destination = in.getInt();
        String key = Format.flag(in) ? Format.text(in) : null;
        boolean again = Format.flag(in);
        boolean inherited = Format.flag(in);
        long budget = in.getLong();
        long deadline = wall(in);
        return new Owed(
                front,
                new Handin(id, identity, messageClass, destination, key, Format.bytes(in), again, inherited, budget),
                deadline);
    }

    private void readPast(ByteBuffer in, Owed o) {
        o.past(in.getInt(), Format.flag(in), Format.text(in), in.getInt(), wall(in));
        boolean mayHaveRun = Format.flag(in);
        String host = Format.text(in);
        int zone = in.getInt();
        long wall = wall(in);
        if (mayHaveRun) {
            o.risk(host, zone, wall);
        }
        if (Format.flag(in)) {
            o.verdict(readEnd(in));
        }
        for (int n = in.hasRemaining() ? in.getInt() : 0; n > 0; n--) { // version 1 knows nobody else
            o.join(new Owed.Claim(Format.text(in), Format.text(in)));
        }
    }

    private static Verdict readEnd(ByteBuffer in) {
        return new Verdict(Verdict.Kind.values()[in.getInt()], in.getLong(), Format.text(in));
    }
}
