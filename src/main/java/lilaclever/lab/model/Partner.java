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
        NEVER,
        NO_CONNECTION
    }

    /**
     * The answer to a call, or to one message of it.
     *
     * @param atMicros when it is written; for {@link Status#NEVER} nothing is
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
    public record Cold(double initialCapacity, long rampMicros, double overloadFactor, long overloadMicros) {}

    /** {@code work}: in messages that come alone. */
    private record Arrival(long at, int forwarder, double work) {}

    private final class Endpoint {
        final long[] freeAt;
        final Map<Integer, Integer> connections = new HashMap<>();

        Endpoint(int servers) {
            freeAt = new long[servers];
        }
    }

    private static final double MOST_STRETCH = 3;
    private static final long REFUSED_AFTER = 2_000, FAILS_AFTER = 5_000, DOWN_FOR = 3_600_000_000L;

    private final int destination;
    private final PartnerKind kind;
    private final Cold cold;
    private final RandomStream random;
    private final double pace, perSecond, meanSeconds;
    private final int servers;
    private final long depthMicros;
    private final int connections;
    private final boolean tellsWait;
    private final Allowance allowance;
    private final Map<String, Endpoint> endpoints = new LinkedHashMap<>();
    /** Work since it came back, of the last while: what makes it fall over. */
    private final ArrayDeque<Arrival> lately = new ArrayDeque<>();

    private final Set<Integer> sawItFail = new HashSet<>();
    private Outage outage;
    private double strength;
    private long outageUntil, coldSince = Long.MIN_VALUE, fallenUntil = Long.MIN_VALUE;
    private long calls, refused, served;
    private int falls, fallsByKnowing;

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
            Cold cold,
            RandomStream random) {
        this.destination = destination;
        this.kind = kind;
        this.cold = cold;
        this.random = random;
        double drawnPace = random.lognormal(0.6);
        double limit = Math.max(random.in(kind.leastRate()), random.in(kind.headroom()) * ratePerSecond);
        double capacity = limit * (kind.limit() == PartnerKind.Limit.NONE ? 1 : random.in(kind.spare()));
        double needed = capacity * meanWorkMicros * drawnPace / 1e6 / endpointCount;
        servers = Math.max(1, (int) Math.round(needed));
        // Servers are whole: the pace makes up for it, so that what was drawn is what the partner can do. Of a partner
        // so
        // small that one server is mostly idle it makes up a part only.
        pace = drawnPace * Math.min(MOST_STRETCH, servers / needed);
        double work = meanWorkMicros * pace / 1e6;
        perSecond = servers * endpointCount / work;
        meanSeconds = work;
        depthMicros = (long) (random.in(kind.depthSeconds()) * 1e6);
        connections = kind.connections()[1] == 0
                ? Integer.MAX_VALUE
                : (int) Math.max(random.in(kind.leastConnections()), random.in(kind.connections()) * servers);
        tellsWait = random.chance(kind.tellsWait());
        allowance = new Allowance(kind.limit(), limit, kind.spanMicros(), random.chance(kind.refusedCount()));
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
        return perSecond;
    }

    /** Seconds that it works on a message in the mean, when warm. */
    public double meanServiceSeconds() {
        return meanSeconds;
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
    public void startOutage(Outage what, double howMuch, long until) {
        outage = what;
        strength = howMuch;
        outageUntil = until;
        if (what != Outage.SLOW) {
            sawItFail.clear();
        }
    }

    /** Lowers its limit to a part until the given time, without a word; that is no outage. */
    public void lowerLimit(double toPart, long until) {
        allowance.lower(toPart, until);
    }

    private Outage now(long now) {
        if (outage != null && now >= outageUntil) {
            if (outage != Outage.SLOW) {
                coldSince = outageUntil;
                lately.clear();
                endpoints
                        .values()
                        .forEach(e -> java.util.Arrays.fill(e.freeAt, outageUntil)); // what was queued is dropped
            }
            outage = null;
        }
        return now < fallenUntil ? Outage.DOWN : outage;
    }

    /** The part of its usual work that it can do now. */
    public double capacityShare(long now) {
        now(now);
        if (coldSince == Long.MIN_VALUE || now - coldSince >= cold.rampMicros()) {
            return 1;
        }
        return cold.initialCapacity() + (1 - cold.initialCapacity()) * (now - coldSince) / cold.rampMicros();
    }

    /** True if it is down after it fell over, or from something that is wrong now. */
    public boolean isUnavailable(long now) {
        return now(now) != null && now(now) != Outage.SLOW;
    }

    /** True while nobody can connect to it. */
    public boolean isDown(long now) {
        return now(now) == Outage.DOWN;
    }

    // ---- calls ------------------------------------------------------------------------------------------
    /** A forwarder opens a connection; false if it holds as many as it takes. */
    public boolean connect(String host, int forwarder) {
        Endpoint e = endpoints.get(host);
        if (e == null) {
            return false;
        }
        int all = e.connections.values().stream().mapToInt(Integer::intValue).sum();
        if (all >= connections) {
            return false;
        }
        e.connections.merge(forwarder, 1, Integer::sum);
        return true;
    }

    /** A connection of a forwarder is closed. */
    public void disconnect(String host, int forwarder) {
        Endpoint e = endpoints.get(host);
        if (e != null) {
            e.connections.computeIfPresent(forwarder, (f, n) -> n > 1 ? n - 1 : null);
        }
    }

    /** A forwarder has died: its connections are gone. */
    public void disconnectAll(int forwarder) {
        endpoints.values().forEach(e -> e.connections.remove(forwarder));
    }

    /** A call's last byte has come; {@code work}: of each message at a partner of usual pace, microseconds. */
    public Answer call(String host, int forwarder, long[] work, long now) {
        calls++;
        Outage wrong = now(now);
        Endpoint e = endpoints.get(host);
        Answer answer = e == null || wrong == Outage.DOWN
                ? new Answer(Status.NO_CONNECTION, now, 0)
                : answer(e, work, wrong, now);
        if (wrong == null) {
            tip(forwarder, 1 + (work.length - 1) * kind.itemCost(), now);
        }
        return answer;
    }

    /** A forwarder has been told that a call or probe has failed or was refused here. */
    public void failureSeen(int forwarder, long now) {
        if (isUnavailable(now)) {
            sawItFail.add(forwarder);
        }
    }

    private Answer answer(Endpoint e, long[] work, Outage wrong, long now) {
        if (wrong == Outage.SHUT) {
            return full(now);
        }
        if (wrong == Outage.FAILING && random.chance(strength)) {
            return new Answer(Status.ERROR, now + FAILS_AFTER, 0);
        }
        if (!allowance.take(now)) {
            return full(now);
        }
        if (wrong == Outage.SILENT) {
            return new Answer(Status.NEVER, Long.MAX_VALUE, 0);
        }
        int soonest = 0;
        for (int i = 1; i < e.freeAt.length; i++) {
            soonest = e.freeAt[i] < e.freeAt[soonest] ? i : soonest;
        }
        long begin = Math.max(now, e.freeAt[soonest]);
        if (begin - now > depthMicros) {
            return full(now);
        }
        double all = 0;
        for (int i = 0; i < work.length; i++) {
            all += work[i] * (i == 0 ? 1 : kind.itemCost());
        }
        double took =
                all * pace * random.lognormal(kind.variation()) / capacityShare(now) * (wrong == Outage.SLOW ? strength : 1);
        e.freeAt[soonest] = begin + (long) took;
        served += work.length;
        // An outage that begins before the answer takes it along; that is seen when the answer is due.
        return new Answer(Status.DELIVERED, begin + (long) took, 0);
    }

    private Answer full(long now) {
        refused++;
        long wait =
                tellsWait && outage == null ? Math.max(random.in(kind.waitMicros()), allowance.roomAt(now) - now) : 0;
        return new Answer(Status.FULL, now + REFUSED_AFTER, wait);
    }

    /** True if an answer that was decided earlier can be written now: something may have gone wrong since. */
    public boolean canStillAnswer(String host, long now) {
        Outage wrong = now(now);
        return endpoints.containsKey(host) && wrong != Outage.SILENT && wrong != Outage.DOWN;
    }

    private void tip(int forwarder, double work, long now) {
        if (coldSince == Long.MIN_VALUE || now - coldSince >= cold.rampMicros() + cold.overloadMicros()) {
            lately.clear();
            return;
        }
        lately.addLast(new Arrival(now, forwarder, work));
        while (lately.peekFirst().at() < now - cold.overloadMicros()) {
            lately.removeFirst();
        }
        double sent = lately.stream().mapToDouble(Arrival::work).sum();
        // A little slack for chance, as a few calls are no flood.
        if (sent > 3 + cold.overloadFactor() * perSecond * capacityShare(now) * cold.overloadMicros() / 1e6) {
            double knowing = lately.stream()
                    .filter(a -> sawItFail.contains(a.forwarder()))
                    .mapToDouble(Arrival::work)
                    .sum();
            falls++;
            fallsByKnowing += knowing >= 2 * sent / 3 ? 1 : 0;
            fallenUntil = now + DOWN_FOR;
            lately.clear();
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
        return falls;
    }

    /** How often it fell over and two thirds of what came were from forwarders that had seen it fail. */
    public int overloadsByInformedForwarders() {
        return fallsByKnowing;
    }
}
