package lilaclever.simulation.world;

import java.util.ArrayList;
import java.util.List;
import java.util.function.LongConsumer;
import lilaclever.DecisionModule;
import lilaclever.simulation.audit.Auditor;
import lilaclever.simulation.audit.Breach.Rule;
import lilaclever.simulation.model.Arrival;
import lilaclever.simulation.model.Partner;
import lilaclever.simulation.model.Partner.Answer;
import lilaclever.simulation.model.RandomStream;
import lilaclever.simulation.model.Traffic;
import lilaclever.simulation.scenario.Scenario;
import lilaclever.simulation.scenario.Scenario.Fleet;

/**
 * The simulated world of a rehearsal: a fleet of forwarders and models of their environment, namely partners,
 * directory, load balancer and clients. {@link Timeline} and {@link ForwarderHandle} hide whether it runs in virtual
 * time or on sockets; their implementations report here what the forwarders do. Used on the timeline's thread only.
 */
public final class World {
    private static final long SECOND_MICROS = 1_000_000;
    /** How long a rehearsal goes on after the last deadline. */
    private static final long MARGIN_AFTER_DEADLINES_MICROS = 7 * SECOND_MICROS;
    /** How long after its arrival a message is forgotten, and how often messages are checked for this. */
    private static final int FORGET_AFTER_SECONDS = 120, FORGET_INTERVAL_SECONDS = 10;
    /** How often each call is repeated with {@link Fault#FLOODS}. */
    private static final int FLOOD_REPEATS = 4;

    private final Scenario scenario;
    private final long seed;
    private final Fault fault;
    private final Timeline timeline;
    private final Auditor auditor;
    private final Fleet fleet;
    private final double[] weights;
    private final List<Partner> partners;
    private final EndpointDirectory directory;
    private final SimulatedClients clients;
    private final ForwarderFleet forwarders;
    private final EventPlanner events;
    private final TimeSeries series;
    private List<Arrival> plannedArrivals = List.of();

    /** Creates a world whose forwarders are not started yet. */
    public World(
            Scenario scenario, long seed, Fault fault, Timeline timeline, ForwarderHandle.Factory forwarderFactory) {
        this.timeline = timeline;
        this.scenario = scenario;
        this.seed = seed;
        this.fault = fault;
        fleet = scenario.fleet();
        auditor = new Auditor(scenario.classes(), fleet.drainGraceMicros());
        series = new TimeSeries(timeline, lengthMicros());
        weights = Traffic.zipf(fleet.destinations(), fleet.zipf());
        List<ForwarderHandle> members = new ArrayList<>();
        directory =
                new EndpointDirectory(scenario, fault, timeline, auditor, new RandomStream(seed, "directory"), members);
        partners = new PartnerFactory(scenario, seed).create(weights, directory);
        LoadBalancer loadBalancer = new LoadBalancer(
                timeline, new RandomStream(seed, "front"), fleet.forwarders(), fleet.failureDetectionMicros());
        clients = new SimulatedClients(
                scenario, timeline, auditor, series, loadBalancer, members, new RandomStream(seed, "clients"));
        forwarders = new ForwarderFleet(members, partners, directory, loadBalancer, clients, timeline, auditor);
        events = new EventPlanner(
                fleet.forwarders(),
                timeline,
                new RandomStream(seed, "events"),
                partners,
                directory,
                loadBalancer,
                forwarders);
        ForwarderSettings settings = new ForwarderSettings(scenario, weights, partners);
        for (int i = 0; i < fleet.forwarders(); i++) {
            members.add(forwarderFactory.create(
                    this, i, settings.forForwarder(i), new RandomStream(seed, "forwarder " + i).below(1 << 30)));
        }
    }

    // State read by the forwarders and stand-ins

    /** The scenario of this rehearsal. */
    public Scenario scenario() {
        return scenario;
    }

    /** The deliberate fault of the forwarders. */
    public Fault fault() {
        return fault;
    }

    /** The auditor, which checks the rules and counts. */
    public Auditor auditor() {
        return auditor;
    }

    /** Microseconds since the rehearsal began. */
    public long nowMicros() {
        return timeline.nowMicros();
    }

