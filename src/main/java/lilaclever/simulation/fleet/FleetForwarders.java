package lilaclever.simulation.fleet;

import java.util.ArrayList;
import java.util.List;
import lilaclever.placement.LeaseHolder;
import lilaclever.placement.MemberId;
import org.apache.commons.rng.UniformRandomProvider;

/** All simulated forwarders of the fleet, and the start and stop of their processes. */
final class FleetForwarders {
    private static final long SECOND_MICROS = 1_000_000;
    /** Time from the end of a process to the start of the next one. */
    private static final long MIN_RESTART_MICROS = 3 * SECOND_MICROS;

    private static final int RESTART_SPREAD_MICROS = (int) (5 * SECOND_MICROS);
    /** Longest remaining time of the last call to a destination that is up, or down. */
    private static final int MAX_CALL_MICROS = 500_000;

    private static final int MAX_CALL_TO_DOWN_MICROS = (int) (5 * SECOND_MICROS);

    private final FleetSettings settings;
    private final EventQueue queue;
    private final UniformRandomProvider random;
    private final List<SimulatedForwarder> forwarders = new ArrayList<>();
    private final List<List<SimulatedForwarder>> byRegion = new ArrayList<>();
    private final List<DestinationCounts> destinations = new ArrayList<>();
    private List<RegionControl> regions;

    FleetForwarders(FleetSettings settings, EventQueue queue, RandomStreams streams) {
        this.settings = settings;
        this.queue = queue;
        this.random = streams.stream("processes");
        UniformRandomProvider clocks = streams.stream("clocks");
        UniformRandomProvider downs = streams.stream("destinations");
        for (int region = 0; region < settings.regions(); region++) {
            byRegion.add(new ArrayList<>());
            destinations.add(new DestinationCounts(
                    region,
                    settings.partOf(region, settings.shards()),
                    settings.partOf(region, settings.destinations()),
                    settings.downShare(),
                    downs));
        }
        for (int number = 0; number < settings.forwarders(); number++) {
            add(number, clocks);
        }
    }

    private void add(int number, UniformRandomProvider clocks) {
        int zone = (int) ((long) number * settings.zones() / settings.forwarders());
        int firstOfZone = (int) (((long) zone * settings.forwarders() + settings.zones() - 1) / settings.zones());
        int machine = (number - firstOfZone) / settings.forwardersPerMachine();
        int region = settings.regionOf(zone);
        SimulatedForwarder forwarder = new SimulatedForwarder(
                new MemberId(number),
                region,
                zone,
                settings.zoneWithinRegion(zone),
                machine,
                machine / settings.machinesPerRack(),
                clockOf(clocks, settings, queue));
        forwarders.add(forwarder);
        byRegion.get(region).add(forwarder);
    }

    /** Returns a clock within the drift bound: the rates of any two such clocks differ by the bound at most. */
    static SimulatedClock clockOf(UniformRandomProvider random, FleetSettings settings, EventQueue queue) {
        double drift = settings.timing().maxDrift() * (random.nextDouble() - 0.5);
        return new SimulatedClock(queue, 1 + drift, random.nextInt(Integer.MAX_VALUE));
    }

    void setRegions(List<RegionControl> regionControls) {
        regions = regionControls;
    }

    List<SimulatedForwarder> all() {
        return forwarders;
    }

    List<SimulatedForwarder> ofRegion(int region) {
        return byRegion.get(region);
    }

    SimulatedForwarder byId(MemberId id) {
        return forwarders.get(id.number());
    }

    DestinationCounts destinationsOf(int region) {
        return destinations.get(region);
    }

    /** Creates the next process of a forwarder, which replaces the current one if there is one. */
    ForwarderProcess newProcess(SimulatedForwarder forwarder, boolean previousProcessEnded) {
        forwarder.incarnation++;
        LeaseHolder holder = new LeaseHolder(forwarder.id, forwarder.incarnation, settings.timing());
        forwarder.process =
                new ForwarderProcess(forwarder, forwarder.incarnation, previousProcessEnded, queue.now(), holder);
        return forwarder.process;
    }

    /** A process has handed over its shards: stops it and starts it again. */
    void leaveCompleted(ForwarderProcess process) {
        if (!process.ended) {
            stop(process.forwarder);
            startAfter(process.forwarder, randomRestartMicros());
        }
    }

    void crash(SimulatedForwarder forwarder) {
        if (forwarder.isRunning()) {
            stop(forwarder);
            startAfter(forwarder, randomRestartMicros());
        }
    }

    void leave(SimulatedForwarder forwarder) {
        if (forwarder.isRunning()) {
            forwarder.process.leaving = true;
        }
    }

    void stop(SimulatedForwarder forwarder) {
        regions.get(forwarder.region).stop(forwarder);
    }

    /** Starts a forwarder after a delay, unless it runs by then. */
    void startAfter(SimulatedForwarder forwarder, long delayMicros) {
        queue.schedule(delayMicros, () -> {
            if (!forwarder.isRunning()) {
                regions.get(forwarder.region).start(forwarder, true);
            }
        });
    }

    /** Random remaining time of the last call in progress for a shard. */
    long randomCallMicros(int region, int shard) {
        int maxMicros = destinations.get(region).downOf(shard) > 0 ? MAX_CALL_TO_DOWN_MICROS : MAX_CALL_MICROS;
        return random.nextInt(maxMicros);
    }

    private long randomRestartMicros() {
        return MIN_RESTART_MICROS + random.nextInt(RESTART_SPREAD_MICROS);
    }
}
