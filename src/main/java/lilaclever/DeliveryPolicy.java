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
import lilaclever.PolicyState.ScheduledCheck;
import lilaclever.PolicyState.SendCandidate;

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
 *   <li>{@link CallTimeouts}, {@link ConnectionReuse}, {@link RateEstimates}: timeouts, connections and rates.
 * </ul>
 *
 * <p>They share one {@link PolicyState}. A message waits in the queue of its destination. Every send is checked by
 * {@link SendRules#permit}; every message that is given up goes through {@link #giveUp}.
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
    /** Ordered keys that have messages or are paused, by key. */
    private final Map<String, OrderedKey> lines = new LinkedHashMap<>();
    /** Scheduled checks of messages, by time; every open message has one, so that none is missed at its deadline. */
    private final PriorityQueue<ScheduledCheck> dues = new PriorityQueue<>(
            Comparator.comparingLong(ScheduledCheck::atMicros).thenComparingLong(ScheduledCheck::sequence));

    private long checksAdded;
    /** When the next timer event is due. */
    private long wakeAtMicros = NEVER;

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
        state.nowMicros = nowMicros;
        state.actions = new ArrayList<>();
        for (Event event : events) {
            handle(event);
        }
        if (directory.watchAtMicros() <= state.nowMicros) {
            state.actions.add(new Action.Watch(true));
            directory.onWatchRequested();
        }
        giveUpOverdue();
        List<SendCandidate> candidates = dispatch.candidates();
        selection.undeliverable().forEach(this::giveUp);
        selection.clearUndeliverable();
        long nextCheckAtMicros = Math.min(dispatch.send(candidates), directory.watchAtMicros());
        connections.closeUnused();
        requestTimer(
                dues.isEmpty()
                        ? nextCheckAtMicros
                        : Math.min(nextCheckAtMicros, dues.peek().atMicros()));
        return state.actions;
    }

    private void handle(Event event) {
        if (event instanceof Event.Listing e) {
            directory.onListing(e);
        } else if (event instanceof Event.Submit e) {
            onSubmit(e);
        } else if (event instanceof Event.Outcome e) {
            onOutcome(e);
        } else if (event instanceof Event.Withdrawn e && messages.containsKey(e.id())) {
            finish(messages.get(e.id()));
        } else if (event instanceof Event.Stopping e) {
            state.stopAtMicros = e.untilMicros();
        } else if (event instanceof Event.SettingsChanged e) {
            onSettingsChanged(e);
        } else if (event instanceof Event.Timer) {
            wakeAtMicros = wakeAtMicros <= state.nowMicros ? NEVER : wakeAtMicros;
        }
    }

    /** Requests a timer at the given time, but at least one round from now, unless one is due before. */
    private void requestTimer(long timeMicros) {
        long timerAtMicros = Math.max(timeMicros, state.nowMicros + state.settings.roundMicros());
        if (timerAtMicros < NEVER && (timerAtMicros < wakeAtMicros || wakeAtMicros <= state.nowMicros)) {
            state.actions.add(new Action.Wake(timerAtMicros - state.nowMicros, 0));
            wakeAtMicros = timerAtMicros;
        }
    }

    private void onSettingsChanged(Event.SettingsChanged event) {
        state.settings = event.settings();
        int maxAttempts = state.settings.limits().maxAttempts();
        messages.values().stream()
                .filter(message -> message.inFlightEndpoint == null && message.attempts >= maxAttempts)
                .toList()
                .forEach(this::giveUp);
    }

    private void onSubmit(Event.Submit event) {
        Message message = newMessage(event);
        messages.put(message.id, message);
        state.openMessages++;
        state.enqueue(message);
        if (event.priorAttempts() != null) {
            resume(message, event.priorAttempts());
            if (message.finished) {
                return;
            }
        }
        scheduleCheck(message.deadlineAtMicros - CallTimeouts.MIN_TIMEOUT_MICROS, message);
        if (admission.isNearlyFull()) {
            Message leastWorthMessage = admission.leastWorthMessage();
            if (leastWorthMessage != null) {
                giveUp(leastWorthMessage);
            }
        }
    }

    private Message newMessage(Event.Submit event) {
        MessageClass messageClass = state.settings.classes().get(event.messageClass());
        Message message = new Message(event.id(), messageClass);
        message.acceptedAtMicros = state.nowMicros - Math.max(0, messageClass.deadlineMicros() - event.budgetMicros());
        message.deadlineAtMicros = state.nowMicros + event.budgetMicros();
        message.queue = state.queues.computeIfAbsent(event.destination(), d -> new DestinationQueue());
        message.worth = messageClass.worth()
                * (admission.isOverQuota(event.tenant()) ? state.settings.overQuotaWorthFactor() : 1);
        if (messageClass.ordered() && event.key() != null) {
            keyOrder.add(message, event.key());
        }
        return message;
    }

    /** Restores the attempts made before a restart, and gives the message up if no further attempt is allowed. */
    private void resume(Message message, PriorAttempts prior) {
        message.attempts = prior.attempts();
        message.mayHaveRun = prior.mayHaveRun();
        message.uncertainSentAtMicros = prior.uncertainSentAtMicros();
        message.uncertainZone = prior.uncertainZone();
        message.probablyDelivered = prior.probablyDelivered();
        message.resumed = true;
        if (retries.isExhausted(message) || state.nowMicros >= retries.repeatWindowEndMicros(message)) {
            giveUp(message);
        } else if (retries.hasRepeatWindow(message)) {
            scheduleCheck(retries.repeatWindowEndMicros(message), message);
        }
    }

    /** Gives up messages whose deadline or repeat window has passed. */
    private void giveUpOverdue() {
        while (!dues.isEmpty() && dues.peek().atMicros() <= state.nowMicros) {
            check(dues.poll().message());
        }
    }

    private void check(Message message) {
        // A call's outcome should be reported by the deadline; if it isn't, give the message up within the slack.
        long latestAnswerAtMicros =
                message.deadlineAtMicros + state.settings.rules().answerSlackMicros() / 2;
        if (message.finished) {
            keyOrder.removeIfUnused(message);
        } else if (message.inFlightEndpoint == null) {
            if (message.deadlineAtMicros - state.nowMicros <= CallTimeouts.MIN_TIMEOUT_MICROS
                    || state.nowMicros >= retries.repeatWindowEndMicros(message)) {
                giveUp(message);
            }
        } else if (state.nowMicros >= latestAnswerAtMicros) {
            giveUp(message);
        } else {
            scheduleCheck(latestAnswerAtMicros, message);
        }
    }

    private void scheduleCheck(long timeMicros, Message message) {
        dues.add(new ScheduledCheck(timeMicros, checksAdded++, message));
    }

    private void onOutcome(Event.Outcome event) {
        Message message = messages.get(event.id());
        if (message == null || message.inFlightEndpoint == null || event.attempt() != message.attempts - 1) {
            return;
        }
        Endpoint endpoint = message.inFlightEndpoint;
        endAttempt(message, event);
        noteUncertainAttempt(message, endpoint, event.result());
        if (message.orderedKey != null && mayStillBeRunning(event.result())) {
            keyOrder.pause(message);
            scheduleCheck(message.orderedKey.pausedUntilMicros, message);
        }
        if (message.finished || event.finished() || event.result() == AttemptResult.DELIVERED) {
            finish(message);
        } else if (event.result() == AttemptResult.REJECTED) {
            // A permanent failure ends a series of attempts at once.
            state.actions.add(new Action.Fail(message.id));
            finish(message);
        } else if (event.result().forbidsAttempts()) {
            giveUp(message);
        } else if (event.result() == AttemptResult.WITHHELD && !endpoint.active) {
            // The endpoint is draining and received nothing: another one may get the message without delay.
            state.enqueue(message);
        } else {
            retry(message);
        }
    }

    /** Removes the message from its call, and updates the state of the endpoint and its limit. */
    private void endAttempt(Message message, Event.Outcome event) {
        Endpoint endpoint = message.inFlightEndpoint;
        Call call = message.call;
        message.inFlightEndpoint = null;
        message.call = null;
        call.pendingOutcomes--;
        if (call.pendingOutcomes == 0) {
            dispatch.releaseSlot(call);
            connections.onCallEnded(endpoint, event.result());
        }
        if (event.result() == AttemptResult.DELIVERED) {
            endpoint.lastDeliveredSentAtMicros = Math.max(endpoint.lastDeliveredSentAtMicros, message.sentAtMicros);
        }
        limits.onReport(endpoint.limit, event.report());
        limits.onRetryAfter(endpoint.limit, event.retryAfterMicros());
        if (!call.outcomeReported) {
            call.outcomeReported = true;
            updateState(endpoint, event);
        }
        if (event.result() == AttemptResult.WITHHELD) {
            message.attempts--;
        }
    }

    /** Updates the state of a limit and endpoint from the first outcome of a call. */
    private void updateState(Endpoint endpoint, Event.Outcome event) {
        DestinationLimit limit = endpoint.limit;
        switch (event.result()) {
            case DELIVERED -> {
                rates.onDelivered(limit, endpoint);
                timeouts.onDelivered(limit, event.elapsedMicros());
                limits.onDelivered(limit);
                outages.onDelivered(limit, endpoint);
            }
            case FULL -> limits.onRefused(limit, endpoint, event.retryAfterMicros(), event.report());
            case ERROR, TIMED_OUT, RESET, NO_CONNECTION, NO_ROOM, CANCELED ->
                outages.onFailure(limit, endpoint, event.result(), event.elapsedMicros());
            default -> {}
        }
    }

    /** Records the message's first uncertain attempt. */
    private static void noteUncertainAttempt(Message message, Endpoint endpoint, AttemptResult result) {
        boolean mayHaveRun = !result.neverRan() && result != AttemptResult.DELIVERED;
        if (mayHaveRun && !message.mayHaveRun) {
            message.mayHaveRun = true;
            message.uncertainSentAtMicros = message.sentAtMicros;
            message.uncertainZone = endpoint.zone;
        }
    }

    /** Whether an attempt with this result may still be running at its endpoint. */
    private static boolean mayStillBeRunning(AttemptResult result) {
        return result == AttemptResult.TIMED_OUT || result == AttemptResult.RESET || result == AttemptResult.CANCELED;
    }

    /** Schedules the next attempt after a delay, or gives the message up at once if none is possible. */
    private void retry(Message message) {
        retries.scheduleRetry(message);
        if (retries.hasRepeatWindow(message)) {
            scheduleCheck(retries.repeatWindowEndMicros(message), message);
        }
        if (retries.canRetry(message)) {
            state.enqueue(message);
        } else {
            giveUp(message);
        }
    }

    /** The only place where a message is given up: refuses it if that is safe, else fails it. */
    private void giveUp(Message message) {
        if (isSafeToRefuse(message)) {
            state.actions.add(new Action.Refuse(message.id, admission.retryAfterMicros(message.queue)));
        } else {
            state.actions.add(new Action.Fail(message.id));
        }
        finish(message);
    }

    /** Whether the client may submit the message again: no attempt can have taken effect, or a repeat is harmless. */
    private static boolean isSafeToRefuse(Message message) {
        boolean mayHaveEffect = message.mayHaveRun || message.inFlightEndpoint != null;
        RepeatSafety repeat = message.messageClass.repeat();
        boolean isKeyedEverywhere = repeat == RepeatSafety.KEYED && message.messageClass.group() == KeyScope.ALL;
        return !mayHaveEffect || repeat == RepeatSafety.SAFE || isKeyedEverywhere;
    }

    /** Marks a message as finished, and removes it once no attempt is in flight. */
    private void finish(Message message) {
        if (!message.finished) {
            message.finished = true;
            state.openMessages--;
            state.dequeue(message);
        }
        if (message.inFlightEndpoint == null) {
            messages.remove(message.id);
            keyOrder.remove(message);
        }
    }
}
