package lilaclever.identity;

import java.util.List;

/**
 * How long ends are remembered, and how many.
 *
 * @param classMicros for each class, by its number, how long after its end a message is known again, microseconds
 * @param defaultMicros for identities that are not shared (those of mails)
 * @param maxEntries ends remembered in all
 */
public record IdempotencyWindows(List<Long> classMicros, long defaultMicros, int maxEntries) {
    /** A copy that nobody can change. */
    public IdempotencyWindows {
        classMicros = List.copyOf(classMicros);
        if (maxEntries < 1) {
            throw new IllegalArgumentException("room for one end at least");
        }
    }

    /** The window of a message. */
    long windowMicros(String identity, int messageClass) {
        return Identity.isShared(identity) && messageClass < classMicros.size()
                ? classMicros.get(messageClass)
                : defaultMicros;
    }
}
