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
 * @param endpoints how many there are, dealt to the destinations in turn
 * @param callShares how many calls endpoints refuse, fail and end
 * @param idleClients clients that connect to each forwarder and send nothing
 * @param hasRestlessClients whether these leave and come back all the time
 * @param events by time
 */
record SoakPlan(
        long seed,
        int seconds,
        int forwarders,
        int destinations,
        int endpoints,
        int maxBatchSize,
        int slots,
        boolean polls,
        Load load,
        List<MessageClass> classes,
        AnswerFaults endpointFaults,
        AnswerFaults platformFaults,
        double requestsTwice,
        double noticesDropped,
        CallShares callShares,
        int idleClients,
        boolean hasRestlessClients,
        List<Event> events) {
    static final int MAX_SECOND_REQUEST_MILLIS = 1_000;
    private static final int MAX_REPEAT_DELAY_MILLIS = 500;
    private static final int FIRST_EVENT_MILLIS = 1_000;
    private static final int MAX_OUTAGE_MILLIS = 3_000;

    /** A message class; {@code windowMillis} counts only where messages are keyed. */
    record MessageClass(String name, SoakAccount.Repeat repeat, int deadlineMillis, int windowMillis) {}

    /** How many clients a forwarder has, and how long an endpoint takes for a call. */
    record Load(int clientsPerForwarder, int minServiceMillis, int maxServiceMillis) {}

    /**
     * Shares of the messages that an endpoint turns away, some with a wait, and that it fails, says to be over, and
     * says to have had all attempts.
     */
    record CallShares(double refused, double failed, double over, double exhausted) {
        static final CallShares NONE = new CallShares(0, 0, 0, 0);

        /** The end of a call for a number from 0 to 1. */
        SoakAccount.CallEnd draw(double drawn) {
            double left = drawn - refused;
            if (left < 0) {
                return SoakAccount.CallEnd.NEVER_RAN;
            }
            left -= failed;
            if (left < 0) {
                return SoakAccount.CallEnd.MAY_HAVE_RUN;
            }
            left -= over;
            if (left < 0) {
                return SoakAccount.CallEnd.OVER;
            }
            return left < exhausted ? SoakAccount.CallEnd.NO_ATTEMPTS_LEFT : SoakAccount.CallEnd.DELIVERED;
        }
    }

    /** Which faults a run plays. */
    enum Faults {
        DRAWN,
        /** The same sizes and settings without faults. */
        NONE,
        /** One forwarder with few slots, whose calls often fail and whose connections often end, and nothing else. */
        FAILING_CALLS
    }

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

    private static final Load USUAL_LOAD = new Load(4, 10, 100);

    /** Draws the plan of a run. */
    static SoakPlan draw(long seed, int seconds, Faults faults) {
        SplittableRandom random = new SplittableRandom(seed);
        int forwarders = 2 + random.nextInt(5);
        int destinations = 2 + random.nextInt(3);
        int endpoints = destinations * (2 + random.nextInt(2));
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
                endpoints,
                maxBatchSize,
                slots,
                polls,
                USUAL_LOAD,
                classes,
                drawFaults(random, true),
                drawFaults(random, false),
                random.nextInt(2) * 0.02,
                random.nextInt(2) * 0.05,
                drawShares(random),
                random.nextInt(4) == 0 ? 40 + random.nextInt(160) : 0,
                random.nextBoolean(),
                drawEvents(random, seconds, forwarders, endpoints));
        return switch (faults) {
            case DRAWN -> plan;
            case NONE -> plan.withoutFaults();
            case FAILING_CALLS -> failingCalls(seed, seconds, classes);
        };
    }

    private static SoakPlan failingCalls(long seed, int seconds, List<MessageClass> classes) {
        int destinations = 6, endpoints = 9, slots = 6;
        Load load = new Load(9, 30, 250);
        return new SoakPlan(
                seed,
                seconds,
                1,
                destinations,
                endpoints,
                1,
                slots,
                false,
                load,
                classes,
                new AnswerFaults(0, 0, 0, 0.04, 0, 0),
                AnswerFaults.NONE,
                0,
                0,
                new CallShares(0, 0.14, 0, 0),
                0,
                false,
                List.of());
    }

    private static CallShares drawShares(SplittableRandom random) {
        return new CallShares(
                random.nextInt(4) * 0.01, random.nextInt(3) * 0.02, random.nextInt(4) * 0.02, random.nextInt(3) * 0.01);
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
                endpoints,
                maxBatchSize,
                slots,
                polls,
                load,
                classes,
                AnswerFaults.NONE,
                AnswerFaults.NONE,
                0,
                0,
                CallShares.NONE,
                0,
                false,
                List.of());
    }

    int maxDeadlineMillis() {
        return classes.stream().mapToInt(MessageClass::deadlineMillis).max().orElse(0);
    }

    /** The faults in a few words. */
    String faults() {
        return "endpoints " + endpointFaults + "; platform " + platformFaults + "; requests twice " + requestsTwice
                + "; notices dropped " + noticesDropped + "; " + callShares + "; idle clients "
                + idleClients + (hasRestlessClients ? ", restless; " : "; ") + events;
    }
}
