package lilaclever.lab.fleet;

import java.util.TreeSet;
import lilaclever.placement.LeaseHolder;
import lilaclever.placement.SendPermission;

/** One life of a hollow forwarder's process: a real lease holder, and the version of the map that it has. */
final class ForwarderProcess {
    /** Most versions that are kept while an earlier one is missing; what is dropped is fetched again. */
    static final int MAX_EARLY_VERSIONS = 64;

    final SimulatedForwarder forwarder;
    final long incarnation;
    final boolean previousProcessEnded;
    final long startedMicros;
    final LeaseHolder holder;
    boolean ended;
    boolean leaving;

    /** Last heartbeat and the reading of the clock at which it was sent. */
    long lastSequence;

    long lastSentClockMicros;

    /** Number of the last batch of the region's map, and those that arrived before their predecessors. */
    long mapVersion;

    final TreeSet<Long> earlyVersions = new TreeSet<>();
    boolean fetchScheduled;
    /** Virtual time until which the process takes its map, and its configuration, to be current. */
    long mapFreshUntilMicros;

    long configurationFreshUntilMicros;

    /** Virtual time until which it may send for the shards that the last renewal covered. */
    long permittedUntilMicros;
    /** Whether the checker has it as the sender for all shards assigned to it. */
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

    /** Whether it may send for a shard at this moment. */
    boolean maySend(int shard) {
        return !ended && holder.maySend(shard, forwarder.clock.now()) instanceof SendPermission.Permitted;
    }

    /** Keeps a version that came early. */
    void addEarlyVersion(long version) {
        earlyVersions.add(version);
        if (earlyVersions.size() > MAX_EARLY_VERSIONS) {
            earlyVersions.pollLast();
        }
    }
}
