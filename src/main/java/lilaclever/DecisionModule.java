package lilaclever;

import java.util.List;

/**
 * The delivery decisions of one forwarder: which message is sent to which endpoint and when, and the final status of
 * each message.
 *
 * <p>The host program owns the clock, the network and the contents of messages. It reports what has happened as
 * {@link Event}s and carries out the returned {@link Action}s in order. The module does no I/O, starts no threads,
 * reads no clock and isn't thread-safe. It is deterministic: the same settings, seed and events give the same actions.
 *
 * <p>Durations and instants are whole microseconds; instants are read from any monotonic clock. Rates are per second.
 * Destinations, zones, forwarders, tenants, message classes and endpoint kinds are numbers; those of tenants, message
 * classes and endpoint kinds are indexes into the lists of {@link Settings}. Invalid settings cause an
 * {@link IllegalArgumentException} that names the setting.
 */
public interface DecisionModule {

    /** Creates a module that knows no endpoints; its first event should be an {@link Event.Listing}. */
    static DecisionModule create(Settings settings, long seed) {
        return new DeliveryPolicy(settings, seed);
    }

    /** Handles the events since the previous call, in order, and returns the actions to carry out now. */
    List<Action> decide(long nowMicros, List<Event> events);

    /** Whether a message may be sent again after an attempt that may have taken effect. */
    enum RepeatSafety {
        /** Any number of attempts is harmless, as for a read. */
        SAFE,
        /** The message has an idempotency key: endpoints of the {@link KeyScope} drop repeats in the repeat window. */
        KEYED,
        /** Another attempt is allowed only if all earlier ones are known to have had no effect. */
        UNSAFE
    }

    /**
     * Which endpoints remember the idempotency key of a {@link RepeatSafety#KEYED} message, and so drop its repeats.
     */
    enum KeyScope {
        /** All endpoints; a message that the client submits again is recognized too. */
        ALL,
        /** Endpoints of the destination in the zone that the first attempt was sent to. */
        ZONE,
        /** All endpoints of the destination. */
        DESTINATION
    }

    /** What {@link EndpointEntry#weight} says of the call rate that the endpoint's limit accepts. */
    enum WeightMeaning {
        /** Nothing. */
        NONE,
        /** It is the rate, in calls a second. */
        EXACT,
        /** It is an estimate of the rate, in calls a second, and may be too high. */
        APPROXIMATE
    }

    /** Status of an endpoint in the endpoint list. */
    enum Presence {
        /** May be sent calls. */
        ACTIVE,
        /** Draining: gets no new calls. */
        LEAVING,
        /** Removed from the list. */
        LEFT
    }

    /** What an {@link Event.Listing} contains. */
    enum ListingKind {
        /** Entries that changed since the previous listing. */
        CHANGES,
        /** The complete list. */
        ALL,
        /** The complete list as the host program stored it, which may be out of date. */
        REMEMBERED,
        /** Nothing: the directory refused the request. */
        REFUSED
    }

    /** Result of an attempt or a probe. */
    enum AttemptResult {
        DELIVERED(false),
        /** The endpoint answered with an error that may be temporary. */
        ERROR(false),
        /** The endpoint refused the call because a rate limit or a queue is full. */
        FULL(true),
        TIMED_OUT(false),
        NO_CONNECTION(true),
        /** The connection was lost before the answer came. */
        RESET(false),
        /** The call was given up on {@link Action.Cancel}. */
        CANCELED(false),
        /** The call was not sent to the endpoint. */
        NOT_SENT(true),
        /**
         * The call was not written because a retry-after or a drain was received after the decision to send it; it
         * doesn't count as an attempt.
         */
        WITHHELD(true),
        /** The endpoint refused the connection because it has too many. */
        NO_ROOM(true),
        /** Refused permanently: no further attempt of this message can succeed. */
        REJECTED(true),
        /** The endpoint reports that the message has had all its attempts. */
        NO_ATTEMPTS_LEFT(true),
        /** The attempt may have taken effect, and the endpoint may have forbidden any further one. */
        FORBIDDEN(false);

        /** Whether the message must not be sent again, whatever its class. */
        public boolean forbidsAttempts() {
            return this == REJECTED || this == NO_ATTEMPTS_LEFT || this == FORBIDDEN;
        }

        private final boolean neverRan;

        AttemptResult(boolean neverRan) {
            this.neverRan = neverRan;
        }

