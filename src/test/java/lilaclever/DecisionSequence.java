package lilaclever;

import static lilaclever.DecisionModuleHarness.MILLISECOND_MICROS;
import static lilaclever.DecisionModuleHarness.SECOND_MICROS;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import lilaclever.DecisionModule.Action;
import lilaclever.DecisionModule.AttemptResult;
import lilaclever.DecisionModule.EndpointEntry;
import lilaclever.DecisionModule.EndpointKind;
import lilaclever.DecisionModule.Event;
import lilaclever.DecisionModule.KeyScope;
import lilaclever.DecisionModule.LimitReport;
import lilaclever.DecisionModule.Limits;
import lilaclever.DecisionModule.ListingKind;
import lilaclever.DecisionModule.MessageClass;
import lilaclever.DecisionModule.Presence;
import lilaclever.DecisionModule.PriorAttempts;
import lilaclever.DecisionModule.RepeatSafety;
import lilaclever.DecisionModule.Rules;
import lilaclever.DecisionModule.Settings;
import lilaclever.DecisionModule.Tenant;
import lilaclever.DecisionModule.WeightMeaning;

/**
 * A seeded random sequence of events for one decision module, with hosts that deliver, refuse, fail or do not answer
 * for a while. Messages, endpoint lists, withdrawals, renewed settings and the end of the program come at random; the
 * same seed and the same actions give the same events.
 */
final class DecisionSequence {
    private static final long DURATION_MICROS = 60 * SECOND_MICROS;
    private static final int[] FLEET_SIZES = {1, 2, 5, 16, 17, 40, 120, 1_500};
    private static final int[] MAX_ATTEMPTS = {2, 4, 6, 12};
    private static final int DESTINATIONS = 4;

    /** How a host answers calls for a while; chosen at random by position. */
    private enum HostBehaviour {
        HEALTHY,
        REFUSES_WITHOUT_RETRY_AFTER,
        REFUSES_WITH_SHORT_RETRY_AFTER,
        REFUSES_WITH_LONG_RETRY_AFTER,
        CONNECTS_FAIL,
        CONNECTS_TIME_OUT,
        REJECTS_MOST_CONNECTIONS,
        ERRORS,
        HALF_OF_CALLS_FAIL,
        MOST_CALLS_FAIL,
        NEVER_ANSWERS,
        SLOW,
        RESETS,
        RANDOM_RESULT
    }

    /** A call in flight with its messages; it is answered at its planned end unless attempts are dropped before. */
    private static final class CallInFlight {
        String host;
        long sentAtMicros;
        long endsAtMicros;
        AttemptResult result;
        long retryAfterMicros;
        LimitReport report;
        final List<String> ids = new ArrayList<>();
        final List<Integer> attempts = new ArrayList<>();
        final List<Long> dropAtMicros = new ArrayList<>();
    }

    private final Random random;
    private final long seed;
    private Settings settings;
    private final DecisionModule module;
    /** The results that the recorded sequences draw from; others are drawn in {@code RandomSequenceTest}. */
    private static final AttemptResult[] RECORDED_RESULTS =
            EnumSet.range(AttemptResult.DELIVERED, AttemptResult.REJECTED).toArray(AttemptResult[]::new);

    private final MessageDigest digest;
    private final Map<String, Integer> attempts = new HashMap<>();
    private final List<String> openMessageIds = new ArrayList<>();
    private final List<CallInFlight> callsInFlight = new ArrayList<>();
    private final Map<String, EndpointEntry> listedEntries = new HashMap<>();
    private final Map<String, HostBehaviour> behaviours = new HashMap<>();
    private final Map<Integer, Long> lastAcceptedAtMicros = new HashMap<>();
    final Set<String> actionTypes = new TreeSet<>();
    private final double arrivalsPerSecond;
    private long nowMicros;
    private long wakeAtMicros = Long.MAX_VALUE;
    private int messagesCreated;
    int sendCount;

