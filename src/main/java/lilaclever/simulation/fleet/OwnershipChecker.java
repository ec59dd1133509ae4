package lilaclever.simulation.fleet;

import java.util.Arrays;
import lilaclever.placement.SendPermission;
import org.HdrHistogram.Histogram;

/**
 * Tracks over virtual time which process may send for each shard of a region. A permission starts only when a process
 * applies a renewal or an assignment, so that is when the checker verifies that the previous sender may no longer send.
 * This covers every moment: time alone can end a permission, but never start one.
 */
final class OwnershipChecker {
    private static final long SERVED = -1;

    private final int region;
    private final EventQueue queue;
    private final FleetChecks checks;
    private final ForwarderProcess[] senders;
    private final long[] epochs;
    /** Time since which nobody may send for the shard, or {@link #SERVED}. */
    private final long[] unservedSinceMicros;

    private final Histogram gapMillis = new Histogram(3);
    private int unserved;
    private int peakUnserved;
    private long moves;
    private long lastRestoredMicros;

    OwnershipChecker(int region, int shards, EventQueue queue, FleetChecks checks) {
        this.region = region;
        this.queue = queue;
        this.checks = checks;
        senders = new ForwarderProcess[shards];
        epochs = new long[shards];
        unservedSinceMicros = new long[shards];
        Arrays.fill(unservedSinceMicros, 0);
        unserved = shards;
        checks.unservedChanged(shards);
    }

    /** A process has applied a renewal. */
    void renewed(ForwarderProcess process) {
        if (!process.servesAllShards) {
            findNewPermissions(process);
        }
    }

    /** A process has applied a change of its assignment and no longer sends for the revoked shards. */
    void assignmentChanged(ForwarderProcess process, Iterable<Integer> revoked) {
        for (int shard : revoked) {
            if (senders[shard] == process) {
                markUnserved(shard, queue.now());
            }
        }
        findNewPermissions(process);
    }

    /** A process or its lease has ended: its shards are unserved from then on. */
    void ended(ForwarderProcess process) {
        long sinceMicros = Math.min(queue.now(), process.permittedUntilMicros);
        for (int shard : process.holder.assignedShardNumbers()) {
            if (senders[shard] == process) {
                markUnserved(shard, sinceMicros);
            }
        }
        process.servesAllShards = false;
    }

    /** Number of shards that a process currently sends for. */
    int shardsOf(ForwarderProcess process) {
        int count = 0;
        for (int shard : process.holder.assignedShardNumbers()) {
            if (senders[shard] == process) {
                count++;
            }
        }
        return count;
    }

    /** The current sender of a shard, or null if it is unserved. */
    ForwarderProcess senderOf(int shard) {
        return unservedSinceMicros[shard] == SERVED ? senders[shard] : null;
    }

    int shards() {
        return senders.length;
    }

    int unserved() {
        return unserved;
    }

    int peakUnserved() {
        return peakUnserved;
    }

    /** Number of times a shard got a sender in a different forwarder. */
    long moves() {
        return moves;
    }

    /** When an unserved shard last got a sender. */
    long lastRestoredMicros() {
        return lastRestoredMicros;
    }

    /** Durations for which shards were unserved, milliseconds. */
    Histogram gapMillis() {
        return gapMillis;
    }

    void resetPeak() {
        peakUnserved = unserved;
    }

    private void findNewPermissions(ForwarderProcess process) {
        boolean servesAllShards = true;
        for (int shard : process.holder.assignedShardNumbers()) {
            if (senders[shard] == process && unservedSinceMicros[shard] == SERVED) {
                continue;
            }
            SendPermission permission = process.holder.maySend(shard, process.forwarder.clock.now());
            if (permission instanceof SendPermission.Permitted permitted) {
                permissionStarted(process, shard, permitted.epoch());
            } else {
                servesAllShards = false;
            }
        }
        process.servesAllShards = servesAllShards;
    }

    private void permissionStarted(ForwarderProcess process, int shard, long epoch) {
        ForwarderProcess previous = senders[shard];
        checks.countCheck();
        if (previous != null && previous != process) {
            checkPreviousSender(previous, process, shard, epoch);
        }
        if (previous == null || previous.forwarder != process.forwarder) {
            moves++;
        }
        if (unservedSinceMicros[shard] == SERVED) {
            // The previous sender's lease expired unnoticed; the shard has been unserved since then.
            markUnserved(shard, Math.min(queue.now(), previous.permittedUntilMicros));
        }
        gapMillis.recordValue((queue.now() - unservedSinceMicros[shard]) / 1_000);
        unservedSinceMicros[shard] = SERVED;
        unserved--;
        checks.unservedChanged(-1);
        lastRestoredMicros = queue.now();
        senders[shard] = process;
        epochs[shard] = epoch;
    }

    private void checkPreviousSender(ForwarderProcess previous, ForwarderProcess process, int shard, long epoch) {
        if (previous.maySend(shard)) {
            addBreach(
                    FleetBreach.Kind.TWO_SENDERS,
                    "shard " + shard + ": " + previous.forwarder.id + " and " + process.forwarder.id);
        }
        if (epoch <= epochs[shard]) {
            addBreach(FleetBreach.Kind.EPOCH_NOT_GREATER, "shard " + shard + ": " + epoch + " after " + epochs[shard]);
        }
        previous.servesAllShards = false;
    }

    private void markUnserved(int shard, long sinceMicros) {
        if (unservedSinceMicros[shard] == SERVED) {
            unservedSinceMicros[shard] = sinceMicros;
            unserved++;
            peakUnserved = Math.max(peakUnserved, unserved);
            checks.unservedChanged(1);
        }
    }

    private void addBreach(FleetBreach.Kind kind, String detail) {
        checks.addBreach(new FleetBreach(kind, queue.now(), region, detail));
    }
}
