package lilaclever.identity;

import java.util.Map;

/**
 * How long results of completed messages are remembered, and how many.
 *
 * @param classMicros by class name, how long after completion a duplicate is recognized, microseconds; a class that
 *     is not listed, since it was removed or added later, has the default of its kind
 * @param defaultMicros the same for identities that are not shared between fronts (those of mails)
 * @param maxEntries results remembered in all
 */
public record IdempotencyWindows(Map<String, Long> classMicros, long defaultMicros, int maxEntries) {
    private static final long HOUR_MICROS = 3_600_000_000L, UNSAFE_HOURS = 24;

    public IdempotencyWindows {
        classMicros = Map.copyOf(classMicros);
        if (maxEntries < 1) {
            throw new IllegalArgumentException("at least one result must be remembered");
        }
    }

    /** How long the result of a message with this identity and class is remembered. */
    public long windowMicros(String identity, String className, boolean isUnsafeToRepeat) {
        return Identity.isShared(identity)
                ? classMicros.getOrDefault(className, defaultForClassMicros(isUnsafeToRepeat))
                : defaultMicros;
    }

    /** The window of a class for which none is configured: long for messages that must not be repeated. */
    public static long defaultForClassMicros(boolean isUnsafeToRepeat) {
        return isUnsafeToRepeat ? UNSAFE_HOURS * HOUR_MICROS : HOUR_MICROS;
    }
}
