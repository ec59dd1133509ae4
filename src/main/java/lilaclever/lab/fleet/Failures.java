package lilaclever.lab.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;
import lilaclever.lab.fleet.Schedule.Phase;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;

/** Lets machines, racks and zones fail and return, cuts off regions and members, and restarts forwarders. */
final class Failures {
    private static final long SECOND = 1_000_000;
    private static final double SECONDS_PER_DAY = 86_400;
    private static final int MACHINES_LOST_PER_DAY = 90;
    private static final int RESTARTS_PER_DAY = 3_100;
    private static final double UNPLANNED_SHARE = 0.1;
    private static final long MACHINE_REPAIR_MICROS = 600 * SECOND;
    /** Processes that return together start within this time. */
    private static final int START_SPREAD_MICROS = (int) (2 * SECOND);
    /** Share of a zone's members that are cut off from their controller. */
    private static final int CUT_OFF_PART = 3;

    private final FleetSettings settings;
    private final EventQueue queue;
    private final FleetForwarders forwarders;
    private final List<RegionControl> regions;
    private final UniformRandomProvider random;
    private final ZigguratSampler.Exponential exponential;
    private List<HollowForwarder> affected = List.of();
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

    /** Begins a phase and gives the forwarders that it takes away or brings back. */
    List<HollowForwarder> begin(Phase phase) {
        HollowForwarder chosen = anyForwarder();
        leastMoves = 0;
        long end = queue.now() + phase.seconds() * SECOND;
        switch (phase.happening()) {
            case QUIET -> affected = List.of();
            case MACHINE_LOST -> lose(other -> sameZone(chosen, other) && other.machine == chosen.machine);
            case RACK_LOST -> lose(other -> sameZone(chosen, other) && other.rack == chosen.rack);
            case ZONE_LOST -> lose(other -> sameZone(chosen, other));
            case RETURN -> affected.forEach(other -> forwarders.startAfter(other, random.nextInt(START_SPREAD_MICROS)));
            case REGION_CUT_OFF -> cutOffRegion(chosen.region, end);
            case MEMBERS_CUT_OFF -> cutOffMembers(chosen, end);
            case RECONNECTED -> {
                // What was cut off comes back by itself, at the time that was set when it was cut off.
            }
            case ORDINARY_FAILURES -> ordinaryFailures(end);
            case PLANNED_RESTARTS -> plannedRestarts(end);
            default -> throw new IllegalStateException("no such happening: " + phase.happening());
        }
        return affected;
    }

    /** Least possible moves of this phase's planned restarts and lost machines: each shard away, and later back. */
    long leastMoves() {
        return leastMoves;
    }

    private static boolean sameZone(HollowForwarder one, HollowForwarder other) {
        return one.zone == other.zone;
    }

    private List<HollowForwarder> select(Predicate<HollowForwarder> selection) {
        return forwarders.all().stream().filter(selection).toList();
    }

    private void lose(Predicate<HollowForwarder> selection) {
        affected = select(selection);
        affected.forEach(forwarders::end);
    }

    private void cutOffRegion(int region, long untilMicros) {
        affected = List.of();
        regions.get(region).cutOffUntil = untilMicros;
    }

    private void cutOffMembers(HollowForwarder chosen, long untilMicros) {
        affected = select(other -> sameZone(chosen, other) && other.id.number() % CUT_OFF_PART == 0);
        affected.forEach(other -> other.cutOffUntil = untilMicros);
        // By then their leases have ended, and they do not send any more.
        queue.after(settings.timing().leaseMicros(), () -> affected.forEach(this::noteExpired));
    }

    private void noteExpired(HollowForwarder forwarder) {
        if (forwarder.running()) {
            regions.get(forwarder.region).checker().ended(forwarder.process);
        }
    }

    private void ordinaryFailures(long endMicros) {
        affected = List.of();
        double size = (double) settings.forwarders() / FleetSettings.FULL_FORWARDERS;
        repeat(MACHINES_LOST_PER_DAY * size, endMicros, this::loseMachineForAWhile);
        repeat(RESTARTS_PER_DAY * size, endMicros, this::restartOne);
    }

    private void plannedRestarts(long endMicros) {
        affected = List.of();
        List<HollowForwarder> order = new ArrayList<>(forwarders.all());
        for (int place = order.size() - 1; place > 0; place--) {
            HollowForwarder other = order.set(random.nextInt(place + 1), order.get(place));
            order.set(place, other);
        }
        long interval = (long) (SECONDS_PER_DAY * SECOND / order.size());
        restartNext(order, 0, interval, endMicros);
    }

    private void restartNext(List<HollowForwarder> order, int place, long intervalMicros, long endMicros) {
        if (queue.now() < endMicros && place < order.size()) {
            leave(order.get(place));
            queue.after(intervalMicros, () -> restartNext(order, place + 1, intervalMicros, endMicros));
        }
    }

    private void repeat(double timesPerDay, long endMicros, Runnable action) {
        long wait = (long) (SECONDS_PER_DAY * SECOND / timesPerDay * exponential.sample());
        queue.after(wait, () -> {
            if (queue.now() < endMicros) {
                action.run();
                repeat(timesPerDay, endMicros, action);
            }
        });
    }

    private void loseMachineForAWhile() {
        HollowForwarder chosen = anyForwarder();
        List<HollowForwarder> lost =
                select(other -> sameZone(chosen, other) && other.machine == chosen.machine && other.running());
        lost.forEach(this::noteMoves);
        lost.forEach(forwarders::end);
        lost.forEach(
                other -> forwarders.startAfter(other, MACHINE_REPAIR_MICROS + random.nextInt(START_SPREAD_MICROS)));
    }

    private void restartOne() {
        HollowForwarder chosen = anyForwarder();
        if (random.nextDouble() < UNPLANNED_SHARE) {
            forwarders.crash(chosen);
        } else {
            leave(chosen);
        }
    }

    private void leave(HollowForwarder forwarder) {
        noteMoves(forwarder);
        forwarders.leave(forwarder);
    }

    private void noteMoves(HollowForwarder forwarder) {
        if (forwarder.running()) {
            leastMoves += 2L * regions.get(forwarder.region).checker().shardsOf(forwarder.process);
        }
    }

    private HollowForwarder anyForwarder() {
        return forwarders.all().get(random.nextInt(forwarders.all().size()));
    }
}
