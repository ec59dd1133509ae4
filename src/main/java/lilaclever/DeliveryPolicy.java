package lilaclever;

import static lilaclever.PolicyState.NEVER;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import lilaclever.PolicyState.Call;
import lilaclever.PolicyState.DestinationLimit;
import lilaclever.PolicyState.DestinationQueue;
import lilaclever.PolicyState.Endpoint;
import lilaclever.PolicyState.Message;
import lilaclever.PolicyState.OrderedKey;
import lilaclever.PolicyState.SendCandidate;
import lilaclever.PolicyState.TimedCheck;

/**
 * All decisions of a relay. The interface (settings, events, actions, outcomes) is in DecisionModule.java.
 *
 * <p>Read from the top: constants, events, scheduling, sending, outcomes, limits and health. The fields
 * that are remembered are in PolicyState.java.
 * A message waits in the queue of its destination. A Limit is what takes so many calls a second: the whole
 * destination, or one endpoint where endpoints are routes apart. Every send passes {@link #gate},
 * every message ends in {@link #end}.
 */
final class DeliveryPolicy implements DecisionModule {

    // ---- constants: the design's ------------------------------------------------------------------------

    // ---- constants: departures --------------------------------------------------------------------------

    private final PolicyState state;
    private final SlowStart slowStart;
    private final RateEstimates rates;
    private final TransientFailures transientFailures;
    private final CallTimeouts timeouts;
    private final ConnectionReuse connections;
    private final OutageDetection outages;
    private final RecoveryPace recoveryPace;
    private final DestinationLimits limits;
    private final EndpointAvailability availability;
    private final RetrySchedule retries;
    private final KeyOrder keyOrder;
    private final SendRules rules;
    private final EndpointSelection selection;
    private final CallDispatch dispatch;
    private final Admission admission;
    private final EndpointDirectory directory;
    private final Map<String, Message> messages = new LinkedHashMap<>();
    private final Map<String, Endpoint> endpoints = new LinkedHashMap<>();
    private final Map<String, OrderedKey> lines = new LinkedHashMap<>();
    private final PriorityQueue<TimedCheck> dues =
            new PriorityQueue<>(Comparator.comparingLong(TimedCheck::at).thenComparingLong(TimedCheck::order));
    private long order;
    private long wakeAt = NEVER;

    DeliveryPolicy(Settings settings, long seed) {
        this.state = new PolicyState(settings, seed);
        this.slowStart = new SlowStart(state);
        this.rates = new RateEstimates(state, slowStart);
        this.transientFailures = new TransientFailures(state);
        this.timeouts = new CallTimeouts(state, transientFailures);
        this.connections = new ConnectionReuse(state);
        this.outages = new OutageDetection(state, slowStart, transientFailures, timeouts, connections);
        this.recoveryPace = new RecoveryPace(state, slowStart, rates, transientFailures);
        this.limits = new DestinationLimits(state, rates, slowStart, outages, recoveryPace);
        this.availability = new EndpointAvailability(
                state, slowStart, transientFailures, timeouts, connections, recoveryPace, limits);
        this.retries = new RetrySchedule(state);
        this.keyOrder = new KeyOrder(state, lines);
        this.rules = new SendRules(state, timeouts, retries, keyOrder, availability);
        this.selection = new EndpointSelection(state, connections, retries, availability, rules);
        this.dispatch = new CallDispatch(state, timeouts, connections, retries, rules, selection);
        this.admission = new Admission(state, rates, recoveryPace, limits, availability);
        this.directory = new EndpointDirectory(state, endpoints);
        // parts end
    }

