package lilaclever.placement;

import java.util.List;

/**
 * What the controller of a region is told. Commands may arrive late, twice and in another order than they were
 * sent.
 */
public sealed interface ControllerCommand {
    /**
     * A forwarder's process asks to take part.
     *
     * @param incarnation number of the process's life; a restarted forwarder registers with a greater one
     * @param zone        zone within the region, from 0
     * @param weight      share of the load relative to the other members, from {@link ControllerSettings#MIN_WEIGHT} to
     *                    {@link ControllerSettings#MAX_WEIGHT}
     * @param previousProcessEnded true only if the process has proof that every earlier process of this forwarder has
     *                    ended: it got the exclusive file lock on the data folder which the earlier ones held for life.
     *                    Then it gets its shards back at once; otherwise they wait until the earlier lease has ended
     */
    record Register(MemberId member, long incarnation, int zone, double weight, boolean previousProcessEnded)
            implements ControllerCommand {}

    /**
     * A member is alive and asks for its lease to be renewed.
     *
     * @param sequence        number of the heartbeat within the incarnation, from 1; the renewal names it
     * @param appliedRevision revision of the member's assignment that the member has applied
     */
    record Heartbeat(MemberId member, long incarnation, long sequence, long appliedRevision)
            implements ControllerCommand {}

    /**
     * A member has stopped to send for shards that were revoked: they may be granted at once.
     *
     * @param shards what was given back, each with the epoch under which it was held
     */
    record Release(MemberId member, long incarnation, List<ShardGrant> shards) implements ControllerCommand {
        /** Copies the list. */
        public Release {
            shards = List.copyOf(shards);
        }
    }

    /** A member is about to be restarted or removed: its shards are handed over before it ends. */
    record Leave(MemberId member, long incarnation) implements ControllerCommand {}

    /** A new version of the configuration is in force; versions only grow. */
    record PublishConfiguration(long version) implements ControllerCommand {}

    /** Time has passed: expired leases are noticed, and reassignments that were held back go on. */
    record AdvanceTime() implements ControllerCommand {}
}
