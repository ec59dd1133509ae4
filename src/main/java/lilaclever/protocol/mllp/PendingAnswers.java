package lilaclever.protocol.mllp;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Final answers retained for disconnected clients, with a limit and an expiry time. At the limit the oldest answer of
 * the practice with the most goes, so that one that stays away takes nothing from others. No I/O and no clock. Each
 * entry is removed in exactly one way: it is taken for sending, withdrawn because its client has sent the message
 * again, or discarded because it has expired, is replaced or the limit is reached. A client that sends the message
 * again after that gets the remembered final status.
 *
 * @param <T> the type of the answers
 */
final class PendingAnswers<T> {
    private record Entry<T>(String practice, T answer, long expiresAtMicros) {}

    private final int maxEntries;
    private final long retentionMicros;
    /** By identity, oldest first: all are retained for the same time, so this is also the order of expiry. */
    private final Map<String, Entry<T>> entries = new LinkedHashMap<>();

    private final Map<String, Integer> countByPractice = new HashMap<>();
    private long discardedCount;

    /** Retains at most {@code maxEntries} answers, each for {@code retentionMicros}. */
    PendingAnswers(int maxEntries, long retentionMicros) {
        this.maxEntries = maxEntries;
        this.retentionMicros = retentionMicros;
    }

    /** Adds an answer; returns those discarded in its favour, possibly the answer itself. */
    List<T> add(String identity, String practice, T answer, long nowMicros) {
        List<T> removed = new ArrayList<>();
        Entry<T> previous = entries.remove(identity);
        if (previous != null) {
            removed.add(previous.answer()); // replaced: only the latest answer for an identity counts
            countDown(previous);
        }
        entries.put(identity, new Entry<>(practice, answer, nowMicros + retentionMicros));
        countByPractice.merge(practice, 1, Integer::sum);
        while (entries.size() > maxEntries) {
            removed.addAll(removeOldest(practiceWithMost(), 1));
        }
        discardedCount += removed.size();
        return removed;
    }

    private void countDown(Entry<T> removed) {
        countByPractice.computeIfPresent(removed.practice(), (practice, count) -> count > 1 ? count - 1 : null);
    }

    private String practiceWithMost() {
        return Collections.max(countByPractice.entrySet(), Map.Entry.comparingByValue())
                .getKey();
    }

    /** Removes and returns the expired answers. */
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
            countDown(entry);
        }
        discardedCount += removed.size();
        return removed;
    }

    /** Removes and returns the answers for a practice that has connected: at most {@code maxCount}, oldest first. */
    List<T> take(String practice, int maxCount) {
        return removeOldest(practice, maxCount);
    }

    private List<T> removeOldest(String practice, int maxCount) {
        List<T> removed = new ArrayList<>();
        Iterator<Entry<T>> iterator = entries.values().iterator();
        while (removed.size() < maxCount && iterator.hasNext()) {
            Entry<T> entry = iterator.next();
            if (entry.practice().equals(practice)) {
                removed.add(entry.answer());
                iterator.remove();
                countDown(entry);
            }
        }
        return removed;
    }

    /** Removes the answer for a message that its client has sent again; returns null if there was none. */
    T withdraw(String identity) {
        Entry<T> entry = entries.remove(identity);
        if (entry == null) {
            return null;
        }
        countDown(entry);
        return entry.answer();
    }

    /** The number of retained answers. */
    int size() {
        return entries.size();
    }

    /** The number of answers discarded before they were taken. */
    long discardedCount() {
        return discardedCount;
    }
}
