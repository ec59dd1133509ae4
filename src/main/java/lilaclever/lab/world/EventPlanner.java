package lilaclever.lab.world;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import lilaclever.DecisionModule;
import lilaclever.DecisionModule.Presence;
import lilaclever.lab.model.Partner;
import lilaclever.lab.model.RandomStream;
import lilaclever.lab.scenario.Scenario.ScheduledEvent;
import lilaclever.lab.scenario.Scenario.Target;

/** Draws when and whom a scenario's events hit, and puts them on the timeline. */
final class EventPlanner {
    private final int forwarderCount;
    private final Timeline timeline;
    private final RandomStream random;
    private final List<Partner> partners;
    private final EndpointDirectory directory;
    private final LoadBalancer loadBalancer;
    private final ForwarderFleet forwarders;
    private final List<Result.Band> bands = new ArrayList<>();

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

    /** The planned events' times. */
    List<Result.Band> bands() {
        return bands;
    }

    /** Plans an event. */
    void plan(ScheduledEvent event) {
        long at = random.in(event.startMicros());
        long length = random.in(event.durationMicros());
        switch (event.type()) {
            case RESTART -> planRestarts(event, at, length);
            case DRAIN -> planDrains(event, at, length);
            case HOT -> planHotForwarders(event, at, length);
            case DEAF -> planSilentDirectory(event, at, length);
            case LOWERED -> planLowerLimits(event, at, length);
            default -> planOutages(event, at, length);
        }
        bands.add(new Result.Band(event.name(), at, at + length));
    }

    private void planRestarts(ScheduledEvent event, long at, long length) {
        List<Integer> chosen = someForwarders(event.share());
        for (int i = 0; i < chosen.size(); i++) {
            int forwarder = chosen.get(i);
            long down = random.in(event.downMicros());
            timeline.at(at + length * i / chosen.size(), () -> forwarders.restart(forwarder, down));
        }
    }

    private void planDrains(ScheduledEvent event, long at, long length) {
        List<String> hosts = directory.hosts();
        shuffle(hosts);
        int count = (int) Math.round(event.share() * hosts.size());
        for (int i = 0; i < count; i++) {
            String host = hosts.get(i);
            long drainsFor = random.in(event.downMicros());
            timeline.at(at + length * i / count, () -> drain(host, drainsFor));
        }
    }

    private void drain(String host, long drainsFor) {
        DecisionModule.EndpointEntry entry = directory.entry(host);
        if (entry != null && entry.presence() == Presence.ACTIVE) {
            directory.replaceEndpoint(host, partners.get(entry.destination()), drainsFor);
        }
    }

    private void planHotForwarders(ScheduledEvent event, long at, long length) {
        List<Integer> hot = someForwarders(event.share());
        double share = random.in(event.strength());
        int others = forwarderCount - hot.size();
        if (others == 0) {
            return;
        }
        // So heavy that together they get the share.
        double weight = share / (1 - share) * others / hot.size();
        timeline.at(at, () -> hot.forEach(f -> loadBalancer.setWeight(f, weight)));
        timeline.at(at + length, () -> hot.forEach(f -> loadBalancer.setWeight(f, 1)));
    }

    private void planSilentDirectory(ScheduledEvent event, long at, long length) {
        for (int forwarder : someForwarders(event.share())) {
            timeline.at(at, () -> directory.silence(forwarder, timeline.now() + length));
        }
    }

    private void planLowerLimits(ScheduledEvent event, long at, long length) {
        double part = random.in(event.strength());
        for (Partner partner : somePartners(event)) {
            timeline.at(at, () -> partner.lowerLimit(part, timeline.now() + length));
        }
    }

    private void planOutages(ScheduledEvent event, long at, long length) {
        double strength = random.in(event.strength());
        Partner.Outage outage = Partner.Outage.valueOf(event.type().name());
        for (Partner partner : somePartners(event)) {
            timeline.at(at, () -> partner.startOutage(outage, strength, timeline.now() + length));
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
