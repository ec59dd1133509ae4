package lilaclever.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.LinkedBlockingQueue;
import lilaclever.DecisionModule;
import lilaclever.DecisionModule.Action;
import lilaclever.DecisionModule.AttemptResult;
import lilaclever.DecisionModule.Event;
import lilaclever.identity.DuplicateCheckResult;
import lilaclever.identity.IdempotencyWindows;
import lilaclever.identity.Identity;
import lilaclever.log.Logs;
import lilaclever.routing.Counters.Name;
import lilaclever.routing.FinalStatus.Kind;

/**
 * The core keeps messages, endpoints and deadlines, independent of any protocol. A single thread, the event loop, owns
 * its state. In each turn it runs the queued tasks and the due deadlines, passes all events to the decision module in
 * one batch and executes the resulting actions in order. Other threads use only {@link #post}.
 */
public final class Core {
    /** Retry advice for submissions rejected without asking the decision module: no capacity, or shutting down. */
    private static final long REJECTED_RETRY_AFTER_MICROS = 1_000_000;

    private static final long MAX_SLEEP_MICROS = 1_000_000;
    /**
     * Time for queued tasks in one turn, after which deadlines and decisions come first: far below the 100 ms within
     * which a received response has to take effect.
     */
    private static final long MAX_TASKS_MICROS = 20_000;

    private static final long DESTINATION_RETENTION_MICROS = 60_000_000;
    /** A final status later than this after a message's deadline breaks an invariant. */
    private static final long DEADLINE_TOLERANCE_MICROS = 250_000;

    private static final long WALL_CLOCK_OFFSET_MICROS = System.currentTimeMillis() * 1000 - monotonicMicros();

    /** An endpoint as listed by the directory: its entry for the decision module, and how to reach it. */
    public record ListedEndpoint(DecisionModule.EndpointEntry entry, Call.Endpoint endpoint) {
        /** The same endpoint with another presence. */
        public ListedEndpoint withPresence(DecisionModule.Presence presence) {
            return new ListedEndpoint(
                    new DecisionModule.EndpointEntry(
                            entry.host(),
                            entry.destination(),
                            entry.zone(),
                            entry.kind(),
                            presence,
                            entry.weight(),
                            entry.sinceMicros()),
                    endpoint);
        }
    }

    private final DecisionModule.Settings settings;
    private final DecisionModule decisionModule;
    private final Journal journal;
    private final Counters counters;
    private final Deadlines deadlines = new Deadlines();
    private final LinkedBlockingQueue<Runnable> tasks = new LinkedBlockingQueue<>();
    private final Map<String, Front> fronts = new HashMap<>();
    private final Map<String, Message> pendingMessages = new LinkedHashMap<>();
    private final DeduplicationTable deduplication;
    private final AnswerOutcomes answers;
    /** Messages without an identity that ended, for requests that arrive twice. */
    private final RecentlyEnded recentlyEnded = new RecentlyEnded();

    private final Map<String, Call.Endpoint> endpoints = new HashMap<>();
    private final ActiveEndpoints activeEndpoints = new ActiveEndpoints();
    /** When each destination was last listed: one that has no endpoint now may get one soon. */
    private final Map<Integer, Long> destinationsLastListed = new HashMap<>();
    /** Endpoints from the program's own configuration, which no directory lists. */
    private final List<ListedEndpoint> configuredEndpoints = new ArrayList<>();

    private final Set<Call> calls = new HashSet<>();
    private final List<Message> newMessages = new ArrayList<>();
    private List<Event> events = new ArrayList<>();
    private Thread thread;
    private volatile boolean isStopped;
    private boolean isShuttingDown;
    private int unsettledCount;
    private final Clock clock;
    private long nowMicros;

    /** Creates a core without messages that runs in real time. */
    public Core(
            DecisionModule.Settings settings,
            long seed,
            Journal journal,
            Counters counters,
            IdempotencyWindows windows) {
        this(settings, seed, journal, counters, windows, Clock.system());
    }

    /** Creates a core without messages that runs on the given clock. */
    public Core(
            DecisionModule.Settings settings,
            long seed,
            Journal journal,
            Counters counters,
            IdempotencyWindows windows,
            Clock clock) {
        this.clock = clock;
        this.nowMicros = clock.monotonicMicros();
        this.settings = settings;
        this.decisionModule = DecisionModule.create(settings, seed);
        this.journal = journal;
        this.counters = counters;
        this.answers = new AnswerOutcomes(this, journal);
        this.deduplication = new DeduplicationTable(windows, journal, counters);
        counters.entryGauge("tasks", tasks::size);
        counters.entryGauge("held", pendingMessages::size);
        counters.entryGauge("endpoints", endpoints::size);
        counters.entryGauge("destinations", destinationsLastListed::size);
        counters.entryGauge("calls", calls::size);
        counters.entryGauge("deadlines", deadlines::size);
        counters.entryGauge("unconfirmed", answers::size);
        counters.entryGauge("recently_ended", recentlyEnded::size);
        counters.entryGauge("owed", () -> journal.pendingMessages().size());
        counters.entryGauge("remembered", journal::rememberedCount);
        journal.setLoop(this::post);
    }

