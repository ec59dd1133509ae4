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
 * The implementation of the decision module: handles the events of a round, follows each message from its submission to
 * its final status and returns the actions of the round. The individual decisions are made by these classes:
 *
 * <ul>
 *   <li>{@link EndpointDirectory}: which endpoints there are;
 *   <li>{@link Admission}: tenant quotas, and which message is refused under load;
 *   <li>{@link EndpointSelection}, {@link CallDispatch}: which message is sent next, and to which endpoint;
 *   <li>{@link SendRules}, {@link KeyOrder}: conditions that every send must satisfy;
 *   <li>{@link RetrySchedule}: when a message is retried;
 *   <li>{@link EndpointAvailability}: when an endpoint may get a call, from {@link DestinationLimits} (rate limits and
 *       retry-after periods), {@link OutageDetection}, {@link TransientFailures}, {@link RecoveryPace} and
 *       {@link SlowStart};
 *   <li>{@link CallTimeouts}, {@link ConnectionReuse}, {@link RateEstimates}: time-outs, connections and rates.
 * </ul>
 *
 * <p>They share one {@link PolicyState}. A message waits in the queue of its destination. Every send is checked by
 * {@link SendRules#permit}; every message that is given up goes through {@link #end}.
 */
final class DeliveryPolicy implements DecisionModule {
    private final PolicyState state;
    private final RateEstimates rates;
    private final CallTimeouts timeouts;
    private final ConnectionReuse connections;
    private final OutageDetection outages;
    private final DestinationLimits limits;
    private final RetrySchedule retries;
    private final KeyOrder keyOrder;
    private final EndpointSelection selection;
    private final CallDispatch dispatch;
    private final Admission admission;
    private final EndpointDirectory directory;
    /** Messages without a final status or with a call in flight, by id. */
    private final Map<String, Message> messages = new LinkedHashMap<>();
    /** Endpoints by host. */
    private final Map<String, Endpoint> endpoints = new LinkedHashMap<>();
    /** Ordered keys with messages, or paused. */
    private final Map<String, OrderedKey> lines = new LinkedHashMap<>();
    /** Scheduled checks by time; every open message has one, so that none is missed at its deadline. */
    private final PriorityQueue<TimedCheck> dues =
            new PriorityQueue<>(Comparator.comparingLong(TimedCheck::at).thenComparingLong(TimedCheck::order));

    private long checksAdded;
    /** When the next timer event is due. */
    private long wakeAt = NEVER;

    /** Creates a module that knows no endpoints; {@code seed} is that of its random numbers. */
    DeliveryPolicy(Settings settings, long seed) {
        state = new PolicyState(settings, seed);
        SlowStart slowStart = new SlowStart(state);
        TransientFailures transientFailures = new TransientFailures(state);
        rates = new RateEstimates(state, slowStart);
        timeouts = new CallTimeouts(state, transientFailures);
        connections = new ConnectionReuse(state);
        outages = new OutageDetection(state, slowStart, transientFailures, timeouts, connections);
        RecoveryPace recoveryPace = new RecoveryPace(state, slowStart, rates, transientFailures);
        limits = new DestinationLimits(state, rates, slowStart, outages, recoveryPace);
        EndpointAvailability availability = new EndpointAvailability(
                state, slowStart, transientFailures, timeouts, connections, recoveryPace, limits);
        retries = new RetrySchedule(state);
        keyOrder = new KeyOrder(state, lines);
        SendRules rules = new SendRules(state, timeouts, retries, keyOrder, availability);
        selection = new EndpointSelection(state, connections, retries, availability, rules);
        dispatch = new CallDispatch(state, timeouts, connections, retries, rules, selection);
        admission = new Admission(state, rates, recoveryPace, limits, availability);
        directory = new EndpointDirectory(state, endpoints);
    }

    @Override
    public List<Action> decide(long nowMicros, List<Event> events) {
        state.now = nowMicros;
        state.actions = new ArrayList<>();
        for (Event event : events) {
            read(event);
        }
        if (directory.askAt() <= state.now) {
            state.actions.add(new Action.Watch(true));
            directory.onAsked();
        }
        endOverdue();
        List<SendCandidate> candidates = dispatch.candidates();
        selection.hopeless().forEach(this::end);
        selection.clearHopeless();
        long next = Math.min(dispatch.send(candidates), directory.askAt());
        connections.closeUnused();
        wakeFor(dues.isEmpty() ? next : Math.min(next, dues.peek().at()));
        return state.actions;
    }

    private void read(Event event) {
        if (event instanceof Event.Listing e) {
            directory.onListing(e);
        } else if (event instanceof Event.Submit e) {
            onSubmit(e);
        } else if (event instanceof Event.Outcome e) {
            onOutcome(e);
        } else if (event instanceof Event.Withdrawn e && messages.containsKey(e.id())) {
            finish(messages.get(e.id()));
        } else if (event instanceof Event.Stopping e) {
            state.stopAt = e.untilMicros();
        } else if (event instanceof Event.Renewed e) {
            onRenewed(e);
        } else if (event instanceof Event.Timer) {
            wakeAt = wakeAt <= state.now ? NEVER : wakeAt;
        }
    }

    /** Requests a timer at the given time, but not within one round, unless one is due before. */
    private void wakeFor(long time) {
        long next = Math.max(time, state.now + state.settings.roundMicros());
        if (next < NEVER && (next < wakeAt || wakeAt <= state.now)) {
            state.actions.add(new Action.Wake(next - state.now, 0));
            wakeAt = next;
        }
    }

    private void onRenewed(Event.Renewed event) {
        state.settings = event.settings();
        int maxAttempts = state.settings.limits().maxAttempts();
        messages.values().stream()
                .filter(message -> message.inFlightTo == null && message.attempts >= maxAttempts)
                .toList()
                .forEach(this::end);
    }

    private void onSubmit(Event.Submit event) {
        Message message = message(event);
        messages.put(message.id, message);
        state.openMessages++;
        state.enqueue(message);
        if (event.prior() != null) {
            resume(message, event.prior());
            if (message.finished) {
                return;
            }
        }
        checkAt(message.deadline - CallTimeouts.SHORTEST, message);
        if (admission.isNearlyFull()) {
            Message least = admission.leastWorth();
            if (least != null) {
                end(least);
            }
        }
    }

    private Message message(Event.Submit event) {
        MessageClass kind = state.settings.classes().get(event.messageClass());
        Message message = new Message(event.id(), kind);
        message.acceptedAt = state.now - Math.max(0, kind.deadlineMicros() - event.budgetMicros());
        message.deadline = state.now + event.budgetMicros();
        message.queue = state.queues.computeIfAbsent(event.destination(), d -> new DestinationQueue());
        message.worth = kind.worth() * (admission.isOverQuota(event.tenant()) ? state.settings.overShareWorth() : 1);
        if (kind.ordered() && event.key() != null) {
            keyOrder.add(message, event.key());
        }
        return message;
    }

    /** Restores the attempts made before a restart, and gives the message up if no further attempt is allowed. */
    private void resume(Message message, Prior prior) {
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
    }

    /** Gives up messages whose deadline or repeat window has passed. */
    private void endOverdue() {
        while (!dues.isEmpty() && dues.peek().at() <= state.now) {
            check(dues.poll().message());
        }
    }

    private void check(Message message) {
        // A call's outcome should be reported by the deadline; if it isn't, give the message up within the slack.
        long latestAnswerAt = message.deadline + state.settings.rules().answerSlackMicros() / 2;
        if (message.finished) {
            keyOrder.forget(message);
        } else if (message.inFlightTo == null) {
            if (message.deadline - state.now <= CallTimeouts.SHORTEST || state.now >= retries.windowEnd(message)) {
                end(message);
            }
        } else if (state.now >= latestAnswerAt) {
            end(message);
        } else {
            checkAt(latestAnswerAt, message);
        }
    }

    private void checkAt(long time, Message message) {
        dues.add(new TimedCheck(time, checksAdded++, message));
    }

    private void onOutcome(Event.Outcome event) {
        Message message = messages.get(event.id());
        if (message == null || message.inFlightTo == null || event.attempt() != message.attempts - 1) {
            return;
        }
        Endpoint endpoint = message.inFlightTo;
        endAttempt(message, event);
        noteRisk(message, endpoint, event.ending());
        if (message.orderedKey != null && wasGivenUp(event.ending())) {
            keyOrder.pause(message);
            checkAt(message.orderedKey.pausedUntil, message);
        }
        if (message.finished || event.over() || event.ending() == Ending.DELIVERED) {
            finish(message);
        } else if (event.ending() == Ending.REJECTED) {
            // A permanent failure ends a series of attempts at once.
            state.actions.add(new Action.Fail(message.id));
            finish(message);
        } else if (event.ending() == Ending.WITHHELD && !endpoint.active) {
            // The endpoint is draining and received nothing: another one may get the message without delay.
            state.enqueue(message);
        } else {
            retry(message);
        }
    }

    /** Removes the message from its call, and updates the state of the endpoint and its limit. */
    private void endAttempt(Message message, Event.Outcome event) {
        Endpoint endpoint = message.inFlightTo;
        Call call = message.call;
        message.inFlightTo = null;
        message.call = null;
        call.outcomesDue--;
        if (call.outcomesDue == 0) {
            dispatch.end(call);
            connections.onCallEnded(endpoint, event.ending());
        }
        if (event.ending() == Ending.DELIVERED) {
            endpoint.lastDeliveredSentAt = Math.max(endpoint.lastDeliveredSentAt, message.sentAt);
        }
        limits.onReport(endpoint.limit, event.report());
        limits.onWait(endpoint.limit, event.waitMicros());
        if (!call.outcomeSeen) {
            call.outcomeSeen = true;
            learn(endpoint, event);
        }
        if (event.ending() == Ending.WITHHELD) {
            message.attempts--;
        }
    }

    /** Updates the state of a limit and endpoint from the first outcome of a call. */
    private void learn(Endpoint endpoint, Event.Outcome event) {
        DestinationLimit limit = endpoint.limit;
        switch (event.ending()) {
            case DELIVERED -> {
                rates.onDelivered(limit, endpoint);
                timeouts.onDelivered(limit, event.elapsedMicros());
                limits.onDelivered(limit);
                outages.onDelivered(limit, endpoint);
            }
            case FULL -> limits.onRefused(limit, endpoint, event.waitMicros(), event.report());
            case ERROR, TIMED_OUT, RESET, NO_CONNECTION, NO_ROOM, CANCELED ->
                outages.onFailure(limit, endpoint, event.ending(), event.elapsedMicros());
            default -> {}
        }
    }

    /** Records the message's first uncertain attempt. */
    private static void noteRisk(Message message, Endpoint endpoint, Ending ending) {
        boolean mayHaveRun = !ending.neverRan() && ending != Ending.DELIVERED;
        if (mayHaveRun && !message.mayHaveRun) {
            message.mayHaveRun = true;
            message.mayHaveRunSince = message.sentAt;
            message.mayHaveRunZone = endpoint.zone;
        }
    }

    /** Whether an attempt with this result may still be running at its endpoint. */
    private static boolean wasGivenUp(Ending ending) {
        return ending == Ending.TIMED_OUT || ending == Ending.RESET || ending == Ending.CANCELED;
    }

    /** Schedules the next attempt after a delay, or gives the message up at once if none is possible. */
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

    /** The only place where a message is given up: refuses it if that is safe, else fails it. */
    private void end(Message message) {
        if (isHarmlessToRefuse(message)) {
            state.actions.add(new Action.Refuse(message.id, admission.comeBackAfter(message.queue)));
        } else {
            state.actions.add(new Action.Fail(message.id));
        }
        finish(message);
    }

    /** Whether the client may submit the message again: no attempt may have taken effect, or a repeat is harmless. */
    private static boolean isHarmlessToRefuse(Message message) {
        boolean mayRun = message.mayHaveRun || message.inFlightTo != null;
        Repeat repeat = message.messageClass.repeat();
        boolean keyedEverywhere = repeat == Repeat.KEYED && message.messageClass.group() == Group.ALL;
        return !mayRun || repeat == Repeat.SAFE || keyedEverywhere;
    }

    /** Marks a message as finished, and removes it once no attempt is in flight. */
    private void finish(Message message) {
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
}
