package lilaclever.identity;

/**
 * An end that is remembered.
 *
 * @param result how the message ended
 * @param content what it said; null where that is not compared
 * @param untilWall when it is forgotten, on the wall clock, microseconds
 */
public record CompletedMessage<E>(E result, Fingerprint content, long untilWall) {}
