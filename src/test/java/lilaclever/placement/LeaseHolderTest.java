package lilaclever.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class LeaseHolderTest {
    private static final long SECOND_MICROS = 1_000_000;
    private static final LeaseTiming TIMING =
            new LeaseTiming(2 * SECOND_MICROS, 10 * SECOND_MICROS, 0.01, SECOND_MICROS);
    /** From the sending of a heartbeat: 10 s, less 1% drift, less 1 s margin. */
    private static final long SEND_PERIOD_MICROS = 8_900_000;

    private static final MemberId MEMBER = new MemberId(4);
    private static final MemberId OTHER = new MemberId(5);
    private static final long INCARNATION = 7;
    private static final int SHARD = 3;

    private final LeaseHolder holder = new LeaseHolder(MEMBER, INCARNATION, TIMING);

    @Test
    void mayNotSendBeforeARenewalCoversTheAssignment() {
        assertRefused(SendPermission.Reason.NOT_OWNER, 0);
        holder.heartbeat(0);
        apply(change(0, 1, grants(1), List.of()));
        assertRefused(SendPermission.Reason.NOT_COVERED, 0);
        assertEquals(HolderResult.APPLIED, renew(1, 1, 0));
        assertPermitted(1, SEND_PERIOD_MICROS, 0);
    }

    @Test
    void leaseRunsFromTheSendingOfTheHeartbeatHoweverLateTheRenewalArrives() {
        assignShard();
        assertEquals(HolderResult.APPLIED, renew(1, 1, 5 * SECOND_MICROS));
        assertPermitted(1, SEND_PERIOD_MICROS, SEND_PERIOD_MICROS - 1);
        assertRefused(SendPermission.Reason.LEASE_EXPIRED, SEND_PERIOD_MICROS);
        assertEquals(HolderResult.LEASE_EXPIRED, renew(1, 1, SEND_PERIOD_MICROS));
        assertRefused(SendPermission.Reason.LEASE_EXPIRED, SEND_PERIOD_MICROS);
    }

    @Test
    void duplicatedAndReorderedRenewalsDoNotChangeTheLeaseEnd() {
        assignShard();
        holder.heartbeat(2 * SECOND_MICROS);
        assertEquals(HolderResult.APPLIED, renew(2, 1, 3 * SECOND_MICROS));
        assertEquals(HolderResult.APPLIED, renew(1, 1, 3 * SECOND_MICROS));
        assertEquals(HolderResult.APPLIED, renew(2, 1, 4 * SECOND_MICROS));
        assertPermitted(1, 2 * SECOND_MICROS + SEND_PERIOD_MICROS, 4 * SECOND_MICROS);
    }

    @Test
    void renewalOfAnUnknownHeartbeatIsIgnored() {
        assignShard();
        assertEquals(HolderResult.UNKNOWN_HEARTBEAT, renew(2, 1, 0));
        assertEquals(HolderResult.UNKNOWN_HEARTBEAT, renew(0, 1, 0));
        for (int sent = 0; sent < SentHeartbeats.CAPACITY; sent++) {
            holder.heartbeat(0);
        }
        assertEquals(HolderResult.UNKNOWN_HEARTBEAT, renew(1, 1, 0));
        assertEquals(HolderResult.APPLIED, renew(2, 1, 0));
    }

    @Test
    void renewalNeverGivesMoreThanTheConfiguredLease() {
        assignShard();
        holder.leaseRenewed(new ControllerEvent.LeaseRenewed(MEMBER, INCARNATION, 1, 100 * SECOND_MICROS, 1), 0);
        assertPermitted(1, SEND_PERIOD_MICROS, 0);
    }

    @Test
    void renewalForAnEarlierRevisionDoesNotCoverANewShard() {
        assignShard();
        renew(1, 1, 0);
        apply(change(1, 2, List.of(new ShardGrant(8, 1)), List.of()));
        assertEquals(SendPermission.Reason.NOT_COVERED, reason(holder.maySend(8, 0)));
        assertPermitted(1, SEND_PERIOD_MICROS, 0);
        holder.heartbeat(SECOND_MICROS);
        renew(2, 2, SECOND_MICROS);
        assertEquals(
                new SendPermission.Permitted(1, SECOND_MICROS + SEND_PERIOD_MICROS), holder.maySend(8, SECOND_MICROS));
    }

    @Test
    void renewalForALaterRevisionCountsOnlyOnceThatRevisionIsApplied() {
        assignShard();
        renew(1, 1, 0);
        holder.heartbeat(2 * SECOND_MICROS);
        renew(2, 2, 2 * SECOND_MICROS);
        assertPermitted(1, SEND_PERIOD_MICROS, 2 * SECOND_MICROS);
        apply(change(1, 2, List.of(new ShardGrant(8, 1)), List.of()));
        assertPermitted(1, 2 * SECOND_MICROS + SEND_PERIOD_MICROS, 2 * SECOND_MICROS);
    }

    @Test
    void changeAfterAGapIsIgnoredAndTheHeartbeatNamesTheAppliedRevision() {
        assignShard();
        assertEquals(HolderResult.REVISION_GAP, holder.assignmentChanged(change(2, 3, grants(2), List.of())));
        assertEquals(1, holder.heartbeat(0).appliedRevision());
        assertEquals(HolderResult.STALE_REVISION, holder.assignmentChanged(change(0, 1, grants(1), List.of())));
    }

    @Test
    void fullAssignmentReplacesTheShardsAndReleasesTheRest() {
        assignShard();
        renew(1, 1, 0);
        apply(new ControllerEvent.AssignmentChanged(
                MEMBER, INCARNATION, 0, 5, true, List.of(new ShardGrant(9, 2)), List.of()));
        assertRefused(SendPermission.Reason.NOT_OWNER, 0);
        assertEquals(
                List.of(new ShardGrant(SHARD, 1)),
                holder.takeRelease().orElseThrow().shards());
        assertEquals(5, holder.heartbeat(0).appliedRevision());
    }

    @Test
    void fullAssignmentKeepsTheLeaseOfAShardUnderTheSameEpoch() {
        assignShard();
        renew(1, 1, 0);
        apply(new ControllerEvent.AssignmentChanged(MEMBER, INCARNATION, 0, 5, true, grants(1), List.of()));
        assertPermitted(1, SEND_PERIOD_MICROS, 0);
        apply(new ControllerEvent.AssignmentChanged(MEMBER, INCARNATION, 0, 6, true, grants(4), List.of()));
        assertRefused(SendPermission.Reason.NOT_COVERED, 0);
    }

    @Test
    void olderEpochRejectsTheWholeMessage() {
        assignShard();
        apply(change(1, 2, List.of(), grants(1)));
        assertEquals(
                HolderResult.OLDER_EPOCH,
                holder.assignmentChanged(
                        change(2, 3, List.of(new ShardGrant(9, 1), new ShardGrant(SHARD, 1)), List.of())));
        assertEquals(0, holder.assignedShards());
        assertEquals(2, holder.appliedRevision());
        apply(change(2, 3, grants(2), List.of()));
    }

    @Test
    void revokedShardStopsAtOnceAndIsReleasedWithItsLastCall() {
        assignShard();
        renew(1, 1, 0);
        assertEquals(HolderResult.APPLIED, holder.callStarted(SHARD, 1, 0));
        assertEquals(HolderResult.APPLIED, holder.callStarted(SHARD, 1, 0));
        apply(change(1, 2, List.of(), grants(1)));
        assertRefused(SendPermission.Reason.NOT_OWNER, 0);
        assertEquals(HolderResult.NOT_PERMITTED, holder.callStarted(SHARD, 1, 0));
        assertEquals(Optional.empty(), holder.takeRelease());
        assertEquals(HolderResult.APPLIED, holder.callFinished(SHARD, 1));
        assertEquals(Optional.empty(), holder.takeRelease());
        assertEquals(HolderResult.APPLIED, holder.callFinished(SHARD, 1));
        assertEquals(grants(1), holder.takeRelease().orElseThrow().shards());
        assertEquals(Optional.empty(), holder.takeRelease());
        assertEquals(HolderResult.UNKNOWN_CALL, holder.callFinished(SHARD, 1));
    }

    @Test
    void repeatedAssignmentIsAnsweredByAnotherReleaseUnlessACallIsInFlight() {
        assignShard();
        renew(1, 1, 0);
        holder.callStarted(SHARD, 1, 0);
        apply(change(1, 2, List.of(), grants(1)));
        ControllerEvent.AssignmentChanged repeated =
                new ControllerEvent.AssignmentChanged(MEMBER, INCARNATION, 2, 2, true, List.of(), grants(1));
        assertEquals(HolderResult.REPEATED, holder.assignmentChanged(repeated));
        assertEquals(Optional.empty(), holder.takeRelease());
        holder.callFinished(SHARD, 1);
        assertEquals(grants(1), holder.takeRelease().orElseThrow().shards());
        assertEquals(HolderResult.REPEATED, holder.assignmentChanged(repeated));
        assertEquals(grants(1), holder.takeRelease().orElseThrow().shards());
    }

    @Test
    void revokedGrantThatWasNeverReceivedIsReleasedAndNotAcceptedLater() {
        apply(new ControllerEvent.AssignmentChanged(MEMBER, INCARNATION, 0, 3, true, List.of(), grants(2)));
        assertEquals(grants(2), holder.takeRelease().orElseThrow().shards());
        assertEquals(HolderResult.OLDER_EPOCH, holder.assignmentChanged(change(3, 4, grants(2), List.of())));
    }

    @Test
    void callUnderAnEarlierGrantIsNotStarted() {
        assignShard();
        renew(1, 1, 0);
        assertPermitted(1, SEND_PERIOD_MICROS, 0);
        apply(change(1, 2, List.of(), grants(1)));
        apply(change(2, 3, grants(3), List.of()));
        holder.heartbeat(SECOND_MICROS);
        renew(2, 3, SECOND_MICROS);
        assertEquals(HolderResult.OLDER_EPOCH, holder.callStarted(SHARD, 1, SECOND_MICROS));
        assertEquals(HolderResult.APPLIED, holder.callStarted(SHARD, 3, SECOND_MICROS));
        assertEquals(HolderResult.UNKNOWN_CALL, holder.callFinished(SHARD, 1));
        assertEquals(HolderResult.APPLIED, holder.callFinished(SHARD, 3));
        assertEquals(HolderResult.UNKNOWN_CALL, holder.callFinished(SHARD, 3));
    }

    @Test
    void callIsNotStartedAfterExpiry() {
        assignShard();
        renew(1, 1, 0);
        assertEquals(HolderResult.NOT_PERMITTED, holder.callStarted(SHARD, 1, SEND_PERIOD_MICROS));
    }

    @Test
    void clockThatStepsBackEndsAllLeasesAndForgetsTheHeartbeats() {
        assignShard();
        renew(1, 1, 5 * SECOND_MICROS);
        assertRefused(SendPermission.Reason.NOT_COVERED, 4 * SECOND_MICROS);
        assertEquals(HolderResult.UNKNOWN_HEARTBEAT, renew(1, 1, 4 * SECOND_MICROS));
        holder.heartbeat(4 * SECOND_MICROS);
        assertEquals(HolderResult.APPLIED, renew(2, 1, 4 * SECOND_MICROS));
        assertPermitted(1, 4 * SECOND_MICROS + SEND_PERIOD_MICROS, 4 * SECOND_MICROS);
    }

    @Test
    void mapThatNamesAnotherOwnerUnderANewerEpochStopsTheShard() {
        assignShard();
        renew(1, 1, 0);
        assertEquals(HolderResult.OLDER_EPOCH, holder.ownerChanged(new MapDelta.OwnerChange(SHARD, OTHER, 1)));
        assertEquals(HolderResult.NOT_ADDRESSED, holder.ownerChanged(new MapDelta.OwnerChange(SHARD, null, 2)));
        assertEquals(HolderResult.NOT_ADDRESSED, holder.ownerChanged(new MapDelta.OwnerChange(SHARD, MEMBER, 2)));
        assertPermitted(1, SEND_PERIOD_MICROS, 0);
        assertEquals(HolderResult.APPLIED, holder.ownerChanged(new MapDelta.OwnerChange(SHARD, OTHER, 2)));
        assertRefused(SendPermission.Reason.NOT_OWNER, 0);
        assertEquals(HolderResult.OLDER_EPOCH, holder.assignmentChanged(change(1, 2, grants(2), List.of())));
    }

    @Test
    void messagesForAnotherMemberOrIncarnationAreIgnored() {
        assignShard();
        assertEquals(
                HolderResult.NOT_ADDRESSED,
                holder.leaseRenewed(new ControllerEvent.LeaseRenewed(OTHER, INCARNATION, 1, 10 * SECOND_MICROS, 1), 0));
        assertEquals(
                HolderResult.NOT_ADDRESSED,
                holder.leaseRenewed(
                        new ControllerEvent.LeaseRenewed(MEMBER, INCARNATION - 1, 1, 10 * SECOND_MICROS, 1), 0));
        assertEquals(
                HolderResult.NOT_ADDRESSED,
                holder.assignmentChanged(new ControllerEvent.AssignmentChanged(
                        MEMBER, INCARNATION + 1, 1, 2, false, List.of(), grants(1))));
        assertEquals(1, holder.assignedShards());
    }

    @Test
    void renewalsAreRememberedForABoundedNumberOfRevisions() {
        assignShard();
        renew(1, 1, 0);
        for (int revision = 2; revision <= RenewalHistory.CAPACITY + 1; revision++) {
            renew(1, revision, 0);
        }
        assertRefused(SendPermission.Reason.NOT_COVERED, 0);
        apply(change(1, 2, List.of(), List.of()));
        assertPermitted(1, SEND_PERIOD_MICROS, 0);
    }

    private void assignShard() {
        holder.heartbeat(0);
        apply(change(0, 1, grants(1), List.of()));
    }

    private void apply(ControllerEvent.AssignmentChanged change) {
        assertEquals(HolderResult.APPLIED, holder.assignmentChanged(change));
    }

    private HolderResult renew(long sequence, long revision, long nowMicros) {
        return holder.leaseRenewed(
                new ControllerEvent.LeaseRenewed(MEMBER, INCARNATION, sequence, 10 * SECOND_MICROS, revision),
                nowMicros);
    }

    private static List<ShardGrant> grants(long epoch) {
        return List.of(new ShardGrant(SHARD, epoch));
    }

    private static ControllerEvent.AssignmentChanged change(
            long from, long to, List<ShardGrant> granted, List<ShardGrant> revoked) {
        return new ControllerEvent.AssignmentChanged(MEMBER, INCARNATION, from, to, false, granted, revoked);
    }

    private void assertPermitted(long epoch, long untilMicros, long nowMicros) {
        assertEquals(new SendPermission.Permitted(epoch, untilMicros), holder.maySend(SHARD, nowMicros));
    }

    private void assertRefused(SendPermission.Reason reason, long nowMicros) {
        assertEquals(reason, reason(holder.maySend(SHARD, nowMicros)));
    }

    private static SendPermission.Reason reason(SendPermission permission) {
        assertTrue(permission instanceof SendPermission.Refused, () -> "permitted: " + permission);
        return assertInstanceOf(SendPermission.Refused.class, permission).reason();
    }
}
