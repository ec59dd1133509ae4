package lilaclever.simulation.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Set;
import lilaclever.placement.ControllerEvent;
import lilaclever.placement.LeaseHolder;
import lilaclever.placement.LeaseTiming;
import lilaclever.placement.MemberId;
import lilaclever.placement.ShardGrant;
import org.junit.jupiter.api.Test;

/**
 * Checks that the checker detects each breach, with lease holders that receive events that no correct controller would
 * send.
 */
class OwnershipCheckerTest {
    private static final LeaseTiming TIMING = new LeaseTiming(2_000_000, 8_000_000, 0.001, 500_000);
    private static final int SHARD = 2;

    private final EventQueue queue = new EventQueue();
    private final FleetChecks checks = new FleetChecks();
    private final OwnershipChecker checker = new OwnershipChecker(0, 4, queue, checks);

    @Test
    void twoHoldersOfOneShardAreABreach() {
        grantShard(process(1), 1);
        grantShard(process(2), 2);
        assertEquals(List.of(FleetBreach.Kind.TWO_SENDERS), breachKinds());
    }

    @Test
    void holderThatResumesWhileAnotherSendsIsABreach() {
        ForwarderProcess first = process(1);
        grantShard(first, 1);
        queue.runUntil(9_000_000);
        grantShard(process(2), 2);
        assertEquals(List.of(), breachKinds());
        renew(first, 2);
        assertEquals(List.of(FleetBreach.Kind.TWO_SENDERS, FleetBreach.Kind.EPOCH_NOT_GREATER), breachKinds());
    }

    @Test
    void epochThatIsNotGreaterIsABreach() {
        grantShard(process(1), 5);
        queue.runUntil(9_000_000);
        grantShard(process(2), 5);
        assertEquals(List.of(FleetBreach.Kind.EPOCH_NOT_GREATER), breachKinds());
    }

    @Test
    void gapCountsFromTheEndOfTheFormerLease() {
        assertEquals(4, checker.unserved());
        ForwarderProcess first = process(1);
        grantShard(first, 1);
        assertEquals(3, checker.unserved());
        first.permittedUntilMicros = 7_000_000;
        queue.runUntil(9_000_000);
        grantShard(process(2), 2);
        assertEquals(2_000, checker.gapMillis().getMaxValue(), 10);
        assertEquals(2, checker.moves());
        assertEquals(List.of(), breachKinds());
    }

    @Test
    void processThatEndsLeavesItsShardsWithoutAnOwner() {
        ForwarderProcess process = process(1);
        grantShard(process, 1);
        checker.ended(process);
        assertEquals(4, checker.unserved());
    }

    private ForwarderProcess process(int number) {
        MemberId id = new MemberId(number);
        SimulatedForwarder forwarder = new SimulatedForwarder(id, 0, 0, 0, 0, 0, new SimulatedClock(queue, 1, 0));
        return new ForwarderProcess(forwarder, 1, true, 0, new LeaseHolder(id, 1, TIMING));
    }

    private void grantShard(ForwarderProcess process, long epoch) {
        process.holder.assignmentChanged(new ControllerEvent.AssignmentChanged(
                process.forwarder.id, 1, 0, 1, true, List.of(new ShardGrant(SHARD, epoch)), List.of()));
        checker.assignmentChanged(process, Set.of());
        renew(process, 1);
    }

    private void renew(ForwarderProcess process, long sequence) {
        process.holder.heartbeat(process.forwarder.clock.now());
        process.holder.leaseRenewed(
                new ControllerEvent.LeaseRenewed(process.forwarder.id, 1, sequence, TIMING.leaseMicros(), 1),
                process.forwarder.clock.now());
        checker.renewed(process);
    }

    private List<FleetBreach.Kind> breachKinds() {
        return checks.breaches().stream().map(FleetBreach::kind).toList();
    }
}
