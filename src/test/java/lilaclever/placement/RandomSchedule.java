package lilaclever.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.TreeMap;
import lilaclever.placement.ControllerCommand.AdvanceTime;
import lilaclever.placement.ControllerCommand.Heartbeat;
import lilaclever.placement.ControllerCommand.Leave;
import lilaclever.placement.ControllerCommand.PublishConfiguration;
import lilaclever.placement.ControllerCommand.Register;
import lilaclever.placement.ControllerCommand.Release;
import lilaclever.placement.ControllerEvent.AssignmentChanged;
import lilaclever.placement.ControllerEvent.CommandRejected;
import lilaclever.placement.ControllerEvent.LeaseRenewed;
import lilaclever.placement.ControllerEvent.LeaveCompleted;
import lilaclever.placement.ControllerEvent.MapChanged;
import lilaclever.placement.ControllerEvent.MemberExpired;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * A controller and processes connected by a network that delays, loses and duplicates messages. The processes use their
 * leases to the last microsecond by their own clocks, without any margin, so that only the controller's waiting
 * prevents two of them from sending for one shard. Time is virtual and starts at the controller's true time 0.
 */
final class RandomSchedule {
    private static final int SHARDS = 24;
    private static final int MEMBERS = 6;
    private static final int ZONES = 2;
    private static final long HEARTBEAT_MICROS = 1_000;
    private static final long LEASE_MICROS = 5_000;
    private static final double MAX_DRIFT = 0.05;
    private static final LeaseTiming TIMING = new LeaseTiming(HEARTBEAT_MICROS, LEASE_MICROS, MAX_DRIFT, 10);
    private static final double LOSS_PROBABILITY = 0.05;
    private static final double DUPLICATE_PROBABILITY = 0.05;
    private static final double LATE_PROBABILITY = 0.1;

    private final UniformRandomProvider random;
    private final PlacementController controller =
            new PlacementController(new ControllerSettings(1, SHARDS, ZONES, 1.25, TIMING, 20_000));
    private final PriorityQueue<Delivery> network = new PriorityQueue<>(Delivery.EARLIEST_FIRST);
    private final List<Process> running = new ArrayList<>();
    private final Map<Integer, Process> latestProcesses = new TreeMap<>();
    private final Map<Integer, Long> lastEpochs = new HashMap<>();
    private final ShardMap map = new ShardMap(1, SHARDS);
    private final List<ControllerEvent> events = new ArrayList<>();
    private final List<String> breaches = new ArrayList<>();
    private final Counts counts = new Counts();
    private long nowMicros;
    private long deliveries;
    private long clockOffsetMicros;
    private long latestReadingMicros;
    private long configurationVersion;

    /** Counts of what happened in a schedule. */
    static final class Counts {
        long grantsCovered;
        long expiries;
        long releases;
        long leavesCompleted;
        long restartsWithTheOldProcessRunning;
        long rejections;
        long shardsChecked;
        long shardsWithASender;

        void add(Counts other) {
            grantsCovered += other.grantsCovered;
            expiries += other.expiries;
            releases += other.releases;
            leavesCompleted += other.leavesCompleted;
            restartsWithTheOldProcessRunning += other.restartsWithTheOldProcessRunning;
            rejections += other.rejections;
            shardsChecked += other.shardsChecked;
            shardsWithASender += other.shardsWithASender;
        }

        @Override
        public String toString() {
            return "grants covered " + grantsCovered + ", expiries " + expiries + ", releases " + releases
                    + ", leaves completed " + leavesCompleted + ", restarts with the old process running "
                    + restartsWithTheOldProcessRunning + ", rejections " + rejections + ", sender present for "
                    + shardsWithASender
                    + " of "
                    + shardsChecked;
        }
    }

    private record Delivery(long atMicros, long number, Runnable action) {
        static final Comparator<Delivery> EARLIEST_FIRST =
                Comparator.comparingLong(Delivery::atMicros).thenComparingLong(Delivery::number);
    }

    /** A process of a forwarder that implements no more than the contract of the events. */
    private final class Process {
        final MemberId id;
        final long incarnation;
        final double clockRate;
        final boolean remembersRenewals;
        final Map<Integer, Long> assigned = new TreeMap<>();
        final Map<Integer, Long> coveredUntilMicros = new HashMap<>();
        final Map<Long, Long> sentAtMicros = new HashMap<>();
        long sequence;
        long revision;
        /** Latest end of its leases. */
        long leaseUntilMicros;

        LeaseRenewed earlyRenewal;

