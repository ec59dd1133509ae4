package lilaclever.routing;

/** Where messages come from. All is called on the loop thread. */
public interface Front {
    /** The name under which the journal remembers whose message it is. */
    String name();

    /** The message is in the journal: the client may be told. */
    void onAccepted(Message message);

    /** The message was turned down in the turn of its hand-in; nothing is owed. */
    void onRejected(Message message, FinalStatus finalStatus);

    /** True where a message that comes again is asked for by the same client: one claim on its end is enough. */
    default boolean notifiesOnce() {
        return false;
    }

    /** A hand-in that joined a message could not be owed its end after all; of fronts whose identities are shared. */
    default void onAttachRejected(Message message, String id, FinalStatus finalStatus) {
        throw new IllegalStateException(name() + " shares no identities");
    }

    /**
     * A message taken on has ended. Runs {@code settled} when nothing more is owed to the client.
     *
     * @param id the id under which it was handed in here: the message's own, or that of a hand-in that joined it
     */
    void onFinalStatus(Message message, String id, FinalStatus finalStatus, Runnable settled);
}
