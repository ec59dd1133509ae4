package lilaclever.identity;

/**
 * Result of checking a submission for duplicates by its identity.
 *
 * @param <M> a pending message
 * @param <E> the result of a completed message
 */
public sealed interface DuplicateCheck<M, E> {
    /** No message with this identity is known. */
    record Fresh<M, E>() implements DuplicateCheck<M, E> {}

    /** The message is pending: its final status answers this submission as well. */
    record Joins<M, E>(M held) implements DuplicateCheck<M, E> {}

    /** The message is completed, with this result. */
    record Again<M, E>(E end) implements DuplicateCheck<M, E> {}

    /** The identity belongs to a message with other content, which is pending or completed. */
    record Clash<M, E>(boolean held) implements DuplicateCheck<M, E> {}
}
