package lilaclever.identity;

/**
 * The remembered result of a completed message.
 *
 * @param result the result
 * @param fingerprint fingerprint of the message; null if duplicates are not compared by content
 * @param untilWallMicros when it expires, on the wall clock, microseconds
 */
public record CompletedMessage<E>(E result, Fingerprint fingerprint, long untilWallMicros) {}
