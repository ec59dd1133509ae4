package lilaclever.lab.sockets;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.LongConsumer;
import lilaclever.lab.scenario.Scenario;
import lilaclever.lab.world.Fault;
import lilaclever.lab.world.RehearsalResult;
import lilaclever.lab.world.TimingQuality;
import lilaclever.lab.world.World;

/**
 * Plays a rehearsal in real time over the loopback: each forwarder is the real program in a process of its own, and
 * partners, directory, platform and clients are stand-ins with the same models as in virtual time. The same scenario
 * and seed give the same plan of arrivals and events; what the forwarders make of it depends on the machine.
 */
public final class SocketRehearsal {
    /**
     * Processes as far as the machine has memory for them; sockets within the ports that a run takes, with room
     * between.
     */
    private static final int MOST_FORWARDERS = 1_024, MOST_DOORS = Ports.COUNT * 3 / 4;

    private static final double MOST_A_SECOND = 1000;

    private final RealTime time = new RealTime();
    private final List<SocketForwarder> forwarders = new ArrayList<>();
    private Listeners listeners;

    private SocketRehearsal() {}

    /** Why a scenario is too large for this; null if it is not. */
    public static String sizeProblem(Scenario s) {
        double endpoints =
                s.fleet().destinations() * (s.fleet().endpoints()[0] + s.fleet().endpoints()[1]) / 2;
        if (s.fleet().forwarders() > MOST_FORWARDERS) {
            return "forwarders: " + s.fleet().forwarders() + " processes are more than " + MOST_FORWARDERS;
        }
        if (endpoints * s.fleet().forwarders() > MOST_DOORS) {
            return "destinations: about " + Math.round(endpoints * s.fleet().forwarders())
                    + " listening sockets are more than " + MOST_DOORS;
        }
        return s.fleet().ratePerSecond() > MOST_A_SECOND
                ? "rate: " + s.fleet().ratePerSecond() + " a second is more than " + MOST_A_SECOND
                : null;
    }

    /**
     * Plays the run. {@code folder} takes the forwarders' logs, configurations and state folders; {@code command}
     * starts one forwarder. {@code progress} hears the time once a second. When {@code stopped} says so the run is cut
     * short, and the result is partial.
     *
     * @throws IOException if a forwarder can't be started; says which, and why
     */
    public static RehearsalResult run(
            Scenario scenario,
            long seed,
            Path folder,
            List<String> command,
            LongConsumer progress,
            BooleanSupplier stopped)
            throws IOException, InterruptedException {
        return new SocketRehearsal().play(scenario, seed, folder, command, progress, stopped);
    }

    private RehearsalResult play(
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
            world = new World(scenario, seed, Fault.NONE, time, (w, number, settings, itsSeed) -> {
                listeners = listeners == null ? new Listeners(w, time) : listeners;
                SocketForwarder f = new SocketForwarder(w, time, listeners, number, settings, itsSeed, folder, command);
                forwarders.add(f);
                return f;
            });
            try {
                time.post(world::start);
                time.runUntil(
                        Long.MAX_VALUE,
                        () -> stopped.getAsBoolean() || failure() != null || world.readyCount() == forwarders.size());
                if (failure() != null) {
                    throw new IOException(failure());
                }
                time.begin();
                world.begin(progress);
                listeners.watch();
                time.runUntil(world.length(), () -> stopped.getAsBoolean() || failure() != null);
                time.end();
            } finally {
                for (SocketForwarder f : forwarders) {
                    f.stop();
                }
                listeners.close();
            }
        } catch (UncheckedIOException e) {
            throw e.getCause();
        }
        return world.finish(
                time.ran(), TimingQuality.of(time.lateness(), listeners.troubles() + (failure() == null ? 0 : 1)));
    }

    private String failure() {
        return forwarders.stream()
                .map(SocketForwarder::failure)
                .filter(f -> f != null)
                .findFirst()
                .orElse(null);
    }
}
