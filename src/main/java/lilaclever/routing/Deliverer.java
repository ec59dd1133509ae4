package lilaclever.routing;

/** Sends calls to endpoints. All methods are called on the event loop; outcomes go to {@link Core#attemptEnded}. */
public interface Deliverer {
    /** Starts a call. Exactly one outcome is reported for each of its messages. */
    void start(Call call);

    /** Aborts a call and closes its connection; the outcomes follow by the next turn. */
    void abort(Call call);

    /**
     * Removes a message that must no longer be sent from a call with several: it has its final status, or the attempt
     * has expired. If no byte of the call can have been sent, the message leaves the call as not sent, and must not be
     * written to a connection that is established later.
     */
    default void removeMessage(Call call, Message message) {}

    /**
     * Cancels a call whose endpoint drains, or whose message has ended, if no byte of it has been written. Its attempts
     * end as withheld by the next turn. A call that has been written, even in part, goes on.
     */
    void cancelUnsent(Call call);

    /** Closes idle connections to an endpoint. */
    void closeIdle(Call.Endpoint endpoint);

    /** Probes an endpoint; the result goes to {@link Core#probeEnded}. */
    void probe(Call.Endpoint endpoint);
}
