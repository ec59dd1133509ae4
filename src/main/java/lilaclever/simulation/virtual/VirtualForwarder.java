package lilaclever.simulation.virtual;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.BlockingQueue;
import lilaclever.DecisionModule;
import lilaclever.identity.IdempotencyWindows;
import lilaclever.journal.BootClock;
import lilaclever.journal.Durability;
import lilaclever.journal.JournalClocks;
import lilaclever.journal.SegmentedJournal;
import lilaclever.protocol.http.HttpFront;
import lilaclever.routing.Call;
import lilaclever.routing.Clock;
import lilaclever.routing.Core;
import lilaclever.routing.Counters;
import lilaclever.routing.FinalStatus;
import lilaclever.routing.Front;
import lilaclever.routing.Message;
import lilaclever.routing.RetryAfterTable;
import lilaclever.routing.Submission;
import lilaclever.simulation.model.Arrival;
import lilaclever.simulation.world.Fault;
import lilaclever.simulation.world.ForwarderHandle;
import lilaclever.simulation.world.World;

/**
 * A forwarder of the fleet in virtual time: the real core with its decision module and journal. Its front and its
 * {@link VirtualDeliverer} use the world's models directly; network transfers are simulated as delays.
 */
final class VirtualForwarder implements ForwarderHandle, Front, Clock {
    /** The wall clock at the start of each rehearsal, 2026-01-01T00:00:00Z; fixed so that runs are reproducible. */
    private static final long START_WALL_MICROS = 1_767_225_600_000_000L;

    /** How long a restarted process takes until it is ready. */
    private static final long RESTART_MICROS = 400_000;

    private final World world;
    private final int number;
    private final DecisionModule.Settings settings;
    private final MemoryDisk disk = new MemoryDisk();
    private final long seed;
    private Core core;
    private Counters counters;
    private SegmentedJournal journal;
    private VirtualDeliverer deliverer;
    /** Incremented by each start and each kill; it identifies tasks of earlier runs and varies the seed. */
    private int processRun;

    private long nextTurnMicros = Long.MAX_VALUE, lastTurnMicros = Long.MIN_VALUE;
    private long earlierBrokenInvariants;

    VirtualForwarder(World world, int number, DecisionModule.Settings settings, long seed) {
        this.world = world;
        this.number = number;
        this.settings = settings;
        this.seed = seed;
    }

    @Override
    public int number() {
        return number;
    }

    @Override
    public boolean isUp() {
        return core != null;
    }

    @Override
    public int pendingCount() {
        return core == null ? 0 : journal.pendingMessages().size();
    }

    /** Task failures and broken invariants, over all process runs. */
    @Override
    public long brokenInvariants() {
        return earlierBrokenInvariants
                + (counters == null
                        ? 0
                        : counters.get(Counters.Name.BROKEN_INVARIANTS) + counters.get(Counters.Name.TASKS_FAILED));
    }

    // Process runs

    @Override
    public void start(List<DecisionModule.EndpointEntry> knownEndpoints, long version, boolean isFirstRun) {
        if (!isFirstRun) {
            runInSameProcessRun(
                    world.nowMicros() + RESTART_MICROS,
                    () -> startProcess(world.endpoints(), world.directoryVersion()));
        } else {
            startProcess(knownEndpoints, version);
        }
    }

    private void startProcess(List<DecisionModule.EndpointEntry> knownEndpoints, long version) {
        try {
            journal = new SegmentedJournal(
                    disk,
                    world.scenario().fleet().diskBytes(),
                    Durability.NONE,
                    new JournalClocks(this::monotonicMicros, this::wallMicros, BootClock.UNKNOWN),
                    new SplittableRandom(seed + processRun));
        } catch (IOException e) {
            throw new IllegalStateException("I/O error of the in-memory disk", e);
        }
        counters = new Counters();
        RetryAfterTable retryAfterTable = new RetryAfterTable();
        counters.entryGauge("waits", retryAfterTable::size);
        processRun++;
        lastTurnMicros = world.nowMicros();
        core = new Core(
                settings,
                seed * 31 + processRun,
                journal,
                counters,
                new IdempotencyWindows(Map.of(), 3_600_000_000L, 100_000),
                this);
        deliverer = new VirtualDeliverer(world, number, settings, core, retryAfterTable);
        core.add(this);
        core.runFirstTurn(knownEndpoints.stream().map(this::listedEndpoint).toList(), version);
        scheduleTurn();
        world.onReady(number);
    }

