package lilaclever.lab.world;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import lilaclever.DecisionModule;
import lilaclever.lab.audit.Auditor;
import lilaclever.lab.model.Arrival;
import lilaclever.lab.model.RandomStream;
import lilaclever.lab.scenario.Scenario;

/**
 * The clients of a run: they submit each message by the load balancer, and submit it again when it was refused or no
 * answer came, as often and as long as their rules allow. A submission's id holds the message's number, and how many
 * came before it.
 */
final class SimulatedClients {
    /** So much earlier than the answer to its submission can a notice of a message be here, microseconds. */
    private static final long NOTICE_RECHECK = 5_000, LONGEST_NOTICE_DELAY = 500_000;

    private static final String DEFERRED = "deferred";

    private final Scenario scenario;
    private final Timeline timeline;
    private final Auditor auditor;
    private final TimeSeries series;
    private final LoadBalancer loadBalancer;
    private final List<ForwarderHandle> forwarders;
    private final RandomStream random;

    private final Map<Integer, Arrival> arrivals = new HashMap<>();
    private final Map<Integer, Integer> retriesLeft = new HashMap<>();
    /** Submissions without an answer, and the forwarder of each: if it dies they are made again. */
    private final Map<String, Integer> unanswered = new LinkedHashMap<>();
    /** The last submission of each message: what comes under an earlier id counts for nothing. */
    private final Map<Integer, String> currentIds = new HashMap<>();

    SimulatedClients(
            Scenario scenario,
            Timeline timeline,
            Auditor auditor,
            TimeSeries series,
            LoadBalancer loadBalancer,
            List<ForwarderHandle> forwarders,
            RandomStream random) {
        this.scenario = scenario;
        this.timeline = timeline;
        this.auditor = auditor;
        this.series = series;
        this.loadBalancer = loadBalancer;
        this.forwarders = forwarders;
        this.random = random;
    }

    /** The message's number in the id of a submission. */
    static int number(String id) {
        return Integer.parseInt(id.substring(1, id.indexOf('-')));
    }

    /** Which of the message's submissions it is, from 0. */
    private static int submission(String id) {
        return Integer.parseInt(id.substring(id.indexOf('-') + 1));
    }

    /** What the partner must do for the message of that submission, microseconds. */
    long workMicros(String id) {
        return arrivals.get(number(id)).workMicros();
    }

    /** True if a message of this id was submitted lately, and its client has not submitted it again since. */
    boolean isCurrent(String id) {
        return id.matches("m\\d{1,9}-\\d{1,6}") && id.equals(currentIds.get(number(id)));
    }

    /** A client has a new message. */
    void arrive(Arrival arrival) {
        arrivals.put(arrival.number(), arrival);
        retriesLeft.put(arrival.number(), scenario.fleet().clientRetries());
        auditor.messageArrived(
                arrival.number(), arrival.messageClass(), arrival.destination(), arrival.workMicros(), timeline.now());
        series.add("arrived", 1);
        submit(arrival);
    }

    private void submit(Arrival arrival) {
        long deadline = arrival.atMicros() + terms(arrival).deadlineMicros();
        long left = deadline - timeline.now();
        if (left <= 0) {
            return;
        }
        int number = arrival.number();
        int forwarder = loadBalancer.pick();
        auditor.submitted(number, forwarder, timeline.now());
        String before = currentIds.get(number);
        String id = "m" + number + '-' + (before == null ? 0 : submission(before) + 1);
        timeline.after(scenario.fleet().networkMicros(), () -> {
            unanswered.put(id, forwarder);
            currentIds.put(number, id);
            forwarders.get(forwarder).handIn(id, arrival, left);
        });
    }

    private DecisionModule.MessageClass terms(Arrival arrival) {
        return scenario.classes().get(arrival.messageClass()).terms();
    }

    /** Nobody listened: it is submitted again. */
    void onConnectionRefused(String id) {
        if (unanswered.remove(id) != null) {
            auditor.count("met_a_dead_forwarder");
            resubmit(id);
        }
    }

    /** No answer came in time, or the connection broke: it is submitted again. */
    void onNoAnswer(String id) {
        if (unanswered.remove(id) != null) {
            auditor.count("hand_ins_without_an_answer");
            resubmit(id);
        }
    }

    /** A forwarder has died: all that it had not answered is submitted again. */
    void onDeath(int forwarder) {
        List<String> lost = new ArrayList<>();
        unanswered.forEach((id, to) -> {
            if (to == forwarder) {
                lost.add(id);
            }
        });
        for (String id : lost) {
            unanswered.remove(id);
            resubmit(id);
        }
    }

    private void resubmit(String id) {
        Arrival arrival = arrivals.get(number(id));
        if (arrival != null) {
            timeline.after(random.in(scenario.fleet().resubmitDelayMicros()), () -> submit(arrival));
        }
    }

    /** The message is accepted. */
    void onAccepted(String id) {
        Integer forwarder = unanswered.remove(id);
        if (forwarder != null) {
            auditor.accepted(number(id), forwarder, timeline.now());
        }
    }

    /** The message was refused; the forwarder advises to retry after so long, microseconds (0: no advice). */
    void onRefused(String id, long retryAfterMicros) {
        if (unanswered.remove(id) == null) {
            return; // it was submitted elsewhere since
        }
        auditor.rejected(number(id), timeline.now(), retryAfterMicros);
        series.add("turned_down", 1);
        retry(number(id), retryAfterMicros);
    }

    /** The platform has had a notice of an accepted message's final status. */
    void onNotice(String id, String status) {
        onNotice(id, status, timeline.now());
    }

    private void onNotice(String id, String status, long since) {
        if (unanswered.containsKey(id) && timeline.now() - since < LONGEST_NOTICE_DELAY) {
            // The answer is still on its way to the client.
            timeline.after(NOTICE_RECHECK, () -> onNotice(id, status, since));
            return;
        }
        boolean deferred = status.equals(DEFERRED);
        auditor.noticeReceived(number(id), status, timeline.now());
        series.add(deferred ? "refused" : "failed", 1);
        if (deferred) {
            retry(number(id), 0);
        }
    }

    private void retry(int number, long retryAfterMicros) {
        int left = retriesLeft.get(number);
        long after = Math.max(retryAfterMicros, random.in(scenario.fleet().resubmitDelayMicros()));
        if (left > 0 && mayRetry(number, timeline.now() + after)) {
            retriesLeft.put(number, left - 1);
            timeline.after(after, () -> submit(arrivals.get(number)));
        }
    }

    /** What may have taken effect is not submitted again, or with a key only inside its window. */
    private boolean mayRetry(int number, long at) {
        long riskAt = auditor.firstPossibleEffectMicros(number);
        if (riskAt < 0) {
            return true;
        }
        DecisionModule.MessageClass terms = terms(arrivals.get(number));
        return switch (terms.repeat()) {
            case SAFE -> true;
            case KEYED -> at <= riskAt + terms.repeatWindowMicros();
            case UNSAFE -> false;
        };
    }

    /** Forgets messages that arrived before that time, microseconds. */
    void forgetBefore(long micros) {
        arrivals.keySet().removeIf(n -> arrivals.get(n).atMicros() < micros);
        retriesLeft.keySet().retainAll(arrivals.keySet());
        currentIds.keySet().retainAll(arrivals.keySet());
    }
}
