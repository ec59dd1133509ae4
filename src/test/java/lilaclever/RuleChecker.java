package lilaclever;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import lilaclever.DecisionModule.Action;
import lilaclever.DecisionModule.AttemptResult;
import lilaclever.DecisionModule.Event;
import lilaclever.DecisionModule.KeyScope;
import lilaclever.DecisionModule.MessageClass;
import lilaclever.DecisionModule.Presence;
import lilaclever.DecisionModule.RepeatSafety;
import lilaclever.DecisionModule.Settings;

/**
 * Follows the events and actions of a decision module, and records each breach of the rules that it must keep. It has
 * no model of a destination: for the rule on recovering destinations, the caller says when an outage ended and what
 * the capacity is.
 */
final class RuleChecker {
    private static final double BUDGET_TOLERANCE_CALLS = 3;

    private final Settings settings;
    private final List<String> breaches = new ArrayList<>();
    private final Map<String, TrackedMessage> messages = new LinkedHashMap<>();
    private final Map<String, TrackedHost> hosts = new HashMap<>();
    private final Map<String, List<TrackedMessage>> messagesByKey = new HashMap<>();
    private final Map<String, Long> keyDelayedUntilMicros = new HashMap<>();
    /** By key: the message with the abandoned attempt, which may be sent again during the delay of the key. */
    private final Map<String, TrackedMessage> keyDelayExempt = new HashMap<>();

    private final Map<String, Long> retryAfterUntilMicros = new HashMap<>();
    private final Map<String, Recovery> recoveries = new HashMap<>();
    private int attemptsInFlight;

    private static final class TrackedMessage {
        private MessageClass messageClass;
        private int destination;
        private String key;
        private long answerByMicros;
        private int attempts;
        private String inFlightTo;
        private long sentAtMicros;
        private boolean mayHaveRun;
        private long mayHaveRunSinceMicros;
        private int mayHaveRunZone;
        private boolean finished;
        private long withdrawnAtMicros = -1;
    }

    private static final class TrackedHost {
        private int destination;
        private int zone;
        private boolean ownLimit;
        private long removedAtMicros = Long.MAX_VALUE;
    }

    /** A limit that recovers from an outage, and the calls sent to it. */
    private static final class Recovery {
        private double capacityPerSecond;
        private long startMicros = Long.MAX_VALUE;
        private boolean breachReported;
        private final List<Long> sendTimesMicros = new ArrayList<>();
    }

    RuleChecker(Settings settings) {
        this.settings = settings;
    }

    List<String> breaches() {
        return breaches;
    }

    /** Ids of messages that are not finished. */
    Set<String> openMessages() {
        Set<String> ids = new LinkedHashSet<>();
        messages.forEach((id, message) -> {
            if (!message.finished) {
                ids.add(id);
            }
        });
        return ids;
    }

    /** From this time on, calls to the host's limit count against its capacity (calls a second after slow start). */
    void startRecovery(String host, long startMicros, double capacityPerSecond) {
        Recovery recovery = recoveries.computeIfAbsent(limitOf(host), k -> new Recovery());
        recovery.capacityPerSecond = capacityPerSecond;
        recovery.startMicros = startMicros;
    }

    private String limitOf(String host) {
        TrackedHost trackedHost = hosts.get(host);
        return trackedHost.ownLimit ? host : "destination " + trackedHost.destination;
    }

    void checkRound(long nowMicros, List<Event> events, List<Action> actions) {
        for (Event event : events) {
            if (event instanceof Event.Listing e) {
                onListing(nowMicros, e);
            } else if (event instanceof Event.Submit e) {
                onSubmit(nowMicros, e);
            } else if (event instanceof Event.Outcome e) {
                onOutcome(nowMicros, e);
            } else if (event instanceof Event.Withdrawn e && messages.containsKey(e.id())) {
                // An answer in the same round crosses the withdrawal; the client ignores it.
                messages.get(e.id()).withdrawnAtMicros = messages.get(e.id()).finished ? -1 : nowMicros;
                messages.get(e.id()).finished = true;
            }
        }
        Set<String> limitsInRetryAfter = new LinkedHashSet<>();
        retryAfterUntilMicros.forEach((limit, untilMicros) -> {
            if (nowMicros < untilMicros) {
                limitsInRetryAfter.add(limit);
            }
        });
        for (Action action : actions) {
            if (action instanceof Action.Send a) {
                onSend(nowMicros, a, limitsInRetryAfter);
            } else if (action instanceof Action.Refuse a) {
                onAnswer(nowMicros, a.id(), true);
            } else if (action instanceof Action.Fail a) {
                onAnswer(nowMicros, a.id(), false);
            }
        }
        messages.forEach((id, message) -> {
            if (!message.finished
                    && nowMicros > message.answerByMicros + settings.rules().answerSlackMicros()) {
                breach(nowMicros, "lost", id + " has no answer by its deadline");
                message.finished = true;
            }
        });
        recoveries.forEach((limit, recovery) -> checkBudget(nowMicros, limit, recovery));
    }

