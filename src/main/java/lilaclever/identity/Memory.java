package lilaclever.identity;

/** Stores the results of completed messages; in the program, in the journal. */
public interface Memory<E> {
    /** The result stored for the identity, or null; it may have expired. */
    CompletedMessage<E> past(String identity);

    /** Number of stored results. */
    int size();

    /** Stores a result, replacing any earlier one of the identity. */
    void keep(String identity, CompletedMessage<E> past);

    /** Removes the result that expires first. */
    void forgetSoonest();
}
