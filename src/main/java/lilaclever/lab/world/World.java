package lilaclever.lab.world;

import java.util.ArrayList;
import java.util.List;
import java.util.function.LongConsumer;
import lilaclever.DecisionModule;
import lilaclever.lab.audit.Auditor;
import lilaclever.lab.audit.Breach.Rule;
import lilaclever.lab.model.Arrival;
import lilaclever.lab.model.Partner;
import lilaclever.lab.model.Partner.Answer;
import lilaclever.lab.model.RandomStream;
import lilaclever.lab.model.Traffic;
import lilaclever.lab.scenario.Scenario;
import lilaclever.lab.scenario.Scenario.Fleet;

/**
 * A rehearsal: a fleet of forwarders among models of all that is around them: partners, directory, load balancer,
 * clients. What plays it, in virtual time or on sockets, is behind {@link Timeline} and {@link ForwarderHandle}; it
 * tells here what its forwarders do. One thread, the timeline's.
 */
public final class World {
    private static final long SECOND = 1_000_000;
    /** How long a run goes on after the last deadline, microseconds. */
    private static final long AFTER_DEADLINES = 7 * SECOND;
    /** How long after its arrival a message is forgotten, seconds, and how often that is done. */
    private static final int FORGET_AFTER = 120, FORGET_EVERY = 10;
    /** With {@link Fault#FLOODS}, how often a call is repeated. */
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
    private List<Arrival> plan = List.of();

