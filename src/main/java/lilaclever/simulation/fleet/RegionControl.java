package lilaclever.simulation.fleet;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import lilaclever.placement.ControllerCommand;
import lilaclever.placement.ControllerEvent;
import lilaclever.placement.ControllerSettings;
import lilaclever.placement.MemberId;
import lilaclever.placement.PlacementController;
import lilaclever.placement.RejectionReason;
import lilaclever.placement.SendPermission;

/** The control plane of one region: its controller, the relays in front of it, and the processes that they serve. */
final class RegionControl {
    /** The controller considers its configuration current for this long after a message from the publisher was sent. */
    private static final long PUBLISHER_TIMEOUT_MICROS = 3_000_000;

    final int region;
    private final FleetSettings settings;
    private final EventQueue queue;
    private final Network network;
    private final FleetForwarders forwarders;
    private final OwnershipChecker checker;
    private final PlacementController controller;
    private final SimulatedClock clock;
    private final ControlTraffic traffic;
    private final MapDistribution map;
    private long nextAdvanceMicros = Long.MAX_VALUE;
    private long publisherSentMicros;
    private long configurationVersion;
    /** Virtual time until which the region is cut off from the others. */
    long cutOffUntilMicros;

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
        traffic = new ControlTraffic(relays);
        map = new MapDistribution(
                region,
                shards,
                settings,
                queue,
                network,
                forwarders,
                checks,
                configurations,
                traffic,
                controller::members,
                () -> cutOffUntilMicros);
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
        return map.latest();
    }

    // Forwarders' side

    /** Starts a process of a forwarder that is down or gives up its current process. */
    void start(SimulatedForwarder forwarder, boolean previousProcessEnded) {
        ForwarderProcess process = forwarders.newProcess(forwarder, previousProcessEnded);
        register(process);
        sendHeartbeat(process);
    }

    /** Stops a forwarder's process without notifying anyone. */
    void stop(SimulatedForwarder forwarder) {
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

    private void sendHeartbeat(ForwarderProcess process) {
        if (process.ended) {
            return;
        }
        long clockMicros = process.forwarder.clock.now();
        if (process.lastSequence > 0 && process.holder.appliedRevision() == 0) {
            register(process);
        }
        ControllerCommand.Heartbeat heartbeat = process.holder.heartbeat(clockMicros);
        process.lastSequence = heartbeat.sequence();
        process.lastSentClockMicros = clockMicros;
        send(process, heartbeat);
        if (process.leaving) {
            send(process, new ControllerCommand.Leave(process.forwarder.id, process.incarnation));
        }
        queue.schedule(
                process.forwarder.clock.delayOf(settings.timing().heartbeatMicros()), () -> sendHeartbeat(process));
    }

    private void send(ForwarderProcess process, ControllerCommand command) {
        int bytes = MessageSizes.bytesOf(command);
        process.forwarder.countBytes(bytes, queue.now());
        if (process.forwarder.isCutOff(queue.now())) {
            return;
        }
        network.withinRegion(MapDistribution.CONTROLLER_HOPS, () -> {
            if (!process.forwarder.isCutOff(queue.now())) {
                traffic.countRelayed(process.forwarder, bytes);
                apply(command);
            }
        });
    }

    private void renewed(
            ForwarderProcess process,
            ControllerEvent.LeaseRenewed renewal,
            long mapVersion,
            boolean configurationCurrent) {
        long clockMicros = process.forwarder.clock.now();
        boolean sampled = traffic.sampleHolder();
        long startNanos = sampled ? System.nanoTime() : 0;
        process.holder.leaseRenewed(renewal, clockMicros);
        if (sampled) {
            traffic.addHolderTime(System.nanoTime() - startNanos);
        }
        if (renewal.sequence() == process.lastSequence) {
            long leaseMicros = (long)
                    (settings.timing().leaseMicros() * (1 - settings.timing().maxDrift()));
            long untilMicros = process.forwarder.clock.virtualTimeOf(process.lastSentClockMicros + leaseMicros);
            process.permittedUntilMicros = Math.max(
                    process.permittedUntilMicros,
                    untilMicros - settings.timing().marginMicros());
            if (process.mapVersion >= mapVersion) {
                process.mapFreshUntilMicros = Math.max(process.mapFreshUntilMicros, untilMicros);
                process.configurationFreshUntilMicros = configurationCurrent
                        ? Math.max(process.configurationFreshUntilMicros, untilMicros)
                        : process.configurationFreshUntilMicros;
            }
        }
        checker.renewed(process);
        map.fetchIfBehind(process, mapVersion);
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

    /** Simulates a call in progress for each shard that is about to be revoked, which ends some time later. */
    private void startCalls(ForwarderProcess process, ControllerEvent.AssignmentChanged change) {
        long clockMicros = process.forwarder.clock.now();
        change.revoked().forEach(grant -> {
            if (process.holder.maySend(grant.shard(), clockMicros) instanceof SendPermission.Permitted permitted) {
                process.holder.callStarted(grant.shard(), permitted.epoch(), clockMicros);
                queue.schedule(forwarders.randomCallMicros(region, grant.shard()), () -> {
                    process.holder.callFinished(grant.shard(), permitted.epoch());
                    sendRelease(process);
                });
            }
        });
    }

    private void sendRelease(ForwarderProcess process) {
        if (!process.ended) {
            process.holder.takeRelease().ifPresent(release -> send(process, release));
        }
    }

    private void rejected(ForwarderProcess process, RejectionReason reason) {
        if (reason == RejectionReason.UNKNOWN_MEMBER && process.holder.appliedRevision() > 0) {
            SimulatedForwarder forwarder = process.forwarder;
            stop(forwarder);
            start(forwarder, true);
        }
    }

    // Controller's side

    /** A message from the configuration publisher arrives, with the version in force. */
    void configurationPublished(long version, long sentMicros) {
        publisherSentMicros = Math.max(publisherSentMicros, sentMicros);
        if (version > configurationVersion) {
            configurationVersion = version;
            traffic.countReceivedFromPublisher(settings.configurationBytes());
            apply(new ControllerCommand.PublishConfiguration(version));
        }
    }

    long configurationVersion() {
        return configurationVersion;
    }

    /** Configuration version that a process has. */
    long configurationOf(ForwarderProcess process) {
        return map.configurationOf(process);
    }

    private void apply(ControllerCommand command) {
        long startNanos = System.nanoTime();
        List<ControllerEvent> events = controller.apply(command, clock.now());
        traffic.addControllerTime(System.nanoTime() - startNanos);
        events.forEach(this::dispatch);
        scheduleAdvance();
    }

    private void scheduleAdvance() {
        long dueMicros = controller.nextDueMicros();
        if (dueMicros != Long.MAX_VALUE && dueMicros < nextAdvanceMicros) {
            nextAdvanceMicros = dueMicros;
            queue.schedule(clock.delayOf(Math.max(0, dueMicros - clock.now())), () -> advanceTime(dueMicros));
        }
    }

    private void advanceTime(long dueMicros) {
        if (nextAdvanceMicros == dueMicros) {
            nextAdvanceMicros = Long.MAX_VALUE;
            apply(new ControllerCommand.AdvanceTime());
        }
    }

    private void dispatch(ControllerEvent event) {
        int bytes = MessageSizes.bytesOf(event);
        if (event instanceof ControllerEvent.LeaseRenewed renewal) {
            long version = map.latest();
            boolean current = queue.now() - publisherSentMicros < PUBLISHER_TIMEOUT_MICROS;
            sendToProcess(
                    renewal.member(),
                    renewal.incarnation(),
                    bytes,
                    process -> renewed(process, renewal, version, current));
        } else if (event instanceof ControllerEvent.AssignmentChanged change) {
            if (change.fromRevision() == 0) {
                map.membersChanged();
            }
            sendToProcess(change.member(), change.incarnation(), bytes, process -> assignmentChanged(process, change));
        } else if (event instanceof ControllerEvent.MapChanged change) {
            map.addChange(change.delta());
        } else if (event instanceof ControllerEvent.MemberExpired) {
            map.membersChanged();
            traffic.expirations++;
        } else if (event instanceof ControllerEvent.LeaveCompleted left) {
            map.membersChanged();
            sendToProcess(left.member(), left.incarnation(), bytes, process -> forwarders.leaveCompleted(process));
        } else if (event instanceof ControllerEvent.CommandRejected rejection
                && rejection.command() instanceof ControllerCommand.Heartbeat heartbeat) {
            sendToProcess(
                    heartbeat.member(),
                    heartbeat.incarnation(),
                    bytes,
                    process -> rejected(process, rejection.reason()));
        }
    }

    private interface ProcessAction {
        void apply(ForwarderProcess process);
    }

    private void sendToProcess(MemberId member, long incarnation, int bytes, ProcessAction action) {
        SimulatedForwarder forwarder = forwarders.byId(member);
        traffic.countRelayed(forwarder, bytes);
        if (forwarder.isCutOff(queue.now())) {
            return;
        }
        network.withinRegion(MapDistribution.CONTROLLER_HOPS, () -> {
            ForwarderProcess process = forwarder.process;
            if (process != null && process.incarnation == incarnation && !process.forwarder.isCutOff(queue.now())) {
                forwarder.countBytes(bytes, queue.now());
                action.apply(process);
            }
        });
    }
}
