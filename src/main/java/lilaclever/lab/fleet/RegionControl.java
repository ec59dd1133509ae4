package lilaclever.lab.fleet;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import lilaclever.placement.ControllerCommand;
import lilaclever.placement.ControllerEvent;
import lilaclever.placement.ControllerSettings;
import lilaclever.placement.DeltaBatch;
import lilaclever.placement.DistributionTree;
import lilaclever.placement.MapCodec;
import lilaclever.placement.MapDelta;
import lilaclever.placement.MapFormatException;
import lilaclever.placement.MemberId;
import lilaclever.placement.PlacementController;
import lilaclever.placement.RejectionReason;
import lilaclever.placement.SendPermission;
import lilaclever.placement.ShardMap;

/** The control of one region: its controller, the relays before it, and the distribution of its map. */
final class RegionControl {
    /** Machines that a message between a forwarder and the controller passes: a relay, and the controller's own. */
    private static final int CONTROLLER_HOPS = 2;

    private static final int TREE_HOPS = 1;
    /** How long a forwarder waits for a version that is under way before it asks for it. */
    private static final long FETCH_DELAY_MICROS = 300_000;
    /** How long a sender in the tree waits for a receiver's acknowledgement. */
    private static final long ACKNOWLEDGE_MICROS = 300_000;

    private static final long FETCH_RETRY_MICROS = 1_000_000;
    /** The controller takes its configuration to be current for so long after word from the publisher. */
    private static final long PUBLISHER_SILENCE_MICROS = 3_000_000;
    /** Changes of the map are gathered for so long before they are sent through the tree as one. */
    private static final long BATCH_MICROS = 100_000;
    /** After so many batches the tree is built anew, so that the cost of passing on goes round. */
    private static final int VERSIONS_PER_TREE = 4;

    final int region;
    private final FleetSettings settings;
    private final EventQueue queue;
    private final Network network;
    private final FleetForwarders forwarders;
    private final FleetChecks checks;
    private final ConfigurationLog configurations;
    private final OwnershipChecker checker;
    private final PlacementController controller;
    private final SimulatedClock clock;
    private final MapHistory history = new MapHistory();
    private final DeltaBatch batch = new DeltaBatch();
    private final ShardMap sampleMap;
    private final ControlTraffic traffic;
    private DistributionTree tree;
    private long treeVersion;
    private boolean membersChanged = true;
    private long nextAdvance = Long.MAX_VALUE;
    private long publisherHeardMicros;
    private long configurationVersion;
    /** Virtual time until which the region is cut off from the others. */
    long cutOffUntil;

    RegionControl(
            int region,
            FleetSettings settings,
            EventQueue queue,
            Network network,
            FleetForwarders forwarders,
            FleetChecks checks,
            ConfigurationLog configurations,
            SimulatedClock clock,
            int relays) {
        this.region = region;
        this.settings = settings;
        this.queue = queue;
        this.network = network;
        this.forwarders = forwarders;
        this.checks = checks;
        this.configurations = configurations;
        this.clock = clock;
        int shards = settings.partOf(region, settings.shards());
        checker = new OwnershipChecker(region, shards, queue, checks);
        controller = new PlacementController(new ControllerSettings(
                region,
                shards,
                settings.zonesOf(region),
                settings.loadBound(),
                settings.timing(),
                settings.reassignmentsPerSecond()));
        sampleMap = new ShardMap(region, shards);
        traffic = new ControlTraffic(relays);
    }

    OwnershipChecker checker() {
        return checker;
    }

    PlacementController controller() {
        return controller;
    }

    ControlTraffic traffic() {
        return traffic;
    }

    long mapBatches() {
        return history.latest();
    }

    // Forwarders' side

    /** Starts a process of a forwarder that is down, or that gives its present process up. */
    void start(HollowForwarder forwarder, boolean previousProcessEnded) {
        ForwarderProcess process = forwarders.newProcess(forwarder, previousProcessEnded);
        register(process);
        beat(process);
    }

    /** Ends a forwarder's process without a word to anybody. */
    void end(HollowForwarder forwarder) {
        ForwarderProcess process = forwarder.process;
        if (process != null) {
            checker.ended(process);
            process.ended = true;
            forwarder.process = null;
        }
    }

    private void register(ForwarderProcess process) {
        send(
                process,
                new ControllerCommand.Register(
                        process.forwarder.id,
                        process.incarnation,
                        process.forwarder.zoneWithinRegion,
                        1,
                        process.previousProcessEnded));
    }

