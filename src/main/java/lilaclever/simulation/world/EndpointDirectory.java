package lilaclever.simulation.world;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import lilaclever.DecisionModule;
import lilaclever.DecisionModule.Presence;
import lilaclever.simulation.audit.Auditor;
import lilaclever.simulation.model.Partner;
import lilaclever.simulation.model.RandomStream;
import lilaclever.simulation.scenario.Scenario;

/** The directory service of a rehearsal: the endpoint list, its version, and the updates sent to forwarders. */
final class EndpointDirectory {
    /** How much longer than necessary a draining endpoint stays. */
    private static final long REMOVAL_MARGIN_MICROS = 1_000_000;

    private final Scenario scenario;
    private final Fault fault;
    private final Timeline timeline;
    private final Auditor auditor;
    private final RandomStream random;
    private final List<ForwarderHandle> forwarders;
    private final Map<String, DecisionModule.EndpointEntry> entries = new LinkedHashMap<>();
    /** By forwarder: when the latest update arrives, and until when none arrives. */
    private final long[] latestUpdateMicros, updatesDelayedUntilMicros;

    private long version = 1;
    private int hostCount;

    /** Creates an empty directory; {@code forwarders}, by number, are notified of its changes. */
    EndpointDirectory(
            Scenario scenario,
            Fault fault,
            Timeline timeline,
            Auditor auditor,
            RandomStream random,
            List<ForwarderHandle> forwarders) {
        this.scenario = scenario;
        this.fault = fault;
        this.timeline = timeline;
        this.auditor = auditor;
        this.random = random;
        this.forwarders = forwarders;
        latestUpdateMicros = new long[scenario.fleet().forwarders()];
        updatesDelayedUntilMicros = new long[scenario.fleet().forwarders()];
    }

    /** The list as it is now. */
    List<DecisionModule.EndpointEntry> entries() {
        return List.copyOf(entries.values());
    }

    /** The entry of that endpoint; null if it is not in the list. */
    DecisionModule.EndpointEntry entry(String host) {
        return entries.get(host);
    }

    /** The hosts of all endpoints, in the order in which they were added. */
    List<String> hosts() {
        return new ArrayList<>(entries.keySet());
    }

    /** The list's version, which each change increments. */
    long version() {
        return version;
    }

    /** Adds a new endpoint of the partner without notifying the forwarders. */
    DecisionModule.EndpointEntry addEndpoint(Partner partner) {
        String host = "s-" + partner.destination() + "-" + hostCount++;
        partner.addEndpoint(host);
        int kind = scenario.kinds().indexOf(partner.kind());
        DecisionModule.EndpointEntry entry = new DecisionModule.EndpointEntry(
                host, partner.destination(), 0, kind, Presence.ACTIVE, 0, timeline.nowMicros());
        entries.put(host, entry);
        return entry;
    }

    /**
     * Drains an endpoint, which must be active, and adds another one in its place. The draining endpoint is removed
     * {@code drainsForMicros} after the longest directory delay and the drain grace have passed, plus a margin.
     */
    void replaceEndpoint(String host, Partner partner, long drainsForMicros) {
        notifyForwarders(List.of(addEndpoint(partner), change(host, Presence.LEAVING)));
        long longestDelayMicros = scenario.fleet().directoryDelayMicros()[1];
        long staysForMicros =
                drainsForMicros + longestDelayMicros + scenario.fleet().drainGraceMicros() + REMOVAL_MARGIN_MICROS;
        timeline.after(staysForMicros, () -> {
            partner.removeEndpoint(host);
            notifyForwarders(List.of(change(host, Presence.LEFT)));
        });
    }

    /** Delays all updates to the forwarder until the given time. */
    void delayUpdates(int forwarder, long untilMicros) {
        updatesDelayedUntilMicros[forwarder] = untilMicros;
    }

    /** Records that a forwarder has read the complete list. */
    void onReady(int forwarder) {
        for (DecisionModule.EndpointEntry entry : entries.values()) {
            recordReceived(forwarder, entry);
        }
    }

    private void recordReceived(int forwarder, DecisionModule.EndpointEntry entry) {
        auditor.endpointReported(forwarder, entry.host(), entry.presence() == Presence.ACTIVE, timeline.nowMicros());
    }

    private DecisionModule.EndpointEntry change(String host, Presence presence) {
        DecisionModule.EndpointEntry before = entries.get(host);
        DecisionModule.EndpointEntry changed = new DecisionModule.EndpointEntry(
                host,
                before.destination(),
                before.zone(),
                before.kind(),
                presence,
                before.weight(),
                before.sinceMicros());
        if (presence == Presence.LEFT) {
            entries.remove(host);
        } else {
            entries.put(host, changed);
        }
        return changed;
    }

    /** Sends changed entries to each forwarder after a delay of its own, in the order of changes. */
    private void notifyForwarders(List<DecisionModule.EndpointEntry> changed) {
        long newVersion = ++version;
        for (ForwarderHandle forwarder : forwarders) {
            int number = forwarder.number();
            long atMicros = timeline.nowMicros() + random.in(scenario.fleet().directoryDelayMicros());
            atMicros = Math.max(Math.max(atMicros, latestUpdateMicros[number]), updatesDelayedUntilMicros[number]);
            latestUpdateMicros[number] = atMicros;
            timeline.at(atMicros, () -> deliver(forwarder, newVersion, changed));
        }
    }

    private void deliver(ForwarderHandle forwarder, long newVersion, List<DecisionModule.EndpointEntry> changed) {
        if (!forwarder.isUp()) {
            return; // it reads the complete list when it starts
        }
        boolean dropsDrains = fault == Fault.IGNORES_DRAINS;
        List<DecisionModule.EndpointEntry> delivered = changed.stream()
                .filter(e -> !dropsDrains || e.presence() == Presence.ACTIVE)
                .toList();
        forwarder.onEndpointsChanged(newVersion, delivered);
        changed.forEach(e -> recordReceived(forwarder.number(), e));
    }
}
