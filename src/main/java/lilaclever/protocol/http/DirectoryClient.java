package lilaclever.protocol.http;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import lilaclever.DecisionModule;
import lilaclever.routing.Call;
import lilaclever.routing.Core;
import lilaclever.routing.Deadlines;
import lilaclever.routing.Deliverer;
import lilaclever.routing.EndpointMembership;
import lilaclever.transport.Transport;

/**
 * Watches the platform's list of endpoints and tells its changes. How the agents are asked is {@link DiscoveryWatch}'s,
 * what is believed of their answers {@link EndpointMembership}'s. Loop thread.
 */
public final class DirectoryClient {
    /**
     * What the agent has counts as told from the first moment of a new process, so the known list alone, which may
     * name endpoints that have left since, must not be acted upon while the agent may still answer. An agent answers
     * at once; one that has not in this time is slow or down, and messages can't wait for it much longer.
     */
    static final long FIRST_RESPONSE_WAIT_MICROS = 1_500_000;

    private static final int MAX_IDLE_CONNECTIONS = 1;

    /** Who hears what the list says. */
    public interface Listener {
        /** A change of the list; the first one is the remembered list. */
        void onChange(DecisionModule.ListingKind kind, long version, List<Core.ListedEndpoint> entries);
    }

    /** A list as the platform writes it. */
    public record ResolvedList(long version, boolean isWhole, List<Core.ListedEndpoint> entries) {}

    private final Core core;
    private final HttpClient client;
    private final Deliverer deliverer;
    private final KindsAndZones kindsAndZones;
    private final EndpointMembership membership;
    private final Listener listener;
    private final SplittableRandom random = new SplittableRandom();
    /** The watch at the address in force. */
    private DiscoveryWatch current;
    /** The watch at an earlier address whose agent has answered, until the one in force has; else null. */
    private DiscoveryWatch previous;
    /** Whether the agent of the address in force has answered: where no version was known, with its whole list. */
    private boolean hasCurrentResponded;
    /** What is told once the first answer is here, or is waited for no longer; null from then on. */
    private List<EndpointMembership.CoreUpdate> pendingChanges = new ArrayList<>();

    private Deadlines.Key firstResponseDeadline;

    /** What the settings call kinds and zones, in order, and what they say of each kind. */
    public record KindsAndZones(List<String> kindNames, List<String> zoneNames, List<DecisionModule.EndpointKind> kindSettings) {
        private static final DecisionModule.EndpointKind UNKNOWN_KIND = new DecisionModule.EndpointKind(false, 1);

        DecisionModule.EndpointKind settingsOfKind(int index) {
            return index >= 0 && index < kindSettings.size() ? kindSettings.get(index) : UNKNOWN_KIND;
        }
    }

    /** Watches the list at the address; {@code membership} decides what is believed of it. */
    public DirectoryClient(
            Core core,
            Transport transport,
            String address,
            Deliverer deliverer,
            KindsAndZones names,
            long connectMicros,
            long keepAliveMicros,
            EndpointMembership membership,
            Listener listener) {
        this.core = core;
        this.listener = listener;
        this.client = new HttpClient(
                core,
                transport,
                "directory",
                connectMicros,
                keepAliveMicros,
                MAX_IDLE_CONNECTIONS,
                DiscoveryWatch.MAX_RESPONSE_BYTES,
                true);
        this.deliverer = deliverer;
        this.kindsAndZones = names;
        this.membership = membership;
        this.current = watchAt(address);
    }

    /**
     * Starts to watch after the list that is known; {@code knownIndex} is below 0 where there is none, and the list is
     * fetched whole. The known list is told as remembered with the first answer, or after {@link #FIRST_RESPONSE_WAIT_MICROS};
     * nothing is told before.
     */
    public void start(long knownIndex, List<Core.ListedEndpoint> known) {
        pendingChanges.add(membership.applyInitialList(Math.max(0, knownIndex), known));
        firstResponseDeadline = core.deadlines().schedule(core.nowMicros() + FIRST_RESPONSE_WAIT_MICROS, this::reportPendingChanges);
        current.start(Math.max(EndpointList.NO_VERSION, knownIndex));
    }

