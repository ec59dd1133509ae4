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

        Attempt(long at, String host) {
            this.sentAtMicros = at;
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

        MessageHistory(int number, int messageClass, long firstAt, long due, long work) {
            this.number = number;
            this.messageClass = messageClass;
            this.firstSubmittedMicros = firstAt;
            this.deadlineMicros = due;
            this.workMicros = work;
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

    private void breach(Rule rule, long at, String what, MessageHistory s) {
        breachCounts.merge(rule, 1, Integer::sum);
        if (breaches.size() < MAX_BREACHES) {
            breaches.add(new Breach(
                    rule, at, what, s == null || breaches.size() >= MAX_BREACHES_WITH_HISTORY ? List.of() : List.copyOf(s.lines)));
        }
    }

    // ---- clients ----------------------------------------------------------------------------------------
    /** A message is handed in for the first time. */
    public void messageArrived(int number, int messageClass, int destination, long workMicros, long at) {
        MessageHistory s = new MessageHistory(
                number, messageClass, at, at + classes.get(messageClass).terms().deadlineMicros(), workMicros);
        s.addLine(at, classes.get(messageClass).name() + " " + number + " for destination " + destination);
        histories.put(number, s);
        service.addOfferedWork(workMicros);
        count("messages");
    }

    /** It is handed in to a forwarder. */
    public void submitted(int number, int forwarder, long at) {
        MessageHistory s = histories.get(number);
        if (s != null) {
            s.earlierAttempts = s.attempts.size();
            s.addLine(at, "handed in to forwarder " + forwarder);
        }
        count("hand_ins");
    }

    /** The forwarder has told its client that it takes the message on. */
    public void accepted(int number, int forwarder, long at) {
        count("taken");
        MessageHistory s = histories.get(number);
        if (s != null) {
            s.acceptedAtMicros = at;
            s.forwarder = forwarder;
            s.noticedStatus = null;
            s.addLine(at, "taken on");
        }
    }

    /** The client was turned away. */
    public void rejected(int number, long at, long comeBackMicros) {
        count("turned_down");
        MessageHistory s = histories.get(number);
        if (s != null) {
            s.rejected = true;
            s.addLine(
                    at,
                    "turned down" + (comeBackMicros > 0 ? ", to come back in " + comeBackMicros / 1000 + " ms" : ""));
        }
    }

    /** The platform has had a notice of its end. */
    public void noticeReceived(int number, String status, long at) {
        count("notices_" + status);
        MessageHistory s = histories.get(number);
        if (s == null) {
            return;
        }
        s.addLine(at, "notice: " + status);
        if (s.noticedStatus != null && !s.noticedStatus.equals(status)) {
            breach(Rule.ONE_END, at, "message " + number + " has ended as " + s.noticedStatus + " and as " + status, s);
        }
        s.noticedStatus = status;
        if (status.equals("deferred")
                && firstPossibleEffectMicros(number) >= 0
                && classes.get(s.messageClass).terms().repeat() == RepeatSafety.UNSAFE) {
            breach(
                    Rule.REPEAT,
                    at,
                    "message " + number + " may have run, and its client is asked to hand it in again",
                    s);
        }
        if (isLate(s, at)) {
            breach(Rule.ONE_END, at, "message " + number + " ended " + (at - s.deadlineMicros) / 1000 + " ms after its time", s);
        }
    }

    private boolean isLate(MessageHistory s, long at) {
        return at > s.deadlineMicros + NOTICE_DELAY_MICROS && !wasDown(s.forwarder, s.deadlineMicros, at);
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
        Long gone = removalReportedMicros.get(forwarder + " " + host);
        MessageHistory s = histories.get(number);
        if (s != null) {
            s.addLine(at, "forwarder " + forwarder + " sends it to " + host);
        }
        if (gone != null && at > gone + drainGraceMicros + TIMING_SLACK_MICROS) {
            breach(
                    Rule.DRAIN,
                    at,
                    "forwarder " + forwarder + " sends to " + host + " " + (at - gone) / 1000
                            + " ms after it was told that it drains or is gone",
                    s);
        }
        checkRetryAfter(forwarder, destination, at, s);
        if (s != null) {
            checkRepeat(s, at);
            s.attempts.add(new Attempt(at, host));
        }
    }

    /**
     * The last byte of a call of this message comes, where that is later than its sending: no wait must bind it then
     * either.
     */
    public void callArrived(int number, int forwarder, int destination, long at) {
        checkRetryAfter(forwarder, destination, at, histories.get(number));
    }

    private void checkRetryAfter(int forwarder, int destination, long at, MessageHistory s) {
        long[] wait = retryAfterPeriods.get(forwarder + " " + destination);
        if (wait != null && at > wait[0] + CROSSING_CALLS_MICROS && at < wait[1]) {
            breach(
                    Rule.WAIT,
                    at,
                    "forwarder " + forwarder + " sends to destination " + destination + " " + (wait[1] - at) / 1000
                            + " ms before the end of a wait that it was told",
                    s);
        }
    }

    private void checkRepeat(MessageHistory s, long at) {
        long risk = -1;
        for (int i = 0; i < s.attempts.size(); i++) {
            Attempt a = s.attempts.get(i);
            if (a.inProgress) {
                breach(Rule.ONE_ATTEMPT, at, "message " + s.number + " is sent while an attempt is out", s);
            }
            risk = i >= s.earlierAttempts && !a.knownNotRun && risk < 0 ? a.sentAtMicros : risk;
        }
        MessageClass c = classes.get(s.messageClass);
        RepeatSafety repeat = c.terms().repeat();
        if (risk >= 0
                && (repeat == RepeatSafety.UNSAFE
                        || repeat == RepeatSafety.KEYED && at > risk + c.terms().repeatWindowMicros() + TIMING_SLACK_MICROS)) {
            breach(
                    Rule.REPEAT,
                    at,
                    c.name() + " " + s.number + " is sent again " + (at - risk) / 1000
                            + " ms after an attempt that may have run",
                    s);
        }
        if (s.noticedStatus != null) {
            breach(Rule.ONE_END, at, "message " + s.number + " is sent after it has ended as " + s.noticedStatus, s);
        }
    }

    /** True while an attempt is out. */
    public boolean hasAttemptInProgress(int number) {
        MessageHistory s = histories.get(number);
        return s != null && s.attempts.stream().anyMatch(a -> a.inProgress);
    }

    /** When the first attempt was made that may have run; -1 if none may have. */
    public long firstPossibleEffectMicros(int number) {
        MessageHistory s = histories.get(number);
        if (s != null) {
            for (Attempt a : s.attempts) {
                if (!a.knownNotRun) {
                    return a.sentAtMicros;
                }
            }
        }
        return -1;
    }

    /** The last attempt of a message is over, as the partner knows it. */
    public void attemptEnded(int number, String how, boolean neverRan, long at) {
        MessageHistory s = histories.get(number);
        if (s == null || s.attempts.isEmpty()) {
            return;
        }
        for (int i = s.attempts.size() - 1; i >= 0; i--) {
            Attempt a = s.attempts.get(i);
            if (a.inProgress) {
                a.inProgress = false;
                a.knownNotRun = neverRan;
                s.addLine(at, how);
                count("ended_" + how.replace(' ', '_'));
                return;
            }
        }
    }

    /** A partner's answer that it has the message is written, and its connection is open. */
    public void delivered(int number, long at) {
        MessageHistory s = histories.get(number);
        if (s == null) {
            return;
        }
        if (s.deliveredAtMicros < 0) {
            s.deliveredAtMicros = at;
            count("delivered");
            latencies.get(s.messageClass).recordValue(Math.min(3_600_000_000L, Math.max(0, at - s.firstSubmittedMicros)));
        } else if (classes.get(s.messageClass).terms().repeat() == RepeatSafety.UNSAFE) {
            breach(Rule.REPEAT, at, classes.get(s.messageClass).name() + " " + number + " has taken effect twice", s);
        }
    }

    /** A forwarder was told to wait. */
    public void retryAfterReceived(int forwarder, int destination, long at, long waitMicros) {
        retryAfterPeriods.merge(forwarder + " " + destination, new long[] {at, at + waitMicros}, (a, b) -> b[1] > a[1] ? b : a);
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
        for (MessageHistory s : histories.values()) {
            if (s.forwarder == forwarder && s.acceptedAtMicros >= 0 && s.deliveredAtMicros < 0) {
                s.addLine(at, "forwarder " + forwarder + " dies");
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
            MessageHistory s = i.next();
            if (s.firstSubmittedMicros + RETENTION_MICROS > now || s.deadlineMicros + RETENTION_MICROS > now) {
                if (s.firstSubmittedMicros + RETENTION_MICROS > now) {
                    return; // the others are younger
                }
                continue;
            }
            close(s, now);
            i.remove();
        }
        retryAfterPeriods.values().removeIf(w -> w[1] + RETENTION_MICROS < now);
    }

    /** The run is over: closes all stories. */
    public void finish(long now) {
        histories.values().forEach(s -> close(s, now));
        histories.clear();
    }

    private void close(MessageHistory s, long now) {
        if (s.acceptedAtMicros >= 0
                && s.deliveredAtMicros < 0
                && s.noticedStatus == null
                && now > s.deadlineMicros + NOTICE_DELAY_MICROS
                && !wasDown(s.forwarder, s.deadlineMicros, now)) {
            breach(Rule.ONE_END, s.deadlineMicros, "message " + s.number + " has no end", s);
        }
        MessageClass c = classes.get(s.messageClass);
        double got = s.deliveredAtMicros < 0 ? 0 : c.worth(s.deliveredAtMicros - s.firstSubmittedMicros);
        service.addMessage(s.messageClass, s.firstSubmittedMicros, c.terms().worth(), got, got == 0 && s.noticedStatus != null);
        count(
                s.deliveredAtMicros >= 0
                        ? "fate_delivered"
                        : s.noticedStatus != null
                                ? "fate_" + s.noticedStatus
                                : s.rejected
                                        ? "fate_turned_down"
                                        : s.acceptedAtMicros >= 0 ? "fate_unknown" : "fate_never_taken");
    }
}
