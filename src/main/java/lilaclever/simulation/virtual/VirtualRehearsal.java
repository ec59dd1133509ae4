package lilaclever.simulation.virtual;

import java.util.function.BooleanSupplier;
import java.util.function.LongConsumer;
import lilaclever.simulation.scenario.Scenario;
import lilaclever.simulation.world.Fault;
import lilaclever.simulation.world.RehearsalResult;
import lilaclever.simulation.world.World;

/**
 * Runs a rehearsal in virtual time, on one thread, with the real cores, decision modules and journals. The same
 * scenario and seed give exactly the same run.
 *
 * <p>Not modelled: the forwarders' processor time (a turn takes no time), packet loss, and file descriptors.
 */
public final class VirtualRehearsal {
    private VirtualRehearsal() {}

    /** Runs the scenario to its end. */
    public static RehearsalResult run(Scenario scenario, long seed, Fault fault) {
        return run(scenario, seed, fault, now -> {}, () -> false);
    }

    /**
     * Runs the scenario.
     *
     * @param progress receives the virtual time, in microseconds, once a virtual second
     * @param stopped cuts the run short once it returns true; the result is then partial
     */
    public static RehearsalResult run(
            Scenario scenario, long seed, Fault fault, LongConsumer progress, BooleanSupplier stopped) {
        VirtualTimeline timeline = new VirtualTimeline();
        World world = new World(scenario, seed, fault, timeline, VirtualForwarder::new);
        world.start();
        world.begin(progress);
        timeline.runUntil(world.lengthMicros(), stopped);
        return world.finish(timeline.actionCount(), null);
    }
}
