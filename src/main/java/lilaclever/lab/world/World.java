package lilaclever.lab.world;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.LongConsumer;
import lilaclever.Relay;
import lilaclever.Relay.Presence;
import lilaclever.lab.audit.Auditor;
import lilaclever.lab.audit.Breach.Rule;
import lilaclever.lab.model.Arrival;
import lilaclever.lab.model.Draws;
import lilaclever.lab.model.MessageClass;
import lilaclever.lab.model.Partner;
import lilaclever.lab.model.Partner.Answer;
import lilaclever.lab.model.PartnerKind;
import lilaclever.lab.model.Traffic;
import lilaclever.lab.scenario.Scenario;
import lilaclever.lab.scenario.Scenario.Fleet;
import lilaclever.lab.scenario.Scenario.Happening;
import lilaclever.lab.scenario.Scenario.Target;

/**
 * A rehearsal: a fleet of forwarders among models of all that is around them: partners, directory, front, clients. What
 * plays it, in virtual time or on sockets, is behind {@link Timeline} and {@link Member}. One thread, the timeline's.
 */
public final class World {
    private static final long SECOND = 1_000_000,
            AFTER_DEADLINES = 7 * SECOND,
            READY_SEEN = 100_000,
            DEATH_SEEN = SECOND;
    /** So much of a notice can come before its client has read that the message was taken on. */
    private static final long CROSSING = 5_000, MOST_CROSSING = 500_000;

    private final Scenario scenario;
    private final long seed;
    private final Fault fault;
    private final Timeline timeline;
    private final Auditor auditor;
    private final Fleet fleet;
    private final List<Partner> partners = new ArrayList<>();
    private final double[] weights;
    private final Map<String, Relay.Entry> directory = new LinkedHashMap<>();
    private final List<Member> forwarders = new ArrayList<>();
    /** Since when the front knows that it is dead; absent: it sends there. */
    private final Map<Integer, Long> frontKnowsDead = new HashMap<>();

    private final java.util.Set<Integer> served = new java.util.HashSet<>();
    private final long[] toldUntil, deafUntil;
    private final double[] frontWeights;
    private final Map<Integer, Integer> retriesLeft = new HashMap<>();
    /** Hand-ins that a forwarder has and has not answered: if it dies they come again. */
    private final Map<String, Integer> unanswered = new LinkedHashMap<>();

    private final Map<Integer, Arrival> arrivals = new HashMap<>();
    /** The last hand-in of each message: what comes under an earlier id counts for nothing. */
    private final Map<Integer, String> current = new HashMap<>();

    private final List<Result.Band> bands = new ArrayList<>();
    private final Draws clientDraws, frontDraws, directoryDraws, eventDraws;
    private final TreeMap<String, double[]> series = new TreeMap<>();
    private final int seconds;
    private List<Arrival> plan = List.of();
    private long version = 1;
    private int hostCount;

    /** A world that has not begun. */
    public World(Scenario scenario, long seed, Fault fault, Timeline timeline, Member.Maker maker) {
        this.timeline = timeline;
        this.scenario = scenario;
        this.seed = seed;
        this.fault = fault;
        fleet = scenario.fleet();
        auditor = new Auditor(scenario.classes(), fleet.drainGraceMicros());
        clientDraws = new Draws(seed, "clients");
        frontDraws = new Draws(seed, "front");
        directoryDraws = new Draws(seed, "directory");
        eventDraws = new Draws(seed, "events");
        weights = Traffic.zipf(fleet.destinations(), fleet.zipf());
        toldUntil = new long[fleet.forwarders()];
        deafUntil = new long[fleet.forwarders()];
        frontWeights = new double[fleet.forwarders()];
        java.util.Arrays.fill(frontWeights, 1);
        seconds = (int) (length() / SECOND) + 1;
        makePartners();
        Relay.Settings[] settings = settings();
        for (int i = 0; i < fleet.forwarders(); i++) {
            forwarders.add(maker.make(this, i, settings[i], new Draws(seed, "forwarder " + i).below(1 << 30)));
        }
    }

