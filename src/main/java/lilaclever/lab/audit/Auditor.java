package lilaclever.lab.audit;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import lilaclever.DecisionModule.RepeatSafety;
import lilaclever.lab.audit.Breach.Rule;
import lilaclever.lab.model.MessageClass;
import org.HdrHistogram.Histogram;

/**
 * Watches a run from outside of the forwarders: what clients, partners, directory and platform see. It knows the rules
 * and the service figure, and the story of each message until some time after its end. Whatever host plays the run
 * tells it; times in microseconds since the run began. One thread.
 */
public final class Auditor {
    /** An end may come so late after a message's time, and so late after a restart. */
    private static final long NOTICE_DELAY_MICROS = 300_000, RESTART_RECOVERY_MICROS = 1_500_000;
    /** Every limit of time is so much longer, and calls that cross a told wait are let through. */
    private static final long TIMING_SLACK_MICROS = 50_000, CROSSING_CALLS_MICROS = 100_000;

    private static final long RETENTION_MICROS = 30_000_000;
    private static final int MAX_BREACHES = 1000, MAX_BREACHES_WITH_HISTORY = 20;

    /** One attempt. */
    private static final class Attempt {
        final long sentAtMicros;
        final String host;
        boolean inProgress = true;
        /** The partner is known not to have run it. */
        boolean knownNotRun;

        Attempt(long sentAtMicros, String host) {
            this.sentAtMicros = sentAtMicros;
            this.host = host;
        }
    }

    /** One message, over all its hand-ins. */
    private static final class MessageHistory {
        final int number, messageClass;
        final long firstSubmittedMicros, deadlineMicros, workMicros;
        long deliveredAtMicros = -1, acceptedAtMicros = -1;
        int forwarder = -1;
        String noticedStatus;
        boolean rejected;
        /** Attempts of earlier hand-ins: what may come again is the client's own choice. */
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

