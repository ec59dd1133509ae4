package lilaclever.identity;

/** Stores the results of completed messages; in the program, in the journal. */
public interface CompletedMessageStore<E> {
    /** The result stored for the identity, or null; it may have expired. */
    CompletedMessage<E> find(String identity);

    /** Number of stored results. */
    int size();

    /** Stores a result, replacing any earlier one of the identity. */
    void put(String identity, CompletedMessage<E> message);

    /** Removes the result that expires first. */
    void removeSoonestExpiring();
}
