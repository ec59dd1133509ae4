package lilaclever.placement;

import java.util.List;

/** What follows from a command: messages to members, and news for whoever keeps the map. */
public sealed interface ControllerEvent {
    /**
     * To the member: its lease lasts for so long from the moment in which it sent the named heartbeat. The lease covers
     * the shards of its assignment at the given revision, and no other.
     */
    record LeaseRenewed(MemberId member, long incarnation, long sequence, long leaseMicros, long revision)
            implements ControllerEvent {}

    /**
     * To the member: its assignment has changed. It follows on {@code fromRevision}; a member that is at another one
     * passes it over and says in its next heartbeat which one it has, and is then sent the whole assignment.
     *
     * @param full   true if {@code granted} is the whole assignment, which replaces what the member has
     * @param granted shards that the member may send for once its lease covers {@code toRevision}
     * @param revoked shards that the member must stop to send for, and then release
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

    /** A member's lease has surely ended without its leaving; its shards are granted to others. */
    record MemberExpired(MemberId member, long incarnation) implements ControllerEvent {}

    /** To the member that is leaving: it holds no shard any more and may end. */
    record LeaveCompleted(MemberId member, long incarnation) implements ControllerEvent {}

    /** To the sender: its command was passed over. */
    record CommandRejected(ControllerCommand command, RejectionReason reason) implements ControllerEvent {}
}