    // ---- what is there ----------------------------------------------------------------------------------
    private void makePartners() {
        Draws draws = new Draws(seed, "partners");
        List<PartnerKind> kinds = new ArrayList<>();
        for (PartnerKind k : scenario.kinds()) {
            int n = (int) Math.round(k.share() * fleet.destinations());
            for (int i = 0; i < n && kinds.size() < fleet.destinations(); i++) {
                kinds.add(k);
            }
        }
        while (kinds.size() < fleet.destinations()) {
            kinds.add(scenario.kinds().get(scenario.kinds().size() - 1));
        }
        // Kinds that get much of the traffic stand where it is, the others anywhere.
        List<double[]> order = new ArrayList<>();
        for (int i = 0; i < kinds.size(); i++) {
            order.add(new double[] {kinds.get(i).large() ? draws.unit() * 0.6 : draws.unit(), i});
        }
        order.sort(Comparator.comparingDouble(o -> o[0]));
        double work = 0;
        for (MessageClass c : scenario.classes()) {
            work += c.share() * (c.workMicros()[0] + c.workMicros()[1]) / 2;
        }
        for (int rank = 0; rank < kinds.size(); rank++) {
            int endpoints = Math.max(1, (int)
                    Math.round(draws.in(fleet.endpoints()) * (rank < kinds.size() / 4 ? 1 : 0.6) + 0.2));
            Partner p = new Partner(
                    rank,
                    kinds.get((int) order.get(rank)[1]),
                    endpoints,
                    weights[rank] * fleet.ratePerSecond(),
                    work,
                    fleet.cold(),
                    new Draws(seed, "partner " + rank));
            partners.add(p);
            for (int e = 0; e < endpoints; e++) {
                addEndpoint(p);
            }
        }
    }

    private Relay.Entry addEndpoint(Partner p) {
        String host = "s-" + p.destination() + "-" + hostCount++;
        p.add(host);
        Relay.Entry e = new Relay.Entry(
                host, p.destination(), 0, scenario.kinds().indexOf(p.kind()), Presence.ACTIVE, 0, now());
        directory.put(host, e);
        return e;
    }

    private Relay.Settings[] settings() {
        double each = fleet.ratePerSecond() / fleet.forwarders();
        double busy = 0;
        for (int i = 0; i < partners.size(); i++) {
            busy += weights[i] * each * partners.get(i).meanSeconds();
        }
        Relay.Limits limits = new Relay.Limits(
                fleet.mostAttempts(),
                Math.max(fleet.leastHeld(), (int) (fleet.holdSeconds() * each)),
                Math.max(fleet.leastSlots(), (int) Math.ceil(fleet.slotsRoom() * busy)),
                true,
                true,
                false,
                1,
                fleet.connectMicros(),
                fleet.keepAliveMicros(),
                true,
                2 * SECOND);
        Relay.Rules rules = new Relay.Rules(
                20_000,
                10 * SECOND,
                fleet.drainGraceMicros(),
                fleet.cold().from(),
                fleet.cold().rampMicros(),
                fleet.cold().tipMultiple(),
                fleet.cold().overloadMicros(),
                0);
        List<Relay.Kind> kinds = scenario.kinds().stream()
                .map(k -> new Relay.Kind(false, k.batch()))
                .toList();
        List<Relay.MessageClass> classes =
                scenario.classes().stream().map(MessageClass::terms).toList();
        Relay.Settings[] all = new Relay.Settings[fleet.forwarders()];
        for (int i = 0; i < all.length; i++) {
            all[i] = new Relay.Settings(
                    i,
                    all.length,
                    0,
                    1,
                    fleet.roundMicros(),
                    false,
                    Relay.Weights.NONE,
                    false,
                    0.1,
                    classes,
                    kinds,
                    List.of(),
                    limits,
                    rules);
        }
        return all;
    }

    // ---- what forwarders ask ----------------------------------------------------------------------------
    /** What is played. */
    public Scenario scenario() {
        return scenario;
    }

    /** What the forwarders do wrong on purpose. */
    public Fault fault() {
        return fault;
    }

    /** Who watches. */
    public Auditor auditor() {
        return auditor;
    }

    /** Microseconds since the run began. */
    public long now() {
        return timeline.now();
    }

    /** How long the network takes, one way, microseconds. */
    public long network() {
        return fleet.networkMicros();
    }

    /** Runs the action at the time. */
    public void at(long micros, Runnable action) {
        timeline.at(micros, action);
    }

    /** Runs the action after so long. */
    public void after(long micros, Runnable action) {
        timeline.after(micros, action);
    }