    // Public API

    /** Queues a task for the event loop's next turn. Any thread. */
    public void post(Runnable task) {
        tasks.add(task);
        clock.taskPosted();
    }

    /** The time of this turn on the monotonic clock, microseconds. */
    public long nowMicros() {
        return nowMicros;
    }

    /** The timers of the event loop. */
    public Deadlines deadlines() {
        return deadlines;
    }

    public Counters counters() {
        return counters;
    }

    /** Takes the answers that deliverers receive. */
    public AnswerOutcomes answers() {
        return answers;
    }

    /** The time on the wall clock, microseconds. */
    long wallClockMicros() {
        return clock.wallMicros();
    }

    /** The endpoints to which requests may be written; for deliverers. */
    public ActiveEndpoints activeEndpoints() {
        return activeEndpoints;
    }

    /** The monotonic clock, microseconds. */
    public static long monotonicMicros() {
        return System.nanoTime() / 1000;
    }

    /**
     * The wall clock at the start of the process plus the monotonic time since, microseconds: it does not jump when the
     * system clock is set. Times that are stored use this clock.
     */
    public static long wallMicros() {
        return WALL_CLOCK_OFFSET_MICROS + monotonicMicros();
    }

    /** Adds a front; before {@link #start}. */
    public void add(Front front) {
        fronts.put(front.name(), front);
    }

    /** Adds an endpoint of our own configuration; before {@link #start}. */
    public void add(ListedEndpoint configured) {
        configuredEndpoints.add(configured);
        endpoints.put(configured.entry().host(), configured.endpoint());
        activeEndpoints.activate(configured.endpoint());
    }

    /** Starts the event loop: resumes the journal's pending messages, with the last known endpoint list. */
    public void start(List<ListedEndpoint> known, long version) {
        runFirstTurn(known, version);
        thread = new Thread(this::loop, "loop");
        thread.start();
    }

    /**
     * Runs the first turn on the calling thread, without starting the event loop's thread. For simulations in virtual
     * time, which go on with {@link #nextTurnMicros} and {@link #runTurn}.
     */
    public void runFirstTurn(List<ListedEndpoint> known, long version) {
        nowMicros = clock.monotonicMicros();
        updateEndpoints(DecisionModule.ListingKind.REMEMBERED, version, known);
        long wallMicros = clock.wallMicros();
        for (PendingMessage pending : List.copyOf(journal.pendingMessages())) {
            resume(pending, wallMicros);
        }
        processTurn();
    }

    /** When the next turn is due: with a queued task after the minimum interval, else at the next deadline. */
    public long nextTurnMicros() {
        return tasks.isEmpty()
                ? deadlines.earliestOr(nowMicros + MAX_SLEEP_MICROS)
                : nowMicros + settings.roundMicros();
    }

    /** Runs one turn on the calling thread. */
    public void runTurn() {
        nowMicros = clock.monotonicMicros();
        run(this::processTurn);
    }

    private void resume(PendingMessage pending, long wallMicros) {
        Front front = fronts.get(pending.front());
        String id = pending.submission().id();
        if (front == null) {
            Logs.error("", "no-front", "cannot answer for " + id + ": no front " + pending.front(), "message", id);
            journal.recordSettled(id);
            return;
        }
        Submission submission = pending.submission().withDestination(front.destinationOf(pending.submission()));
        Message message = new Message(submission, front, pending.deadlineWallMicros());
        counters.add(Name.RESUMED);
        message.isJournaled = true;
        message.isAcceptanceDurable = true;
        message.isResumed = true;
        for (PendingMessage.Submitter submitter : pending.attachedSubmitters()) {
            if (fronts.containsKey(submitter.front())) {
                message.submitters.add(new DeduplicationTable.Submitter(fronts.get(submitter.front()), submitter.id()));
            }
        }
        // The process may have been killed after the result was remembered and before the final status was recorded.
        FinalStatus decidedStatus =
                pending.finalStatus() != null ? pending.finalStatus() : deduplication.finalStatusOfEarlierRun(message);
        if (decidedStatus != null) {
            message.isFinished = true;
            notifySubmitters(message, decidedStatus);
            return;
        }
        if (pending.isInFlight()) {
            // The call was in flight when the process ended, so the endpoint may have processed it.
            journal.recordOutcome(message.id(), false);
        }
        message.attemptCount = pending.attempts();
        if (pending.mayHaveRun()) {
            message.markMayHaveRun(
                    pending.uncertainHost(),
                    journal.zoneNumber(pending.uncertainZone()),
                    pending.uncertainSentWallMicros());
        }
        addPending(message);
        events.add(message.toSubmitEvent(nowMicros, wallMicros));
    }

