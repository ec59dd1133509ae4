package lilaclever.simulation.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.Consumer;
import lilaclever.simulation.fleet.FleetFigures.Figure;
import lilaclever.simulation.fleet.Schedule.Phase;
import lilaclever.simulation.fleet.Schedule.PhaseType;
import org.HdrHistogram.Histogram;
import org.apache.commons.rng.UniformRandomProvider;

/** Simulates a schedule with a fleet of simulated forwarders in virtual time. */
public final class FleetSimulation {
    private static final long SECOND_MICROS = 1_000_000;
    private static final long WARM_UP_MICROS = 60 * SECOND_MICROS;
    /** All forwarders register within this interval, so that few shards are placed before all members are known. */
    private static final int START_SPREAD_MICROS = 50_000;

    private static final double PERCENTILE = 99.9;

    private final FleetSettings settings;
    private final Schedule schedule;
    private final EventQueue queue = new EventQueue();
    private final FleetChecks checks = new FleetChecks();
    private final ConfigurationLog configurations = new ConfigurationLog(queue);
    private final FleetForwarders forwarders;
    private final Network network;
    private final List<RegionControl> regions = new ArrayList<>();
    private final ConfigurationPublisher publisher;
    private final Failures failures;
    private final UniformRandomProvider starts;

    /** Creates a fleet with these settings, not yet started. */
    public FleetSimulation(FleetSettings settings, Schedule schedule) {
        this.settings = settings;
        this.schedule = schedule;
        RandomStreams streams = new RandomStreams(settings.seed());
        starts = streams.stream("starts");
        network = new Network(queue, streams.stream("network"), settings);
        forwarders = new FleetForwarders(settings, queue, streams);
        UniformRandomProvider clocks = streams.stream("controller clocks");
        int relays = settings.controlMachines() - settings.regions();
        for (int region = 0; region < settings.regions(); region++) {
            int relaysOfRegion = relays / settings.regions() + (region < relays % settings.regions() ? 1 : 0);
            regions.add(new RegionControl(
                    region,
                    settings,
                    queue,
                    network,
                    forwarders,
                    checks,
                    configurations,
                    FleetForwarders.clockOf(clocks, settings, queue),
                    Math.max(1, relaysOfRegion)));
        }
        forwarders.setRegions(regions);
        publisher = new ConfigurationPublisher(
                settings,
                queue,
                network,
                regions,
                forwarders,
                checks,
                configurations,
                streams.stream("configurations"));
        failures = new Failures(settings, queue, forwarders, regions, streams.stream("failures"));
    }

    /** Runs the schedule from the start of all forwarders to its end. */
    public FleetFigures run() {
        return run(phase -> {});
    }

    /** Runs the schedule and reports each phase as it ends. */
    public FleetFigures run(Consumer<PhaseFigures> phaseEnded) {
        forwarders.all().forEach(forwarder -> forwarders.startAfter(forwarder, starts.nextInt(START_SPREAD_MICROS)));
        queue.runUntil(WARM_UP_MICROS);
        long startMicros = queue.now();
        regions.forEach(region -> region.traffic().reset());
        regions.forEach(region -> region.checker().gapMillis().reset());
        forwarders.all().forEach(SimulatedForwarder::resetTraffic);
        publisher.start();
        List<PhaseFigures> phases = new ArrayList<>();
        for (Phase phase : schedule.phases()) {
            PhaseFigures figures = simulatePhase(phase);
            phaseEnded.accept(figures);
            phases.add(figures);
        }
        double seconds = (queue.now() - startMicros) / (double) SECOND_MICROS;
        return new FleetFigures(
                settings,
                schedule.label(),
                checks.breaches(),
                checks.checks(),
                phases,
                deterministicFigures(seconds),
                measuredFigures(seconds));
    }

