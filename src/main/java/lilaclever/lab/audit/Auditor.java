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
    private static final long NOTICE = 300_000, RESTART = 1_500_000;
    /** Every limit of time is so much longer, and calls that cross a told wait are let through. */
    private static final long SLACK = 50_000, CROSSING = 100_000;

    private static final long KEEP = 30_000_000;
    private static final int MOST_BREACHES = 1000, MOST_STORIES = 20;

    /** One attempt. */
    private static final class Attempt {
        final long at;
        final String host;
        boolean out = true;
        /** The partner is known not to have run it. */
        boolean neverRan;

        Attempt(long at, String host) {
            this.at = at;
            this.host = host;
        }
    }

    /** One message, over all its hand-ins. */
    private static final class Story {
        final int number, messageClass;
        final long firstAt, due, work;
        long deliveredAt = -1, takenAt = -1;
        int forwarder = -1;
        String noticed;
        boolean refused;
        /** Attempts of earlier hand-ins: what may come again is the client's own choice. */
        int earlier;

        final List<Attempt> attempts = new ArrayList<>(2);
        final List<String> lines = new ArrayList<>(6);

        Story(int number, int messageClass, long firstAt, long due, long work) {
            this.number = number;
            this.messageClass = messageClass;
            this.firstAt = firstAt;
            this.due = due;
            this.work = work;
        }

        void line(long at, String what) {
            lines.add(String.format(java.util.Locale.ROOT, "%.3f s %s", at / 1e6, what));
        }
    }

    private final List<MessageClass> classes;
    private final long drainGrace;
    private final Service service;
    private final List<Histogram> latencies = new ArrayList<>();
    private final Map<Integer, Story> open = new LinkedHashMap<>();
    private final List<Breach> breaches = new ArrayList<>();
    private final TreeMap<Rule, Integer> broken = new TreeMap<>();
    private final TreeMap<String, Long> counts = new TreeMap<>();
    /** When a forwarder was told that an endpoint drains or is gone. */
    private final Map<String, Long> toldGone = new HashMap<>();

    private final Map<String, long[]> waits = new HashMap<>();
    /** Each forwarder's times of being away, the last while: from its death to some time after it is ready. */
    private final Map<Integer, ArrayDeque<long[]>> downs = new HashMap<>();

    /** An auditor of a run with these classes. */
    public Auditor(List<MessageClass> classes, long drainGraceMicros) {
        this.classes = classes;
        this.drainGrace = drainGraceMicros;
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
        return broken;
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

    private void breach(Rule rule, long at, String what, Story s) {
        broken.merge(rule, 1, Integer::sum);
        if (breaches.size() < MOST_BREACHES) {
            breaches.add(new Breach(
                    rule, at, what, s == null || breaches.size() >= MOST_STORIES ? List.of() : List.copyOf(s.lines)));
        }
    }

    // ---- clients ----------------------------------------------------------------------------------------
    /** A message is handed in for the first time. */
    public void messageArrived(int number, int messageClass, int destination, long workMicros, long at) {
        Story s = new Story(
                number, messageClass, at, at + classes.get(messageClass).terms().deadlineMicros(), workMicros);
        s.line(at, classes.get(messageClass).name() + " " + number + " for destination " + destination);
        open.put(number, s);
        service.offered(workMicros);
        count("messages");
    }

    /** It is handed in to a forwarder. */
    public void submitted(int number, int forwarder, long at) {
        Story s = open.get(number);
        if (s != null) {
            s.earlier = s.attempts.size();
            s.line(at, "handed in to forwarder " + forwarder);
        }
        count("hand_ins");
    }

    /** The forwarder has told its client that it takes the message on. */
    public void accepted(int number, int forwarder, long at) {
        count("taken");
        Story s = open.get(number);
        if (s != null) {
            s.takenAt = at;
            s.forwarder = forwarder;
            s.noticed = null;
            s.line(at, "taken on");
        }
    }

    /** The client was turned away. */
    public void rejected(int number, long at, long comeBackMicros) {
        count("turned_down");
        Story s = open.get(number);
        if (s != null) {
            s.refused = true;
            s.line(
                    at,
                    "turned down" + (comeBackMicros > 0 ? ", to come back in " + comeBackMicros / 1000 + " ms" : ""));
        }
    }

    /** The platform has had a notice of its end. */
    public void noticeReceived(int number, String status, long at) {
        count("notices_" + status);
        Story s = open.get(number);
        if (s == null) {
            return;
        }
        s.line(at, "notice: " + status);
        if (s.noticed != null && !s.noticed.equals(status)) {
            breach(Rule.ONE_END, at, "message " + number + " has ended as " + s.noticed + " and as " + status, s);
        }
        s.noticed = status;
        if (status.equals("deferred")
                && firstPossibleEffectMicros(number) >= 0
                && classes.get(s.messageClass).terms().repeat() == RepeatSafety.UNSAFE) {
            breach(
                    Rule.REPEAT,
                    at,
                    "message " + number + " may have run, and its client is asked to hand it in again",
                    s);
        }
        if (late(s, at)) {
            breach(Rule.ONE_END, at, "message " + number + " ended " + (at - s.due) / 1000 + " ms after its time", s);
        }
    }

    private boolean late(Story s, long at) {
        return at > s.due + NOTICE && !away(s.forwarder, s.due, at);
    }

    /** True if the forwarder was away when the end was due, or has just come back. */
    private boolean away(int forwarder, long due, long at) {
        for (long[] d : downs.getOrDefault(forwarder, new ArrayDeque<>())) {
            if (d[0] <= due + NOTICE && due <= d[1] && at <= d[1]) {
                return true;
            }
        }
        return false;
    }

    // ---- calls ------------------------------------------------------------------------------------------
    /** A forwarder sends a message: the first byte of the call leaves. */
    public void attemptStarted(int number, int forwarder, String host, int destination, long at) {
        count("attempts");
        Long gone = toldGone.get(forwarder + " " + host);
        Story s = open.get(number);
        if (s != null) {
            s.line(at, "forwarder " + forwarder + " sends it to " + host);
        }
        if (gone != null && at > gone + drainGrace + SLACK) {
            breach(
                    Rule.DRAIN,
                    at,
                    "forwarder " + forwarder + " sends to " + host + " " + (at - gone) / 1000
                            + " ms after it was told that it drains or is gone",
                    s);
        }
        checkWait(forwarder, destination, at, s);
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
        checkWait(forwarder, destination, at, open.get(number));
    }

    private void checkWait(int forwarder, int destination, long at, Story s) {
        long[] wait = waits.get(forwarder + " " + destination);
        if (wait != null && at > wait[0] + CROSSING && at < wait[1]) {
            breach(
                    Rule.WAIT,
                    at,
                    "forwarder " + forwarder + " sends to destination " + destination + " " + (wait[1] - at) / 1000
                            + " ms before the end of a wait that it was told",
                    s);
        }
    }

    private void checkRepeat(Story s, long at) {
        long risk = -1;
        for (int i = 0; i < s.attempts.size(); i++) {
            Attempt a = s.attempts.get(i);
            if (a.out) {
                breach(Rule.ONE_ATTEMPT, at, "message " + s.number + " is sent while an attempt is out", s);
            }
            risk = i >= s.earlier && !a.neverRan && risk < 0 ? a.at : risk;
        }
        MessageClass c = classes.get(s.messageClass);
        RepeatSafety repeat = c.terms().repeat();
        if (risk >= 0
                && (repeat == RepeatSafety.UNSAFE
                        || repeat == RepeatSafety.KEYED && at > risk + c.terms().repeatWindowMicros() + SLACK)) {
            breach(
                    Rule.REPEAT,
                    at,
                    c.name() + " " + s.number + " is sent again " + (at - risk) / 1000
                            + " ms after an attempt that may have run",
                    s);
        }
        if (s.noticed != null) {
            breach(Rule.ONE_END, at, "message " + s.number + " is sent after it has ended as " + s.noticed, s);
        }
    }

    /** True while an attempt is out. */
    public boolean hasAttemptInProgress(int number) {
        Story s = open.get(number);
        return s != null && s.attempts.stream().anyMatch(a -> a.out);
    }

    /** When the first attempt was made that may have run; -1 if none may have. */
    public long firstPossibleEffectMicros(int number) {
        Story s = open.get(number);
        if (s != null) {
            for (Attempt a : s.attempts) {
                if (!a.neverRan) {
                    return a.at;
                }
            }
        }
        return -1;
    }

    /** The last attempt of a message is over, as the partner knows it. */
    public void attemptEnded(int number, String how, boolean neverRan, long at) {
        Story s = open.get(number);
        if (s == null || s.attempts.isEmpty()) {
            return;
        }
        for (int i = s.attempts.size() - 1; i >= 0; i--) {
            Attempt a = s.attempts.get(i);
            if (a.out) {
                a.out = false;
                a.neverRan = neverRan;
                s.line(at, how);
                count("ended_" + how.replace(' ', '_'));
                return;
            }
        }
    }

    /** A partner's answer that it has the message is written, and its connection is open. */
    public void delivered(int number, long at) {
        Story s = open.get(number);
        if (s == null) {
            return;
        }
        if (s.deliveredAt < 0) {
            s.deliveredAt = at;
            count("delivered");
            latencies.get(s.messageClass).recordValue(Math.min(3_600_000_000L, Math.max(0, at - s.firstAt)));
        } else if (classes.get(s.messageClass).terms().repeat() == RepeatSafety.UNSAFE) {
            breach(Rule.REPEAT, at, classes.get(s.messageClass).name() + " " + number + " has taken effect twice", s);
        }
    }

    /** A forwarder was told to wait. */
    public void retryAfterReceived(int forwarder, int destination, long at, long waitMicros) {
        waits.merge(forwarder + " " + destination, new long[] {at, at + waitMicros}, (a, b) -> b[1] > a[1] ? b : a);
    }

    /** A forwarder was told of an endpoint. */
    public void endpointReported(int forwarder, String host, boolean active, long at) {
        if (active) {
            toldGone.remove(forwarder + " " + host);
        } else {
            toldGone.putIfAbsent(forwarder + " " + host, at);
        }
    }

    // ---- lives ------------------------------------------------------------------------------------------
    /** A forwarder has died. */
    public void forwarderDied(int forwarder, long at) {
        count("restarts");
        downs.computeIfAbsent(forwarder, f -> new ArrayDeque<>()).addLast(new long[] {at, Long.MAX_VALUE});
        waits.keySet().removeIf(k -> k.startsWith(forwarder + " ")); // a restart ends the wait
        for (Story s : open.values()) {
            if (s.forwarder == forwarder && s.takenAt >= 0 && s.deliveredAt < 0) {
                s.line(at, "forwarder " + forwarder + " dies");
            }
        }
    }

    /** It is ready again. */
    public void forwarderReady(int forwarder, long at) {
        ArrayDeque<long[]> all = downs.get(forwarder);
        if (all != null) {
            all.peekLast()[1] = at + RESTART;
            while (all.size() > 10) {
                all.removeFirst();
            }
        }
    }

    // ---- the end ----------------------------------------------------------------------------------------
    /** Closes the stories of messages whose time was over long ago. Once a second is enough. */
    public void closeExpired(long now) {
        for (Iterator<Story> i = open.values().iterator(); i.hasNext(); ) {
            Story s = i.next();
            if (s.firstAt + KEEP > now || s.due + KEEP > now) {
                if (s.firstAt + KEEP > now) {
                    return; // the others are younger
                }
                continue;
            }
            close(s, now);
            i.remove();
        }
        waits.values().removeIf(w -> w[1] + KEEP < now);
    }

    /** The run is over: closes all stories. */
    public void finish(long now) {
        open.values().forEach(s -> close(s, now));
        open.clear();
    }

    private void close(Story s, long now) {
        if (s.takenAt >= 0
                && s.deliveredAt < 0
                && s.noticed == null
                && now > s.due + NOTICE
                && !away(s.forwarder, s.due, now)) {
            breach(Rule.ONE_END, s.due, "message " + s.number + " has no end", s);
        }
        MessageClass c = classes.get(s.messageClass);
        double got = s.deliveredAt < 0 ? 0 : c.worth(s.deliveredAt - s.firstAt);
        service.count(s.messageClass, s.firstAt, c.terms().worth(), got, got == 0 && s.noticed != null);
        count(
                s.deliveredAt >= 0
                        ? "fate_delivered"
                        : s.noticed != null
                                ? "fate_" + s.noticed
                                : s.refused
                                        ? "fate_turned_down"
                                        : s.takenAt >= 0 ? "fate_unknown" : "fate_never_taken");
    }
}