    /** The partner behind a destination. */
    public Partner partner(int destination) {
        return partners.get(destination); // they are numbered by their rank
    }

    /** A forwarder has closed an idle connection. */
    public void disconnect(String host, int forwarder) {
        Relay.Entry e = directory.get(host);
        if (e != null) {
            partner(e.destination()).disconnect(host, forwarder);
        }
    }

    /** The message's number in the id of a hand-in. */
    public static int number(String id) {
        return Integer.parseInt(id.substring(1, id.indexOf('-')));
    }

    /** Which of the message's hand-ins, from 0. */
    private static int turn(String id) {
        return Integer.parseInt(id.substring(id.indexOf('-') + 1));
    }

    /** A call with these messages has come whole; tells what the partner makes of it. */
    public Answer call(Partner partner, String host, int forwarder, List<String> ids) {
        long[] work = ids.stream()
                .mapToLong(id -> arrivals.get(number(id)).workMicros())
                .toArray();
        add("calls", 1);
        Answer answer = partner.call(host, forwarder, work, now());
        if (fault == Fault.FLOODS && partner.warmth(now()) < 1) {
            for (int i = 0; i < 4; i++) {
                partner.call(host, forwarder, work, now());
            }
        }
        if (answer.status() == Partner.Status.FULL) {
            add("refusals", 1);
        }
        return answer;
    }

    /** A forwarder sends a message: the first byte of the call leaves. */
    public void attempt(String id, int forwarder, String host, int destination, long at) {
        auditor.attempt(number(id), forwarder, host, destination, at);
    }

    /** The last byte of a message's call has come. */
    public void comes(String id, int forwarder, int destination) {
        auditor.comes(number(id), forwarder, destination, now());
    }

    /** True if a message of this id was handed in lately, and its client has not handed it in again since. */
    public boolean isCurrent(String id) {
        return id.matches("m\\d{1,9}-\\d{1,6}") && id.equals(current.get(number(id)));
    }

    /** An attempt is over, as the partner knows it. */
    public void attemptOver(String id, String how, boolean neverRan) {
        auditor.attemptOver(number(id), how, neverRan, now());
    }

    /** A partner has worked on a message; {@code heard}: its answer goes out on an open connection. */
    public void ran(String id, boolean heard) {
        int n = number(id);
        auditor.service().work(arrivals.get(n).workMicros(), !heard);
        if (heard) {
            auditor.attemptOver(n, "delivered", false, now());
            auditor.delivered(n, now());
            add("delivered", 1);
        }
    }

    /** The platform has had a notice. */
    public void noticed(String id, String status) {
        noticed(id, status, now());
    }

    private void noticed(String id, String status, long since) {
        if (unanswered.containsKey(id) && now() - since < MOST_CROSSING) {
            timeline.after(CROSSING, () -> noticed(id, status, since)); // the answer is still on its way to the client
            return;
        }
        auditor.noticed(number(id), status, now());
        add(status.equals("deferred") ? "refused" : "failed", 1);
        if (status.equals("deferred")) {
            comesAgain(number(id), 0);
        }
    }

    // ---- clients and the front --------------------------------------------------------------------------
    private void arrive(Arrival a) {
        arrivals.put(a.number(), a);
        retriesLeft.put(a.number(), fleet.clientRetries());
        auditor.arrives(a.number(), a.messageClass(), a.destination(), a.workMicros(), now());
        add("arrived", 1);
        handIn(a);
    }

    private void handIn(Arrival a) {
        long left =
                a.atMicros() + scenario.classes().get(a.messageClass()).terms().deadlineMicros() - now();
        if (left <= 0) {
            return;
        }
        int to = pickForwarder();
        auditor.handedIn(a.number(), to, now());
        String before = current.get(a.number());
        String id = "m" + a.number() + '-' + (before == null ? 0 : turn(before) + 1);
        timeline.after(network(), () -> {
            unanswered.put(id, to);
            current.put(a.number(), id);
            forwarders.get(to).handIn(id, a, left);
        });
    }

    /** Nobody listened: the client comes again. */
    public void metNobody(String id) {
        if (unanswered.remove(id) != null) {
            auditor.count("met_a_dead_forwarder");
            handInAgain(id);
        }
    }

    /** No answer came in time, or the connection broke: the client comes again. */
    public void lost(String id) {
        if (unanswered.remove(id) != null) {
            auditor.count("hand_ins_without_an_answer");
            handInAgain(id);
        }
    }

