package lilaclever.simulation.model;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Model of one partner: its endpoints with their processing speed and queues, its call limit, its outages and its
 * recovery. It does no I/O; the caller passes the time, which never decreases. The answer to a call is decided when the
 * call's last byte arrives.
 *
 * <p>After an outage (silent, failing, shut, down) it has only a part of its usual capacity, which rises linearly. If
 * it receives more than a multiple of its present capacity for some time while it recovers, it fails under overload and
 * stays down.
 */
public final class Partner {
    /** Result of a call at the partner. */
    public enum Status {
        DELIVERED,
        ERROR,
        FULL,
        NO_ANSWER,
        NO_CONNECTION
    }

    /**
     * The answer to a call, or to one message of it.
     *
     * @param atMicros when the answer is written; with {@link Status#NO_ANSWER} none is
     * @param retryAfterMicros sent with FULL; 0: none
     */
    public record Answer(Status status, long atMicros, long retryAfterMicros) {}

    /** Kinds of outage of a partner. */
    public enum Outage {
        SILENT,
        FAILING,
        SHUT,
        DOWN,
        SLOW
    }

    /**
     * How partners recover from an outage, common to all partners of a scenario: the capacity share right after the
     * outage, the duration of the linear ramp to full capacity, and the multiple of the present capacity that, over
     * {@code overloadWindowMicros}, makes a recovering partner fail.
     */
    public record Recovery(
            double initialCapacityShare, long rampMicros, double overloadMultiple, long overloadWindowMicros) {}

    /** A call during recovery; {@code work} is measured in single-message calls. */
    private record RecentCall(long atMicros, int forwarder, double work) {}

    private final class Endpoint {
        final long[] serverFreeAtMicros;
        final Map<Integer, Integer> connections = new HashMap<>();

        Endpoint(int servers) {
            serverFreeAtMicros = new long[servers];
        }
    }

    private static final double MAX_WORK_FACTOR = 3;
    private static final long REFUSAL_DELAY_MICROS = 2_000,
            ERROR_DELAY_MICROS = 5_000,
            OVERLOAD_DOWNTIME_MICROS = 3_600_000_000L;

    private final int destination;
    private final PartnerKind kind;
    private final Recovery recovery;
    private final RandomStream random;
    private final double workFactor, messagesPerSecond, meanServiceSeconds;
    private final int servers;
    private final long maxQueueMicros;
    private final int maxConnections;
    private final boolean sendsRetryAfter;
    private final CallLimiter limiter;
    private final Map<String, Endpoint> endpoints = new LinkedHashMap<>();
    /**
     * Calls of the last {@link Recovery#overloadWindowMicros} during recovery, which decide whether it fails under
     * overload.
     */
    private final ArrayDeque<RecentCall> recentCalls = new ArrayDeque<>();

    private final Set<Integer> forwardersThatSawFailure = new HashSet<>();
    private Outage outage;
    private double outageStrength;
    private long outageUntilMicros, recoveringSinceMicros = Long.MIN_VALUE, overloadedUntilMicros = Long.MIN_VALUE;
    private long calls, refused, served;
    private int overloads, overloadsByInformedForwarders;

    /**
     * Creates a partner that receives {@code ratePerSecond} messages a second at full load.
     *
     * @param meanWorkMicros mean processing time of a message at a partner of average speed
     */
    public Partner(
            int destination,
            PartnerKind kind,
            int endpointCount,
            double ratePerSecond,
            double meanWorkMicros,
            Recovery recovery,
            RandomStream random) {
        this.destination = destination;
        this.kind = kind;
        this.recovery = recovery;
        this.random = random;
        double drawnWorkFactor = random.lognormal(0.6);
        double limit = Math.max(random.in(kind.minRate()), random.in(kind.headroom()) * ratePerSecond);
        double capacity = limit * (kind.limit() == PartnerKind.Limit.NONE ? 1 : random.in(kind.spareCapacity()));
        double needed = capacity * meanWorkMicros * drawnWorkFactor / 1e6 / endpointCount;
        servers = Math.max(1, (int) Math.round(needed));
        // The number of servers is rounded; the work factor compensates, so that the capacity is the drawn one. For a
        // partner so small that one server is mostly idle, the compensation is bounded.
        workFactor = drawnWorkFactor * Math.min(MAX_WORK_FACTOR, servers / needed);
        double meanWorkSeconds = meanWorkMicros * workFactor / 1e6;
        messagesPerSecond = servers * endpointCount / meanWorkSeconds;
        meanServiceSeconds = meanWorkSeconds;
        maxQueueMicros = (long) (random.in(kind.queueSeconds()) * 1e6);
        maxConnections = kind.connectionsPerServer()[1] == 0
                ? Integer.MAX_VALUE
                : (int) Math.max(random.in(kind.minConnections()), random.in(kind.connectionsPerServer()) * servers);
        sendsRetryAfter = random.chance(kind.retryAfterShare());
        limiter = new CallLimiter(kind.limit(), limit, kind.windowMicros(), random.chance(kind.countsRefusedShare()));
    }

