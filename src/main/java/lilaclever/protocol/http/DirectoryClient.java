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
    static final long FIRST_ANSWER_WAIT = 1_500_000;

    private static final int MOST_IDLE = 1;

    /** Who hears what the list says. */
    public interface Listener {
        /** A change of the list; the first one is the remembered list. */
        void listing(DecisionModule.ListingKind kind, long version, List<Core.ListedEndpoint> entries);
    }

    /** A list as the platform writes it. */
    public record ResolvedList(long version, boolean whole, List<Core.ListedEndpoint> entries) {}

    private final Core core;
    private final HttpClient client;
    private final Deliverer deliverer;
    private final KindsAndZones names;
    private final EndpointMembership membership;
    private final Listener listener;
    private final SplittableRandom random = new SplittableRandom();
    /** The watch at the address in force. */
    private DiscoveryWatch current;
    /** The watch at an earlier address whose agent has answered, until the one in force has; else null. */
    private DiscoveryWatch previous;
    /** Whether the agent of the address in force has answered: where no version was known, with its whole list. */
    private boolean isCurrentConfirmed;
    /** What is told once the first answer is here, or is waited for no longer; null from then on. */
    private List<EndpointMembership.CoreUpdate> withheld = new ArrayList<>();

    private Deadlines.Key firstAnswerDue;

    /** What the settings call kinds and zones, in order, and what they say of each kind. */
    public record KindsAndZones(List<String> kinds, List<String> zones, List<DecisionModule.EndpointKind> ofKinds) {
        private static final DecisionModule.EndpointKind UNKNOWN = new DecisionModule.EndpointKind(false, 1);

        DecisionModule.EndpointKind kind(int index) {
            return index >= 0 && index < ofKinds.size() ? ofKinds.get(index) : UNKNOWN;
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
                MOST_IDLE,
                DiscoveryWatch.MOST_ANSWER,
                true);
        this.deliverer = deliverer;
        this.names = names;
        this.membership = membership;
        this.current = watchAt(address);
    }

    /**
     * Starts to watch after the list that is known; {@code knownIndex} is below 0 where there is none, and the list is
     * fetched whole. The known list is told as remembered with the first answer, or after {@link #FIRST_ANSWER_WAIT};
     * nothing is told before.
     */
    public void start(long knownIndex, List<Core.ListedEndpoint> known) {
        withheld.add(membership.applyInitialList(Math.max(0, knownIndex), known));
        firstAnswerDue = core.deadlines().schedule(core.nowMicros() + FIRST_ANSWER_WAIT, this::tellWithheld);
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
        if (isCurrentConfirmed) {
            previous = current;
        } else {
            current.close();
            previous = isReturn ? null : previous;
        }
        current = next;
        isCurrentConfirmed = isReturn;
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
                        list.isCut(),
                        resolve(list).entries(),
                        list.unusable()),
                core.nowMicros(),
                Core.wallMicros());
        if (membership.needsWholeList(core.nowMicros())) {
            source.requestWholeList();
        }
        if (isInOrder) {
            tellWithheld();
        }
        if (withheld != null) {
            withheld.add(change);
        } else {
            tell(change);
        }
        if (source == current && isInOrder) {
            confirmCurrent();
        }
    }

    private void tellWithheld() {
        core.deadlines().cancel(firstAnswerDue);
        if (withheld != null) {
            List<EndpointMembership.CoreUpdate> changes = withheld;
            withheld = null;
            changes.forEach(this::tell);
        }
    }

    private void tell(EndpointMembership.CoreUpdate change) {
        if (change.kind() != DecisionModule.ListingKind.CHANGES
                || !change.entries().isEmpty()) {
            listener.listing(change.kind(), change.version(), change.entries());
        }
    }

    /** The agent in force tells all that there is: the one before is needed no longer. */
    private void confirmCurrent() {
        isCurrentConfirmed = true;
        if (previous != null) {
            previous.close();
            previous = null;
        }
    }

    /** The list as this forwarder uses it: with the numbers of kinds and zones, and who delivers to each endpoint. */
    public ResolvedList resolve(EndpointList list) {
        List<Core.ListedEndpoint> all = new ArrayList<>(list.endpoints().size());
        list.endpoints().forEach(endpoint -> all.add(listed(endpoint)));
        return new ResolvedList(list.version(), list.isWhole(), all);
    }

    private Core.ListedEndpoint listed(EndpointList.Endpoint endpoint) {
        int kind = names.kinds().indexOf(endpoint.type());
        int zone = Math.max(0, names.zones().indexOf(endpoint.zone()));
        DecisionModule.EndpointEntry entry = new DecisionModule.EndpointEntry(
                endpoint.name(),
                endpoint.destination(),
                zone,
                kind,
                endpoint.presence(),
                endpoint.weight(),
                sinceMicros(endpoint.sinceMillis()));
        return new Core.ListedEndpoint(
                entry,
                new Call.Endpoint(
                        endpoint.name(),
                        endpoint.address(),
                        endpoint.destination(),
                        zone,
                        names.kind(kind).maxBatchSize(),
                        names.kind(kind).limitPerEndpoint(),
                        deliverer));
    }

    /** A moment of the wall clock on the loop's clock; 0 stays 0, which means that it is not known. */
    private long sinceMicros(long sinceMillis) {
        return sinceMillis == 0 ? 0 : Math.max(1, core.nowMicros() - (System.currentTimeMillis() - sinceMillis) * 1000);
    }
}
