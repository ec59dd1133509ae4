package lilaclever.simulation.fleet;

import lilaclever.placement.LeaseTiming;

/**
 * Size and parameters of a simulated fleet.
 *
 * @param seed seed of all random choices
 * @param regions number of regions
 * @param zones number of zones of the whole fleet, spread evenly over the regions
 * @param forwarders number of forwarders, spread evenly over the zones
 * @param shards number of shards of the whole fleet, spread over the regions as the zones are
 * @param destinations number of destinations, spread in the same way
 * @param downShare share of the destinations that are down
 * @param forwardersPerMachine forwarders that fail together with their machine
 * @param machinesPerRack machines that fail together with their rack
 * @param controlMachines machines of the control plane: a controller for each region, the rest relays
 * @param timing timing of the leases
 * @param loadBound bound on the ratio of a forwarder's shards to its share
 * @param reassignmentsPerSecond shards of a region that are reassigned per second at most
 * @param treeDegree most children of a forwarder in the distribution tree
 * @param configurationBytes size of a change of the configuration
 * @param configurationsPerDay changes of the configuration a day
 * @param messageLoss share of messages that are lost
 * @param messageDuplication share of messages that arrive twice
 * @param mapBoundMicros greatest age of a map that a forwarder may consider current: the lease
 * @param configurationBoundMicros the same for the configuration: the lease, the publisher's timeout and its delay
 */
public record FleetSettings(
        long seed,
        int regions,
        int zones,
        int forwarders,
        int shards,
        int destinations,
        double downShare,
        int forwardersPerMachine,
        int machinesPerRack,
        int controlMachines,
        LeaseTiming timing,
        double loadBound,
        int reassignmentsPerSecond,
        int treeDegree,
        int configurationBytes,
        int configurationsPerDay,
        double messageLoss,
        double messageDuplication,
        long mapBoundMicros,
        long configurationBoundMicros) {
    /** Forwarders of the fleet at its planned size. */
    public static final int FULL_FORWARDERS = 19_000;
    /** Default bound on the ratio of a forwarder's shards to its share. */
    public static final double LOAD_BOUND = 1.05;
    /** Default rate of reassignment, shards a second in a region. */
    public static final int REASSIGNMENTS_PER_SECOND = 2_000;

    private static final int FULL_SHARDS = 262_144;
    private static final int FULL_DESTINATIONS = 7_100_000;
    private static final int FULL_CONTROL_MACHINES = 42;
    private static final int REGIONS = 9;
    private static final int ZONES = 28;

    /**
     * Returns a fleet of the given number of forwarders, with shards, destinations and control machines in proportion.
     */
    public static FleetSettings ofSize(long seed, int forwarders) {
        return of(seed, REGIONS, ZONES, forwarders);
    }

    /** Returns a fleet with the given numbers of regions, zones and forwarders. */
    public static FleetSettings of(long seed, int regions, int zones, int forwarders) {
        double share = (double) forwarders / FULL_FORWARDERS;
        int controlMachines = Math.max(2 * regions, (int) Math.round(FULL_CONTROL_MACHINES * share));
        return new FleetSettings(
                seed,
                regions,
                zones,
                forwarders,
                (int) Math.round(FULL_SHARDS * share),
                (int) Math.round(FULL_DESTINATIONS * share),
                0.011,
                8,
                20,
                controlMachines,
                new LeaseTiming(2_000_000, 8_000_000, 0.001, 500_000),
                LOAD_BOUND,
                REASSIGNMENTS_PER_SECOND,
                16,
                2_048,
                17_000,
                0.0005,
                0.001,
                8_000_000,
                12_000_000);
    }

    /** Returns the same fleet with another load bound. */
    public FleetSettings withLoadBound(double bound) {
        return new FleetSettings(
                seed,
                regions,
                zones,
                forwarders,
                shards,
                destinations,
                downShare,
                forwardersPerMachine,
                machinesPerRack,
                controlMachines,
                timing,
                bound,
                reassignmentsPerSecond,
                treeDegree,
                configurationBytes,
                configurationsPerDay,
                messageLoss,
                messageDuplication,
                mapBoundMicros,
                configurationBoundMicros);
    }

    /** Returns the same fleet with another rate of reassignment, shards a second in a region. */
    public FleetSettings withReassignmentsPerSecond(int shardsPerSecond) {
        return new FleetSettings(
                seed,
                regions,
                zones,
                forwarders,
                shards,
                destinations,
                downShare,
                forwardersPerMachine,
                machinesPerRack,
                controlMachines,
                timing,
                loadBound,
                shardsPerSecond,
                treeDegree,
                configurationBytes,
                configurationsPerDay,
                messageLoss,
                messageDuplication,
                mapBoundMicros,
                configurationBoundMicros);
    }

    /** Returns the same fleet with other bounds on the age of map and configuration. */
    FleetSettings withAgeBounds(long mapMicros, long configurationMicros) {
        return new FleetSettings(
                seed,
                regions,
                zones,
                forwarders,
                shards,
                destinations,
                downShare,
                forwardersPerMachine,
                machinesPerRack,
                controlMachines,
                timing,
                loadBound,
                reassignmentsPerSecond,
                treeDegree,
                configurationBytes,
                configurationsPerDay,
                messageLoss,
                messageDuplication,
                mapMicros,
                configurationMicros);
    }

    /** Region of a zone. */
    int regionOf(int zone) {
        return zone % regions;
    }

    /** Number of a zone within its region, from 0. */
    int zoneWithinRegion(int zone) {
        return zone / regions;
    }

    /** Number of zones of a region. */
    int zonesOf(int region) {
        return (zones - region + regions - 1) / regions;
    }

    /** A region's part of a total that is spread evenly over the zones. */
    int partOf(int region, int total) {
        int zonesBefore = 0;
        for (int other = 0; other < region; other++) {
            zonesBefore += zonesOf(other);
        }
        long end = (long) total * (zonesBefore + zonesOf(region)) / zones;
        return (int) (end - (long) total * zonesBefore / zones);
    }
}