        Process(int number, long incarnation) {
            this.id = new MemberId(number);
            this.incarnation = incarnation;
            this.clockRate = 1 + MAX_DRIFT * (random.nextInt(3) - 1);
            this.remembersRenewals = random.nextBoolean();
        }

        double clockMicros() {
            return nowMicros * clockRate;
        }

        boolean maySend(int shard) {
            Long untilMicros = coveredUntilMicros.get(shard);
            return untilMicros != null && clockMicros() < untilMicros;
        }

        void heartbeat() {
            sequence++;
            sentAtMicros.put(sequence, (long) clockMicros());
            send(new Heartbeat(id, incarnation, sequence, revision));
        }

        void receive(AssignmentChanged change) {
            if (change.incarnation() != incarnation) {
                return;
            }
            if (change.full() ? change.toRevision() < revision : change.fromRevision() != revision) {
                return;
            }
            Map<Integer, Long> granted = new TreeMap<>();
            change.granted().forEach(grant -> granted.put(grant.shard(), grant.epoch()));
            if (change.full()) {
                assigned.entrySet().removeIf(entry -> !entry.getValue().equals(granted.get(entry.getKey())));
            }
            assigned.putAll(granted);
            change.revoked().forEach(revoked -> assigned.remove(revoked.shard(), revoked.epoch()));
            coveredUntilMicros.keySet().retainAll(assigned.keySet());
            revision = change.toRevision();
            if (!change.revoked().isEmpty()) {
                send(new Release(id, incarnation, change.revoked()));
                counts.releases++;
            }
            if (earlyRenewal != null && earlyRenewal.revision() == revision) {
                cover(earlyRenewal);
            }
        }

        void receive(LeaseRenewed renewal) {
            if (renewal.incarnation() != incarnation) {
                return;
            }
            if (renewal.revision() == revision) {
                cover(renewal);
            } else if (remembersRenewals && renewal.revision() > revision) {
                earlyRenewal = renewal;
            }
        }

        private void cover(LeaseRenewed renewal) {
            long untilMicros = sentAtMicros.get(renewal.sequence()) + renewal.leaseMicros();
            leaseUntilMicros = Math.max(leaseUntilMicros, untilMicros);
            for (int shard : assigned.keySet()) {
                if (!coveredUntilMicros.containsKey(shard)) {
                    counts.grantsCovered++;
                }
                coveredUntilMicros.merge(shard, untilMicros, Math::max);
            }
        }
    }

    RandomSchedule(long seed) {
        random = RandomSource.XO_SHI_RO_256_PP.create(seed);
    }

    List<String> breaches() {
        return breaches;
    }

    List<ControllerEvent> events() {
        return events;
    }

    Counts counts() {
        return counts;
    }

    /** Runs the given number of steps: a random event each, and all deliveries until the next one. */
    void run(int steps) {
        for (int step = 0; step < steps; step++) {
            randomEvent();
            long nextMicros = nowMicros + random.nextLong(2 * HEARTBEAT_MICROS);
            deliverUntil(nextMicros);
            nowMicros = nextMicros;
            check();
        }
    }

    private void randomEvent() {
        int member = random.nextInt(MEMBERS);
        Process process = latestProcesses.get(member);
        int choice = random.nextInt(100);
        if (process == null || choice < 4) {
            restart(member, process);
        } else if (choice < 6) {
            send(new Leave(process.id, process.incarnation));
        } else if (choice < 8) {
            running.removeIf(other -> other.id.number() == member);
            latestProcesses.remove(member);
        } else if (choice < 10) {
            stepClock();
        } else if (choice < 12) {
            send(new PublishConfiguration(++configurationVersion));
        } else if (choice < 13) {
            send(new Release(
                    process.id,
                    process.incarnation,
                    List.of(new ShardGrant(random.nextInt(SHARDS), random.nextLong(1, 10)))));
        }
        for (Process each : List.copyOf(running)) {
            each.heartbeat();
        }
    }

    /** Sets the controller's clock back, or lets it leap to the right time or slightly beyond it. */
    private void stepClock() {
        if (nowMicros + clockOffsetMicros < latestReadingMicros) {
            clockOffsetMicros = random.nextLong(LEASE_MICROS / 10);
        } else {
            clockOffsetMicros -= random.nextLong(LEASE_MICROS);
        }
    }

