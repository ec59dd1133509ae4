package lilaclever.simulation.virtual;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import lilaclever.DecisionModule;
import lilaclever.DecisionModule.AttemptResult;
import lilaclever.routing.Call;
import lilaclever.routing.Core;
import lilaclever.routing.Deliverer;
import lilaclever.routing.Message;
import lilaclever.routing.RetryAfterTable;
import lilaclever.simulation.model.Partner;
import lilaclever.simulation.model.Partner.Answer;
import lilaclever.simulation.world.Fault;
import lilaclever.simulation.world.World;
import lilaclever.transport.ConnectionPool;

/**
 * Makes the calls of one process run of a forwarder: directly to the partners' models, with simulated network delays.
 */
final class VirtualDeliverer implements Deliverer {
    private static final int MAX_IDLE_CONNECTIONS = 64;
    /** One-way network trips until the first byte of a call on a new connection arrives: SYN, SYN-ACK, request. */
    private static final int NEW_CONNECTION_TRIPS = 3;
    /** The work of a partner for a probe. */
    private static final long PROBE_WORK_MICROS = 1000;

    /** The state of a call in flight. */
    private static final class CallState {
        boolean closed, written, arrived;
    }

    private final World world;
    private final int forwarderNumber;
    private final DecisionModule.Settings settings;
    private final Core core;
    private final RetryAfterTable retryAfterTable;
    /** Idle connections, each represented by its endpoint's host. */
    private final ConnectionPool<String> idleConnections;
    /** Calls in flight, which are reset if the process is killed. */
    private final Set<Call> callsInFlight = new LinkedHashSet<>();

    private boolean isKilled;

    /**
     * Creates the deliverer of a new process run.
     *
     * @param forwarderNumber the forwarder's number in the fleet
     * @param retryAfterTable the retry-after periods that partners have sent to this process run
     */
    VirtualDeliverer(
            World world,
            int forwarderNumber,
            DecisionModule.Settings settings,
            Core core,
            RetryAfterTable retryAfterTable) {
        this.world = world;
        this.forwarderNumber = forwarderNumber;
        this.settings = settings;
        this.core = core;
        this.retryAfterTable = retryAfterTable;
        idleConnections = new ConnectionPool<>(
                (host, idleMicros) -> ConnectionPool.Availability.USABLE,
                settings.limits().keepAliveMicros(),
                MAX_IDLE_CONNECTIONS,
                host -> true,
                host -> world.disconnect(host, forwarderNumber));
    }

    /** The process is killed: its calls are reset, and none of its scheduled tasks runs any more. */
    void kill() {
        for (Call call : callsInFlight) {
            CallState state = (CallState) call.attachment;
            state.closed = true;
            attemptsEnded(call, "cut by the forwarder's death", !state.arrived);
        }
        callsInFlight.clear();
        isKilled = true;
    }