    /** False if the destination has not been listed for long; true as long as no destination is known. Event loop. */
    public boolean isKnownDestination(int destination) {
        return destinationsLastListed.isEmpty() || destinationsLastListed.containsKey(destination);
    }

    /** Submits a message; the front is notified by the end of the turn. Event loop. */
    public Message submit(Front front, Submission submission) {
        counters.add(Name.HANDED_IN);
        long wallMicros = clock.wallMicros();
        Message message = new Message(submission, front, wallMicros + submission.budgetMicros());
        Message existing = pendingMessages.get(submission.id());
        if (existing != null
                && (submission.identity() == null || !submission.identity().equals(existing.submission.identity()))) {
            return submission.identity() == null ? resubmitted(existing, front) : rejectConflict(message);
        }
        DuplicateCheckResult<Message, FinalStatus> check = deduplication.check(message, wallMicros);
        if (check instanceof DuplicateCheckResult.PendingDuplicate<Message, FinalStatus> duplicate) {
            return attach(duplicate.pending(), message);
        }
        if (check instanceof DuplicateCheckResult.CompletedDuplicate<Message, FinalStatus> completed) {
            counters.add(Name.TOLD_AGAIN);
            return answerWithoutAccepting(message, completed.finalStatus());
        }
        if (check instanceof DuplicateCheckResult.Conflict<Message, FinalStatus>) {
            return rejectConflict(message);
        }
        FinalStatus earlierStatus =
                submission.identity() == null ? recentlyEnded.find(submission.id(), nowMicros) : null;
        if (earlierStatus != null) {
            counters.add(Name.TOLD_AGAIN);
            return answerWithoutAccepting(message, earlierStatus);
        }
        if (!hasRoom()) {
            reject(message, new FinalStatus(Kind.REFUSED, REJECTED_RETRY_AFTER_MICROS, "no room"));
            return message;
        }
        addPending(message);
        newMessages.add(message);
        events.add(message.toSubmitEvent(nowMicros, wallMicros));
        return message;
    }

    /**
     * Records a message that its front will send by {@link #reopen}. The front hears of it as refused, now and after a
     * restart, until it runs {@code settled}. False if there is no room for it. Event loop.
     */
    public boolean recordOwed(Front front, Submission submission) {
        long wallMicros = clock.wallMicros();
        Message message = new Message(submission, front, wallMicros + submission.budgetMicros());
        if (!journal.recordAccepted(front.name(), submission, message.deadlineWallMicros, wallMicros)) {
            counters.add(Name.JOURNAL_FULL);
            return false;
        }
        counters.add(Name.TAKEN);
        message.isJournaled = true;
        message.isAcceptanceDurable = true;
        message.isFinished = true;
        FinalStatus notSent = FinalStatus.of(Kind.REFUSED);
        journal.recordFinalStatus(message.id(), notSent);
        notifySubmitters(message, notSent);
        return true;
    }

    /**
     * Submits a message again, with the whole time of its class, whose refusal its front has heard and not settled. The
     * front hears the new end in place of the earlier one. False, without effect, while a call of the message is still
     * out or there is no room. Event loop, before the turn's decisions.
     */
    public boolean reopen(Message refused) {
        boolean isCallOut = refused.currentCall != null || answers.isUnconfirmed(refused);
        if (isCallOut || !hasRoom()) {
            return false;
        }
        long wallMicros = clock.wallMicros();
        Submission submission = refused.submission.withDestination(refused.front.destinationOf(refused.submission));
        Message message = new Message(submission, refused.front, wallMicros + submission.budgetMicros());
        message.isJournaled = true;
        message.isAcceptanceDurable = true;
        unsettledCount--;
        addPending(message);
        events.add(message.toSubmitEvent(nowMicros, wallMicros));
        return true;
    }

    private boolean hasRoom() {
        int openMessages = pendingMessages.size() - answers.size();
        return !isShuttingDown && openMessages < settings.limits().maxOpenMessages();
    }

    /** The pending message of an id that its client has submitted again, which may have left before. */
    private static Message resubmitted(Message pending, Front front) {
        DeduplicationTable.Submitter submitter = new DeduplicationTable.Submitter(front, pending.id());
        if (front == pending.front && !pending.submitters.contains(submitter)) {
            pending.submitters.add(submitter);
        }
        return pending;
    }

    /** Attaches a duplicate to its pending message: if identities are shared, its front is notified as well. */
    private Message attach(Message pending, Message duplicate) {
        if (Identity.isShared(pending.submission.identity())
                && !deduplication.attach(pending, duplicate.front, duplicate.id())) {
            return answerWithoutAccepting(
                    duplicate, new FinalStatus(Kind.REFUSED, REJECTED_RETRY_AFTER_MICROS, "already under way"));
        }
        return pending;
    }