    private void handInAgain(String id) {
        Arrival a = arrivals.get(number(id));
        if (a != null) {
            timeline.after(clientDraws.in(fleet.comesAgain()), () -> handIn(a));
        }
    }

    private int pickForwarder() {
        double[] parts = frontWeights.clone();
        for (Map.Entry<Integer, Long> dead : frontKnowsDead.entrySet()) {
            if (now() >= dead.getValue()) {
                parts[dead.getKey()] = 0;
            }
        }
        double sum = java.util.Arrays.stream(parts).sum();
        double unit = frontDraws.unit();
        return sum == 0 ? (int) (unit * parts.length) : Traffic.pick(parts, unit);
    }

    /** A client has heard that its message is taken on. */
    public void taken(String id) {
        Integer forwarder = unanswered.remove(id);
        if (forwarder != null) {
            auditor.taken(number(id), forwarder, now());
        }
    }

    /** A client was turned away. */
    public void turnedDown(String id, long comeBackMicros) {
        if (unanswered.remove(id) == null) {
            return; // it has handed in elsewhere since
        }
        auditor.turnedDown(number(id), now(), comeBackMicros);
        add("turned_down", 1);
        comesAgain(number(id), comeBackMicros);
    }

    private void comesAgain(int n, long comeBackMicros) {
        int left = retriesLeft.get(n);
        long after = Math.max(comeBackMicros, clientDraws.in(fleet.comesAgain()));
        if (left > 0 && mayComeAgain(n, now() + after)) {
            retriesLeft.put(n, left - 1);
            timeline.after(after, () -> handIn(arrivals.get(n)));
        }
    }

    /** A client does not hand in again what may have taken effect, or with a key only inside its window. */
    private boolean mayComeAgain(int n, long at) {
        long risk = auditor.riskAt(n);
        Relay.MessageClass c =
                scenario.classes().get(arrivals.get(n).messageClass()).terms();
        return risk < 0
                || c.repeat() == Relay.Repeat.SAFE
                || c.repeat() == Relay.Repeat.KEYED && at <= risk + c.repeatWindowMicros();
    }

    // ---- lives ------------------------------------------------------------------------------------------
    private void kill(int f) {
        Member forwarder = forwarders.get(f);
        if (!forwarder.isUp()) {
            return;
        }
        forwarder.kill();
        gone(f);
    }

    /** A forwarder has died by itself: its connections are gone, and it is started again by whoever runs it. */
    public void died(int f, String how) {
        auditor.count("deaths");
        auditor.broken(Rule.INVARIANT, now(), "forwarder " + f + " died: " + how);
        gone(f);
        timeline.after(DEATH_SEEN, () -> start(f, false));
    }

    private void gone(int f) {
        partners.forEach(p -> p.disconnectAll(f));
        auditor.died(f, now());
        frontKnowsDead.put(f, now() + frontDraws.in(fleet.frontMemory()));
        List<String> lost = new ArrayList<>();
        unanswered.forEach((id, to) -> {
            if (to == f) {
                lost.add(id);
            }
        });
        for (String id : lost) {
            unanswered.remove(id);
            handInAgain(id);
        }
    }

    private void start(int f, boolean first) {
        forwarders.get(f).start(list(), version, first);
    }

    /** The directory's list as it is now. */
    public List<Relay.Entry> list() {
        return List.copyOf(directory.values());
    }

    /** Its version. */
    public long version() {
        return version;
    }

    /** Forwarders that have served at all. */
    public int readyCount() {
        return served.size();
    }

    /** A forwarder serves. */
    public void ready(int f) {
        served.add(f);
        auditor.ready(f, now());
        for (Relay.Entry e : directory.values()) {
            auditor.told(f, e.host(), e.presence() == Presence.ACTIVE, now());
        }
        timeline.after(READY_SEEN, () -> frontKnowsDead.remove(f));
    }

