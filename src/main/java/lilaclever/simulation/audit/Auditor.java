package lilaclever.simulation.audit;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import lilaclever.DecisionModule.RepeatSafety;
import lilaclever.simulation.audit.Breach.Rule;
import lilaclever.simulation.model.MessageClass;
import org.HdrHistogram.Histogram;

/**
 * Observes a run from outside the forwarders, as clients, partners, directory and platform see it. It checks the rules,
 * computes the service figure and keeps the history of each message until some time after its deadline. The host of the
 * run, virtual or on sockets, reports every event; times are in microseconds since the start of the run. Not
 * thread-safe.
 */
public final class Auditor {
    /** Allowed delay of a final status after a message's deadline, and after a restart. */
    private static final long NOTICE_DELAY_MICROS = 300_000, RESTART_RECOVERY_MICROS = 1_500_000;
    /** Tolerance of every time limit, and the time in which calls may cross an answer with a retry-after period. */
    private static final long TIMING_SLACK_MICROS = 50_000, CROSSING_CALLS_MICROS = 100_000;

    private static final long RETENTION_MICROS = 30_000_000;
    private static final int MAX_BREACHES = 1000, MAX_BREACHES_WITH_HISTORY = 20;

    private static final class Attempt {
        final long sentAtMicros;
        final String host;
        boolean inProgress = true;
        /** Whether the partner is known not to have processed it. */
        boolean neverRan;

        Attempt(long sentAtMicros, String host) {
            this.sentAtMicros = sentAtMicros;
            this.host = host;
        }
    }

    /** History of one message, over all its submissions. */
    private static final class MessageHistory {
        final int number, messageClass;
        final long firstSubmittedMicros, deadlineMicros, workMicros;
        long deliveredAtMicros = -1, acceptedAtMicros = -1;
        int forwarder = -1;
        String noticedStatus;
        boolean rejected;
        /** Number of attempts of earlier submissions; the client itself chose to repeat these. */
        int earlierAttempts;

        final List<Attempt> attempts = new ArrayList<>(2);
        final List<String> lines = new ArrayList<>(6);

        MessageHistory(int number, int messageClass, long firstSubmittedMicros, long deadlineMicros, long workMicros) {
            this.number = number;
            this.messageClass = messageClass;
            this.firstSubmittedMicros = firstSubmittedMicros;
            this.deadlineMicros = deadlineMicros;
            this.workMicros = workMicros;
        }

        void addLine(long atMicros, String what) {
            lines.add(String.format(java.util.Locale.ROOT, "%.3f s %s", atMicros / 1e6, what));
        }
    }

    private final List<MessageClass> classes;
    private final long drainGraceMicros;
    private final Service service;
    private final List<Histogram> latencies = new ArrayList<>();
    private final Map<Integer, MessageHistory> histories = new LinkedHashMap<>();
    private final List<Breach> breaches = new ArrayList<>();
    private final TreeMap<Rule, Integer> breachCounts = new TreeMap<>();
    private final TreeMap<String, Long> counts = new TreeMap<>();
    /** When a forwarder learned that an endpoint drains or was removed, by forwarder and host. */
    private final Map<String, Long> removalReportedMicros = new HashMap<>();

    private final Map<String, long[]> retryAfterPeriods = new HashMap<>();
    /** Recent downtimes of each forwarder, from its death until some time after it is ready again. */
    private final Map<Integer, ArrayDeque<long[]>> downtimes = new HashMap<>();

    /** Creates the auditor of a run with the given message classes. */
    public Auditor(List<MessageClass> classes, long drainGraceMicros) {
        this.classes = classes;
        this.drainGraceMicros = drainGraceMicros;
        service = new Service(classes.size());
        classes.forEach(c -> latencies.add(new Histogram(3_600_000_000L, 3)));
    }

    /** The service figure so far. */
    public Service service() {
        return service;
    }

    /** Time from the first submission to the delivery of the messages of a class, microseconds. */
    public Histogram latency(int messageClass) {
        return latencies.get(messageClass);
    }

    /** Broken rules; the first of them carry the history of the message. */
    public List<Breach> breaches() {
        return breaches;
    }

    /** How often each rule was broken. */
    public Map<Rule, Integer> breachCounts() {
        return breachCounts;
    }

    /** All counts by name. */
    public Map<String, Long> counts() {
        return counts;
    }

    /** Increments a count. */
    public void count(String what) {
        counts.merge(what, 1L, Long::sum);
    }