    /** The destination number of this partner. */
    public int destination() {
        return destination;
    }

    /** The kind of this partner. */
    public PartnerKind kind() {
        return kind;
    }

    /** Messages a second that it can process at full capacity. */
    public double capacity() {
        return messagesPerSecond;
    }

    /** Mean processing time of a message at full capacity, seconds. */
    public double meanServiceSeconds() {
        return meanServiceSeconds;
    }

    /** Adds an endpoint. */
    public void addEndpoint(String host) {
        endpoints.put(host, new Endpoint(servers));
    }

    /** Removes an endpoint. */
    public void removeEndpoint(String host) {
        endpoints.remove(host);
    }

    /** Hosts of its endpoints. */
    public List<String> hosts() {
        return new ArrayList<>(endpoints.keySet());
    }

    // Outages and recovery
    /**
     * Starts an outage that lasts until the given time. The strength is the share of failing calls (FAILING) or the
     * factor of the processing time (SLOW).
     */
    public void startOutage(Outage type, double startedStrength, long untilMicros) {
        outage = type;
        outageStrength = startedStrength;
        outageUntilMicros = untilMicros;
        if (type != Outage.SLOW) {
            forwardersThatSawFailure.clear();
        }
    }

    /** Lowers its call limit to a share until the given time, without announcing it; this is not an outage. */
    public void lowerLimit(double share, long untilMicros) {
        limiter.lower(share, untilMicros);
    }

    private Outage currentOutage(long nowMicros) {
        if (outage != null && nowMicros >= outageUntilMicros) {
            if (outage != Outage.SLOW) {
                recoveringSinceMicros = outageUntilMicros;
                recentCalls.clear();
                endpoints
                        .values()
                        .forEach(endpoint -> java.util.Arrays.fill(
                                endpoint.serverFreeAtMicros, outageUntilMicros)); // queued calls are dropped
            }
            outage = null;
        }
        return nowMicros < overloadedUntilMicros ? Outage.DOWN : outage;
    }

    /** The share of its full capacity that is available now. */
    public double capacityShare(long nowMicros) {
        currentOutage(nowMicros);
        if (recoveringSinceMicros == Long.MIN_VALUE || nowMicros - recoveringSinceMicros >= recovery.rampMicros()) {
            return 1;
        }
        return recovery.initialCapacityShare()
                + (1 - recovery.initialCapacityShare()) * (nowMicros - recoveringSinceMicros) / recovery.rampMicros();
    }

    /** True during an outage or after a failure under overload; slowness alone does not count. */
    public boolean isUnavailable(long nowMicros) {
        return currentOutage(nowMicros) != null && currentOutage(nowMicros) != Outage.SLOW;
    }

    /** True while no connection can be opened. */
    public boolean isDown(long nowMicros) {
        return currentOutage(nowMicros) == Outage.DOWN;
    }

    // Connections and calls
    /** Opens a connection of a forwarder; false if the endpoint is unknown or its connection limit is reached. */
    public boolean connect(String host, int forwarder) {
        Endpoint endpoint = endpoints.get(host);
        if (endpoint == null) {
            return false;
        }
        int openConnections = endpoint.connections.values().stream()
                .mapToInt(Integer::intValue)
                .sum();
        if (openConnections >= maxConnections) {
            return false;
        }
        endpoint.connections.merge(forwarder, 1, Integer::sum);
        return true;
    }

    /** Closes a connection of a forwarder. */
    public void disconnect(String host, int forwarder) {
        Endpoint endpoint = endpoints.get(host);
        if (endpoint != null) {
            endpoint.connections.computeIfPresent(forwarder, (f, n) -> n > 1 ? n - 1 : null);
        }
    }

    /** Closes all connections of a forwarder that has died. */
    public void disconnectAll(int forwarder) {
        endpoints.values().forEach(endpoint -> endpoint.connections.remove(forwarder));
    }

    /**
     * Decides the answer to a call whose last byte has arrived. {@code workMicros} is the processing time of each
     * message at a partner of average speed.
     */
    public Answer call(String host, int forwarder, long[] workMicros, long nowMicros) {
        calls++;
        Outage current = currentOutage(nowMicros);
        Endpoint endpoint = endpoints.get(host);
        Answer answer = endpoint == null || current == Outage.DOWN
                ? new Answer(Status.NO_CONNECTION, nowMicros, 0)
                : answer(endpoint, workMicros, current, nowMicros);
        if (current == null) {
            checkOverload(forwarder, 1 + (workMicros.length - 1) * kind.extraMessageCost(), nowMicros);
        }
        return answer;
    }

