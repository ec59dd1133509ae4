package lilaclever;

import java.util.LinkedHashSet;
import lilaclever.DecisionModule.Action;
import lilaclever.DecisionModule.AttemptResult;
import lilaclever.PolicyState.Endpoint;

/** Which idle connections to endpoints there are, as far as the module can know, and which of them are kept. */
final class ConnectionReuse {
    private final PolicyState state;
    /** Kinds of destination that have turned this forwarder away for want of room for a connection. */
    private final boolean[] scarceByKind;
    /** Endpoints that a call came back from in this round, and nothing went to since. */
    private final LinkedHashSet<Endpoint> idleThisRound = new LinkedHashSet<>();

    ConnectionReuse(PolicyState state) {
        this.state = state;
        this.scarceByKind = new boolean[Math.max(1, state.settings.kinds().size())];
    }

    /** Whether a call to the endpoint finds an idle connection; forgets those that were idle for too long. */
    boolean hasIdleConnection(Endpoint endpoint) {
        long keepAliveMicros = state.settings.limits().keepAliveMicros();
        while (!endpoint.idleSinceMicros.isEmpty() && endpoint.idleSinceMicros.peekFirst() + keepAliveMicros <= state.nowMicros) {
            endpoint.idleSinceMicros.removeFirst();
        }
        return !endpoint.idleSinceMicros.isEmpty();
    }

    /** A call goes out and takes the connection that was idle for the shortest time. */
    void onSend(Endpoint endpoint) {
        endpoint.idleSinceMicros.pollLast();
        idleThisRound.remove(endpoint);
    }

    /** A call has come back; its connection is idle now unless the ending says that there is none. */
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

    /** No connection to the endpoint came about: those that were idle are taken to be gone. */
    void onConnectFailed(Endpoint endpoint) {
        endpoint.idleSinceMicros.clear();
    }

    /** The endpoint has turned a connect away: connections to its kind are scarce from now on. */
    void onConnectRejected(Endpoint endpoint) {
        scarceByKind[endpoint.kindIndex] = true;
    }

    /**
     * Closes connections that nothing was sent on at the end of the round in which they became idle. Idle connections
     * fill what an endpoint takes from all forwarders, and one that has its own there never hears of those that got
     * none. So none is kept at a kind that has once turned this forwarder away for want of room, and none in a large
     * fleet, as what each learns alone comes late. Costs handshakes.
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
