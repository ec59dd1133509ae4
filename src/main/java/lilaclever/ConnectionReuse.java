package lilaclever;

import java.util.LinkedHashSet;
import lilaclever.DecisionModule.Action;
import lilaclever.DecisionModule.Ending;
import lilaclever.PolicyState.Endpoint;

/** Tracks idle connections to endpoints, as far as the module can know them, and decides which are closed. */
final class ConnectionReuse {
    private final PolicyState state;
    /** By endpoint kind: whether an endpoint has rejected a connection of this forwarder. */
    private final boolean[] scarce;
    /** Endpoints at which a call ended in this round, and to which none was sent since. */
    private final LinkedHashSet<Endpoint> freed = new LinkedHashSet<>();

    ConnectionReuse(PolicyState state) {
        this.state = state;
        this.scarce = new boolean[Math.max(1, state.settings.kinds().size())];
    }

    /** Whether a call to the endpoint would find an idle connection; forgets those that have expired. */
    boolean isWarm(Endpoint endpoint) {
        long keepAlive = state.settings.limits().keepAliveMicros();
        while (!endpoint.idleSince.isEmpty() && endpoint.idleSince.peekFirst() + keepAlive <= state.now) {
            endpoint.idleSince.removeFirst();
        }
        return !endpoint.idleSince.isEmpty();
    }

    /** A call is being sent: it uses the connection that was idle for the shortest time. */
    void onSend(Endpoint endpoint) {
        endpoint.idleSince.pollLast();
        freed.remove(endpoint);
    }

    /** A call ended: its connection is idle now unless the result means that there is none. */
    void onCallEnded(Endpoint endpoint, Ending ending) {
        boolean closed = switch (ending) {
            case NO_CONNECTION, NO_ROOM, RESET, NOT_SENT -> true;
            default -> false;
        };
        if (!closed) {
            endpoint.idleSince.addLast(state.now);
            freed.add(endpoint);
        }
    }

    /** A connect to the endpoint failed: its idle connections are assumed to be closed. */
    void onConnectFailed(Endpoint endpoint) {
        endpoint.idleSince.clear();
    }

    /** The endpoint rejected a connect: connections to its kind are scarce from now on. */
    void onTurnedAway(Endpoint endpoint) {
        scarce[endpoint.kind] = true;
    }

    /**
     * At the end of a round, closes the connections that became idle in it and weren't used again. Idle connections use
     * up the number that an endpoint accepts from all forwarders, and a forwarder that has one doesn't notice that
     * others get none. So none is kept to an endpoint kind that has ever rejected a connection of this forwarder, and
     * none in a large fleet, where each forwarder would notice too late. This costs extra handshakes.
     */
    void closeUnused() {
        freed.forEach(this::closeUnused);
        freed.clear();
    }

    private void closeUnused(Endpoint endpoint) {
        if (state.largeFleet || scarce[endpoint.kind] && endpoint.queue.waiting.isEmpty()) {
            state.actions.add(new Action.CloseIdle(endpoint.host));
            endpoint.idleSince.clear();
        }
    }
}
