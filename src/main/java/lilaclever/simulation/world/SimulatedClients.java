package lilaclever.simulation.world;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import lilaclever.DecisionModule;
import lilaclever.simulation.audit.Auditor;
import lilaclever.simulation.model.Arrival;
import lilaclever.simulation.model.RandomStream;
import lilaclever.simulation.scenario.Scenario;

/**
 * The clients of a rehearsal. They submit each message through the load balancer, and submit it again when it was
 * rejected or not answered, as often and as long as their rules allow. A submission's id contains the message's number
 * and the number of its earlier submissions.
 */
final class SimulatedClients {
    /**
     * A notice of a message may arrive before the answer to its submission. It is then checked again at this interval,
     * for at most the maximum delay.
     */
    private static final long NOTICE_RECHECK_MICROS = 5_000, MAX_NOTICE_DELAY_MICROS = 500_000;

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
    /** Unanswered submissions with their forwarders; they are repeated if the forwarder's process ends. */
    private final Map<String, Integer> unanswered = new LinkedHashMap<>();
    /** The id of each message's last submission; what arrives under an earlier id is ignored. */
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
    static int messageNumber(String id) {
        return Integer.parseInt(id.substring(1, id.indexOf('-')));
    }

    /** Which of the message's submissions it is, from 0. */
    private static int submissionNumber(String id) {
        return Integer.parseInt(id.substring(id.indexOf('-') + 1));
    }

    /** The partner's work for the message of that submission. */
    long workMicros(String id) {
        return arrivals.get(messageNumber(id)).workMicros();
    }

    /** True if a message was submitted recently under this id and has not been submitted again since. */
    boolean isCurrent(String id) {
        return id.matches("m\\d{1,9}-\\d{1,6}") && id.equals(currentIds.get(messageNumber(id)));
    }

    /** Submits a client's new message. */
    void arrive(Arrival arrival) {
        arrivals.put(arrival.number(), arrival);
        retriesLeft.put(arrival.number(), scenario.fleet().clientRetries());
        auditor.messageArrived(
                arrival.number(),
                arrival.messageClass(),
                arrival.destination(),
                arrival.workMicros(),
                timeline.nowMicros());
        series.add("arrived", 1);
        submit(arrival);
    }

    private void submit(Arrival arrival) {
        long deadlineMicros = arrival.atMicros() + terms(arrival).deadlineMicros();
        long leftMicros = deadlineMicros - timeline.nowMicros();
        if (leftMicros <= 0) {
            return;
        }
        int number = arrival.number();
        int forwarder = loadBalancer.pickForwarder();
        auditor.submitted(number, forwarder, timeline.nowMicros());
        String previousId = currentIds.get(number);
        String id = "m" + number + '-' + (previousId == null ? 0 : submissionNumber(previousId) + 1);
        timeline.after(scenario.fleet().networkMicros(), () -> {
            unanswered.put(id, forwarder);
            currentIds.put(number, id);
            forwarders.get(forwarder).submit(id, arrival, leftMicros);
        });
    }

    private DecisionModule.MessageClass terms(Arrival arrival) {
        return scenario.classes().get(arrival.messageClass()).terms();
    }

    /** The forwarder was not listening: the message is submitted again. */
    void onConnectionRefused(String id) {
        if (unanswered.remove(id) != null) {
            auditor.count("met_a_dead_forwarder");
            resubmit(id);
        }
    }

    /** No answer arrived in time, or the connection broke: the message is submitted again. */
    void onNoAnswer(String id) {
        if (unanswered.remove(id) != null) {
            auditor.count("hand_ins_without_an_answer");
            resubmit(id);
        }
    }

    /** A forwarder's process has ended: the messages that it had not answered are submitted again. */
    void onForwarderExit(int forwarder) {
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
        Arrival arrival = arrivals.get(messageNumber(id));
        if (arrival != null) {
            timeline.after(random.in(scenario.fleet().resubmitDelayMicros()), () -> submit(arrival));
        }
    }

    /** The message was accepted. */
    void onAccepted(String id) {
        Integer forwarder = unanswered.remove(id);
        if (forwarder != null) {
            auditor.accepted(messageNumber(id), forwarder, timeline.nowMicros());
        }
    }

    /** The message was rejected; a {@code retryAfterMicros} of 0 stands for none given. */
    void onRejected(String id, long retryAfterMicros) {
        if (unanswered.remove(id) == null) {
            return; // it has been submitted again since
        }
        auditor.rejected(messageNumber(id), timeline.nowMicros(), retryAfterMicros);
        series.add("turned_down", 1);
        retry(messageNumber(id), retryAfterMicros);
    }

    /** The platform has received a notice of an accepted message's final status. */
    void onNotice(String id, String status) {
        onNotice(id, status, timeline.nowMicros());
    }

    private void onNotice(String id, String status, long firstSeenMicros) {
        if (unanswered.containsKey(id) && timeline.nowMicros() - firstSeenMicros < MAX_NOTICE_DELAY_MICROS) {
            // The answer is still on its way to the client.
            timeline.after(NOTICE_RECHECK_MICROS, () -> onNotice(id, status, firstSeenMicros));
            return;
        }
        boolean deferred = status.equals(DEFERRED);
        auditor.noticeReceived(messageNumber(id), status, timeline.nowMicros());
        series.add(deferred ? "refused" : "failed", 1);
        if (deferred) {
            retry(messageNumber(id), 0);
        }
    }

    private void retry(int number, long retryAfterMicros) {
        int retriesLeftForMessage = retriesLeft.get(number);
        long delayMicros = Math.max(retryAfterMicros, random.in(scenario.fleet().resubmitDelayMicros()));
        if (retriesLeftForMessage > 0 && mayRetry(number, timeline.nowMicros() + delayMicros)) {
            retriesLeft.put(number, retriesLeftForMessage - 1);
            timeline.after(delayMicros, () -> submit(arrivals.get(number)));
        }
    }

    /**
     * A message that may have taken effect is submitted again only as its class allows: always if it is safe to repeat,
     * with an idempotency key inside the repeat window, otherwise never.
     */
    private boolean mayRetry(int number, long atMicros) {
        long possibleEffectMicros = auditor.firstPossibleEffectMicros(number);
        if (possibleEffectMicros < 0) {
            return true;
        }
        DecisionModule.MessageClass terms = terms(arrivals.get(number));
        return switch (terms.repeat()) {
            case SAFE -> true;
            case KEYED -> atMicros <= possibleEffectMicros + terms.repeatWindowMicros();
            case UNSAFE -> false;
        };
    }

    /** Forgets messages that arrived before that time. */
    void forgetBefore(long beforeMicros) {
        arrivals.keySet().removeIf(n -> arrivals.get(n).atMicros() < beforeMicros);
        retriesLeft.keySet().retainAll(arrivals.keySet());
        currentIds.keySet().retainAll(arrivals.keySet());
    }
}
