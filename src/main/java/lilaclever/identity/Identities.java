package lilaclever.identity;

import java.util.HashMap;
import java.util.Map;

/**
 * Decides whether a submission is a new message, a duplicate of a pending or completed message, or a different message
 * under an identity in use. No I/O, no clock, no thread: times are passed in, and {@link Memory} persists the results.
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
public final class Identities<M, E> {
    private record Held<M>(M message, Fingerprint content) {}

    private final IdempotencyWindows windows;
    private final Memory<E> memory;
    private final Map<String, Held<M>> held = new HashMap<>();
    private long forgottenEarly;

    public Identities(IdempotencyWindows windows, Memory<E> memory) {
        this.windows = windows;
        this.memory = memory;
    }

    /**
     * Checks a submission.
     *
     * @param content its fingerprint; null if duplicates are not compared by content
     */
    public DuplicateCheck<M, E> rule(String identity, Fingerprint content, long nowWall) {
        Held<M> under = held.get(identity);
        if (under != null) {
            return differs(content, under.content())
                    ? new DuplicateCheck.Clash<>(true)
                    : new DuplicateCheck.Joins<>(under.message());
        }
        CompletedMessage<E> past = memory.past(identity);
        if (past == null || past.untilWall() <= nowWall) {
            return new DuplicateCheck.Fresh<>();
        }
        return differs(content, past.content())
                ? new DuplicateCheck.Clash<>(false)
                : new DuplicateCheck.Again<>(past.end());
    }

    private static boolean differs(Fingerprint a, Fingerprint b) {
        return a != null && b != null && !a.equals(b);
    }

    /** Adds a message that is pending from now on. No other message may be pending under its identity. */
    public void hold(String identity, Fingerprint content, M message) {
        Held<M> before = held.put(identity, new Held<>(message, content));
        assert before == null || before.message() == message : identity + " has two pending messages";
    }

    /** Removes a message that is no longer pending; no effect if another one is pending under the identity. */
    public void release(String identity, M message) {
        Held<M> under = held.get(identity);
        if (under != null && under.message() == message) {
            held.remove(identity);
        }
    }

    /** Remembers the result of a completed message for its duplicates. */
    public void ended(String identity, Fingerprint content, int messageClass, E end, long nowWall) {
        CompletedMessage<E> before = memory.past(identity);
        if (before == null) {
            while (memory.size() >= windows.most()) {
                memory.forgetSoonest();
                forgottenEarly++;
            }
        }
        memory.keep(identity, new CompletedMessage<>(end, content, nowWall + windows.of(identity, messageClass)));
    }

    /** The pending message of the identity, or null. */
    public M held(String identity) {
        Held<M> under = held.get(identity);
        return under == null ? null : under.message();
    }

    /** How many identities have a pending message. */
    public int size() {
        return held.size();
    }

    /** How many results were removed before they expired, for lack of capacity. */
    public long forgottenEarly() {
        return forgottenEarly;
    }
}
