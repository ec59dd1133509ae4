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
 * Which message of a destination is sent next, and to which of its endpoints: the message that is worth most for the
 * time that it uses a slot, to the endpoint with the fewest calls, preferably in the own zone and with an idle
 * connection.
 */
final class EndpointSelection {
    /** Most messages considered for one send: bounds the work for a long queue. */
    private static final int MAX_MESSAGES_CONSIDERED = 500;
    /** Share by which the worth of a message at its aim exceeds that of a new one. */
    private static final double BONUS_AT_AIM = 0.5;
    /** Factor on the worth of a keyed message with an uncertain attempt, since its repeat window is passing. */
    private static final double REPEAT_WORTH_FACTOR = 4;
    /** Factors on the worth of messages that a failed call may lose, at endpoints that fail or time out. */
    private static final double UNSAFE_WORTH_FACTOR = 0.01, KEYED_WORTH_FACTOR = 0.5;
    /** Factor on the worth of a message that was probably delivered: it is sent again where capacity is left. */
    private static final double PROBABLY_DELIVERED_WORTH_FACTOR = 0.01;
    /** Shortest time that a call is assumed to use a slot. */
    private static final long MIN_SLOT_MICROS = 1_000;
    /** Cost of an endpoint in another zone, in calls in flight. */
    private static final double OTHER_ZONE_COST = 1;
    /** Cost of an endpoint without an idle connection, in calls in flight. */
    private static final double CONNECT_COST = 0.75;
    /** Cost of the endpoint of the message's last attempt, in calls in flight. */
    private static final double SAME_ENDPOINT_COST = 0.5;

    private final PolicyState state;
    private final ConnectionReuse connections;
    private final RetrySchedule retries;
    private final EndpointAvailability availability;
    private final SendRules rules;
    /** Waiting messages that can't be delivered in time, until the caller has given them up. */
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
     * Selects the message of the queue to send now and its endpoint; null if none can be sent. Lowers the queue's
     * {@link DestinationQueue#nextCheckAtMicros} to the time at which one may become sendable, and collects the
     * messages for which that is too late.
     */
    SendCandidate select(DestinationQueue queue) {
        List<Endpoint> ready = new ArrayList<>();
        long soonestMicros = findReady(queue, ready);
        if (soonestMicros > state.nowMicros && soonestMicros < NEVER) {
            collectUndeliverable(queue, soonestMicros);
        }
        return best(queue, ready);
    }

    /** Collects the endpoints that may get a call now; returns from when one may, or may turn out to. */
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
     * Collects the messages that expire before {@code soonestMicros}, before which nothing may be sent; no call is in
     * flight whose outcome could change that. Their clients are answered now, and may find a forwarder that isn't
     * throttled.
     */
    private void collectUndeliverable(DestinationQueue queue, long soonestMicros) {
        for (Message message : queue.waiting) {
            if (soonestMicros > message.deadlineAtMicros - CallTimeouts.MIN_TIMEOUT_MICROS
                    || soonestMicros >= retries.repeatWindowEndMicros(message)) {
                undeliverable.add(message);
            }
        }
    }

    /** Returns the undeliverable messages found since {@link #clearUndeliverable}; the caller gives them up. */
    List<Message> undeliverable() {
        return undeliverable;
    }

    /** Clears the collected undeliverable messages. */
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

    /** Returns the message as a candidate if it can be sent and ranks higher than {@code best}; else {@code best}. */
    private SendCandidate better(Message message, List<Endpoint> ready, SendCandidate best) {
        Endpoint endpoint = choose(message, ready);
        if (endpoint == null) {
            return best;
        }
        double rank = rank(message, endpoint);
        return best == null || rank > best.rank() ? new SendCandidate(message, endpoint, rank) : best;
    }

    /** Returns the endpoint of lowest cost that the message may be sent to; the first of equal ones, or null. */
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

    /** Worth of sending a message to an endpoint now, per microsecond that the call is expected to use a slot. */
    double rank(Message message, Endpoint endpoint) {
        DestinationLimit limit = endpoint.limit;
        RepeatSafety repeat = message.messageClass.repeat();
        double worth = currentWorth(message);
        if (message.probablyDelivered) {
            worth *= PROBABLY_DELIVERED_WORTH_FACTOR;
        } else if (message.mayHaveRun && repeat == RepeatSafety.KEYED) {
            worth *= REPEAT_WORTH_FACTOR;
        }
        if ((endpoint.inOutage || endpoint.timingOut) && repeat != RepeatSafety.SAFE && !message.mayHaveRun) {
            // A failed call may have taken effect: prefer messages that can be repeated for a failing endpoint.
            worth *= repeat == RepeatSafety.UNSAFE ? UNSAFE_WORTH_FACTOR : KEYED_WORTH_FACTOR;
        }
        return worth
                / Math.max(
                        MIN_SLOT_MICROS,
                        limit.meanResponseMicros > 0 ? limit.meanResponseMicros : state.overallMeanResponseMicros);
    }

    /**
     * Worth of a message if it is sent now, with a bonus that grows until its aim. Where more messages wait than can be
     * sent, those already late must not make all new ones late too.
     */
    private double currentWorth(Message message) {
        MessageClass messageClass = message.messageClass;
        long aimMicros = messageClass.aimMicros();
        double lateness = (state.nowMicros - message.acceptedAtMicros - aimMicros) / (double) Math.max(1, aimMicros);
        if (lateness < 0) {
            return message.worth * (1 + BONUS_AT_AIM * (1 + lateness));
        }
        double remainingShare = messageClass.halves()
                ? Math.pow(0.5, lateness)
                : 1 - lateness * aimMicros / Math.max(1, messageClass.deadlineMicros() - aimMicros);
        return message.worth * Math.max(messageClass.lateShare(), remainingShare);
    }
}