    /** Runs the task at the time unless the process has been killed by then. */
    private void runUnlessKilled(long atMicros, Runnable task) {
        world.at(atMicros, () -> {
            if (!isKilled) {
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
        callsInFlight.add(call);
        call.messages.forEach(m ->
                world.onAttemptStarted(m.id(), forwarderNumber, host, call.endpoint.destination(), world.nowMicros()));
        boolean isReused = idleConnections.acquire(host, world.nowMicros()) != null;
        if (!isReused) {
            world.auditor().service().addConnection();
        }
        long arrivesAtMicros = world.nowMicros()
                + world.networkDelayMicros() * (isReused ? 1 : NEW_CONNECTION_TRIPS)
                + (isReused ? 0 : world.scenario().fleet().handshakeMicros());
        boolean connected = isReused || partner.connect(host, forwarderNumber);
        if (isReused) {
            state.written = true;
            runUnlessKilled(arrivesAtMicros, () -> requestArrived(call, state, partner, true));
        } else {
            runUnlessKilled(
                    arrivesAtMicros - world.networkDelayMicros(),
                    () -> connectionEstablished(call, state, partner, connected));
        }
    }

    /** The call's connection is established: the call is written unless a retry-after was received in the meantime. */
    private void connectionEstablished(Call call, CallState state, Partner partner, boolean connected) {
        long waitMicros = retryAfterTable.remainingMicros(call.endpoint, world.nowMicros());
        if (waitMicros == 0) {
            state.written = true;
            runUnlessKilled(
                    world.nowMicros() + world.networkDelayMicros(),
                    () -> requestArrived(call, state, partner, connected));
        } else if (!state.closed) {
            attemptsEnded(call, "withheld", true);
            endCall(call, state, AttemptResult.WITHHELD, waitMicros, connected);
        }
    }

    private void requestArrived(Call call, CallState state, Partner partner, boolean connected) {
        if (state.closed) {
            return;
        }
        state.arrived = true;
        call.messages.forEach(m -> world.onCallArrived(m.id(), forwarderNumber, call.endpoint.destination()));
        String host = call.endpoint.host();
        if (!connected && partner.hosts().contains(host) && !partner.isUnavailable(world.nowMicros())) {
            // Too many connections: the partner answers that it has no capacity, and closes the connection.
            runUnlessKilled(
                    world.nowMicros() + world.networkDelayMicros(),
                    () -> endCall(call, state, AttemptResult.NO_ROOM, 0, false));
            attemptsEnded(call, "full", true);
            return;
        }
        Answer answer = world.callPartner(
                partner,
                host,
                forwarderNumber,
                call.messages.stream().map(Message::id).toList());
        switch (answer.status()) {
            case NO_CONNECTION -> {
                attemptsEnded(call, "no connection", true);
                runUnlessKilled(
                        world.nowMicros() + world.networkDelayMicros(),
                        () -> endCall(call, state, AttemptResult.NO_CONNECTION, 0, false));
            }
            case FULL -> {
                attemptsEnded(call, "full", true);
                runUnlessKilled(answer.atMicros(), () -> {
                    if (answer.retryAfterMicros() > 0 && !state.closed) {
                        world.auditor()
                                .retryAfterReceived(
                                        forwarderNumber,
                                        call.endpoint.destination(),
                                        world.nowMicros(),
                                        answer.retryAfterMicros());
                    }
                    boolean ignoresRetryAfter = world.fault() == Fault.IGNORES_WAITS;
                    runUnlessKilled(
                            world.nowMicros() + world.networkDelayMicros(),
                            () -> endCall(
                                    call,
                                    state,
                                    AttemptResult.FULL,
                                    ignoresRetryAfter ? 0 : answer.retryAfterMicros(),
                                    true));
                });
            }
            case ERROR -> {
                attemptsEnded(call, "error", false);
                runUnlessKilled(
                        answer.atMicros() + world.networkDelayMicros(),
                        () -> endCall(call, state, AttemptResult.ERROR, 0, true));
            }
            case DELIVERED -> world.at(answer.atMicros(), () -> answerDelivered(call, state, partner, answer));
            default -> {} // the partner never answers
        }
    }

    /** The partner has done the work, whether or not the forwarder still waits for the answer. */
    private void answerDelivered(Call call, CallState state, Partner partner, Answer answer) {
        if (state.closed || !partner.canStillAnswer(call.endpoint.host(), answer.atMicros())) {
            call.messages.forEach(m -> world.onProcessed(m.id(), false));
            return;
        }
        call.messages.forEach(m -> world.onProcessed(m.id(), true));
        runUnlessKilled(
                world.nowMicros() + world.networkDelayMicros(),
                () -> endCall(call, state, AttemptResult.DELIVERED, 0, true));
    }

    private void attemptsEnded(Call call, String result, boolean neverRan) {
        call.messages.forEach(m -> world.onAttemptEnded(m.id(), result, neverRan));
    }

    /** Ends a call that is not closed yet and reports the result to the core. */
    private void endCall(
            Call call, CallState state, AttemptResult result, long retryAfterMicros, boolean keepsConnection) {
        if (state.closed || isKilled) {
            return;
        }
        state.closed = true;
        callsInFlight.remove(call);
        if (retryAfterMicros > 0) {
            retryAfterTable.recordRetryAfter(call.endpoint, world.nowMicros() + retryAfterMicros);
        }
        if (result != AttemptResult.DELIVERED && result != AttemptResult.WITHHELD) {
            world.partner(call.endpoint.destination()).failureSeen(forwarderNumber, world.nowMicros());
        }
        if (keepsConnection) {
            idleConnections.release(call.endpoint.host(), call.endpoint.host(), world.nowMicros());
            runUnlessKilled(world.nowMicros() + settings.limits().keepAliveMicros(), () -> {
                idleConnections.closeExpired(world.nowMicros());
                retryAfterTable.removeExpired(world.nowMicros());
            });
        } else {
            world.partner(call.endpoint.destination()).disconnect(call.endpoint.host(), forwarderNumber);
        }
        List<Message> messages = List.copyOf(call.messages);
        core.post(() -> messages.forEach(m -> core.attemptEnded(call, m, result, retryAfterMicros, false, false)));
    }

    @Override
    public void abort(Call call) {
        CallState state = (CallState) call.attachment;
        if (state.closed) {
            return;
        }
        state.closed = true;
        callsInFlight.remove(call);
        world.partner(call.endpoint.destination()).failureSeen(forwarderNumber, world.nowMicros());
        world.partner(call.endpoint.destination()).disconnect(call.endpoint.host(), forwarderNumber);
        attemptsEnded(call, state.arrived ? "given up" : "given up before it came", !state.arrived);
        AttemptResult result =
                state.arrived && world.fault() != Fault.RESENDS ? AttemptResult.TIMED_OUT : AttemptResult.NO_CONNECTION;
        List<Message> messages = List.copyOf(call.messages);
        core.post(() -> messages.forEach(m -> core.attemptEnded(call, m, result, 0, false, false)));
    }

    @Override
    public void cancelUnsent(Call call) {
        CallState state = (CallState) call.attachment;
        if (!state.closed && !state.written) {
            attemptsEnded(call, "withheld", true);
            endCall(call, state, AttemptResult.WITHHELD, 0, false);
        }
    }

    @Override
    public void closeIdle(Call.Endpoint endpoint) {
        idleConnections.closeIdle(endpoint.host());
    }

    @Override
    public void probe(Call.Endpoint endpoint) {
        long sentMicros = world.nowMicros();
        world.auditor().service().addProbe();
        Partner partner = world.partner(endpoint.destination());
        runUnlessKilled(sentMicros + 2 * world.networkDelayMicros(), () -> {
            Answer answer =
                    partner.call(endpoint.host(), forwarderNumber, new long[] {PROBE_WORK_MICROS}, world.nowMicros());
            AttemptResult result = switch (answer.status()) {
                case DELIVERED -> AttemptResult.DELIVERED;
                case FULL -> AttemptResult.FULL;
                case ERROR -> AttemptResult.ERROR;
                case NO_CONNECTION -> AttemptResult.NO_CONNECTION;
                default -> AttemptResult.TIMED_OUT;
            };
            long endsAtMicros = result == AttemptResult.TIMED_OUT
                    ? sentMicros + settings.limits().connectTimeoutMicros()
                    : Math.min(
                            answer.atMicros() + world.networkDelayMicros(),
                            sentMicros + settings.limits().connectTimeoutMicros());
            runUnlessKilled(endsAtMicros, () -> {
                if (result != AttemptResult.DELIVERED) {
                    partner.failureSeen(forwarderNumber, world.nowMicros());
                }
                core.post(() -> core.probeEnded(endpoint.host(), result, world.nowMicros() - sentMicros));
            });
        });
    }
}
