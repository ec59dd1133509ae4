package lilaclever.placement;

import java.util.List;

/**
 * Changes between two versions of a region's shard map.
 *
 * @param region               number of the region
 * @param fromVersion          version that the changes apply to
 * @param toVersion            version after the changes, greater than {@code fromVersion}
 * @param configurationVersion version of the configuration that is in force with {@code toVersion}
 * @param changes              the shards whose owner or epoch differs, in ascending order, each at most once
 */
public record MapDelta(
        int region, long fromVersion, long toVersion, long configurationVersion, List<OwnerChange> changes) {
    /** A shard's new owner; {@code owner} is null while no member may send for the shard. */
    public record OwnerChange(int shard, MemberId owner, long epoch) {}

    /** Copies the list. */
    public MapDelta {
        changes = List.copyOf(changes);
    }

    /** Size of this delta in bytes as {@link MapCodec} encodes it. */
    public int encodedBytes() {
        return MapCodec.encode(this).length;
    }
}