    // ---- the directory ----------------------------------------------------------------------------------
    /** Entries have changed: each forwarder is told in its own time, in the order of changes. */
    private void tell(List<Relay.Entry> changed) {
        long v = ++version;
        for (Member f : forwarders) {
            int n = f.number();
            long at = Math.max(Math.max(now() + directoryDraws.in(fleet.directoryDelay()), toldUntil[n]), deafUntil[n]);
            toldUntil[n] = at;
            timeline.at(at, () -> {
                if (!f.isUp()) {
                    return; // it gets the whole list when it starts
                }
                boolean deaf = fault == Fault.IGNORES_DRAINS;
                List<Relay.Entry> heard = changed.stream()
                        .filter(e -> !deaf || e.presence() == Presence.ACTIVE)
                        .toList();
                f.listing(v, heard);
                changed.forEach(e -> auditor.told(n, e.host(), e.presence() == Presence.ACTIVE, now()));
            });
        }
    }

    private Relay.Entry change(String host, Presence presence) {
        Relay.Entry e = directory.get(host);
        Relay.Entry changed =
                new Relay.Entry(host, e.destination(), e.zone(), e.kind(), presence, e.weight(), e.sinceMicros());
        if (presence == Presence.LEFT) {
            directory.remove(host);
        } else {
            directory.put(host, changed);
        }
        return changed;
    }

    private void replace(String host, long drainsFor) {
        Relay.Entry e = directory.get(host);
        if (e == null || e.presence() != Presence.ACTIVE) {
            return;
        }
        Partner p = partner(e.destination());
        tell(List.of(addEndpoint(p), change(host, Presence.LEAVING)));
        // It stays until the last forwarder can have heard, and some time more.
        timeline.after(drainsFor + fleet.directoryDelay()[1] + fleet.drainGraceMicros() + SECOND, () -> {
            p.remove(host);
            tell(List.of(change(host, Presence.LEFT)));
        });
    }

    // ---- what happens -----------------------------------------------------------------------------------
    private void plan(Happening h) {
        long at = eventDraws.in(h.at());
        long length = eventDraws.in(h.forMicros());
        switch (h.what()) {
            case RESTART -> planRestarts(h, at, length);
            case DRAIN -> planDrains(h, at, length);
            case HOT -> planHot(h, at, length);
            case DEAF -> {
                for (int f : someForwarders(h.part())) {
                    timeline.at(at, () -> deafUntil[f] = now() + length);
                }
            }
            case LOWERED -> {
                double part = eventDraws.in(h.strength());
                some(h).forEach(p -> timeline.at(at, () -> p.lower(part, now() + length)));
            }
            default -> {
                double strength = eventDraws.in(h.strength());
                for (Partner p : some(h)) {
                    Partner.Outage outage = Partner.Outage.valueOf(h.what().name());
                    timeline.at(at, () -> p.outage(outage, strength, now() + length));
                }
            }
        }
        bands.add(new Result.Band(h.name(), at, at + length));
    }

    private void planRestarts(Happening h, long at, long length) {
        List<Integer> chosen = someForwarders(h.part());
        for (int i = 0; i < chosen.size(); i++) {
            int f = chosen.get(i);
            long down = eventDraws.in(h.downMicros());
            timeline.at(at + length * i / chosen.size(), () -> {
                if (forwarders.get(f).isUp()) {
                    kill(f);
                    timeline.after(down, () -> start(f, false));
                }
            });
        }
    }

    private void planDrains(Happening h, long at, long length) {
        List<String> hosts = new ArrayList<>(directory.keySet());
        shuffle(hosts);
        int n = (int) Math.round(h.part() * hosts.size());
        for (int i = 0; i < n; i++) {
            String host = hosts.get(i);
            long drains = eventDraws.in(h.downMicros());
            timeline.at(at + length * i / n, () -> replace(host, drains));
        }
    }

    private void planHot(Happening h, long at, long length) {
        List<Integer> hot = someForwarders(h.part());
        double share = eventDraws.in(h.strength());
        int others = fleet.forwarders() - hot.size();
        if (others == 0) {
            return;
        }
        // So heavy that together they get the share.
        double weight = share / (1 - share) * others / hot.size();
        timeline.at(at, () -> hot.forEach(f -> frontWeights[f] = weight));
        timeline.at(at + length, () -> hot.forEach(f -> frontWeights[f] = 1));
    }

    private List<Integer> someForwarders(double part) {
        List<Integer> all = new ArrayList<>();
        for (int i = 0; i < fleet.forwarders(); i++) {
            all.add(i);
        }
        shuffle(all);
        return all.subList(0, Math.max(1, (int) Math.round(part * all.size())));
    }

