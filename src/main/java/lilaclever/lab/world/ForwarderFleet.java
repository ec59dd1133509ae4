package lilaclever.lab.world;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import lilaclever.lab.audit.Auditor;
import lilaclever.lab.audit.Breach.Rule;
import lilaclever.lab.model.Partner;

/** The lives of the forwarders: their starts, their deaths, and who gets to know of these. */
final class ForwarderFleet {
    private static final long SECOND = 1_000_000;
    /** How long a forwarder serves before the load balancer knows it, microseconds. */
    private static final long READY_DETECTION = 100_000;
    /** How long one that died by itself is dead before it is started again, microseconds. */
    private static final long DEATH_DETECTION = SECOND;

    private final List<ForwarderHandle> forwarders;
    private final List<Partner> partners;
    private final EndpointDirectory directory;
    private final LoadBalancer loadBalancer;
    private final SimulatedClients clients;
    private final Timeline timeline;
    private final Auditor auditor;
    private final Set<Integer> haveServed = new HashSet<>();

    /** Of these forwarders, which stand at their numbers. */
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

    /** Starts all for the first time. */
    void startAll() {
        for (int forwarder = 0; forwarder < forwarders.size(); forwarder++) {
            start(forwarder, true);
        }
    }

    private void start(int forwarder, boolean first) {
        forwarders.get(forwarder).start(directory.entries(), directory.version(), first);
    }

    /** Kills a forwarder and starts it again after so long, microseconds; one that is down already is left alone. */
    void restart(int forwarder, long downMicros) {
        if (forwarders.get(forwarder).isUp()) {
            forwarders.get(forwarder).kill();
            onDeath(forwarder);
            timeline.after(downMicros, () -> start(forwarder, false));
        }
    }

    /** A forwarder has died by itself: its connections are gone, and it is started again by whoever runs it. */
    void onUnexpectedDeath(int forwarder, String how) {
        auditor.count("deaths");
        auditor.addBreach(Rule.INVARIANT, timeline.now(), "forwarder " + forwarder + " died: " + how);
        onDeath(forwarder);
        timeline.after(DEATH_DETECTION, () -> start(forwarder, false));
    }

    private void onDeath(int forwarder) {
        partners.forEach(p -> p.disconnectAll(forwarder));
        auditor.forwarderDied(forwarder, timeline.now());
        loadBalancer.onDeath(forwarder);
        clients.onDeath(forwarder);
    }

    /** A forwarder serves. */
    void onReady(int forwarder) {
        haveServed.add(forwarder);
        auditor.forwarderReady(forwarder, timeline.now());
        directory.onReady(forwarder);
        timeline.after(READY_DETECTION, () -> loadBalancer.onReady(forwarder));
    }

    /** Forwarders that have served at all. */
    int readyCount() {
        return haveServed.size();
    }

    /** Messages that all hold together; below 0 if that can't be seen from here. */
    int held() {
        return forwarders.stream().mapToInt(ForwarderHandle::held).sum();
    }

    /** Forwarders that are up. */
    long upCount() {
        return forwarders.stream().filter(ForwarderHandle::isUp).count();
    }

    /** Reports the invariants that forwarders have seen broken. */
    void reportBrokenInvariants() {
        for (ForwarderHandle forwarder : forwarders) {
            if (forwarder.broken() > 0) {
                auditor.addBreach(
                        Rule.INVARIANT,
                        timeline.now(),
                        "forwarder " + forwarder.number() + ": " + forwarder.broken() + " times");
            }
        }
    }
}