    private void beat(ForwarderProcess process) {
        if (process.ended) {
            return;
        }
        long reading = process.forwarder.clock.now();
        if (process.lastSequence > 0 && process.holder.appliedRevision() == 0) {
            register(process);
        }
        ControllerCommand.Heartbeat heartbeat = process.holder.heartbeat(reading);
        process.lastSequence = heartbeat.sequence();
        process.lastSentReading = reading;
        send(process, heartbeat);
        if (process.leaving) {
            send(process, new ControllerCommand.Leave(process.forwarder.id, process.incarnation));
        }
        queue.after(process.forwarder.clock.delayOf(settings.timing().heartbeatMicros()), () -> beat(process));
    }

    private void send(ForwarderProcess process, ControllerCommand command) {
        int bytes = MessageSizes.of(command);
        process.forwarder.transferred(bytes, queue.now());
        if (isCutOff(process)) {
            return;
        }
        network.withinRegion(CONTROLLER_HOPS, () -> {
            if (!isCutOff(process)) {
                traffic.relayed(process.forwarder, bytes);
                apply(command);
            }
        });
    }

    private boolean isCutOff(ForwarderProcess process) {
        return queue.now() < process.forwarder.cutOffUntil;
    }

    private void renewed(
            ForwarderProcess process,
            ControllerEvent.LeaseRenewed renewal,
            long mapVersion,
            boolean configurationCurrent) {
        long reading = process.forwarder.clock.now();
        boolean sampled = traffic.sampleHolder();
        long begin = sampled ? System.nanoTime() : 0;
        process.holder.renewed(renewal, reading);
        if (sampled) {
            traffic.holderTook(System.nanoTime() - begin);
        }
        if (renewal.sequence() == process.lastSequence) {
            long leaseMicros = (long)
                    (settings.timing().leaseMicros() * (1 - settings.timing().maxDrift()));
            long until = process.forwarder.clock.virtualTimeOf(process.lastSentReading + leaseMicros);
            process.permittedUntil =
                    Math.max(process.permittedUntil, until - settings.timing().marginMicros());
            if (process.mapVersion >= mapVersion) {
                process.mapFreshUntil = Math.max(process.mapFreshUntil, until);
                process.configurationFreshUntil = configurationCurrent
                        ? Math.max(process.configurationFreshUntil, until)
                        : process.configurationFreshUntil;
            }
        }
        checker.renewed(process);
        fetchIfBehind(process, mapVersion);
    }

    private void assignmentChanged(ForwarderProcess process, ControllerEvent.AssignmentChanged change) {
        Set<Integer> before = process.holder.assignedShardNumbers();
        startCalls(process, change);
        process.holder.assignmentChanged(change);
        Set<Integer> revoked = new HashSet<>(before);
        revoked.removeAll(process.holder.assignedShardNumbers());
        checker.assignmentChanged(process, revoked);
        sendRelease(process);
    }

    /** For each shard that is about to be revoked a call is out, and ends some time later. */
    private void startCalls(ForwarderProcess process, ControllerEvent.AssignmentChanged change) {
        long reading = process.forwarder.clock.now();
        change.revoked().forEach(grant -> {
            if (process.holder.maySend(grant.shard(), reading) instanceof SendPermission.Permitted permitted) {
                process.holder.started(grant.shard(), permitted.epoch(), reading);
                queue.after(forwarders.callMicros(region, grant.shard()), () -> {
                    process.holder.finished(grant.shard(), permitted.epoch());
                    sendRelease(process);
                });
            }
        });
    }

    private void sendRelease(ForwarderProcess process) {
        if (!process.ended) {
            process.holder.release().ifPresent(release -> send(process, release));
        }
    }

    private void rejected(ForwarderProcess process, RejectionReason reason) {
        if (reason == RejectionReason.UNKNOWN_MEMBER && process.holder.appliedRevision() > 0) {
            HollowForwarder forwarder = process.forwarder;
            end(forwarder);
            start(forwarder, true);
        }
    }

    // Map

    private void fetchIfBehind(ForwarderProcess process, long mapVersion) {
        if (process.mapVersion < mapVersion && !process.fetchScheduled) {
            process.fetchScheduled = true;
            queue.after(FETCH_DELAY_MICROS, () -> fetch(process, mapVersion));
        }
    }

    private void fetch(ForwarderProcess process, long mapVersion) {
        if (process.ended || process.mapVersion >= mapVersion) {
            process.fetchScheduled = false;
            return;
        }
        process.forwarder.transferred(MessageSizes.OVERHEAD, queue.now());
        traffic.fetches++;
        if (!isCutOff(process)) {
            network.withinRegion(CONTROLLER_HOPS, () -> answerFetch(process));
        }
        queue.after(FETCH_RETRY_MICROS, () -> fetch(process, mapVersion));
    }