    // ---- events -----------------------------------------------------------------------------------------
    @Override
    public List<Action> decide(long nowMicros, List<Event> events) {
        state.now = nowMicros;
        state.actions = new ArrayList<>();
        for (Event event : events) {
            if (event instanceof Event.Listing e) {
                directory.onListing(e);
            } else if (event instanceof Event.Submit e) {
                submit(e);
            } else if (event instanceof Event.Outcome e) {
                outcome(e);
            } else if (event instanceof Event.Withdrawn e && messages.containsKey(e.id())) {
                over(messages.get(e.id()));
            } else if (event instanceof Event.Stopping e) {
                state.stopAt = e.untilMicros();
            } else if (event instanceof Event.Renewed e) {
                state.settings = e.settings();
                messages.values().stream()
                        .filter(message -> message.inFlightTo == null
                                && message.attempts >= state.settings.limits().maxAttempts())
                        .toList()
                        .forEach(this::end);
            } else if (event instanceof Event.Timer) {
                wakeAt = wakeAt <= state.now ? NEVER : wakeAt;
            }
        }
        if (directory.askAt() <= state.now) {
            state.actions.add(new Action.Watch(true));
            directory.onAsked();
        }
        dueNow();
        List<SendCandidate> candidates = dispatch.candidates();
        selection.hopeless().forEach(this::end);
        selection.clearHopeless();
        long next = Math.min(dispatch.send(candidates), directory.askAt());
        connections.closeUnused();
        next = dues.isEmpty() ? next : Math.min(next, dues.peek().at());
        next = Math.max(next, state.now + state.settings.roundMicros());
        if (next < NEVER && (next < wakeAt || wakeAt <= state.now)) {
            state.actions.add(new Action.Wake(next - state.now, 0));
            wakeAt = next;
        }
        return state.actions;
    }

    private void submit(Event.Submit e) {
        MessageClass c = state.settings.classes().get(e.messageClass());
        Message message = new Message(e.id(), c);
        message.acceptedAt = state.now - Math.max(0, c.deadlineMicros() - e.budgetMicros());
        message.deadline = state.now + e.budgetMicros();
        message.queue = state.queues.computeIfAbsent(e.destination(), d -> new DestinationQueue());
        message.worth = c.worth() * (admission.isOverQuota(e.tenant()) ? state.settings.overShareWorth() : 1);
        if (c.ordered() && e.key() != null) {
            keyOrder.add(message, e.key());
        }
        messages.put(message.id, message);
        state.openMessages++;
        state.enqueue(message);
        if (e.prior() != null && resumed(message, e.prior())) {
            return;
        }
        checkAt(message.deadline - CallTimeouts.SHORTEST, message);
        if (admission.isNearlyFull()) {
            Message least = admission.leastWorth();
            if (least != null) {
                end(least);
            }
        }
    }

    /** Takes over what an earlier life did with a message; true if that has ended it. */
    private boolean resumed(Message message, Prior prior) {
        message.attempts = prior.attempts();
        message.mayHaveRun = prior.mayHaveRun();
        message.mayHaveRunSince = prior.riskAtMicros();
        message.mayHaveRunZone = prior.riskZone();
        message.resumed = true;
        if (retries.isExhausted(message) || state.now >= retries.windowEnd(message)) {
            end(message);
        } else if (retries.hasWindow(message)) {
            checkAt(retries.windowEnd(message), message);
        }
        return message.finished;
    }

    // ---- scheduling -------------------------------------------------------------------------------------
    /** Ends what has run out of time. Every message has an entry here, so none is forgotten. */
    private void dueNow() {
        while (!dues.isEmpty() && dues.peek().at() <= state.now) {
            Message message = dues.poll().message();
            if (message.finished) {
                keyOrder.forget(message);
            } else if (message.inFlightTo == null) {
                if (message.deadline - state.now <= CallTimeouts.SHORTEST || state.now >= retries.windowEnd(message)) {
                    end(message);
                }
            } else if (state.now >= message.deadline + state.settings.rules().answerSlackMicros() / 2) {
                end(message);
            } else {
                // The outcome comes at the deadline at the latest; if it doesn't, answer within the slack.
                checkAt(message.deadline + state.settings.rules().answerSlackMicros() / 2, message);
            }
        }
    }

