package lilaclever.routing;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The final statuses of messages that ended a short time ago, by the id under which they were submitted. A client uses
 * an id once, so a request with the id of an ended message is that request arriving a second time. Event loop.
 */
final class RecentlyEnded {
    private static final long RETENTION_MICROS = 5_000_000;
    private static final int MAX_ENTRIES = 4_096;

    private record Entry(FinalStatus finalStatus, long expiresAtMicros) {}

    /** Oldest first: all are kept for the same time, so this is also the order of expiry. */
    private final Map<String, Entry> entries = new LinkedHashMap<>();

    /** Remembers the final status of a message; the oldest one makes room where there are too many. */
    void add(String id, FinalStatus finalStatus, long nowMicros) {
        entries.remove(id);
        entries.put(id, new Entry(finalStatus, nowMicros + RETENTION_MICROS));
        if (entries.size() > MAX_ENTRIES) {
            Iterator<Entry> oldestFirst = entries.values().iterator();
            oldestFirst.next();
            oldestFirst.remove();
        }
    }

    /** Removes the entries that have expired. */
    void removeExpired(long nowMicros) {
        Iterator<Entry> oldestFirst = entries.values().iterator();
        while (oldestFirst.hasNext() && oldestFirst.next().expiresAtMicros() <= nowMicros) {
            oldestFirst.remove();
        }
    }

    /** The final status of the message that ended under the id, or null. */
    FinalStatus find(String id, long nowMicros) {
        Entry entry = entries.get(id);
        return entry == null || entry.expiresAtMicros() <= nowMicros ? null : entry.finalStatus();
    }

    int size() {
        return entries.size();
    }
}
