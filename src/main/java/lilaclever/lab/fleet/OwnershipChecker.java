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
    private final long[] unservedSince;

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
        unservedSince = new long[shards];
        Arrays.fill(unservedSince, 0);
        unserved = shards;
        checks.unservedChanged(shards);
    }

    /** A process has applied a renewal. */
    void renewed(ForwarderProcess process) {
        if (!process.settled) {
            findNewPermissions(process);
        }
    }

    /** A process has applied a change of its assignment; what was revoked is stopped. */
    void assignmentChanged(ForwarderProcess process, Iterable<Integer> revoked) {
        for (int shard : revoked) {
            if (senders[shard] == process) {
                stopped(shard, queue.now());
            }
        }
        findNewPermissions(process);
    }

    /** A process has ended, or its lease has: nobody may send for its shards since then. */
    void ended(ForwarderProcess process) {
        long since = Math.min(queue.now(), process.permittedUntil);
        for (int shard : process.holder.assignedShardNumbers()) {
            if (senders[shard] == process) {
                stopped(shard, since);
            }
        }
        process.settled = false;
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
        return unservedSince[shard] == SERVED ? senders[shard] : null;
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
        boolean settled = true;
        for (int shard : process.holder.assignedShardNumbers()) {
            if (senders[shard] == process && unservedSince[shard] == SERVED) {
                continue;
            }
            SendPermission permission = process.holder.maySend(shard, process.forwarder.clock.now());
            if (permission instanceof SendPermission.Permitted permitted) {
                begins(process, shard, permitted.epoch());
            } else {
                settled = false;
            }
        }
        process.settled = settled;
    }

    private void begins(ForwarderProcess process, int shard, long epoch) {
        ForwarderProcess before = senders[shard];
        checks.checked();
        if (before != null && before != process) {
            checkFormer(before, process, shard, epoch);
        }
        if (before == null || before.forwarder != process.forwarder) {
            moves++;
        }
        if (unservedSince[shard] == SERVED) {
            // The former sender's lease has run out without notice: since then nobody might send.
            stopped(shard, Math.min(queue.now(), before.permittedUntil));
        }
        gapMillis.recordValue((queue.now() - unservedSince[shard]) / 1_000);
        unservedSince[shard] = SERVED;
        unserved--;
        checks.unservedChanged(-1);
        lastRestoredMicros = queue.now();
        senders[shard] = process;
        epochs[shard] = epoch;
    }

    private void checkFormer(ForwarderProcess before, ForwarderProcess process, int shard, long epoch) {
        if (before.maySend(shard)) {
            broken(
                    FleetBreach.Kind.TWO_SENDERS,
                    "shard " + shard + ": " + before.forwarder.id + " and " + process.forwarder.id);
        }
        if (epoch <= epochs[shard]) {
            broken(FleetBreach.Kind.EPOCH_NOT_GREATER, "shard " + shard + ": " + epoch + " after " + epochs[shard]);
        }
        before.settled = false;
    }

    private void stopped(int shard, long sinceMicros) {
        if (unservedSince[shard] == SERVED) {
            unservedSince[shard] = sinceMicros;
            unserved++;
            peakUnserved = Math.max(peakUnserved, unserved);
            checks.unservedChanged(1);
        }
    }

    private void broken(FleetBreach.Kind kind, String detail) {
        checks.broken(new FleetBreach(kind, queue.now(), region, detail));
    }
}
