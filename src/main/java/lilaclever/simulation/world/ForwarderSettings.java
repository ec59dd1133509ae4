package lilaclever.simulation.world;

import java.util.List;
import lilaclever.DecisionModule;
import lilaclever.simulation.model.MessageClass;
import lilaclever.simulation.model.Partner;
import lilaclever.simulation.scenario.Scenario;
import lilaclever.simulation.scenario.Scenario.Fleet;

/** Derives the forwarders' settings from a scenario. */
final class ForwarderSettings {
    private static final long SECOND_MICROS = 1_000_000;
    private static final long ANSWER_SLACK_MICROS = 20_000;
    private static final long WATCH_WITHIN_MICROS = 10 * SECOND_MICROS;
    private static final long MAX_RETRY_AFTER_MICROS = 2 * SECOND_MICROS;
    private static final double OVER_QUOTA_WORTH_FACTOR = 0.1;

    private final Scenario scenario;
    private final Fleet fleet;
    /** Messages a second of each forwarder at full load, and the mean number of calls that they keep in flight. */
    private final double ratePerSecond, busyCalls;

    ForwarderSettings(Scenario scenario, double[] weights, List<Partner> partners) {
        this.scenario = scenario;
        fleet = scenario.fleet();
        ratePerSecond = fleet.ratePerSecond() / fleet.forwarders();
        double busy = 0;
        for (int i = 0; i < partners.size(); i++) {
            busy += weights[i] * ratePerSecond * partners.get(i).meanServiceSeconds();
        }
        busyCalls = busy;
    }

    /** The settings of the forwarder with that number. */
    DecisionModule.Settings forForwarder(int number) {
        List<DecisionModule.EndpointKind> kinds = scenario.kinds().stream()
                .map(k -> new DecisionModule.EndpointKind(false, k.maxBatchSize()))
                .toList();
        List<DecisionModule.MessageClass> classes =
                scenario.classes().stream().map(MessageClass::terms).toList();
        return new DecisionModule.Settings(
                number,
                fleet.forwarders(),
                0,
                1,
                fleet.roundMicros(),
                false,
                DecisionModule.WeightMeaning.NONE,
                false,
                OVER_QUOTA_WORTH_FACTOR,
                classes,
                kinds,
                List.of(),
                limits(),
                rules());
    }

    private DecisionModule.Limits limits() {
        return new DecisionModule.Limits(
                fleet.maxAttempts(),
                Math.max(fleet.minPending(), (int) (fleet.pendingSeconds() * ratePerSecond)),
                Math.max(fleet.minSlots(), (int) Math.ceil(fleet.slotFactor() * busyCalls)),
                true,
                true,
                false,
                1,
                fleet.connectTimeoutMicros(),
                fleet.keepAliveMicros(),
                true,
                MAX_RETRY_AFTER_MICROS);
    }

    private DecisionModule.Rules rules() {
        return new DecisionModule.Rules(
                ANSWER_SLACK_MICROS,
                WATCH_WITHIN_MICROS,
                fleet.drainGraceMicros(),
                fleet.partnerRecovery().initialCapacityShare(),
                fleet.partnerRecovery().rampMicros(),
                fleet.partnerRecovery().overloadMultiple(),
                fleet.partnerRecovery().overloadWindowMicros(),
                0);
    }
}
