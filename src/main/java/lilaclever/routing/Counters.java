package lilaclever.routing;

import java.util.EnumMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;
import lilaclever.log.Logs;

/** What the program took in, sent and answered, and what should have held and did not. */
public final class Counters {
    /** What is counted. */
    public enum Name {
        HANDED_IN,
        TAKEN,
        TURNED_DOWN,
        REFUSED,
        FAILED,
        DELIVERED,
        WITHDRAWN,
        RESUMED,
        CALLS,
        ATTEMPTS,
        CONNECTIONS,
        NOTICES,
        LISTINGS,
        BAD_REQUESTS,
        CROWDED_OUT,
        SPOILT_ANSWERS,
        JOURNAL_FULL,
        JOINED,
        TOLD_AGAIN,
        CLASHES,
        BROKEN_INVARIANTS,
        TASKS_FAILED,
        TURNS
    }

    private final Map<Name, LongAdder> values = new EnumMap<>(Name.class);
    private final Map<String, LongAdder> attemptEndings = new TreeMap<>();
    private final Map<String, IntSupplier> entryGauges = new TreeMap<>();
    private final Map<String, LongSupplier> valueGauges = new TreeMap<>();

    /** All at nothing. */
    public Counters() {
        for (Name name : Name.values()) {
            values.put(name, new LongAdder());
        }
    }

    /** One more. */
    public void add(Name name) {
        values.get(name).increment();
    }

    /** One attempt ended so. */
    synchronized void addEnding(String ending) {
        attemptEndings.computeIfAbsent(ending, e -> new LongAdder()).increment();
    }

    /** How many entries a map or a list has now: what grows on a long day is seen without guessing. */
    public synchronized void entryGauge(String name, IntSupplier entries) {
        entryGauges.put(name, entries);
    }

    /** A figure of a subsystem's, as it is now. */
    public synchronized void valueGauge(String name, LongSupplier value) {
        valueGauges.put(name, value);
    }

    /** The count. */
    public long get(Name name) {
        return values.get(name).sum();
    }

    /** What must hold: asserted where assertions are on, counted and told elsewhere. */
    public void checkInvariant(boolean holds, String what) {
        assert holds : what;
        if (!holds) {
            add(Name.BROKEN_INVARIANTS);
            Logs.error("", "invariant", "does not hold: " + what);
        }
    }

    /** One line a count. Loop thread, as it alone changes what is counted in entries, or after its end. */
    public synchronized String toText() {
        StringBuilder all = new StringBuilder();
        values.forEach((name, value) -> all.append(name.name().toLowerCase())
                .append(' ')
                .append(value.sum())
                .append('\n'));
        attemptEndings.forEach((name, value) -> all.append("ending_")
                .append(name.toLowerCase())
                .append(' ')
                .append(value.sum())
                .append('\n'));
        entryGauges.forEach((name, entries) -> all.append("entries_")
                .append(name)
                .append(' ')
                .append(entries.getAsInt())
                .append('\n'));
        valueGauges.forEach((name, value) ->
                all.append(name).append(' ').append(value.getAsLong()).append('\n'));
        return all.toString();
    }
}
