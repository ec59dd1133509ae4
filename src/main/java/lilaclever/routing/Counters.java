package lilaclever.routing;

import java.util.EnumMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;
import lilaclever.log.Logs;

/** Counters and gauges of messages, calls and attempts, and of broken invariants. */
public final class Counters {
    /** Counter names; in lower case they are the names in the output, in this order. */
    public enum Name {
        HANDED_IN,
        TAKEN,
        TURNED_DOWN,
        REFUSED,
        FAILED,
        DELIVERED,
        WITHDRAWN,
        /** Messages whose last client left before their acceptance was told, while an attempt may have run. */
        KEPT_WITHOUT_CLIENT,
        RESUMED,
        CALLS,
        ATTEMPTS,
        CONNECTIONS,
        NOTICES,
        LISTINGS,
        BAD_REQUESTS,
        CROWDED_OUT,
        SPOILT_ANSWERS,
        /** Bytes read on a connection while no request of ours was in flight on it. */
        UNSOLICITED_ANSWERS,
        /** Answers that could not be tied to their request. */
        DOUBTED_ANSWERS,
        JOURNAL_FULL,
        JOINED,
        TOLD_AGAIN,
        CLASHES,
        BROKEN_INVARIANTS,
        TASKS_FAILED,
        TURNS
    }

    private final Map<Name, LongAdder> values = new EnumMap<>(Name.class);
    private final Map<String, LongAdder> attemptsByResult = new TreeMap<>();
    private final Map<String, IntSupplier> entryGauges = new TreeMap<>();
    private final Map<String, LongSupplier> valueGauges = new TreeMap<>();

    /** Creates all counters at zero. */
    public Counters() {
        for (Name name : Name.values()) {
            values.put(name, new LongAdder());
        }
    }

    /** Increments a counter. */
    public void add(Name name) {
        values.get(name).increment();
    }

    /** Counts an attempt with this result. */
    synchronized void addAttemptResult(String result) {
        attemptsByResult.computeIfAbsent(result, e -> new LongAdder()).increment();
    }

    /** Registers a gauge for the size of a collection, printed as entries_NAME, so that unbounded growth shows up. */
    public synchronized void entryGauge(String name, IntSupplier entries) {
        entryGauges.put(name, entries);
    }

    /** Registers a gauge that is printed under its plain name. */
    public synchronized void valueGauge(String name, LongSupplier value) {
        valueGauges.put(name, value);
    }

    /** The current value of a counter. */
    public long get(Name name) {
        return values.get(name).sum();
    }

    /** Checks an invariant: an assertion error where assertions are enabled, else counted and logged. */
    public void checkInvariant(boolean holds, String description) {
        assert holds : description;
        if (!holds) {
            add(Name.BROKEN_INVARIANTS);
            Logs.error("", "invariant", "does not hold: " + description);
        }
    }

    /**
     * All values, one line each. To be called on the event loop, which alone modifies the collections behind the
     * gauges, or after it has ended.
     */
    public synchronized String toText() {
        StringBuilder text = new StringBuilder();
        values.forEach((name, value) -> text.append(name.name().toLowerCase())
                .append(' ')
                .append(value.sum())
                .append('\n'));
        attemptsByResult.forEach((name, value) -> text.append("ending_")
                .append(name.toLowerCase())
                .append(' ')
                .append(value.sum())
                .append('\n'));
        entryGauges.forEach((name, entries) -> text.append("entries_")
                .append(name)
                .append(' ')
                .append(entries.getAsInt())
                .append('\n'));
        valueGauges.forEach((name, value) ->
                text.append(name).append(' ').append(value.getAsLong()).append('\n'));
        return text.toString();
    }
}
