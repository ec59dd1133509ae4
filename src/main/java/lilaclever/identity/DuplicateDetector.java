package lilaclever.identity;

import java.util.HashMap;
import java.util.Map;

/**
 * Decides who a hand-in is: a new message, one that is held, one that has ended, or another one under a name that is
 * taken. No I/O, no clock, no thread: times are told, and what outlasts the process is behind {@link CompletedMessageStore}.
 *
 * <p>The rules:
 * <ul>
 * <li>What is held wins over what is remembered: a message that was refused may be under way again.
 * <li>An end is given again for the window of its class, counted from the end; later the identity is free.
 * <li>A refusal is not remembered: handing in again is what it asks for.
 * <li>With other content an identity clashes for as long as it is held or remembered. Neither message changes.
 * <li>Where more ends come than there is room for, the one whose time is up soonest is forgotten first. What is held is
 * never forgotten.
 * </ul>
 */
public final class DuplicateDetector<M, E> {
    private record Pending<M>(M message, Fingerprint fingerprint) {}

    private final IdempotencyWindows windows;
    private final CompletedMessageStore<E> completed;
    private final Map<String, Pending<M>> pending = new HashMap<>();
    private long forgottenEarly;

    /** Nothing is held yet. */
    public DuplicateDetector(IdempotencyWindows windows, CompletedMessageStore<E> completed) {
        this.windows = windows;
        this.completed = completed;
    }

    /**
     * What the hand-in is.
     *
     * @param content what it says; null where that is not compared
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
                : new DuplicateCheckResult.CompletedDuplicate<>(earlier.result());
    }

    private static boolean differs(Fingerprint a, Fingerprint b) {
        return a != null && b != null && !a.equals(b);
    }

    /** The message is held from now on. Nothing else may be held under its identity. */
    public void addPending(String identity, Fingerprint fingerprint, M message) {
        Pending<M> previous = pending.put(identity, new Pending<>(message, fingerprint));
        assert previous == null || previous.message() == message : identity + " is held twice";
    }

    /** The message is held no more; passed over if another one is held under the identity. */
    public void removePending(String identity, M message) {
        Pending<M> current = pending.get(identity);
        if (current != null && current.message() == message) {
            pending.remove(identity);
        }
    }

    /** The message has ended so that whoever asks again gets this end. */
    public void addCompleted(String identity, Fingerprint fingerprint, int messageClass, E result, long nowWallMicros) {
        CompletedMessage<E> previous = completed.find(identity);
        if (previous == null) {
            while (completed.size() >= windows.maxEntries()) {
                completed.removeSoonestExpiring();
                forgottenEarly++;
            }
        }
        completed.put(
                identity,
                new CompletedMessage<>(
                        result, fingerprint, nowWallMicros + windows.windowMicros(identity, messageClass)));
    }

    /** The message that is held under the identity, or null. */
    public M pending(String identity) {
        Pending<M> current = pending.get(identity);
        return current == null ? null : current.message();
    }

    /** Identities held. */
    public int pendingCount() {
        return pending.size();
    }

    /** Ends forgotten before their time, for want of room. */
    public long forgottenEarly() {
        return forgottenEarly;
    }
}
