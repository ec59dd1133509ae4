package lilaclever.identity;

import java.util.List;

/**
 * How long results of completed messages are remembered, and how many.
 *
 * @param micros by class number, how long after completion a duplicate is recognised, microseconds
 * @param otherwise the same for identities that are not shared between fronts (those of mails)
 * @param most results remembered in all
 */
public record IdempotencyWindows(List<Long> micros, long otherwise, int most) {
    public IdempotencyWindows {
        micros = List.copyOf(micros);
        if (most < 1) {
            throw new IllegalArgumentException("at least one result must be remembered");
        }
    }

    /** How long the result of a message with this identity and class is remembered. */
    long of(String identity, int messageClass) {
        return Identity.isShared(identity) && messageClass < micros.size() ? micros.get(messageClass) : otherwise;
    }
}
