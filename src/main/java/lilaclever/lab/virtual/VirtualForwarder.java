package lilaclever.lab.virtual;

import java.io.IOException;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.BlockingQueue;
import lilaclever.Relay;
import lilaclever.Relay.Ending;
import lilaclever.identity.Windows;
import lilaclever.journal.BootClock;
import lilaclever.journal.Durability;
import lilaclever.journal.SegmentedJournal;
import lilaclever.journal.Times;
import lilaclever.lab.model.Arrival;
import lilaclever.lab.model.Partner;
import lilaclever.lab.model.Partner.Answer;
import lilaclever.lab.world.Fault;
import lilaclever.lab.world.Member;
import lilaclever.lab.world.World;
import lilaclever.protocol.http.HttpFront;
import lilaclever.routing.Call;
import lilaclever.routing.Core;
import lilaclever.routing.Counters;
import lilaclever.routing.Deliverer;
import lilaclever.routing.Front;
import lilaclever.routing.Handin;
import lilaclever.routing.Message;
import lilaclever.routing.Pace;
import lilaclever.routing.Verdict;
import lilaclever.routing.Waits;
import lilaclever.transport.ConnectionPool;

/**
 * One forwarder of the fleet: the real core with its module and its journal, in virtual time. Its front and its
 * deliverer reach the world's models directly; what a wire would take is time here.
 */
final class VirtualForwarder implements Member, Front, Deliverer, Pace {
    /** The wall clock when a run begins: any day will do, and it is the same in each run. */
    private static final long WALL = 1_767_225_600_000_000L;

    private static final int MOST_IDLE = 64;
    /** How long a process takes to serve. */
    private static final long START = 400_000;

    /** A call on its way, as this side sees it. */
    private static final class Way {
        boolean closed, arrived;
    }

    private final World world;
    private final int number;
    private final Relay.Settings settings;
    private final MemoryDisk disk = new MemoryDisk();
    private final long seed;
    /** Calls that are out: a dying process resets them. */
    private final Set<Call> out = new LinkedHashSet<>();

    private Core core;
    private Counters counters;
    private SegmentedJournal journal;
    /** Idle connections: all that is known of one is its endpoint. */
    private ConnectionPool<String> idle;

    private Waits waits;
    private int life;
    private long stepAt = Long.MAX_VALUE, lastStep = Long.MIN_VALUE;
    private long brokenBefore;

    VirtualForwarder(World world, int number, Relay.Settings settings, long seed) {
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
    public void start(List<Relay.Entry> known, long version, boolean first) {
        if (!first) {
            later(world.now() + START, () -> begin(world.list(), world.version()));
        } else {
            begin(known, version);
        }
    }

    private void begin(List<Relay.Entry> known, long version) {
        try {
            journal = new SegmentedJournal(
                    disk,
                    world.scenario().fleet().diskBytes(),
                    Durability.NONE,
                    new Times(this::micros, this::wall, BootClock.UNKNOWN),
                    new SplittableRandom(seed + life));
        } catch (IOException e) {
            throw new IllegalStateException("a disk in memory", e);
        }
        counters = new Counters();
        waits = new Waits();
        counters.gauge("waits", waits::size);
        idle = new ConnectionPool<>(
                settings.limits().keepAliveMicros(), MOST_IDLE, host -> true, host -> world.disconnect(host, number));
        life++;
        lastStep = world.now();
        core = new Core(
                settings, seed * 31 + life, journal, counters, new Windows(List.of(), 3_600_000_000L, 100_000), this);
        core.add(this);
        core.begin(known.stream().map(this::listed).toList(), version);
        schedule();
        world.ready(number);
    }

    @Override
    public void kill() {
        brokenBefore = broken();
        for (Call call : out) {
            Way way = (Way) call.attachment;
            way.closed = true;
            overAll(call, "cut by the forwarder's death", !way.arrived);
        }
        out.clear();
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
            world.metNobody(id);
            return;
        }
        Handin handin = new Handin(
                id,
                null,
                a.messageClass(),
                a.destination(),
                "k" + a.number(),
                new byte[64],
                false,
                false,
                HttpFront.budget(left, 0));
        core.post(() -> {
            if (!core.knows(handin.destination())) {
                world.turnedDown(handin.id(), 0);
            } else {
                core.handIn(this, handin);
            }
        });
    }

