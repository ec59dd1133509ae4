package lilaclever.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.stream.IntStream;
import lilaclever.placement.ControllerCommand.AdvanceTime;
import lilaclever.placement.ControllerCommand.Heartbeat;
import lilaclever.placement.ControllerCommand.Leave;
import lilaclever.placement.ControllerCommand.PublishConfiguration;
import lilaclever.placement.ControllerCommand.Register;
import lilaclever.placement.ControllerCommand.Release;
import lilaclever.placement.ControllerEvent.AssignmentChanged;
import lilaclever.placement.ControllerEvent.CommandRejected;
import lilaclever.placement.ControllerEvent.LeaseRenewed;
import lilaclever.placement.ControllerEvent.LeaveCompleted;
import lilaclever.placement.ControllerEvent.MapChanged;
import lilaclever.placement.ControllerEvent.MemberExpired;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** When the controller grants, renews, revokes and rejects. Times are literal, as the exact limits are under test. */
class PlacementControllerTest {
    private static final int SHARDS = 8;
    private static final long SECOND_MICROS = 1_000_000;
    /** Heartbeat 1 s, lease 4 s, drift 0.2%, margin 0.25 s: the safe expiry is after 4,008,017 + 250,000 us. */
    private static final LeaseTiming TIMING = new LeaseTiming(SECOND_MICROS, 4 * SECOND_MICROS, 0.002, 250_000);

    private static final long SAFE_EXPIRY_DELAY_MICROS = 4_258_017;
    private static final MemberId A = new MemberId(1);
    private static final MemberId B = new MemberId(2);

    private final PlacementController controller =
            new PlacementController(new ControllerSettings(0, SHARDS, 2, 1.25, TIMING, 1000));

    private List<ControllerEvent> register(MemberId member, long incarnation, long nowMicros) {
        return controller.apply(new Register(member, incarnation, 0, 1, false), nowMicros);
    }

    private List<ControllerEvent> heartbeat(
            MemberId member, long incarnation, long sequence, long revision, long nowMicros) {
        return controller.apply(new Heartbeat(member, incarnation, sequence, revision), nowMicros);
    }

    private static <E> List<E> eventsOfType(Class<E> type, List<ControllerEvent> events) {
        return events.stream().filter(type::isInstance).map(type::cast).toList();
    }

    private static <E> E singleEvent(Class<E> type, List<ControllerEvent> events) {
        List<E> matching = eventsOfType(type, events);
        assertEquals(1, matching.size(), () -> type.getSimpleName() + " in " + events);
        return matching.get(0);
    }

    private static void assertRejected(RejectionReason reason, List<ControllerEvent> events) {
        assertEquals(reason, singleEvent(CommandRejected.class, events).reason());
    }

    private static AssignmentChanged assignmentOf(MemberId member, List<ControllerEvent> events) {
        List<AssignmentChanged> matching = eventsOfType(AssignmentChanged.class, events).stream()
                .filter(change -> change.member().equals(member))
                .toList();
        assertEquals(1, matching.size(), events::toString);
        return matching.get(0);
    }

    private static List<ShardGrant> allShards(long epoch) {
        return IntStream.range(0, SHARDS)
                .mapToObj(shard -> new ShardGrant(shard, epoch))
                .toList();
    }

    /** A has all shards, B has joined, and some of A's shards are revoked for B. */
    private AssignmentChanged revokeForB(long heartbeatOfAMicros, long joinOfBMicros) {
        register(A, 1, 0);
        heartbeat(A, 1, 1, 2, heartbeatOfAMicros);
        AssignmentChanged change = assignmentOf(A, register(B, 1, joinOfBMicros));
        assertFalse(change.revoked().isEmpty());
        return change;
    }

