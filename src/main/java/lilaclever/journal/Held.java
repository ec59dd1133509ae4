package lilaclever.journal;

import java.nio.ByteBuffer;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import lilaclever.journal.Format.Type;
import lilaclever.journal.Format.Writer;
import lilaclever.routing.Handin;
import lilaclever.routing.Journal.Remembered;
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
    final Map<String, Slot<Remembered>> remembered = new LinkedHashMap<>();
    /** Counts of live records by the bits of their size: the largest is known without a sorted map. */
    private final int[] sizes = new int[Integer.SIZE];
    private long live, growth;
    /** What to add to walls that are read. */
    private long shift;

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

    private static long rememberedSize(String identity) {
        return Format.FRAME + 3 * (long) (identity.length() + MOST_DETAIL) + 32;
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
    /** A message, or all that is known of one, stands in a record of the segment. */
    void put(Owed o, Segment base, int size) {
        String id = o.handin().id();
        drop(id);
        Slot<Owed> slot = new Slot<>(o);
        owed.put(id, slot);
        growth += growth(o.handin());
        rest(slot, base, size);
    }

    /** The message has ended. */
    void drop(String id) {
        Slot<Owed> slot = owed.remove(id);
        if (slot != null) {
            growth -= growth(slot.value.handin());
            rest(slot, null, 0);
        }
    }

    /** An end that is remembered stands in a record of the segment. */
    void put(String identity, Remembered r, Segment base, int size) {
        forget(identity);
        Slot<Remembered> slot = new Slot<>(r);
        remembered.put(identity, slot);
        rest(slot, base, size);
    }

    /** The end is remembered no more. */
    void forget(String identity) {
        Slot<Remembered> slot = remembered.remove(identity);
        if (slot != null) {
            rest(slot, null, 0);
        }
    }

    /** The slot's record has been written anew: it goes to the end of its map. */
    <T> void moved(Map<String, Slot<T>> map, String key, Segment base, int size) {
        Slot<T> slot = map.remove(key);
        map.put(key, slot);
        rest(slot, base, size);
    }

    /** Forgets what is past its time among the oldest of the remembered; gives how many. */
    int expire(long nowWall, int most) {
        int gone = 0;
        Iterator<Map.Entry<String, Slot<Remembered>>> all = remembered.entrySet().iterator();
        while (gone < most && all.hasNext()) {
            Slot<Remembered> slot = all.next().getValue();
            if (slot.value.untilWall() > nowWall) {
                break;
            }
            all.remove();
            rest(slot, null, 0);
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

    static void remembered(Writer out, String identity, Remembered r) {
        out.begin(Type.REMEMBERED).text(identity);
        end(out, r.verdict());
        out.number(r.untilWall()).end();
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
        out.flag(h.again()).flag(h.inherited()).number(h.budgetMicros()).number(o.deadlineWall()).bytes(h.body());
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
                case TAKEN -> put(readWhole(in), segment, size);
                case SNAPSHOT -> {
                    Owed o = readWhole(in);
                    readPast(in, o);
                    put(o, segment, size);
                }
                case REMEMBERED -> {
                    String identity = Format.text(in);
                    put(identity, new Remembered(readEnd(in), wall(in)), segment, size);
                }
                case ENDED -> drop(Format.text(in));
                case PREVIOUS -> { }
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
        return new Owed(front, new Handin(id, identity, messageClass, destination, key, Format.bytes(in), again,
                inherited, budget), deadline);
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
    }

    private static Verdict readEnd(ByteBuffer in) {
        return new Verdict(Verdict.Kind.values()[in.getInt()], in.getLong(), Format.text(in));
    }
}
