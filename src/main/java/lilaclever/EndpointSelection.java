package lilaclever;

import static lilaclever.PolicyState.NEVER;

import java.util.ArrayList;
import java.util.List;
import lilaclever.DecisionModule.MessageClass;
import lilaclever.DecisionModule.RepeatSafety;
import lilaclever.PolicyState.DestinationLimit;
import lilaclever.PolicyState.DestinationQueue;
import lilaclever.PolicyState.Endpoint;
import lilaclever.PolicyState.Message;
import lilaclever.PolicyState.SendCandidate;

/**
 * Which message of a destination goes next, and to which of its endpoints: the one that is worth most for the time that
 * it takes a slot, to the endpoint with the fewest calls, in the own zone and with an idle connection if possible.
 */
final class EndpointSelection {
    /** Messages looked at for one send: bounds the work of a long queue. */
    private static final int MAX_MESSAGES_CONSIDERED = 500;
    /** What a message at the end of its aim is preferred by over a fresh one. */
    private static final double BONUS_AT_AIM = 0.5;
    /** Factor on the worth of a keyed message that may have run: its window is running, and later is too late. */
    private static final double REPEAT_WORTH_FACTOR = 4;
    /** Factors on the worth of messages that a failing call may lose, at endpoints that fail or hang. */
    private static final double UNSAFE_WORTH_FACTOR = 0.01, KEYED_WORTH_FACTOR = 0.5;
    /** Least time that a call is taken to occupy a slot, microseconds. */
    private static final long MIN_SLOT_MICROS = 1_000;
    /** Costs of an endpoint, in calls that are in flight there: in another zone, ... */
    private static final double OTHER_ZONE_COST = 1;
    /** ... without an idle connection, ... */
    private static final double CONNECT_COST = 0.75;
    /** ... and where the message's last attempt went. */
    private static final double SAME_ENDPOINT_COST = 0.5;

    private final PolicyState state;
    private final ConnectionReuse connections;
    private final RetrySchedule retries;
    private final EndpointAvailability availability;
    private final SendRules rules;
    /** Waiting messages that were found to have no chance left, until they are taken out. */
    private final List<Message> undeliverable = new ArrayList<>();

    EndpointSelection(
            PolicyState state,
            ConnectionReuse connections,
            RetrySchedule retries,
            EndpointAvailability availability,
            SendRules rules) {
        this.state = state;
        this.connections = connections;
        this.retries = retries;
        this.availability = availability;
        this.rules = rules;
    }

    /**
     * Selects what may go from the queue now; null if nothing may. Lowers the queue's {@code nextCheckAt} to the time
     * from which something may that can't now, and notes messages for which that is too late.
     */
    SendCandidate select(DestinationQueue queue) {
        List<Endpoint> ready = new ArrayList<>();
        long soonestMicros = findReady(queue, ready);
        if (soonestMicros > state.nowMicros && soonestMicros < NEVER) {
            collectUndeliverable(queue, soonestMicros);
        }
        return best(queue, ready);
    }

    /** Collects endpoints that take a call now; gives the time from which one does or may turn out to do. */
    private long findReady(DestinationQueue queue, List<Endpoint> ready) {
        long soonestMicros = NEVER;
        for (Endpoint endpoint : queue.endpoints) {
            long readyAtMicros = endpoint.active ? availability.readyAtMicros(endpoint) : NEVER;
            soonestMicros = Math.min(soonestMicros, endpoint.callsInFlight > 0 ? state.nowMicros : readyAtMicros);
            if (readyAtMicros <= state.nowMicros) {
                ready.add(endpoint);
            } else {
                queue.nextCheckAtMicros = Math.min(queue.nextCheckAtMicros, readyAtMicros);
            }
        }
        return soonestMicros;
    }

    /**
     * Nothing may go before {@code soonest}, and no call is in flight whose outcome could change that: clients of
     * messages whose time is up by then are told now, and may find a forwarder that is not throttled.
     */
    private void collectUndeliverable(DestinationQueue queue, long soonestMicros) {
        for (Message message : queue.waiting) {
            if (soonestMicros > message.deadlineAtMicros - CallTimeouts.MIN_TIMEOUT_MICROS || soonestMicros >= retries.repeatWindowEndMicros(message)) {
                undeliverable.add(message);
            }
        }
    }

