package lilaclever;

import static lilaclever.Rig.MS;
import static lilaclever.Rig.S;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import lilaclever.DecisionModule.Action;
import lilaclever.DecisionModule.Ending;
import lilaclever.DecisionModule.Entry;
import lilaclever.DecisionModule.Event;
import lilaclever.DecisionModule.Group;
import lilaclever.DecisionModule.Kind;
import lilaclever.DecisionModule.Limits;
import lilaclever.DecisionModule.ListingKind;
import lilaclever.DecisionModule.MessageClass;
import lilaclever.DecisionModule.Presence;
import lilaclever.DecisionModule.Prior;
import lilaclever.DecisionModule.Repeat;
import lilaclever.DecisionModule.Report;
import lilaclever.DecisionModule.Rules;
import lilaclever.DecisionModule.Settings;
import lilaclever.DecisionModule.Tenant;
import lilaclever.DecisionModule.Weights;

/**
 * A seeded random sequence of events for one decision module, with hosts that deliver, refuse, fail or do not answer
 * for a while. Messages, endpoint lists, withdrawals, renewed settings and the end of the program come at random; the
 * same seed and the same actions give the same events.
 */
final class DecisionSequence {
    private static final long SPAN = 60 * S;
    private static final int[] FLEET_SIZES = {1, 2, 5, 16, 17, 40, 120, 1_500};
    private static final int[] MAX_ATTEMPTS = {2, 4, 6, 12};
    private static final int DESTINATIONS = 4;

    /** How a host answers calls for a while; chosen at random by position. */
    private enum Condition {
        WELL,
        REFUSES_SILENTLY,
        REFUSES_WITH_SHORT_WAIT,
        REFUSES_WITH_LONG_WAIT,
        CONNECTS_FAIL,
        CONNECTS_TIME_OUT,
        NO_ROOM_FOR_CONNECTIONS,
        ERRORS,
        HALF_FAIL,
        MOST_FAIL,
        HANGS,
        SLOW,
        RESETS,
        ANYTHING
    }

    /** A call in flight with its messages; it is answered at its planned end unless attempts are dropped before. */
    private static final class Flight {
        String host;
        long sentAt;
        long endsAt;
        Ending ending;
        long waitMicros;
        Report report;
        final List<String> ids = new ArrayList<>();
        final List<Integer> attempts = new ArrayList<>();
        final List<Long> dropsAt = new ArrayList<>();
    }

    private final Random random;
    private final long seed;
    private Settings settings;
    private final DecisionModule module;
    private final MessageDigest digest;
    private final Map<String, Integer> attempts = new HashMap<>();
    private final List<String> open = new ArrayList<>();
    private final List<Flight> flights = new ArrayList<>();
    private final Map<String, Entry> listed = new HashMap<>();
    private final Map<String, Condition> conditions = new HashMap<>();
    private final Map<Integer, Long> lastTaken = new HashMap<>();
    final Set<String> kindsOfActions = new TreeSet<>();
    private final double arrivalsPerSecond;
    private long now;
    private long wakeAt = Long.MAX_VALUE;
    private int names;
    int sends;

