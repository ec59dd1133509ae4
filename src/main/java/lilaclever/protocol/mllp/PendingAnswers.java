package lilaclever.protocol.mllp;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Ends that are owed to clients who are away: which are kept, for how long, and who gets them. No I/O and no clock.
 * Each entry leaves by one way alone: it is taken to be told, it is withdrawn since its client asks again, or it is
 * given up because its time is over or newer ones need the room; a client that asks again later is told the end that is
 * remembered.
 *
 * @param <T> what is told
 */
final class PendingAnswers<T> {
    private record Entry<T>(String practice, T answer, long expiresAtMicros) {}

    private final int maxEntries;
    private final long retentionMicros;
    /** By identity, the oldest first: all are kept for the same time, so that is also the order of their ends. */
    private final Map<String, Entry<T>> entries = new LinkedHashMap<>();

    private long discardedCount;

    /** So many in all, each for so long. */
    PendingAnswers(int maxEntries, long retentionMicros) {
        this.maxEntries = maxEntries;
        this.retentionMicros = retentionMicros;
    }

    /** An end is owed; gives those that are given up for it, maybe this one. */
    List<T> add(String identity, String practice, T answer, long nowMicros) {
        List<T> removed = new ArrayList<>();
        Entry<T> previous = entries.remove(identity);
        if (previous != null) {
            removed.add(previous.answer()); // an earlier end under the same identity: only the last one is news
        }
        entries.put(identity, new Entry<>(practice, answer, nowMicros + retentionMicros));
        Iterator<Entry<T>> oldest = entries.values().iterator();
        while (entries.size() > maxEntries) {
            removed.add(oldest.next().answer());
            oldest.remove();
        }
        discardedCount += removed.size();
        return removed;
    }

    /** Gives those whose time is over. */
    List<T> expired(long nowMicros) {
        List<T> removed = new ArrayList<>();
        Iterator<Entry<T>> oldest = entries.values().iterator();
        while (oldest.hasNext()) {
            Entry<T> entry = oldest.next();
            if (entry.expiresAtMicros() > nowMicros) {
                break;
            }
            removed.add(entry.answer());
            oldest.remove();
        }
        discardedCount += removed.size();
        return removed;
    }

    /** The practice is here: gives what is owed to it, so many at most, the oldest first. */
    List<T> take(String practice, int maxCount) {
        List<T> removed = new ArrayList<>();
        Iterator<Entry<T>> remaining = entries.values().iterator();
        while (removed.size() < maxCount && remaining.hasNext()) {
            Entry<T> entry = remaining.next();
            if (entry.practice().equals(practice)) {
                removed.add(entry.answer());
                remaining.remove();
            }
        }
        return removed;
    }

    /** The client asks for it itself: what was owed would be a second answer. Null if nothing was. */
    T withdraw(String identity) {
        Entry<T> entry = entries.remove(identity);
        return entry == null ? null : entry.answer();
    }

    /** How many there are. */
    int size() {
        return entries.size();
    }

    /** How many were given up untold. */
    long discardedCount() {
        return discardedCount;
    }
}
