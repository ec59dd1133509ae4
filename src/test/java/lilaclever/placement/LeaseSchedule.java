package lilaclever.placement;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.function.Function;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * One random schedule of a controller and three members in true time: messages are lost, duplicated, delayed and
 * reordered, clocks run at different rates and step back, processes are cut off, restarted (with and without proof
 * that the earlier one has ended) and leave. Times are drawn near the ends of leases. Each step checks that no two
 * processes may send for a shard, not even while a stalled writer finishes, and that calls start in the order of their
 * epochs. The seed determines the whole schedule.
 */
final class LeaseSchedule {
    /** The rules under test: the correct ones, or a faulty variant that the checks have to detect. */
    record Variant(
            Function<LeaseTiming, LeaseGuards> guards,
            Function<LeaseTiming, LeaseTiming> controllerTiming,
            double driftFactor) {
        static final Variant CORRECT = new Variant(LeaseGuards::new, timing -> timing, 1);
    }

    /** A broken rule and the time at which it was broken. */
    record Breach(Kind kind, int shard, long atMicros, String detail) {
        enum Kind {
            TWO_MAY_SEND,
            SEND_DURING_ANOTHERS_WRITE,
            CALL_WITH_OLDER_EPOCH,
            GRANT_WITHOUT_NEWER_EPOCH
        }
    }

    /** Counts of what the schedule did, to detect a schedule without content. */
    record Coverage(
            long messages,
            long lost,
            long grants,
            long calls,
            long refusedOlderEpoch,
            long expirations,
            long handovers) {
        static final Coverage NONE = new Coverage(0, 0, 0, 0, 0, 0, 0);

        Coverage plus(Coverage other) {
            return new Coverage(
                    messages + other.messages,
                    lost + other.lost,
                    grants + other.grants,
                    calls + other.calls,
                    refusedOlderEpoch + other.refusedOlderEpoch,
                    expirations + other.expirations,
                    handovers + other.handovers);
        }
    }

    static final LeaseTiming TIMING = new LeaseTiming(2_000_000, 10_000_000, 0.002, 300_000);
    private static final int MEMBERS = 3;
    private static final int SHARDS = 4;
    private static final long DURATION_MICROS = 240_000_000;
    private static final long MAX_STEP_BACK_MICROS = 3_000_000;

    private final UniformRandomProvider random;
    private final Variant variant;
    private final double lossProbability;
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final PlacementController controller;
    private final Clock controllerClock;
    private final List<Process> processes = new ArrayList<>();
    private final Process[] currentProcesses = new Process[MEMBERS];
    private final long[] cutOffUntilMicros = new long[MEMBERS];
    private final Process[] lastCallers = new Process[SHARDS];
    private final long[] maxGrantedEpochs = new long[SHARDS];
    private final long[] maxStartedEpochs = new long[SHARDS];
    private final List<Write> writes = new ArrayList<>();
    private long trueMicros;
    private long eventNumber;
    private Breach breach;

    private long messages;
    private long lost;
    private long grants;
    private long calls;
    private long refusedOlderEpoch;
    private long expirations;
    private long handovers;