    /** Records a broken rule that concerns no single message. */
    public void addBreach(Rule rule, long atMicros, String what) {
        breach(rule, atMicros, what, null);
    }

    private void breach(Rule rule, long atMicros, String description, MessageHistory history) {
        breachCounts.merge(rule, 1, Integer::sum);
        if (breaches.size() < MAX_BREACHES) {
            breaches.add(new Breach(
                    rule,
                    atMicros,
                    description,
                    history == null || breaches.size() >= MAX_BREACHES_WITH_HISTORY
                            ? List.of()
                            : List.copyOf(history.lines)));
        }
    }

    // Events at clients
    /** A message is submitted for the first time. */
    public void messageArrived(int number, int messageClass, int destination, long workMicros, long atMicros) {
        MessageHistory history = new MessageHistory(
                number,
                messageClass,
                atMicros,
                atMicros + classes.get(messageClass).terms().deadlineMicros(),
                workMicros);
        history.addLine(atMicros, classes.get(messageClass).name() + " " + number + " for destination " + destination);
        histories.put(number, history);
        service.addOfferedWork(workMicros);
        count("messages");
    }

    /** A message is submitted to a forwarder. */
    public void submitted(int number, int forwarder, long atMicros) {
        MessageHistory history = histories.get(number);
        if (history != null) {
            history.earlierAttempts = history.attempts.size();
            history.addLine(atMicros, "submitted to forwarder " + forwarder);
        }
        count("hand_ins");
    }

    /** The forwarder has answered its client that it accepted the message. */
    public void accepted(int number, int forwarder, long atMicros) {
        count("taken");
        MessageHistory history = histories.get(number);
        if (history != null) {
            history.acceptedAtMicros = atMicros;
            history.forwarder = forwarder;
            history.noticedStatus = null;
            history.addLine(atMicros, "accepted");
        }
    }

    /** The forwarder has rejected the message. */
    public void rejected(int number, long atMicros, long retryAfterMicros) {
        count("turned_down");
        MessageHistory history = histories.get(number);
        if (history != null) {
            history.rejected = true;
            history.addLine(
                    atMicros,
                    "rejected" + (retryAfterMicros > 0 ? ", retry after " + retryAfterMicros / 1000 + " ms" : ""));
        }
    }

    /** The platform has received a notice of the message's final status. */
    public void noticeReceived(int number, String status, long atMicros) {
        count("notices_" + status);
        MessageHistory history = histories.get(number);
        if (history == null) {
            return;
        }
        history.addLine(atMicros, "notice: " + status);
        if (history.noticedStatus != null && !history.noticedStatus.equals(status)) {
            breach(
                    Rule.ONE_END,
                    atMicros,
                    "message " + number + " has final status " + history.noticedStatus + " and then " + status,
                    history);
        }
        history.noticedStatus = status;
        if (status.equals("deferred")
                && firstPossibleEffectMicros(number) >= 0
                && classes.get(history.messageClass).terms().repeat() == RepeatSafety.UNSAFE) {
            breach(
                    Rule.REPEAT,
                    atMicros,
                    "message " + number + " may have been processed, and its client is asked to submit it again",
                    history);
        }
        if (isLate(history, atMicros)) {
            breach(
                    Rule.ONE_END,
                    atMicros,
                    "message " + number + " got its final status " + (atMicros - history.deadlineMicros) / 1000
                            + " ms after its deadline",
                    history);
        }
    }

    private boolean isLate(MessageHistory history, long atMicros) {
        return atMicros > history.deadlineMicros + NOTICE_DELAY_MICROS
                && !wasDown(history.forwarder, history.deadlineMicros, atMicros);
    }

    /** True if the forwarder was down when the final status was due, or has just restarted. */
    private boolean wasDown(int forwarder, long dueMicros, long atMicros) {
        for (long[] downtime : downtimes.getOrDefault(forwarder, new ArrayDeque<>())) {
            if (downtime[0] <= dueMicros + NOTICE_DELAY_MICROS && dueMicros <= downtime[1] && atMicros <= downtime[1]) {
                return true;
            }
        }
        return false;
    }