    /**
     * Watches at another address at once; the address in force changes nothing. The new agent may count other versions,
     * so it is asked for the whole list: what is not in it has gone. Until it has given that, the agent that answered
     * last is watched too.
     */
    public void moveTo(String to) {
        if (to.equals(current.address())) {
            return;
        }
        boolean isReturn = previous != null && to.equals(previous.address());
        DiscoveryWatch next = isReturn ? previous : watchAt(to);
        if (hasCurrentResponded) {
            previous = current;
        } else {
            current.close();
            previous = isReturn ? null : previous;
        }
        current = next;
        hasCurrentResponded = isReturn;
        if (!isReturn) {
            current.start(EndpointList.NO_VERSION);
        }
    }

    private DiscoveryWatch watchAt(String address) {
        return new DiscoveryWatch(core, client, address, random, this::onList);
    }

    private void onList(DiscoveryWatch source, EndpointList list, boolean isInOrder) {
        EndpointMembership.CoreUpdate change = membership.update(
                new EndpointMembership.ListUpdate(
                        source.address(),
                        list.version(),
                        list.isWhole(),
                        list.isTruncated(),
                        resolve(list).entries(),
                        list.unusable()),
                core.nowMicros(),
                Core.wallMicros());
        if (membership.needsWholeList(core.nowMicros())) {
            source.requestWholeList();
        }
        if (isInOrder) {
            reportPendingChanges();
        }
        if (pendingChanges != null) {
            pendingChanges.add(change);
        } else {
            report(change);
        }
        if (source == current && isInOrder) {
            confirmCurrent();
        }
    }

    private void reportPendingChanges() {
        core.deadlines().cancel(firstResponseDeadline);
        if (pendingChanges != null) {
            List<EndpointMembership.CoreUpdate> changes = pendingChanges;
            pendingChanges = null;
            changes.forEach(this::report);
        }
    }

    private void report(EndpointMembership.CoreUpdate change) {
        if (change.kind() != DecisionModule.ListingKind.CHANGES
                || !change.entries().isEmpty()) {
            listener.onChange(change.kind(), change.version(), change.entries());
        }
    }

    /** The agent in force tells all that there is: the one before is needed no longer. */
    private void confirmCurrent() {
        hasCurrentResponded = true;
        if (previous != null) {
            previous.close();
            previous = null;
        }
    }

    /** The list as this forwarder uses it: with the numbers of kinds and zones, and who delivers to each endpoint. */
    public ResolvedList resolve(EndpointList list) {
        List<Core.ListedEndpoint> all = new ArrayList<>(list.endpoints().size());
        list.endpoints().forEach(endpoint -> all.add(resolveEndpoint(endpoint)));
        return new ResolvedList(list.version(), list.isWhole(), all);
    }

    private Core.ListedEndpoint resolveEndpoint(EndpointList.Endpoint endpoint) {
        int kind = kindsAndZones.kindNames().indexOf(endpoint.type());
        int zone = Math.max(0, kindsAndZones.zoneNames().indexOf(endpoint.zone()));
        DecisionModule.EndpointEntry entry = new DecisionModule.EndpointEntry(
                endpoint.name(),
                endpoint.destination(),
                zone,
                kind,
                endpoint.presence(),
                endpoint.weight(),
                toLoopMicros(endpoint.sinceMillis()));
        return new Core.ListedEndpoint(
                entry,
                new Call.Endpoint(
                        endpoint.name(),
                        endpoint.address(),
                        endpoint.destination(),
                        zone,
                        kindsAndZones.settingsOfKind(kind).maxBatchSize(),
                        kindsAndZones.settingsOfKind(kind).limitPerEndpoint(),
                        deliverer));
    }

    /** A moment of the wall clock on the loop's clock; 0 stays 0, which means that it is not known. */
    private long toLoopMicros(long sinceMillis) {
        return sinceMillis == 0 ? 0 : Math.max(1, core.nowMicros() - (System.currentTimeMillis() - sinceMillis) * 1000);
    }
}