    private Message rejectConflict(Message message) {
        counters.add(Name.CLASHES);
        return answerWithoutAccepting(message, FinalStatus.of(Kind.CLASH));
    }

    /** Answers a submission that does not become a message of its own. */
    private static Message answerWithoutAccepting(Message message, FinalStatus finalStatus) {
        message.isFinished = true;
        message.finalStatus = finalStatus;
        message.front.onRejected(message, finalStatus);
        return message;
    }

    /** Runs the task once all journal records written so far are durable. Event loop. */
    public void whenDurable(Runnable consequence) {
        journal.whenDurable(() -> run(consequence));
    }

    /**
     * Removes a submitter whose client left before the acceptance was reported to it. A message without submitters is
     * withdrawn once it is certain that no attempt has run. Until then it goes on as any other, so that it is known
     * again when its client comes back, on whichever port. Event loop.
     */
    public void withdrawSubmitter(Message message, Front front, String id) {
        message.submitters.remove(new DeduplicationTable.Submitter(front, id));
        if (message.isFinished || !message.submitters.isEmpty()) {
            return;
        }
        takeBack(message);
        if (!withdrawIfUnwanted(message)) {
            counters.add(Name.KEPT_WITHOUT_CLIENT);
        }
    }

    /** Withdraws a message that has no submitter and that no endpoint can have run; returns whether it did. */
    private boolean withdrawIfUnwanted(Message message) {
        boolean mayHaveRun = message.mayHaveRun || message.currentCall != null || answers.isUnconfirmed(message);
        if (message.isFinished || !message.submitters.isEmpty() || mayHaveRun) {
            return message.isFinished;
        }
        counters.add(Name.WITHDRAWN);
        events.add(new Event.Withdrawn(message.id()));
        removePending(message);
        journal.recordSettled(message.id());
        return true;
    }

    /** Applies a whole endpoint list or changes to it. Event loop. */
    public void updateEndpoints(DecisionModule.ListingKind kind, long version, List<ListedEndpoint> listed) {
        counters.add(Name.LISTINGS);
        boolean isWhole = kind == DecisionModule.ListingKind.ALL || kind == DecisionModule.ListingKind.REMEMBERED;
        List<ListedEndpoint> allListed = new ArrayList<>(listed);
        Map<String, Call.Endpoint> previous = new HashMap<>(endpoints);
        if (isWhole) {
            allListed.addAll(configuredEndpoints);
            endpoints.clear();
            Map<String, Call.Endpoint> absent = new HashMap<>(previous);
            allListed.forEach(item -> absent.remove(item.entry().host()));
            absent.values().forEach(item -> item.deliverer().closeIdle(item));
        }
        List<DecisionModule.EndpointEntry> entries = new ArrayList<>();
        for (ListedEndpoint item : allListed) {
            entries.add(item.entry());
            endpoints.put(item.entry().host(), item.endpoint());
            Call.Endpoint before = previous.getOrDefault(item.entry().host(), item.endpoint());
            boolean isActive = item.entry().presence() == DecisionModule.Presence.ACTIVE;
            if (!isActive || !before.isSameProcess(item.endpoint())) {
                // No new calls go there, and idle connections would only use resources on both sides.
                before.deliverer().closeIdle(before);
            }
            if (item.entry().presence() == DecisionModule.Presence.LEFT) {
                endpoints.remove(item.entry().host());
            }
        }
        updateActiveEndpoints(allListed, isWhole);
        allListed.forEach(item -> destinationsLastListed.put(item.entry().destination(), nowMicros));
        Set<Integer> servedDestinations = new HashSet<>();
        endpoints.values().forEach(item -> servedDestinations.add(item.destination()));
        destinationsLastListed
                .entrySet()
                .removeIf(d -> !servedDestinations.contains(d.getKey())
                        && d.getValue() < nowMicros - DESTINATION_RETENTION_MICROS);
        events.add(new Event.Listing(kind, version, entries));
        cancelUnsentCalls(); // after the listing event, so that the decision module knows the reason first
    }

    /** Allows requests to be written only to endpoints that are active now. */
    private void updateActiveEndpoints(List<ListedEndpoint> listed, boolean isWhole) {
        if (isWhole) {
            activeEndpoints.replaceAll(listed.stream()
                    .filter(Core::isActive)
                    .map(ListedEndpoint::endpoint)
                    .toList());
            return;
        }
        for (ListedEndpoint item : listed) {
            if (isActive(item)) {
                activeEndpoints.activate(item.endpoint());
            } else {
                activeEndpoints.deactivate(item.endpoint());
            }
        }
    }

    private static boolean isActive(ListedEndpoint listed) {
        return listed.entry().presence() == DecisionModule.Presence.ACTIVE;
    }

