package lilaclever.placement;

/**
 * The right to send for the destinations of a shard.
 *
 * @param shard number of the shard within its region, from 0
 * @param epoch fencing token of the shard: each grant of the shard has a greater epoch than all earlier ones
 */
public record ShardGrant(int shard, long epoch) {}
