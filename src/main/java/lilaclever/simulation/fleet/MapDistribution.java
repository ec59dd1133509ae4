package lilaclever.simulation.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import lilaclever.placement.DeltaBatch;
import lilaclever.placement.DistributionTree;
import lilaclever.placement.MapCodec;
import lilaclever.placement.MapDelta;
import lilaclever.placement.MapFormatException;
import lilaclever.placement.MemberId;
import lilaclever.placement.ShardMap;

/** Distributes the changes of a region's map, and with them the configuration, to all of its forwarders. */
final class MapDistribution {
    /** Hops of a message between a forwarder and the controller: to a relay, and to the controller's machine. */
    static final int CONTROLLER_HOPS = 2;

    private static final int TREE_HOPS = 1;
    /** How long a forwarder waits for a version in transit before it fetches it. */
    private static final long FETCH_DELAY_MICROS = 300_000;
    /** How long a sender in the tree waits for a receiver's acknowledgement. */
    private static final long ACKNOWLEDGEMENT_TIMEOUT_MICROS = 300_000;

    private static final long FETCH_RETRY_MICROS = 1_000_000;
    /** Time for which map changes are collected into one batch. */
    private static final long BATCH_DELAY_MICROS = 100_000;
    /** The tree is rebuilt after this many batches, so that the cost of inner nodes rotates among the forwarders. */
    private static final int VERSIONS_PER_TREE = 4;

    private final int region;
    private final int shards;
    private final FleetSettings settings;
    private final EventQueue queue;
    private final Network network;
    private final FleetForwarders forwarders;
    private final FleetChecks checks;
    private final ConfigurationLog configurations;
    private final ControlTraffic traffic;
    private final Supplier<List<MemberId>> members;
    private final LongSupplier regionCutOffUntilMicros;
    private final MapHistory history = new MapHistory();
    private final DeltaBatch batch = new DeltaBatch();
    private final ShardMap sampleMap;
    private DistributionTree tree;
    private long treeVersion;
    private boolean membersChanged = true;

    MapDistribution(
            int region,
            int shards,
            FleetSettings settings,
            EventQueue queue,
            Network network,
            FleetForwarders forwarders,
            FleetChecks checks,
            ConfigurationLog configurations,
            ControlTraffic traffic,
            Supplier<List<MemberId>> members,
            LongSupplier regionCutOffUntilMicros) {
        this.region = region;
        this.shards = shards;
        this.settings = settings;
        this.queue = queue;
        this.network = network;
        this.forwarders = forwarders;
        this.checks = checks;
        this.configurations = configurations;
        this.traffic = traffic;
        this.members = members;
        this.regionCutOffUntilMicros = regionCutOffUntilMicros;
        sampleMap = new ShardMap(region, shards);
    }

    /** Number of the last batch that was sent. */
    long latest() {
        return history.latest();
    }

    /** Configuration version that a process has. */
    long configurationOf(ForwarderProcess process) {
        return history.configurationAt(process.mapVersion);
    }

    /** The members of the region have changed; the next batch goes through a new tree. */
    void membersChanged() {
        membersChanged = true;
    }

    /** Adds a map change to the next batch. */
    void addChange(MapDelta delta) {
        if (batch.isEmpty()) {
            queue.schedule(BATCH_DELAY_MICROS, this::publishBatch);
        }
        batch.add(delta);
    }

    private void publishBatch() {
        MapDelta delta = batch.take();
        byte[] encoded = MapCodec.encode(delta);
        boolean configurationChanged = delta.configurationVersion() > history.configurationAt(history.latest());
        int configurationBytes = configurationChanged ? settings.configurationBytes() : 0;
        history.add(delta, encoded.length + configurationBytes);
        applyToSample(encoded);
        long version = history.latest();
        if (membersChanged || version - treeVersion >= VERSIONS_PER_TREE) {
            buildTree(version);
        }
        Transmission transmission =
                new Transmission(version, MessageSizes.mapMessage(encoded.length + configurationBytes), tree);
        tree.heads().forEach(head -> sendDelta(null, head, transmission));
        queue.schedule(settings.mapBoundMicros(), () -> checkMapAge(version));
    }

    /** Decodes and applies a delta once, as every forwarder does, and measures the time. */
    private void applyToSample(byte[] encoded) {
        long startNanos = System.nanoTime();
        try {
            sampleMap.apply(MapCodec.decodeDelta(encoded));
        } catch (MapFormatException e) {
            throw new IllegalStateException("delta that was just encoded", e);
        }
        traffic.addDeltaTime(System.nanoTime() - startNanos);
    }

    private void buildTree(long version) {
        List<DistributionTree.TreeMember> treeMembers = new ArrayList<>();
        for (MemberId member : members.get()) {
            treeMembers.add(new DistributionTree.TreeMember(member, forwarders.byId(member).zoneWithinRegion));
        }
        tree = new DistributionTree(treeMembers, version, settings.treeDegree());
        treeVersion = version;
        membersChanged = false;
    }

    private void checkMapAge(long version) {
        checks.countCheck();
        for (SimulatedForwarder forwarder : forwarders.ofRegion(region)) {
            ForwarderProcess process = forwarder.process;
            if (process != null && process.mapVersion < version && process.mapFreshUntilMicros > queue.now()) {
                checks.addBreach(new FleetBreach(
                        FleetBreach.Kind.STALE_MAP,
                        queue.now(),
                        region,
                        forwarder.id + " has " + process.mapVersion + ", not " + version));
            }
        }
    }