    /** The one-way delay of the network. */
    public long networkDelayMicros() {
        return fleet.networkMicros();
    }

    /** Runs the action at the time, or as soon as possible if that is past. */
    public void at(long atMicros, Runnable action) {
        timeline.at(atMicros, action);
    }

    /** Runs the action after the delay. */
    public void after(long delayMicros, Runnable action) {
        timeline.after(delayMicros, action);
    }

    /** All partners, by destination. */
    public List<Partner> partners() {
        return partners;
    }

    /** The partner behind a destination. */
    public Partner partner(int destination) {
        return partners.get(destination); // partners are numbered by their rank
    }

    /** The directory's current list. */
    public List<DecisionModule.EndpointEntry> endpoints() {
        return directory.entries();
    }

    /** The version of the directory's list. */
    public long directoryVersion() {
        return directory.version();
    }

    /** The message's number in the id of a submission. */
    public static int messageNumber(String id) {
        return SimulatedClients.messageNumber(id);
    }

    /** True if a message was submitted recently under this id and has not been submitted again since. */
    public boolean isCurrent(String id) {
        return clients.isCurrent(id);
    }

    // Calls to partners

    /** A forwarder sends the first byte of a message's call. */
    public void onAttemptStarted(String id, int forwarder, String host, int destination, long atMicros) {
        auditor.attemptStarted(messageNumber(id), forwarder, host, destination, atMicros);
    }

    /** A partner has received the last byte of a message's call. */
    public void onCallArrived(String id, int forwarder, int destination) {
        auditor.callArrived(messageNumber(id), forwarder, destination, nowMicros());
    }

    /** A partner has received a complete call with these messages; returns its answer. */
    public Answer callPartner(Partner partner, String host, int forwarder, List<String> ids) {
        long[] workMicros = ids.stream().mapToLong(clients::workMicros).toArray();
        series.add("calls", 1);
        Answer answer = partner.call(host, forwarder, workMicros, nowMicros());
        if (fault == Fault.FLOODS && partner.capacityShare(nowMicros()) < 1) {
            for (int i = 0; i < FLOOD_REPEATS; i++) {
                partner.call(host, forwarder, workMicros, nowMicros());
            }
        }
        if (answer.status() == Partner.Status.FULL) {
            series.add("refusals", 1);
        }
        return answer;
    }

    /** An attempt has ended on the partner's side. */
    public void onAttemptEnded(String id, String result, boolean neverRan) {
        auditor.attemptEnded(messageNumber(id), result, neverRan, nowMicros());
    }

    /** A partner has processed a message; {@code isAnswered} if its answer goes out on an open connection. */
    public void onProcessed(String id, boolean isAnswered) {
        auditor.service().addWork(clients.workMicros(id), !isAnswered);
        if (isAnswered) {
            int number = messageNumber(id);
            auditor.attemptEnded(number, "delivered", false, nowMicros());
            auditor.delivered(number, nowMicros());
            series.add("delivered", 1);
        }
    }

    /** A forwarder has closed an idle connection. */
    public void disconnect(String host, int forwarder) {
        DecisionModule.EndpointEntry entry = directory.entry(host);
        if (entry != null) {
            partner(entry.destination()).disconnect(host, forwarder);
        }
    }

    // Answers and notices to clients and the platform

    /** The forwarder was not listening: the client retries later. */
    public void onConnectionRefused(String id) {
        clients.onConnectionRefused(id);
    }

    /** No answer arrived in time, or the connection broke: the client retries later. */
    public void onNoAnswer(String id) {
        clients.onNoAnswer(id);
    }

    /** A client was answered that its message is accepted. */
    public void onAccepted(String id) {
        clients.onAccepted(id);
    }

    /** A client was answered that its message is rejected; a {@code retryAfterMicros} of 0 stands for none given. */
    public void onRejected(String id, long retryAfterMicros) {
        clients.onRejected(id, retryAfterMicros);
    }

    /** The platform has received a notice of a message's final status. */
    public void onNotice(String id, String status) {
        clients.onNotice(id, status);
    }

    // Process runs of forwarders

    /** A forwarder is ready to serve. */
    public void onReady(int forwarder) {
        forwarders.onReady(forwarder);
    }

