package lilaclever.simulation.world;

import java.util.List;
import java.util.TreeMap;
import lilaclever.simulation.audit.Auditor;
import lilaclever.simulation.scenario.Scenario;

/**
 * The result of a rehearsal.
 *
 * @param eventPeriods the periods of the scenario's events, for reports and plots
 * @param partners a row for each partner
 * @param series figures by second, under their names
 * @param actionCount actions that the timeline has run
 * @param isPartial true if the run was cut short
 * @param timingQuality of the stand-ins in real time; null in virtual time
 */
public record RehearsalResult(
        Scenario scenario,
        long seed,
        Auditor auditor,
        List<EventPeriod> eventPeriods,
        List<PartnerRow> partners,
        TreeMap<String, double[]> series,
        long endMicros,
        long actionCount,
        boolean isPartial,
        TimingQuality timingQuality) {
    /** The period of an event. */
    public record EventPeriod(String name, long fromMicros, long toMicros) {}

    /** One partner's figures. */
    public record PartnerRow(
            int destination,
            String kind,
            double capacity,
            double share,
            long calls,
            long refused,
            long served,
            int overloads) {}
}
