package lilaclever.simulation.fleet;

import java.util.Locale;

/** A run requested on the command line as {@code SCHEDULE/FORWARDERS/SEED}. */
record FleetRun(Schedule schedule, int forwarders, long seed) {
    private static final int PART_COUNT = 3;

    /**
     * Parses a run.
     *
     * @throws IllegalArgumentException if it does not have that form, or the schedule is unknown
     */
    static FleetRun parse(String text) {
        String[] parts = text.split("/");
        if (parts.length != PART_COUNT) {
            throw new IllegalArgumentException("not SCHEDULE/FORWARDERS/SEED: " + text);
        }
        Schedule schedule = Schedule.valueOf(parts[0].toUpperCase(Locale.ROOT).replace('-', '_'));
        return new FleetRun(schedule, Integer.parseInt(parts[1]), Long.parseLong(parts[2]));
    }

    /** File name of its table. */
    String fileName() {
        return schedule.label() + "-" + forwarders + "-seed" + seed + ".tsv";
    }
}
