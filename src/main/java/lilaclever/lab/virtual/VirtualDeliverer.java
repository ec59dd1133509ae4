package lilaclever.lab.virtual;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import lilaclever.DecisionModule;
import lilaclever.DecisionModule.AttemptResult;
import lilaclever.lab.model.Partner;
import lilaclever.lab.model.Partner.Answer;
import lilaclever.lab.world.Fault;
import lilaclever.lab.world.World;
import lilaclever.routing.Call;
import lilaclever.routing.Core;
import lilaclever.routing.Deliverer;
import lilaclever.routing.Message;
import lilaclever.routing.RetryAfterTable;
import lilaclever.transport.ConnectionPool;

/** Makes the calls of one forwarder's one life: to the partners' models directly, with the time that a wire takes. */
final class VirtualDeliverer implements Deliverer {
    private static final int MOST_IDLE = 64;
    /** Ways over the network before a new connection's first byte arrives: it is asked for, granted, and used. */
    private static final int WAYS_OF_NEW_CONNECTION = 3;
    /** What a partner has to do for a probe, microseconds. */
    private static final long PROBE_WORK = 1000;

    /** A call on its way, as this side sees it. */
    private static final class CallState {
        boolean closed, written, arrived;
    }

    private final World world;
    private final int number;
    private final DecisionModule.Settings settings;
    private final Core core;
    private final RetryAfterTable waits;
    /** Idle connections: all that is known of one is its endpoint. */
    private final ConnectionPool<String> idle;
    /** Calls that are out: a dying process resets them. */
    private final Set<Call> calls = new LinkedHashSet<>();

    private boolean dead;

    /**
     * For a life that begins.
     *
     * @param number of the forwarder
     * @param waits what partners have asked of this life
     */
    VirtualDeliverer(World world, int number, DecisionModule.Settings settings, Core core, RetryAfterTable waits) {
        this.world = world;
        this.number = number;
        this.settings = settings;
        this.core = core;
        this.waits = waits;
        idle = new ConnectionPool<>(
                settings.limits().keepAliveMicros(), MOST_IDLE, host -> true, host -> world.disconnect(host, number));
    }

    /** The process dies: its calls are cut, and nothing that was to happen in this life happens. */
    void kill() {
        for (Call call : calls) {
            CallState state = (CallState) call.attachment;
            state.closed = true;
            attemptsOver(call, "cut by the forwarder's death", !state.arrived);
        }
        calls.clear();
        dead = true;
    }

    /** Runs the task if this life goes on then. */
    private void later(long at, Runnable task) {
        world.at(at, () -> {
            if (!dead) {
                task.run();
            }
        });
    }

    @Override
    public void start(Call call) {
        String host = call.endpoint.host();
        Partner partner = world.partner(call.endpoint.destination());
        CallState state = new CallState();
        call.attachment = state;
        calls.add(call);
        call.messages.forEach(m -> world.onAttempt(m.id(), number, host, call.endpoint.destination(), world.now()));
        boolean kept = idle.acquire(host, world.now()) != null;
        if (!kept) {
            world.auditor().service().addConnection();
        }
        long arrivesAt = world.now()
                + world.network() * (kept ? 1 : WAYS_OF_NEW_CONNECTION)
                + (kept ? 0 : world.scenario().fleet().handshakeMicros());
        boolean connected = kept || partner.connect(host, number);
        if (kept) {
            state.written = true;
            later(arrivesAt, () -> arrive(call, state, partner, true));
        } else {
            later(arrivesAt - world.network(), () -> connectionUp(call, state, partner, connected));
        }
    }

    /** The call's connection is up: it is written now, unless a wait was told since it was decided. */
    private void connectionUp(Call call, CallState state, Partner partner, boolean connected) {
        long wait = waits.remainingMicros(call.endpoint, world.now());
        if (wait == 0) {
            state.written = true;
            later(world.now() + world.network(), () -> arrive(call, state, partner, connected));
        } else if (!state.closed) {
            attemptsOver(call, "withheld", true);
            end(call, state, AttemptResult.WITHHELD, wait, connected);
        }
    }

    private void arrive(Call call, CallState state, Partner partner, boolean connected) {
        if (state.closed) {
            return;
        }
        state.arrived = true;
        call.messages.forEach(m -> world.onRequestReceived(m.id(), number, call.endpoint.destination()));
        String host = call.endpoint.host();
        if (!connected && partner.hosts().contains(host) && !partner.isUnavailable(world.now())) {
            // Too many connections: the partner says that it has no room, and closes.
            later(world.now() + world.network(), () -> end(call, state, AttemptResult.NO_ROOM, 0, false));
            attemptsOver(call, "full", true);
            return;
        }
        Answer answer = world.call(
                partner, host, number, call.messages.stream().map(Message::id).toList());
        switch (answer.status()) {
            case NO_CONNECTION -> {
                attemptsOver(call, "no connection", true);
                later(world.now() + world.network(), () -> end(call, state, AttemptResult.NO_CONNECTION, 0, false));
            }
            case FULL -> {
                attemptsOver(call, "full", true);
                later(answer.atMicros(), () -> {
                    if (answer.retryAfterMicros() > 0 && !state.closed) {
                        world.auditor()
                                .retryAfterReceived(
                                        number, call.endpoint.destination(), world.now(), answer.retryAfterMicros());
                    }
                    boolean deaf = world.fault() == Fault.IGNORES_WAITS;
                    later(
                            world.now() + world.network(),
                            () -> end(call, state, AttemptResult.FULL, deaf ? 0 : answer.retryAfterMicros(), true));
                });
            }
            case ERROR -> {
                attemptsOver(call, "error", false);
                later(answer.atMicros() + world.network(), () -> end(call, state, AttemptResult.ERROR, 0, true));
            }
            case DELIVERED -> world.at(answer.atMicros(), () -> delivered(call, state, partner, answer));
            default -> {} // nothing comes back
        }
    }

