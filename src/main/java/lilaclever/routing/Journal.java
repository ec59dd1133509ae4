package lilaclever.routing;

import java.io.IOException;
import java.util.Collection;
import java.util.concurrent.Executor;
import lilaclever.identity.CompletedMessage;

/**
 * What the core asks of the log that outlasts the process: each record is written before its consequence. All is
 * called on the loop thread. A record that must not be missing before something happens ({@link #recordAccepted},
 * {@link #recordAttempt}) is refused with false where it could not be written, and then nothing has happened; all others are
 * kept in mind by the journal and written as soon as it can.
 */
public interface Journal extends AutoCloseable {
    /** Tells where tasks for the loop are taken, for what other threads of the journal have to say. */
    void setLoop(Executor loop);

    /** Takes a message on; false if there is no room for it, and then it is not taken on. */
    boolean recordAccepted(String front, Submission submission, long deadlineWallMicros, long nowWallMicros);

    /** An attempt is about to be made; false if that could not be written, and then it must not be made. */
    boolean recordAttempt(String id, String host, int zone, long wallMicros);

    /** An attempt has ended. */
    void recordOutcome(String id, boolean neverRan);

    /** The message's end is decided and owed to its client. */
    void recordFinalStatus(String id, FinalStatus finalStatus);

    /** Nothing more is owed. */
    void recordSettled(String id);

    /**
     * Somebody else has handed in a message that is held, and is owed its end too under an id of their own; false if
     * that could not be written, and then nothing is owed.
     */
    boolean recordAttached(String id, String front, String submitterId);

    /** The end is to be given again to whoever resends the message, until its time. */
    void remember(String identity, CompletedMessage<FinalStatus> message);

    /** The same for an end whose message is not compared. */
    default void remember(String identity, FinalStatus finalStatus, long untilWallMicros) {
        remember(identity, new CompletedMessage<>(finalStatus, null, untilWallMicros));
    }

    /** The end that is remembered of a message, or null. */
    CompletedMessage<FinalStatus> remembered(String identity);

    /** Forgets the remembered end whose time is up soonest. */
    void forgetSoonestExpiring();

    /** All that is owed an end, in the order of taking on or later. */
    Collection<PendingMessage> pendingMessages();

    /** How many ends are remembered. */
    int rememberedCount();

    /**
     * Runs what must not happen before all records written so far would outlast a failure of the machine: at once
     * where the journal does not promise that, else in a later turn.
     */
    void whenDurable(Runnable consequence);

    /** The journal's own work, a bounded slice of it; called once a turn. */
    void maintain(long nowWallMicros);

    @Override
    void close() throws IOException;
}
