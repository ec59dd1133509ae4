package lilaclever.identity;

/**
 * The remembered final status of a completed message.
 *
 * @param finalStatus the message's final status
 * @param fingerprint fingerprint of the message; null if duplicates are not compared by content
 * @param untilWallMicros when it expires, on the wall clock, microseconds
 */
public record CompletedMessage<E>(E finalStatus, Fingerprint fingerprint, long untilWallMicros) {}
