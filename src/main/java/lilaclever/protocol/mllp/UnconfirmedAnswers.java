package lilaclever.protocol.mllp;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Final answers that are written to a connection whose client has not shown yet that it has read them. A client shows
 * it by a later message on the connection, or by closing it in order. No I/O and no clock. At the limit the oldest
 * answer of the session with the most goes, so that silent clients take no room from others.
 *
 * @param <S> the type of the sessions, compared by identity
 * @param <T> the type of the answers
 */
final class UnconfirmedAnswers<S, T> {
    private record Entry<S, T>(S session, T answer, long writtenMicros) {}

    private final int maxEntries;
    private final long minReadMicros;
    /** By the identity of the message, oldest first. */
    private final Map<String, Entry<S, T>> entries = new LinkedHashMap<>();

    private final Map<S, Set<String>> identitiesBySession = new HashMap<>();

    /**
     * Retains at most {@code maxEntries} answers.
     *
     * @param minReadMicros a message that is received earlier than this after an answer was written does not confirm
     *     it, as it may have been sent before
     */
    UnconfirmedAnswers(int maxEntries, long minReadMicros) {
        this.maxEntries = maxEntries;
        this.minReadMicros = minReadMicros;
    }

    /** Adds an answer that is written; returns those removed in its favour: replaced, or beyond the limit. */
    List<T> add(S session, String identity, T answer, long nowMicros) {
        List<T> removed = new ArrayList<>();
        T previous = withdraw(identity);
        if (previous != null) {
            removed.add(previous);
        }
        entries.put(identity, new Entry<>(session, answer, nowMicros));
        identitiesBySession.computeIfAbsent(session, s -> new LinkedHashSet<>()).add(identity);
        if (entries.size() > maxEntries) {
            removed.add(withdraw(oldestOfLargestSession()));
        }
        return removed;
    }

    private String oldestOfLargestSession() {
        return Collections.max(identitiesBySession.values(), Comparator.comparingInt(Set::size))
                .iterator()
                .next();
    }

    /** Removes and returns the answers that a message received at {@code receivedMicros} confirms. */
    List<T> confirmedBy(S session, long receivedMicros) {
        List<T> confirmed = new ArrayList<>();
        Iterator<String> oldest =
                List.copyOf(identitiesBySession.getOrDefault(session, Set.of())).iterator();
        while (oldest.hasNext()) {
            String identity = oldest.next();
            if (entries.get(identity).writtenMicros() + minReadMicros > receivedMicros) {
                break;
            }
            confirmed.add(withdraw(identity));
        }
        return confirmed;
    }

    /** Removes and returns all answers of a session that has ended. */
    List<T> removeAll(S session) {
        List<T> removed = new ArrayList<>();
        for (String identity : List.copyOf(identitiesBySession.getOrDefault(session, Set.of()))) {
            removed.add(withdraw(identity));
        }
        return removed;
    }

    /** Removes the answer for a message; returns null if there was none. */
    T withdraw(String identity) {
        Entry<S, T> entry = entries.remove(identity);
        if (entry == null) {
            return null;
        }
        Set<String> ofSession = identitiesBySession.get(entry.session());
        ofSession.remove(identity);
        if (ofSession.isEmpty()) {
            identitiesBySession.remove(entry.session());
        }
        return entry.answer();
    }

    /** True if the session has answers that are not confirmed. */
    boolean has(S session) {
        return identitiesBySession.containsKey(session);
    }

    /** The number of answers that are not confirmed. */
    int size() {
        return entries.size();
    }
}
