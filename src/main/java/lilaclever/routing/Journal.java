package lilaclever.routing;

import java.io.IOException;
import java.util.Collection;
import java.util.concurrent.Executor;
import lilaclever.identity.CompletedMessage;

/**
 * The write-ahead log of the core: each record is written before its consequence. All methods are called on the event
 * loop. Records that must exist before something happens ({@link #recordAccepted}, {@link #recordAttempt},
 * {@link #recordAttached}) return false if they could not be written, and then have no effect; the journal keeps all
 * others in memory and writes them as soon as it can.
 */
public interface Journal extends AutoCloseable {
    /** Sets the executor of the event loop, to which the journal's own threads post their callbacks. */
    void setLoop(Executor loop);

    /** Records an accepted message; false if there is no room for it, and then it must not be accepted. */
    boolean recordAccepted(String front, Submission submission, long deadlineWallMicros, long nowWallMicros);

    /** Records an attempt before it is made; false if it could not be written, and then it must not be made. */
    boolean recordAttempt(String id, String host, int zone, long wallMicros);

    /** The number that a zone of a pending message has in this process, or {@link ZoneNames#UNKNOWN_NUMBER}. */
    int zoneNumber(String zoneName);

    /** Records the end of an attempt. {@code neverRan}: the endpoint certainly did not process the message. */
    void recordOutcome(String id, boolean neverRan);

    /** Records the final status, of which the submitters are still to be notified. */
    void recordFinalStatus(String id, FinalStatus finalStatus);

    /**
     * Records the final status as {@link #recordFinalStatus(String, FinalStatus)} does, and retains of the body only
     * what the submitters' fronts need: what a client is owed takes no more space than necessary from other messages.
     */
    void recordFinalStatus(String id, FinalStatus finalStatus, byte[] remainingBody);

    /** Records that nothing more is to be done for the message. */
    void recordSettled(String id);

    /**
     * Records another submitter of a pending message, to be notified of its final status as well; false if it could not
     * be written, and then that submitter is not notified.
     */
    boolean recordAttached(String id, String front, String submitterId);

    /** Remembers a final status until its expiry, as the answer to duplicates of the message. */
    void remember(String identity, CompletedMessage<FinalStatus> message);

    /** Remembers a final status for an identity whose duplicates are not compared by content. */
    default void remember(String identity, FinalStatus finalStatus, long untilWallMicros) {
        remember(identity, new CompletedMessage<>(finalStatus, null, untilWallMicros));
    }

    /** The final status that is remembered for an identity, or null. */
    CompletedMessage<FinalStatus> remembered(String identity);

    /** Forgets the remembered final status that expires first. */
    void removeSoonestExpiring();

    /** Messages that were accepted and are not settled, in order of acceptance or later. */
    Collection<PendingMessage> pendingMessages();

    /** How many final statuses are remembered. */
    int rememberedCount();

    /**
     * Runs the task once all records written so far would survive a failure of the machine, in a later turn; at once if
     * the journal is not configured to guarantee that.
     */
    void whenDurable(Runnable consequence);

    /** Does a bounded amount of maintenance work, such as compaction; called once a turn. */
    void maintain(long nowWallMicros);

    @Override
    void close() throws IOException;
}
