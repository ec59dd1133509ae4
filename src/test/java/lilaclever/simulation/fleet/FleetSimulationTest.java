package lilaclever.simulation.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Tests with small fleets, of 200 forwarders in 2 regions of 3 zones, through failures in a few minutes of virtual
 * time.
 */
class FleetSimulationTest {
    private static final double LOAD_BOUND = 1.25;

    @Test
    void smallFleetKeepsTheRulesThroughFailuresOfEachKind() {
        FleetFigures figures = simulate(1);
        assertEquals(List.of(), figures.breaches());
        assertTrue(figures.checks() > 5_000, "checks: " + figures.checks());
        assertTrue(figures.figure("expirations") > 40, figures.toString());
        assertTrue(figures.figure("messages_lost") > 50, figures.toString());
        for (PhaseFigures phase : figures.phases()) {
            assertTrue(phase.fullestShards() <= LOAD_BOUND, phase.toString());
            assertTrue(phase.changeEverywhereWorstMillis() < 4_000, phase.toString());
        }
        PhaseFigures zoneLost = phase(figures, "zone_lost");
        assertTrue(zoneLost.shardsLost() > 300, zoneLost.toString());
        assertTrue(zoneLost.restoredSeconds() < 15, zoneLost.toString());
        assertTrue(zoneLost.moves() <= 1.1 * zoneLost.leastMoves(), zoneLost.toString());
    }

    @Test
    void oneSeedGivesTheSameRun() {
        FleetFigures first = simulate(2);
        FleetFigures second = simulate(2);
        assertEquals(first.phases(), second.phases());
        assertEquals(first.deterministic(), second.deterministic());
        assertEquals(first.checks(), second.checks());
        assertNotEquals(first.deterministic(), simulate(3).deterministic());
    }

    @Test
    void mapsOlderThanTheirBoundAreBreaches() {
        FleetSettings settings = FleetSettings.of(4, 2, 6, 60);
        assertEquals(
                List.of(FleetBreach.Kind.STALE_MAP),
                breachKinds(settings.withAgeBounds(1_000, settings.configurationBoundMicros())));
    }

    @Test
    void configurationsOlderThanTheirBoundAreBreaches() {
        FleetSettings settings = FleetSettings.of(4, 2, 6, 60);
        assertEquals(
                List.of(FleetBreach.Kind.STALE_CONFIGURATION),
                breachKinds(settings.withAgeBounds(settings.mapBoundMicros(), 20_000)));
    }

    private static List<FleetBreach.Kind> breachKinds(FleetSettings settings) {
        return new FleetSimulation(settings, Schedule.SHORT)
                .run().breaches().stream().map(FleetBreach::kind).distinct().toList();
    }

    private static FleetFigures simulate(long seed) {
        return new FleetSimulation(FleetSettings.of(seed, 2, 6, 200), Schedule.SHORT).run();
    }

    private static PhaseFigures phase(FleetFigures figures, String name) {
        return figures.phases().stream()
                .filter(phase -> phase.name().equals(name))
                .findFirst()
                .orElseThrow();
    }
}