    private void breach(long nowMicros, String rule, String text) {
        breaches.add(rule + ": at " + nowMicros + " " + text);
    }

    private void onListing(long nowMicros, Event.Listing e) {
        if (e.kind() == DecisionModule.ListingKind.ALL || e.kind() == DecisionModule.ListingKind.REMEMBERED) {
            Set<String> named = new LinkedHashSet<>();
            e.entries().forEach(x -> named.add(x.host()));
            hosts.forEach((host, trackedHost) -> {
                if (!named.contains(host)) {
                    trackedHost.removedAtMicros = Math.min(trackedHost.removedAtMicros, nowMicros);
                }
            });
        }
        for (DecisionModule.EndpointEntry entry : e.entries()) {
            TrackedHost trackedHost = hosts.computeIfAbsent(entry.host(), k -> new TrackedHost());
            trackedHost.destination = entry.destination();
            trackedHost.zone = entry.zone();
            trackedHost.ownLimit = entry.kind() < settings.kinds().size()
                    && settings.kinds().get(entry.kind()).limitPerEndpoint();
            trackedHost.removedAtMicros = entry.presence() == Presence.ACTIVE
                    ? Long.MAX_VALUE
                    : Math.min(trackedHost.removedAtMicros, nowMicros);
        }
    }

    private void onSubmit(long nowMicros, Event.Submit e) {
        TrackedMessage message = new TrackedMessage();
        message.messageClass = settings.classes().get(e.messageClass());
        message.destination = e.destination();
        message.key = message.messageClass.ordered() ? e.key() : null;
        message.answerByMicros = nowMicros + e.budgetMicros();
        messages.put(e.id(), message);
        if (message.key != null) {
            messagesByKey.computeIfAbsent(message.key, k -> new ArrayList<>()).add(message);
        }
    }

    private void onOutcome(long nowMicros, Event.Outcome e) {
        TrackedMessage message = messages.get(e.id());
        if (message == null || message.inFlightTo == null || e.attempt() != message.attempts - 1) {
            return;
        }
        attemptsInFlight--;
        boolean mayHaveEffect = !e.result().neverRan();
        if (mayHaveEffect && e.result() != AttemptResult.DELIVERED && !message.mayHaveRun) {
            message.mayHaveRun = true;
            message.mayHaveRunSinceMicros = message.sentAtMicros;
            message.mayHaveRunZone = hosts.get(message.inFlightTo).zone;
        }
        message.attempts -= e.result() == AttemptResult.WITHHELD ? 1 : 0; // a withheld call is no attempt
        if (e.retryAfterMicros() > 0) {
            retryAfterUntilMicros.merge(limitOf(message.inFlightTo), nowMicros + e.retryAfterMicros(), Math::max);
        }
        if (message.key != null
                && (e.result() == AttemptResult.TIMED_OUT
                        || e.result() == AttemptResult.RESET
                        || e.result() == AttemptResult.CANCELED)) {
            keyDelayedUntilMicros.put(message.key, nowMicros + settings.rules().orderPauseMicros());
            keyDelayExempt.put(message.key, message);
        }
        message.inFlightTo = null;
        message.finished |= e.finished() || e.result() == AttemptResult.DELIVERED;
    }

