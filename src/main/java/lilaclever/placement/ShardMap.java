package lilaclever.placement;

import java.util.Arrays;
import lilaclever.placement.MapDelta.OwnerChange;

/** A forwarder's copy of its region's shard map, 12 bytes per shard. */
public final class ShardMap {
    private final int region;
    private int[] owners;
    private long[] epochs;
    private long version;
    private long configurationVersion;

    /**
     * Creates an empty map at version 0.
     *
     * @throws IllegalArgumentException if the number of shards is not from 1 to {@link ControllerSettings#MAX_SHARDS}
     */
    public ShardMap(int region, int shards) {
        if (shards < 1 || shards > ControllerSettings.MAX_SHARDS) {
            throw new IllegalArgumentException(
                    "shards must be from 1 to " + ControllerSettings.MAX_SHARDS + ": " + shards);
        }
        this.region = region;
        owners = new int[shards];
        Arrays.fill(owners, MapSnapshot.NO_OWNER);
        epochs = new long[shards];
    }

    /**
     * Applies a delta. One that starts before the map's version and ends after it is applied too, since it holds the
     * final state of every shard that changed.
     *
     * @throws IllegalArgumentException if the delta belongs to another region, names a shard that the map doesn't have,
     *         or would decrease an epoch or the configuration's version; the map is then unchanged
     */
    public MapUpdate apply(MapDelta delta) {
        requireRegion(delta.region());
        if (delta.toVersion() <= version) {
            return MapUpdate.ALREADY_APPLIED;
        }
        if (delta.fromVersion() > version) {
            return MapUpdate.GAP;
        }
        validate(delta);
        for (OwnerChange change : delta.changes()) {
            owners[change.shard()] = change.owner() == null
                    ? MapSnapshot.NO_OWNER
                    : change.owner().number();
            epochs[change.shard()] = change.epoch();
        }
        version = delta.toVersion();
        configurationVersion = delta.configurationVersion();
        return MapUpdate.APPLIED;
    }

    /**
     * Loads a snapshot if it is newer.
     *
     * @return {@link MapUpdate#APPLIED} or {@link MapUpdate#ALREADY_APPLIED}
     * @throws IllegalArgumentException if the snapshot has another region or number of shards
     */
    public MapUpdate load(MapSnapshot snapshot) {
        requireRegion(snapshot.region());
        if (snapshot.shards() != owners.length) {
            throw new IllegalArgumentException(
                    "snapshot of " + snapshot.shards() + " shards for a map of " + owners.length);
        }
        if (snapshot.version() <= version) {
            return MapUpdate.ALREADY_APPLIED;
        }
        owners = snapshot.copyOwners();
        epochs = snapshot.copyEpochs();
        version = snapshot.version();
        configurationVersion = snapshot.configurationVersion();
        return MapUpdate.APPLIED;
    }

    /** Copy of the map at its current version. */
    public MapSnapshot snapshot() {
        return new MapSnapshot(region, version, configurationVersion, owners.clone(), epochs.clone());
    }

    /** The shard's owner; null while no member may send for it. */
    public MemberId ownerOf(int shard) {
        return owners[shard] == MapSnapshot.NO_OWNER ? null : new MemberId(owners[shard]);
    }

    /** Epoch of the shard's last grant; 0 before the first. */
    public long epochOf(int shard) {
        return epochs[shard];
    }

    /** Version of the map; 0 before the first delta or snapshot. */
    public long version() {
        return version;
    }

    /** Version of the configuration in force with this map version. */
    public long configurationVersion() {
        return configurationVersion;
    }

    private void requireRegion(int other) {
        if (other != region) {
            throw new IllegalArgumentException("map of region " + region + " can't apply an update of region " + other);
        }
    }

    private void validate(MapDelta delta) {
        if (delta.configurationVersion() < configurationVersion) {
            throw new IllegalArgumentException(
                    "configuration version " + delta.configurationVersion() + " after " + configurationVersion);
        }
        for (OwnerChange change : delta.changes()) {
            if (change.shard() < 0 || change.shard() >= owners.length) {
                throw new IllegalArgumentException("shard " + change.shard() + " in a map of " + owners.length);
            }
            if (change.epoch() < epochs[change.shard()]) {
                throw new IllegalArgumentException(
                        "epoch " + change.epoch() + " of shard " + change.shard() + " after " + epochs[change.shard()]);
            }
        }
    }
}
