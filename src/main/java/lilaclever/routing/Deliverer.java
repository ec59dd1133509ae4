package lilaclever.routing;

/** Carries calls to endpoints. All is called on the loop thread; outcomes go to {@link Core#attemptEnded}. */
public interface Deliverer {
    /** Starts a call. Each of its messages gets one outcome. */
    void start(Call call);

    /** Stops waiting for a call and closes its connection; the outcomes follow by the next turn. */
    void abort(Call call);

    /**
     * A message that travels with others must not go any more: it has ended, or its time for this attempt is up. It
     * leaves the call, as one that was not sent, if none of the call's bytes can have left. A connection that comes up
     * later must not carry it.
     */
    default void removeMessage(Call call, Message message) {}

    /**
     * The call's endpoint is draining or gone: takes the call back if none of its bytes is written yet. Its messages
     * end as withheld by the next turn. A call that is on its way goes on.
     */
    void cancelUnsent(Call call);

    /** Closes idle connections to an endpoint. */
    void closeIdle(Call.Endpoint endpoint);

    /** Checks an endpoint; the answer goes to {@link Core#probeEnded}. */
    void probe(Call.Endpoint endpoint);
}