    @Test
    void firstMemberGetsAllShardsAndALeaseWithItsFirstHeartbeat() {
        List<ControllerEvent> events = register(A, 1, 0);
        AssignmentChanged change = assignmentOf(A, events);
        assertEquals(new AssignmentChanged(A, 1, 0, 2, true, allShards(1), List.of()), change);
        assertTrue(eventsOfType(LeaseRenewed.class, events).isEmpty());
        assertEquals(
                SHARDS, singleEvent(MapChanged.class, events).delta().changes().size());
        assertEquals(0, controller.shardsWithoutHolder());

        assertEquals(List.of(new LeaseRenewed(A, 1, 1, 4 * SECOND_MICROS, 2)), heartbeat(A, 1, 1, 2, 10));
    }

    @Test
    void emptyRegionHasNoOwnersAndNothingDue() {
        assertTrue(controller.apply(new AdvanceTime(), 5).isEmpty());
        assertEquals(Long.MAX_VALUE, controller.nextDueMicros());
        assertEquals(SHARDS, controller.shardsWithoutHolder());
        assertNull(controller.snapshot().ownerOf(0));
        assertTrue(controller.members().isEmpty());
    }

    @Test
    void shardsOfAnUnresponsiveMemberAreGrantedAtItsSafeExpiryAndNotBefore() {
        register(A, 1, 0);
        heartbeat(A, 1, 1, 2, 500);
        assertEquals(500 + SAFE_EXPIRY_DELAY_MICROS, nextDueAfterTheFirstLeaseCheck(A));

        assertTrue(controller
                .apply(new AdvanceTime(), 500 + SAFE_EXPIRY_DELAY_MICROS - 1)
                .isEmpty());
        List<ControllerEvent> events = controller.apply(new AdvanceTime(), 500 + SAFE_EXPIRY_DELAY_MICROS);
        assertEquals(new MemberExpired(A, 1), singleEvent(MemberExpired.class, events));
        assertEquals(SHARDS, controller.shardsWithoutHolder());
        assertRejected(RejectionReason.UNKNOWN_MEMBER, heartbeat(A, 1, 2, 2, 600 + SAFE_EXPIRY_DELAY_MICROS));

        AssignmentChanged granted = assignmentOf(B, register(B, 1, 700 + SAFE_EXPIRY_DELAY_MICROS));
        assertEquals(allShards(2), granted.granted());
    }

    /** The first check is due for the lease of the registration; it schedules the next one for the renewed lease. */
    private long nextDueAfterTheFirstLeaseCheck(MemberId member) {
        assertEquals(SAFE_EXPIRY_DELAY_MICROS, controller.nextDueMicros());
        assertTrue(controller.apply(new AdvanceTime(), SAFE_EXPIRY_DELAY_MICROS).isEmpty());
        assertTrue(controller.members().contains(member));
        return controller.nextDueMicros();
    }

    @Test
    void revokedShardIsGrantedOnlyAfterItsReleaseUnderTheRightEpoch() {
        AssignmentChanged change = revokeForB(10, 20);
        ShardGrant revoked = change.revoked().get(0);
        assertEquals(1, revoked.epoch());
        assertTrue(eventsOfType(AssignmentChanged.class, controller.apply(new AdvanceTime(), 30))
                .isEmpty());

        ShardGrant wrongEpoch = new ShardGrant(revoked.shard(), 2);
        assertRejected(RejectionReason.NOT_HELD, controller.apply(new Release(A, 1, List.of(wrongEpoch)), 40));
        ShardGrant olderEpoch = new ShardGrant(revoked.shard(), 0);
        assertRejected(RejectionReason.NOT_HELD, controller.apply(new Release(A, 1, List.of(olderEpoch)), 40));
        assertRejected(RejectionReason.NOT_HELD, controller.apply(new Release(B, 1, List.of(revoked)), 40));

        List<ControllerEvent> events = controller.apply(new Release(A, 1, List.of(revoked)), 50);
        assertEquals(
                List.of(new ShardGrant(revoked.shard(), 2)),
                assignmentOf(B, events).granted());
        assertEquals(B, controller.snapshot().ownerOf(revoked.shard()));
        assertRejected(RejectionReason.NOT_HELD, controller.apply(new Release(A, 1, List.of(revoked)), 60));
    }

