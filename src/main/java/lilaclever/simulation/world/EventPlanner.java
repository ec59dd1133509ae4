package lilaclever.simulation.world;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import lilaclever.DecisionModule;
import lilaclever.DecisionModule.Presence;
import lilaclever.simulation.model.Partner;
import lilaclever.simulation.model.RandomStream;
import lilaclever.simulation.scenario.Scenario.ScheduledEvent;
import lilaclever.simulation.scenario.Scenario.Target;

/** Draws the times and targets of a scenario's events and schedules them. */
final class EventPlanner {
    private final int forwarderCount;
    private final Timeline timeline;
    private final RandomStream random;
    private final List<Partner> partners;
    private final EndpointDirectory directory;
    private final LoadBalancer loadBalancer;
    private final ForwarderFleet forwarders;
    private final List<RehearsalResult.EventPeriod> periods = new ArrayList<>();

    EventPlanner(
            int forwarderCount,
            Timeline timeline,
            RandomStream random,
            List<Partner> partners,
            EndpointDirectory directory,
            LoadBalancer loadBalancer,
            ForwarderFleet forwarders) {
        this.forwarderCount = forwarderCount;
        this.timeline = timeline;
        this.random = random;
        this.partners = partners;
        this.directory = directory;
        this.loadBalancer = loadBalancer;
        this.forwarders = forwarders;
    }

    /** The periods of the planned events. */
    List<RehearsalResult.EventPeriod> periods() {
        return periods;
    }

    /** Draws the event's time and targets and schedules it. */
    void plan(ScheduledEvent event) {
        long atMicros = random.in(event.startMicros());
        long durationMicros = random.in(event.durationMicros());
        switch (event.type()) {
            case RESTART -> planRestarts(event, atMicros, durationMicros);
            case DRAIN -> planDrains(event, atMicros, durationMicros);
            case HOT -> planUnevenLoad(event, atMicros, durationMicros);
            case DEAF -> planDirectoryDelays(event, atMicros, durationMicros);
            case LOWERED -> planLowerLimits(event, atMicros, durationMicros);
            default -> planOutages(event, atMicros, durationMicros);
        }
        periods.add(new RehearsalResult.EventPeriod(event.name(), atMicros, atMicros + durationMicros));
    }

    private void planRestarts(ScheduledEvent event, long atMicros, long durationMicros) {
        List<Integer> chosen = someForwarders(event.share());
        for (int i = 0; i < chosen.size(); i++) {
            int forwarder = chosen.get(i);
            long downMicros = random.in(event.downMicros());
            timeline.at(atMicros + durationMicros * i / chosen.size(), () -> forwarders.restart(forwarder, downMicros));
        }
    }

    private void planDrains(ScheduledEvent event, long atMicros, long durationMicros) {
        List<String> hosts = directory.hosts();
        shuffle(hosts);
        int count = (int) Math.round(event.share() * hosts.size());
        for (int i = 0; i < count; i++) {
            String host = hosts.get(i);
            long drainsForMicros = random.in(event.downMicros());
            timeline.at(atMicros + durationMicros * i / count, () -> drain(host, drainsForMicros));
        }
    }

    private void drain(String host, long drainsForMicros) {
        DecisionModule.EndpointEntry entry = directory.entry(host);
        if (entry != null && entry.presence() == Presence.ACTIVE) {
            directory.replaceEndpoint(host, partners.get(entry.destination()), drainsForMicros);
        }
    }

    private void planUnevenLoad(ScheduledEvent event, long atMicros, long durationMicros) {
        List<Integer> hot = someForwarders(event.share());
        double share = random.in(event.strength());
        int others = forwarderCount - hot.size();
        if (others == 0) {
            return;
        }
        // With this weight each, the chosen forwarders together get the drawn share of the traffic.
        double weight = share / (1 - share) * others / hot.size();
        timeline.at(atMicros, () -> hot.forEach(f -> loadBalancer.setWeight(f, weight)));
        timeline.at(atMicros + durationMicros, () -> hot.forEach(f -> loadBalancer.setWeight(f, 1)));
    }

    private void planDirectoryDelays(ScheduledEvent event, long atMicros, long durationMicros) {
        for (int forwarder : someForwarders(event.share())) {
            timeline.at(atMicros, () -> directory.delayUpdates(forwarder, timeline.nowMicros() + durationMicros));
        }
    }

    private void planLowerLimits(ScheduledEvent event, long atMicros, long durationMicros) {
        double part = random.in(event.strength());
        for (Partner partner : somePartners(event)) {
            timeline.at(atMicros, () -> partner.lowerLimit(part, timeline.nowMicros() + durationMicros));
        }
    }

    private void planOutages(ScheduledEvent event, long atMicros, long durationMicros) {
        double strength = random.in(event.strength());
        Partner.Outage outage = Partner.Outage.valueOf(event.type().name());
        for (Partner partner : somePartners(event)) {
            timeline.at(atMicros, () -> partner.startOutage(outage, strength, timeline.nowMicros() + durationMicros));
        }
    }

    private List<Integer> someForwarders(double part) {
        List<Integer> all = new ArrayList<>();
        for (int i = 0; i < forwarderCount; i++) {
            all.add(i);
        }
        shuffle(all);
        return all.subList(0, atLeastOne(part, all.size()));
    }

    private List<Partner> somePartners(ScheduledEvent event) {
        List<Partner> all = new ArrayList<>(partners);
        all.removeIf(p -> event.kind() != null && !p.kind().name().equals(event.kind()));
        if (event.target() == Target.ANY) {
            shuffle(all);
        } else if (event.target() == Target.SMALL) {
            Collections.reverse(all);
        }
        return all.subList(0, Math.min(all.size(), atLeastOne(event.share(), all.size())));
    }

    private static int atLeastOne(double part, int count) {
        return Math.max(1, (int) Math.round(part * count));
    }

    private <T> void shuffle(List<T> all) {
        for (int i = all.size() - 1; i > 0; i--) {
            Collections.swap(all, i, random.below(i + 1));
        }
    }
}
