package lilaclever.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import lilaclever.placement.ControllerCommand.AdvanceTime;
import lilaclever.placement.ControllerCommand.Heartbeat;
import lilaclever.placement.ControllerCommand.Leave;
import lilaclever.placement.ControllerCommand.Register;
import lilaclever.placement.ControllerCommand.Release;
import lilaclever.placement.ControllerEvent.AssignmentChanged;
import lilaclever.placement.ControllerEvent.LeaveCompleted;
import lilaclever.placement.ControllerEvent.MapChanged;
import lilaclever.placement.ControllerEvent.MemberExpired;

/** A controller with members that answer at once, for tests of shard assignment. */
final class TestRegion {
    static final LeaseTiming TIMING = new LeaseTiming(1_000_000, 5_000_000, 0.01, 200_000);
    private static final double WEIGHT = 1;
    private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();

    final PlacementController controller;
    final ShardMap map;
    /** Number of map deltas so far. */
    long deltaCount;
    /** Total size of the map deltas so far. */
    long deltaBytes;
    /** Whether the CPU time of commands is measured. */
    boolean measuresCpuTime;
    /** Maximum CPU time of a command since this was last set to 0. */
    long maxCommandCpuNanos;
    /** CPU time of the last command that expired a member. */
    long lastExpiryCpuNanos;

    long nowMicros;
    private long nextHeartbeatsMicros;
    private final ControllerSettings settings;
    private final Map<MemberId, Process> processes = new TreeMap<>();
    private final Map<MemberId, Long> incarnations = new TreeMap<>();

    private static final class Process {
        final long incarnation;
        long sequence;
        long appliedRevision;

        Process(long incarnation) {
            this.incarnation = incarnation;
        }
    }

    TestRegion(ControllerSettings settings) {
        this.settings = settings;
        controller = new PlacementController(settings);
        map = new ShardMap(settings.region(), settings.shards());
    }

    static ControllerSettings settings(int shards, int zones, int reassignmentsPerSecond) {
        return new ControllerSettings(3, shards, zones, 1.25, TIMING, reassignmentsPerSecond);
    }

    void join(int member, int zone) {
        join(member, zone, WEIGHT, false);
    }

    void join(int member, int zone, double weight, boolean previousProcessEnded) {
        MemberId id = new MemberId(member);
        long incarnation = incarnations.merge(id, 1L, Long::sum);
        processes.put(id, new Process(incarnation));
        apply(new Register(id, incarnation, zone, weight, previousProcessEnded));
        heartbeat(id);
    }

    void leave(int member) {
        MemberId id = new MemberId(member);
        apply(new Leave(id, processes.get(id).incarnation));
    }

    /** Ends the members without a leave. */
    void kill(Collection<Integer> members) {
        members.forEach(member -> processes.remove(new MemberId(member)));
    }

    /** Advances time, with heartbeats of all members and the controller's due times. */
    void run(long micros) {
        long endMicros = nowMicros + micros;
        while (true) {
            long dueMicros = Math.min(nextHeartbeatsMicros, controller.nextDueMicros());
            if (dueMicros > endMicros) {
                nowMicros = endMicros;
                return;
            }
            nowMicros = Math.max(nowMicros, dueMicros);
            if (dueMicros == nextHeartbeatsMicros) {
                List.copyOf(processes.keySet()).forEach(this::heartbeat);
                nextHeartbeatsMicros += settings.timing().heartbeatMicros();
            } else {
                apply(new AdvanceTime());
            }
        }
    }

    /** Advances time until each shard has an owner; fails after {@code maxSteps} steps of 10 ms. */
    long runUntilAllOwned(int maxSteps) {
        long startMicros = nowMicros;
        for (int step = 0; step < maxSteps; step++) {
            if (unownedShards() == 0) {
                return nowMicros - startMicros;
            }
            run(10_000);
        }
        throw new AssertionError(unownedShards() + " shards have no owner");
    }

    int unownedShards() {
        int unowned = 0;
        for (int shard = 0; shard < settings.shards(); shard++) {
            if (map.ownerOf(shard) == null) {
                unowned++;
            }
        }
        return unowned;
    }

    /** Ratio of the maximum to the mean number of shards of a member. */
    double maxToMeanLoad() {
        int maxShards = controller.members().stream()
                .mapToInt(controller::shardsHeldBy)
                .max()
                .orElse(0);
        return maxShards * (double) controller.members().size() / settings.shards();
    }

    int[] owners() {
        int[] owners = new int[settings.shards()];
        for (int shard = 0; shard < owners.length; shard++) {
            owners[shard] = map.ownerOf(shard) == null ? -1 : map.ownerOf(shard).number();
        }
        return owners;
    }

    /** Number of shards whose owner differs from the given one. */
    int shardsMovedSince(int[] before) {
        int[] now = owners();
        int moved = 0;
        for (int shard = 0; shard < now.length; shard++) {
            if (now[shard] != before[shard]) {
                moved++;
            }
        }
        return moved;
    }

    List<ControllerEvent> apply(ControllerCommand command) {
        long startNanos = measuresCpuTime ? THREADS.getCurrentThreadCpuTime() : 0;
        List<ControllerEvent> events = controller.apply(command, nowMicros);
        if (measuresCpuTime) {
            long nanos = THREADS.getCurrentThreadCpuTime() - startNanos;
            maxCommandCpuNanos = Math.max(maxCommandCpuNanos, nanos);
            if (events.stream().anyMatch(MemberExpired.class::isInstance)) {
                lastExpiryCpuNanos = nanos;
            }
        }
        List<Release> releases = new ArrayList<>();
        for (ControllerEvent event : events) {
            receive(event, releases);
        }
        releases.forEach(this::apply);
        return events;
    }

    private void heartbeat(MemberId id) {
        Process process = processes.get(id);
        if (process != null) {
            process.sequence++;
            apply(new Heartbeat(id, process.incarnation, process.sequence, process.appliedRevision));
        }
    }

    private void receive(ControllerEvent event, List<Release> releases) {
        if (event instanceof MapChanged change) {
            deltaCount++;
            deltaBytes += change.delta().encodedBytes();
            assertEquals(MapUpdate.APPLIED, map.apply(change.delta()));
        } else if (event instanceof AssignmentChanged change) {
            receive(change, releases);
        } else if (event instanceof LeaveCompleted completed) {
            processes.remove(completed.member());
        }
    }

    private void receive(AssignmentChanged change, List<Release> releases) {
        Process process = processes.get(change.member());
        if (process == null || process.incarnation != change.incarnation()) {
            return;
        }
        process.appliedRevision = change.toRevision();
        if (!change.revoked().isEmpty()) {
            releases.add(new Release(change.member(), change.incarnation(), change.revoked()));
        }
    }
}
