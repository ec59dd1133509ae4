package lilaclever.placement;

import java.util.List;

/** Output of a command: messages to members and changes of the shard map. */
public sealed interface ControllerEvent {
    /**
     * To the member: its lease lasts for {@code leaseMicros} from the moment at which it sent the named heartbeat. The
     * lease covers only the shards of its assignment at the given revision.
     */
    record LeaseRenewed(MemberId member, long incarnation, long sequence, long leaseMicros, long revision)
            implements ControllerEvent {}

    /**
     * To the member: its assignment has changed. The change applies to {@code fromRevision}; a member at another
     * revision ignores it, reports its own revision in the next heartbeat, and is then sent the full assignment.
     *
     * @param full   true if {@code granted} is the full assignment, which replaces the member's present one
     * @param granted shards that the member may send for once its lease covers {@code toRevision}
     * @param revoked shards that the member must stop sending for and then release
     */
    record AssignmentChanged(
            MemberId member,
            long incarnation,
            long fromRevision,
            long toRevision,
            boolean full,
            List<ShardGrant> granted,
            List<ShardGrant> revoked)
            implements ControllerEvent {
        /** Copies the lists. */
        public AssignmentChanged {
            granted = List.copyOf(granted);
            revoked = List.copyOf(revoked);
        }
    }

    /** To all forwarders, through the distribution tree: the shard map or the configuration's version has changed. */
    record MapChanged(MapDelta delta) implements ControllerEvent {}

    /** A member's lease has reached its safe expiry without the member leaving; its shards are granted to others. */
    record MemberExpired(MemberId member, long incarnation) implements ControllerEvent {}

    /** To the leaving member: it no longer holds any shard and may terminate. */
    record LeaveCompleted(MemberId member, long incarnation) implements ControllerEvent {}

    /** To the sender: its command was rejected. */
    record CommandRejected(ControllerCommand command, RejectionReason reason) implements ControllerEvent {}
}