    @Test
    void releaseOfAShardThatWasNotRevokedIsRejected() {
        register(A, 1, 0);
        List<ControllerEvent> events = controller.apply(new Release(A, 1, List.of(new ShardGrant(0, 1))), 10);
        assertRejected(RejectionReason.NOT_REVOKED, events);
        assertEquals(0, controller.shardsWithoutHolder());
    }

    @Test
    void releaseWithInvalidShardsIsRejectedButFreesTheValidOnes() {
        ShardGrant revoked = revokeForB(10, 20).revoked().get(0);
        List<ShardGrant> shards = List.of(new ShardGrant(-1, 1), new ShardGrant(SHARDS, 1), revoked);
        List<ControllerEvent> events = controller.apply(new Release(A, 1, shards), 30);
        assertRejected(RejectionReason.NOT_HELD, events);
        assertEquals(B, controller.snapshot().ownerOf(revoked.shard()));
    }

    @Test
    void renewalDoesNotExtendARevokedShard() {
        AssignmentChanged change = revokeForB(1000, 2000);
        long safeExpiryMicros = 1000 + SAFE_EXPIRY_DELAY_MICROS;
        heartbeat(B, 1, 1, 1, 3 * SECOND_MICROS);
        heartbeat(A, 1, 2, change.toRevision(), 3 * SECOND_MICROS);
        heartbeat(A, 1, 3, change.toRevision(), 4 * SECOND_MICROS);

        assertEquals(
                List.of(),
                eventsOfType(AssignmentChanged.class, controller.apply(new AdvanceTime(), safeExpiryMicros - 1)));
        List<ControllerEvent> events = controller.apply(new AdvanceTime(), safeExpiryMicros);
        List<ShardGrant> granted = assignmentOf(B, events).granted();
        assertEquals(
                change.revoked().stream().map(ShardGrant::shard).toList(),
                granted.stream().map(ShardGrant::shard).toList());
        assertEquals(List.of(A, B), controller.members());
    }

    @Test
    void memberThatMissedAChangeIsSentItsFullAssignmentBeforeTheRenewal() {
        AssignmentChanged change = revokeForB(10, 20);
        List<ControllerEvent> events = heartbeat(A, 1, 2, 2, SECOND_MICROS);
        AssignmentChanged full = assignmentOf(A, events);
        assertTrue(full.full());
        assertEquals(2, full.fromRevision());
        assertEquals(change.toRevision(), full.toRevision());
        assertEquals(change.revoked(), full.revoked());
        List<ShardGrant> retained = new ArrayList<>(allShards(1));
        retained.removeAll(change.revoked());
        assertEquals(retained, full.granted());
        assertEquals(List.of(full, new LeaseRenewed(A, 1, 2, 4 * SECOND_MICROS, full.toRevision())), events);
    }

    @Test
    void revokedShardsThatWereNotReleasedAreRevokedAgain() {
        AssignmentChanged change = revokeForB(10, 20);
        AssignmentChanged again = assignmentOf(A, heartbeat(A, 1, 2, change.toRevision(), SECOND_MICROS));
        assertEquals(change.revoked(), again.revoked());
        controller.apply(new Release(A, 1, again.revoked()), SECOND_MICROS);
        assertTrue(eventsOfType(AssignmentChanged.class, heartbeat(A, 1, 3, change.toRevision(), 2 * SECOND_MICROS))
                .isEmpty());
    }

