package lilaclever.simulation.fleet;

import java.util.List;
import java.util.Locale;

/** Schedules of failures and restarts for a simulated fleet. */
public enum Schedule {
    /** One failure of each kind after the other, each followed by its recovery. */
    INCIDENTS(List.of(
            new Phase(PhaseType.QUIET, 120),
            new Phase(PhaseType.MACHINE_LOST, 60),
            new Phase(PhaseType.RETURN, 60),
            new Phase(PhaseType.RACK_LOST, 60),
            new Phase(PhaseType.RETURN, 60),
            new Phase(PhaseType.ZONE_LOST, 120),
            new Phase(PhaseType.RETURN, 180),
            new Phase(PhaseType.REGION_CUT_OFF, 300),
            new Phase(PhaseType.RECONNECTED, 60),
            new Phase(PhaseType.MEMBERS_CUT_OFF, 60),
            new Phase(PhaseType.RECONNECTED, 60))),
    /** The failures of an ordinary day at their usual rate, for half an hour. */
    ORDINARY(List.of(new Phase(PhaseType.ORDINARY_FAILURES, 1_800), new Phase(PhaseType.QUIET, 30))),
    /** Planned restarts at the rate that restarts all forwarders within a day, for ten minutes. */
    RESTART_PACE(List.of(new Phase(PhaseType.PLANNED_RESTARTS, 600), new Phase(PhaseType.QUIET, 30))),
    /** Failures of most kinds in a few minutes, for a small fleet. */
    SHORT(List.of(
            new Phase(PhaseType.QUIET, 10),
            new Phase(PhaseType.MACHINE_LOST, 30),
            new Phase(PhaseType.RETURN, 20),
            new Phase(PhaseType.ZONE_LOST, 40),
            new Phase(PhaseType.RETURN, 30),
            new Phase(PhaseType.REGION_CUT_OFF, 30),
            new Phase(PhaseType.RECONNECTED, 20),
            new Phase(PhaseType.MEMBERS_CUT_OFF, 30),
            new Phase(PhaseType.RECONNECTED, 20),
            new Phase(PhaseType.PLANNED_RESTARTS, 30)));

    /** The event that starts a phase, or that goes on during it. */
    enum PhaseType {
        QUIET,
        MACHINE_LOST,
        RACK_LOST,
        ZONE_LOST,
        RETURN,
        REGION_CUT_OFF,
        MEMBERS_CUT_OFF,
        RECONNECTED,
        ORDINARY_FAILURES,
        PLANNED_RESTARTS
    }

    /** A phase with its duration in seconds. */
    record Phase(PhaseType type, int seconds) {}

    private final List<Phase> phases;

    Schedule(List<Phase> phases) {
        this.phases = phases;
    }

    List<Phase> phases() {
        return phases;
    }

    /** Name in tables and on the command line. */
    public String label() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