    /** Cancels calls to endpoints that are draining or were removed, if no byte of them has been written. */
    private void cancelUnsentCalls() {
        for (Call call : List.copyOf(calls)) {
            if (activeEndpoints.mayReceive(call.endpoint)) {
                continue;
            }
            if (call.isStarted) {
                call.endpoint.deliverer().cancelUnsent(call);
            } else {
                withhold(call);
            }
        }
    }

    private void withhold(Call call) {
        List.copyOf(call.messages)
                .forEach(message -> attemptEnded(call, message, AttemptResult.WITHHELD, 0, false, false));
    }

    /**
     * Reports the end of a message's attempt. Event loop.
     *
     * @param retryAfterMicros retry-after period for the destination, or for the endpoint if it has its own limits; 0:
     *     none
     * @param noSlot it was not sent for want of a free slot
     * @param finished the endpoint reports that the message needs no further attempt and no result
     */
    public void attemptEnded(
            Call call, Message message, AttemptResult result, long retryAfterMicros, boolean noSlot, boolean finished) {
        if (!endAttempt(call, message, result, retryAfterMicros, noSlot, finished)) {
            return;
        }
        if (result == AttemptResult.DELIVERED) {
            finishDelivered(message);
        } else if (finished) {
            finishOver(message);
        } else {
            journal.recordOutcome(message.id(), result.neverRan());
            if (!result.forbidsAttempts()) { // else the decision module ends it, and that is remembered
                withdrawIfUnwanted(message);
            }
        }
    }

    /** Ends a message's attempt for the decision module; returns whether the message is still open. */
    boolean endAttempt(
            Call call, Message message, AttemptResult result, long retryAfterMicros, boolean noSlot, boolean finished) {
        if (message.currentCall != call) {
            return false;
        }
        message.currentCall = null;
        if (--call.pendingOutcomes == 0) {
            deadlines.cancel(call.deadline);
            calls.remove(call);
        }
        counters.addAttemptResult(result.name());
        trace(message, "outcome", result, call);
        if (!result.neverRan()) {
            long sentWallMicros = clock.wallMicros() - (nowMicros - call.startedAtMicros);
            message.markMayHaveRun(call.endpoint.host(), call.endpoint.zone(), sentWallMicros);
        }
        events.add(new Event.Outcome(
                message.id(),
                call.endpoint.host(),
                message.attemptCount - 1,
                result,
                nowMicros - call.startedAtMicros,
                retryAfterMicros,
                noSlot,
                finished || result == AttemptResult.DELIVERED,
                null));
        message.attemptCount -= result == AttemptResult.WITHHELD ? 1 : 0;
        return !message.isFinished;
    }

    /** Ends a message that was delivered. */
    void finishDelivered(Message message) {
        counters.add(Name.DELIVERED);
        finish(message, FinalStatus.of(Kind.DELIVERED));
    }

    /** Ends a message for which nothing more is owed. */
    void finishOver(Message message) {
        finish(message, FinalStatus.of(Kind.GONE));
    }

    /** Ends a message that gets no further attempt; its client is notified. */
    void finishFailed(Message message) {
        finishUndelivered(message.id(), FinalStatus.of(Kind.FAILED));
    }

    /** Returns a message to the decision module, which has ended it, after an attempt that was not delivered. */
    void resubmit(Message message, boolean neverRan) {
        if (!neverRan) {
            message.markLastCallMayHaveRun();
        }
        journal.recordOutcome(message.id(), neverRan);
        message.isResumed = true;
        events.add(message.toSubmitEvent(nowMicros, clock.wallMicros()));
        withdrawIfUnwanted(message);
    }

    /** Reports the end of a probe. Event loop. */
    public void probeEnded(String host, AttemptResult result, long elapsedMicros) {
        events.add(new Event.ProbeEnded(host, result, elapsedMicros, null));
    }

    /**
     * Applies new settings: message classes to messages submitted from now on, the maximum number of attempts to all
     * messages. Event loop.
     */
    public void updateSettings(DecisionModule.Settings newSettings) {
        events.add(new Event.SettingsChanged(newSettings));
    }

    /** Accepts no new messages, and starts no call that could still be in flight at the given time. Event loop. */
    public void beginShutdown(long callDeadlineMicros) {
        isShuttingDown = true;
        events.add(new Event.Stopping(callDeadlineMicros));
    }

    /**
     * True if no message is pending and all submitters are notified, except for the given number of notifications to
     * clients that are not reachable. Event loop.
     */
    public boolean isIdle(int allowedUnsettled) {
        return pendingMessages.isEmpty() && calls.isEmpty() && unsettledCount <= allowedUnsettled;
    }

    /** Stops the event loop after this turn; pending messages stay in the journal. Any thread. */
    public void stop() throws InterruptedException {
        isStopped = true;
        post(() -> {});
        if (thread != null) {
            thread.join();
        }
    }

    // Event loop