    @Test
    void newGrantIsCoveredByTheLastHeartbeat() {
        AssignmentChanged change = revokeForB(10, 20);
        heartbeat(B, 1, 7, 1, 30);
        List<ControllerEvent> events = controller.apply(new Release(A, 1, change.revoked()), 40);
        AssignmentChanged granted = assignmentOf(B, events);
        assertEquals(
                new LeaseRenewed(B, 1, 7, 4 * SECOND_MICROS, granted.toRevision()),
                singleEvent(LeaseRenewed.class, events));
        assertTrue(events.indexOf(granted) < events.indexOf(singleEvent(LeaseRenewed.class, events)));
        // The lease counts from the heartbeat, not from the grant.
        heartbeat(A, 1, 2, change.toRevision(), 2 * SECOND_MICROS);
        controller.apply(new AdvanceTime(), 30 + SAFE_EXPIRY_DELAY_MICROS - 1);
        assertEquals(List.of(A, B), controller.members());
        controller.apply(new AdvanceTime(), 30 + SAFE_EXPIRY_DELAY_MICROS);
        assertEquals(List.of(A), controller.members());
    }

    @Test
    void restartedProcessWaitsForTheLeaseOfTheEarlierOne() {
        register(A, 1, 0);
        heartbeat(A, 1, 1, 2, 100);
        AssignmentChanged first = assignmentOf(A, register(A, 2, 600_000));
        assertEquals(new AssignmentChanged(A, 2, 0, 1, true, List.of(), List.of()), first);
        heartbeat(A, 2, 1, 1, 700_000);

        assertRejected(RejectionReason.STALE_INCARNATION, heartbeat(A, 1, 2, 2, SECOND_MICROS));
        assertTrue(eventsOfType(
                        AssignmentChanged.class,
                        controller.apply(new AdvanceTime(), 100 + SAFE_EXPIRY_DELAY_MICROS - 1))
                .isEmpty());
        AssignmentChanged back = assignmentOf(A, controller.apply(new AdvanceTime(), 100 + SAFE_EXPIRY_DELAY_MICROS));
        assertEquals(2, back.incarnation());
        assertEquals(allShards(2), back.granted());
    }

    @Test
    void restartedProcessThatProvesTheEndOfTheEarlierOneGetsItsShardsAtOnce() {
        register(A, 1, 0);
        heartbeat(A, 1, 1, 2, 100);
        List<ControllerEvent> events = controller.apply(new Register(A, 2, 0, 1, true), 600_000);
        AssignmentChanged back = assignmentOf(A, events);
        assertEquals(2, back.incarnation());
        assertEquals(allShards(2), back.granted());
    }

    @Test
    void proofThatThePreviousProcessEndedCoversAllEarlierProcesses() {
        register(A, 1, 0);
        heartbeat(A, 1, 1, 2, 100);
        register(A, 2, 600_000);
        List<ControllerEvent> events = controller.apply(new Register(A, 3, 0, 1, true), 700_000);
        assertEquals(allShards(2), assignmentOf(A, events).granted());
        assertEquals(SHARDS, controller.shardsHeldBy(A));
    }

    @Test
    void earlierProcessMayStillReleaseWhatItHolds() {
        register(A, 1, 0);
        heartbeat(A, 1, 1, 2, 100);
        register(A, 2, 600_000);
        AssignmentChanged back = assignmentOf(A, controller.apply(new Release(A, 1, allShards(1)), 700_000));
        assertEquals(allShards(2), back.granted());
        assertRejected(RejectionReason.STALE_INCARNATION, controller.apply(new Release(A, 1, allShards(1)), 700_001));
        assertEquals(SHARDS, controller.shardsHeldBy(A));
    }

    @Test
    void processCantReleaseWhatAnEarlierOneHolds() {
        register(A, 1, 0);
        heartbeat(A, 1, 1, 2, 100);
        register(A, 2, 600_000);
        assertRejected(RejectionReason.NOT_HELD, controller.apply(new Release(A, 2, allShards(1)), 700_000));
        assertEquals(0, controller.shardsWithoutHolder());
        assertEquals(0, controller.shardsHeldBy(A));
    }