        /** Whether this result proves that the attempt had no effect at the endpoint. */
        public boolean neverRan() {
            return neverRan;
        }
    }

    /**
     * Timing, worth and repeat rules of a class of messages. The worth of a message is what its delivery counts
     * relative to others when not all can be sent; it falls once the message is older than the aim.
     *
     * @param aimMicros age up to which a message keeps its full worth
     * @param deadlineMicros age at which a message must have its final status
     * @param worth worth of a message up to the aim
     * @param repeat whether a message may be sent again
     * @param group which endpoints remember a message's idempotency key
     * @param repeatWindowMicros how long endpoints remember a message's idempotency key, from its first attempt
     * @param ordered whether messages with the same key are sent one at a time, in the order accepted
     * @param lateShare share of its worth that a late message keeps at the least, 0 to 1
     * @param halves whether the worth halves with each further aim; else it falls evenly, to 0 at the deadline
     */
    record MessageClass(
            long aimMicros,
            long deadlineMicros,
            double worth,
            RepeatSafety repeat,
            KeyScope group,
            long repeatWindowMicros,
            boolean ordered,
            double lateShare,
            boolean halves) {
        /** Creates a class whose worth falls evenly after the aim, to nothing at the deadline. */
        public MessageClass(
                long aimMicros,
                long deadlineMicros,
                double worth,
                RepeatSafety repeat,
                KeyScope group,
                long repeatWindowMicros,
                boolean ordered) {
            this(aimMicros, deadlineMicros, worth, repeat, group, repeatWindowMicros, ordered, 0, false);
        }

        public MessageClass {
            require(aimMicros >= 0 && deadlineMicros > 0, "classes: aim and deadline must be above 0");
            require(repeatWindowMicros >= 0, "classes.repeatWindow must not be negative");
        }
    }

    /**
     * An endpoint kind.
     *
     * @param limitPerEndpoint whether each endpoint has a rate limit of its own; else a destination's endpoints share
     *     one
     * @param maxBatchSize most messages that one call may carry
     */
    record EndpointKind(boolean limitPerEndpoint, int maxBatchSize) {
        public EndpointKind {
            require(maxBatchSize > 0, "kinds.batch must be above 0");
        }
    }

    /**
     * A client organisation with a quota.
     *
     * @param share its share of the whole load, 0 to 1; not used by the module
     * @param quotaPerSecond messages a second within its quota, over all forwarders together
     */
    record Tenant(double share, double quotaPerSecond) {}

    /**
     * Limits on what this forwarder may do.
     *
     * @param maxAttempts most attempts per message
     * @param maxOpenMessages most messages without a final status
     * @param slots most calls in flight
     * @param mayCancel whether calls may be given up before their timeout
     * @param mayProbe whether {@link Action.Probe} is allowed
     * @param mayMessagePeers whether {@link Action.Tell} is allowed
     * @param callsPerConnection most concurrent calls on one connection
     * @param connectTimeoutMicros timeout of a connect
     * @param keepAliveMicros time after which an idle connection is closed
     * @param sendsRetryAfter whether refusals give clients a retry-after period
     * @param maxRetryAfterMicros longest retry-after period given to clients
     */
    record Limits(
            int maxAttempts,
            int maxOpenMessages,
            int slots,
            boolean mayCancel,
            boolean mayProbe,
            boolean mayMessagePeers,
            int callsPerConnection,
            long connectTimeoutMicros,
            long keepAliveMicros,
            boolean sendsRetryAfter,
            long maxRetryAfterMicros) {
        public Limits {
            require(slots > 0, "limits.slots must be above 0");
            require(maxOpenMessages > 0, "limits.maxOpen must be above 0");
            require(maxAttempts > 0, "limits.maxAttempts must be above 0");
        }

        /** The same limits with another one of the attempts. */
        public Limits withMaxAttempts(int attempts) {
            return new Limits(
                    attempts,
                    maxOpenMessages,
                    slots,
                    mayCancel,
                    mayProbe,
                    mayMessagePeers,
                    callsPerConnection,
                    connectTimeoutMicros,
                    keepAliveMicros,
                    sendsRetryAfter,
                    maxRetryAfterMicros);
        }
    }