    /** Records that a forwarder has learned of a failed or refused call or probe. */
    public void failureSeen(int forwarder, long nowMicros) {
        if (isUnavailable(nowMicros)) {
            forwardersThatSawFailure.add(forwarder);
        }
    }

    private Answer answer(Endpoint endpoint, long[] workMicros, Outage current, long nowMicros) {
        if (current == Outage.SHUT) {
            return refuse(nowMicros);
        }
        if (current == Outage.FAILING && random.chance(outageStrength)) {
            return new Answer(Status.ERROR, nowMicros + ERROR_DELAY_MICROS, 0);
        }
        if (!limiter.tryAcquire(nowMicros)) {
            return refuse(nowMicros);
        }
        if (current == Outage.SILENT) {
            return new Answer(Status.NO_ANSWER, Long.MAX_VALUE, 0);
        }
        int soonest = 0;
        for (int i = 1; i < endpoint.serverFreeAtMicros.length; i++) {
            soonest = endpoint.serverFreeAtMicros[i] < endpoint.serverFreeAtMicros[soonest] ? i : soonest;
        }
        long startMicros = Math.max(nowMicros, endpoint.serverFreeAtMicros[soonest]);
        if (startMicros - nowMicros > maxQueueMicros) {
            return refuse(nowMicros);
        }
        double totalWork = 0;
        for (int i = 0; i < workMicros.length; i++) {
            totalWork += workMicros[i] * (i == 0 ? 1 : kind.extraMessageCost());
        }
        double serviceMicros = totalWork
                * workFactor
                * random.lognormal(kind.workVariation())
                / capacityShare(nowMicros)
                * (current == Outage.SLOW ? outageStrength : 1);
        endpoint.serverFreeAtMicros[soonest] = startMicros + (long) serviceMicros;
        served += workMicros.length;
        // A partner that is silent or down by the time the answer is due does not send it; canStillAnswer() checks
        // this.
        return new Answer(Status.DELIVERED, startMicros + (long) serviceMicros, 0);
    }

    private Answer refuse(long nowMicros) {
        refused++;
        long retryAfterMicros = sendsRetryAfter && outage == null
                ? Math.max(random.in(kind.retryAfterMicros()), limiter.availableAtMicros(nowMicros) - nowMicros)
                : 0;
        return new Answer(Status.FULL, nowMicros + REFUSAL_DELAY_MICROS, retryAfterMicros);
    }

    /** True if an answer that was decided earlier can be written now; an outage may have begun since. */
    public boolean canStillAnswer(String host, long nowMicros) {
        Outage current = currentOutage(nowMicros);
        return endpoints.containsKey(host) && current != Outage.SILENT && current != Outage.DOWN;
    }

    private void checkOverload(int forwarder, double work, long nowMicros) {
        if (recoveringSinceMicros == Long.MIN_VALUE
                || nowMicros - recoveringSinceMicros >= recovery.rampMicros() + recovery.overloadWindowMicros()) {
            recentCalls.clear();
            return;
        }
        recentCalls.addLast(new RecentCall(nowMicros, forwarder, work));
        while (recentCalls.peekFirst().atMicros() < nowMicros - recovery.overloadWindowMicros()) {
            recentCalls.removeFirst();
        }
        double totalWork = recentCalls.stream().mapToDouble(RecentCall::work).sum();
        // The constant tolerates a few calls at low rates, which are no overload.
        if (totalWork
                > 3
                        + recovery.overloadMultiple()
                                * messagesPerSecond
                                * capacityShare(nowMicros)
                                * recovery.overloadWindowMicros()
                                / 1e6) {
            double informedWork = recentCalls.stream()
                    .filter(a -> forwardersThatSawFailure.contains(a.forwarder()))
                    .mapToDouble(RecentCall::work)
                    .sum();
            overloads++;
            overloadsByInformedForwarders += informedWork >= 2 * totalWork / 3 ? 1 : 0;
            overloadedUntilMicros = nowMicros + OVERLOAD_DOWNTIME_MICROS;
            recentCalls.clear();
        }
    }

    // Counters
    /** Calls received. */
    public long calls() {
        return calls;
    }

    /** Calls refused. */
    public long refused() {
        return refused;
    }

    /** Messages processed. */
    public long served() {
        return served;
    }

    /** How often it failed under overload. */
    public int overloads() {
        return overloads;
    }

    /**
     * How often it failed under overload with at least two thirds of the work from forwarders that had seen it fail.
     */
    public int overloadsByInformedForwarders() {
        return overloadsByInformedForwarders;
    }
}