    /** A never releases; as a third member registers, A's shards go to B and are revoked for the third one at once. */
    @Test
    void shardThatIsGrantedAndRevokedByOneCommandIsOnlyRevoked() {
        int grantedAndRevoked = 0;
        for (int third = 3; third < 40; third++) {
            PlacementController region =
                    new PlacementController(new ControllerSettings(0, SHARDS, 2, 1.25, TIMING, 1000));
            region.apply(new Register(A, 1, 0, 1, false), 0);
            region.apply(new Register(B, 1, 0, 1, false), 20);
            region.apply(new Heartbeat(A, 1, 1, 3), 4 * SECOND_MICROS);
            region.apply(new Heartbeat(B, 1, 1, 1), 4 * SECOND_MICROS);
            List<ControllerEvent> events =
                    region.apply(new Register(new MemberId(third), 1, 0, 1, false), SAFE_EXPIRY_DELAY_MICROS);
            AssignmentChanged change = assignmentOf(B, events);
            grantedAndRevoked += change.revoked().size();
            assertTrue(Collections.disjoint(change.granted(), change.revoked()), change::toString);
        }
        assertTrue(grantedAndRevoked > 10, "shards revoked by the command that granted them: " + grantedAndRevoked);
    }

    @Test
    void leavingMemberHandsItsShardsOverWithoutWaiting() {
        register(A, 1, 0);
        heartbeat(A, 1, 1, 2, 10);
        AssignmentChanged toB = assignmentOf(A, register(B, 1, 20));
        controller.apply(new Release(A, 1, toB.revoked()), 30);

        AssignmentChanged rest = assignmentOf(A, controller.apply(new Leave(A, 1), 40));
        assertEquals(SHARDS, rest.revoked().size() + toB.revoked().size());
        assertTrue(controller.apply(new Leave(A, 1), 41).isEmpty(), "a repeated leave changes nothing");
        List<ControllerEvent> firstRelease =
                controller.apply(new Release(A, 1, rest.revoked().subList(0, 1)), 50);
        assertEquals(1, assignmentOf(B, firstRelease).granted().size());
        assertTrue(eventsOfType(LeaveCompleted.class, firstRelease).isEmpty());

        List<ShardGrant> others = rest.revoked().subList(1, rest.revoked().size());
        List<ControllerEvent> last = controller.apply(new Release(A, 1, others), 60);
        assertEquals(new LeaveCompleted(A, 1), singleEvent(LeaveCompleted.class, last));
        assertEquals(SHARDS, controller.shardsHeldBy(B));
        assertEquals(List.of(B), controller.members());

        assertEquals(List.of(new LeaveCompleted(A, 1)), controller.apply(new Leave(A, 1), 70));
        assertRejected(RejectionReason.UNKNOWN_MEMBER, heartbeat(A, 1, 2, 2, 80));
        assertRejected(RejectionReason.STALE_INCARNATION, register(A, 1, 90));
    }

    @Test
    void lastMemberMayLeave() {
        register(A, 1, 0);
        AssignmentChanged change = assignmentOf(A, controller.apply(new Leave(A, 1), 10));
        assertEquals(allShards(1), change.revoked());
        List<ControllerEvent> events = controller.apply(new Release(A, 1, change.revoked()), 20);
        singleEvent(LeaveCompleted.class, events);
        assertEquals(SHARDS, controller.shardsWithoutHolder());
        assertNull(controller.snapshot().ownerOf(3));
        assertEquals(1, controller.snapshot().epochOf(3));
        assertEquals(Long.MAX_VALUE, nextDueAfterTheLastLeaseCheck());

        assertEquals(
                allShards(2),
                assignmentOf(B, register(B, 1, 2 * SAFE_EXPIRY_DELAY_MICROS)).granted());
    }

    private long nextDueAfterTheLastLeaseCheck() {
        controller.apply(new AdvanceTime(), SAFE_EXPIRY_DELAY_MICROS);
        return controller.nextDueMicros();
    }

