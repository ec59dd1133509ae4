package lilaclever.identity;

/** What a hand-in under an identity is. {@code M} is a message that is held, {@code E} an end. */
public sealed interface Ruling<M, E> {
    /** Nothing is known of it: a message of its own. */
    record Fresh<M, E>() implements Ruling<M, E> {}

    /** The message is held already: whoever handed this in gets its end too. */
    record Joins<M, E>(M held) implements Ruling<M, E> {}

    /** The message has ended, and this is the end. */
    record Again<M, E>(E end) implements Ruling<M, E> {}

    /** The identity belongs to a message that says something else; {@code held}: one that has not ended. */
    record Clash<M, E>(boolean held) implements Ruling<M, E> {}
}