    private void answerFetch(ForwarderProcess process) {
        long version = history.latest();
        long deltas = history.bytesBetween(process.mapVersion, version);
        int bytes = MessageSizes.mapMessage((int) Math.min(deltas, snapshotBytes()));
        traffic.relayed(process.forwarder, bytes);
        if (isCutOff(process)) {
            return;
        }
        network.withinRegion(CONTROLLER_HOPS, () -> {
            if (!process.ended && !isCutOff(process)) {
                process.forwarder.transferred(bytes, queue.now());
                advance(process, version);
            }
        });
    }

    /** An estimate from the codec: two bytes for the owner and one for the epoch of each shard. */
    private int snapshotBytes() {
        return 3 * checker.shards();
    }

    /** A delta on its way through one tree. */
    private record Passage(long version, int bytes, DistributionTree tree) {}

    /** Whoever gets a delta through a tree is in it, since the tree sends to its members only. */
    private void deltaArrived(ForwarderProcess process, Passage passage) {
        process.forwarder.transferred(passage.bytes(), queue.now());
        long version = passage.version();
        if (version <= process.mapVersion || process.earlyVersions.contains(version)) {
            return;
        }
        for (MemberId child : passage.tree().childrenOf(process.forwarder.id)) {
            sendDelta(process.forwarder, child, passage);
        }
        if (version == process.mapVersion + 1) {
            advance(process, version);
        } else {
            process.keepEarly(version);
            fetchIfBehind(process, version);
        }
    }

    /**
     * Sends a delta on. If the receiver does not acknowledge it in time, it is sent once more, and to the receiver's
     * own receivers in its place.
     *
     * @param sender a forwarder, or null for the controller
     */
    private void sendDelta(HollowForwarder sender, MemberId receiver, Passage passage) {
        Delivery delivery = new Delivery(sender, receiver, passage);
        delivery.send();
        queue.after(ACKNOWLEDGE_MICROS, delivery::resendUnlessAcknowledged);
    }

    private final class Delivery {
        private final HollowForwarder sender;
        private final MemberId receiver;
        private final Passage passage;
        private boolean acknowledged;

        Delivery(HollowForwarder sender, MemberId receiver, Passage passage) {
            this.sender = sender;
            this.receiver = receiver;
            this.passage = passage;
        }

        void send() {
            countAtSender(passage.bytes());
            if (!senderCutOff()) {
                network.withinRegion(TREE_HOPS, this::arrived);
            }
        }

        private void arrived() {
            ForwarderProcess process = forwarders.byId(receiver).process;
            if (process == null || isCutOff(process)) {
                return;
            }
            deltaArrived(process, passage);
            process.forwarder.transferred(MessageSizes.ACKNOWLEDGEMENT, queue.now());
            network.withinRegion(TREE_HOPS, this::acknowledged);
        }

        private void acknowledged() {
            if (!senderCutOff()) {
                countAtSender(MessageSizes.ACKNOWLEDGEMENT);
                acknowledged = true;
            }
        }

        void resendUnlessAcknowledged() {
            if (acknowledged || sender != null && !sender.running()) {
                return;
            }
            traffic.resends++;
            send();
            for (MemberId next : passage.tree().childrenOf(receiver)) {
                sendDelta(sender, next, passage);
            }
        }

        private boolean senderCutOff() {
            return sender != null && queue.now() < sender.cutOffUntil;
        }

        private void countAtSender(int bytes) {
            if (sender == null) {
                traffic.sentByController(bytes);
            } else {
                sender.transferred(bytes, queue.now());
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
                process, history.configurationAt(before), history.configurationAt(process.mapVersion), cutOffUntil);
    }

    // Controller's side

    /** Word from the publisher of configurations arrives, with the version that is in force. */
    void publisherHeard(long version, long sentMicros) {
        publisherHeardMicros = Math.max(publisherHeardMicros, sentMicros);
        if (version > configurationVersion) {
            configurationVersion = version;
            traffic.fromPublisher(settings.configurationBytes());
            apply(new ControllerCommand.PublishConfiguration(version));
        }
    }

    long configurationVersion() {
        return configurationVersion;
    }

    /** Version of the configuration that a process has. */
    long configurationOf(ForwarderProcess process) {
        return history.configurationAt(process.mapVersion);
    }

    private void apply(ControllerCommand command) {
        long begin = System.nanoTime();
        List<ControllerEvent> events = controller.apply(command, clock.now());
        traffic.controllerTook(System.nanoTime() - begin);
        events.forEach(this::dispatch);
        scheduleAdvance();
    }

