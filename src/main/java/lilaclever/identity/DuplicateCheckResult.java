package lilaclever.identity;

/** What a hand-in under an identity is. {@code M} is a message that is held, {@code E} an end. */
public sealed interface DuplicateCheckResult<M, E> {
    /** Nothing is known of it: a message of its own. */
    record NewMessage<M, E>() implements DuplicateCheckResult<M, E> {}

    /** The message is held already: whoever handed this in gets its end too. */
    record PendingDuplicate<M, E>(M pending) implements DuplicateCheckResult<M, E> {}

    /** The message has ended, and this is the end. */
    record CompletedDuplicate<M, E>(E result) implements DuplicateCheckResult<M, E> {}

    /** The identity belongs to a message that says something else; {@code held}: one that has not ended. */
    record Conflict<M, E>(boolean isPending) implements DuplicateCheckResult<M, E> {}
}
