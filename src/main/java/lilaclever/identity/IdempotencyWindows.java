package lilaclever.identity;

import java.util.List;

/**
 * How long ends are remembered, and how many.
 *
 * @param micros for each class, by its number, how long after its end a message is known again, microseconds
 * @param otherwise for identities that are not shared (those of mails)
 * @param most ends remembered in all
 */
public record IdempotencyWindows(List<Long> micros, long otherwise, int most) {
    /** A copy that nobody can change. */
    public IdempotencyWindows {
        micros = List.copyOf(micros);
        if (most < 1) {
            throw new IllegalArgumentException("room for one end at least");
        }
    }

    /** The window of a message. */
    long of(String identity, int messageClass) {
        return Identity.isShared(identity) && messageClass < micros.size() ? micros.get(messageClass) : otherwise;
    }
}
