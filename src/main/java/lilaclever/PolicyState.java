package lilaclever;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import lilaclever.DecisionModule.Action;
import lilaclever.DecisionModule.MessageClass;
import lilaclever.DecisionModule.Settings;

/**
 * What the parts of the decision module share: the settings in force, the present time, the random numbers, what waits
 * and what is in flight; and the types of what is remembered of messages, calls, endpoints and limits. It decides
 * nothing. Times are microseconds on the module's clock, rates are calls a second.
 */
final class PolicyState {
    /** A time that never comes, microseconds; as a rate: unlimited. */
    static final long NEVER = Long.MAX_VALUE / 4;
    /** A time in the past that lies before all others, microseconds. */
    static final long LONG_AGO = Long.MIN_VALUE / 4;
    /** Microseconds in a second. */
    static final double MICROS_PER_SECOND = 1_000_000;
    /** Fleets of more forwarders than this are large. */
    static final int LARGE_FLEET_THRESHOLD = 16;
    /** Range of a random factor: what failed or was refused together comes again apart (the design's). */
    private static final double MIN_JITTER_FACTOR = 0.5, MAX_JITTER_FACTOR = 1.5;

    /** So many forwarders that each sees a destination too seldom to tell an outage by itself. */
    final boolean largeFleet;
    /** All chance of the module; the order of the draws is part of its behaviour. */
    final SplittableRandom random;
    /** By destination, in the order first heard of. */
    final Map<Integer, DestinationQueue> queues = new LinkedHashMap<>();
    /** Queues with messages that wait, and calls that are in flight: work follows these, not all that is known. */
    final LinkedHashSet<DestinationQueue> nonEmptyQueues = new LinkedHashSet<>();

    final LinkedHashSet<Call> calls = new LinkedHashSet<>();
    Settings settings;
    /** The time of the present round. */
    long nowMicros;
    /** When all calls must have come back, as the program ends. */
    long stopAtMicros = NEVER;
    /** What the host program must do; a new list for each round. */
    List<Action> actions = new ArrayList<>();
    /** Calls in flight, each in one of the slots of the settings. */
    int slotsInUse;
    /** Messages without a final answer. */
    int openMessages;
    /** Mean time of a delivered call over all destinations; 0 while there was none. */
    double overallMeanResponseMicros;

    PolicyState(Settings settings, long seed) {
        this.settings = settings;
        this.random = new SplittableRandom(seed);
        this.largeFleet = settings.forwarders() > LARGE_FLEET_THRESHOLD;
    }

    /** Draws a random factor from 0.5 to 1.5. */
    double jitterFactor() {
        return MIN_JITTER_FACTOR + (MAX_JITTER_FACTOR - MIN_JITTER_FACTOR) * random.nextDouble();
    }

    /** Has a message wait at the end of its destination's queue. */
    void enqueue(Message message) {
        message.queue.waiting.add(message);
        nonEmptyQueues.add(message.queue);
    }

    /** Takes a message out of its destination's queue. */
    void dequeue(Message message) {
        message.queue.waiting.remove(message);
        if (message.queue.waiting.isEmpty()) {
            nonEmptyQueues.remove(message.queue);
        }
    }

    /** A message to look at again at a time; {@code order} keeps equal times in the order in which they were added. */
    record ScheduledCheck(long atMicros, long sequence, Message message) {}

    /** A message that may go to an endpoint now; the highest rank goes first. */
    record SendCandidate(Message message, Endpoint endpoint, double rank) {}

    /** A call that is in flight, with the messages that it carries. */
    static final class Call {
        final List<Message> messages = new ArrayList<>(1);
        Endpoint endpoint;
        /** The host program was asked to give it up. */
        boolean cancelRequested;
        /** Messages whose outcome has not come yet. */
        int pendingOutcomes;

        long sentAtMicros;
        /** The outcome of one of its messages has come; those of the others tell nothing new of the endpoint. */
        boolean outcomeReported;
    }

    /** The messages of one key, in the order accepted. */
    static final class OrderedKey {
        final ArrayDeque<Message> messages = new ArrayDeque<>();
        /** Until then only {@link #pauseExempt} may be sent: an attempt that was given up may still be running. */
        long pausedUntilMicros;

        Message pauseExempt;
    }

    /** A destination: the messages that wait for it, and its endpoints. */
    static final class DestinationQueue {
        final LinkedHashSet<Message> waiting = new LinkedHashSet<>();
        final List<Endpoint> endpoints = new ArrayList<>();
        /** The limit of all endpoints, or of the latest one where endpoints are routes with limits of their own. */
        DestinationLimit latestLimit;
        /** When a message of this queue may be able to go that can't now. */
        long nextCheckAtMicros;
    }

    /** A message that has no final answer yet, or whose call is still in flight. */
    static final class Message {
        final String id;
        final MessageClass messageClass;
        DestinationQueue queue;
        /** Null where the class keeps no order. */
        OrderedKey orderedKey;

