package lilaclever.identity;

/**
 * An end that is remembered.
 *
 * @param end how the message ended
 * @param content what it said; null where that is not compared
 * @param untilWall when it is forgotten, on the wall clock, microseconds
 */
public record Past<E>(E end, Fingerprint content, long untilWall) {}
