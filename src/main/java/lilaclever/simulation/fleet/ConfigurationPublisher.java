package lilaclever.simulation.fleet;

import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;

/**
 * Publishes configuration changes to the controllers of all regions, and sends each controller the latest version every
 * second.
 */
final class ConfigurationPublisher {
    private static final long SECOND_MICROS = 1_000_000;
    private static final long RETRY_MICROS = 300_000;
    private static final double MICROS_PER_DAY = 86_400.0 * SECOND_MICROS;

    private final FleetSettings settings;
    private final EventQueue queue;
    private final Network network;
    private final List<RegionControl> regions;
    private final FleetForwarders forwarders;
    private final FleetChecks checks;
    private final ConfigurationLog log;
    private final ZigguratSampler.Exponential exponential;

    ConfigurationPublisher(
            FleetSettings settings,
            EventQueue queue,
            Network network,
            List<RegionControl> regions,
            FleetForwarders forwarders,
            FleetChecks checks,
            ConfigurationLog log,
            UniformRandomProvider random) {
        this.settings = settings;
        this.queue = queue;
        this.network = network;
        this.regions = regions;
        this.forwarders = forwarders;
        this.checks = checks;
        this.log = log;
        this.exponential = ZigguratSampler.Exponential.of(random);
    }

    void start() {
        sendToAllRegions();
        scheduleNext();
    }

    private void scheduleNext() {
        queue.schedule((long) (MICROS_PER_DAY / settings.configurationsPerDay() * exponential.sample()), () -> {
            publish();
            scheduleNext();
        });
    }

    private void publish() {
        long version = log.publish();
        regions.forEach(region -> sendUntilArrived(region, version));
        queue.schedule(settings.configurationBoundMicros(), () -> checkAge(version));
    }

    private void sendUntilArrived(RegionControl region, long version) {
        if (region.configurationVersion() >= version) {
            return;
        }
        send(region);
        queue.schedule(RETRY_MICROS, () -> sendUntilArrived(region, version));
    }

    private void sendToAllRegions() {
        regions.forEach(this::send);
        queue.schedule(SECOND_MICROS, this::sendToAllRegions);
    }

    private void send(RegionControl region) {
        long version = log.latest();
        long sentMicros = queue.now();
        if (isCutOff(region)) {
            return;
        }
        network.betweenRegions(() -> {
            if (!isCutOff(region)) {
                region.configurationPublished(version, sentMicros);
            }
        });
    }

    private boolean isCutOff(RegionControl region) {
        return queue.now() < region.cutOffUntilMicros;
    }

    private void checkAge(long version) {
        checks.countCheck();
        long publishedMicros = log.publishedAtMicros(version);
        for (SimulatedForwarder forwarder : forwarders.all()) {
            ForwarderProcess process = forwarder.process;
            if (process == null || process.configurationFreshUntilMicros <= queue.now()) {
                continue;
            }
            long appliedVersion = regions.get(forwarder.region).configurationOf(process);
            if (appliedVersion < version) {
                checks.addBreach(new FleetBreach(
                        FleetBreach.Kind.STALE_CONFIGURATION,
                        queue.now(),
                        forwarder.region,
                        forwarder.id + " has " + appliedVersion + ", not " + version + " of " + publishedMicros));
            }
        }
    }
}
