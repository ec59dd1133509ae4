package lilaclever.lab.world;

import java.util.List;
import lilaclever.DecisionModule;
import lilaclever.lab.model.MessageClass;
import lilaclever.lab.model.Partner;
import lilaclever.lab.scenario.Scenario;
import lilaclever.lab.scenario.Scenario.Fleet;

/** The settings that a scenario gives its forwarders. */
final class ForwarderSettings {
    private static final long SECOND = 1_000_000;
    private static final long ANSWER_SLACK = 20_000;
    private static final long ASK_WITHIN = 10 * SECOND;
    private static final long LONGEST_COME_BACK = 2 * SECOND;
    private static final double OVER_SHARE_WORTH = 0.1;

    private final Scenario scenario;
    private final Fleet fleet;
    /** Messages a second of each forwarder at full load, and calls that these keep busy. */
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

    /** Those of the forwarder with that number. */
    DecisionModule.Settings of(int number) {
        List<DecisionModule.EndpointKind> kinds = scenario.kinds().stream()
                .map(k -> new DecisionModule.EndpointKind(false, k.maxBatch()))
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
                OVER_SHARE_WORTH,
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
                LONGEST_COME_BACK);
    }

    private DecisionModule.Rules rules() {
        return new DecisionModule.Rules(
                ANSWER_SLACK,
                ASK_WITHIN,
                fleet.drainGraceMicros(),
                fleet.partnerRecovery().initialCapacity(),
                fleet.partnerRecovery().rampMicros(),
                fleet.partnerRecovery().overloadFactor(),
                fleet.partnerRecovery().overloadMicros(),
                0);
    }
}
