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
 * Watches the platform's endpoint list and reports its changes. {@link DiscoveryWatch} polls the discovery agents;
 * {@link EndpointMembership} decides which parts of their responses are accepted. Event loop.
 */
public final class DirectoryClient {
    /**
     * A new process counts as knowing the agent's data from its first moment, so the known list alone, which may name
     * endpoints that have left since, must not be used while the agent may still answer. An agent answers at once; one
     * that has not answered after this time is slow or down, and messages can't wait for it much longer.
     */
    static final long FIRST_RESPONSE_WAIT_MICROS = 1_500_000;

    private static final int MAX_IDLE_CONNECTIONS = 1;

    /** Receives the changes of the endpoint list. */
    public interface Listener {
        /** Reports a change of the list; the first one is the remembered list. */
        void onChange(DecisionModule.ListingKind kind, long version, List<Core.ListedEndpoint> entries);
    }

    /** An endpoint list with the numbers and the deliverer that this forwarder uses for each endpoint. */
    public record ResolvedList(long version, boolean isWhole, List<Core.ListedEndpoint> entries) {}

    private final Core core;
    private final HttpClient client;
    private final Deliverer deliverer;
    private final KindsAndZones kindsAndZones;
    private final EndpointMembership membership;
    private final Listener listener;
    private final SplittableRandom random = new SplittableRandom();
    /** The watch at the configured address. */
    private DiscoveryWatch current;
    /** The watch at an earlier address whose agent has answered, until the current one has; else null. */
    private DiscoveryWatch previous;
    /** Whether the current agent has answered, and with its whole list if no version was known. */
    private boolean hasCurrentResponded;
    /** Changes that are reported once the first response arrives or is no longer waited for; null from then on. */
    private List<EndpointMembership.CoreUpdate> pendingChanges = new ArrayList<>();

    private Deadlines.Key firstResponseDeadline;

    /** The names of kinds and zones, in the order of the settings, and the settings of each kind. */
    public record KindsAndZones(
            List<String> kindNames, List<String> zoneNames, List<DecisionModule.EndpointKind> kindSettings) {
        private static final DecisionModule.EndpointKind UNKNOWN_KIND = new DecisionModule.EndpointKind(false, 1);

        DecisionModule.EndpointKind settingsOfKind(int index) {
            return index >= 0 && index < kindSettings.size() ? kindSettings.get(index) : UNKNOWN_KIND;
        }
    }

    /** Watches the list at the address; {@code membership} decides which entries are accepted. */
    public DirectoryClient(
            Core core,
            Transport transport,
            String address,
            Deliverer deliverer,
            KindsAndZones kindsAndZones,
            long connectTimeoutMicros,
            long keepAliveMicros,
            EndpointMembership membership,
            Listener listener) {
        this.core = core;
        this.listener = listener;
        this.client = new HttpClient(
                core,
                transport,
                "directory",
                connectTimeoutMicros,
                keepAliveMicros,
                MAX_IDLE_CONNECTIONS,
                DiscoveryWatch.MAX_RESPONSE_BYTES,
                true);
        this.deliverer = deliverer;
        this.kindsAndZones = kindsAndZones;
        this.membership = membership;
        this.current = watchAt(address);
    }

    /**
     * Starts to watch from the known list. A {@code knownVersion} below 0 means that no list is known: the whole list
     * is then fetched. The known list is reported as remembered with the first response, or after {@link
     * #FIRST_RESPONSE_WAIT_MICROS}; nothing is reported before.
     */
    public void start(long knownVersion, List<Core.ListedEndpoint> known) {
        pendingChanges.add(membership.applyInitialList(Math.max(0, knownVersion), known));
        firstResponseDeadline =
                core.deadlines().schedule(core.nowMicros() + FIRST_RESPONSE_WAIT_MICROS, this::reportPendingChanges);
        current.start(Math.max(EndpointList.NO_VERSION, knownVersion));
    }

    /**
     * Switches to another address at once; nothing happens if the address is unchanged. The new agent may number its
     * versions differently, so it is asked for the whole list: endpoints that are not in it have left. Until it has
     * delivered the whole list, the agent that answered last is watched too.
     */
    public void moveTo(String newAddress) {
        if (newAddress.equals(current.address())) {
            return;
        }
        boolean isReturn = previous != null && newAddress.equals(previous.address());
        DiscoveryWatch next = isReturn ? previous : watchAt(newAddress);
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

    /** The current agent has delivered its list, so the previous one is no longer needed. */
    private void confirmCurrent() {
        hasCurrentResponded = true;
        if (previous != null) {
            previous.close();
            previous = null;
        }
    }

    /** Resolves kinds and zones to their numbers and adds the deliverer of each endpoint. */
    public ResolvedList resolve(EndpointList list) {
        List<Core.ListedEndpoint> resolved = new ArrayList<>(list.endpoints().size());
        list.endpoints().forEach(endpoint -> resolved.add(resolveEndpoint(endpoint)));
        return new ResolvedList(list.version(), list.isWhole(), resolved);
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
                        endpoint.sinceMillis(),
                        endpoint.destination(),
                        zone,
                        kindsAndZones.settingsOfKind(kind).maxBatchSize(),
                        kindsAndZones.settingsOfKind(kind).limitPerEndpoint(),
                        deliverer));
    }

    /** Converts a wall clock time to the event loop's clock; 0, which means unknown, stays 0. */
    private long toLoopMicros(long sinceMillis) {
        return sinceMillis == 0 ? 0 : Math.max(1, core.nowMicros() - (System.currentTimeMillis() - sinceMillis) * 1000);
    }
}
