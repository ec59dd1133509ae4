package lilaclever.lab.virtual;

import java.util.function.BooleanSupplier;
import java.util.function.LongConsumer;
import lilaclever.lab.scenario.Scenario;
import lilaclever.lab.world.Fault;
import lilaclever.lab.world.RehearsalResult;
import lilaclever.lab.world.World;

/**
 * Plays a rehearsal in virtual time: the real cores with their modules and journals, in one thread. The same scenario
 * and seed give the same run, to the last event.
 *
 * <p>What it does not model: the forwarders' own processors (a turn takes no time), lost packets, and descriptors.
 */
public final class VirtualRehearsal {
    private VirtualRehearsal() {}

    /** Plays the run to its end. */
    public static RehearsalResult run(Scenario scenario, long seed, Fault fault) {
        return run(scenario, seed, fault, now -> {}, () -> false);
    }

    /**
     * Plays the run; {@code progress} hears the virtual time once a virtual second. When {@code stopped} says so the
     * run is cut short, and the result is partial.
     */
    public static RehearsalResult run(
            Scenario scenario, long seed, Fault fault, LongConsumer progress, BooleanSupplier stopped) {
        VirtualTimeline scheduler = new VirtualTimeline();
        World world = new World(scenario, seed, fault, scheduler, VirtualForwarder::new);
        world.start();
        world.begin(progress);
        scheduler.runUntil(world.lengthMicros(), stopped);
        return world.finish(scheduler.actionCount(), null);
    }
}