    private List<Partner> some(Happening h) {
        List<Partner> all = new ArrayList<>(partners);
        all.removeIf(p -> h.kind() != null && !p.kind().name().equals(h.kind()));
        if (h.target() == Target.ANY) {
            shuffle(all);
        } else if (h.target() == Target.SMALL) {
            java.util.Collections.reverse(all);
        }
        return all.subList(0, Math.min(all.size(), Math.max(1, (int) Math.round(h.part() * all.size()))));
    }

    private <T> void shuffle(List<T> all) {
        for (int i = all.size() - 1; i > 0; i--) {
            java.util.Collections.swap(all, i, eventDraws.below(i + 1));
        }
    }

    // ---- the run ----------------------------------------------------------------------------------------
    private void add(String name, double n) {
        int s = (int) (now() / SECOND);
        if (s < seconds) {
            series.computeIfAbsent(name, x -> new double[seconds])[s] += n;
        }
    }

    private void everySecond(LongConsumer progress) {
        auditor.sweep(now());
        int held = forwarders.stream().mapToInt(Member::held).sum();
        if (held >= 0) {
            add("held", held);
        }
        add("forwarders_up", forwarders.stream().filter(Member::isUp).count());
        int done = (int) (now() / SECOND) - 120;
        if (done > 0 && done % 10 == 0) {
            arrivals.keySet().removeIf(n -> arrivals.get(n).atMicros() < now() - 120 * SECOND);
            retriesLeft.keySet().retainAll(arrivals.keySet());
            current.keySet().retainAll(arrivals.keySet());
        }
        progress.accept(now());
        if (now() + SECOND < length()) {
            timeline.after(SECOND, () -> everySecond(progress));
        }
    }

    /** How long the run lasts, until the last end is due, microseconds. */
    public long length() {
        return scenario.traffic().lengthMicros()
                + AFTER_DEADLINES
                + scenario.classes().stream()
                        .mapToLong(c -> c.terms().deadlineMicros())
                        .max()
                        .orElse(0);
    }

    /** Starts the forwarders; each tells when it is {@link #ready}. */
    public void start() {
        for (int f = 0; f < forwarders.size(); f++) {
            start(f, true);
        }
    }

    /** All that will happen is planned from now on; {@code progress} hears the time once a second. */
    public void begin(LongConsumer progress) {
        plan = new Traffic(
                        scenario.traffic().shape(),
                        fleet.ratePerSecond(),
                        scenario.traffic().clumps(),
                        scenario.traffic().clumpSeconds(),
                        scenario.classes(),
                        weights,
                        partners)
                .draw(scenario.traffic().lengthMicros(), new Draws(seed, "arrivals"));
        scenario.happenings().forEach(this::plan);
        feed(0);
        everySecond(progress);
    }

    /** What was drawn ahead: who hands in what, and when. */
    public List<Arrival> plan() {
        return plan;
    }

    /** All partners. */
    public List<Partner> partners() {
        return partners;
    }

    /** The run is over, or is cut short now: what it has shown. */
    public Result finish(long scheduled, Trust trust) {
        auditor.finish(now());
        for (Member f : forwarders) {
            if (f.broken() > 0) {
                auditor.broken(Rule.INVARIANT, now(), "forwarder " + f.number() + ": " + f.broken() + " times");
            }
        }
        List<Result.PartnerRow> rows = new ArrayList<>();
        for (int i = 0; i < partners.size(); i++) {
            Partner p = partners.get(i);
            if (p.fallsByKnowing() > 0) {
                auditor.broken(
                        Rule.FAIL_BACK,
                        now(),
                        "destination " + p.destination() + " was pushed over " + p.fallsByKnowing()
                                + " times by forwarders that saw it fail");
            }
            rows.add(new Result.PartnerRow(
                    p.destination(),
                    p.kind().name(),
                    p.capacity(),
                    weights[i],
                    p.calls(),
                    p.refused(),
                    p.served(),
                    p.falls()));
        }
        return new Result(scenario, seed, auditor, bands, rows, series, now(), scheduled, now() < length(), trust);
    }

    /** One arrival after the other: the plan is long, the queue of events need not be. */
    private void feed(int next) {
        if (next < plan.size()) {
            timeline.at(plan.get(next).atMicros(), () -> {
                arrive(plan.get(next));
                feed(next + 1);
            });
        }
    }
}