    @Test
    void commandsOfUnknownMembersAreRejected() {
        assertRejected(RejectionReason.UNKNOWN_MEMBER, heartbeat(A, 1, 1, 0, 0));
        assertRejected(RejectionReason.UNKNOWN_MEMBER, controller.apply(new Leave(A, 1), 0));
        assertRejected(RejectionReason.UNKNOWN_MEMBER, controller.apply(new Release(A, 1, allShards(1)), 0));
        assertRejected(RejectionReason.UNKNOWN_MEMBER, controller.apply(new Release(A, 1, List.of()), 0));
        register(A, 1, 0);
        assertRejected(RejectionReason.UNKNOWN_MEMBER, heartbeat(A, 2, 1, 0, 0));
    }

    @Test
    void duplicatedAndReorderedCommandsAreRejected() {
        register(A, 5, 0);
        assertRejected(RejectionReason.ALREADY_REGISTERED, register(A, 5, 1));
        assertRejected(RejectionReason.STALE_INCARNATION, register(A, 4, 2));
        heartbeat(A, 5, 3, 2, 10);
        assertRejected(RejectionReason.STALE_SEQUENCE, heartbeat(A, 5, 3, 2, 3 * SECOND_MICROS));
        assertRejected(RejectionReason.STALE_SEQUENCE, heartbeat(A, 5, 2, 2, 3 * SECOND_MICROS));
        assertRejected(RejectionReason.UNKNOWN_REVISION, heartbeat(A, 5, 4, 3, 3 * SECOND_MICROS));
        assertRejected(RejectionReason.UNKNOWN_REVISION, heartbeat(A, 5, 4, -1, 3 * SECOND_MICROS));
        assertRejected(RejectionReason.STALE_INCARNATION, controller.apply(new Leave(A, 4), 3 * SECOND_MICROS));
        // None of these has renewed the lease.
        singleEvent(MemberExpired.class, controller.apply(new AdvanceTime(), 10 + SAFE_EXPIRY_DELAY_MICROS));
    }

    @ParameterizedTest
    @ValueSource(doubles = {0, -1, Double.NaN, Double.POSITIVE_INFINITY, Double.MIN_VALUE, 0.0099, 100.1})
    void weightOutOfBoundsIsRejected(double weight) {
        assertRejected(RejectionReason.INVALID_WEIGHT, controller.apply(new Register(A, 1, 0, weight, false), 0));
        assertTrue(controller.members().isEmpty());
    }

    @ParameterizedTest
    @ValueSource(ints = {-1, 2, Integer.MAX_VALUE})
    void zoneOutOfRangeIsRejected(int zone) {
        assertRejected(RejectionReason.UNKNOWN_ZONE, controller.apply(new Register(A, 1, zone, 1, false), 0));
        assertTrue(controller.members().isEmpty());
    }

    @Test
    void configurationVersionOnlyGrowsAndIsSentWithTheMap() {
        MapDelta delta = singleEvent(MapChanged.class, controller.apply(new PublishConfiguration(7), 0))
                .delta();
        assertEquals(new MapDelta(0, 0, 1, 7, List.of()), delta);
        assertRejected(RejectionReason.STALE_CONFIGURATION, controller.apply(new PublishConfiguration(7), 1));
        assertRejected(RejectionReason.STALE_CONFIGURATION, controller.apply(new PublishConfiguration(6), 1));
        MapDelta next = singleEvent(MapChanged.class, register(A, 1, 2)).delta();
        assertEquals(7, next.configurationVersion());
        assertEquals(1, next.fromVersion());
        assertEquals(2, next.toVersion());
    }

    @Test
    void clockThatWasSetBackEndsNoLeaseEarlyAndRestoresNone() {
        register(A, 1, 10 * SECOND_MICROS);
        heartbeat(A, 1, 1, 2, 10 * SECOND_MICROS);
        heartbeat(A, 1, 2, 2, 3 * SECOND_MICROS);
        controller.apply(new AdvanceTime(), 3 * SECOND_MICROS + SAFE_EXPIRY_DELAY_MICROS);
        assertEquals(List.of(A), controller.members());
        long resumesAtMicros = 11 * SECOND_MICROS;
        controller.apply(new AdvanceTime(), resumesAtMicros);
        controller.apply(new AdvanceTime(), resumesAtMicros + SAFE_EXPIRY_DELAY_MICROS - 1);
        assertEquals(List.of(A), controller.members());
        singleEvent(
                MemberExpired.class, controller.apply(new AdvanceTime(), resumesAtMicros + SAFE_EXPIRY_DELAY_MICROS));
        controller.apply(new AdvanceTime(), 0);
        assertRejected(RejectionReason.UNKNOWN_MEMBER, heartbeat(A, 1, 3, 2, 0));
    }

