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
 * State shared by the classes of the decision module: the current settings and time, the random numbers, the queues and
 * the calls in flight; and the types that hold the state of messages, calls, endpoints and limits. It makes no
 * decisions. Instants are on the module's clock, rates are calls a second.
 */
final class PolicyState {
    /** As an instant in microseconds: never; as a rate: unlimited. */
    static final long NEVER = Long.MAX_VALUE / 4;
    /** An instant before all others, microseconds. */
    static final long LONG_AGO_MICROS = Long.MIN_VALUE / 4;

    static final double MICROS_PER_SECOND = 1_000_000;
    /** A fleet with more forwarders than this is large. */
    static final int LARGE_FLEET_THRESHOLD = 16;
    /** Range of the jitter factor, which spreads the retries of what failed or was refused at the same time. */
    private static final double MIN_JITTER_FACTOR = 0.5, MAX_JITTER_FACTOR = 1.5;

    /** Whether there are so many forwarders that each calls a destination too seldom to detect an outage by itself. */
    final boolean largeFleet;
    /** The only source of randomness in the module; the order of draws is part of its behaviour. */
    final SplittableRandom random;
    /** By destination, in the order in which destinations became known. */
    final Map<Integer, DestinationQueue> queues = new LinkedHashMap<>();
    /** Queues with waiting messages; a round works through these and {@link #calls}, not through all destinations. */
    final LinkedHashSet<DestinationQueue> nonEmptyQueues = new LinkedHashSet<>();
    /** Calls in flight. */
    final LinkedHashSet<Call> calls = new LinkedHashSet<>();

    Settings settings;
    /** Time of the current round. */
    long nowMicros;
    /** When every call must have ended because the program is stopping; {@link #NEVER} until it stops. */
    long stopAtMicros = NEVER;
    /** Actions of the current round; a new list for each round. */
    List<Action> actions = new ArrayList<>();
    /** Number of calls in flight; each uses one slot. */
    int slotsInUse;
    /** Number of messages without a final status. */
    int openMessages;
    /** Mean response time of delivered calls over all destinations; 0 before the first. */
    double overallMeanResponseMicros;

    PolicyState(Settings settings, long seed) {
        this.settings = settings;
        this.random = new SplittableRandom(seed);
        this.largeFleet = settings.forwarders() > LARGE_FLEET_THRESHOLD;
    }

    /** Draws a jitter factor from 0.5 to 1.5. */
    double jitterFactor() {
        return MIN_JITTER_FACTOR + (MAX_JITTER_FACTOR - MIN_JITTER_FACTOR) * random.nextDouble();
    }

    /** Adds a message to the end of its destination's queue. */
    void enqueue(Message message) {
        message.queue.waiting.add(message);
        nonEmptyQueues.add(message.queue);
    }

    /** Removes a message from its destination's queue. */
    void dequeue(Message message) {
        message.queue.waiting.remove(message);
        if (message.queue.waiting.isEmpty()) {
            nonEmptyQueues.remove(message.queue);
        }
    }

    /** A scheduled check of a message; {@code sequence} keeps checks at equal times in the order added. */
    record ScheduledCheck(long atMicros, long sequence, Message message) {}

    /** A message that may be sent to an endpoint now; candidates are sent by descending rank. */
    record SendCandidate(Message message, Endpoint endpoint, double rank) {}

    /** A call in flight, with the messages that it carries. */
    static final class Call {
        final List<Message> messages = new ArrayList<>(1);
        Endpoint endpoint;
        /** The host program was asked to give it up. */
        boolean cancelRequested;
        /** Number of its messages whose outcome hasn't been reported yet. */
        int pendingOutcomes;

        long sentAtMicros;
        /** An outcome of it was reported; those of its other messages say nothing new of the endpoint. */
        boolean outcomeReported;
    }

    /** Ordered key: its messages in the order accepted. */
    static final class OrderedKey {
        final ArrayDeque<Message> messages = new ArrayDeque<>();
        /** Until then only {@link #pauseExempt} may be sent, as an attempt that was given up may still be running. */
        long pausedUntilMicros;

        Message pauseExempt;
    }

    /** A destination: its waiting messages and its endpoints. */
    static final class DestinationQueue {
        final LinkedHashSet<Message> waiting = new LinkedHashSet<>();
        final List<Endpoint> endpoints = new ArrayList<>();
        /** The limit that all endpoints share; where each has its own, that of the endpoint added last. */
        DestinationLimit latestLimit;
        /** Earliest time at which a message of this queue that can't be sent now may become sendable. */
        long nextCheckAtMicros;
    }

    /** A message that has no final status yet, or whose call is still in flight. */
    static final class Message {
        final String id;
        final MessageClass messageClass;
        DestinationQueue queue;
        /** Null if the message isn't ordered. */
        OrderedKey orderedKey;

        String key;
        double worth;
        long acceptedAtMicros, deadlineAtMicros;
        /** End of the delay before its next attempt. */
        long notBeforeMicros;

        int attempts;
        /** Endpoint of the attempt in flight; null if there is none. */
        Endpoint inFlightEndpoint;

