package lilaclever.soak;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Everything that a run draws from its seed: sizes, settings, answer faults and a schedule of events.
 *
 * @param classes the message classes, one of each kind of repeat
 * @param polls whether the settings say that lists are polled
 * @param requestsTwice share of requests that arrive a second time, up to {@link #MAX_SECOND_REQUEST_MILLIS} later
 * @param noticesDropped share of notices that the platform reads and doesn't answer
 * @param callsRefused share of calls that an endpoint turns away, some with a wait
 * @param idleClients clients that connect to each forwarder and send nothing
 * @param events by time
 */
record SoakPlan(
        long seed,
        int seconds,
        int forwarders,
        int destinations,
        int endpointsPerDestination,
        int maxBatchSize,
        int slots,
        boolean polls,
        List<MessageClass> classes,
        AnswerFaults endpointFaults,
        AnswerFaults platformFaults,
        double requestsTwice,
        double noticesDropped,
        double callsRefused,
        int idleClients,
        List<Event> events) {
    static final int MAX_SECOND_REQUEST_MILLIS = 1_000;
    private static final int MAX_REPEAT_DELAY_MILLIS = 500;
    private static final int FIRST_EVENT_MILLIS = 1_000;
    private static final int MAX_OUTAGE_MILLIS = 3_000;

    /** A message class; {@code windowMillis} counts only where messages are keyed. */
    record MessageClass(String name, SoakAccount.Repeat repeat, int deadlineMillis, int windowMillis) {}

    /** What happens at a moment of the run. */
    enum EventKind {
        TERM_THEN_KILL,
        TERM_TWICE_THEN_KILL,
        HANGUP_THEN_TERM,
        KILL,
        HANGUPS,
        PAUSE_PROCESS,
        ENDPOINT_HANGS,
        ENDPOINT_FAILS,
        ENDPOINT_REFUSES,
        ENDPOINT_LEAVES,
        DISCOVERY_SILENT,
        DISCOVERY_SLOW,
        DISCOVERY_RESTARTED,
        DISK_FULL;

        boolean isRestart() {
            return ordinal() <= KILL.ordinal();
        }
    }

    /** An event; {@code target} is the number of a forwarder or an endpoint, {@code lastsMillis} its length. */
    record Event(int atMillis, EventKind kind, int target, int lastsMillis) {
        @Override
        public String toString() {
            return kind + "(" + target + ") at " + atMillis;
        }
    }

    /** Draws the plan of a run; {@code withFaults} false: the same sizes and settings and no faults. */
    static SoakPlan draw(long seed, int seconds, boolean withFaults) {
        SplittableRandom random = new SplittableRandom(seed);
        int forwarders = 2 + random.nextInt(3);
        int destinations = 2 + random.nextInt(3);
        int endpointsPerDestination = 2 + random.nextInt(2);
        List<MessageClass> classes = List.of(
                new MessageClass("status", SoakAccount.Repeat.SAFE, 800 + random.nextInt(3_000), 0),
                new MessageClass(
                        "order",
                        SoakAccount.Repeat.KEYED,
                        1_500 + random.nextInt(5_000),
                        1_000 + random.nextInt(4_000)),
                new MessageClass("payment", SoakAccount.Repeat.UNSAFE, 1_500 + random.nextInt(6_000), 0));
        int maxBatchSize = random.nextBoolean() ? 1 : 2 + random.nextInt(8);
        int slots = 8 + random.nextInt(24);
        boolean polls = random.nextInt(3) == 0;
        SoakPlan plan = new SoakPlan(
                seed,
                seconds,
                forwarders,
                destinations,
                endpointsPerDestination,
                maxBatchSize,
                slots,
                polls,
                classes,
                drawFaults(random, true),
                drawFaults(random, false),
                random.nextInt(2) * 0.02,
                random.nextInt(2) * 0.05,
                random.nextInt(4) * 0.01,
                random.nextInt(4) == 0 ? 40 + random.nextInt(160) : 0,
                drawEvents(random, seconds, forwarders, destinations * endpointsPerDestination));
        return withFaults ? plan : plan.withoutFaults();
    }

    private static AnswerFaults drawFaults(SplittableRandom random, boolean isEndpoint) {
        return new AnswerFaults(
                random.nextInt(4) * 0.03,
                isEndpoint ? random.nextInt(3) * 0.005 : 0,
                random.nextInt(3) * 0.01,
                isEndpoint ? random.nextInt(3) * 0.005 : 0,
                random.nextInt(3) * 0.01,
                random.nextInt(MAX_REPEAT_DELAY_MILLIS + 1));
    }

    private static List<Event> drawEvents(SplittableRandom random, int seconds, int forwarders, int endpoints) {
        List<Event> events = new ArrayList<>();
        int count = 3 + random.nextInt(5);
        int spanMillis = Math.max(1, seconds * 1_000 / 2 - FIRST_EVENT_MILLIS);
        List<Integer> notRestarted = new ArrayList<>();
        for (int i = 0; i < forwarders; i++) {
            notRestarted.add(i);
        }
        for (int i = 0; i < count; i++) {
            EventKind kind = EventKind.values()[random.nextInt(EventKind.values().length)];
            boolean isAtEndpoint = kind.name().startsWith("ENDPOINT");
            int target = random.nextInt(isAtEndpoint ? endpoints : forwarders);
            int atMillis = FIRST_EVENT_MILLIS + random.nextInt(spanMillis);
            int lastsMillis = 500 + random.nextInt(MAX_OUTAGE_MILLIS);
            // A forwarder is restarted once at most, so that events of one restart don't fall into another.
            if (!kind.isRestart() || notRestarted.remove((Integer) target)) {
                events.add(new Event(atMillis, kind, target, lastsMillis));
            }
        }
        events.sort(Comparator.comparingInt(Event::atMillis));
        return List.copyOf(events);
    }

    private SoakPlan withoutFaults() {
        return new SoakPlan(
                seed,
                seconds,
                forwarders,
                destinations,
                endpointsPerDestination,
                maxBatchSize,
                slots,
                polls,
                classes,
                AnswerFaults.NONE,
                AnswerFaults.NONE,
                0,
                0,
                0,
                0,
                List.of());
    }

    int maxDeadlineMillis() {
        return classes.stream().mapToInt(MessageClass::deadlineMillis).max().orElse(0);
    }

    /** The faults in a few words. */
    String faults() {
        return "endpoints " + endpointFaults + "; platform " + platformFaults + "; requests twice " + requestsTwice
                + "; notices dropped " + noticesDropped + "; calls refused " + callsRefused + "; idle clients "
                + idleClients + "; " + events;
    }
}
