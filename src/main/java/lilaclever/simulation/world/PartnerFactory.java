package lilaclever.simulation.world;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import lilaclever.simulation.model.MessageClass;
import lilaclever.simulation.model.Partner;
import lilaclever.simulation.model.PartnerKind;
import lilaclever.simulation.model.RandomStream;
import lilaclever.simulation.scenario.Scenario;
import lilaclever.simulation.scenario.Scenario.Fleet;

/** Creates a scenario's partners and their endpoints, the same ones for the same seed. */
final class PartnerFactory {
    /** Partners of large kinds are placed within this share of the ranks, beginning with the one with most traffic. */
    private static final double LARGE_KINDS_RANK_SHARE = 0.6;
    /** The first quarter of the partners has as many endpoints as drawn; the others have this share of them. */
    private static final double REDUCED_ENDPOINT_SHARE = 0.6;

    private static final int FULL_ENDPOINTS_DIVISOR = 4;
    /** Added to a number of endpoints before rounding. */
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
     * Creates the partners and adds their endpoints to the directory.
     *
     * @param weights each partner's share of the traffic, in descending order
     * @return the partners, numbered by their rank
     */
    List<Partner> create(double[] weights, EndpointDirectory directory) {
        List<PartnerKind> kinds = kindsByRank();
        double meanWorkMicros = meanWorkMicros();
        List<Partner> partners = new ArrayList<>();
        for (int rank = 0; rank < kinds.size(); rank++) {
            double endpointShare = rank < kinds.size() / FULL_ENDPOINTS_DIVISOR ? 1 : REDUCED_ENDPOINT_SHARE;
            int endpoints =
                    Math.max(1, (int) Math.round(random.in(fleet.endpoints()) * endpointShare + ENDPOINT_ROUNDING));
            Partner partner = new Partner(
                    rank,
                    kinds.get(rank),
                    endpoints,
                    weights[rank] * fleet.ratePerSecond(),
                    meanWorkMicros,
                    fleet.partnerRecovery(),
                    new RandomStream(seed, "partner " + rank));
            partners.add(partner);
            for (int i = 0; i < endpoints; i++) {
                directory.addEndpoint(partner);
            }
        }
        return partners;
    }

    /** A kind for each partner: large kinds are placed among the ranks with most traffic, the others anywhere. */
    private List<PartnerKind> kindsByRank() {
        record Placed(PartnerKind kind, double place) {}
        List<Placed> placed = new ArrayList<>();
        for (PartnerKind kind : kindsByShare()) {
            placed.add(new Placed(kind, kind.large() ? random.unit() * LARGE_KINDS_RANK_SHARE : random.unit()));
        }
        placed.sort(Comparator.comparingDouble(Placed::place));
        return placed.stream().map(Placed::kind).toList();
    }

    private List<PartnerKind> kindsByShare() {
        List<PartnerKind> kinds = new ArrayList<>();
        for (PartnerKind kind : scenario.kinds()) {
            int count = (int) Math.round(kind.share() * fleet.destinations());
            for (int i = 0; i < count && kinds.size() < fleet.destinations(); i++) {
                kinds.add(kind);
            }
        }
        while (kinds.size() < fleet.destinations()) {
            kinds.add(scenario.kinds().get(scenario.kinds().size() - 1));
        }
        return kinds;
    }

    private double meanWorkMicros() {
        double meanMicros = 0;
        for (MessageClass messageClass : scenario.classes()) {
            meanMicros += messageClass.share()
                    * (messageClass.workMicros()[0] + messageClass.workMicros()[1])
                    / 2;
        }
        return meanMicros;
    }
}