        String key;
        double worth;
        long acceptedAtMicros, deadlineAtMicros;
        /** The end of the pause before its next attempt. */
        long notBeforeMicros;

        int attempts;
        /** Where its attempt is in flight; null while it waits. */
        Endpoint inFlightEndpoint;

        Endpoint lastEndpoint;
        Call call;
        long sentAtMicros;
        /** An attempt may have taken effect; the first of these was sent at that time to that zone. */
        boolean mayHaveRun;

        long uncertainSentAtMicros;
        int uncertainZone;
        /** Its final answer was given. */
        boolean finished;
        /** It was accepted by an earlier process. */
        boolean resumed;

        Message(String id, MessageClass messageClass) {
            this.id = id;
            this.messageClass = messageClass;
        }
    }

    /** A host that serves a destination. */
    static final class Endpoint {
        final String host;
        final DestinationQueue queue;
        final DestinationLimit limit;
        final int zone, kindIndex, maxBatchSize;
        /** Since when each idle connection to it has been idle, the longest first. */
        final ArrayDeque<Long> idleSinceMicros = new ArrayDeque<>();

        final LinkedHashSet<Call> calls = new LinkedHashSet<>();
        /** Listed, and not being drained. */
        boolean active;
        /** Its last calls ran into their time-out. */
        boolean timingOut;
        /** Its connects fail in a large fleet: calls keep to the pace of an outage. */
        boolean connectsFailing;

        int callsInFlight;
        long lastSentAtMicros = LONG_AGO;
        /** When the latest call that was delivered had been sent. */
        long lastDeliveredSentAtMicros = LONG_AGO;

        int consecutiveFailures;
        /** Moving share of outcomes that are hard failures, 0 to 1. */
        double failureShare;
        /** It is passed over until then. */
        long avoidUntilMicros;
        /** The first failure since the last delivery; 0 where there is none. */
        long failingSinceMicros;
        /** Index of the kind of failure seen last, in the statistics of transient failures. */
        int lastFailureCategory;

        boolean inOutage;
        /** Pause between trial calls in an outage. */
        long trialIntervalMicros;
        /** Start of slow start; 0 where it never came back from an outage. */
        long slowStartAtMicros;

        Endpoint(String host, DestinationQueue queue, DestinationLimit limit, int zone, int kindIndex, int maxBatchSize) {
            this.host = host;
            this.queue = queue;
            this.limit = limit;
            this.zone = zone;
            this.kindIndex = kindIndex;
            this.maxBatchSize = maxBatchSize;
        }
    }

    /** What takes so many calls a second: a destination, or one endpoint where endpoints are routes apart. */
    static final class DestinationLimit {
        final List<Endpoint> endpoints = new ArrayList<>();
        int callsInFlight;
        long lastSentAtMicros = LONG_AGO;
        /** End of the wait that it told; nothing is sent before. */
        long retryAfterUntilMicros;
        /** A spread time after a long told wait; nothing is sent before. */
        long resumeAtMicros;
        /** It refused as full: calls keep to {@link #throttledRate} until then. */
        long throttledUntilMicros;

        double throttledRate;
        /** Rate kept to for a while after it was throttled, growing; 0 where it never was. */
        double rateCeiling;
        /** When it last told a wait that is too short to mean that it is shut. */
        long shortRetryAfterAtMicros = LONG_AGO;
        /** When a refusal last reduced the rate. */
        long rateReducedAtMicros = LONG_AGO;
        /** Random divisor of the pace in an outage, so that forwarders come at different times. */
        double outageRateDivisor = 1;
        /** The rate that the list or the destination has told for all forwarders together; 0 where not told. */
        double announcedRate;
        /** Share of its allowance that is left, as reported. */
        double allowanceLeft;
        /** The destination itself has reported its rate. */
        boolean rateReported;
        /** Its last refusal came with nothing left of its allowance. */
        boolean exhausted;

        double recentRate, usualRate;
        /** The part of the usual rate's memory that nothing has filled yet, 0 to 1. */
        double usualRateUnfilled = 1;

        long ratesUpdatedAtMicros;
        /** Mean time of a delivered call; 0 while there was none. */
        double meanResponseMicros;
        /** Factor on the time-out of its calls, at least 1. */
        double timeoutFactor = 1;

        int consecutiveFailures;
        Endpoint lastFailedEndpoint;
        /** Several of its endpoints failed with no delivery between. */
        boolean severalEndpointsFailing;
        /** Refusals as full in a row; a delivery halves it. */
        int recentRefusals;
        /** Refusals in a row that may be those of an outage; above one, calls keep to an outage's pace. */
        int suspectedOutageRefusals;
        /** The first failure or refusal since the last delivery; 0 where there is none. */
        long failingSinceMicros;
        /** From there to the latest one; it stays when a delivery ends the row. */
        long failingForMicros;
    }
}
