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
    PendingAnswers(int most, long keepMicros) {
        this.maxEntries = most;
        this.retentionMicros = keepMicros;
    }

    /** An end is owed; gives those that are given up for it, maybe this one. */
    List<T> add(String identity, String practice, T answer, long now) {
        List<T> out = new ArrayList<>();
        Entry<T> before = entries.remove(identity);
        if (before != null) {
            out.add(before.answer()); // an earlier end under the same identity: only the last one is news
        }
        entries.put(identity, new Entry<>(practice, answer, now + retentionMicros));
        Iterator<Entry<T>> oldest = entries.values().iterator();
        while (entries.size() > maxEntries) {
            out.add(oldest.next().answer());
            oldest.remove();
        }
        discardedCount += out.size();
        return out;
    }

    /** Gives those whose time is over. */
    List<T> expired(long now) {
        List<T> out = new ArrayList<>();
        Iterator<Entry<T>> oldest = entries.values().iterator();
        while (oldest.hasNext()) {
            Entry<T> e = oldest.next();
            if (e.expiresAtMicros() > now) {
                break;
            }
            out.add(e.answer());
            oldest.remove();
        }
        discardedCount += out.size();
        return out;
    }

    /** The practice is here: gives what is owed to it, so many at most, the oldest first. */
    List<T> take(String practice, int atMost) {
        List<T> out = new ArrayList<>();
        Iterator<Entry<T>> all = entries.values().iterator();
        while (out.size() < atMost && all.hasNext()) {
            Entry<T> e = all.next();
            if (e.practice().equals(practice)) {
                out.add(e.answer());
                all.remove();
            }
        }
        return out;
    }

    /** The client asks for it itself: what was owed would be a second answer. Null if nothing was. */
    T withdraw(String identity) {
        Entry<T> e = entries.remove(identity);
        return e == null ? null : e.answer();
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