    /** A new process registers; the old one has certainly ended, or may continue to run beside it. */
    private void restart(int member, Process previous) {
        boolean ended = random.nextBoolean();
        if (ended) {
            running.removeIf(process -> process.id.number() == member);
        } else if (previous != null) {
            counts.restartsWithTheOldProcessRunning++;
        }
        long incarnation = nowMicros * MEMBERS + member + 1;
        if (previous != null && incarnation <= previous.incarnation) {
            return;
        }
        Process process = new Process(member, incarnation);
        running.add(process);
        latestProcesses.put(member, process);
        double weight = random.nextInt(4) == 0 ? 2 : 1;
        send(new Register(process.id, incarnation, random.nextInt(ZONES), weight, ended));
    }

    private void send(ControllerCommand command) {
        transmit(() -> apply(command));
    }

    private void transmit(Runnable delivery) {
        if (random.nextDouble() < LOSS_PROBABILITY) {
            return;
        }
        int copies = random.nextDouble() < DUPLICATE_PROBABILITY ? 2 : 1;
        for (int copy = 0; copy < copies; copy++) {
            long maxDelayMicros = random.nextDouble() < LATE_PROBABILITY ? 2 * LEASE_MICROS : HEARTBEAT_MICROS / 4;
            network.add(new Delivery(nowMicros + random.nextLong(maxDelayMicros), deliveries++, delivery));
        }
    }

    private void deliverUntil(long endMicros) {
        while (true) {
            long deliveryMicros =
                    network.isEmpty() ? Long.MAX_VALUE : network.peek().atMicros();
            long dueMicros = controller.nextDueMicros() == Long.MAX_VALUE
                    ? Long.MAX_VALUE
                    : Math.max(nowMicros, controller.nextDueMicros() - clockOffsetMicros);
            if (Math.min(deliveryMicros, dueMicros) > endMicros) {
                return;
            }
            nowMicros = Math.min(deliveryMicros, dueMicros);
            if (deliveryMicros <= dueMicros) {
                network.remove().action().run();
            } else {
                apply(new AdvanceTime());
            }
            check();
        }
    }

    private void apply(ControllerCommand command) {
        latestReadingMicros = Math.max(latestReadingMicros, nowMicros + clockOffsetMicros);
        for (ControllerEvent event : controller.apply(command, nowMicros + clockOffsetMicros)) {
            events.add(event);
            if (event instanceof AssignmentChanged change) {
                checkEpochs(change);
                transmit(() -> running.stream()
                        .filter(process -> process.id.equals(change.member()))
                        .toList()
                        .forEach(process -> process.receive(change)));
            } else if (event instanceof LeaseRenewed renewal) {
                transmit(() -> running.stream()
                        .filter(process -> process.id.equals(renewal.member()))
                        .forEach(process -> process.receive(renewal)));
            } else if (event instanceof LeaveCompleted completed) {
                counts.leavesCompleted++;
                running.removeIf(process ->
                        process.id.equals(completed.member()) && process.incarnation == completed.incarnation());
                latestProcesses.values().removeIf(process -> process.incarnation == completed.incarnation());
            } else if (event instanceof MapChanged changed) {
                checkMap(changed.delta());
            } else if (event instanceof MemberExpired) {
                counts.expiries++;
            } else if (event instanceof CommandRejected) {
                counts.rejections++;
            }
        }
    }

    private void checkEpochs(AssignmentChanged change) {
        if (change.full()) {
            return;
        }
        for (ShardGrant grant : change.granted()) {
            long last = lastEpochs.getOrDefault(grant.shard(), 0L);
            if (grant.epoch() <= last) {
                breaches.add("epoch " + grant.epoch() + " of shard " + grant.shard() + " after " + last);
            }
            lastEpochs.put(grant.shard(), grant.epoch());
        }
    }

    private void checkMap(MapDelta delta) {
        if (map.apply(delta) != MapUpdate.APPLIED) {
            breaches.add("delta " + delta + " does not follow version " + map.version());
        }
        if (!map.snapshot().equals(controller.snapshot())) {
            breaches.add("map at " + map.version() + " is not the controller's");
        }
    }

    private void check() {
        counts.shardsChecked += SHARDS;
        Process[] senders = new Process[SHARDS];
        for (Process process : running) {
            if (process.clockMicros() >= process.leaseUntilMicros) {
                continue;
            }
            for (int shard : process.assigned.keySet()) {
                if (!process.maySend(shard)) {
                    continue;
                }
                counts.shardsWithASender++;
                Process other = senders[shard];
                if (other != null) {
                    breaches.add("at " + nowMicros + " shard " + shard + " has two senders, " + other.id + "/"
                            + other.incarnation + " and " + process.id + "/" + process.incarnation);
                }
                senders[shard] = process;
            }
        }
    }
}