    private PhaseFigures simulatePhase(Phase phase) {
        checks.resetPeak();
        regions.forEach(region -> region.checker().resetPeak());
        long startMicros = queue.now();
        long movesBefore = moves();
        int unservedBefore = checks.unserved();
        List<Integer> shardsBefore = shardCounts(forwarders.all());
        List<SimulatedForwarder> affected = failures.startPhase(phase);
        int lost = checks.unserved() - unservedBefore;
        queue.runUntil(startMicros + phase.seconds() * SECOND_MICROS);
        Histogram everywhere = configurations.everywhereMillis(startMicros, queue.now());
        return new PhaseFigures(
                phase.type().name().toLowerCase(Locale.ROOT),
                phase.seconds(),
                lost,
                restoredSeconds(startMicros),
                share(checks.peakUnserved(), settings.shards()),
                peakUnservedInRegion(),
                moves() - movesBefore,
                leastMoves(phase.type(), affected, shardsBefore),
                fullestLoad(false),
                fullestLoad(true),
                everywhere.getTotalCount(),
                everywhere.getValueAtPercentile(PERCENTILE),
                everywhere.getMaxValue());
    }

    private double restoredSeconds(long startMicros) {
        long last = 0;
        for (RegionControl region : regions) {
            if (region.checker().unserved() > 0) {
                return Double.NaN;
            }
            last = Math.max(last, region.checker().lastRestoredMicros());
        }
        return Math.max(0, last - startMicros) / (double) SECOND_MICROS;
    }

    private double peakUnservedInRegion() {
        double peak = 0;
        for (RegionControl region : regions) {
            peak = Math.max(
                    peak,
                    share(region.checker().peakUnserved(), region.checker().shards()));
        }
        return peak;
    }

    private long moves() {
        return regions.stream().mapToLong(region -> region.checker().moves()).sum();
    }

    private List<Integer> shardCounts(List<SimulatedForwarder> selected) {
        List<Integer> counts = new ArrayList<>();
        for (SimulatedForwarder forwarder : selected) {
            OwnershipChecker checker = regions.get(forwarder.region).checker();
            counts.add(forwarder.isRunning() ? checker.shardsOf(forwarder.process) : 0);
        }
        return counts;
    }

    /** Lost shards have to move, and returned forwarders have to get shards back; a planned restart needs both. */
    private long leastMoves(PhaseType type, List<SimulatedForwarder> affected, List<Integer> shardsBefore) {
        boolean returned = type == PhaseType.RETURN || type == PhaseType.RECONNECTED;
        if (returned) {
            return shardCounts(affected).stream().mapToLong(Integer::longValue).sum();
        }
        return failures.leastMoves()
                + affected.stream()
                        .mapToLong(forwarder -> shardsBefore.get(forwarder.id.number()))
                        .sum();
    }

    /** Ratio of the fullest forwarder's load to the mean of its region, in shards or in destinations. */
    private double fullestLoad(boolean byDestinations) {
        double fullest = 0;
        for (RegionControl region : regions) {
            long[] loads = new long[forwarders.all().size()];
            long total = 0;
            for (int shard = 0; shard < region.checker().shards(); shard++) {
                ForwarderProcess sender = region.checker().senderOf(shard);
                int load = byDestinations
                        ? forwarders.destinationsOf(region.region).of(shard)
                        : 1;
                total += load;
                if (sender != null) {
                    loads[sender.forwarder.id.number()] += load;
                }
            }
            long running = forwarders.ofRegion(region.region).stream()
                    .filter(this::reachable)
                    .count();
            for (long load : loads) {
                fullest = Math.max(fullest, load * (double) running / total);
            }
        }
        return fullest;
    }

    private boolean reachable(SimulatedForwarder forwarder) {
        return forwarder.isRunning() && forwarder.cutOffUntilMicros < queue.now();
    }

    private List<Figure> deterministicFigures(double seconds) {
        List<Figure> figures = new ArrayList<>();
        figures.add(new Figure("virtual_seconds", seconds));
        figures.add(new Figure("events", queue.addedCount()));
        figures.add(new Figure("messages", network.messageCount()));
        figures.add(new Figure("messages_lost", network.lostCount()));
        figures.add(new Figure(
                "map_batches",
                regions.stream().mapToLong(RegionControl::mapBatches).sum()));
        figures.add(new Figure(
                "map_fetches",
                regions.stream().mapToLong(region -> region.traffic().fetches).sum()));
        figures.add(new Figure(
                "map_resends",
                regions.stream().mapToLong(region -> region.traffic().resends).sum()));
        figures.add(new Figure(
                "expirations",
                regions.stream()
                        .mapToLong(region -> region.traffic().expirations)
                        .sum()));
        figures.add(new Figure("moves", moves()));
        addChangeFigures(figures);
        addGapFigures(figures);
        addTrafficFigures(figures, seconds);
        return figures;
    }

