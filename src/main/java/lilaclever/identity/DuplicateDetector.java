package lilaclever.identity;

import java.util.HashMap;
import java.util.Map;

/**
 * Decides whether a submission is a new message, a duplicate of a pending or completed message, or a different message
 * under an identity in use. No I/O, no clock, no thread: times are passed in, and {@link CompletedMessageStore} persists the results.
 *
 * <p>The rules:
 * <ul>
 * <li>Pending messages take precedence over remembered results: a refused message may have been submitted again.
 * <li>A result is returned to duplicates for the window of its class, counted from completion; then the identity is
 * free.
 * <li>A refusal is not remembered, since it asks the client to submit again.
 * <li>Other content under an identity is a conflict as long as that is pending or remembered. Neither message changes.
 * <li>If the results exceed the capacity, the one that expires first is removed. Pending messages are never removed.
 * </ul>
 *
 * @param <M> a pending message
 * @param <E> the result of a completed message
 */
public final class DuplicateDetector<M, E> {
    private record Held<M>(M message, Fingerprint content) {}

    private final IdempotencyWindows windows;
    private final CompletedMessageStore<E> memory;
    private final Map<String, Held<M>> held = new HashMap<>();
    private long forgottenEarly;

    public DuplicateDetector(IdempotencyWindows windows, CompletedMessageStore<E> memory) {
        this.windows = windows;
        this.memory = memory;
    }

    /**
     * Checks a submission.
     *
     * @param content its fingerprint; null if duplicates are not compared by content
     */
    public DuplicateCheckResult<M, E> check(String identity, Fingerprint content, long nowWall) {
        Held<M> under = held.get(identity);
        if (under != null) {
            return differs(content, under.content())
                    ? new DuplicateCheckResult.Conflict<>(true)
                    : new DuplicateCheckResult.PendingDuplicate<>(under.message());
        }
        CompletedMessage<E> past = memory.find(identity);
        if (past == null || past.untilWallMicros() <= nowWall) {
            return new DuplicateCheckResult.NewMessage<>();
        }
        return differs(content, past.fingerprint())
                ? new DuplicateCheckResult.Conflict<>(false)
                : new DuplicateCheckResult.CompletedDuplicate<>(past.result());
    }

    private static boolean differs(Fingerprint a, Fingerprint b) {
        return a != null && b != null && !a.equals(b);
    }

    /** Adds a message that is pending from now on. No other message may be pending under its identity. */
    public void addPending(String identity, Fingerprint content, M message) {
        Held<M> before = held.put(identity, new Held<>(message, content));
        assert before == null || before.message() == message : identity + " has two pending messages";
    }

    /** Removes a message that is no longer pending; no effect if another one is pending under the identity. */
    public void removePending(String identity, M message) {
        Held<M> under = held.get(identity);
        if (under != null && under.message() == message) {
            held.remove(identity);
        }
    }

    /** Remembers the result of a completed message for its duplicates. */
    public void addCompleted(String identity, Fingerprint content, int messageClass, E end, long nowWall) {
        CompletedMessage<E> before = memory.find(identity);
        if (before == null) {
            while (memory.size() >= windows.maxEntries()) {
                memory.removeSoonestExpiring();
                forgottenEarly++;
            }
        }
        memory.put(identity, new CompletedMessage<>(end, content, nowWall + windows.windowMicros(identity, messageClass)));
    }

    /** The pending message of the identity, or null. */
    public M pending(String identity) {
        Held<M> under = held.get(identity);
        return under == null ? null : under.message();
    }

    /** How many identities have a pending message. */
    public int pendingCount() {
        return held.size();
    }

    /** How many results were removed before they expired, for lack of capacity. */
    public long forgottenEarly() {
        return forgottenEarly;
    }
}
