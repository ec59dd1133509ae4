package lilaclever.identity;

/**
 * An end that is remembered.
 *
 * @param result how the message ended
 * @param fingerprint what it said; null where that is not compared
 * @param untilWallMicros when it is forgotten, on the wall clock, microseconds
 */
public record CompletedMessage<E>(E result, Fingerprint fingerprint, long untilWallMicros) {}
