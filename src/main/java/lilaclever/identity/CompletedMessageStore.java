package lilaclever.identity;

/** Where ends are remembered; the journal, in the program. */
public interface CompletedMessageStore<E> {
    /** The end remembered under the identity, or null; it may be past its time. */
    CompletedMessage<E> find(String identity);

    /** How many are remembered. */
    int size();

    /** Remembers an end, in place of any earlier one. */
    void put(String identity, CompletedMessage<E> message);

    /** Forgets the one that would be forgotten next by time. */
    void removeSoonestExpiring();
}
