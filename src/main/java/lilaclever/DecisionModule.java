package lilaclever;

import java.util.List;

/**
 * One relay's decisions: what to send where and when, and how each message ends.
 *
 * <p>The host program owns the clock, the network and the messages' contents. It tells the relay what has happened
 * ({@link Event}) and carries out what comes back ({@link Action}) in the order given. A relay does no I/O, starts
 * no thread and reads no clock; it must be used from one thread at a time. The same settings, seed and events give
 * the same actions. All times are whole microseconds, on any clock that only goes forward.
 * Settings that make no sense are an {@link IllegalArgumentException} that names the setting.
 */
public interface DecisionModule {

    /** Makes a relay that knows no destination yet; feed it a {@link Event.Listing} first. */
    static DecisionModule create(Settings settings, long seed) {
        return new DeliveryPolicy(settings, seed);
    }

    /** Takes the events that came in since the last call and gives the actions that take effect now. */
    List<Action> decide(long nowMicros, List<Event> events);

    /** What a further attempt of a message may do at its destination. */
    enum RepeatSafety {
        /** Any number of attempts is harmless. */
        SAFE,
        /** A repeat is dropped by the endpoints of the {@link KeyScope} for a while. */
        KEYED,
        /** A second attempt is allowed only when the earlier ones are known not to have run. */
        UNSAFE
    }

    /** Which endpoints of a destination remember the key of a {@link RepeatSafety#KEYED} message. */
    enum KeyScope {
        ALL,
        ZONE,
        DESTINATION
    }

    /** What the weight in a listing means. */
    enum WeightMeaning {
        NONE,
        EXACT,
        APPROXIMATE
    }

    /** How a destination's endpoints come and go in the list. */
    enum Presence {
        ACTIVE,
        LEAVING,
        LEFT
    }

    /** What a listing holds. */
    enum ListingKind {
        CHANGES,
        ALL,
        REMEMBERED,
        REFUSED
    }

    /** How an attempt or a probe ended. */
    enum AttemptResult {
        DELIVERED(false),
        ERROR(false),
        FULL(true),
        TIMED_OUT(false),
        NO_CONNECTION(true),
        RESET(false),
        CANCELED(false),
        NOT_SENT(true),
        /** Not written, since a wait was told after it was decided: that attempt was none. */
        WITHHELD(true),
        /** Its endpoint answered that it has no room for a further connection. */
        NO_ROOM(true),
        /** Turned down for good: no further attempt of this message can succeed. */
        REJECTED(true);

        private final boolean neverRan;

        AttemptResult(boolean neverRan) {
            this.neverRan = neverRan;
        }

        /** True if this ending proves that the attempt had no effect. */
        public boolean neverRan() {
            return neverRan;
        }
    }

    /**
     * A class of messages: when it is wanted, what it is worth and how it may be repeated. After the aim its worth
     * falls to {@code lateShare}: by half with each further aim, or evenly up to the deadline.
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
        /** A class whose worth falls evenly after the aim, to nothing at the deadline. */
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

    /** A kind of destination: whether each endpoint has a limit of its own, and messages in a call at most. */
    record EndpointKind(boolean limitPerEndpoint, int maxBatchSize) {
        public EndpointKind {
            require(maxBatchSize > 0, "kinds.batch must be above 0");
        }
    }

    /** A tenant and the messages a second, over all relays, that are within its share. */
    record Tenant(double share, double quotaPerSecond) {}

    /** What this relay may do. Slots are calls out at once; {@code maxOpen} counts messages held. */
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
    }

    /** Figures of the rules that a relay must keep. */
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
            require(initialCapacityShare > 0 && overloadMultiple > 0, "rules: coldFrom and tipMultiple must be above 0");
        }
    }

    /** All that a relay is told at its start. {@code askForList}: changes come only after {@link Action.Watch}. */
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
    }

    private static void require(boolean isValid, String problem) {
        if (!isValid) {
            throw new IllegalArgumentException(problem);
        }
    }

    /** One endpoint in a listing. */
    record EndpointEntry(
            String host, int destination, int zone, int kind, Presence presence, double weight, long sinceMicros) {}

    /** What a destination told of its limit: share of the allowance left, and calls a second; 0 where unknown. */
    record LimitReport(double allowanceLeft, double callsPerSecond) {}

    /** Attempts of an earlier life, maybe none; if one may have run: where and when the first of these was sent. */
    record PriorAttempts(int attempts, boolean mayHaveRun, String uncertainHost, int uncertainZone, long uncertainSentAtMicros) {}

    /** What has happened. */
    sealed interface Event {
        /** News of the list of endpoints. */
        record Listing(ListingKind kind, long version, List<EndpointEntry> entries) implements Event {}

        /**
         * A new message; {@code key} is null where the class keeps no order. {@code prior} is null but for one that
         * the host program took on before it was restarted.
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
            /** A message that no attempt was made for. */
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
         * Other settings hold from now on. A class keeps its number, new ones follow behind; all that is not of classes
         * and attempts is as before.
         */
        record SettingsChanged(Settings settings) implements Event {}

        /** The program ends: by the given time all calls that were started must have come back. */
        record Stopping(long untilMicros) implements Event {}

        /**
         * An attempt ended. {@code over}: the message is finished; {@code noSlot}: it was not sent for want of one;
         * {@code waitMicros}: how long nothing may go there from now on, whatever the ending; 0: no wait.
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

        /** A probe ended. */
        record ProbeEnded(String host, AttemptResult result, long elapsedMicros, LimitReport report) implements Event {}

        /** A timer of {@link Action.Wake} has come. */
        record Timer(long token) implements Event {}

        /** The client has withdrawn the message. */
        record Withdrawn(String id) implements Event {}

        /** Another relay has told something. */
        record PeerMessage(int from, byte[] content) implements Event {}
    }

    /** What the host program must do. */
    sealed interface Action {
        /** Start an attempt and drop it at the given time. */
        record Send(String id, String host, long dropAtMicros) implements Action {}

        /** End the message; the client may come again, best after the given time (0: no advice). */
        record Refuse(String id, long comeBackMicros) implements Action {}

        /** End the message; nothing is promised. */
        record Fail(String id) implements Action {}

        /** Stop waiting for an attempt. */
        record Cancel(String id, int attempt) implements Action {}

        /** Close idle connections to a host. */
        record CloseIdle(String host) implements Action {}

        /** Give a {@link Event.Timer} after this time. */
        record Wake(long afterMicros, long token) implements Action {}

        /** Ask for changes of the list from now on. */
        record Watch(boolean on) implements Action {}

        /** Ask for the whole list once. */
        record FetchList() implements Action {}

        /** Check a host. */
        record Probe(String host) implements Action {}

        /** Tell another relay something; -1 tells all. */
        record Tell(int to, byte[] content) implements Action {}

        /** A line for the log. */
        record Log(String text) implements Action {}
    }
}
