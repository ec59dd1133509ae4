package lilaclever.routing;

/** Where messages come from. All is called on the loop thread. */
public interface Front {
    /** The name under which the journal remembers whose message it is. */
    String name();

    /** The message is in the journal: the client may be told. */
    void taken(Message message);

    /** The message was turned down in the turn of its hand-in; nothing is owed. */
    void turnedDown(Message message, Verdict verdict);

    /** A message taken on has ended. Runs {@code settled} when nothing more is owed to the client. */
    void ended(Message message, Verdict verdict, Runnable settled);
}
