package lilaclever.lab.world;

import java.util.List;
import java.util.TreeMap;
import lilaclever.lab.audit.Auditor;
import lilaclever.lab.scenario.Scenario;

/**
 * What a run has shown.
 *
 * @param eventPeriods what happened, for people and for the bands of plots
 * @param partners a row for each partner
 * @param series figures by second: name to values
 * @param actionCount events of the scheduler: the size of the run
 * @param isPartial cut short
 * @param timingQuality of a run in real time; null in virtual time
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
    /** Something that happened, from a time to a time. */
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
            int falls) {}
}
