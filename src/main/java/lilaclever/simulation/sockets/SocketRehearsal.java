package lilaclever.simulation.sockets;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.LongConsumer;
import lilaclever.simulation.scenario.Scenario;
import lilaclever.simulation.world.Fault;
import lilaclever.simulation.world.RehearsalResult;
import lilaclever.simulation.world.TimingQuality;
import lilaclever.simulation.world.World;

/**
 * Runs a rehearsal in real time over the loopback interface. Each forwarder is the real program in its own process;
 * partners, directory, platform and clients are stand-ins with the same models as in virtual time. The same scenario
 * and seed give the same arrivals and events, but the outcome depends on the timing of the machine.
 */
public final class SocketRehearsal {
    /**
     * The number of processes is bounded by the machine's memory, that of listeners by the port range, of which a
     * quarter stays free so that free ports are found quickly.
     */
    private static final int MAX_FORWARDERS = 1_024, MAX_LISTENERS = LoopbackPorts.PORT_COUNT * 3 / 4;

    private static final double MAX_MESSAGES_PER_SECOND = 1000;

    private final RealTimeline timeline = new RealTimeline();
    private final List<SocketForwarder> forwarders = new ArrayList<>();
    private PartnerListeners listeners;

    private SocketRehearsal() {}

    /** Says why a scenario is too large to run on sockets; null if it is not. */
    public static String sizeProblem(Scenario scenario) {
        double endpoints = scenario.fleet().destinations()
                * (scenario.fleet().endpoints()[0] + scenario.fleet().endpoints()[1])
                / 2;
        if (scenario.fleet().forwarders() > MAX_FORWARDERS) {
            return "forwarders: " + scenario.fleet().forwarders() + " processes are more than " + MAX_FORWARDERS;
        }
        if (endpoints * scenario.fleet().forwarders() > MAX_LISTENERS) {
            return "destinations: about "
                    + Math.round(endpoints * scenario.fleet().forwarders()) + " listening sockets are more than "
                    + MAX_LISTENERS;
        }
        return scenario.fleet().ratePerSecond() > MAX_MESSAGES_PER_SECOND
                ? "rate: " + scenario.fleet().ratePerSecond() + " a second is more than " + MAX_MESSAGES_PER_SECOND
                : null;
    }

    /**
     * Runs the scenario.
     *
     * @param folder receives the forwarders' logs, configurations and state folders
     * @param command starts one forwarder
     * @param progress receives the time, in microseconds, once a second
     * @param stopped cuts the run short once it returns true; the result is then partial
     * @throws IOException if a forwarder cannot be started; the message says which, and why
     */
    public static RehearsalResult run(
            Scenario scenario,
            long seed,
            Path folder,
            List<String> command,
            LongConsumer progress,
            BooleanSupplier stopped)
            throws IOException, InterruptedException {
        return new SocketRehearsal().runRehearsal(scenario, seed, folder, command, progress, stopped);
    }

    private RehearsalResult runRehearsal(
            Scenario scenario,
            long seed,
            Path folder,
            List<String> command,
            LongConsumer progress,
            BooleanSupplier stopped)
            throws IOException, InterruptedException {
        Files.createDirectories(folder);
        World world;
        try {
            world = new World(scenario, seed, Fault.NONE, timeline, (w, number, settings, forwarderSeed) -> {
                listeners = listeners == null ? new PartnerListeners(w, timeline) : listeners;
                SocketForwarder forwarder =
                        new SocketForwarder(w, timeline, listeners, number, settings, forwarderSeed, folder, command);
                forwarders.add(forwarder);
                return forwarder;
            });
            try {
                timeline.post(world::start);
                timeline.runUntil(
                        Long.MAX_VALUE,
                        () -> stopped.getAsBoolean()
                                || startFailure() != null
                                || world.everReadyCount() == forwarders.size());
                if (startFailure() != null) {
                    throw new IOException(startFailure());
                }
                timeline.begin();
                world.begin(progress);
                listeners.pollOutages();
                timeline.runUntil(world.lengthMicros(), () -> stopped.getAsBoolean() || startFailure() != null);
                timeline.end();
            } finally {
                for (SocketForwarder forwarder : forwarders) {
                    forwarder.stop();
                }
                listeners.close();
            }
        } catch (UncheckedIOException e) {
            throw e.getCause();
        }
        return world.finish(
                timeline.actionCount(),
                TimingQuality.of(timeline.lateness(), listeners.errorCount() + (startFailure() == null ? 0 : 1)));
    }

    private String startFailure() {
        return forwarders.stream()
                .map(SocketForwarder::startFailure)
                .filter(f -> f != null)
                .findFirst()
                .orElse(null);
    }
}
