package lilaclever.simulation.world;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import lilaclever.simulation.audit.Auditor;
import lilaclever.simulation.audit.Breach.Rule;
import lilaclever.simulation.model.Partner;

/** Starts and kills the forwarders, and reports their readiness and their exits to the models that depend on them. */
final class ForwarderFleet {
    private static final long SECOND_MICROS = 1_000_000;
    /** How long a forwarder is ready before the load balancer detects it. */
    private static final long READY_DETECTION_MICROS = 100_000;
    /** How long after an unexpected exit a forwarder is started again. */
    private static final long RESTART_DELAY_MICROS = SECOND_MICROS;

    private final List<ForwarderHandle> forwarders;
    private final List<Partner> partners;
    private final EndpointDirectory directory;
    private final LoadBalancer loadBalancer;
    private final SimulatedClients clients;
    private final Timeline timeline;
    private final Auditor auditor;
    private final Set<Integer> everReady = new HashSet<>();

    /** Creates a fleet of these forwarders, which are indexed by their numbers. */
    ForwarderFleet(
            List<ForwarderHandle> forwarders,
            List<Partner> partners,
            EndpointDirectory directory,
            LoadBalancer loadBalancer,
            SimulatedClients clients,
            Timeline timeline,
            Auditor auditor) {
        this.forwarders = forwarders;
        this.partners = partners;
        this.directory = directory;
        this.loadBalancer = loadBalancer;
        this.clients = clients;
        this.timeline = timeline;
        this.auditor = auditor;
    }

    /** Starts all forwarders for the first time. */
    void startAll() {
        for (int forwarder = 0; forwarder < forwarders.size(); forwarder++) {
            start(forwarder, true);
        }
    }

    private void start(int forwarder, boolean isFirstRun) {
        forwarders.get(forwarder).start(directory.entries(), directory.version(), isFirstRun);
    }

    /** Kills a forwarder and starts it again after the delay; does nothing if it is already down. */
    void restart(int forwarder, long downMicros) {
        if (forwarders.get(forwarder).isUp()) {
            forwarders.get(forwarder).kill();
            onExit(forwarder);
            timeline.after(downMicros, () -> start(forwarder, false));
        }
    }

    /** A forwarder's process has ended unexpectedly: its connections are closed, and it is restarted after a delay. */
    void onUnexpectedExit(int forwarder, String cause) {
        auditor.count("deaths");
        auditor.addBreach(Rule.INVARIANT, timeline.nowMicros(), "forwarder " + forwarder + " died: " + cause);
        onExit(forwarder);
        timeline.after(RESTART_DELAY_MICROS, () -> start(forwarder, false));
    }

    private void onExit(int forwarder) {
        partners.forEach(p -> p.disconnectAll(forwarder));
        auditor.forwarderDied(forwarder, timeline.nowMicros());
        loadBalancer.onExit(forwarder);
        clients.onForwarderExit(forwarder);
    }

    /** A forwarder is ready to serve. */
    void onReady(int forwarder) {
        everReady.add(forwarder);
        auditor.forwarderReady(forwarder, timeline.nowMicros());
        directory.onReady(forwarder);
        timeline.after(READY_DETECTION_MICROS, () -> loadBalancer.onReady(forwarder));
    }

    /** The number of forwarders that have been ready at least once. */
    int everReadyCount() {
        return everReady.size();
    }

    /** Pending messages of all forwarders together; below 0 if the number is not known. */
    int pendingCount() {
        return forwarders.stream().mapToInt(ForwarderHandle::pendingCount).sum();
    }

    /** The number of forwarders that are up. */
    long upCount() {
        return forwarders.stream().filter(ForwarderHandle::isUp).count();
    }

    /** Reports the broken invariants of all forwarders to the auditor. */
    void reportBrokenInvariants() {
        for (ForwarderHandle forwarder : forwarders) {
            if (forwarder.brokenInvariants() > 0) {
                auditor.addBreach(
                        Rule.INVARIANT,
                        timeline.nowMicros(),
                        "forwarder " + forwarder.number() + ": " + forwarder.brokenInvariants() + " times");
            }
        }
    }
}