    private void onSend(long nowMicros, Action.Send a, Set<String> limitsInRetryAfter) {
        TrackedMessage message = messages.get(a.id());
        TrackedHost trackedHost = hosts.get(a.host());
        if (message == null || trackedHost == null || trackedHost.destination != message.destination) {
            breach(nowMicros, "fault", a + " names an unknown message or host, or a host of another destination");
            return;
        }
        if (message.finished) {
            breach(nowMicros, "lost", a.id() + " is sent after it was finished");
        }
        if (message.inFlightTo != null) {
            breach(nowMicros, "effect", a.id() + " has two attempts in flight");
        }
        if (message.mayHaveRun && message.messageClass.repeat() == RepeatSafety.UNSAFE) {
            breach(nowMicros, "effect", a.id() + " is unsafe, may have run and is sent again");
        }
        if (message.mayHaveRun && message.messageClass.repeat() == RepeatSafety.KEYED) {
            if (nowMicros - message.mayHaveRunSinceMicros > message.messageClass.repeatWindowMicros()) {
                breach(nowMicros, "effect", a.id() + " is repeated after its repeat window");
            }
            if (message.messageClass.group() == KeyScope.ZONE && trackedHost.zone != message.mayHaveRunZone) {
                breach(nowMicros, "effect", a.id() + " is repeated outside its group");
            }
        }
        if (trackedHost.removedAtMicros != Long.MAX_VALUE
                && nowMicros > trackedHost.removedAtMicros + settings.rules().drainGraceMicros()) {
            breach(nowMicros, "drain", a.host() + " is sent to after its drain grace period");
        }
        if (limitsInRetryAfter.contains(limitOf(a.host()))) {
            breach(nowMicros, "wait", a.host() + " is sent to during its retry-after period");
        }
        if (message.attempts >= settings.limits().maxAttempts()) {
            breach(nowMicros, "attempts", a.id() + " has no attempt left");
        }
        if (message.key != null) {
            checkOrder(nowMicros, a, message);
        }
        message.attempts++;
        message.inFlightTo = a.host();
        message.sentAtMicros = nowMicros;
        attemptsInFlight++;
        Recovery recovery = recoveries.get(limitOf(a.host()));
        if (recovery != null) {
            recovery.sendTimesMicros.add(nowMicros);
        }
    }

    private void checkOrder(long nowMicros, Action.Send a, TrackedMessage message) {
        for (TrackedMessage earlier : messagesByKey.get(message.key)) {
            if (earlier == message) {
                break;
            }
            if (!earlier.finished || earlier.inFlightTo != null) {
                breach(nowMicros, "order", a.id() + " is sent before an earlier message of its key is finished");
            }
        }
        if (nowMicros < keyDelayedUntilMicros.getOrDefault(message.key, 0L)
                && keyDelayExempt.get(message.key) != message) {
            breach(nowMicros, "order", a.id() + " is sent during the delay of its key");
        }
    }

    private void onAnswer(long nowMicros, String id, boolean refused) {
        TrackedMessage message = messages.get(id);
        if (message == null) {
            breach(nowMicros, "fault", id + " is unknown");
            return;
        }
        if (message.finished && message.withdrawnAtMicros != nowMicros) {
            breach(nowMicros, "lost", id + " is answered twice");
        }
        boolean mayHaveEffect = message.mayHaveRun || message.inFlightTo != null;
        if (refused
                && mayHaveEffect
                && (message.messageClass.repeat() == RepeatSafety.UNSAFE
                        || message.messageClass.repeat() == RepeatSafety.KEYED
                                && message.messageClass.group() != KeyScope.ALL)) {
            breach(nowMicros, "effect", id + " may have run and is refused");
        }
        message.finished = true;
    }

    /** Calls sent in any window of a recovery must not exceed overload multiple x present capacity x window. */
    private void checkBudget(long nowMicros, String limit, Recovery recovery) {
        if (nowMicros < recovery.startMicros
                || nowMicros > recovery.startMicros + settings.rules().rampMicros()) {
            return;
        }
        long fromMicros = nowMicros - settings.rules().overloadWindowMicros();
        long sent = recovery.sendTimesMicros.stream()
                .filter(t -> t > Math.max(fromMicros, recovery.startMicros))
                .count();
        double rampShare =
                (double) (nowMicros - recovery.startMicros) / settings.rules().rampMicros();
        double presentCapacity = recovery.capacityPerSecond
                * (settings.rules().initialCapacityShare()
                        + (1 - settings.rules().initialCapacityShare()) * rampShare);
        double maxCalls = settings.rules().overloadMultiple()
                        * presentCapacity
                        * settings.rules().overloadWindowMicros()
                        / 1e6
                + BUDGET_TOLERANCE_CALLS;
        if (sent > maxCalls && !recovery.breachReported) {
            recovery.breachReported = true;
            breach(nowMicros, "fail-back", limit + " is sent " + sent + " calls, more than " + maxCalls);
        }
    }
}