    /**
     * Parameters of the delivery rules that a forwarder must keep.
     *
     * @param answerSlackMicros time after its deadline by which a message must have its final status
     * @param watchWithinMicros time after which a forwarder counts as informed of a list change, watching or not
     * @param drainGraceMicros time after an endpoint was listed as draining within which calls may still reach it
     * @param initialCapacityShare share of its usual rate that a destination takes just after an outage, above 0
     * @param rampMicros time from the end of an outage until a destination takes its usual rate again
     * @param overloadMultiple multiple of the rate that a recovering destination takes, above which it fails again
     * @param overloadWindowMicros time over which that rate is measured
     * @param orderPauseMicros how long an ordered key is paused after an attempt that may still be running
     */
    record Rules(
            long answerSlackMicros,
            long watchWithinMicros,
            long drainGraceMicros,
            double initialCapacityShare,
            long rampMicros,
            double overloadMultiple,
            long overloadWindowMicros,
            long orderPauseMicros) {
        public Rules {
            require(
                    drainGraceMicros >= 0
                            && rampMicros >= 0
                            && overloadWindowMicros >= 0
                            && orderPauseMicros >= 0
                            && answerSlackMicros >= 0,
                    "rules: times must not be negative");
            require(
                    initialCapacityShare > 0 && overloadMultiple > 0,
                    "rules: coldFrom and tipMultiple must be above 0");
        }
    }

    /**
     * Settings of one forwarder.
     *
     * @param self number of this forwarder
     * @param forwarders number of forwarders in the fleet
     * @param zone number of the zone of this forwarder
     * @param zones number of zones
     * @param roundMicros least time between two calls of {@link DecisionModule#decide}
     * @param mustWatchList whether changes of the endpoint list are sent only after {@link Action.Watch}
     * @param weightMeaning meaning of the weights in the endpoint list
     * @param limitReports whether destinations report their limits with outcomes
     * @param overQuotaWorthFactor factor on the worth of messages beyond their tenant's quota
     * @param classes message classes, by number
     * @param kinds endpoint kinds, by number
     * @param tenants tenants, by number
     */
    record Settings(
            int self,
            int forwarders,
            int zone,
            int zones,
            long roundMicros,
            boolean mustWatchList,
            WeightMeaning weightMeaning,
            boolean limitReports,
            double overQuotaWorthFactor,
            List<MessageClass> classes,
            List<EndpointKind> kinds,
            List<Tenant> tenants,
            Limits limits,
            Rules rules) {
        public Settings {
            require(!classes.isEmpty(), "classes must not be empty");
            require(forwarders > 0, "relays must be above 0");
        }

        /** The same settings with other classes. */
        public Settings withClasses(List<MessageClass> otherClasses) {
            return with(otherClasses, limits);
        }

        /** The same settings with another limit of the attempts. */
        public Settings withMaxAttempts(int attempts) {
            return with(classes, limits.withMaxAttempts(attempts));
        }

        private Settings with(List<MessageClass> otherClasses, Limits otherLimits) {
            return new Settings(
                    self,
                    forwarders,
                    zone,
                    zones,
                    roundMicros,
                    mustWatchList,
                    weightMeaning,
                    limitReports,
                    overQuotaWorthFactor,
                    otherClasses,
                    kinds,
                    tenants,
                    otherLimits,
                    rules);
        }
    }

    private static void require(boolean isValid, String problem) {
        if (!isValid) {
            throw new IllegalArgumentException(problem);
        }
    }

    /**
     * One endpoint of the endpoint list.
     *
     * @param host name of the endpoint, unique in the list
     * @param kind index of its endpoint kind; an index out of range means the default kind
     * @param weight see {@link Settings#weightMeaning}
     * @param sinceMicros when it got its present status
     */
    record EndpointEntry(
            String host, int destination, int zone, int kind, Presence presence, double weight, long sinceMicros) {}

    /**
     * A destination's own report of its rate limit.
     *
     * @param allowanceLeft share of the allowance that is left, 0 to 1
     * @param callsPerSecond calls a second that it accepts from all forwarders together; 0 where unknown
     */
    record LimitReport(double allowanceLeft, double callsPerSecond) {}

    /**
     * Attempts of a message before the program was restarted, or before the message came back to the module. An attempt
     * is uncertain if it may have taken effect but isn't known to have; host, zone and time are of the first such
     * attempt.
     *
     * @param attempts number of attempts, possibly 0
     * @param mayHaveRun whether an attempt was uncertain
     * @param probablyDelivered whether an uncertain attempt was answered as delivered
     */
    record PriorAttempts(
            int attempts,
            boolean mayHaveRun,
            String uncertainHost,
            int uncertainZone,
            long uncertainSentAtMicros,
            boolean probablyDelivered) {
        /** Attempts of which none was answered as delivered. */
        public PriorAttempts(
                int attempts, boolean mayHaveRun, String uncertainHost, int uncertainZone, long uncertainSentAtMicros) {
            this(attempts, mayHaveRun, uncertainHost, uncertainZone, uncertainSentAtMicros, false);
        }
    }

