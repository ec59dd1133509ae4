package lilaclever.lab.world;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import lilaclever.DecisionModule;
import lilaclever.DecisionModule.Presence;
import lilaclever.lab.audit.Auditor;
import lilaclever.lab.model.Partner;
import lilaclever.lab.model.RandomStream;
import lilaclever.lab.scenario.Scenario;

/** The directory service of a run: the list of endpoints, its version, and the news of it that forwarders get. */
final class EndpointDirectory {
    /** So much longer than it must does an endpoint that drains stay, microseconds. */
    private static final long REMOVAL_MARGIN = 1_000_000;

    private final Scenario scenario;
    private final Fault fault;
    private final Timeline timeline;
    private final Auditor auditor;
    private final RandomStream random;
    private final List<ForwarderHandle> forwarders;
    private final Map<String, DecisionModule.EndpointEntry> entries = new LinkedHashMap<>();
    /** By forwarder: when the latest news arrives, and until when none does; microseconds. */
    private final long[] latestNewsAt, silentUntil;

    private long version = 1;
    private int hostCount;

    /** An empty list; {@code forwarders} are those that hear of its changes, by number. */
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
        latestNewsAt = new long[scenario.fleet().forwarders()];
        silentUntil = new long[scenario.fleet().forwarders()];
    }

    /** The list as it is now. */
    List<DecisionModule.EndpointEntry> entries() {
        return List.copyOf(entries.values());
    }

    /** The entry of that endpoint; null if it is not in the list. */
    DecisionModule.EndpointEntry entry(String host) {
        return entries.get(host);
    }

    /** All endpoints' names, in the order in which they came. */
    List<String> hosts() {
        return new ArrayList<>(entries.keySet());
    }

    /** The list's version: one more with each change. */
    long version() {
        return version;
    }

    /** A new endpoint of that partner. Nobody is told yet. */
    DecisionModule.EndpointEntry addEndpoint(Partner partner) {
        String host = "s-" + partner.destination() + "-" + hostCount++;
        partner.addEndpoint(host);
        int kind = scenario.kinds().indexOf(partner.kind());
        DecisionModule.EndpointEntry entry = new DecisionModule.EndpointEntry(
                host, partner.destination(), 0, kind, Presence.ACTIVE, 0, timeline.now());
        entries.put(host, entry);
        return entry;
    }

    /**
     * Drains an endpoint and adds another one in its place; it is gone once every forwarder can have heard, and so many
     * microseconds more. Nothing happens if it drains already.
     */
    void replaceEndpoint(String host, Partner partner, long drainsForMicros) {
        tell(List.of(addEndpoint(partner), change(host, Presence.LEAVING)));
        long longestDelay = scenario.fleet().directoryDelayMicros()[1];
        long staysFor = drainsForMicros + longestDelay + scenario.fleet().drainGraceMicros() + REMOVAL_MARGIN;
        timeline.after(staysFor, () -> {
            partner.removeEndpoint(host);
            tell(List.of(change(host, Presence.LEFT)));
        });
    }

    /** No news reaches the forwarder until then, microseconds; it comes late. */
    void silence(int forwarder, long untilMicros) {
        silentUntil[forwarder] = untilMicros;
    }

    /** A forwarder has read the whole list. */
    void onReady(int forwarder) {
        for (DecisionModule.EndpointEntry entry : entries.values()) {
            recordHeard(forwarder, entry);
        }
    }

    private void recordHeard(int forwarder, DecisionModule.EndpointEntry entry) {
        auditor.endpointReported(forwarder, entry.host(), entry.presence() == Presence.ACTIVE, timeline.now());
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

    /** Entries have changed: each forwarder is told in its own time, in the order of changes. */
    private void tell(List<DecisionModule.EndpointEntry> changed) {
        long newVersion = ++version;
        for (ForwarderHandle forwarder : forwarders) {
            int number = forwarder.number();
            long at = timeline.now() + random.in(scenario.fleet().directoryDelayMicros());
            at = Math.max(Math.max(at, latestNewsAt[number]), silentUntil[number]);
            latestNewsAt[number] = at;
            timeline.at(at, () -> deliver(forwarder, newVersion, changed));
        }
    }

    private void deliver(ForwarderHandle forwarder, long newVersion, List<DecisionModule.EndpointEntry> changed) {
        if (!forwarder.isUp()) {
            return; // it gets the whole list when it starts
        }
        boolean dropsDrains = fault == Fault.IGNORES_DRAINS;
        List<DecisionModule.EndpointEntry> delivered = changed.stream()
                .filter(e -> !dropsDrains || e.presence() == Presence.ACTIVE)
                .toList();
        forwarder.listing(newVersion, delivered);
        changed.forEach(e -> recordHeard(forwarder.number(), e));
    }
}