    /** Schedules a fetch of missing versions for a process that is behind, in case they do not arrive in time. */
    void fetchIfBehind(ForwarderProcess process, long mapVersion) {
        if (process.mapVersion < mapVersion && !process.fetchScheduled) {
            process.fetchScheduled = true;
            queue.schedule(FETCH_DELAY_MICROS, () -> fetch(process, mapVersion));
        }
    }

    private void fetch(ForwarderProcess process, long mapVersion) {
        if (process.ended || process.mapVersion >= mapVersion) {
            process.fetchScheduled = false;
            return;
        }
        process.forwarder.countBytes(MessageSizes.OVERHEAD_BYTES, queue.now());
        traffic.fetches++;
        if (!process.forwarder.isCutOff(queue.now())) {
            network.withinRegion(CONTROLLER_HOPS, () -> answerFetch(process));
        }
        queue.schedule(FETCH_RETRY_MICROS, () -> fetch(process, mapVersion));
    }

    private void answerFetch(ForwarderProcess process) {
        long version = history.latest();
        long deltaBytes = history.bytesBetween(process.mapVersion, version);
        int bytes = MessageSizes.mapMessage((int) Math.min(deltaBytes, snapshotBytes()));
        traffic.countRelayed(process.forwarder, bytes);
        if (process.forwarder.isCutOff(queue.now())) {
            return;
        }
        network.withinRegion(CONTROLLER_HOPS, () -> {
            if (!process.ended && !process.forwarder.isCutOff(queue.now())) {
                process.forwarder.countBytes(bytes, queue.now());
                advance(process, version);
            }
        });
    }

    /** An estimate from the codec: two bytes for the owner and one for the epoch of each shard. */
    private int snapshotBytes() {
        return 3 * shards;
    }

    /** A delta that is being distributed through one tree. */
    private record Transmission(long version, int bytes, DistributionTree tree) {}

    /**
     * Handles a received delta. The receiver is always a member of the tree, since the tree sends to its members only.
     */
    private void deltaArrived(ForwarderProcess process, Transmission transmission) {
        process.forwarder.countBytes(transmission.bytes(), queue.now());
        long version = transmission.version();
        if (version <= process.mapVersion || process.earlyVersions.contains(version)) {
            return;
        }
        for (MemberId child : transmission.tree().childrenOf(process.forwarder.id)) {
            sendDelta(process.forwarder, child, transmission);
        }
        if (version == process.mapVersion + 1) {
            advance(process, version);
        } else {
            process.addEarlyVersion(version);
            fetchIfBehind(process, version);
        }
    }

    /**
     * Sends a delta to a receiver. If it is not acknowledged in time, it is sent once more, and also to the receiver's
     * children in its place.
     *
     * @param sender a forwarder, or null for the controller
     */
    private void sendDelta(SimulatedForwarder sender, MemberId receiver, Transmission transmission) {
        Delivery delivery = new Delivery(sender, receiver, transmission);
        delivery.send();
        queue.schedule(ACKNOWLEDGEMENT_TIMEOUT_MICROS, delivery::resendUnlessAcknowledged);
    }

    private final class Delivery {
        private final SimulatedForwarder sender;
        private final MemberId receiver;
        private final Transmission transmission;
        private boolean acknowledged;

        Delivery(SimulatedForwarder sender, MemberId receiver, Transmission transmission) {
            this.sender = sender;
            this.receiver = receiver;
            this.transmission = transmission;
        }

        void send() {
            countAtSender(transmission.bytes());
            if (!senderCutOff()) {
                network.withinRegion(TREE_HOPS, this::arrived);
            }
        }

        private void arrived() {
            ForwarderProcess process = forwarders.byId(receiver).process;
            if (process == null || process.forwarder.isCutOff(queue.now())) {
                return;
            }
            deltaArrived(process, transmission);
            process.forwarder.countBytes(MessageSizes.ACKNOWLEDGEMENT_BYTES, queue.now());
            network.withinRegion(TREE_HOPS, this::acknowledged);
        }

        private void acknowledged() {
            if (!senderCutOff()) {
                countAtSender(MessageSizes.ACKNOWLEDGEMENT_BYTES);
                acknowledged = true;
            }
        }

        void resendUnlessAcknowledged() {
            if (acknowledged || sender != null && !sender.isRunning()) {
                return;
            }
            traffic.resends++;
            send();
            for (MemberId next : transmission.tree().childrenOf(receiver)) {
                sendDelta(sender, next, transmission);
            }
        }

        private boolean senderCutOff() {
            return sender != null && sender.isCutOff(queue.now());
        }

        private void countAtSender(int bytes) {
            if (sender == null) {
                traffic.countSentByController(bytes);
            } else {
                sender.countBytes(bytes, queue.now());
            }
        }
    }

    private void advance(ForwarderProcess process, long version) {
        if (version <= process.mapVersion) {
            return;
        }
        long before = process.mapVersion;
        process.mapVersion = version;
        process.earlyVersions.headSet(version, true).clear();
        while (process.earlyVersions.remove(process.mapVersion + 1)) {
            process.mapVersion++;
        }
        configurations.applied(
                process,
                history.configurationAt(before),
                history.configurationAt(process.mapVersion),
                regionCutOffUntilMicros.getAsLong());
    }
}