    /** Messages without a chance left, noted since {@link #clearUndeliverable}: the caller ends them. */
    List<Message> undeliverable() {
        return undeliverable;
    }

    /** Forgets the messages of {@link #undeliverablerable}. */
    void clearUndeliverable() {
        undeliverable.clear();
    }

    private SendCandidate best(DestinationQueue queue, List<Endpoint> ready) {
        SendCandidate best = null;
        int considered = 0;
        for (Message message : queue.waiting) {
            if (ready.isEmpty() || considered >= MAX_MESSAGES_CONSIDERED) {
                break;
            }
            if (message.notBeforeMicros > state.nowMicros) {
                queue.nextCheckAtMicros = Math.min(queue.nextCheckAtMicros, message.notBeforeMicros);
                continue;
            }
            considered++;
            if (best != null && rank(message, best.endpoint()) <= best.rank()) {
                continue;
            }
            best = better(message, ready, best);
        }
        return best;
    }

    /** The message as a candidate if it may go and ranks higher than {@code best}, which may be null; else that. */
    private SendCandidate better(Message message, List<Endpoint> ready, SendCandidate best) {
        Endpoint endpoint = choose(message, ready);
        if (endpoint == null) {
            return best;
        }
        double rank = rank(message, endpoint);
        return best == null || rank > best.rank() ? new SendCandidate(message, endpoint, rank) : best;
    }

    /** The endpoint of least cost that the message may go to; the first of equal ones, null if there is none. */
    Endpoint choose(Message message, List<Endpoint> ready) {
        Endpoint best = null;
        double lowestCost = 0;
        for (Endpoint endpoint : ready) {
            if (!rules.permit(message, endpoint)) {
                continue;
            }
            double cost = cost(message, endpoint);
            if (best == null || cost < lowestCost) {
                best = endpoint;
                lowestCost = cost;
            }
        }
        return best;
    }

    private double cost(Message message, Endpoint endpoint) {
        return endpoint.callsInFlight
                + (endpoint.zone == state.settings.zone() ? 0 : OTHER_ZONE_COST)
                + (connections.hasIdleConnection(endpoint) ? 0 : CONNECT_COST)
                + (message.lastEndpoint == endpoint ? SAME_ENDPOINT_COST : 0);
    }

    /** Worth of a message at an endpoint for the time that it takes a slot, in worth per microsecond. */
    double rank(Message message, Endpoint endpoint) {
        DestinationLimit limit = endpoint.limit;
        RepeatSafety repeat = message.messageClass.repeat();
        double worth = currentWorth(message);
        if (message.mayHaveRun && repeat == RepeatSafety.KEYED) {
            worth *= REPEAT_WORTH_FACTOR;
        }
        if ((endpoint.inOutage || endpoint.timingOut) && repeat != RepeatSafety.SAFE && !message.mayHaveRun) {
            // A call that fails may have run. Try a failing endpoint with what can be repeated.
            worth *= repeat == RepeatSafety.UNSAFE ? UNSAFE_WORTH_FACTOR : KEYED_WORTH_FACTOR;
        }
        return worth / Math.max(MIN_SLOT_MICROS, limit.meanResponseMicros > 0 ? limit.meanResponseMicros : state.overallMeanResponseMicros);
    }

    /**
     * What a message is worth if it goes now, and a little more the closer its aim is. Where more waits than goes, what
     * is late already must not make all that is fresh late too.
     */
    private double currentWorth(Message message) {
        MessageClass messageClass = message.messageClass;
        long aimMicros = messageClass.aimMicros();
        double lateness = (state.nowMicros - message.acceptedAtMicros - aimMicros) / (double) Math.max(1, aimMicros);
        if (lateness < 0) {
            return message.worth * (1 + BONUS_AT_AIM * (1 + lateness));
        }
        double remainingShare = messageClass.halves() ? Math.pow(0.5, lateness) : 1 - lateness * aimMicros / Math.max(1, messageClass.deadlineMicros() - aimMicros);
        return message.worth * Math.max(messageClass.lateShare(), remainingShare);
    }
}
