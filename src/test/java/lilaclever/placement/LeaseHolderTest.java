package lilaclever.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class LeaseHolderTest {
    private static final long SECOND = 1_000_000;
    private static final LeaseTiming TIMING = new LeaseTiming(2 * SECOND, 10 * SECOND, 0.01, SECOND);
    /** From the sending of a heartbeat: 10 s, less 1% of drift, less 1 s of margin. */
    private static final long SEND_TIME = 8_900_000;

    private static final MemberId MEMBER = new MemberId(4);
    private static final MemberId OTHER = new MemberId(5);
    private static final long INCARNATION = 7;
    private static final int SHARD = 3;

    private final LeaseHolder holder = new LeaseHolder(MEMBER, INCARNATION, TIMING);

    @Test
    void mayNotSendBeforeARenewalCoversTheAssignment() {
        refused(SendPermission.Reason.NOT_OWNER, 0);
        holder.heartbeat(0);
        apply(change(0, 1, grants(1), List.of()));
        refused(SendPermission.Reason.NOT_COVERED, 0);
        assertEquals(HolderResult.APPLIED, renew(1, 1, 0));
        permitted(1, SEND_TIME, 0);
    }

    @Test
    void leaseRunsFromTheSendingOfTheHeartbeatHoweverLateTheRenewal() {
        assigned();
        assertEquals(HolderResult.APPLIED, renew(1, 1, 5 * SECOND));
        permitted(1, SEND_TIME, SEND_TIME - 1);
        refused(SendPermission.Reason.LEASE_EXPIRED, SEND_TIME);
        assertEquals(HolderResult.LEASE_OVER, renew(1, 1, SEND_TIME));
        refused(SendPermission.Reason.LEASE_EXPIRED, SEND_TIME);
    }

    @Test
    void doubledAndReorderedRenewalsDoNotChangeTheEnd() {
        assigned();
        holder.heartbeat(2 * SECOND);
        assertEquals(HolderResult.APPLIED, renew(2, 1, 3 * SECOND));
        assertEquals(HolderResult.APPLIED, renew(1, 1, 3 * SECOND));
        assertEquals(HolderResult.APPLIED, renew(2, 1, 4 * SECOND));
        permitted(1, 2 * SECOND + SEND_TIME, 4 * SECOND);
    }

    @Test
    void renewalOfAnUnknownHeartbeatIsPassedOver() {
        assigned();
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
        assigned();
        holder.leaseRenewed(new ControllerEvent.LeaseRenewed(MEMBER, INCARNATION, 1, 100 * SECOND, 1), 0);
        permitted(1, SEND_TIME, 0);
    }

    @Test
    void renewalForAnEarlierRevisionDoesNotCoverANewShard() {
        assigned();
        renew(1, 1, 0);
        apply(change(1, 2, List.of(new ShardGrant(8, 1)), List.of()));
        assertEquals(SendPermission.Reason.NOT_COVERED, reason(holder.maySend(8, 0)));
        permitted(1, SEND_TIME, 0);
        holder.heartbeat(SECOND);
        renew(2, 2, SECOND);
        assertEquals(new SendPermission.Permitted(1, SECOND + SEND_TIME), holder.maySend(8, SECOND));
    }

    @Test
    void renewalForALaterRevisionCountsOnlyOnceThatIsApplied() {
        assigned();
        renew(1, 1, 0);
        holder.heartbeat(2 * SECOND);
        renew(2, 2, 2 * SECOND);
        permitted(1, SEND_TIME, 2 * SECOND);
        apply(change(1, 2, List.of(new ShardGrant(8, 1)), List.of()));
        permitted(1, 2 * SECOND + SEND_TIME, 2 * SECOND);
    }

    @Test
    void gapIsPassedOverAndTheHeartbeatNamesTheRevision() {
        assigned();
        assertEquals(HolderResult.REVISION_GAP, holder.assignmentChanged(change(2, 3, grants(2), List.of())));
        assertEquals(1, holder.heartbeat(0).appliedRevision());
        assertEquals(HolderResult.STALE_REVISION, holder.assignmentChanged(change(0, 1, grants(1), List.of())));
    }

    @Test
    void wholeAssignmentReplacesWhatIsHeldAndReleasesTheRest() {
        assigned();
        renew(1, 1, 0);
        apply(new ControllerEvent.AssignmentChanged(
                MEMBER, INCARNATION, 0, 5, true, List.of(new ShardGrant(9, 2)), List.of()));
        refused(SendPermission.Reason.NOT_OWNER, 0);
        assertEquals(
                List.of(new ShardGrant(SHARD, 1)),
                holder.takeRelease().orElseThrow().shards());
        assertEquals(5, holder.heartbeat(0).appliedRevision());
    }

    @Test
    void wholeAssignmentKeepsTheLeaseOfAShardUnderTheSameEpoch() {
        assigned();
        renew(1, 1, 0);
        apply(new ControllerEvent.AssignmentChanged(MEMBER, INCARNATION, 0, 5, true, grants(1), List.of()));
        permitted(1, SEND_TIME, 0);
        apply(new ControllerEvent.AssignmentChanged(MEMBER, INCARNATION, 0, 6, true, grants(4), List.of()));
        refused(SendPermission.Reason.NOT_COVERED, 0);
    }

    @Test
    void olderEpochIsRefusedWithTheWholeMessage() {
        assigned();
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
        assigned();
        renew(1, 1, 0);
        assertEquals(HolderResult.APPLIED, holder.callStarted(SHARD, 1, 0));
        assertEquals(HolderResult.APPLIED, holder.callStarted(SHARD, 1, 0));
        apply(change(1, 2, List.of(), grants(1)));
        refused(SendPermission.Reason.NOT_OWNER, 0);
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
    void repeatedAssignmentIsAnsweredByTheReleaseAgainUnlessACallIsOut() {
        assigned();
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
    void grantThatWasNeverSeenIsReleasedAndNotTakenLater() {
        apply(new ControllerEvent.AssignmentChanged(MEMBER, INCARNATION, 0, 3, true, List.of(), grants(2)));
        assertEquals(grants(2), holder.takeRelease().orElseThrow().shards());
        assertEquals(HolderResult.OLDER_EPOCH, holder.assignmentChanged(change(3, 4, grants(2), List.of())));
    }

    @Test
    void callUnderAnEarlierGrantIsNotStarted() {
        assigned();
        renew(1, 1, 0);
        permitted(1, SEND_TIME, 0);
        apply(change(1, 2, List.of(), grants(1)));
        apply(change(2, 3, grants(3), List.of()));
        holder.heartbeat(SECOND);
        renew(2, 3, SECOND);
        assertEquals(HolderResult.OLDER_EPOCH, holder.callStarted(SHARD, 1, SECOND));
        assertEquals(HolderResult.APPLIED, holder.callStarted(SHARD, 3, SECOND));
        assertEquals(HolderResult.UNKNOWN_CALL, holder.callFinished(SHARD, 1));
        assertEquals(HolderResult.APPLIED, holder.callFinished(SHARD, 3));
        assertEquals(HolderResult.UNKNOWN_CALL, holder.callFinished(SHARD, 3));
    }

    @Test
    void callIsNotStartedAfterExpiry() {
        assigned();
        renew(1, 1, 0);
        assertEquals(HolderResult.NOT_PERMITTED, holder.callStarted(SHARD, 1, SEND_TIME));
    }

    @Test
    void clockThatStepsBackEndsAllLeasesAndForgetsTheHeartbeats() {
        assigned();
        renew(1, 1, 5 * SECOND);
        refused(SendPermission.Reason.NOT_COVERED, 4 * SECOND);
        assertEquals(HolderResult.UNKNOWN_HEARTBEAT, renew(1, 1, 4 * SECOND));
        holder.heartbeat(4 * SECOND);
        assertEquals(HolderResult.APPLIED, renew(2, 1, 4 * SECOND));
        permitted(1, 4 * SECOND + SEND_TIME, 4 * SECOND);
    }

    @Test
    void mapThatNamesAnotherOwnerUnderANewerEpochStopsTheShard() {
        assigned();
        renew(1, 1, 0);
        assertEquals(HolderResult.OLDER_EPOCH, holder.ownerChanged(new MapDelta.OwnerChange(SHARD, OTHER, 1)));
        assertEquals(HolderResult.NOT_ADDRESSED, holder.ownerChanged(new MapDelta.OwnerChange(SHARD, null, 2)));
        assertEquals(HolderResult.NOT_ADDRESSED, holder.ownerChanged(new MapDelta.OwnerChange(SHARD, MEMBER, 2)));
        permitted(1, SEND_TIME, 0);
        assertEquals(HolderResult.APPLIED, holder.ownerChanged(new MapDelta.OwnerChange(SHARD, OTHER, 2)));
        refused(SendPermission.Reason.NOT_OWNER, 0);
        assertEquals(HolderResult.OLDER_EPOCH, holder.assignmentChanged(change(1, 2, grants(2), List.of())));
    }

    @Test
    void messagesToAnotherMemberOrLifeArePassedOver() {
        assigned();
        assertEquals(
                HolderResult.NOT_ADDRESSED,
                holder.leaseRenewed(new ControllerEvent.LeaseRenewed(OTHER, INCARNATION, 1, 10 * SECOND, 1), 0));
        assertEquals(
                HolderResult.NOT_ADDRESSED,
                holder.leaseRenewed(new ControllerEvent.LeaseRenewed(MEMBER, INCARNATION - 1, 1, 10 * SECOND, 1), 0));
        assertEquals(
                HolderResult.NOT_ADDRESSED,
                holder.assignmentChanged(new ControllerEvent.AssignmentChanged(
                        MEMBER, INCARNATION + 1, 1, 2, false, List.of(), grants(1))));
        assertEquals(1, holder.assignedShards());
    }

    @Test
    void renewalsAreRememberedForABoundedNumberOfRevisions() {
        assigned();
        renew(1, 1, 0);
        for (int revision = 2; revision <= RenewalHistory.CAPACITY + 1; revision++) {
            renew(1, revision, 0);
        }
        refused(SendPermission.Reason.NOT_COVERED, 0);
        apply(change(1, 2, List.of(), List.of()));
        permitted(1, SEND_TIME, 0);
    }

    private void assigned() {
        holder.heartbeat(0);
        apply(change(0, 1, grants(1), List.of()));
    }

    private void apply(ControllerEvent.AssignmentChanged change) {
        assertEquals(HolderResult.APPLIED, holder.assignmentChanged(change));
    }

    private HolderResult renew(long sequence, long revision, long nowMicros) {
        return holder.leaseRenewed(
                new ControllerEvent.LeaseRenewed(MEMBER, INCARNATION, sequence, 10 * SECOND, revision), nowMicros);
    }

    private static List<ShardGrant> grants(long epoch) {
        return List.of(new ShardGrant(SHARD, epoch));
    }

    private static ControllerEvent.AssignmentChanged change(
            long from, long to, List<ShardGrant> granted, List<ShardGrant> revoked) {
        return new ControllerEvent.AssignmentChanged(MEMBER, INCARNATION, from, to, false, granted, revoked);
    }

    private void permitted(long epoch, long untilMicros, long nowMicros) {
        assertEquals(new SendPermission.Permitted(epoch, untilMicros), holder.maySend(SHARD, nowMicros));
    }

    private void refused(SendPermission.Reason reason, long nowMicros) {
        assertEquals(reason, reason(holder.maySend(SHARD, nowMicros)));
    }

    private static SendPermission.Reason reason(SendPermission permission) {
        assertTrue(permission instanceof SendPermission.Refused, () -> "permitted: " + permission);
        return assertInstanceOf(SendPermission.Refused.class, permission).reason();
    }
}
