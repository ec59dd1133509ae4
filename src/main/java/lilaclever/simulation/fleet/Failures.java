package lilaclever.simulation.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;
import lilaclever.simulation.fleet.Schedule.Phase;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;

/** Injects failures: machines, racks and zones fail and return, regions and members are cut off, forwarders restart. */
final class Failures {
    private static final long SECOND_MICROS = 1_000_000;
    private static final double SECONDS_PER_DAY = 86_400;
    private static final int MACHINES_LOST_PER_DAY = 90;
    private static final int RESTARTS_PER_DAY = 3_100;
    private static final double UNPLANNED_SHARE = 0.1;
    private static final long MACHINE_REPAIR_MICROS = 600 * SECOND_MICROS;
    /** Processes that return together start within this interval. */
    private static final int START_SPREAD_MICROS = (int) (2 * SECOND_MICROS);
    /** One in this many of a zone's members is cut off from the controller. */
    private static final int CUT_OFF_DIVISOR = 3;

    private final FleetSettings settings;
    private final EventQueue queue;
    private final FleetForwarders forwarders;
    private final List<RegionControl> regions;
    private final UniformRandomProvider random;
    private final ZigguratSampler.Exponential exponential;
    private List<SimulatedForwarder> affected = List.of();
    private long leastMoves;

    Failures(
            FleetSettings settings,
            EventQueue queue,
            FleetForwarders forwarders,
            List<RegionControl> regions,
            UniformRandomProvider random) {
        this.settings = settings;
        this.queue = queue;
        this.forwarders = forwarders;
        this.regions = regions;
        this.random = random;
        this.exponential = ZigguratSampler.Exponential.of(random);
    }

    /** Starts a phase and returns the forwarders that it stops, cuts off or brings back. */
    List<SimulatedForwarder> startPhase(Phase phase) {
        SimulatedForwarder chosen = anyForwarder();
        leastMoves = 0;
        long endMicros = queue.now() + phase.seconds() * SECOND_MICROS;
        switch (phase.type()) {
            case QUIET -> affected = List.of();
            case MACHINE_LOST -> stopSelected(other -> sameZone(chosen, other) && other.machine == chosen.machine);
            case RACK_LOST -> stopSelected(other -> sameZone(chosen, other) && other.rack == chosen.rack);
            case ZONE_LOST -> stopSelected(other -> sameZone(chosen, other));
            case RETURN -> affected.forEach(other -> forwarders.startAfter(other, random.nextInt(START_SPREAD_MICROS)));
            case REGION_CUT_OFF -> cutOffRegion(chosen.region, endMicros);
            case MEMBERS_CUT_OFF -> cutOffMembers(chosen, endMicros);
            case RECONNECTED -> {
                // What was cut off reconnects at the time that was set when it was cut off.
            }
            case ORDINARY_FAILURES -> ordinaryFailures(endMicros);
            case PLANNED_RESTARTS -> plannedRestarts(endMicros);
            default -> throw new IllegalStateException("unknown phase type: " + phase.type());
        }
        return affected;
    }

    /**
     * Least possible number of moves for the planned restarts and lost machines of this phase: each shard moves away,
     * and later back.
     */
    long leastMoves() {
        return leastMoves;
    }

    private static boolean sameZone(SimulatedForwarder one, SimulatedForwarder other) {
        return one.zone == other.zone;
    }

    private List<SimulatedForwarder> select(Predicate<SimulatedForwarder> selection) {
        return forwarders.all().stream().filter(selection).toList();
    }

    private void stopSelected(Predicate<SimulatedForwarder> selection) {
        affected = select(selection);
        affected.forEach(forwarders::stop);
    }

    private void cutOffRegion(int region, long untilMicros) {
        affected = List.of();
        regions.get(region).cutOffUntilMicros = untilMicros;
    }

    private void cutOffMembers(SimulatedForwarder chosen, long untilMicros) {
        affected = select(other -> sameZone(chosen, other) && other.id.number() % CUT_OFF_DIVISOR == 0);
        affected.forEach(other -> other.cutOffUntilMicros = untilMicros);
        // By then their leases have expired, and they no longer send.
        queue.schedule(settings.timing().leaseMicros(), () -> affected.forEach(this::markLeaseExpired));
    }

    private void markLeaseExpired(SimulatedForwarder forwarder) {
        if (forwarder.isRunning()) {
            regions.get(forwarder.region).checker().ended(forwarder.process);
        }
    }

    private void ordinaryFailures(long endMicros) {
        affected = List.of();
        double fleetShare = (double) settings.forwarders() / FleetSettings.FULL_FORWARDERS;
        repeat(MACHINES_LOST_PER_DAY * fleetShare, endMicros, this::loseMachineTemporarily);
        repeat(RESTARTS_PER_DAY * fleetShare, endMicros, this::restartOne);
    }

    private void plannedRestarts(long endMicros) {
        affected = List.of();
        List<SimulatedForwarder> order = new ArrayList<>(forwarders.all());
        for (int index = order.size() - 1; index > 0; index--) {
            SimulatedForwarder other = order.set(random.nextInt(index + 1), order.get(index));
            order.set(index, other);
        }
        long intervalMicros = (long) (SECONDS_PER_DAY * SECOND_MICROS / order.size());
        restartNext(order, 0, intervalMicros, endMicros);
    }

    private void restartNext(List<SimulatedForwarder> order, int index, long intervalMicros, long endMicros) {
        if (queue.now() < endMicros && index < order.size()) {
            leave(order.get(index));
            queue.schedule(intervalMicros, () -> restartNext(order, index + 1, intervalMicros, endMicros));
        }
    }

    private void repeat(double timesPerDay, long endMicros, Runnable action) {
        long delayMicros = (long) (SECONDS_PER_DAY * SECOND_MICROS / timesPerDay * exponential.sample());
        queue.schedule(delayMicros, () -> {
            if (queue.now() < endMicros) {
                action.run();
                repeat(timesPerDay, endMicros, action);
            }
        });
    }

    private void loseMachineTemporarily() {
        SimulatedForwarder chosen = anyForwarder();
        List<SimulatedForwarder> lost =
                select(other -> sameZone(chosen, other) && other.machine == chosen.machine && other.isRunning());
        lost.forEach(this::countLeastMoves);
        lost.forEach(forwarders::stop);
        lost.forEach(
                other -> forwarders.startAfter(other, MACHINE_REPAIR_MICROS + random.nextInt(START_SPREAD_MICROS)));
    }

    private void restartOne() {
        SimulatedForwarder chosen = anyForwarder();
        if (random.nextDouble() < UNPLANNED_SHARE) {
            forwarders.crash(chosen);
        } else {
            leave(chosen);
        }
    }

    private void leave(SimulatedForwarder forwarder) {
        countLeastMoves(forwarder);
        forwarders.leave(forwarder);
    }

    private void countLeastMoves(SimulatedForwarder forwarder) {
        if (forwarder.isRunning()) {
            leastMoves += 2L * regions.get(forwarder.region).checker().shardsOf(forwarder.process);
        }
    }

    private SimulatedForwarder anyForwarder() {
        return forwarders.all().get(random.nextInt(forwarders.all().size()));
    }
}
