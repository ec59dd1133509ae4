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
import lilaclever.DecisionModule.Ending;
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
    /** Retry advice for submissions rejected without asking the decision module: no room, or shutting down. */
    private static final long COME_BACK = 1_000_000;

    private static final long LONGEST_SLEEP = 1_000_000;
    private static final long REMEMBER_DESTINATION = 60_000_000;
    /** A final status later than this after a message's deadline breaks an invariant. */
    private static final long OVERDUE = 250_000;

    private static final long WALL_AT_START = System.currentTimeMillis() * 1000 - monotonicMicros();

    /** An endpoint as listed by the directory: its entry for the decision module, and how to reach it. */
    public record ListedEndpoint(DecisionModule.Entry entry, Call.Endpoint endpoint) {
        /** The same endpoint with another presence. */
        public ListedEndpoint withPresence(DecisionModule.Presence presence) {
            return new ListedEndpoint(
                    new DecisionModule.Entry(
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
    private final DecisionModule relay;
    private final Journal journal;
    private final Counters counters;
    private final Deadlines deadlines = new Deadlines();
    private final LinkedBlockingQueue<Runnable> ready = new LinkedBlockingQueue<>();
    private final Map<String, Front> fronts = new HashMap<>();
    private final Map<String, Message> held = new LinkedHashMap<>();
    private final DeduplicationTable claims;
    private final Map<String, Call.Endpoint> endpoints = new HashMap<>();
    private final ActiveEndpoints activeEndpoints = new ActiveEndpoints();
    /** When each destination was last listed: one that has no endpoint now may get one soon. */
    private final Map<Integer, Long> destinations = new HashMap<>();
    /** Endpoints from the program's own configuration, which no directory lists. */
    private final List<ListedEndpoint> fixed = new ArrayList<>();

    private final Set<Call> calls = new HashSet<>();
    private final List<Message> fresh = new ArrayList<>();
    private List<Event> events = new ArrayList<>();
    private Thread thread;
    private volatile boolean ended;
    private boolean closing;
    private int unsettled;
    private final Clock clock;
    private long now;

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
        this.now = clock.monotonicMicros();
        this.settings = settings;
        this.relay = DecisionModule.create(settings, seed);
        this.journal = journal;
        this.counters = counters;
        this.claims = new DeduplicationTable(windows, journal, counters);
        counters.entryGauge("held", held::size);
        counters.entryGauge("endpoints", endpoints::size);
        counters.entryGauge("destinations", destinations::size);
        counters.entryGauge("calls", calls::size);
        counters.entryGauge("deadlines", deadlines::size);
        counters.entryGauge("owed", () -> journal.pendingMessages().size());
        counters.entryGauge("remembered", journal::rememberedCount);
        journal.setLoop(this::post);
    }

    // Public API

    /** Queues a task for the event loop's next turn. Any thread. */
    public void post(Runnable task) {
        ready.add(task);
        clock.taskPosted();
    }

    /** The time of this turn on the monotonic clock, microseconds. */
    public long nowMicros() {
        return now;
    }

    /** The timers of the event loop. */
    public Deadlines deadlines() {
        return deadlines;
    }

    public Counters counters() {
        return counters;
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
        return WALL_AT_START + monotonicMicros();
    }

    /** Adds a front; before {@link #start}. */
    public void add(Front front) {
        fronts.put(front.name(), front);
    }

    /** Adds an endpoint of our own configuration; before {@link #start}. */
    public void add(ListedEndpoint own) {
        fixed.add(own);
        endpoints.put(own.entry().host(), own.endpoint());
        activeEndpoints.activate(own.endpoint());
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
        now = clock.monotonicMicros();
        updateEndpoints(DecisionModule.ListingKind.REMEMBERED, version, known);
        long wall = clock.wallMicros();
        for (PendingMessage e : List.copyOf(journal.pendingMessages())) {
            resume(e, wall);
        }
        turn();
    }

    /** When the next turn is due: with a queued task after the minimum interval, else at the next deadline. */
    public long nextTurnMicros() {
        return ready.isEmpty() ? deadlines.earliestOr(now + LONGEST_SLEEP) : now + settings.roundMicros();
    }

    /** Runs one turn on the calling thread. */
    public void runTurn() {
        now = clock.monotonicMicros();
        run(this::turn);
    }

    private void resume(PendingMessage e, long wall) {
        Front front = fronts.get(e.front());
        Message m = new Message(e.submission(), front, e.deadlineWallMicros());
        if (front == null) {
            Logs.error("", "no-front", "cannot answer for " + m.id() + ": no front " + e.front(), "message", m.id());
            journal.recordSettled(m.id());
            return;
        }
        counters.add(Name.RESUMED);
        m.isJournaled = true;
        m.isAcceptanceDurable = true;
        m.isResumed = true;
        for (PendingMessage.Submitter claim : e.attachedSubmitters()) {
            if (fronts.containsKey(claim.front())) {
                m.submitters.add(new DeduplicationTable.Submitter(fronts.get(claim.front()), claim.id()));
            }
        }
        // The process may have been killed after the result was remembered and before the final status was recorded.
        FinalStatus end = e.finalStatus() != null ? e.finalStatus() : claims.earlierEnd(m);
        if (end != null) {
            m.isFinished = true;
            answer(m, end);
            return;
        }
        if (e.isInFlight()) {
            // The call was in flight when the process ended, so the endpoint may have processed it.
            journal.recordOutcome(m.id(), false);
        }
        m.attemptCount = e.attempts();
        if (e.mayHaveRun()) {
            m.markPossiblyRun(e.possibleRunHost(), e.possibleRunZone(), e.possibleRunWallMicros());
        }
        hold(m);
        events.add(m.toSubmitEvent(now, wall));
    }

    /** False if the destination has not been listed for long; true as long as none was ever listed. Event loop. */
    public boolean isKnownDestination(int destination) {
        return destinations.isEmpty() || destinations.containsKey(destination);
    }

    /** Submits a message; the front is notified by the end of the turn. Event loop. */
    public Message submit(Front front, Submission submission) {
        counters.add(Name.HANDED_IN);
        long wall = clock.wallMicros();
        Message m = new Message(submission, front, wall + submission.budgetMicros());
        Message under = held.get(submission.id());
        if (under != null
                && (submission.identity() == null || !submission.identity().equals(under.submission.identity()))) {
            return submission.identity() == null ? under : clash(m);
        }
        DuplicateCheckResult<Message, FinalStatus> ruling = claims.rule(m, wall);
        if (ruling instanceof DuplicateCheckResult.PendingDuplicate<Message, FinalStatus> joins) {
            return join(joins.pending(), m);
        }
        if (ruling instanceof DuplicateCheckResult.CompletedDuplicate<Message, FinalStatus> again) {
            counters.add(Name.TOLD_AGAIN);
            return notHeld(m, again.result());
        }
        if (ruling instanceof DuplicateCheckResult.Conflict<Message, FinalStatus>) {
            return clash(m);
        }
        if (closing || held.size() >= settings.limits().maxOpen()) {
            turnDown(m, new FinalStatus(Kind.REFUSED, COME_BACK, "no room"));
            return m;
        }
        hold(m);
        fresh.add(m);
        events.add(m.toSubmitEvent(now, wall));
        return m;
    }

    /** Attaches a duplicate to its pending message: if identities are shared, its front is notified as well. */
    private Message join(Message held, Message comer) {
        if (Identity.isShared(held.submission.identity()) && !claims.join(held, comer.front, comer.id())) {
            return notHeld(comer, new FinalStatus(Kind.REFUSED, COME_BACK, "already under way"));
        }
        return held;
    }

    private Message clash(Message m) {
        counters.add(Name.CLASHES);
        return notHeld(m, FinalStatus.of(Kind.CLASH));
    }

    /** Answers a submission that does not become a message of its own. */
    private static Message notHeld(Message m, FinalStatus verdict) {
        m.isFinished = true;
        m.finalStatus = verdict;
        m.front.onRejected(m, verdict);
        return m;
    }

    /** Runs the task once all journal records written so far are durable. Event loop. */
    public void whenDurable(Runnable consequence) {
        journal.whenDurable(() -> run(consequence));
    }

    /** Removes a submitter whose client left before the acceptance was reported to it. Event loop. */
    public void withdraw(Message m, Front front, String id) {
        m.submitters.remove(new DeduplicationTable.Submitter(front, id));
        if (!m.isFinished && m.submitters.isEmpty()) {
            counters.add(Name.WITHDRAWN);
            events.add(new Event.Withdrawn(m.id()));
            release(m);
            journal.recordSettled(m.id());
        }
    }

    /** Applies a whole endpoint list or changes to it. Event loop. */
    public void updateEndpoints(DecisionModule.ListingKind kind, long version, List<ListedEndpoint> listed) {
        counters.add(Name.LISTINGS);
        boolean whole = kind == DecisionModule.ListingKind.ALL || kind == DecisionModule.ListingKind.REMEMBERED;
        List<ListedEndpoint> all = new ArrayList<>(listed);
        if (whole) {
            all.addAll(fixed);
            Map<String, Call.Endpoint> old = new HashMap<>(endpoints);
            endpoints.clear();
            all.forEach(x -> old.remove(x.entry().host()));
            old.values().forEach(x -> x.deliverer().closeIdle(x));
        }
        List<DecisionModule.Entry> entries = new ArrayList<>();
        for (ListedEndpoint x : all) {
            entries.add(x.entry());
            Call.Endpoint before = endpoints.put(x.entry().host(), x.endpoint());
            boolean isActive = x.entry().presence() == DecisionModule.Presence.ACTIVE;
            if (!isActive
                    || before != null && !before.address().equals(x.endpoint().address())) {
                // No new calls go there, and idle connections would only use resources on both sides.
                x.endpoint().deliverer().closeIdle(before == null ? x.endpoint() : before);
            }
            if (x.entry().presence() == DecisionModule.Presence.LEFT) {
                endpoints.remove(x.entry().host());
            }
        }
        activate(all, whole);
        all.forEach(x -> destinations.put(x.entry().destination(), now));
        Set<Integer> served = new HashSet<>();
        endpoints.values().forEach(x -> served.add(x.destination()));
        destinations
                .entrySet()
                .removeIf(d -> !served.contains(d.getKey()) && d.getValue() < now - REMEMBER_DESTINATION);
        events.add(new Event.Listing(kind, version, entries));
        withdrawCalls(); // after the listing event, so that the decision module knows the reason first
    }

    /** Allows requests to be written only to endpoints that are active now. */
    private void activate(List<ListedEndpoint> listed, boolean isWhole) {
        if (isWhole) {
            activeEndpoints.replaceAll(
                    listed.stream().filter(Core::isActive).map(ListedEndpoint::endpoint).toList());
            return;
        }
        for (ListedEndpoint each : listed) {
            if (isActive(each)) {
                activeEndpoints.activate(each.endpoint());
            } else {
                activeEndpoints.deactivate(each.endpoint());
            }
        }
    }

    private static boolean isActive(ListedEndpoint listed) {
        return listed.entry().presence() == DecisionModule.Presence.ACTIVE;
    }

    /** Cancels calls to endpoints that are draining or were removed, if no byte of them has been written. */
    private void withdrawCalls() {
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
        List.copyOf(call.messages).forEach(m -> attemptEnded(call, m, Ending.WITHHELD, 0, false, false));
    }

    /**
     * Reports the end of a message's attempt. Event loop.
     *
     * @param waitMicros retry-after period for the destination; 0: none
     * @param noSlot it was not sent for want of a free slot
     * @param over the endpoint reports that the message needs no further attempt and no result
     */
    public void attemptEnded(Call call, Message m, Ending ending, long waitMicros, boolean noSlot, boolean over) {
        if (m.currentCall != call) {
            return;
        }
        m.currentCall = null;
        if (--call.pendingOutcomes == 0) {
            deadlines.cancel(call.deadline);
            calls.remove(call);
        }
        counters.addEnding(ending.name());
        trace(m, "outcome", ending, call);
        if (!ending.neverRan()) {
            m.markPossiblyRun(call.endpoint.host(), call.endpoint.zone(), clock.wallMicros());
        }
        events.add(new Event.Outcome(
                m.id(),
                call.endpoint.host(),
                m.attemptCount - 1,
                ending,
                now - call.startedAtMicros,
                waitMicros,
                noSlot,
                over || ending == Ending.DELIVERED,
                null));
        m.attemptCount -= ending == Ending.WITHHELD ? 1 : 0;
        if (m.isFinished) {
            return;
        }
        if (ending == Ending.DELIVERED) {
            counters.add(Name.DELIVERED);
            end(m, FinalStatus.of(Kind.DELIVERED));
        } else if (over) {
            end(m, FinalStatus.of(Kind.GONE));
        } else {
            journal.recordOutcome(m.id(), ending.neverRan());
        }
    }

    /** Reports the end of a probe. Event loop. */
    public void probeEnded(String host, Ending ending, long elapsedMicros) {
        events.add(new Event.Probed(host, ending, elapsedMicros, null));
    }

    /** Applies new message classes and attempt limits to messages submitted from now on. Event loop. */
    public void updateSettings(DecisionModule.Settings renewed) {
        events.add(new Event.Renewed(renewed));
    }

    /** Accepts no new messages, and starts no call that could still be in flight at the given time. Event loop. */
    public void beginShutdown(long atMicros) {
        closing = true;
        events.add(new Event.Stopping(atMicros));
    }

    /**
     * True if no message is pending and all submitters are notified, except for the given number of notifications to
     * clients that are not reachable. Event loop.
     */
    public boolean isIdle(int away) {
        return held.isEmpty() && calls.isEmpty() && unsettled <= away;
    }

    /** Stops the event loop after this turn; pending messages stay in the journal. Any thread. */
    public void stop() throws InterruptedException {
        ended = true;
        post(() -> {});
        if (thread != null) {
            thread.join();
        }
    }

    // Event loop

    private void loop() {
        while (!ended) {
            try {
                long until = deadlines.earliestOr(now + LONGEST_SLEEP);
                Runnable first = clock.awaitTask(ready, until);
                // Keeps the minimum interval between turns, so that events close together are decided in one batch.
                long early = now + settings.roundMicros() - clock.monotonicMicros();
                if (early > 0) {
                    clock.sleep(early);
                }
                now = clock.monotonicMicros();
                run(first);
                run(this::turn);
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
            throw e; // a broken invariant ends the loop where assertions are enabled
        } catch (RuntimeException | Error e) {
            // A failure with one message, including an OutOfMemoryError, must not affect the others.
            counters.add(Name.TASKS_FAILED);
            Logs.error("", "task-failed", "a task failed: " + e, e);
        }
    }

    private void turn() {
        counters.add(Name.TURNS);
        for (int n = ready.size(); n > 0; n--) {
            run(ready.poll());
        }
        run(() -> deadlines.runDue(now));
        if (!events.isEmpty()) {
            List<Event> batch = events;
            events = new ArrayList<>();
            carryOut(relay.decide(now, batch));
        }
        run(() -> journal.maintain(clock.wallMicros()));
    }

    private void carryOut(List<Action> actions) {
        takeOn(actions);
        Map<String, Call> starting = new LinkedHashMap<>();
        for (Action action : actions) {
            if (action instanceof Action.Send a) {
                send(a, starting);
                continue;
            }
            run(() -> carryOut(action));
        }
        starting.values().forEach(this::start);
    }

    /** Records this turn's new messages, except those that end in the same turn, and reports their acceptance. */
    private void takeOn(List<Action> actions) {
        if (fresh.isEmpty()) {
            return;
        }
        Set<String> endedNow = new HashSet<>();
        for (Action action : actions) {
            if (action instanceof Action.Refuse a) {
                endedNow.add(a.id());
            } else if (action instanceof Action.Fail a) {
                endedNow.add(a.id());
            }
        }
        for (Message m : fresh) {
            if (m.isFinished || endedNow.contains(m.id())) {
                continue;
            }
            run(() -> m.isJournaled = journal.recordAccepted(m.front.name(), m.submission, m.deadlineWallMicros, clock.wallMicros()));
            if (m.isJournaled) {
                counters.add(Name.TAKEN);
                trace(m, "taken", "accepted", null);
                refuse(claims.written(m), m);
                journal.whenDurable(() -> {
                    m.isAcceptanceDurable = true;
                    fronts(m).forEach(front -> run(() -> front.onAccepted(m)));
                });
            } else {
                counters.add(Name.JOURNAL_FULL);
                events.add(new Event.Withdrawn(m.id()));
                turnDown(m, new FinalStatus(Kind.REFUSED, COME_BACK, "no room on disk"));
            }
        }
        fresh.clear();
    }

    /** Rejects submitters that were attached to a message but could not be recorded. */
    private void refuse(List<DeduplicationTable.Submitter> refused, Message m) {
        for (DeduplicationTable.Submitter claim : refused) {
            run(() -> claim.front()
                    .onAttachRejected(m, claim.id(), new FinalStatus(Kind.REFUSED, COME_BACK, "no room on disk")));
        }
    }

    private static Set<Front> fronts(Message m) {
        Set<Front> all = new LinkedHashSet<>();
        m.submitters.forEach(claim -> all.add(claim.front()));
        return all;
    }

    private void carryOut(Action action) {
        if (action instanceof Action.Refuse a) {
            ended(a.id(), new FinalStatus(Kind.REFUSED, a.comeBackMicros(), ""));
        } else if (action instanceof Action.Fail a) {
            ended(a.id(), FinalStatus.of(Kind.FAILED));
        } else if (action instanceof Action.Cancel a) {
            Message m = held.get(a.id());
            if (m != null && m.currentCall != null && m.attemptCount - 1 == a.attempt()) {
                giveUp(m.currentCall);
            }
        } else if (action instanceof Action.CloseIdle a && endpoints.containsKey(a.host())) {
            Call.Endpoint endpoint = endpoints.get(a.host());
            endpoint.deliverer().closeIdle(endpoint);
        } else if (action instanceof Action.Wake a) {
            deadlines.schedule(now + a.afterMicros(), () -> events.add(new Event.Timer(a.token())));
        } else if (action instanceof Action.Probe a && endpoints.containsKey(a.host())) {
            endpoints.get(a.host()).deliverer().probe(endpoints.get(a.host()));
        } else if (action instanceof Action.Log a) {
            Logs.info("", "module", a.text());
        }
        // Watch and FetchList: the directory is always watched. Tell: there are no other forwarders to notify.
    }

    private void ended(String id, FinalStatus verdict) {
        Message m = held.get(id);
        if (m == null) {
            return;
        }
        FinalStatus told = new FinalStatus(verdict.kind(), verdict.retryAfterMicros(), m.lastResponseText);
        if (m.isJournaled) {
            counters.add(told.kind() == Kind.REFUSED ? Name.REFUSED : Name.FAILED);
            counters.checkInvariant(m.isResumed || clock.wallMicros() <= m.deadlineWallMicros + OVERDUE, m.id() + " ended in time");
            end(m, told);
        } else {
            turnDown(m, told);
        }
    }

    /** Writes a debug line for a message; {@code what} is converted to text only if debug lines are enabled. */
    private static void trace(Message m, String event, Object what, Call call) {
        if (Logs.isDebug()) {
            String text = what.toString().toLowerCase(java.util.Locale.ROOT).replace('_', ' ');
            Logs.debug(
                    "",
                    event,
                    text,
                    "message",
                    m.id(),
                    "partner",
                    m.submission.destination(),
                    "endpoint",
                    call == null ? null : call.endpoint.host());
        }
    }

    private void send(Action.Send a, Map<String, Call> starting) {
        Message m = held.get(a.id());
        Call.Endpoint endpoint = endpoints.get(a.host());
        boolean isElsewhere = m != null && endpoint != null && endpoint.destination() != m.submission.destination();
        if (m == null || endpoint == null || m.currentCall != null || isElsewhere) {
            // No longer pending, as its client has left: the decision module still needs an outcome of the attempt.
            counters.checkInvariant(m == null || m.currentCall == null, a.id() + " has at most one attempt in flight");
            counters.checkInvariant(!isElsewhere, a.id() + " goes to an endpoint of its destination");
            int attempt = m == null ? 0 : m.attemptCount++;
            events.add(new Event.Outcome(a.id(), a.host(), attempt, Ending.NOT_SENT, 0, 0, false, m == null, null));
            return;
        }
        Call call = starting.get(a.host());
        if (call != null && call.messages.size() >= endpoint.maxMessagesPerCall()) {
            start(call);
            call = null;
        }
        if (call == null) {
            call = new Call(endpoint, now);
            starting.put(a.host(), call);
        }
        counters.checkInvariant(endpoint.equals(call.endpoint), a.id() + " has the same endpoint as its call");
        m.attemptCount++;
        call.addMessage(m, a.dropAtMicros(), now + m.deadlineWallMicros - clock.wallMicros());
        if (endpoint.maxMessagesPerCall() > 1) {
            Call shared = call;
            deadlines.schedule(a.dropAtMicros(), () -> leave(m, shared));
        }
    }

    /** Removes a message whose attempt has expired from a call that was not sent yet, if others remain in it. */
    private void leave(Message m, Call call) {
        long before = call.expiresAtMicros();
        call.requestRemoval(m);
        if (call.expiresAtMicros() != before) {
            deadlines.cancel(call.deadline);
            call.deadline = deadlines.schedule(call.expiresAtMicros(), () -> expire(call));
        }
    }

    /** Starts a call once its attempts are recorded; if they can't be recorded, nothing is sent. */
    private void start(Call call) {
        long wall = clock.wallMicros();
        boolean written = true;
        for (Message m : call.messages) {
            written &= journal.recordAttempt(m.id(), call.endpoint.host(), call.endpoint.zone(), wall);
            trace(m, "attempt", "sent", call);
            counters.add(Name.ATTEMPTS);
        }
        calls.add(call);
        if (!written) {
            counters.add(Name.JOURNAL_FULL);
            List.copyOf(call.messages).forEach(m -> attemptEnded(call, m, Ending.NOT_SENT, 0, false, false));
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
        call.requestRemovalOfExpired(now);
        if (call.expiresAtMicros() > now) {
            call.deadline = deadlines.schedule(call.expiresAtMicros(), () -> expire(call));
        } else {
            giveUp(call);
        }
    }

    private void giveUp(Call call) {
        if (call.isStarted) {
            call.endpoint.deliverer().abort(call);
        } else {
            List.copyOf(call.messages).forEach(m -> attemptEnded(call, m, Ending.NOT_SENT, 0, false, false));
        }
    }

    // Messages

    private void hold(Message m) {
        held.put(m.id(), m);
        claims.hold(m);
    }

    private void release(Message m) {
        m.isFinished = true;
        held.remove(m.id());
        claims.release(m);
    }

    private void turnDown(Message m, FinalStatus verdict) {
        counters.add(Name.TURNED_DOWN);
        release(m);
        m.finalStatus = verdict;
        fronts(m).forEach(front -> run(() -> front.onRejected(m, verdict)));
    }

    private void end(Message m, FinalStatus verdict) {
        release(m);
        trace(m, "ended", verdict.kind(), null);
        claims.ended(m, verdict, clock.wallMicros());
        boolean told = verdict.kind() != Kind.DELIVERED && verdict.kind() != Kind.GONE;
        if (told
                || Identity.isShared(
                        m.submission.identity())) { // a client that is away may have to be notified of the delivery
            journal.recordFinalStatus(m.id(), verdict);
        }
        if (m.currentCall != null) {
            leave(m, m.currentCall);
        }
        answer(m, verdict);
    }

    private void answer(Message m, FinalStatus verdict) {
        m.finalStatus = verdict;
        if (m.submitters.isEmpty()) {
            journal.recordSettled(m.id());
            return;
        }
        int[] open = {m.submitters.size()};
        for (DeduplicationTable.Submitter claim : m.submitters) {
            unsettled++;
            journal.whenDurable(() -> run(() -> claim.front().onFinalStatus(m, claim.id(), verdict, () -> {
                unsettled--;
                if (--open[0] == 0) {
                    journal.recordSettled(m.id());
                }
            })));
        }
    }
}
