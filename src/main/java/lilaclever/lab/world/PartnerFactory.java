package lilaclever.lab.world;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import lilaclever.lab.model.MessageClass;
import lilaclever.lab.model.Partner;
import lilaclever.lab.model.PartnerKind;
import lilaclever.lab.model.RandomStream;
import lilaclever.lab.scenario.Scenario;
import lilaclever.lab.scenario.Scenario.Fleet;

/** Makes a scenario's partners and their endpoints, the same ones for the same seed. */
final class PartnerFactory {
    /** Kinds that get much of the traffic are drawn for places within this part of the ranks. */
    private static final double LARGE_KINDS_WITHIN = 0.6;
    /** The first quarter of the partners has as many endpoints as is drawn, the others this part of it. */
    private static final double FEWER_ENDPOINTS = 0.6;

    private static final int MANY_ENDPOINTS_PART = 4;
    /** Added to a number of endpoints before it is rounded. */
    private static final double ENDPOINT_ROUNDING = 0.2;

    private final Scenario scenario;
    private final Fleet fleet;
    private final long seed;
    private final RandomStream random;

    PartnerFactory(Scenario scenario, long seed) {
        this.scenario = scenario;
        this.seed = seed;
        fleet = scenario.fleet();
        random = new RandomStream(seed, "partners");
    }

    /**
     * Makes the partners and adds their endpoints to the directory.
     *
     * @param weights each partner's share of the traffic, falling
     * @return the partners, numbered by their rank
     */
    List<Partner> make(double[] weights, EndpointDirectory directory) {
        List<PartnerKind> kinds = kindsByRank();
        double meanWork = meanWorkMicros();
        List<Partner> partners = new ArrayList<>();
        for (int rank = 0; rank < kinds.size(); rank++) {
            double part = rank < kinds.size() / MANY_ENDPOINTS_PART ? 1 : FEWER_ENDPOINTS;
            int endpoints = Math.max(1, (int) Math.round(random.in(fleet.endpoints()) * part + ENDPOINT_ROUNDING));
            Partner partner = new Partner(
                    rank,
                    kinds.get(rank),
                    endpoints,
                    weights[rank] * fleet.ratePerSecond(),
                    meanWork,
                    fleet.partnerRecovery(),
                    new RandomStream(seed, "partner " + rank));
            partners.add(partner);
            for (int i = 0; i < endpoints; i++) {
                directory.addEndpoint(partner);
            }
        }
        return partners;
    }

    /** A kind for each partner: those that get much of the traffic stand where it is, the others anywhere. */
    private List<PartnerKind> kindsByRank() {
        record Placed(PartnerKind kind, double place) {}
        List<Placed> placed = new ArrayList<>();
        for (PartnerKind kind : kindsByShare()) {
            placed.add(new Placed(kind, kind.large() ? random.unit() * LARGE_KINDS_WITHIN : random.unit()));
        }
        placed.sort(Comparator.comparingDouble(Placed::place));
        return placed.stream().map(Placed::kind).toList();
    }

    private List<PartnerKind> kindsByShare() {
        List<PartnerKind> kinds = new ArrayList<>();
        for (PartnerKind kind : scenario.kinds()) {
            int wanted = (int) Math.round(kind.share() * fleet.destinations());
            for (int i = 0; i < wanted && kinds.size() < fleet.destinations(); i++) {
                kinds.add(kind);
            }
        }
        while (kinds.size() < fleet.destinations()) {
            kinds.add(scenario.kinds().get(scenario.kinds().size() - 1));
        }
        return kinds;
    }

    private double meanWorkMicros() {
        double work = 0;
        for (MessageClass messageClass : scenario.classes()) {
            work += messageClass.share()
                    * (messageClass.workMicros()[0] + messageClass.workMicros()[1])
                    / 2;
        }
        return work;
    }
}