        Endpoint lastEndpoint;
        Call call;
        long sentAtMicros;
        /** An attempt is uncertain: it may have taken effect, but isn't known to have. */
        boolean mayHaveRun;
        /** When the first uncertain attempt was sent. */
        long uncertainSentAtMicros;
        /** Zone of the endpoint of the first uncertain attempt. */
        int uncertainZone;
        /** It has its final status. */
        boolean finished;
        /** It was accepted before a restart. */
        boolean resumed;

        /** Whether an uncertain attempt was answered as delivered. */
        boolean probablyDelivered;

        Message(String id, MessageClass messageClass) {
            this.id = id;
            this.messageClass = messageClass;
        }
    }

    /** A host that accepts calls for a destination. */
    static final class Endpoint {
        final String host;
        final DestinationQueue queue;
        final DestinationLimit limit;
        final int zone, kindIndex, maxBatchSize;
        /** Since when each idle connection to it has been idle, the oldest first. */
        final ArrayDeque<Long> idleSinceMicros = new ArrayDeque<>();

        final LinkedHashSet<Call> calls = new LinkedHashSet<>();
        /** Listed and not draining. */
        boolean active;
        /** Its last calls timed out. */
        boolean timingOut;
        /** Connects to it fail, in a large fleet: calls are limited to the rate of an outage. */
        boolean connectsFailing;

        int callsInFlight;
        long lastSentAtMicros = LONG_AGO_MICROS;
        /** Latest time at which a call was sent that was later delivered. */
        long lastDeliveredSentAtMicros = LONG_AGO_MICROS;

        int consecutiveFailures;
        /** Moving average share of hard failures among outcomes, 0 to 1. */
        double failureShare;
        /** It gets no calls until then. */
        long avoidUntilMicros;
        /** Time of the first failure since the last delivery; 0 if there is none. */
        long failingSinceMicros;
        /** Category of the last failure, an index into the statistics of {@link TransientFailures}. */
        int lastFailureCategory;

        boolean inOutage;
        /** Interval between trial calls in an outage. */
        long trialIntervalMicros;
        /** Start of the last slow start; 0 if there was none. */
        long slowStartAtMicros;

        Endpoint(
                String host,
                DestinationQueue queue,
                DestinationLimit limit,
                int zone,
                int kindIndex,
                int maxBatchSize) {
            this.host = host;
            this.queue = queue;
            this.limit = limit;
            this.zone = zone;
            this.kindIndex = kindIndex;
            this.maxBatchSize = maxBatchSize;
        }
    }

    /** A rate limit and what is known of it: of a destination, or of one endpoint where each has its own. */
    static final class DestinationLimit {
        final List<Endpoint> endpoints = new ArrayList<>();
        int callsInFlight;
        long lastSentAtMicros = LONG_AGO_MICROS;
        /** End of the retry-after period; nothing is sent before. */
        long retryAfterUntilMicros;
        /** A random time after a long retry-after period; nothing is sent before. */
        long resumeAtMicros;
        /** It refused a call as full: calls are limited to {@link #throttledRate} until then. */
        long throttledUntilMicros;

        double throttledRate;
        /** Initial value of a growing rate limit for some time after it was throttled; 0 if it never was. */
        double rateCeiling;
        /** When it last sent a retry-after that is too short to mean that it is unavailable. */
        long shortRetryAfterAtMicros = LONG_AGO_MICROS;
        /** When a refusal last reduced its throttled rate. */
        long rateReducedAtMicros = LONG_AGO_MICROS;
        /** Random divisor of the rate in an outage, so that forwarders call at different times. */
        double outageRateDivisor = 1;
        /** Rate that it accepts from all forwarders, by the endpoint list or its own report; 0 if unknown. */
        double announcedRate;
        /** Share of its allowance that is left, by its last report. */
        double allowanceLeft;
        /** The destination has reported its rate, which then takes precedence over the endpoint list. */
        boolean rateReported;
        /** Its last refusal reported that nothing is left of its allowance. */
        boolean exhausted;

        double recentRate, usualRate;
        /** Weight of the time before the first sample in the usual rate, 0 to 1. */
        double usualRateUnfilled = 1;

        long ratesUpdatedAtMicros;
        /** Mean response time of delivered calls; 0 before the first. */
        double meanResponseMicros;
        /** Factor on the timeout of calls, at least 1. */
        double timeoutFactor = 1;

        int consecutiveFailures;
        Endpoint lastFailedEndpoint;
        /** Several of its endpoints have failed since the last delivery. */
        boolean severalEndpointsFailing;
        /** Number of refusals as full; each delivery halves it. */
        int recentRefusals;
        /** Consecutive refusals that may be due to an outage; above one, calls are limited to the rate of an outage. */
        int suspectedOutageRefusals;
        /** Time of the first failure or refusal since the last delivery; 0 if there is none. */
        long failingSinceMicros;
        /** Time from the first to the latest failure or refusal; a delivery doesn't reset it. */
        long failingForMicros;
    }
}