    private void loop() {
        while (!isStopped) {
            try {
                long untilMicros = deadlines.earliestOr(nowMicros + MAX_SLEEP_MICROS);
                Runnable first = clock.awaitTask(tasks, untilMicros);
                // Keeps the minimum interval between turns, so that events close together are decided in one batch.
                long earlyMicros = nowMicros + settings.roundMicros() - clock.monotonicMicros();
                if (earlyMicros > 0) {
                    clock.sleep(earlyMicros);
                }
                nowMicros = clock.monotonicMicros();
                run(first);
                run(this::processTurn);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private void run(Runnable task) {
        try {
            if (task != null) {
                task.run();
            }
        } catch (AssertionError e) {
            throw e; // a broken invariant ends the event loop where assertions are enabled
        } catch (RuntimeException | Error e) {
            // A failure with one message, including an OutOfMemoryError, must not affect the others.
            counters.add(Name.TASKS_FAILED);
            Logs.error("", "task-failed", "a task failed: " + e, e);
        }
    }

    private void processTurn() {
        counters.add(Name.TURNS);
        runTasks();
        run(() -> deadlines.runDue(nowMicros));
        if (!events.isEmpty()) {
            List<Event> batch = events;
            events = new ArrayList<>();
            execute(decisionModule.decide(nowMicros, batch));
        }
        recentlyEnded.removeExpired(nowMicros);
        run(() -> journal.maintain(clock.wallMicros()));
    }

    /** Runs the tasks that are queued now, as far as there is time; the others run in the next turn. */
    private void runTasks() {
        long untilMicros = clock.monotonicMicros() + MAX_TASKS_MICROS;
        for (int n = tasks.size(); n > 0; n--) {
            run(tasks.poll());
            if (!isStopped && clock.monotonicMicros() >= untilMicros) {
                return;
            }
        }
    }

    private void execute(List<Action> actions) {
        acceptNewMessages(actions);
        Map<String, Call> starting = new LinkedHashMap<>();
        for (Action action : actions) {
            if (action instanceof Action.Send a) {
                addToCall(a, starting);
                continue;
            }
            run(() -> execute(action));
        }
        starting.values().forEach(this::startCall);
    }

    /** Records this turn's new messages, except those refused or failed in it, and reports their acceptance. */
    private void acceptNewMessages(List<Action> actions) {
        if (newMessages.isEmpty()) {
            return;
        }
        Set<String> finishedIds = new HashSet<>();
        for (Action action : actions) {
            if (action instanceof Action.Refuse a) {
                finishedIds.add(a.id());
            } else if (action instanceof Action.Fail a) {
                finishedIds.add(a.id());
            }
        }
        for (Message message : newMessages) {
            if (message.isFinished || finishedIds.contains(message.id())) {
                continue;
            }
            run(() -> message.isJournaled = journal.recordAccepted(
                    message.front.name(), message.submission, message.deadlineWallMicros, clock.wallMicros()));
            if (message.isJournaled) {
                counters.add(Name.TAKEN);
                trace(message, "taken", "accepted", null);
                rejectSubmitters(deduplication.recordAttached(message), message);
                journal.whenDurable(() -> {
                    message.isAcceptanceDurable = true;
                    submitterFronts(message).forEach(front -> run(() -> front.onAccepted(message)));
                });
            } else {
                counters.add(Name.JOURNAL_FULL);
                events.add(new Event.Withdrawn(message.id()));
                reject(message, new FinalStatus(Kind.REFUSED, REJECTED_RETRY_AFTER_MICROS, "no room on disk"));
            }
        }
        newMessages.clear();
    }

    /** Rejects submitters that were attached to a message but could not be recorded. */
    private void rejectSubmitters(List<DeduplicationTable.Submitter> rejected, Message message) {
        for (DeduplicationTable.Submitter submitter : rejected) {
            run(() -> submitter
                    .front()
                    .onAttachRejected(
                            message,
                            submitter.id(),
                            new FinalStatus(Kind.REFUSED, REJECTED_RETRY_AFTER_MICROS, "no room on disk")));
        }
    }

    private static Set<Front> submitterFronts(Message message) {
        Set<Front> distinctFronts = new LinkedHashSet<>();
        message.submitters.forEach(submitter -> distinctFronts.add(submitter.front()));
        return distinctFronts;
    }

    private void execute(Action action) {
        if (action instanceof Action.Refuse a) {
            finishUndelivered(a.id(), new FinalStatus(Kind.REFUSED, a.comeBackMicros(), ""));
        } else if (action instanceof Action.Fail a) {
            finishUndelivered(a.id(), FinalStatus.of(Kind.FAILED));
        } else if (action instanceof Action.Cancel a) {
            Message message = pendingMessages.get(a.id());
            if (message != null && message.currentCall != null && message.attemptCount - 1 == a.attempt()) {
                abort(message.currentCall);
            }
        } else if (action instanceof Action.CloseIdle a && endpoints.containsKey(a.host())) {
            Call.Endpoint endpoint = endpoints.get(a.host());
            endpoint.deliverer().closeIdle(endpoint);
        } else if (action instanceof Action.Wake a) {
            deadlines.schedule(nowMicros + a.afterMicros(), () -> events.add(new Event.Timer(a.token())));
        } else if (action instanceof Action.Probe a && endpoints.containsKey(a.host())) {
            endpoints.get(a.host()).deliverer().probe(endpoints.get(a.host()));
        } else if (action instanceof Action.Log a) {
            Logs.info("", "module", a.text());
        }
        // Watch and FetchList: the directory is always watched. Tell: there are no other forwarders to notify.
    }

    /**
     * Whether the message must not be refused, which asks its client to submit it again, its identity forgotten: it may
     * have run, and endpoints recognize a repeat for a limited time at the most.
     */
    private static boolean mustNotComeAgain(Message message) {
        DecisionModule.MessageClass definition =
                message.submission.messageClass().definition();
        boolean isHarmless = definition != null && definition.repeat() == DecisionModule.RepeatSafety.SAFE;
        boolean mayHaveRun = message.mayHaveRun || message.currentCall != null;
        return message.submission.identity() != null && mayHaveRun && !isHarmless;
    }

    private void finishUndelivered(String id, FinalStatus finalStatus) {
        Message message = pendingMessages.get(id);
        if (message == null) {
            return;
        }
        Kind kind = finalStatus.kind() == Kind.REFUSED && mustNotComeAgain(message) ? Kind.FAILED : finalStatus.kind();
        FinalStatus withDetail = new FinalStatus(kind, finalStatus.retryAfterMicros(), message.lastResponseText);
        if (message.isJournaled) {
            countUndelivered(message, withDetail.kind());
            counters.checkInvariant(
                    message.isResumed || clock.wallMicros() <= message.deadlineWallMicros + DEADLINE_TOLERANCE_MICROS,
                    message.id() + " ended in time");
            finish(message, withDetail);
        } else {
            reject(message, withDetail);
        }
    }

    private void countUndelivered(Message message, Kind kind) {
        if (kind == Kind.FAILED) {
            counters.add(Name.FAILED);
        } else if (!message.front.retriesRefused()) {
            counters.add(Name.REFUSED);
        }
    }

    /** Writes a debug line for a message; {@code detail} is converted to text only if debug lines are enabled. */
    private static void trace(Message message, String event, Object detail, Call call) {
        if (Logs.isDebug()) {
            String text = detail.toString().toLowerCase(java.util.Locale.ROOT).replace('_', ' ');
            Logs.debug(
                    "",
                    event,
                    text,
                    "message",
                    message.id(),
                    "partner",
                    message.submission.destination(),
                    "endpoint",
                    call == null ? null : call.endpoint.host());
        }
    }

    private void addToCall(Action.Send a, Map<String, Call> starting) {
        Message message = pendingMessages.get(a.id());
        Call.Endpoint endpoint = endpoints.get(a.host());
        boolean isElsewhere =
                message != null && endpoint != null && endpoint.destination() != message.submission.destination();
        if (message == null || endpoint == null || message.currentCall != null || isElsewhere) {
            // No longer pending, as its client has left: the decision module still needs an outcome of the attempt.
            counters.checkInvariant(
                    message == null || message.currentCall == null, a.id() + " has at most one attempt in flight");
            counters.checkInvariant(!isElsewhere, a.id() + " goes to an endpoint of its destination");
            int attempt = message == null ? 0 : message.attemptCount++;
            events.add(new Event.Outcome(
                    a.id(), a.host(), attempt, AttemptResult.NOT_SENT, 0, 0, false, message == null, null));
            return;
        }
        Call call = starting.get(a.host());
        if (call != null && call.messages.size() >= endpoint.maxBatchSize()) {
            startCall(call);
            call = null;
        }
        if (call == null) {
            call = new Call(endpoint, nowMicros);
            starting.put(a.host(), call);
        }
        counters.checkInvariant(endpoint.equals(call.endpoint), a.id() + " has the same endpoint as its call");
        message.attemptCount++;
        call.addMessage(message, a.dropAtMicros(), nowMicros + message.deadlineWallMicros - clock.wallMicros());
        if (endpoint.maxBatchSize() > 1) {
            Call shared = call;
            deadlines.schedule(a.dropAtMicros(), () -> removeFromCall(message, shared));
        }
    }

    /** Removes a message whose attempt has expired from a call that was not sent yet, if others remain in it. */
    private void removeFromCall(Message message, Call call) {
        long previousExpiryMicros = call.expiresAtMicros();
        call.requestRemoval(message);
        if (call.expiresAtMicros() != previousExpiryMicros) {
            deadlines.cancel(call.deadline);
            call.deadline = deadlines.schedule(call.expiresAtMicros(), () -> expire(call));
        }
    }

    /** Starts a call once its attempts are recorded; if they can't be recorded, nothing is sent. */
    private void startCall(Call call) {
        long wallMicros = clock.wallMicros();
        boolean isWritten = true;
        for (Message message : call.messages) {
            isWritten &= journal.recordAttempt(message.id(), call.endpoint.host(), call.endpoint.zone(), wallMicros);
            trace(message, "attempt", "sent", call);
            counters.add(Name.ATTEMPTS);
        }
        calls.add(call);
        if (!isWritten) {
            counters.add(Name.JOURNAL_FULL);
            List.copyOf(call.messages)
                    .forEach(message -> attemptEnded(call, message, AttemptResult.NOT_SENT, 0, false, false));
            return;
        }
        counters.add(Name.CALLS);
        call.deadline = deadlines.schedule(call.expiresAtMicros(), () -> expire(call));
        journal.whenDurable(() -> {
            if (call.pendingOutcomes > 0) { // else it was aborted before its attempts were durable
                call.isStarted = true;
                run(() -> call.endpoint.deliverer().start(call));
            }
        });
    }

    /**
     * Handles the expiry of a call: one that was not sent yet may go on without its expired messages, any other is
     * aborted.
     */
    private void expire(Call call) {
        call.requestRemovalOfExpired(nowMicros);
        if (call.expiresAtMicros() > nowMicros) {
            call.deadline = deadlines.schedule(call.expiresAtMicros(), () -> expire(call));
        } else {
            abort(call);
        }
    }

    private void abort(Call call) {
        if (call.isStarted) {
            call.endpoint.deliverer().abort(call);
        } else {
            List.copyOf(call.messages)
                    .forEach(message -> attemptEnded(call, message, AttemptResult.NOT_SENT, 0, false, false));
        }
    }

    // Messages

    private void addPending(Message message) {
        pendingMessages.put(message.id(), message);
        deduplication.addPending(message);
    }

    private void removePending(Message message) {
        message.isFinished = true;
        pendingMessages.remove(message.id());
        deduplication.removePending(message);
    }

    private void reject(Message message, FinalStatus finalStatus) {
        counters.add(Name.TURNED_DOWN);
        rememberEnd(message, finalStatus);
        removePending(message);
        message.finalStatus = finalStatus;
        submitterFronts(message).forEach(front -> run(() -> front.onRejected(message, finalStatus)));
    }

    private void rememberEnd(Message message, FinalStatus finalStatus) {
        if (message.submission.identity() == null) {
            recentlyEnded.add(message.id(), finalStatus, nowMicros);
        }
    }

    private void finish(Message message, FinalStatus finalStatus) {
        removePending(message);
        trace(message, "ended", finalStatus.kind(), null);
        deduplication.recordCompleted(message, finalStatus, clock.wallMicros());
        rememberEnd(message, finalStatus);
        boolean needsNotification = finalStatus.kind() != Kind.DELIVERED && finalStatus.kind() != Kind.GONE;
        // With a shared identity, a client that is away may have to be notified of the delivery as well.
        if (needsNotification || Identity.isShared(message.submission.identity())) {
            journal.recordFinalStatus(message.id(), finalStatus, bodyForNotification(message));
        }
        takeBack(message);
        notifySubmitters(message, finalStatus);
    }

    /** Takes a message that has ended out of its call, as far as no byte of that call has been written. */
    private void takeBack(Message message) {
        Call call = message.currentCall;
        if (call == null) {
            return;
        }
        if (!call.isStarted) {
            attemptEnded(call, message, AttemptResult.WITHHELD, 0, false, false);
            call.removeMessage(message);
        } else if (call.messages.size() > 1) {
            removeFromCall(message, call);
        } else {
            call.endpoint.deliverer().cancelUnsent(call);
        }
    }

    /** The longest part of the body that one of the submitters' fronts needs. */
    private static byte[] bodyForNotification(Message message) {
        byte[] longest = new byte[0];
        for (Front front : submitterFronts(message)) {
            byte[] needed = front.bodyForNotification(message.submission);
            longest = needed.length > longest.length ? needed : longest;
        }
        return longest;
    }

    private void notifySubmitters(Message message, FinalStatus finalStatus) {
        String id = message.id(); // the message with its body must not be retained until it is settled
        message.finalStatus = finalStatus;
        if (message.submitters.isEmpty()) {
            journal.recordSettled(id);
            return;
        }
        int[] unsettled = {message.submitters.size()};
        for (DeduplicationTable.Submitter submitter : message.submitters) {
            unsettledCount++;
            journal.whenDurable(() ->
                    run(() -> submitter.front().onFinalStatus(message, submitter.id(), finalStatus, () -> {
                        unsettledCount--;
                        if (--unsettled[0] == 0) {
                            journal.recordSettled(id);
                        }
                    })));
        }
    }
}