    // ---- outcomes ---------------------------------------------------------------------------------------
    private void outcome(Event.Outcome e) {
        Message message = messages.get(e.id());
        if (message == null || message.inFlightTo == null || e.attempt() != message.attempts - 1) {
            return;
        }
        Endpoint endpoint = message.inFlightTo;
        Call call = message.call;
        message.inFlightTo = null;
        message.call = null;
        boolean ran = !e.ending().neverRan();
        if (--call.outcomesDue == 0) {
            dispatch.end(call);
            connections.onCallEnded(endpoint, e.ending());
        }
        boolean first = !call.outcomeSeen;
        call.outcomeSeen = true;
        if (e.ending() == Ending.DELIVERED) {
            endpoint.lastDeliveredSentAt = Math.max(endpoint.lastDeliveredSentAt, message.sentAt);
        }
        learn(e, endpoint, first);
        message.attempts -= e.ending() == Ending.WITHHELD ? 1 : 0;
        if (ran && e.ending() != Ending.DELIVERED && !message.mayHaveRun) {
            message.mayHaveRun = true;
            message.mayHaveRunSince = message.sentAt;
            message.mayHaveRunZone = endpoint.zone;
        }
        if (message.orderedKey != null
                && (e.ending() == Ending.TIMED_OUT || e.ending() == Ending.RESET || e.ending() == Ending.CANCELED)) {
            keyOrder.pause(message);
            checkAt(message.orderedKey.pausedUntil, message);
        }
        if (message.finished || e.over() || e.ending() == Ending.DELIVERED) {
            over(message);
        } else if (e.ending() == Ending.REJECTED) {
            // The design: a permanent failure ends a row at once.
            state.actions.add(new Action.Fail(message.id));
            over(message);
        } else if (e.ending() == Ending.WITHHELD && !endpoint.active) {
            state.enqueue(message); // its endpoint is leaving and got nothing: another may have it now
        } else {
            retry(message);
        }
    }

    /** The next try after a pause; or the end, at once, if none can come. */
    private void retry(Message message) {
        retries.pause(message);
        if (retries.hasWindow(message)) {
            checkAt(retries.windowEnd(message), message);
        }
        if (retries.canTryAgain(message)) {
            state.enqueue(message);
        } else {
            end(message);
        }
    }

    private void checkAt(long at, Message message) {
        dues.add(new TimedCheck(at, order++, message));
    }

    /** The one place that ends a message: refused where that is harmless, else failed. */
    private void end(Message message) {
        boolean mayRun = message.mayHaveRun || message.inFlightTo != null;
        boolean harmless = !mayRun
                || message.messageClass.repeat() == Repeat.SAFE
                || message.messageClass.repeat() == Repeat.KEYED && message.messageClass.group() == Group.ALL;
        state.actions.add(
                harmless
                        ? new Action.Refuse(message.id, admission.comeBackAfter(message.queue))
                        : new Action.Fail(message.id));
        over(message);
    }

    /** Forgets a message that is finished, as soon as no attempt is out. */
    private void over(Message message) {
        if (!message.finished) {
            message.finished = true;
            state.openMessages--;
            state.dequeue(message);
        }
        if (message.inFlightTo == null) {
            messages.remove(message.id);
            keyOrder.remove(message);
        }
    }

    // ---- limits and health ------------------------------------------------------------------------------
    /** What an outcome tells of its limit and endpoint; messages of one call tell it once. */
    private void learn(Event.Outcome e, Endpoint endpoint, boolean first) {
        DestinationLimit limit = endpoint.limit;
        limits.onReport(limit, e.report());
        limits.onWait(limit, e.waitMicros());
        switch (first ? e.ending() : Ending.NOT_SENT) {
            case DELIVERED -> taken(limit, endpoint, e.elapsedMicros());
            case FULL -> limits.onRefused(limit, endpoint, e.waitMicros(), e.report());
            case ERROR, TIMED_OUT, RESET, NO_CONNECTION, NO_ROOM, CANCELED ->
                outages.onFailure(limit, endpoint, e.ending(), e.elapsedMicros());
            default -> {}
        }
    }

    private void taken(DestinationLimit limit, Endpoint endpoint, long elapsed) {
        rates.onDelivered(limit, endpoint);
        timeouts.onDelivered(limit, elapsed);
        limits.onDelivered(limit);
        outages.onDelivered(limit, endpoint);
    }
}