    /** The heartbeat and the revocation came while the clock was behind; it then leaps to the right time. */
    @Test
    void clockThatWasSetBackAndReturnsEndsNoRevokedLeaseEarly() {
        register(A, 1, 10 * SECOND_MICROS);
        heartbeat(A, 1, 1, 2, 10 * SECOND_MICROS);
        heartbeat(A, 1, 2, 2, 3 * SECOND_MICROS);
        int revoked =
                assignmentOf(A, register(B, 1, 3 * SECOND_MICROS)).revoked().size();
        long resumesAtMicros = 20 * SECOND_MICROS;
        assertTrue(eventsOfType(AssignmentChanged.class, controller.apply(new AdvanceTime(), resumesAtMicros))
                .isEmpty());
        heartbeat(A, 1, 3, 3, resumesAtMicros + SECOND_MICROS);
        heartbeat(B, 1, 1, 1, resumesAtMicros + SECOND_MICROS);
        assertTrue(eventsOfType(
                        AssignmentChanged.class,
                        controller.apply(new AdvanceTime(), resumesAtMicros + SAFE_EXPIRY_DELAY_MICROS - 1))
                .isEmpty());
        AssignmentChanged granted =
                assignmentOf(B, controller.apply(new AdvanceTime(), resumesAtMicros + SAFE_EXPIRY_DELAY_MICROS));
        assertEquals(revoked, granted.granted().size());
    }

    /** Readings that are reordered by no more than the margin must not postpone the expiry. */
    @Test
    void backwardReadingsWithinTheMarginDoNotPostponeExpiry() {
        register(A, 1, 10 * SECOND_MICROS);
        heartbeat(A, 1, 1, 2, 10 * SECOND_MICROS);
        controller.apply(new AdvanceTime(), 11 * SECOND_MICROS);
        controller.apply(new AdvanceTime(), 11 * SECOND_MICROS - 250_000);
        controller.apply(new AdvanceTime(), 12 * SECOND_MICROS);
        singleEvent(
                MemberExpired.class,
                controller.apply(new AdvanceTime(), 10 * SECOND_MICROS + SAFE_EXPIRY_DELAY_MICROS));
    }

    @Test
    void settingsErrorNamesTheInvalidField() {
        assertFieldNamed("region", () -> new ControllerSettings(-1, 1, 1, 1.25, TIMING, 1));
        assertFieldNamed("shards", () -> new ControllerSettings(0, 0, 1, 1.25, TIMING, 1));
        assertFieldNamed("shards", () -> new ControllerSettings(0, (1 << 20) + 1, 1, 1.25, TIMING, 1));
        assertFieldNamed("zones", () -> new ControllerSettings(0, 1, 0, 1.25, TIMING, 1));
        assertFieldNamed("loadBound", () -> new ControllerSettings(0, 1, 1, 0.99, TIMING, 1));
        assertFieldNamed("loadBound", () -> new ControllerSettings(0, 1, 1, Double.NaN, TIMING, 1));
        assertFieldNamed("timing", () -> new ControllerSettings(0, 1, 1, 1.25, null, 1));
        assertFieldNamed("maxReassignmentsPerSecond", () -> new ControllerSettings(0, 1, 1, 1.25, TIMING, 0));
    }

    private static void assertFieldNamed(String field, org.junit.jupiter.api.function.Executable settings) {
        String message = assertThrows(IllegalArgumentException.class, settings).getMessage();
        assertTrue(message.startsWith(field + " "), message);
    }
}