    private void scheduleAdvance() {
        long due = controller.nextDueMicros();
        if (due != Long.MAX_VALUE && due < nextAdvance) {
            nextAdvance = due;
            queue.after(clock.delayOf(Math.max(0, due - clock.now())), () -> advanceTime(due));
        }
    }

    private void advanceTime(long due) {
        if (nextAdvance == due) {
            nextAdvance = Long.MAX_VALUE;
            apply(new ControllerCommand.AdvanceTime());
        }
    }

    private void dispatch(ControllerEvent event) {
        int bytes = MessageSizes.of(event);
        if (event instanceof ControllerEvent.LeaseRenewed renewal) {
            long version = history.latest();
            boolean current = queue.now() - publisherHeardMicros < PUBLISHER_SILENCE_MICROS;
            toProcess(
                    renewal.member(),
                    renewal.incarnation(),
                    bytes,
                    process -> renewed(process, renewal, version, current));
        } else if (event instanceof ControllerEvent.AssignmentChanged change) {
            membersChanged |= change.fromRevision() == 0;
            toProcess(change.member(), change.incarnation(), bytes, process -> assignmentChanged(process, change));
        } else if (event instanceof ControllerEvent.MapChanged change) {
            mapChanged(change.delta());
        } else if (event instanceof ControllerEvent.MemberExpired) {
            membersChanged = true;
            traffic.expirations++;
        } else if (event instanceof ControllerEvent.LeaveCompleted left) {
            membersChanged = true;
            toProcess(left.member(), left.incarnation(), bytes, process -> forwarders.left(process));
        } else if (event instanceof ControllerEvent.CommandRejected rejection
                && rejection.command() instanceof ControllerCommand.Heartbeat heartbeat) {
            toProcess(
                    heartbeat.member(),
                    heartbeat.incarnation(),
                    bytes,
                    process -> rejected(process, rejection.reason()));
        }
    }

    private void mapChanged(MapDelta delta) {
        if (batch.isEmpty()) {
            queue.after(BATCH_MICROS, this::publishBatch);
        }
        batch.add(delta);
    }

    private void publishBatch() {
        MapDelta delta = batch.take();
        byte[] encoded = MapCodec.encode(delta);
        boolean configurationChanged = delta.configurationVersion() > history.configurationAt(history.latest());
        int contents = configurationChanged ? settings.configurationBytes() : 0;
        history.add(delta, encoded.length + contents);
        applyToSample(encoded);
        long version = history.latest();
        if (membersChanged || version - treeVersion >= VERSIONS_PER_TREE) {
            buildTree(version);
        }
        Passage passage = new Passage(version, MessageSizes.mapMessage(encoded.length + contents), tree);
        tree.heads().forEach(head -> sendDelta(null, head, passage));
        queue.after(settings.mapBoundMicros(), () -> checkMapAge(version));
    }

    /** What every forwarder does with a delta is done and timed once. */
    private void applyToSample(byte[] encoded) {
        long begin = System.nanoTime();
        try {
            sampleMap.apply(MapCodec.decodeDelta(encoded));
        } catch (MapFormatException e) {
            throw new IllegalStateException("delta that was just encoded", e);
        }
        traffic.deltaTook(System.nanoTime() - begin);
    }

    private void buildTree(long version) {
        List<DistributionTree.TreeMember> members = new ArrayList<>();
        for (MemberId member : controller.members()) {
            members.add(new DistributionTree.TreeMember(member, forwarders.byId(member).zoneWithinRegion));
        }
        tree = new DistributionTree(members, version, settings.treeDegree());
        treeVersion = version;
        membersChanged = false;
    }

    private void checkMapAge(long version) {
        checks.checked();
        for (HollowForwarder forwarder : forwarders.ofRegion(region)) {
            ForwarderProcess process = forwarder.process;
            if (process != null && process.mapVersion < version && process.mapFreshUntil > queue.now()) {
                checks.broken(new FleetBreach(
                        FleetBreach.Kind.STALE_MAP,
                        queue.now(),
                        region,
                        forwarder.id + " has " + process.mapVersion + ", not " + version));
            }
        }
    }

    private interface Receipt {
        void by(ForwarderProcess process);
    }

    private void toProcess(MemberId member, long incarnation, int bytes, Receipt receipt) {
        HollowForwarder forwarder = forwarders.byId(member);
        traffic.relayed(forwarder, bytes);
        if (queue.now() < forwarder.cutOffUntil) {
            return;
        }
        network.withinRegion(CONTROLLER_HOPS, () -> {
            ForwarderProcess process = forwarder.process;
            if (process != null && process.incarnation == incarnation && !isCutOff(process)) {
                forwarder.transferred(bytes, queue.now());
                receipt.by(process);
            }
        });
    }
}
