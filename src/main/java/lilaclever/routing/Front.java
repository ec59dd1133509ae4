package lilaclever.routing;

/** A client-facing protocol server. All methods are called on the event loop. */
public interface Front {
    /** The name that identifies this front in the journal. */
    String name();

    /** The destination of a message that an earlier process accepted: routes may have changed since. */
    default int destinationOf(Submission accepted) {
        return accepted.destination();
    }

    /** The message is recorded durably, so its acceptance may be reported to the client. */
    void onAccepted(Message message);

    /** The message was rejected in the turn in which it was submitted; no final status follows. */
    void onRejected(Message message, FinalStatus finalStatus);

    /**
     * True if duplicates come from the same client, asking again for the result: then one submitter of this front is
     * notified for each message.
     */
    default boolean notifiesOnce() {
        return false;
    }

    /**
     * True if a refused message has not ended: this front keeps it and takes it up again with {@link Core#reopen} until
     * it is delivered or the front gives it up.
     */
    default boolean retriesRefused() {
        return false;
    }

    /**
     * The part of the body that this front needs to notify its client of the final status; the rest is not retained
     * while the client can't be notified. A front that has not been restarted may use the whole body until it is
     * notified.
     */
    default byte[] bodyForNotification(Submission submission) {
        return submission.body();
    }

    /**
     * A duplicate that was attached to a pending message could not be recorded and will not be notified. Called only on
     * fronts that use shared identities.
     */
    default void onAttachRejected(Message message, String id, FinalStatus finalStatus) {
        throw new IllegalStateException(name() + " shares no identities");
    }

    /**
     * An accepted message has its final status. The front runs {@code settled} once its client is notified.
     *
     * @param id the id under which this front submitted it: the message's own, or that of an attached duplicate
     */
    void onFinalStatus(Message message, String id, FinalStatus finalStatus, Runnable settled);
}