    /** A forwarder's process has ended unexpectedly: its connections are closed, and it is restarted after a delay. */
    public void onUnexpectedExit(int forwarder, String cause) {
        forwarders.onUnexpectedExit(forwarder, cause);
    }

    /** The number of forwarders that have been ready at least once. */
    public int everReadyCount() {
        return forwarders.everReadyCount();
    }

    // Course of the rehearsal

    /** The length of the rehearsal, until the last final status is due. */
    public long lengthMicros() {
        long longestDeadlineMicros = scenario.classes().stream()
                .mapToLong(c -> c.terms().deadlineMicros())
                .max()
                .orElse(0);
        return scenario.traffic().lengthMicros() + MARGIN_AFTER_DEADLINES_MICROS + longestDeadlineMicros;
    }

    /** Starts the forwarders; {@link #onReady} is called for each once it is ready. */
    public void start() {
        forwarders.startAll();
    }

    /** Schedules all arrivals and events, beginning now; {@code progress} receives the time once a second. */
    public void begin(LongConsumer progress) {
        Traffic traffic = new Traffic(
                scenario.traffic().shape(),
                fleet.ratePerSecond(),
                scenario.traffic().burstShare(),
                scenario.traffic().burstSeconds(),
                scenario.classes(),
                weights,
                partners);
        plannedArrivals = traffic.draw(scenario.traffic().lengthMicros(), new RandomStream(seed, "arrivals"));
        scenario.events().forEach(events::plan);
        scheduleArrival(0);
        runEverySecond(progress);
    }

    /** The arrivals that were drawn in advance. */
    public List<Arrival> plannedArrivals() {
        return plannedArrivals;
    }

    /** Schedules one arrival at a time, to keep the timeline's queue short. */
    private void scheduleArrival(int index) {
        if (index < plannedArrivals.size()) {
            timeline.at(plannedArrivals.get(index).atMicros(), () -> {
                clients.arrive(plannedArrivals.get(index));
                scheduleArrival(index + 1);
            });
        }
    }

    private void runEverySecond(LongConsumer progress) {
        auditor.closeExpired(nowMicros());
        int pendingCount = forwarders.pendingCount();
        if (pendingCount >= 0) {
            series.add("held", pendingCount);
        }
        series.add("forwarders_up", forwarders.upCount());
        int forgettableSecond = (int) (nowMicros() / SECOND_MICROS) - FORGET_AFTER_SECONDS;
        if (forgettableSecond > 0 && forgettableSecond % FORGET_INTERVAL_SECONDS == 0) {
            clients.forgetBefore(nowMicros() - FORGET_AFTER_SECONDS * SECOND_MICROS);
        }
        progress.accept(nowMicros());
        if (nowMicros() + SECOND_MICROS < lengthMicros()) {
            timeline.after(SECOND_MICROS, () -> runEverySecond(progress));
        }
    }

    /** Ends the rehearsal, at its full length or cut short, and returns its result. */
    public RehearsalResult finish(long actionCount, TimingQuality timingQuality) {
        auditor.finish(nowMicros());
        forwarders.reportBrokenInvariants();
        partners.forEach(this::reportFailBacks);
        List<RehearsalResult.PartnerRow> rows = partners.stream().map(this::row).toList();
        boolean partial = nowMicros() < lengthMicros();
        return new RehearsalResult(
                scenario,
                seed,
                auditor,
                events.periods(),
                rows,
                series.rows(),
                nowMicros(),
                actionCount,
                partial,
                timingQuality);
    }

    private void reportFailBacks(Partner partner) {
        int overloads = partner.overloadsByInformedForwarders();
        if (overloads > 0) {
            String description = "destination " + partner.destination() + " failed " + overloads
                    + " times under the load of forwarders that had seen it fail";
            auditor.addBreach(Rule.FAIL_BACK, nowMicros(), description);
        }
    }

    private RehearsalResult.PartnerRow row(Partner partner) {
        return new RehearsalResult.PartnerRow(
                partner.destination(),
                partner.kind().name(),
                partner.capacity(),
                weights[partner.destination()],
                partner.calls(),
                partner.refused(),
                partner.served(),
                partner.overloads());
    }
}