    @Override
    public void kill() {
        earlierBrokenInvariants = brokenInvariants();
        deliverer.kill();
        deliverer = null;
        core = null;
        counters = null;
        journal = null;
        processRun++;
        nextTurnMicros = Long.MAX_VALUE;
    }

    /** Runs the task at the time unless the process is started or killed in the meantime. */
    private void runInSameProcessRun(long atMicros, Runnable task) {
        int scheduledInRun = processRun;
        world.at(atMicros, () -> {
            if (processRun == scheduledInRun) {
                task.run();
            }
        });
    }

    // Clock and turns

    @Override
    public long monotonicMicros() {
        return world.nowMicros();
    }

    @Override
    public long wallMicros() {
        return START_WALL_MICROS + world.nowMicros();
    }

    @Override
    public Runnable awaitTask(BlockingQueue<Runnable> ready, long untilMicros) {
        throw new IllegalStateException("turns are scheduled on the world's timeline");
    }

    @Override
    public void sleep(long micros) {
        throw new IllegalStateException("turns are scheduled on the world's timeline");
    }

    @Override
    public void taskPosted() {
        if (core != null) {
            scheduleTurn();
        }
    }

    private void scheduleTurn() {
        long dueMicros = Math.max(core.nextTurnMicros(), lastTurnMicros + settings.roundMicros());
        if (dueMicros < nextTurnMicros) {
            nextTurnMicros = dueMicros;
            runInSameProcessRun(dueMicros, () -> runTurn(dueMicros));
        }
    }

    private void runTurn(long atMicros) {
        if (atMicros != nextTurnMicros) {
            return; // an earlier turn was scheduled instead
        }
        nextTurnMicros = Long.MAX_VALUE;
        lastTurnMicros = world.nowMicros();
        core.runTurn();
        scheduleTurn();
    }

    // Front

    @Override
    public String name() {
        return "http";
    }

    @Override
    public void submit(String id, Arrival arrival, long leftMicros) {
        if (core == null) {
            world.onConnectionRefused(id);
            return;
        }
        Submission submission = new Submission(
                id,
                null,
                arrival.messageClass(),
                arrival.destination(),
                "k" + arrival.number(),
                new byte[64],
                false,
                false,
                HttpFront.budgetMicros(leftMicros, 0));
        core.post(() -> {
            if (!core.isKnownDestination(submission.destination())) {
                world.onRejected(submission.id(), 0);
            } else {
                core.submit(this, submission);
            }
        });
    }

    @Override
    public void onAccepted(Message message) {
        world.onAccepted(message.id());
    }

    @Override
    public void onRejected(Message message, FinalStatus result) {
        world.onRejected(message.id(), result.retryAfterMicros());
    }

    @Override
    public void onFinalStatus(Message message, String id, FinalStatus result, Runnable settled) {
        String status = result.kind() == FinalStatus.Kind.REFUSED
                ? "deferred"
                : result.kind() == FinalStatus.Kind.FAILED ? "undeliverable" : null;
        if (status == null || world.fault() == Fault.SILENT) {
            settled.run();
            return;
        }
        runInSameProcessRun(world.nowMicros() + 2 * world.networkDelayMicros(), () -> {
            world.onNotice(id, status);
            if (world.fault() == Fault.ENDS_TWICE) {
                world.onNotice(id, status.equals("deferred") ? "undeliverable" : "deferred");
            }
            core.post(settled);
        });
    }

    // Directory

    @Override
    public void onEndpointsChanged(long version, List<DecisionModule.EndpointEntry> changes) {
        List<Core.ListedEndpoint> entries =
                changes.stream().map(this::listedEndpoint).toList();
        core.post(() -> core.updateEndpoints(DecisionModule.ListingKind.CHANGES, version, entries));
    }

    private Core.ListedEndpoint listedEndpoint(DecisionModule.EndpointEntry entry) {
        return new Core.ListedEndpoint(
                entry,
                new Call.Endpoint(
                        entry.host(),
                        entry.host(),
                        entry.destination(),
                        entry.zone(),
                        settings.kinds().get(entry.kind()).maxBatchSize(),
                        settings.kinds().get(entry.kind()).limitPerEndpoint(),
                        deliverer));
    }
}
