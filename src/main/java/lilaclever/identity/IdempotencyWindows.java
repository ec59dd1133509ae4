package lilaclever.identity;

import java.util.List;

/**
 * How long results of completed messages are remembered, and how many.
 *
 * @param classMicros by class number, how long after completion a duplicate is recognized, microseconds
 * @param defaultMicros the same for identities that are not shared between fronts (those of mails)
 * @param maxEntries results remembered in all
 */
public record IdempotencyWindows(List<Long> classMicros, long defaultMicros, int maxEntries) {
    public IdempotencyWindows {
        classMicros = List.copyOf(classMicros);
        if (maxEntries < 1) {
            throw new IllegalArgumentException("at least one result must be remembered");
        }
    }

    /** How long the result of a message with this identity and class is remembered. */
    long windowMicros(String identity, int messageClass) {
        return Identity.isShared(identity) && messageClass < classMicros.size()
                ? classMicros.get(messageClass)
                : defaultMicros;
    }
}