    /** The partner has done the work, whether or not anybody still waits for its answer. */
    private void delivered(Call call, CallState state, Partner partner, Answer answer) {
        if (state.closed || !partner.canStillAnswer(call.endpoint.host(), answer.atMicros())) {
            call.messages.forEach(m -> world.onProcessed(m.id(), false));
            return;
        }
        call.messages.forEach(m -> world.onProcessed(m.id(), true));
        later(world.now() + world.network(), () -> end(call, state, AttemptResult.DELIVERED, 0, true));
    }

    private void attemptsOver(Call call, String how, boolean neverRan) {
        call.messages.forEach(m -> world.onAttemptOver(m.id(), how, neverRan));
    }

    /** The call's answer is here. */
    private void end(Call call, CallState state, AttemptResult ending, long wait, boolean keeps) {
        if (state.closed || dead) {
            return;
        }
        state.closed = true;
        calls.remove(call);
        if (wait > 0) {
            waits.recordRetryAfter(call.endpoint, world.now() + wait);
        }
        if (ending != AttemptResult.DELIVERED && ending != AttemptResult.WITHHELD) {
            world.partner(call.endpoint.destination()).failureSeen(number, world.now());
        }
        if (keeps) {
            idle.release(call.endpoint.host(), call.endpoint.host(), world.now());
            later(world.now() + settings.limits().keepAliveMicros(), () -> {
                idle.closeExpired(world.now());
                waits.removeExpired(world.now());
            });
        } else {
            world.partner(call.endpoint.destination()).disconnect(call.endpoint.host(), number);
        }
        List<Message> messages = List.copyOf(call.messages);
        core.post(() -> messages.forEach(m -> core.attemptEnded(call, m, ending, wait, false, false)));
    }

    @Override
    public void abort(Call call) {
        CallState state = (CallState) call.attachment;
        if (state.closed) {
            return;
        }
        state.closed = true;
        calls.remove(call);
        world.partner(call.endpoint.destination()).failureSeen(number, world.now());
        world.partner(call.endpoint.destination()).disconnect(call.endpoint.host(), number);
        attemptsOver(call, state.arrived ? "given up" : "given up before it came", !state.arrived);
        AttemptResult ending =
                state.arrived && world.fault() != Fault.RESENDS ? AttemptResult.TIMED_OUT : AttemptResult.NO_CONNECTION;
        List<Message> messages = List.copyOf(call.messages);
        core.post(() -> messages.forEach(m -> core.attemptEnded(call, m, ending, 0, false, false)));
    }

    @Override
    public void cancelUnsent(Call call) {
        CallState state = (CallState) call.attachment;
        if (!state.closed && !state.written) {
            attemptsOver(call, "withheld", true);
            end(call, state, AttemptResult.WITHHELD, 0, false);
        }
    }

    @Override
    public void closeIdle(Call.Endpoint endpoint) {
        idle.closeIdle(endpoint.host());
    }

    @Override
    public void probe(Call.Endpoint endpoint) {
        long sent = world.now();
        world.auditor().service().addProbe();
        Partner partner = world.partner(endpoint.destination());
        later(sent + 2 * world.network(), () -> {
            Answer answer = partner.call(endpoint.host(), number, new long[] {PROBE_WORK}, world.now());
            AttemptResult ending = switch (answer.status()) {
                case DELIVERED -> AttemptResult.DELIVERED;
                case FULL -> AttemptResult.FULL;
                case ERROR -> AttemptResult.ERROR;
                case NO_CONNECTION -> AttemptResult.NO_CONNECTION;
                default -> AttemptResult.TIMED_OUT;
            };
            long at = ending == AttemptResult.TIMED_OUT
                    ? sent + settings.limits().connectTimeoutMicros()
                    : Math.min(
                            answer.atMicros() + world.network(),
                            sent + settings.limits().connectTimeoutMicros());
            later(at, () -> {
                if (ending != AttemptResult.DELIVERED) {
                    partner.failureSeen(number, world.now());
                }
                core.post(() -> core.probeEnded(endpoint.host(), ending, world.now() - sent));
            });
        });
    }
}
