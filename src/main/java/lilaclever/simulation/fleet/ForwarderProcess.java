package lilaclever.simulation.fleet;

import java.util.TreeSet;
import lilaclever.placement.LeaseHolder;
import lilaclever.placement.SendPermission;

/** One process run of a simulated forwarder: a real lease holder, and the map version that it has. */
final class ForwarderProcess {
    /** Most versions that are retained while an earlier one is missing; dropped versions are fetched again. */
    static final int MAX_EARLY_VERSIONS = 64;

    final SimulatedForwarder forwarder;
    final long incarnation;
    final boolean previousProcessEnded;
    final long startedMicros;
    final LeaseHolder holder;
    boolean ended;
    boolean leaving;

    /** Last heartbeat and the clock reading at which it was sent. */
    long lastSequence;

    long lastSentClockMicros;

    /** Number of the last applied batch of the region's map, and later ones that arrived out of order. */
    long mapVersion;

    final TreeSet<Long> earlyVersions = new TreeSet<>();
    boolean fetchScheduled;
    /** Virtual time until which the process considers its map, and its configuration, current. */
    long mapFreshUntilMicros;

    long configurationFreshUntilMicros;

    /** Virtual time until which it may send for the shards covered by the last renewal. */
    long permittedUntilMicros;
    /** Whether the checker has this process as the sender for all shards assigned to it. */
    boolean servesAllShards;

    ForwarderProcess(
            SimulatedForwarder forwarder,
            long incarnation,
            boolean previousProcessEnded,
            long startedMicros,
            LeaseHolder holder) {
        this.forwarder = forwarder;
        this.incarnation = incarnation;
        this.previousProcessEnded = previousProcessEnded;
        this.startedMicros = startedMicros;
        this.holder = holder;
    }

    /** Whether it may send for a shard now. */
    boolean maySend(int shard) {
        return !ended && holder.maySend(shard, forwarder.clock.now()) instanceof SendPermission.Permitted;
    }

    /** Retains a version that arrived before its predecessor. */
    void addEarlyVersion(long version) {
        earlyVersions.add(version);
        if (earlyVersions.size() > MAX_EARLY_VERSIONS) {
            earlyVersions.pollLast();
        }
    }
}