    DecisionSequence(long seed) {
        this.seed = seed;
        // For some seeds the clock starts near 0, as it may in a process.
        this.nowMicros = seed % 9 == 4 ? SECOND_MICROS : 1000 * SECOND_MICROS;
        this.random = new Random(seed);
        this.settings = settings();
        this.module = DecisionModule.create(settings, seed);
        this.arrivalsPerSecond = settings.forwarders() > 16 ? 1 + random.nextInt(6) : 4 + random.nextInt(30);
        try {
            this.digest = MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }

    private Settings settings() {
        int forwarders = FLEET_SIZES[(int) (seed % FLEET_SIZES.length)];
        int slots = forwarders > 16 ? 2 + random.nextInt(4) : 2 + random.nextInt(12);
        WeightMeaning weights = WeightMeaning.values()[(int) (seed / 2 % 3)];
        Limits limits = limits(MAX_ATTEMPTS[random.nextInt(MAX_ATTEMPTS.length)], slots, 20 + random.nextInt(60));
        return new Settings(
                0,
                forwarders,
                0,
                2,
                5 * MILLISECOND_MICROS,
                seed % 3 == 0,
                weights,
                true,
                0.1,
                classes(1),
                List.of(
                        new EndpointKind(false, 1),
                        new EndpointKind(true, 1),
                        new EndpointKind(false, 5),
                        new EndpointKind(true, 3)),
                List.of(new Tenant(0.5, 5), new Tenant(0.5, 2)),
                limits,
                new Rules(
                        20 * MILLISECOND_MICROS,
                        seed % 2 == 0 ? 10 * SECOND_MICROS : 20 * SECOND_MICROS,
                        SECOND_MICROS,
                        0.2,
                        (4 + random.nextInt(8)) * SECOND_MICROS,
                        2.5,
                        3 * SECOND_MICROS,
                        100 * MILLISECOND_MICROS));
    }

    private Limits limits(int maxAttempts, int slots, int maxOpenMessages) {
        return new Limits(
                maxAttempts,
                maxOpenMessages,
                slots,
                seed % 5 != 0,
                false,
                false,
                1,
                SECOND_MICROS / 2,
                5 * SECOND_MICROS,
                seed % 7 != 0,
                2 * SECOND_MICROS);
    }

    private static List<MessageClass> classes(int factor) {
        return List.of(
                new MessageClass(
                        2 * SECOND_MICROS,
                        20 * SECOND_MICROS * factor,
                        1,
                        RepeatSafety.SAFE,
                        KeyScope.ALL,
                        0,
                        false,
                        0.2,
                        true),
                new MessageClass(
                        SECOND_MICROS,
                        15 * SECOND_MICROS * factor,
                        2,
                        RepeatSafety.KEYED,
                        KeyScope.ALL,
                        5 * SECOND_MICROS,
                        false),
                new MessageClass(
                        2 * SECOND_MICROS, 20 * SECOND_MICROS * factor, 3, RepeatSafety.UNSAFE, KeyScope.ALL, 0, true),
                new MessageClass(
                        2 * SECOND_MICROS,
                        12 * SECOND_MICROS * factor,
                        1,
                        RepeatSafety.KEYED,
                        KeyScope.ZONE,
                        3 * SECOND_MICROS,
                        true,
                        0.1,
                        false),
                new MessageClass(
                        400 * MILLISECOND_MICROS,
                        2 * SECOND_MICROS * factor,
                        0.5,
                        RepeatSafety.SAFE,
                        KeyScope.ALL,
                        0,
                        true));
    }

    /** Runs the whole sequence and returns the digest of all actions with their times. */
    String run() {
        runRound(List.of(new Event.Listing(ListingKind.REMEMBERED, 1, entries(false))));
        long endMicros = nowMicros + DURATION_MICROS;
        while (nowMicros < endMicros) {
            nowMicros += 5 * MILLISECOND_MICROS;
            if (random.nextInt(400) == 0) {
                changeBehaviours();
            }
            List<Event> events = new ArrayList<>();
            addAnswers(events);
            addArrivals(events);
            addRareEvents(events, endMicros);
            if (wakeAtMicros <= nowMicros) {
                events.add(new Event.Timer(0));
                wakeAtMicros = Long.MAX_VALUE;
            }
            if (!events.isEmpty() || seed % 4 == 1) {
                runRound(events);
            }
        }
        return HexFormat.of().formatHex(digest.digest(), 0, 8);
    }

    private void runRound(List<Event> events) {
        List<Action> actions = module.decide(nowMicros, events);
        if (!actions.isEmpty()) {
            digest.update((nowMicros + " " + actions + "\n").getBytes(StandardCharsets.UTF_8));
        }
        Map<String, CallInFlight> openBatches = new HashMap<>();
        for (Action action : actions) {
            actionTypes.add(action.getClass().getSimpleName());
            if (action instanceof Action.Send send) {
                onSend(send, openBatches);
            } else if (action instanceof Action.Wake wake) {
                wakeAtMicros = Math.min(wakeAtMicros, nowMicros + wake.afterMicros());
            } else if (action instanceof Action.Cancel cancel) {
                onCancel(cancel);
            } else if (action instanceof Action.Refuse refuse) {
                openMessageIds.remove(refuse.id());
            } else if (action instanceof Action.Fail fail) {
                openMessageIds.remove(fail.id());
            }
        }
    }

    private void onSend(Action.Send send, Map<String, CallInFlight> openBatches) {
        sendCount++;
        int attempt = attempts.merge(send.id(), 1, Integer::sum) - 1;
        int kind = listedEntries.get(send.host()).kind();
        boolean kindIsKnown = kind >= 0 && kind < settings.kinds().size();
        int batchSize = kindIsKnown ? settings.kinds().get(kind).maxBatchSize() : 1;
        CallInFlight call = batchSize > 1 ? openBatches.get(send.host()) : null;
        if (call == null || call.ids.size() >= batchSize) {
            call = new CallInFlight();
            call.host = send.host();
            call.sentAtMicros = nowMicros;
            planAnswer(call);
            callsInFlight.add(call);
            openBatches.put(send.host(), call);
        }
        call.ids.add(send.id());
        call.attempts.add(attempt);
        // At times the host program reports a dropped attempt late.
        call.dropAtMicros.add(send.dropAtMicros() + (random.nextInt(20) == 0 ? 700 * MILLISECOND_MICROS : 0));
    }

    private void onCancel(Action.Cancel cancel) {
        for (CallInFlight call : callsInFlight) {
            int index = call.ids.indexOf(cancel.id());
            if (index >= 0 && call.attempts.get(index) == cancel.attempt()) {
                call.result = AttemptResult.CANCELED;
                // The outcome of a cancelled call comes in the next round, or some rounds later.
                call.endsAtMicros = nowMicros + (1 + random.nextInt(3) * 20) * 5 * MILLISECOND_MICROS;
            }
        }
    }

    private void planAnswer(CallInFlight call) {
        HostBehaviour behaviour = behaviours.getOrDefault(call.host, HostBehaviour.HEALTHY);
        EndpointEntry entry = listedEntries.get(call.host);
        long baseMicros = (15 + 40 * entry.destination()) * MILLISECOND_MICROS;
        call.endsAtMicros = nowMicros + baseMicros / 2 + (long) (baseMicros * random.nextDouble());
        call.result = AttemptResult.DELIVERED;
        boolean reports = entry.destination() % 2 == 0;
        call.report = reports ? new LimitReport(random.nextInt(3) / 4.0, 4 + entry.destination()) : null;
        switch (behaviour) {
            case REFUSES_WITHOUT_RETRY_AFTER -> setAnswer(call, AttemptResult.FULL, 10 * MILLISECOND_MICROS, 0);
            case REFUSES_WITH_SHORT_RETRY_AFTER ->
                setAnswer(call, AttemptResult.FULL, 10 * MILLISECOND_MICROS, 300 * MILLISECOND_MICROS);
            case REFUSES_WITH_LONG_RETRY_AFTER ->
                setAnswer(
                        call,
                        AttemptResult.FULL,
                        10 * MILLISECOND_MICROS,
                        2 * SECOND_MICROS + random.nextInt((int) (4 * SECOND_MICROS)));
            case CONNECTS_FAIL -> setAnswer(call, AttemptResult.NO_CONNECTION, 5 * MILLISECOND_MICROS, 0);
            case CONNECTS_TIME_OUT -> setAnswer(call, AttemptResult.NO_CONNECTION, SECOND_MICROS / 2, 0);
            case REJECTS_MOST_CONNECTIONS -> {
                if (random.nextInt(3) > 0) {
                    setAnswer(
                            call,
                            random.nextBoolean() ? AttemptResult.NO_ROOM : AttemptResult.NO_CONNECTION,
                            5 * MILLISECOND_MICROS,
                            0);
                }
            }
            case ERRORS -> setAnswer(call, AttemptResult.ERROR, 10 * MILLISECOND_MICROS, 0);
            case HALF_OF_CALLS_FAIL -> {
                if (random.nextBoolean()) {
                    setAnswer(
                            call,
                            AttemptResult.ERROR,
                            10 * MILLISECOND_MICROS,
                            random.nextInt(8) == 0 ? 200 * MILLISECOND_MICROS : 0);
                }
            }
            case MOST_CALLS_FAIL -> {
                if (random.nextInt(5) > 0) {
                    setAnswer(call, AttemptResult.ERROR, 10 * MILLISECOND_MICROS, 0);
                }
            }
            case NEVER_ANSWERS -> call.endsAtMicros = Long.MAX_VALUE;
            case SLOW -> call.endsAtMicros = nowMicros + 8 * (call.endsAtMicros - nowMicros);
            case RESETS -> setAnswer(call, AttemptResult.RESET, 30 * MILLISECOND_MICROS, 0);
            case RANDOM_RESULT -> {
                AttemptResult randomResult = RECORDED_RESULTS[random.nextInt(RECORDED_RESULTS.length)];
                setAnswer(
                        call,
                        randomResult,
                        20 * MILLISECOND_MICROS,
                        randomResult == AttemptResult.FULL ? random.nextInt(3) * 900 * MILLISECOND_MICROS : 0);
            }
            default -> limitRate(call, entry);
        }
    }

    private void setAnswer(CallInFlight call, AttemptResult result, long delayMicros, long retryAfterMicros) {
        call.result = result;
        call.endsAtMicros = nowMicros + delayMicros;
        call.retryAfterMicros = retryAfterMicros;
    }

    /** A healthy destination accepts about one call in 50 ms, and refuses some calls that come closer together. */
    private void limitRate(CallInFlight call, EndpointEntry entry) {
        long gapMicros = nowMicros - lastAcceptedAtMicros.getOrDefault(entry.destination(), 0L);
        if (gapMicros < 50 * MILLISECOND_MICROS && seed % 2 == 0 && random.nextInt(4) == 0) {
            setAnswer(call, AttemptResult.FULL, 5 * MILLISECOND_MICROS, seed % 4 == 0 ? 200 * MILLISECOND_MICROS : 0);
            call.report = new LimitReport(0, 6);
        } else {
            lastAcceptedAtMicros.put(entry.destination(), nowMicros);
        }
    }

    private void addAnswers(List<Event> events) {
        for (CallInFlight call : List.copyOf(callsInFlight)) {
            boolean answered = call.endsAtMicros <= nowMicros;
            for (int i = call.ids.size() - 1; i >= 0; i--) {
                if (answered || call.dropAtMicros.get(i) <= nowMicros) {
                    addAnswer(events, call, i, answered ? call.result : AttemptResult.TIMED_OUT);
                    call.ids.remove(i);
                    call.attempts.remove(i);
                    call.dropAtMicros.remove(i);
                }
            }
            if (call.ids.isEmpty()) {
                callsInFlight.remove(call);
            }
        }
    }

    private void addAnswer(List<Event> events, CallInFlight call, int index, AttemptResult result) {
        String id = call.ids.get(index);
        boolean finished = result == AttemptResult.DELIVERED || random.nextInt(200) == 0;
        if (finished) {
            openMessageIds.remove(id);
        }
        if (result == AttemptResult.WITHHELD) {
            attempts.merge(id, -1, Integer::sum);
        }
        events.add(new Event.Outcome(
                id,
                call.host,
                call.attempts.get(index),
                result,
                nowMicros - call.sentAtMicros,
                result == AttemptResult.TIMED_OUT ? 0 : call.retryAfterMicros,
                result == AttemptResult.NOT_SENT,
                finished,
                result == AttemptResult.TIMED_OUT ? null : call.report));
    }

    private void addArrivals(List<Event> events) {
        // Messages come one by one, and now and then in a burst for one destination.
        int burstSize = random.nextInt(2_000) == 0 ? 4 + random.nextInt(20) : 0;
        int destination = random.nextInt(DESTINATIONS);
        boolean singleArrives = random.nextDouble() < arrivalsPerSecond * 5 * MILLISECOND_MICROS / SECOND_MICROS;
        for (int i = 0; i < burstSize + (singleArrives ? 1 : 0); i++) {
            String id = "m" + messagesCreated++;
            int messageClass = random.nextInt(classes(1).size());
            String key = random.nextInt(3) == 0 ? null : "k" + destination + "-" + random.nextInt(3);
            long deadlineMicros = settings.classes().get(messageClass).deadlineMicros();
            long budgetMicros = random.nextInt(6) == 0
                    ? 50 * MILLISECOND_MICROS + random.nextInt((int) SECOND_MICROS)
                    : deadlineMicros;
            PriorAttempts prior = random.nextInt(25) == 0 ? prior() : null;
            attempts.put(id, prior == null ? 0 : prior.attempts());
            openMessageIds.add(id);
            events.add(new Event.Submit(
                    id,
                    messageClass,
                    destination,
                    random.nextInt(4) - 1,
                    key,
                    false,
                    prior != null,
                    budgetMicros,
                    prior));
        }
    }

    private PriorAttempts prior() {
        boolean mayHaveRun = random.nextBoolean();
        int earlierAttempts = mayHaveRun ? 1 + random.nextInt(3) : random.nextInt(3);
        return new PriorAttempts(
                earlierAttempts,
                mayHaveRun,
                "h0-0",
                random.nextInt(2),
                nowMicros - random.nextInt((int) (4 * SECOND_MICROS)));
    }

    private void addRareEvents(List<Event> events, long endMicros) {
        if (random.nextInt(700) == 0) {
            ListingKind kind = ListingKind.values()[random.nextInt(4)];
            List<EndpointEntry> entries = kind == ListingKind.REFUSED ? List.of() : entries(true);
            events.add(new Event.Listing(kind, messagesCreated, entries));
        }
        if (random.nextInt(500) == 0 && !openMessageIds.isEmpty()) {
            events.add(new Event.Withdrawn(openMessageIds.remove(random.nextInt(openMessageIds.size()))));
        }
        if (random.nextInt(3_000) == 0) {
            Limits old = settings.limits();
            int maxAttempts = MAX_ATTEMPTS[random.nextInt(MAX_ATTEMPTS.length)];
            events.add(renewedSettings(
                    classes(1 + random.nextInt(2)), limits(maxAttempts, old.slots(), old.maxOpenMessages())));
        }
        if (random.nextInt(1_000) == 0) {
            events.add(new Event.ProbeEnded("h0-0", AttemptResult.DELIVERED, MILLISECOND_MICROS, null));
            events.add(new Event.PeerMessage(1, new byte[0]));
        }
        if (seed % 6 == 0 && nowMicros == endMicros - 4 * SECOND_MICROS) {
            events.add(new Event.Stopping(endMicros));
        }
    }

    private Event renewedSettings(List<MessageClass> classes, Limits limits) {
        settings = new Settings(
                settings.self(),
                settings.forwarders(),
                settings.zone(),
                settings.zones(),
                settings.roundMicros(),
                settings.mustWatchList(),
                settings.weightMeaning(),
                settings.limitReports(),
                settings.overQuotaWorthFactor(),
                classes,
                settings.kinds(),
                settings.tenants(),
                limits,
                settings.rules());
        return new Event.SettingsChanged(settings);
    }

    /** Changes how hosts answer: those of one destination or one host of it, at times those of all others instead. */
    private void changeBehaviours() {
        boolean healthy = random.nextInt(3) == 0;
        HostBehaviour behaviour =
                healthy ? HostBehaviour.HEALTHY : HostBehaviour.values()[random.nextInt(HostBehaviour.values().length)];
        int chosenDestination = random.nextInt(DESTINATIONS);
        boolean allOthers = random.nextInt(5) == 0;
        if (allOthers && random.nextBoolean()) {
            behaviour = HostBehaviour.NEVER_ANSWERS;
        }
        boolean oneHost = random.nextInt(4) == 0;
        for (int destination = 0; destination < DESTINATIONS; destination++) {
            if (allOthers == (destination == chosenDestination)) {
                continue;
            }
            behaviours.put("h" + destination + "-0", behaviour);
            if (!oneHost) {
                behaviours.put("h" + destination + "-1", behaviour);
                behaviours.put("h" + destination + "-2", behaviour);
            }
        }
    }

    private List<EndpointEntry> entries(boolean changing) {
        List<EndpointEntry> entries = new ArrayList<>();
        for (int destination = 0; destination < DESTINATIONS; destination++) {
            for (int host = 0; host < 3; host++) {
                if (changing ? random.nextInt(3) > 0 : host < 2) {
                    entries.add(entry(destination, host, changing));
                }
            }
        }
        entries.forEach(entry -> listedEntries.put(entry.host(), entry));
        return entries;
    }

    private EndpointEntry entry(int destination, int host, boolean changing) {
        Presence presence = changing && random.nextInt(4) == 0
                ? Presence.values()[random.nextInt(Presence.values().length)]
                : Presence.ACTIVE;
        // The third host of a destination moves to the next destination at times; its kind follows the destination.
        int servedDestination = host == 2 && random.nextInt(6) == 0 ? (destination + 1) % DESTINATIONS : destination;
        int kind = seed % 8 == 2 && servedDestination == 0 ? settings.kinds().size() : servedDestination;
        return new EndpointEntry(
                "h" + destination + "-" + host, servedDestination, host % 2, kind, presence, 3 + servedDestination, 0);
    }
}