    // Calls and attempts
    /** A forwarder starts an attempt: the first byte of the call is sent. */
    public void attemptStarted(int number, int forwarder, String host, int destination, long atMicros) {
        count("attempts");
        Long removalReported = removalReportedMicros.get(forwarder + " " + host);
        MessageHistory history = histories.get(number);
        if (history != null) {
            history.addLine(atMicros, "forwarder " + forwarder + " sends it to " + host);
        }
        if (removalReported != null && atMicros > removalReported + drainGraceMicros + TIMING_SLACK_MICROS) {
            breach(
                    Rule.DRAIN,
                    atMicros,
                    "forwarder " + forwarder + " sends to " + host + " " + (atMicros - removalReported) / 1000
                            + " ms after it learned that the endpoint drains or was removed",
                    history);
        }
        checkRetryAfter(forwarder, destination, atMicros, history);
        if (history != null) {
            checkRepeat(history, atMicros);
            history.attempts.add(new Attempt(atMicros, host));
        }
    }

    /**
     * The last byte of a call with this message arrives; not reported if it arrives at the start of the attempt. No
     * retry-after period may be in force at that time either.
     */
    public void callArrived(int number, int forwarder, int destination, long atMicros) {
        checkRetryAfter(forwarder, destination, atMicros, histories.get(number));
    }

    private void checkRetryAfter(int forwarder, int destination, long atMicros, MessageHistory history) {
        long[] period = retryAfterPeriods.get(forwarder + " " + destination);
        if (period != null && atMicros > period[0] + CROSSING_CALLS_MICROS && atMicros < period[1]) {
            breach(
                    Rule.WAIT,
                    atMicros,
                    "forwarder " + forwarder + " sends to destination " + destination + " "
                            + (period[1] - atMicros) / 1000 + " ms before the end of a retry-after period",
                    history);
        }
    }

    private void checkRepeat(MessageHistory history, long atMicros) {
        long possibleEffectMicros = -1;
        for (int i = 0; i < history.attempts.size(); i++) {
            Attempt a = history.attempts.get(i);
            if (a.inProgress) {
                breach(
                        Rule.ONE_ATTEMPT,
                        atMicros,
                        "message " + history.number + " is sent while an attempt is in progress",
                        history);
            }
            possibleEffectMicros = i >= history.earlierAttempts && !a.neverRan && possibleEffectMicros < 0
                    ? a.sentAtMicros
                    : possibleEffectMicros;
        }
        MessageClass c = classes.get(history.messageClass);
        RepeatSafety repeat = c.terms().repeat();
        if (possibleEffectMicros >= 0
                && (repeat == RepeatSafety.UNSAFE
                        || repeat == RepeatSafety.KEYED
                                && atMicros
                                        > possibleEffectMicros
                                                + c.terms().repeatWindowMicros()
                                                + TIMING_SLACK_MICROS)) {
            breach(
                    Rule.REPEAT,
                    atMicros,
                    c.name() + " " + history.number + " is sent again " + (atMicros - possibleEffectMicros) / 1000
                            + " ms after an attempt that may have been processed",
                    history);
        }
        if (history.noticedStatus != null) {
            breach(
                    Rule.ONE_END,
                    atMicros,
                    "message " + history.number + " is sent after its final status " + history.noticedStatus,
                    history);
        }
    }

    /** True while an attempt is in progress. */
    public boolean hasAttemptInProgress(int number) {
        MessageHistory history = histories.get(number);
        return history != null && history.attempts.stream().anyMatch(a -> a.inProgress);
    }

    /** Start of the first attempt that may have been processed; -1 if there is none. */
    public long firstPossibleEffectMicros(int number) {
        MessageHistory history = histories.get(number);
        if (history != null) {
            for (Attempt a : history.attempts) {
                if (!a.neverRan) {
                    return a.sentAtMicros;
                }
            }
        }
        return -1;
    }

    /** The last attempt of a message has ended, as seen by the partner. */
    public void attemptEnded(int number, String outcome, boolean neverRan, long atMicros) {
        MessageHistory history = histories.get(number);
        if (history == null || history.attempts.isEmpty()) {
            return;
        }
        for (int i = history.attempts.size() - 1; i >= 0; i--) {
            Attempt a = history.attempts.get(i);
            if (a.inProgress) {
                a.inProgress = false;
                a.neverRan = neverRan;
                history.addLine(atMicros, outcome);
                count("ended_" + outcome.replace(' ', '_'));
                return;
            }
        }
    }

