package lilaclever.identity;

/**
 * Result of checking a submission for duplicates by its identity.
 *
 * @param <M> a pending message
 * @param <E> the final status of a completed message
 */
public sealed interface DuplicateCheckResult<M, E> {
    /** No message with this identity is known. */
    record NewMessage<M, E>() implements DuplicateCheckResult<M, E> {}

    /** The message is pending: its final status answers this submission as well. */
    record PendingDuplicate<M, E>(M pending) implements DuplicateCheckResult<M, E> {}

    /** The message is completed, with this final status. */
    record CompletedDuplicate<M, E>(E finalStatus) implements DuplicateCheckResult<M, E> {}

    /** The identity belongs to a message with other content, which is pending or completed. */
    record Conflict<M, E>(boolean isPending) implements DuplicateCheckResult<M, E> {}
}
