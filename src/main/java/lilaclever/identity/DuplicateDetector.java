package lilaclever.identity;

import java.util.HashMap;
import java.util.Map;

/**
 * Decides whether a submission is a new message, a duplicate of a pending or completed message, or a different message
 * under an identity in use. No I/O, no clock, no thread: times are passed in, and {@link CompletedMessageStore}
 * persists the results.
 *
 * <p>The rules:
 * <ul>
 * <li>Pending messages take precedence over remembered results: a refused message may have been submitted again.
 * <li>A result is returned to duplicates for the window of its class, counted from completion; then the identity is
 * free.
 * <li>A refusal is not remembered, since it asks the client to submit again.
 * <li>Other content under an identity is a conflict as long as the first message is pending or remembered. Neither
 * message changes.
 * <li>If the results exceed the capacity, the one that expires first is removed. Pending messages are never removed.
 * </ul>
 *
 * @param <M> a pending message
 * @param <E> the result of a completed message
 */
public final class DuplicateDetector<M, E> {
    private record Pending<M>(M message, Fingerprint fingerprint) {}

    private final IdempotencyWindows windows;
    private final CompletedMessageStore<E> completed;
    private final Map<String, Pending<M>> pending = new HashMap<>();
    private long removedEarly;

    public DuplicateDetector(IdempotencyWindows windows, CompletedMessageStore<E> completed) {
        this.windows = windows;
        this.completed = completed;
    }

    /**
     * Checks a submission.
     *
     * @param fingerprint its fingerprint; null if duplicates are not compared by content
     */
    public DuplicateCheckResult<M, E> check(String identity, Fingerprint fingerprint, long nowWallMicros) {
        Pending<M> current = pending.get(identity);
        if (current != null) {
            return differs(fingerprint, current.fingerprint())
                    ? new DuplicateCheckResult.Conflict<>(true)
                    : new DuplicateCheckResult.PendingDuplicate<>(current.message());
        }
        CompletedMessage<E> earlier = completed.find(identity);
        if (earlier == null || earlier.untilWallMicros() <= nowWallMicros) {
            return new DuplicateCheckResult.NewMessage<>();
        }
        return differs(fingerprint, earlier.fingerprint())
                ? new DuplicateCheckResult.Conflict<>(false)
                : new DuplicateCheckResult.CompletedDuplicate<>(earlier.finalStatus());
    }

    private static boolean differs(Fingerprint a, Fingerprint b) {
        return a != null && b != null && !a.equals(b);
    }

    /** Adds a message that is pending from now on. No other message may be pending under its identity. */
    public void addPending(String identity, Fingerprint fingerprint, M message) {
        Pending<M> previous = pending.put(identity, new Pending<>(message, fingerprint));
        assert previous == null || previous.message() == message : identity + " has two pending messages";
    }

    /** Removes a message that is no longer pending; no effect if another one is pending under the identity. */
    public void removePending(String identity, M message) {
        Pending<M> current = pending.get(identity);
        if (current != null && current.message() == message) {
            pending.remove(identity);
        }
    }

    /** Remembers the result of a completed message for its duplicates, for this long. */
    public void addCompleted(
            String identity, Fingerprint fingerprint, long windowMicros, E result, long nowWallMicros) {
        CompletedMessage<E> previous = completed.find(identity);
        if (previous == null) {
            while (completed.size() >= windows.maxEntries()) {
                completed.removeSoonestExpiring();
                removedEarly++;
            }
        }
        completed.put(identity, new CompletedMessage<>(result, fingerprint, nowWallMicros + windowMicros));
    }

    /** The pending message of the identity, or null. */
    public M pending(String identity) {
        Pending<M> current = pending.get(identity);
        return current == null ? null : current.message();
    }

    /** How many identities have a pending message. */
    public int pendingCount() {
        return pending.size();
    }

    /** How many results were removed before they expired, for lack of capacity. */
    public long removedEarly() {
        return removedEarly;
    }
}