    /** A partner has written its answer that it has the message, on an open connection. */
    public void delivered(int number, long atMicros) {
        MessageHistory history = histories.get(number);
        if (history == null) {
            return;
        }
        if (history.deliveredAtMicros < 0) {
            history.deliveredAtMicros = atMicros;
            count("delivered");
            latencies
                    .get(history.messageClass)
                    .recordValue(Math.min(3_600_000_000L, Math.max(0, atMicros - history.firstSubmittedMicros)));
        } else if (classes.get(history.messageClass).terms().repeat() == RepeatSafety.UNSAFE) {
            breach(
                    Rule.REPEAT,
                    atMicros,
                    classes.get(history.messageClass).name() + " " + number + " was delivered twice",
                    history);
        }
    }

    /** A forwarder has received an answer with a retry-after period. */
    public void retryAfterReceived(int forwarder, int destination, long atMicros, long retryAfterMicros) {
        retryAfterPeriods.merge(
                forwarder + " " + destination,
                new long[] {atMicros, atMicros + retryAfterMicros},
                (a, b) -> b[1] > a[1] ? b : a);
    }

    /** A forwarder has learned the state of an endpoint. */
    public void endpointReported(int forwarder, String host, boolean isActive, long atMicros) {
        if (isActive) {
            removalReportedMicros.remove(forwarder + " " + host);
        } else {
            removalReportedMicros.putIfAbsent(forwarder + " " + host, atMicros);
        }
    }

    // Restarts of forwarders
    /** A forwarder process has died. */
    public void forwarderDied(int forwarder, long atMicros) {
        count("restarts");
        downtimes.computeIfAbsent(forwarder, f -> new ArrayDeque<>()).addLast(new long[] {atMicros, Long.MAX_VALUE});
        retryAfterPeriods
                .keySet()
                .removeIf(k -> k.startsWith(forwarder + " ")); // retry-after periods do not outlast a restart
        for (MessageHistory history : histories.values()) {
            if (history.forwarder == forwarder && history.acceptedAtMicros >= 0 && history.deliveredAtMicros < 0) {
                history.addLine(atMicros, "forwarder " + forwarder + " dies");
            }
        }
    }

    /** A forwarder is ready again. */
    public void forwarderReady(int forwarder, long atMicros) {
        ArrayDeque<long[]> forwarderDowntimes = downtimes.get(forwarder);
        if (forwarderDowntimes != null) {
            forwarderDowntimes.peekLast()[1] = atMicros + RESTART_RECOVERY_MICROS;
            while (forwarderDowntimes.size() > 10) {
                forwarderDowntimes.removeFirst();
            }
        }
    }

    // Completion
    /** Closes the histories of messages whose deadline passed long ago. Calling it once a second is enough. */
    public void closeExpired(long nowMicros) {
        for (Iterator<MessageHistory> i = histories.values().iterator(); i.hasNext(); ) {
            MessageHistory history = i.next();
            if (history.firstSubmittedMicros + RETENTION_MICROS > nowMicros
                    || history.deadlineMicros + RETENTION_MICROS > nowMicros) {
                if (history.firstSubmittedMicros + RETENTION_MICROS > nowMicros) {
                    return; // the remaining ones are newer
                }
                continue;
            }
            close(history, nowMicros);
            i.remove();
        }
        retryAfterPeriods.values().removeIf(period -> period[1] + RETENTION_MICROS < nowMicros);
    }

    /** Closes all histories at the end of the run. */
    public void finish(long nowMicros) {
        histories.values().forEach(history -> close(history, nowMicros));
        histories.clear();
    }

    private void close(MessageHistory history, long nowMicros) {
        if (history.acceptedAtMicros >= 0
                && history.deliveredAtMicros < 0
                && history.noticedStatus == null
                && nowMicros > history.deadlineMicros + NOTICE_DELAY_MICROS
                && !wasDown(history.forwarder, history.deadlineMicros, nowMicros)) {
            breach(Rule.ONE_END, history.deadlineMicros, "message " + history.number + " has no final status", history);
        }
        MessageClass c = classes.get(history.messageClass);
        double deliveredWorth =
                history.deliveredAtMicros < 0 ? 0 : c.worth(history.deliveredAtMicros - history.firstSubmittedMicros);
        service.addMessage(
                history.messageClass,
                history.firstSubmittedMicros,
                c.terms().worth(),
                deliveredWorth,
                deliveredWorth == 0 && history.noticedStatus != null);
        count(
                history.deliveredAtMicros >= 0
                        ? "fate_delivered"
                        : history.noticedStatus != null
                                ? "fate_" + history.noticedStatus
                                : history.rejected
                                        ? "fate_turned_down"
                                        : history.acceptedAtMicros >= 0 ? "fate_unknown" : "fate_never_taken");
    }
}