    @Override
    public void taken(Message message) {
        world.taken(message.id());
    }

    @Override
    public void turnedDown(Message message, Verdict verdict) {
        world.turnedDown(message.id(), verdict.comeBackMicros());
    }

    @Override
    public void ended(Message message, String id, Verdict verdict, Runnable settled) {
        String status = verdict.kind() == Verdict.Kind.REFUSED
                ? "deferred"
                : verdict.kind() == Verdict.Kind.FAILED ? "undeliverable" : null;
        if (status == null || world.fault() == Fault.SILENT) {
            settled.run();
            return;
        }
        later(world.now() + 2 * world.network(), () -> {
            world.noticed(id, status);
            if (world.fault() == Fault.ENDS_TWICE) {
                world.noticed(id, status.equals("deferred") ? "undeliverable" : "deferred");
            }
            core.post(settled);
        });
    }

    // ---- the directory ----------------------------------------------------------------------------------
    @Override
    public void listing(long version, List<Relay.Entry> changes) {
        List<Core.Listed> entries = changes.stream().map(this::listed).toList();
        core.post(() -> core.listing(Relay.ListingKind.CHANGES, version, entries));
    }

    private Core.Listed listed(Relay.Entry e) {
        return new Core.Listed(
                e,
                new Call.Endpoint(
                        e.host(),
                        e.host(),
                        e.destination(),
                        e.zone(),
                        settings.kinds().get(e.kind()).batch(),
                        settings.kinds().get(e.kind()).ownLimits(),
                        this));
    }

    // ---- calls ------------------------------------------------------------------------------------------
    @Override
    public void start(Call call) {
        String host = call.endpoint.host();
        Partner partner = world.partner(call.endpoint.destination());
        Way way = new Way();
        call.attachment = way;
        out.add(call);
        call.messages.forEach(m -> world.attempt(m.id(), number, host, call.endpoint.destination(), world.now()));
        boolean kept = idle.take(host, world.now()) != null;
        if (!kept) {
            world.auditor().service().connection();
        }
        long arrivesAt = world.now()
                + world.network() * (kept ? 1 : 3)
                + (kept ? 0 : world.scenario().fleet().handshakeMicros());
        boolean connected = kept || partner.connect(host, number);
        if (kept) {
            later(arrivesAt, () -> arrive(call, way, partner, true));
        } else {
            later(arrivesAt - world.network(), () -> up(call, way, partner, connected));
        }
    }

    /** The call's connection is up: it is written now, unless a wait was told since it was decided. */
    private void up(Call call, Way way, Partner partner, boolean connected) {
        long wait = waits.left(call.endpoint, world.now());
        if (wait == 0) {
            later(world.now() + world.network(), () -> arrive(call, way, partner, connected));
        } else if (!way.closed) {
            overAll(call, "withheld", true);
            end(call, way, Ending.WITHHELD, wait, connected);
        }
    }

    private void arrive(Call call, Way way, Partner partner, boolean connected) {
        if (way.closed) {
            return;
        }
        way.arrived = true;
        call.messages.forEach(m -> world.comes(m.id(), number, call.endpoint.destination()));
        String host = call.endpoint.host();
        if (!connected && partner.hosts().contains(host) && !partner.isOut(world.now())) {
            // Too many connections: the partner says that it has no room, and closes.
            later(world.now() + world.network(), () -> end(call, way, Ending.NO_ROOM, 0, false));
            overAll(call, "full", true);
            return;
        }
        Answer answer = world.call(
                partner, host, number, call.messages.stream().map(Message::id).toList());
        switch (answer.status()) {
            case NO_CONNECTION -> {
                overAll(call, "no connection", true);
                later(world.now() + world.network(), () -> end(call, way, Ending.NO_CONNECTION, 0, false));
            }
            case FULL -> {
                overAll(call, "full", true);
                later(answer.atMicros(), () -> {
                    if (answer.waitMicros() > 0 && !way.closed) {
                        world.auditor().waitTold(number, call.endpoint.destination(), world.now(), answer.waitMicros());
                    }
                    boolean deaf = world.fault() == Fault.IGNORES_WAITS;
                    later(
                            world.now() + world.network(),
                            () -> end(call, way, Ending.FULL, deaf ? 0 : answer.waitMicros(), true));
                });
            }
            case ERROR -> {
                overAll(call, "error", false);
                later(answer.atMicros() + world.network(), () -> end(call, way, Ending.ERROR, 0, true));
            }
            case DELIVERED -> world.at(answer.atMicros(), () -> delivered(call, way, partner, answer));
            default -> {} // nothing comes back
        }
    }