    /** A world that has not begun. */
    public World(Scenario scenario, long seed, Fault fault, Timeline timeline, ForwarderHandle.Factory maker) {
        this.timeline = timeline;
        this.scenario = scenario;
        this.seed = seed;
        this.fault = fault;
        fleet = scenario.fleet();
        auditor = new Auditor(scenario.classes(), fleet.drainGraceMicros());
        series = new TimeSeries(timeline, length());
        weights = Traffic.zipf(fleet.destinations(), fleet.zipf());
        List<ForwarderHandle> members = new ArrayList<>();
        directory =
                new EndpointDirectory(scenario, fault, timeline, auditor, new RandomStream(seed, "directory"), members);
        partners = new PartnerFactory(scenario, seed).make(weights, directory);
        LoadBalancer loadBalancer = new LoadBalancer(
                timeline, new RandomStream(seed, "front"), fleet.forwarders(), fleet.frontMemoryMicros());
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
            members.add(maker.make(this, i, settings.of(i), new RandomStream(seed, "forwarder " + i).below(1 << 30)));
        }
    }

    // ---- what forwarders ask ----------------------------------------------------------------------------
    /** What is played. */
    public Scenario scenario() {
        return scenario;
    }

    /** What the forwarders do wrong on purpose. */
    public Fault fault() {
        return fault;
    }

    /** Who watches. */
    public Auditor auditor() {
        return auditor;
    }

    /** Microseconds since the run began. */
    public long now() {
        return timeline.now();
    }

    /** How long the network takes, one way, microseconds. */
    public long network() {
        return fleet.networkMicros();
    }

    /** Runs the action at the time. */
    public void at(long micros, Runnable action) {
        timeline.at(micros, action);
    }

    /** Runs the action after so long. */
    public void after(long micros, Runnable action) {
        timeline.after(micros, action);
    }

    /** All partners, by destination. */
    public List<Partner> partners() {
        return partners;
    }

    /** The partner behind a destination. */
    public Partner partner(int destination) {
        return partners.get(destination); // they are numbered by their rank
    }

    /** The directory's list as it is now. */
    public List<DecisionModule.EndpointEntry> endpoints() {
        return directory.entries();
    }

    /** Its version. */
    public long directoryVersion() {
        return directory.version();
    }

    /** The message's number in the id of a hand-in. */
    public static int number(String id) {
        return SimulatedClients.number(id);
    }

    /** True if a message of this id was handed in lately, and its client has not handed it in again since. */
    public boolean isCurrent(String id) {
        return clients.isCurrent(id);
    }

    // ---- calls to partners ------------------------------------------------------------------------------
    /** A forwarder sends a message: the first byte of the call leaves. */
    public void onAttempt(String id, int forwarder, String host, int destination, long at) {
        auditor.attemptStarted(number(id), forwarder, host, destination, at);
    }

    /** The last byte of a message's call has come. */
    public void onRequestReceived(String id, int forwarder, int destination) {
        auditor.callArrived(number(id), forwarder, destination, now());
    }

    /** A call with these messages has come whole; tells what the partner makes of it. */
    public Answer call(Partner partner, String host, int forwarder, List<String> ids) {
        long[] work = ids.stream().mapToLong(clients::workMicros).toArray();
        series.add("calls", 1);
        Answer answer = partner.call(host, forwarder, work, now());
        if (fault == Fault.FLOODS && partner.capacityShare(now()) < 1) {
            for (int i = 0; i < FLOOD_REPEATS; i++) {
                partner.call(host, forwarder, work, now());
            }
        }
        if (answer.status() == Partner.Status.FULL) {
            series.add("refusals", 1);
        }
        return answer;
    }

    /** An attempt is over, as the partner knows it. */
    public void onAttemptOver(String id, String how, boolean neverRan) {
        auditor.attemptEnded(number(id), how, neverRan, now());
    }

    /** A partner has worked on a message; {@code heard}: its answer goes out on an open connection. */
    public void onProcessed(String id, boolean heard) {
        auditor.service().addWork(clients.workMicros(id), !heard);
        if (heard) {
            int number = number(id);
            auditor.attemptEnded(number, "delivered", false, now());
            auditor.delivered(number, now());
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

    // ---- what clients and the platform hear -------------------------------------------------------------
    /** Nobody listened: the client comes again. */
    public void onConnectionRefused(String id) {
        clients.onConnectionRefused(id);
    }

    /** No answer came in time, or the connection broke: the client comes again. */
    public void onNoAnswer(String id) {
        clients.onNoAnswer(id);
    }

    /** A client has heard that its message is taken on. */
    public void onAccepted(String id) {
        clients.onAccepted(id);
    }

    /** A client was turned away. */
    public void onRefused(String id, long comeBackMicros) {
        clients.onRefused(id, comeBackMicros);
    }

    /** The platform has had a notice. */
    public void onNotice(String id, String status) {
        clients.onNotice(id, status);
    }

    // ---- lives of forwarders ----------------------------------------------------------------------------
    /** A forwarder serves. */
    public void onReady(int forwarder) {
        forwarders.onReady(forwarder);
    }

    /** A forwarder has died by itself: its connections are gone, and it is started again by whoever runs it. */
    public void onUnexpectedDeath(int forwarder, String how) {
        forwarders.onUnexpectedDeath(forwarder, how);
    }

    /** Forwarders that have served at all. */
    public int readyCount() {
        return forwarders.readyCount();
    }

    // ---- the run ----------------------------------------------------------------------------------------
    /** How long the run lasts, until the last end is due, microseconds. */
    public long length() {
        long longestDeadline = scenario.classes().stream()
                .mapToLong(c -> c.terms().deadlineMicros())
                .max()
                .orElse(0);
        return scenario.traffic().lengthMicros() + AFTER_DEADLINES + longestDeadline;
    }

    /** Starts the forwarders; each tells when it is {@link #onReady}. */
    public void start() {
        forwarders.startAll();
    }

    /** All that will happen is planned from now on; {@code progress} hears the time once a second. */
    public void begin(LongConsumer progress) {
        Traffic traffic = new Traffic(
                scenario.traffic().shape(),
                fleet.ratePerSecond(),
                scenario.traffic().burstShare(),
                scenario.traffic().burstSeconds(),
                scenario.classes(),
                weights,
                partners);
        plan = traffic.draw(scenario.traffic().lengthMicros(), new RandomStream(seed, "arrivals"));
        scenario.events().forEach(events::plan);
        scheduleArrival(0);
        everySecond(progress);
    }

    /** What was drawn ahead: who hands in what, and when. */
    public List<Arrival> plan() {
        return plan;
    }

    /** One arrival after the other: the plan is long, the queue of events need not be. */
    private void scheduleArrival(int index) {
        if (index < plan.size()) {
            timeline.at(plan.get(index).atMicros(), () -> {
                clients.arrive(plan.get(index));
                scheduleArrival(index + 1);
            });
        }
    }

    private void everySecond(LongConsumer progress) {
        auditor.closeExpired(now());
        int held = forwarders.held();
        if (held >= 0) {
            series.add("held", held);
        }
        series.add("forwarders_up", forwarders.upCount());
        int forgettable = (int) (now() / SECOND) - FORGET_AFTER;
        if (forgettable > 0 && forgettable % FORGET_EVERY == 0) {
            clients.forgetBefore(now() - FORGET_AFTER * SECOND);
        }
        progress.accept(now());
        if (now() + SECOND < length()) {
            timeline.after(SECOND, () -> everySecond(progress));
        }
    }

    /** The run is over, or is cut short now: what it has shown. */
    public Result finish(long scheduled, TimingQuality trust) {
        auditor.finish(now());
        forwarders.reportBrokenInvariants();
        partners.forEach(this::reportFailBacks);
        List<Result.PartnerRow> rows = partners.stream().map(this::row).toList();
        boolean partial = now() < length();
        return new Result(
                scenario, seed, auditor, events.bands(), rows, series.rows(), now(), scheduled, partial, trust);
    }

    private void reportFailBacks(Partner partner) {
        int falls = partner.overloadsByInformedForwarders();
        if (falls > 0) {
            String what = "destination " + partner.destination() + " was pushed over " + falls
                    + " times by forwarders that saw it fail";
            auditor.addBreach(Rule.FAIL_BACK, now(), what);
        }
    }

    private Result.PartnerRow row(Partner partner) {
        return new Result.PartnerRow(
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