    private record Event(long atMicros, long number, Runnable action) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            int byTime = Long.compare(atMicros, other.atMicros);
            return byTime != 0 ? byTime : Long.compare(number, other.number);
        }
    }

    private record Write(Process writer, int shard, long endMicros) {}

    /** A monotonic clock that is fast or slow and may step back. */
    private final class Clock {
        private final double rate;
        private long offsetMicros;

        Clock(double rate) {
            this.rate = rate;
        }

        long nowMicros() {
            return offsetMicros + (long) (trueMicros * rate);
        }

        void stepBack(long micros) {
            offsetMicros -= micros;
        }

        /** True time that passes while the clock advances by the given time. */
        long trueMicrosOf(long clockMicros) {
            return (long) Math.ceil(clockMicros / rate);
        }
    }

    /** One process run of a member. */
    private final class Process {
        final MemberId member;
        final long incarnation;
        final boolean previousProcessEnded;
        final Clock clock = newClock();
        final LeaseHolder holder;
        boolean ended;
        boolean leaving;

        Process(MemberId member, long incarnation, boolean previousProcessEnded) {
            this.member = member;
            this.incarnation = incarnation;
            this.previousProcessEnded = previousProcessEnded;
            this.holder = new LeaseHolder(
                    member, incarnation, TIMING, variant.guards().apply(TIMING));
        }

        boolean maySend(int shard) {
            return !ended && holder.maySend(shard, clock.nowMicros()) instanceof SendPermission.Permitted;
        }
    }

    LeaseSchedule(long seed, Variant variant) {
        this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        this.variant = variant;
        this.lossProbability = random.nextInt(3) * 0.15;
        this.controllerClock = newClock();
        LeaseTiming timing = variant.controllerTiming().apply(TIMING);
        this.controller = new PlacementController(new ControllerSettings(0, SHARDS, 2, 1.5, timing, 1000));
    }

    /** Runs the schedule to its end or to the first breach. */
    Optional<Breach> run() {
        for (int member = 0; member < MEMBERS; member++) {
            int number = member;
            schedule(random.nextInt(3_000_000), () -> start(number, true));
            schedule(3_000_000 + random.nextInt(20_000_000), () -> injectFault(number));
        }
        schedule(random.nextInt(30_000_000), this::stepControllerClock);
        scheduleAdvance();
        while (breach == null && !events.isEmpty() && events.peek().atMicros() <= DURATION_MICROS) {
            Event event = events.poll();
            trueMicros = event.atMicros();
            event.action().run();
            checkPermissions();
        }
        return Optional.ofNullable(breach);
    }

    Coverage coverage() {
        return new Coverage(messages, lost, grants, calls, refusedOlderEpoch, expirations, handovers);
    }

    private Clock newClock() {
        double halfDrift = TIMING.maxDrift() / 2 * variant.driftFactor();
        int[] choices = {-1, 0, 1};
        return new Clock(1 + halfDrift * choices[random.nextInt(choices.length)]);
    }

    private void schedule(long delayMicros, Runnable action) {
        events.add(new Event(trueMicros + delayMicros, eventNumber++, action));
    }

    // Processes

    private void start(int member, boolean previousProcessEnded) {
        Process previous = currentProcesses[member];
        long incarnation = previous == null ? 1 : previous.incarnation + 1;
        if (previousProcessEnded) {
            endAllProcesses(member);
        }
        Process process = new Process(new MemberId(member), incarnation, previousProcessEnded);
        currentProcesses[member] = process;
        processes.add(process);
        register(process);
        sendHeartbeat(process);
        schedule(random.nextInt(2_000_000), () -> tryCall(process));
    }

    /** Proof that the previous process has ended covers all before it: they held the same lock in turn. */
    private void endAllProcesses(int member) {
        for (Process process : processes) {
            if (process.member.number() == member) {
                process.ended = true;
            }
        }
    }

    private void register(Process process) {
        send(
                process,
                new ControllerCommand.Register(
                        process.member,
                        process.incarnation,
                        process.member.number() % 2,
                        1,
                        process.previousProcessEnded));
    }

    private void sendHeartbeat(Process process) {
        if (process.ended) {
            return;
        }
        if (process.holder.appliedRevision() == 0) {
            register(process);
        }
        send(process, process.holder.heartbeat(process.clock.nowMicros()));
        if (process.leaving) {
            send(process, new ControllerCommand.Leave(process.member, process.incarnation));
        }
        schedule(process.clock.trueMicrosOf(TIMING.heartbeatMicros()), () -> sendHeartbeat(process));
    }

    /** Injects a fault into a member and schedules the next one. */
    private void injectFault(int member) {
        Process process = currentProcesses[member];
        switch (random.nextInt(6)) {
            case 0 -> start(member, true);
            case 1 -> start(member, false);
            case 2 -> cutOffUntilMicros[member] = trueMicros + random.nextInt(25_000_000);
            case 3 -> process.leaving = true;
            case 4 -> stepBack(process);
            default -> process.ended = true;
        }
        if (process.ended && currentProcesses[member] == process) {
            schedule(random.nextInt(30_000_000), () -> start(member, random.nextBoolean()));
        }
        schedule(random.nextInt(40_000_000), () -> injectFault(member));
    }

    /** Reads the clock just before: a step hidden between two readings would be drift beyond the bound. */
    private void stepBack(Process process) {
        process.maySend(0);
        process.clock.stepBack(random.nextInt((int) MAX_STEP_BACK_MICROS));
    }

    private void stepControllerClock() {
        controllerClock.stepBack(random.nextInt((int) MAX_STEP_BACK_MICROS));
        schedule(random.nextInt(60_000_000), this::stepControllerClock);
    }

    // Calls

    /** Requests a permission and uses it at once, much later, or just before it expires. */
    private void tryCall(Process process) {
        if (process.ended) {
            return;
        }
        int shard = random.nextInt(SHARDS);
        long nowMicros = process.clock.nowMicros();
        if (process.holder.maySend(shard, nowMicros) instanceof SendPermission.Permitted permitted) {
            long remainingMicros = Math.max(0, permitted.untilMicros() - 1 - nowMicros);
            long[] waitChoices = {0, remainingMicros, random.nextInt((int) (3 * TIMING.leaseMicros()))};
            long waitMicros = process.clock.trueMicrosOf(waitChoices[random.nextInt(waitChoices.length)]);
            schedule(waitMicros, () -> startCall(process, shard, permitted.epoch()));
            // Uses the same permission again long after, as a queued message would.
            schedule(
                    random.nextInt((int) (8 * TIMING.leaseMicros())),
                    () -> startCall(process, shard, permitted.epoch()));
        }
        schedule(random.nextInt(2_000_000), () -> tryCall(process));
    }

    private void startCall(Process process, int shard, long epoch) {
        if (process.ended) {
            return;
        }
        HolderResult result = process.holder.callStarted(shard, epoch, process.clock.nowMicros());
        if (result == HolderResult.OLDER_EPOCH) {
            refusedOlderEpoch++;
        }
        if (result != HolderResult.APPLIED) {
            return;
        }
        calls++;
        if (epoch < maxStartedEpochs[shard]) {
            reportBreach(Breach.Kind.CALL_WITH_OLDER_EPOCH, shard, process + " after " + maxStartedEpochs[shard]);
        }
        maxStartedEpochs[shard] = Math.max(maxStartedEpochs[shard], epoch);
        if (lastCallers[shard] != null && lastCallers[shard] != process) {
            handovers++;
        }
        lastCallers[shard] = process;
        // A writer may stall after its check for less than the two margins together.
        long stallMicros = random.nextBoolean() ? 2 * TIMING.marginMicros() - 1 : random.nextInt(100_000);
        long writeEndMicros = trueMicros + process.clock.trueMicrosOf(stallMicros) - 1;
        writes.add(new Write(process, shard, writeEndMicros));
        long answerDelayMicros = process.clock.trueMicrosOf(stallMicros) + random.nextInt(3_000_000);
        schedule(answerDelayMicros, () -> finishCall(process, shard, epoch));
    }

    private void finishCall(Process process, int shard, long epoch) {
        if (!process.ended) {
            process.holder.callFinished(shard, epoch);
            sendReleases(process);
        }
    }

    // Messages

    private void send(Process process, ControllerCommand command) {
        deliver(process.member.number(), () -> apply(command));
    }

    private void apply(ControllerCommand command) {
        for (ControllerEvent event : controller.apply(command, controllerClock.nowMicros())) {
            dispatch(event);
        }
        scheduleAdvance();
    }

    private void scheduleAdvance() {
        long dueMicros = controller.nextDueMicros();
        if (dueMicros != Long.MAX_VALUE) {
            long waitMicros = Math.max(0, dueMicros - controllerClock.nowMicros());
            schedule(controllerClock.trueMicrosOf(waitMicros), this::advance);
        }
    }

    private void advance() {
        if (controller.nextDueMicros() <= controllerClock.nowMicros()) {
            apply(new ControllerCommand.AdvanceTime());
        }
    }

    private void dispatch(ControllerEvent event) {
        if (event instanceof ControllerEvent.LeaseRenewed renewed) {
            toMember(
                    renewed.member(),
                    renewed.incarnation(),
                    process -> process.holder.leaseRenewed(renewed, process.clock.nowMicros()));
        } else if (event instanceof ControllerEvent.AssignmentChanged changed) {
            checkGrants(changed);
            toMember(changed.member(), changed.incarnation(), process -> {
                process.holder.assignmentChanged(changed);
                sendReleases(process);
            });
        } else if (event instanceof ControllerEvent.MapChanged changed) {
            for (MapDelta.OwnerChange change : changed.delta().changes()) {
                ownerChanged(change);
            }
        } else if (event instanceof ControllerEvent.MemberExpired) {
            expirations++;
        } else if (event instanceof ControllerEvent.LeaveCompleted left) {
            toMember(left.member(), left.incarnation(), this::endAndRestart);
        } else if (event instanceof ControllerEvent.CommandRejected rejected
                && rejected.reason() == RejectionReason.UNKNOWN_MEMBER
                && rejected.command() instanceof ControllerCommand.Heartbeat heartbeat) {
            toMember(heartbeat.member(), heartbeat.incarnation(), this::endAndRestart);
        }
    }

    private void ownerChanged(MapDelta.OwnerChange change) {
        for (int member = 0; member < MEMBERS; member++) {
            int number = member;
            deliver(number, () -> {
                Process process = currentProcesses[number];
                if (process != null && !process.ended) {
                    process.holder.ownerChanged(change);
                    sendReleases(process);
                }
            });
        }
    }

    private void checkGrants(ControllerEvent.AssignmentChanged changed) {
        if (changed.full()) {
            changed.granted()
                    .forEach(grant ->
                            maxGrantedEpochs[grant.shard()] = Math.max(maxGrantedEpochs[grant.shard()], grant.epoch()));
            return;
        }
        for (ShardGrant grant : changed.granted()) {
            grants++;
            if (grant.epoch() <= maxGrantedEpochs[grant.shard()]) {
                reportBreach(Breach.Kind.GRANT_WITHOUT_NEWER_EPOCH, grant.shard(), changed.toString());
            }
            maxGrantedEpochs[grant.shard()] = grant.epoch();
        }
    }

    private void endAndRestart(Process process) {
        if (currentProcesses[process.member.number()] == process) {
            process.ended = true;
            schedule(random.nextInt(5_000_000), () -> {
                if (currentProcesses[process.member.number()] == process) {
                    start(process.member.number(), true);
                }
            });
        }
    }

    private void sendReleases(Process process) {
        process.holder.takeRelease().ifPresent(release -> send(process, release));
    }

    private interface ProcessAction {
        void run(Process process);
    }

    private void toMember(MemberId member, long incarnation, ProcessAction action) {
        deliver(member.number(), () -> {
            for (Process process : processes) {
                boolean addressed = process.member.equals(member) && process.incarnation == incarnation;
                if (addressed && !process.ended) {
                    action.run(process);
                }
            }
        });
    }

    /** Delivers a message once, twice or not at all. */
    private void deliver(int member, Runnable delivery) {
        messages++;
        boolean cutOff = trueMicros < cutOffUntilMicros[member];
        if (cutOff || random.nextDouble() < lossProbability) {
            lost++;
            return;
        }
        schedule(randomDelayMicros(), delivery);
        if (random.nextInt(10) == 0) {
            schedule(randomDelayMicros(), delivery);
        }
    }

    private long randomDelayMicros() {
        return switch (random.nextInt(10)) {
            case 0 -> random.nextInt((int) (1.5 * TIMING.leaseMicros()));
            case 1, 2 -> random.nextInt(1_000_000);
            case 3, 4, 5 -> random.nextInt(20_000);
            default -> 0;
        };
    }

    // Checks

    private void checkPermissions() {
        writes.removeIf(write -> write.endMicros() < trueMicros);
        for (int shard = 0; shard < SHARDS; shard++) {
            Process sender = null;
            for (Process process : processes) {
                if (!process.maySend(shard)) {
                    continue;
                }
                if (sender != null) {
                    reportBreach(Breach.Kind.TWO_MAY_SEND, shard, sender.member + " and " + process.member);
                }
                sender = process;
            }
            checkWrites(shard, sender);
        }
    }

    private void checkWrites(int shard, Process sender) {
        for (Write write : writes) {
            if (sender != null && write.shard() == shard && write.writer() != sender && !write.writer().ended) {
                reportBreach(
                        Breach.Kind.SEND_DURING_ANOTHERS_WRITE,
                        shard,
                        write.writer().member + " writes until " + write.endMicros() + ", " + sender.member
                                + " may send");
            }
        }
    }

    private void reportBreach(Breach.Kind kind, int shard, String detail) {
        if (breach == null) {
            breach = new Breach(kind, shard, trueMicros, detail);
        }
    }
}