    DecisionSequence(long seed) {
        this.seed = seed;
        // For some seeds the clock starts near 0, as it may in a process.
        this.now = seed % 9 == 4 ? S : 1000 * S;
        this.random = new Random(seed);
        this.settings = settings();
        this.module = DecisionModule.create(settings, seed);
        this.arrivalsPerSecond = settings.relays() > 16 ? 1 + random.nextInt(6) : 4 + random.nextInt(30);
        try {
            this.digest = MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }

    private Settings settings() {
        int relays = FLEET_SIZES[(int) (seed % FLEET_SIZES.length)];
        int slots = relays > 16 ? 2 + random.nextInt(4) : 2 + random.nextInt(12);
        Weights weights = Weights.values()[(int) (seed / 2 % 3)];
        Limits limits = limits(MAX_ATTEMPTS[random.nextInt(MAX_ATTEMPTS.length)], slots, 20 + random.nextInt(60));
        return new Settings(
                0,
                relays,
                0,
                2,
                5 * MS,
                seed % 3 == 0,
                weights,
                true,
                0.1,
                classes(1),
                List.of(new Kind(false, 1), new Kind(true, 1), new Kind(false, 5), new Kind(true, 3)),
                List.of(new Tenant(0.5, 5), new Tenant(0.5, 2)),
                limits,
                new Rules(
                        20 * MS,
                        seed % 2 == 0 ? 10 * S : 20 * S,
                        S,
                        0.2,
                        (4 + random.nextInt(8)) * S,
                        2.5,
                        3 * S,
                        100 * MS));
    }

    private Limits limits(int maxAttempts, int slots, int maxOpen) {
        return new Limits(
                maxAttempts, maxOpen, slots, seed % 5 != 0, false, false, 1, S / 2, 5 * S, seed % 7 != 0, 2 * S);
    }

    private static List<MessageClass> classes(int factor) {
        return List.of(
                new MessageClass(2 * S, 20 * S * factor, 1, Repeat.SAFE, Group.ALL, 0, false, 0.2, true),
                new MessageClass(S, 15 * S * factor, 2, Repeat.KEYED, Group.ALL, 5 * S, false),
                new MessageClass(2 * S, 20 * S * factor, 3, Repeat.UNSAFE, Group.ALL, 0, true),
                new MessageClass(2 * S, 12 * S * factor, 1, Repeat.KEYED, Group.ZONE, 3 * S, true, 0.1, false),
                new MessageClass(400 * MS, 2 * S * factor, 0.5, Repeat.SAFE, Group.ALL, 0, true));
    }

    /** Runs the whole sequence and returns the digest of all actions with their times. */
    String play() {
        round(List.of(new Event.Listing(ListingKind.REMEMBERED, 1, entries(false))));
        long end = now + SPAN;
        while (now < end) {
            now += 5 * MS;
            if (random.nextInt(400) == 0) {
                changeConditions();
            }
            List<Event> events = new ArrayList<>();
            answers(events);
            arrivals(events);
            rareEvents(events, end);
            if (wakeAt <= now) {
                events.add(new Event.Timer(0));
                wakeAt = Long.MAX_VALUE;
            }
            if (!events.isEmpty() || seed % 4 == 1) {
                round(events);
            }
        }
        return HexFormat.of().formatHex(digest.digest(), 0, 8);
    }

    private void round(List<Event> events) {
        List<Action> actions = module.decide(now, events);
        if (!actions.isEmpty()) {
            digest.update((now + " " + actions + "\n").getBytes(StandardCharsets.UTF_8));
        }
        Map<String, Flight> batches = new HashMap<>();
        for (Action action : actions) {
            kindsOfActions.add(action.getClass().getSimpleName());
            if (action instanceof Action.Send send) {
                onSend(send, batches);
            } else if (action instanceof Action.Wake wake) {
                wakeAt = Math.min(wakeAt, now + wake.afterMicros());
            } else if (action instanceof Action.Cancel cancel) {
                onCancel(cancel);
            } else if (action instanceof Action.Refuse refuse) {
                open.remove(refuse.id());
            } else if (action instanceof Action.Fail fail) {
                open.remove(fail.id());
            }
        }
    }

    private void onSend(Action.Send send, Map<String, Flight> batches) {
        sends++;
        int attempt = attempts.merge(send.id(), 1, Integer::sum) - 1;
        int kind = listed.get(send.host()).kind();
        boolean known = kind >= 0 && kind < settings.kinds().size();
        int batch = known ? settings.kinds().get(kind).batch() : 1;
        Flight flight = batch > 1 ? batches.get(send.host()) : null;
        if (flight == null || flight.ids.size() >= batch) {
            flight = new Flight();
            flight.host = send.host();
            flight.sentAt = now;
            decideFate(flight);
            flights.add(flight);
            batches.put(send.host(), flight);
        }
        flight.ids.add(send.id());
        flight.attempts.add(attempt);
        // At times the host program reports a dropped attempt late.
        flight.dropsAt.add(send.dropAtMicros() + (random.nextInt(20) == 0 ? 700 * MS : 0));
    }

    private void onCancel(Action.Cancel cancel) {
        for (Flight flight : flights) {
            int place = flight.ids.indexOf(cancel.id());
            if (place >= 0 && flight.attempts.get(place) == cancel.attempt()) {
                flight.ending = Ending.CANCELED;
                // The outcome of a cancelled call comes in the next round, or some rounds later.
                flight.endsAt = now + (1 + random.nextInt(3) * 20) * 5 * MS;
            }
        }
    }

    private void decideFate(Flight flight) {
        Condition condition = conditions.getOrDefault(flight.host, Condition.WELL);
        Entry entry = listed.get(flight.host);
        long base = (15 + 40 * entry.destination()) * MS;
        flight.endsAt = now + base / 2 + (long) (base * random.nextDouble());
        flight.ending = Ending.DELIVERED;
        boolean reports = entry.destination() % 2 == 0;
        flight.report = reports ? new Report(random.nextInt(3) / 4.0, 4 + entry.destination()) : null;
        switch (condition) {
            case REFUSES_SILENTLY -> fate(flight, Ending.FULL, 10 * MS, 0);
            case REFUSES_WITH_SHORT_WAIT -> fate(flight, Ending.FULL, 10 * MS, 300 * MS);
            case REFUSES_WITH_LONG_WAIT -> fate(flight, Ending.FULL, 10 * MS, 2 * S + random.nextInt((int) (4 * S)));
            case CONNECTS_FAIL -> fate(flight, Ending.NO_CONNECTION, 5 * MS, 0);
            case CONNECTS_TIME_OUT -> fate(flight, Ending.NO_CONNECTION, S / 2, 0);
            case NO_ROOM_FOR_CONNECTIONS -> {
                if (random.nextInt(3) > 0) {
                    fate(flight, random.nextBoolean() ? Ending.NO_ROOM : Ending.NO_CONNECTION, 5 * MS, 0);
                }
            }
            case ERRORS -> fate(flight, Ending.ERROR, 10 * MS, 0);
            case HALF_FAIL -> {
                if (random.nextBoolean()) {
                    fate(flight, Ending.ERROR, 10 * MS, random.nextInt(8) == 0 ? 200 * MS : 0);
                }
            }
            case MOST_FAIL -> {
                if (random.nextInt(5) > 0) {
                    fate(flight, Ending.ERROR, 10 * MS, 0);
                }
            }
            case HANGS -> flight.endsAt = Long.MAX_VALUE;
            case SLOW -> flight.endsAt = now + 8 * (flight.endsAt - now);
            case RESETS -> fate(flight, Ending.RESET, 30 * MS, 0);
            case ANYTHING -> {
                Ending any = Ending.values()[random.nextInt(Ending.values().length)];
                fate(flight, any, 20 * MS, any == Ending.FULL ? random.nextInt(3) * 900 * MS : 0);
            }
            default -> limitRate(flight, entry);
        }
    }

    private void fate(Flight flight, Ending ending, long after, long waitMicros) {
        flight.ending = ending;
        flight.endsAt = now + after;
        flight.waitMicros = waitMicros;
    }

    /** A healthy destination accepts about one call in 50 ms, and refuses some calls that come closer together. */
    private void limitRate(Flight flight, Entry entry) {
        long gap = now - lastTaken.getOrDefault(entry.destination(), 0L);
        if (gap < 50 * MS && seed % 2 == 0 && random.nextInt(4) == 0) {
            fate(flight, Ending.FULL, 5 * MS, seed % 4 == 0 ? 200 * MS : 0);
            flight.report = new Report(0, 6);
        } else {
            lastTaken.put(entry.destination(), now);
        }
    }

    private void answers(List<Event> events) {
        for (Flight flight : List.copyOf(flights)) {
            boolean answered = flight.endsAt <= now;
            for (int i = flight.ids.size() - 1; i >= 0; i--) {
                if (answered || flight.dropsAt.get(i) <= now) {
                    answer(events, flight, i, answered ? flight.ending : Ending.TIMED_OUT);
                    flight.ids.remove(i);
                    flight.attempts.remove(i);
                    flight.dropsAt.remove(i);
                }
            }
            if (flight.ids.isEmpty()) {
                flights.remove(flight);
            }
        }
    }

    private void answer(List<Event> events, Flight flight, int place, Ending ending) {
        String id = flight.ids.get(place);
        boolean over = ending == Ending.DELIVERED || random.nextInt(200) == 0;
        if (over) {
            open.remove(id);
        }
        if (ending == Ending.WITHHELD) {
            attempts.merge(id, -1, Integer::sum);
        }
        events.add(new Event.Outcome(
                id,
                flight.host,
                flight.attempts.get(place),
                ending,
                now - flight.sentAt,
                ending == Ending.TIMED_OUT ? 0 : flight.waitMicros,
                ending == Ending.NOT_SENT,
                over,
                ending == Ending.TIMED_OUT ? null : flight.report));
    }

    private void arrivals(List<Event> events) {
        // Messages come one by one, and now and then in a burst for one destination.
        int clump = random.nextInt(2_000) == 0 ? 4 + random.nextInt(20) : 0;
        int destination = random.nextInt(DESTINATIONS);
        boolean single = random.nextDouble() < arrivalsPerSecond * 5 * MS / S;
        for (int i = 0; i < clump + (single ? 1 : 0); i++) {
            String id = "m" + names++;
            int kind = random.nextInt(classes(1).size());
            String key = random.nextInt(3) == 0 ? null : "k" + destination + "-" + random.nextInt(3);
            long deadline = settings.classes().get(kind).deadlineMicros();
            long budget = random.nextInt(6) == 0 ? 50 * MS + random.nextInt((int) S) : deadline;
            Prior prior = random.nextInt(25) == 0 ? prior() : null;
            attempts.put(id, prior == null ? 0 : prior.attempts());
            open.add(id);
            events.add(new Event.Submit(
                    id, kind, destination, random.nextInt(4) - 1, key, false, prior != null, budget, prior));
        }
    }

    private Prior prior() {
        boolean mayHaveRun = random.nextBoolean();
        int before = mayHaveRun ? 1 + random.nextInt(3) : random.nextInt(3);
        return new Prior(before, mayHaveRun, "h0-0", random.nextInt(2), now - random.nextInt((int) (4 * S)));
    }

    private void rareEvents(List<Event> events, long end) {
        if (random.nextInt(700) == 0) {
            ListingKind kind = ListingKind.values()[random.nextInt(4)];
            List<Entry> entries = kind == ListingKind.REFUSED ? List.of() : entries(true);
            events.add(new Event.Listing(kind, names, entries));
        }
        if (random.nextInt(500) == 0 && !open.isEmpty()) {
            events.add(new Event.Withdrawn(open.remove(random.nextInt(open.size()))));
        }
        if (random.nextInt(3_000) == 0) {
            Limits old = settings.limits();
            int maxAttempts = MAX_ATTEMPTS[random.nextInt(MAX_ATTEMPTS.length)];
            events.add(renewed(classes(1 + random.nextInt(2)), limits(maxAttempts, old.slots(), old.maxOpen())));
        }
        if (random.nextInt(1_000) == 0) {
            events.add(new Event.Probed("h0-0", Ending.DELIVERED, MS, null));
            events.add(new Event.Heard(1, new byte[0]));
        }
        if (seed % 6 == 0 && now == end - 4 * S) {
            events.add(new Event.Stopping(end));
        }
    }

    private Event renewed(List<MessageClass> classes, Limits limits) {
        settings = new Settings(
                settings.self(),
                settings.relays(),
                settings.zone(),
                settings.zones(),
                settings.roundMicros(),
                settings.askForList(),
                settings.weights(),
                settings.reports(),
                settings.overShareWorth(),
                classes,
                settings.kinds(),
                settings.tenants(),
                limits,
                settings.rules());
        return new Event.Renewed(settings);
    }

    /** Changes how hosts answer: those of one destination or one host of it, at times those of all others instead. */
    private void changeConditions() {
        boolean well = random.nextInt(3) == 0;
        Condition condition = well ? Condition.WELL : Condition.values()[random.nextInt(Condition.values().length)];
        int chosen = random.nextInt(DESTINATIONS);
        boolean others = random.nextInt(5) == 0;
        if (others && random.nextBoolean()) {
            condition = Condition.HANGS;
        }
        boolean oneHost = random.nextInt(4) == 0;
        for (int destination = 0; destination < DESTINATIONS; destination++) {
            if (others == (destination == chosen)) {
                continue;
            }
            conditions.put("h" + destination + "-0", condition);
            if (!oneHost) {
                conditions.put("h" + destination + "-1", condition);
                conditions.put("h" + destination + "-2", condition);
            }
        }
    }

    private List<Entry> entries(boolean changing) {
        List<Entry> entries = new ArrayList<>();
        for (int destination = 0; destination < DESTINATIONS; destination++) {
            for (int host = 0; host < 3; host++) {
                if (changing ? random.nextInt(3) > 0 : host < 2) {
                    entries.add(entry(destination, host, changing));
                }
            }
        }
        entries.forEach(entry -> listed.put(entry.host(), entry));
        return entries;
    }

    private Entry entry(int destination, int host, boolean changing) {
        Presence presence = changing && random.nextInt(4) == 0
                ? Presence.values()[random.nextInt(Presence.values().length)]
                : Presence.ACTIVE;
        // The third host of a destination moves to the next destination at times; its kind follows the destination.
        int serves = host == 2 && random.nextInt(6) == 0 ? (destination + 1) % DESTINATIONS : destination;
        int kind = seed % 8 == 2 && serves == 0 ? settings.kinds().size() : serves;
        return new Entry("h" + destination + "-" + host, serves, host % 2, kind, presence, 3 + serves, 0);
    }
}
