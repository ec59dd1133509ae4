package lilaclever.lab.fleet;

import java.util.List;

/**
 * What a run gave.
 *
 * @param settings  the fleet
 * @param schedule  what happened
 * @param breaches  rules that were broken; the first hundred
 * @param checks    comparisons that the checkers made
 * @param phases    figures by phase
 * @param deterministic figures of the whole run that follow from the seed alone, by name
 * @param measured  figures that depend on the machine, by name
 */
public record FleetFigures(
        FleetSettings settings,
        String schedule,
        List<FleetBreach> breaches,
        long checks,
        List<PhaseFigures> phases,
        List<Figure> deterministic,
        List<Figure> measured) {
    /** A figure with its name and unit. */
    public record Figure(String name, double value) {}

    /** Copies the lists. */
    public FleetFigures {
        breaches = List.copyOf(breaches);
        phases = List.copyOf(phases);
        deterministic = List.copyOf(deterministic);
        measured = List.copyOf(measured);
    }

    /** Value of a figure of the run. */
    public double figure(String name) {
        for (Figure figure : deterministic) {
            if (figure.name().equals(name)) {
                return figure.value();
            }
        }
        throw new IllegalArgumentException("no figure " + name);
    }
}
