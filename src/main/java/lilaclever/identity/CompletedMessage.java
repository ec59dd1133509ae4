package lilaclever.identity;

/**
 * The remembered result of a completed message.
 *
 * @param end the result
 * @param content fingerprint of the message; null if duplicates are not compared by content
 * @param untilWall when it expires, on the wall clock, microseconds
 */
public record CompletedMessage<E>(E end, Fingerprint content, long untilWall) {}