    private void addChangeFigures(List<Figure> figures) {
        Histogram everywhere = configurations.everywhereMillis(0, Long.MAX_VALUE);
        figures.add(new Figure("changes", everywhere.getTotalCount()));
        figures.add(new Figure("change_everywhere_p50_ms", everywhere.getValueAtPercentile(50)));
        figures.add(new Figure("change_everywhere_p999_ms", everywhere.getValueAtPercentile(PERCENTILE)));
        figures.add(new Figure("change_everywhere_worst_ms", everywhere.getMaxValue()));
        Histogram atForwarder = configurations.reachableMillis();
        figures.add(new Figure("change_at_forwarder_samples", atForwarder.getTotalCount()));
        figures.add(new Figure("change_at_forwarder_p50_ms", atForwarder.getValueAtPercentile(50)));
        figures.add(new Figure("change_at_forwarder_p999_ms", atForwarder.getValueAtPercentile(PERCENTILE)));
        figures.add(new Figure("change_at_forwarder_worst_ms", atForwarder.getMaxValue()));
        figures.add(new Figure(
                "change_at_cut_off_forwarder_worst_ms",
                configurations.cutOffMillis().getMaxValue()));
    }

    private void addGapFigures(List<Figure> figures) {
        Histogram gaps = new Histogram(3);
        regions.forEach(region -> gaps.add(region.checker().gapMillis()));
        figures.add(new Figure("gaps", gaps.getTotalCount()));
        figures.add(new Figure("gap_p50_ms", gaps.getValueAtPercentile(50)));
        figures.add(new Figure("gap_p999_ms", gaps.getValueAtPercentile(PERCENTILE)));
        figures.add(new Figure("gap_worst_ms", gaps.getMaxValue()));
    }

    private void addTrafficFigures(List<Figure> figures, double seconds) {
        double total = 0;
        double most = 0;
        double busiest = 0;
        for (SimulatedForwarder forwarder : forwarders.all()) {
            total += forwarder.bytes();
            most = Math.max(most, forwarder.bytes() / seconds);
            busiest = Math.max(busiest, forwarder.busiestBytesPerSecond());
        }
        figures.add(new Figure(
                "forwarder_bytes_per_s_mean", total / seconds / forwarders.all().size()));
        figures.add(new Figure("forwarder_bytes_per_s_most", most));
        figures.add(new Figure("forwarder_bytes_per_s_busiest_10s", busiest));
        double controlMost = 0;
        long commands = 0;
        for (RegionControl region : regions) {
            controlMost = Math.max(controlMost, region.traffic().busiestMachineBytes() / seconds);
            commands = Math.max(commands, region.traffic().commands());
        }
        figures.add(new Figure("control_machine_bytes_per_s_most", controlMost));
        figures.add(new Figure("controller_commands_per_s_most", commands / seconds));
    }

    private List<Figure> measuredFigures(double seconds) {
        double controllerMost = 0;
        double holderNanos = 0;
        double deltaMost = 0;
        for (RegionControl region : regions) {
            controllerMost = Math.max(controllerMost, region.traffic().controllerNanos() / seconds / 1e7);
            holderNanos += region.traffic().holderNanos();
            deltaMost = Math.max(deltaMost, region.traffic().deltaNanos() / seconds / 1e7);
        }
        double holderMean = holderNanos / forwarders.all().size() / seconds / 1e7;
        return List.of(
                new Figure("controller_core_percent_most", controllerMost),
                new Figure("holder_core_percent_mean", holderMean),
                new Figure("map_deltas_core_percent_most", deltaMost));
    }

    private static double share(int part, int whole) {
        return (double) part / whole;
    }
}