        void addLine(long at, String what) {
            lines.add(String.format(java.util.Locale.ROOT, "%.3f s %s", at / 1e6, what));
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
    /** When a forwarder was told that an endpoint drains or is gone. */
    private final Map<String, Long> removalReportedMicros = new HashMap<>();

    private final Map<String, long[]> retryAfterPeriods = new HashMap<>();
    /** Each forwarder's times of being away, the last while: from its death to some time after it is ready. */
    private final Map<Integer, ArrayDeque<long[]>> downtimes = new HashMap<>();

    /** An auditor of a run with these classes. */
    public Auditor(List<MessageClass> classes, long drainGraceMicros) {
        this.classes = classes;
        this.drainGraceMicros = drainGraceMicros;
        service = new Service(classes.size());
        classes.forEach(c -> latencies.add(new Histogram(3_600_000_000L, 3)));
    }

    /** The service so far. */
    public Service service() {
        return service;
    }

    /** Time from the first handing-in to the delivery of a class's messages, microseconds. */
    public Histogram latency(int messageClass) {
        return latencies.get(messageClass);
    }

    /** Broken rules, with stories of the first. */
    public List<Breach> breaches() {
        return breaches;
    }

    /** How often each rule was broken. */
    public Map<Rule, Integer> breachCounts() {
        return breachCounts;
    }

    /** What was counted. */
    public Map<String, Long> counts() {
        return counts;
    }

    /** One more. */
    public void count(String what) {
        counts.merge(what, 1L, Long::sum);
    }

    /** A rule was broken that is not one message's. */
    public void addBreach(Rule rule, long at, String what) {
        breach(rule, at, what, null);
    }

    private void breach(Rule rule, long at, String description, MessageHistory history) {
        breachCounts.merge(rule, 1, Integer::sum);
        if (breaches.size() < MAX_BREACHES) {
            breaches.add(new Breach(
                    rule, at, description, history == null || breaches.size() >= MAX_BREACHES_WITH_HISTORY ? List.of() : List.copyOf(history.lines)));
        }
    }

    // ---- clients ----------------------------------------------------------------------------------------
    /** A message is handed in for the first time. */
    public void messageArrived(int number, int messageClass, int destination, long workMicros, long at) {
        MessageHistory history = new MessageHistory(
                number, messageClass, at, at + classes.get(messageClass).terms().deadlineMicros(), workMicros);
        history.addLine(at, classes.get(messageClass).name() + " " + number + " for destination " + destination);
        histories.put(number, history);
        service.addOfferedWork(workMicros);
        count("messages");
    }

    /** It is handed in to a forwarder. */
    public void submitted(int number, int forwarder, long at) {
        MessageHistory history = histories.get(number);
        if (history != null) {
            history.earlierAttempts = history.attempts.size();
            history.addLine(at, "handed in to forwarder " + forwarder);
        }
        count("hand_ins");
    }

    /** The forwarder has told its client that it takes the message on. */
    public void accepted(int number, int forwarder, long at) {
        count("taken");
        MessageHistory history = histories.get(number);
        if (history != null) {
            history.acceptedAtMicros = at;
            history.forwarder = forwarder;
            history.noticedStatus = null;
            history.addLine(at, "taken on");
        }
    }

    /** The client was turned away. */
    public void rejected(int number, long at, long retryAfterMicros) {
        count("turned_down");
        MessageHistory history = histories.get(number);
        if (history != null) {
            history.rejected = true;
            history.addLine(
                    at,
                    "turned down" + (retryAfterMicros > 0 ? ", to come back in " + retryAfterMicros / 1000 + " ms" : ""));
        }
    }

    /** The platform has had a notice of its end. */
    public void noticeReceived(int number, String status, long at) {
        count("notices_" + status);
        MessageHistory history = histories.get(number);
        if (history == null) {
            return;
        }
        history.addLine(at, "notice: " + status);
        if (history.noticedStatus != null && !history.noticedStatus.equals(status)) {
            breach(Rule.ONE_END, at, "message " + number + " has ended as " + history.noticedStatus + " and as " + status, history);
        }
        history.noticedStatus = status;
        if (status.equals("deferred")
                && firstPossibleEffectMicros(number) >= 0
                && classes.get(history.messageClass).terms().repeat() == RepeatSafety.UNSAFE) {
            breach(
                    Rule.REPEAT,
                    at,
                    "message " + number + " may have run, and its client is asked to hand it in again",
                    history);
        }
        if (isLate(history, at)) {
            breach(Rule.ONE_END, at, "message " + number + " ended " + (at - history.deadlineMicros) / 1000 + " ms after its time", history);
        }
    }

    private boolean isLate(MessageHistory history, long at) {
        return at > history.deadlineMicros + NOTICE_DELAY_MICROS && !wasDown(history.forwarder, history.deadlineMicros, at);
    }

    /** True if the forwarder was away when the end was due, or has just come back. */
    private boolean wasDown(int forwarder, long due, long at) {
        for (long[] d : downtimes.getOrDefault(forwarder, new ArrayDeque<>())) {
            if (d[0] <= due + NOTICE_DELAY_MICROS && due <= d[1] && at <= d[1]) {
                return true;
            }
        }
        return false;
    }

    // ---- calls ------------------------------------------------------------------------------------------
    /** A forwarder sends a message: the first byte of the call leaves. */
    public void attemptStarted(int number, int forwarder, String host, int destination, long at) {
        count("attempts");
        Long removalReported = removalReportedMicros.get(forwarder + " " + host);
        MessageHistory history = histories.get(number);
        if (history != null) {
            history.addLine(at, "forwarder " + forwarder + " sends it to " + host);
        }
        if (removalReported != null && at > removalReported + drainGraceMicros + TIMING_SLACK_MICROS) {
            breach(
                    Rule.DRAIN,
                    at,
                    "forwarder " + forwarder + " sends to " + host + " " + (at - removalReported) / 1000
                            + " ms after it was told that it drains or is gone",
                    history);
        }
        checkRetryAfter(forwarder, destination, at, history);
        if (history != null) {
            checkRepeat(history, at);
            history.attempts.add(new Attempt(at, host));
        }
    }

    /**
     * The last byte of a call of this message comes, where that is later than its sending: no wait must bind it then
     * either.
     */
    public void callArrived(int number, int forwarder, int destination, long at) {
        checkRetryAfter(forwarder, destination, at, histories.get(number));
    }

    private void checkRetryAfter(int forwarder, int destination, long at, MessageHistory history) {
        long[] period = retryAfterPeriods.get(forwarder + " " + destination);
        if (period != null && at > period[0] + CROSSING_CALLS_MICROS && at < period[1]) {
            breach(
                    Rule.WAIT,
                    at,
                    "forwarder " + forwarder + " sends to destination " + destination + " " + (period[1] - at) / 1000
                            + " ms before the end of a wait that it was told",
                    history);
        }
    }

    private void checkRepeat(MessageHistory history, long at) {
        long possibleEffectMicros = -1;
        for (int i = 0; i < history.attempts.size(); i++) {
            Attempt a = history.attempts.get(i);
            if (a.inProgress) {
                breach(Rule.ONE_ATTEMPT, at, "message " + history.number + " is sent while an attempt is out", history);
            }
            possibleEffectMicros = i >= history.earlierAttempts && !a.knownNotRun && possibleEffectMicros < 0 ? a.sentAtMicros : possibleEffectMicros;
        }
        MessageClass c = classes.get(history.messageClass);
        RepeatSafety repeat = c.terms().repeat();
        if (possibleEffectMicros >= 0
                && (repeat == RepeatSafety.UNSAFE
                        || repeat == RepeatSafety.KEYED && at > possibleEffectMicros + c.terms().repeatWindowMicros() + TIMING_SLACK_MICROS)) {
            breach(
                    Rule.REPEAT,
                    at,
                    c.name() + " " + history.number + " is sent again " + (at - possibleEffectMicros) / 1000
                            + " ms after an attempt that may have run",
                    history);
        }
        if (history.noticedStatus != null) {
            breach(Rule.ONE_END, at, "message " + history.number + " is sent after it has ended as " + history.noticedStatus, history);
        }
    }

    /** True while an attempt is out. */
    public boolean hasAttemptInProgress(int number) {
        MessageHistory history = histories.get(number);
        return history != null && history.attempts.stream().anyMatch(a -> a.inProgress);
    }

    /** When the first attempt was made that may have run; -1 if none may have. */
    public long firstPossibleEffectMicros(int number) {
        MessageHistory history = histories.get(number);
        if (history != null) {
            for (Attempt a : history.attempts) {
                if (!a.knownNotRun) {
                    return a.sentAtMicros;
                }
            }
        }
        return -1;
    }

    /** The last attempt of a message is over, as the partner knows it. */
    public void attemptEnded(int number, String outcome, boolean knownNotRun, long at) {
        MessageHistory history = histories.get(number);
        if (history == null || history.attempts.isEmpty()) {
            return;
        }
        for (int i = history.attempts.size() - 1; i >= 0; i--) {
            Attempt a = history.attempts.get(i);
            if (a.inProgress) {
                a.inProgress = false;
                a.knownNotRun = knownNotRun;
                history.addLine(at, outcome);
                count("ended_" + outcome.replace(' ', '_'));
                return;
            }
        }
    }

    /** A partner's answer that it has the message is written, and its connection is open. */
    public void delivered(int number, long at) {
        MessageHistory history = histories.get(number);
        if (history == null) {
            return;
        }
        if (history.deliveredAtMicros < 0) {
            history.deliveredAtMicros = at;
            count("delivered");
            latencies.get(history.messageClass).recordValue(Math.min(3_600_000_000L, Math.max(0, at - history.firstSubmittedMicros)));
        } else if (classes.get(history.messageClass).terms().repeat() == RepeatSafety.UNSAFE) {
            breach(Rule.REPEAT, at, classes.get(history.messageClass).name() + " " + number + " has taken effect twice", history);
        }
    }

    /** A forwarder was told to wait. */
    public void retryAfterReceived(int forwarder, int destination, long at, long retryAfterMicros) {
        retryAfterPeriods.merge(forwarder + " " + destination, new long[] {at, at + retryAfterMicros}, (a, b) -> b[1] > a[1] ? b : a);
    }

    /** A forwarder was told of an endpoint. */
    public void endpointReported(int forwarder, String host, boolean active, long at) {
        if (active) {
            removalReportedMicros.remove(forwarder + " " + host);
        } else {
            removalReportedMicros.putIfAbsent(forwarder + " " + host, at);
        }
    }

    // ---- lives ------------------------------------------------------------------------------------------
    /** A forwarder has died. */
    public void forwarderDied(int forwarder, long at) {
        count("restarts");
        downtimes.computeIfAbsent(forwarder, f -> new ArrayDeque<>()).addLast(new long[] {at, Long.MAX_VALUE});
        retryAfterPeriods.keySet().removeIf(k -> k.startsWith(forwarder + " ")); // a restart ends the wait
        for (MessageHistory history : histories.values()) {
            if (history.forwarder == forwarder && history.acceptedAtMicros >= 0 && history.deliveredAtMicros < 0) {
                history.addLine(at, "forwarder " + forwarder + " dies");
            }
        }
    }

    /** It is ready again. */
    public void forwarderReady(int forwarder, long at) {
        ArrayDeque<long[]> all = downtimes.get(forwarder);
        if (all != null) {
            all.peekLast()[1] = at + RESTART_RECOVERY_MICROS;
            while (all.size() > 10) {
                all.removeFirst();
            }
        }
    }

    // ---- the end ----------------------------------------------------------------------------------------
    /** Closes the stories of messages whose time was over long ago. Once a second is enough. */
    public void closeExpired(long now) {
        for (Iterator<MessageHistory> i = histories.values().iterator(); i.hasNext(); ) {
            MessageHistory history = i.next();
            if (history.firstSubmittedMicros + RETENTION_MICROS > now || history.deadlineMicros + RETENTION_MICROS > now) {
                if (history.firstSubmittedMicros + RETENTION_MICROS > now) {
                    return; // the others are younger
                }
                continue;
            }
            close(history, now);
            i.remove();
        }
        retryAfterPeriods.values().removeIf(w -> w[1] + RETENTION_MICROS < now);
    }

    /** The run is over: closes all stories. */
    public void finish(long now) {
        histories.values().forEach(history -> close(history, now));
        histories.clear();
    }

    private void close(MessageHistory history, long now) {
        if (history.acceptedAtMicros >= 0
                && history.deliveredAtMicros < 0
                && history.noticedStatus == null
                && now > history.deadlineMicros + NOTICE_DELAY_MICROS
                && !wasDown(history.forwarder, history.deadlineMicros, now)) {
            breach(Rule.ONE_END, history.deadlineMicros, "message " + history.number + " has no end", history);
        }
        MessageClass c = classes.get(history.messageClass);
        double deliveredWorth = history.deliveredAtMicros < 0 ? 0 : c.worth(history.deliveredAtMicros - history.firstSubmittedMicros);
        service.addMessage(history.messageClass, history.firstSubmittedMicros, c.terms().worth(), deliveredWorth, deliveredWorth == 0 && history.noticedStatus != null);
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