    /** The partner has done the work, whether or not anybody still waits for its answer. */
    private void delivered(Call call, Way way, Partner partner, Answer answer) {
        if (way.closed || !partner.answersStill(call.endpoint.host(), answer.atMicros())) {
            call.messages.forEach(m -> world.ran(m.id(), false));
            return;
        }
        call.messages.forEach(m -> world.ran(m.id(), true));
        if (core != null) {
            later(world.now() + world.network(), () -> end(call, way, Ending.DELIVERED, 0, true));
        }
    }

    private void overAll(Call call, String how, boolean neverRan) {
        call.messages.forEach(m -> world.attemptOver(m.id(), how, neverRan));
    }

    /** The call's answer is here. */
    private void end(Call call, Way way, Ending ending, long wait, boolean keeps) {
        if (way.closed || core == null) {
            return;
        }
        way.closed = true;
        out.remove(call);
        if (wait > 0) {
            waits.told(call.endpoint, world.now() + wait);
        }
        if (ending != Ending.DELIVERED && ending != Ending.WITHHELD) {
            world.partner(call.endpoint.destination()).heardFailure(number, world.now());
        }
        if (keeps) {
            idle.giveBack(call.endpoint.host(), call.endpoint.host(), world.now());
            later(world.now() + settings.limits().keepAliveMicros(), () -> {
                idle.sweep(world.now());
                waits.sweep(world.now());
            });
        } else {
            world.partner(call.endpoint.destination()).disconnect(call.endpoint.host(), number);
        }
        List<Message> messages = List.copyOf(call.messages);
        core.post(() -> messages.forEach(m -> core.outcome(call, m, ending, wait, false, false)));
    }

    @Override
    public void giveUp(Call call) {
        Way way = (Way) call.attachment;
        if (way.closed) {
            return;
        }
        way.closed = true;
        out.remove(call);
        world.partner(call.endpoint.destination()).heardFailure(number, world.now());
        world.partner(call.endpoint.destination()).disconnect(call.endpoint.host(), number);
        overAll(call, way.arrived ? "given up" : "given up before it came", !way.arrived);
        Ending ending = way.arrived && world.fault() != Fault.RESENDS ? Ending.TIMED_OUT : Ending.NO_CONNECTION;
        List<Message> messages = List.copyOf(call.messages);
        core.post(() -> messages.forEach(m -> core.outcome(call, m, ending, 0, false, false)));
    }

    @Override
    public void closeIdle(Call.Endpoint endpoint) {
        idle.closeIdle(endpoint.host());
    }

    @Override
    public void probe(Call.Endpoint endpoint) {
        long sent = world.now();
        world.auditor().service().probe();
        Partner partner = world.partner(endpoint.destination());
        later(sent + 2 * world.network(), () -> {
            Answer answer = partner.call(endpoint.host(), number, new long[] {1000}, world.now());
            Ending ending = switch (answer.status()) {
                case DELIVERED -> Ending.DELIVERED;
                case FULL -> Ending.FULL;
                case ERROR -> Ending.ERROR;
                case NO_CONNECTION -> Ending.NO_CONNECTION;
                default -> Ending.TIMED_OUT;
            };
            long at = ending == Ending.TIMED_OUT
                    ? sent + settings.limits().connectTimeoutMicros()
                    : Math.min(
                            answer.atMicros() + world.network(),
                            sent + settings.limits().connectTimeoutMicros());
            later(at, () -> {
                if (ending != Ending.DELIVERED) {
                    partner.heardFailure(number, world.now());
                }
                core.post(() -> core.probed(endpoint.host(), ending, world.now() - sent));
            });
        });
    }
}
