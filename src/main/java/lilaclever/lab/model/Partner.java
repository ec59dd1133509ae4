package lilaclever.lab.model;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * One partner: its endpoints with their pace and queues, its limit, its outages and how it comes back. No I/O; it is
 * told the time with each call, and times only go forward. What it answers is decided when a call's last byte has come.
 *
 * <p>An outage (silent, failing, shut, down) leaves it cold: it then does a part of its usual work and warms up evenly.
 * Sent more than a multiple of what it can do at the moment for a while, it falls over and stays down.
 */
public final class Partner {
    /** How a call ends at the partner. */
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
     * @param atMicros when it is written; for {@link Status#NO_ANSWER} nothing is
     * @param retryAfterMicros told with FULL; 0: none
     */
    public record Answer(Status status, long atMicros, long retryAfterMicros) {}

    /** What may be wrong with a partner. */
    public enum Outage {
        SILENT,
        FAILING,
        SHUT,
        DOWN,
        SLOW
    }

    /** What a fleet shares: how partners come back. */
    public record Recovery(double initialCapacity, long rampMicros, double overloadFactor, long overloadMicros) {}

    /** {@code work}: in messages that come alone. */
    private record RecentCall(long atMicros, int forwarder, double work) {}

    private final class Endpoint {
        final long[] serverFreeAtMicros;
        final Map<Integer, Integer> connections = new HashMap<>();

        Endpoint(int servers) {
            serverFreeAtMicros = new long[servers];
        }
    }

    private static final double MAX_WORK_FACTOR = 3;
    private static final long REFUSAL_DELAY_MICROS = 2_000, ERROR_DELAY_MICROS = 5_000, OVERLOAD_DOWNTIME_MICROS = 3_600_000_000L;

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
    /** Work since it came back, of the last while: what makes it fall over. */
    private final ArrayDeque<RecentCall> recentCalls = new ArrayDeque<>();

    private final Set<Integer> forwardersThatSawFailure = new HashSet<>();
    private Outage outage;
    private double outageStrength;
    private long outageUntilMicros, recoveringSinceMicros = Long.MIN_VALUE, overloadedUntilMicros = Long.MIN_VALUE;
    private long calls, refused, served;
    private int overloads, overloadsByInformedForwarders;

    /**
     * A partner that gets so many messages a second at full load.
     *
     * @param meanWorkMicros of a message at a partner of usual pace
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
        // Servers are whole: the pace makes up for it, so that what was drawn is what the partner can do. Of a partner
        // so
        // small that one server is mostly idle it makes up a part only.
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

    /** Its number. */
    public int destination() {
        return destination;
    }

    /** Its kind. */
    public PartnerKind kind() {
        return kind;
    }

    /** Messages a second that it can do when warm and of usual health. */
    public double capacity() {
        return messagesPerSecond;
    }

    /** Seconds that it works on a message in the mean, when warm. */
    public double meanServiceSeconds() {
        return meanServiceSeconds;
    }

    /** An endpoint is there from now on. */
    public void addEndpoint(String host) {
        endpoints.put(host, new Endpoint(servers));
    }

    /** An endpoint is gone. */
    public void removeEndpoint(String host) {
        endpoints.remove(host);
    }

    /** Its endpoints. */
    public List<String> hosts() {
        return new ArrayList<>(endpoints.keySet());
    }

    // ---- health -----------------------------------------------------------------------------------------
    /** Something goes wrong until the given time; {@code strength}: the share that fails, or how many times slower. */
    public void startOutage(Outage type, double startedStrength, long untilMicros) {
        outage = type;
        outageStrength = startedStrength;
        outageUntilMicros = untilMicros;
        if (type != Outage.SLOW) {
            forwardersThatSawFailure.clear();
        }
    }

    /** Lowers its limit to a part until the given time, without a word; that is no outage. */
    public void lowerLimit(double share, long untilMicros) {
        limiter.lower(share, untilMicros);
    }

    private Outage currentOutage(long now) {
        if (outage != null && now >= outageUntilMicros) {
            if (outage != Outage.SLOW) {
                recoveringSinceMicros = outageUntilMicros;
                recentCalls.clear();
                endpoints
                        .values()
                        .forEach(endpoint -> java.util.Arrays.fill(endpoint.serverFreeAtMicros, outageUntilMicros)); // what was queued is dropped
            }
            outage = null;
        }
        return now < overloadedUntilMicros ? Outage.DOWN : outage;
    }

    /** The part of its usual work that it can do now. */
    public double capacityShare(long now) {
        currentOutage(now);
        if (recoveringSinceMicros == Long.MIN_VALUE || now - recoveringSinceMicros >= recovery.rampMicros()) {
            return 1;
        }
        return recovery.initialCapacity() + (1 - recovery.initialCapacity()) * (now - recoveringSinceMicros) / recovery.rampMicros();
    }

    /** True if it is down after it fell over, or from something that is wrong now. */
    public boolean isUnavailable(long now) {
        return currentOutage(now) != null && currentOutage(now) != Outage.SLOW;
    }

    /** True while nobody can connect to it. */
    public boolean isDown(long now) {
        return currentOutage(now) == Outage.DOWN;
    }

    // ---- calls ------------------------------------------------------------------------------------------
    /** A forwarder opens a connection; false if it holds as many as it takes. */
    public boolean connect(String host, int forwarder) {
        Endpoint endpoint = endpoints.get(host);
        if (endpoint == null) {
            return false;
        }
        int openConnections = endpoint.connections.values().stream().mapToInt(Integer::intValue).sum();
        if (openConnections >= maxConnections) {
            return false;
        }
        endpoint.connections.merge(forwarder, 1, Integer::sum);
        return true;
    }

    /** A connection of a forwarder is closed. */
    public void disconnect(String host, int forwarder) {
        Endpoint endpoint = endpoints.get(host);
        if (endpoint != null) {
            endpoint.connections.computeIfPresent(forwarder, (f, n) -> n > 1 ? n - 1 : null);
        }
    }

    /** A forwarder has died: its connections are gone. */
    public void disconnectAll(int forwarder) {
        endpoints.values().forEach(endpoint -> endpoint.connections.remove(forwarder));
    }

    /** A call's last byte has come; {@code work}: of each message at a partner of usual pace, microseconds. */
    public Answer call(String host, int forwarder, long[] work, long now) {
        calls++;
        Outage current = currentOutage(now);
        Endpoint endpoint = endpoints.get(host);
        Answer answer = endpoint == null || current == Outage.DOWN
                ? new Answer(Status.NO_CONNECTION, now, 0)
                : answer(endpoint, work, current, now);
        if (current == null) {
            checkOverload(forwarder, 1 + (work.length - 1) * kind.extraMessageCost(), now);
        }
        return answer;
    }

    /** A forwarder has been told that a call or probe has failed or was refused here. */
    public void failureSeen(int forwarder, long now) {
        if (isUnavailable(now)) {
            forwardersThatSawFailure.add(forwarder);
        }
    }

    private Answer answer(Endpoint endpoint, long[] work, Outage current, long now) {
        if (current == Outage.SHUT) {
            return refuse(now);
        }
        if (current == Outage.FAILING && random.chance(outageStrength)) {
            return new Answer(Status.ERROR, now + ERROR_DELAY_MICROS, 0);
        }
        if (!limiter.tryAcquire(now)) {
            return refuse(now);
        }
        if (current == Outage.SILENT) {
            return new Answer(Status.NO_ANSWER, Long.MAX_VALUE, 0);
        }
        int soonest = 0;
        for (int i = 1; i < endpoint.serverFreeAtMicros.length; i++) {
            soonest = endpoint.serverFreeAtMicros[i] < endpoint.serverFreeAtMicros[soonest] ? i : soonest;
        }
        long startMicros = Math.max(now, endpoint.serverFreeAtMicros[soonest]);
        if (startMicros - now > maxQueueMicros) {
            return refuse(now);
        }
        double totalWork = 0;
        for (int i = 0; i < work.length; i++) {
            totalWork += work[i] * (i == 0 ? 1 : kind.extraMessageCost());
        }
        double serviceMicros =
                totalWork * workFactor * random.lognormal(kind.workVariation()) / capacityShare(now) * (current == Outage.SLOW ? outageStrength : 1);
        endpoint.serverFreeAtMicros[soonest] = startMicros + (long) serviceMicros;
        served += work.length;
        // An outage that begins before the answer takes it along; that is seen when the answer is due.
        return new Answer(Status.DELIVERED, startMicros + (long) serviceMicros, 0);
    }

    private Answer refuse(long now) {
        refused++;
        long retryAfterMicros =
                sendsRetryAfter && outage == null ? Math.max(random.in(kind.retryAfterMicros()), limiter.availableAtMicros(now) - now) : 0;
        return new Answer(Status.FULL, now + REFUSAL_DELAY_MICROS, retryAfterMicros);
    }

    /** True if an answer that was decided earlier can be written now: something may have gone wrong since. */
    public boolean canStillAnswer(String host, long now) {
        Outage current = currentOutage(now);
        return endpoints.containsKey(host) && current != Outage.SILENT && current != Outage.DOWN;
    }

    private void checkOverload(int forwarder, double work, long now) {
        if (recoveringSinceMicros == Long.MIN_VALUE || now - recoveringSinceMicros >= recovery.rampMicros() + recovery.overloadMicros()) {
            recentCalls.clear();
            return;
        }
        recentCalls.addLast(new RecentCall(now, forwarder, work));
        while (recentCalls.peekFirst().atMicros() < now - recovery.overloadMicros()) {
            recentCalls.removeFirst();
        }
        double totalWork = recentCalls.stream().mapToDouble(RecentCall::work).sum();
        // A little slack for chance, as a few calls are no flood.
        if (totalWork > 3 + recovery.overloadFactor() * messagesPerSecond * capacityShare(now) * recovery.overloadMicros() / 1e6) {
            double informedWork = recentCalls.stream()
                    .filter(a -> forwardersThatSawFailure.contains(a.forwarder()))
                    .mapToDouble(RecentCall::work)
                    .sum();
            overloads++;
            overloadsByInformedForwarders += informedWork >= 2 * totalWork / 3 ? 1 : 0;
            overloadedUntilMicros = now + OVERLOAD_DOWNTIME_MICROS;
            recentCalls.clear();
        }
    }

    // ---- figures ----------------------------------------------------------------------------------------
    /** Calls that came. */
    public long calls() {
        return calls;
    }

    /** Calls that it turned away. */
    public long refused() {
        return refused;
    }

    /** Messages that it worked on. */
    public long served() {
        return served;
    }

    /** How often it fell over. */
    public int overloads() {
        return overloads;
    }

    /** How often it fell over and two thirds of what came were from forwarders that had seen it fail. */
    public int overloadsByInformedForwarders() {
        return overloadsByInformedForwarders;
    }
}
