package lilaclever;

import java.util.LinkedHashSet;
import lilaclever.DecisionModule.Action;
import lilaclever.DecisionModule.AttemptResult;
import lilaclever.PolicyState.Endpoint;

/** Tracks idle connections to endpoints, as far as the module can know them, and decides which are closed. */
final class ConnectionReuse {
    private final PolicyState state;
    /** By endpoint kind: whether an endpoint has rejected a connection of this forwarder. */
    private final boolean[] scarceByKind;
    /** Endpoints at which a call ended in this round, and to which none was sent since. */
    private final LinkedHashSet<Endpoint> idleThisRound = new LinkedHashSet<>();

    ConnectionReuse(PolicyState state) {
        this.state = state;
        this.scarceByKind = new boolean[Math.max(1, state.settings.kinds().size())];
    }

    /** Whether a call to the endpoint would find an idle connection; forgets those that have expired. */
    boolean hasIdleConnection(Endpoint endpoint) {
        long keepAliveMicros = state.settings.limits().keepAliveMicros();
        while (!endpoint.idleSinceMicros.isEmpty()
                && endpoint.idleSinceMicros.peekFirst() + keepAliveMicros <= state.nowMicros) {
            endpoint.idleSinceMicros.removeFirst();
        }
        return !endpoint.idleSinceMicros.isEmpty();
    }

    /** A call is being sent: it uses the connection that was idle for the shortest time. */
    void onSend(Endpoint endpoint) {
        endpoint.idleSinceMicros.pollLast();
        idleThisRound.remove(endpoint);
    }

    /** A call ended: its connection is idle now unless the result means that there is none. */
    void onCallEnded(Endpoint endpoint, AttemptResult result) {
        boolean closed = switch (result) {
            case NO_CONNECTION, NO_ROOM, RESET, NOT_SENT -> true;
            default -> false;
        };
        if (!closed) {
            endpoint.idleSinceMicros.addLast(state.nowMicros);
            idleThisRound.add(endpoint);
        }
    }

    /** A connect to the endpoint failed: its idle connections are assumed to be closed. */
    void onConnectFailed(Endpoint endpoint) {
        endpoint.idleSinceMicros.clear();
    }

    /** The endpoint rejected a connect: connections to its kind are scarce from now on. */
    void onConnectRejected(Endpoint endpoint) {
        scarceByKind[endpoint.kindIndex] = true;
    }

    /**
     * At the end of a round, closes the connections that became idle in it and weren't used again. Idle connections use
     * up the number that an endpoint accepts from all forwarders, and a forwarder that has one doesn't notice that
     * others get none. So none is kept to an endpoint kind that has ever rejected a connection of this forwarder, and
     * none in a large fleet, where each forwarder would notice too late. This costs extra handshakes.
     */
    void closeUnused() {
        idleThisRound.forEach(this::closeUnused);
        idleThisRound.clear();
    }

    private void closeUnused(Endpoint endpoint) {
        if (state.largeFleet || scarceByKind[endpoint.kindIndex] && endpoint.queue.waiting.isEmpty()) {
            state.actions.add(new Action.CloseIdle(endpoint.host));
            endpoint.idleSinceMicros.clear();
        }
    }
}
