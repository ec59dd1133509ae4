package lilaclever.lab.fleet;

import java.util.Arrays;
import lilaclever.placement.SendPermission;
import org.HdrHistogram.Histogram;

/**
 * Follows who may send for each shard of a region, over virtual time. A permission begins only when a process applies a
 * renewal or an assignment, so it is there that the former sender is asked whether it may still send. That covers every
 * moment: a permission ends by the passing of time, but never begins by it.
 */
final class OwnershipChecker {
    private static final long SERVED = -1;

    private final int region;
    private final EventQueue queue;
    private final FleetChecks checks;
    private final ForwarderProcess[] senders;
    private final long[] epochs;
    /** Since when nobody may send for the shard, or {@link #SERVED}. */
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

    /** A process has applied a change of its assignment; what was revoked is stopped. */
    void assignmentChanged(ForwarderProcess process, Iterable<Integer> revoked) {
        for (int shard : revoked) {
            if (senders[shard] == process) {
                markUnserved(shard, queue.now());
            }
        }
        findNewPermissions(process);
    }

    /** A process has ended, or its lease has: nobody may send for its shards since then. */
    void ended(ForwarderProcess process) {
        long sinceMicros = Math.min(queue.now(), process.permittedUntilMicros);
        for (int shard : process.holder.assignedShardNumbers()) {
            if (senders[shard] == process) {
                markUnserved(shard, sinceMicros);
            }
        }
        process.servesAllShards = false;
    }

    /** How many shards a process is the present sender of. */
    int shardsOf(ForwarderProcess process) {
        int count = 0;
        for (int shard : process.holder.assignedShardNumbers()) {
            if (senders[shard] == process) {
                count++;
            }
        }
        return count;
    }

    /** The sender of a shard, or null if nobody may send for it. */
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

    /** How many shards have got a sender in another forwarder than before. */
    long moves() {
        return moves;
    }

    /** When a shard that nobody might send for last got a sender. */
    long lastRestoredMicros() {
        return lastRestoredMicros;
    }

    /** How long shards were without a sender, milliseconds. */
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
            // The former sender's lease has run out without notice: since then nobody might send.
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
