package lilaclever.simulation.fleet;

import java.util.List;

/**
 * Results of a run.
 *
 * @param settings the fleet
 * @param schedule name of the schedule
 * @param breaches broken rules, the first hundred
 * @param checks number of comparisons made by the checkers
 * @param phases figures by phase
 * @param deterministic figures of the whole run that depend on the seed alone
 * @param measured figures that depend on the machine
 */
public record FleetFigures(
        FleetSettings settings,
        String schedule,
        List<FleetBreach> breaches,
        long checks,
        List<PhaseFigures> phases,
        List<Figure> deterministic,
        List<Figure> measured) {
    /** A figure; its name includes the unit. */
    public record Figure(String name, double value) {}

    /** Copies the lists. */
    public FleetFigures {
        breaches = List.copyOf(breaches);
        phases = List.copyOf(phases);
        deterministic = List.copyOf(deterministic);
        measured = List.copyOf(measured);
    }

    /** Returns a deterministic figure by name. */
    public double figure(String name) {
        for (Figure figure : deterministic) {
            if (figure.name().equals(name)) {
                return figure.value();
            }
        }
        throw new IllegalArgumentException("no figure " + name);
    }
}