    /** Something that has happened outside the module. */
    sealed interface Event {
        /** The endpoint list or changes of it, or a refused request for it. */
        record Listing(ListingKind kind, long version, List<EndpointEntry> entries) implements Event {}

        /**
         * A new message, or a pending one after a restart of the host program.
         *
         * @param key ordering key; null if the message has none
         * @param resubmitted whether the client submitted it before; not used by the module
         * @param inherited whether it was accepted before a restart; not used by the module
         * @param budgetMicros time left until its deadline
         * @param priorAttempts null unless the message was accepted before a restart
         */
        record Submit(
                String id,
                int messageClass,
                int destination,
                int tenant,
                String key,
                boolean resubmitted,
                boolean inherited,
                long budgetMicros,
                PriorAttempts priorAttempts)
                implements Event {
            /** Creates the event for a message without earlier attempts. */
            public Submit(
                    String id,
                    int messageClass,
                    int destination,
                    int tenant,
                    String key,
                    boolean resubmitted,
                    boolean inherited,
                    long budgetMicros) {
                this(id, messageClass, destination, tenant, key, resubmitted, inherited, budgetMicros, null);
            }
        }

        /**
         * New settings apply from now on. Only message classes and the maximum number of attempts may differ; existing
         * classes keep their numbers, and new ones are added at the end.
         */
        record SettingsChanged(Settings settings) implements Event {}

        /** The program is stopping: every call must have ended by the given time. */
        record Stopping(long untilMicros) implements Event {}

        /**
         * An attempt ended.
         *
         * @param attempt number of the attempt, from 0
         * @param elapsedMicros time since the call was sent
         * @param retryAfterMicros how long nothing may be sent to the endpoint's limit, whatever the result; 0: no
         *     delay
         * @param noSlot whether the call was not sent for lack of a free slot
         * @param finished whether the message needs no further attempt or answer
         * @param report null if the destination reported nothing
         */
        record Outcome(
                String id,
                String host,
                int attempt,
                AttemptResult result,
                long elapsedMicros,
                long retryAfterMicros,
                boolean noSlot,
                boolean finished,
                LimitReport report)
                implements Event {}

        /** A probe ended; {@code report} is null if the destination reported nothing. */
        record ProbeEnded(String host, AttemptResult result, long elapsedMicros, LimitReport report) implements Event {}

        /** A timer set by {@link Action.Wake} expired. */
        record Timer(long token) implements Event {}

        /** The client has withdrawn the message. */
        record Withdrawn(String id) implements Event {}

        /** Another forwarder has sent something. */
        record PeerMessage(int from, byte[] content) implements Event {}
    }

    /** Something that the host program must do. */
    sealed interface Action {
        /**
         * Start an attempt of a message, and give it up at the given time. Attempts to one host in the same list of
         * actions may share a call, up to {@link EndpointKind#maxBatchSize} messages.
         */
        record Send(String id, String host, long dropAtMicros) implements Action {}

        /** Refuse the message; its client may submit it again, best after the given time (0: no advice). */
        record Refuse(String id, long comeBackMicros) implements Action {}

        /** Report the message as failed; it may or may not have taken effect. */
        record Fail(String id) implements Action {}

        /** Give up an attempt in flight; its outcome is still reported. */
        record Cancel(String id, int attempt) implements Action {}

        /** Close all idle connections to a host. */
        record CloseIdle(String host) implements Action {}

        /** Send an {@link Event.Timer} with this token after the given time. */
        record Wake(long afterMicros, long token) implements Action {}

        /** Start or stop watching the endpoint list for changes. */
        record Watch(boolean on) implements Action {}

        /** Fetch the complete endpoint list once. */
        record FetchList() implements Action {}

        /** Probe a host without sending a message. */
        record Probe(String host) implements Action {}

        /** Send something to another forwarder; -1 sends it to all. */
        record Tell(int to, byte[] content) implements Action {}

        /** Write a line to the log. */
        record Log(String text) implements Action {}
    }
}
