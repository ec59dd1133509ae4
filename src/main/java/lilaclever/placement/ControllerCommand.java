package lilaclever.placement;

import java.util.List;

/** Input of a region's controller. Commands may arrive late, duplicated and out of order. */
public sealed interface ControllerCommand {
    /**
     * A forwarder's process asks to join the region.
     *
     * @param incarnation number of the process run; a restarted forwarder registers with a greater one
     * @param zone        zone within the region, from 0
     * @param weight      share of the load relative to the other members, from {@link ControllerSettings#MIN_WEIGHT} to
     *                    {@link ControllerSettings#MAX_WEIGHT}
     * @param previousProcessEnded true only if the process has proof that every earlier process of this forwarder has
     *                    ended: it acquired the exclusive file lock on the data folder that each process holds until it
     *                    ends. It then gets its shards back at once; otherwise only after the earlier lease ends
     */
    record Register(MemberId member, long incarnation, int zone, double weight, boolean previousProcessEnded)
            implements ControllerCommand {}

    /**
     * A member is alive and asks for a renewal of its lease.
     *
     * @param sequence        number of the heartbeat within the incarnation, from 1; the renewal names it
     * @param appliedRevision revision of the member's assignment that the member has applied
     */
    record Heartbeat(MemberId member, long incarnation, long sequence, long appliedRevision)
            implements ControllerCommand {}

    /**
     * A member has stopped sending for revoked shards: they may be granted again at once.
     *
     * @param shards the released shards, each with the epoch under which it was held
     */
    record Release(MemberId member, long incarnation, List<ShardGrant> shards) implements ControllerCommand {
        /** Copies the list. */
        public Release {
            shards = List.copyOf(shards);
        }
    }

    /** A member is about to be restarted or removed: its shards are handed over before it terminates. */
    record Leave(MemberId member, long incarnation) implements ControllerCommand {}

    /** A new version of the configuration is in force; versions only increase. */
    record PublishConfiguration(long version) implements ControllerCommand {}

    /** Time has passed: expires leases and continues rate-limited reassignments. */
    record AdvanceTime() implements ControllerCommand {}
}
