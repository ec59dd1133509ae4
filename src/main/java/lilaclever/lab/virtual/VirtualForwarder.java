package lilaclever.lab.virtual;

import java.io.IOException;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.BlockingQueue;
import lilaclever.DecisionModule;
import lilaclever.identity.IdempotencyWindows;
import lilaclever.journal.BootClock;
import lilaclever.journal.Durability;
import lilaclever.journal.JournalClocks;
import lilaclever.journal.SegmentedJournal;
import lilaclever.lab.model.Arrival;
import lilaclever.lab.world.Fault;
import lilaclever.lab.world.ForwarderHandle;
import lilaclever.lab.world.World;
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

/**
 * One forwarder of the fleet: the real core with its module and its journal, in virtual time. Its front reaches the
 * world's models directly, and so does its {@link VirtualDeliverer}; what a wire would take is time here.
 */
final class VirtualForwarder implements ForwarderHandle, Front, Clock {
    /** The wall clock when a run begins: any day will do, and it is the same in each run. */
    private static final long WALL = 1_767_225_600_000_000L;

    /** How long a process takes to serve. */
    private static final long START = 400_000;

    private final World world;
    private final int number;
    private final DecisionModule.Settings settings;
    private final MemoryDisk disk = new MemoryDisk();
    private final long seed;
    private Core core;
    private Counters counters;
    private SegmentedJournal journal;
    private VirtualDeliverer deliverer;
    private int life;
    private long stepAt = Long.MAX_VALUE, lastStep = Long.MIN_VALUE;
    private long brokenBefore;

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
    public int held() {
        return core == null ? 0 : journal.owed().size();
    }

    /** Task failures and invariants broken, over all lives. */
    @Override
    public long broken() {
        return brokenBefore
                + (counters == null
                        ? 0
                        : counters.get(Counters.Name.BROKEN_INVARIANTS) + counters.get(Counters.Name.TASKS_FAILED));
    }

    // ---- lives ------------------------------------------------------------------------------------------
    @Override
    public void start(List<DecisionModule.Entry> known, long version, boolean first) {
        if (!first) {
            later(world.now() + START, () -> begin(world.endpoints(), world.directoryVersion()));
        } else {
            begin(known, version);
        }
    }

    private void begin(List<DecisionModule.Entry> known, long version) {
        try {
            journal = new SegmentedJournal(
                    disk,
                    world.scenario().fleet().diskBytes(),
                    Durability.NONE,
                    new JournalClocks(this::micros, this::wall, BootClock.UNKNOWN),
                    new SplittableRandom(seed + life));
        } catch (IOException e) {
            throw new IllegalStateException("a disk in memory", e);
        }
        counters = new Counters();
        RetryAfterTable waits = new RetryAfterTable();
        counters.gauge("waits", waits::size);
        life++;
        lastStep = world.now();
        core = new Core(
                settings,
                seed * 31 + life,
                journal,
                counters,
                new IdempotencyWindows(List.of(), 3_600_000_000L, 100_000),
                this);
        deliverer = new VirtualDeliverer(world, number, settings, core, waits);
        core.add(this);
        core.begin(known.stream().map(this::listed).toList(), version);
        schedule();
        world.onReady(number);
    }

    @Override
    public void kill() {
        brokenBefore = broken();
        deliverer.kill();
        deliverer = null;
        core = null;
        counters = null;
        journal = null;
        life++;
        stepAt = Long.MAX_VALUE;
    }

    /** Runs the task if this life goes on then. */
    private void later(long at, Runnable task) {
        int mine = life;
        world.at(at, () -> {
            if (life == mine) {
                task.run();
            }
        });
    }

    // ---- time -------------------------------------------------------------------------------------------
    @Override
    public long micros() {
        return world.now();
    }

    @Override
    public long wall() {
        return WALL + world.now();
    }

    @Override
    public Runnable await(BlockingQueue<Runnable> ready, long untilMicros) {
        throw new IllegalStateException("the world does the loop's part");
    }

    @Override
    public void pause(long micros) {
        throw new IllegalStateException("the world does the loop's part");
    }

    @Override
    public void posted() {
        if (core != null) {
            schedule();
        }
    }

    private void schedule() {
        long due = Math.max(core.due(), lastStep + settings.roundMicros());
        if (due < stepAt) {
            stepAt = due;
            later(due, () -> step(due));
        }
    }

    private void step(long at) {
        if (at != stepAt) {
            return; // an earlier step has taken its place
        }
        stepAt = Long.MAX_VALUE;
        lastStep = world.now();
        core.step();
        schedule();
    }

    // ---- the front --------------------------------------------------------------------------------------
    @Override
    public String name() {
        return "http";
    }

    @Override
    public void handIn(String id, Arrival a, long left) {
        if (core == null) {
            world.onConnectionRefused(id);
            return;
        }
        Submission submission = new Submission(
                id,
                null,
                a.messageClass(),
                a.destination(),
                "k" + a.number(),
                new byte[64],
                false,
                false,
                HttpFront.budgetMicros(left, 0));
        core.post(() -> {
            if (!core.knows(submission.destination())) {
                world.onRefused(submission.id(), 0);
            } else {
                core.handIn(this, submission);
            }
        });
    }

    @Override
    public void taken(Message message) {
        world.onAccepted(message.id());
    }

    @Override
    public void turnedDown(Message message, FinalStatus verdict) {
        world.onRefused(message.id(), verdict.comeBackMicros());
    }

    @Override
    public void ended(Message message, String id, FinalStatus verdict, Runnable settled) {
        String status = verdict.kind() == FinalStatus.Kind.REFUSED
                ? "deferred"
                : verdict.kind() == FinalStatus.Kind.FAILED ? "undeliverable" : null;
        if (status == null || world.fault() == Fault.SILENT) {
            settled.run();
            return;
        }
        later(world.now() + 2 * world.network(), () -> {
            world.onNotice(id, status);
            if (world.fault() == Fault.ENDS_TWICE) {
                world.onNotice(id, status.equals("deferred") ? "undeliverable" : "deferred");
            }
            core.post(settled);
        });
    }

    // ---- the directory ----------------------------------------------------------------------------------
    @Override
    public void listing(long version, List<DecisionModule.Entry> changes) {
        List<Core.Listed> entries = changes.stream().map(this::listed).toList();
        core.post(() -> core.listing(DecisionModule.ListingKind.CHANGES, version, entries));
    }

    private Core.Listed listed(DecisionModule.Entry e) {
        return new Core.Listed(
                e,
                new Call.Endpoint(
                        e.host(),
                        e.host(),
                        e.destination(),
                        e.zone(),
                        settings.kinds().get(e.kind()).batch(),
                        settings.kinds().get(e.kind()).ownLimits(),
                        deliverer));
    }
}
