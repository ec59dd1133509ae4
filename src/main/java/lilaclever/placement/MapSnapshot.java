package lilaclever.placement;

import java.util.Arrays;

/** A region's complete shard map at one version. Immutable. */
public final class MapSnapshot {
    static final int NO_OWNER = -1;
    private final int region;
    private final long version;
    private final long configurationVersion;
    private final int[] owners;
    private final long[] epochs;

    /** Takes ownership of the arrays; owners are member numbers or {@link #NO_OWNER}. */
    MapSnapshot(int region, long version, long configurationVersion, int[] owners, long[] epochs) {
        this.region = region;
        this.version = version;
        this.configurationVersion = configurationVersion;
        this.owners = owners;
        this.epochs = epochs;
    }

    /** Number of the region. */
    public int region() {
        return region;
    }

    /** Version of the map. */
    public long version() {
        return version;
    }

    /** Version of the configuration in force with this map version. */
    public long configurationVersion() {
        return configurationVersion;
    }

    /** Number of shards. */
    public int shards() {
        return owners.length;
    }

    /** The shard's owner; null while no member may send for it. */
    public MemberId ownerOf(int shard) {
        return owners[shard] == NO_OWNER ? null : new MemberId(owners[shard]);
    }

    /** Epoch of the shard's last grant; 0 before the first. */
    public long epochOf(int shard) {
        return epochs[shard];
    }

    /** Size of this snapshot in bytes as {@link MapCodec} encodes it. */
    public int encodedBytes() {
        return MapCodec.encode(this).length;
    }

    int ownerNumber(int shard) {
        return owners[shard];
    }

    int[] copyOwners() {
        return owners.clone();
    }

    long[] copyEpochs() {
        return epochs.clone();
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof MapSnapshot snapshot
                && region == snapshot.region
                && version == snapshot.version
                && configurationVersion == snapshot.configurationVersion
                && Arrays.equals(owners, snapshot.owners)
                && Arrays.equals(epochs, snapshot.epochs);
    }

    @Override
    public int hashCode() {
        return 31 * Arrays.hashCode(owners) + Long.hashCode(version);
    }

    @Override
    public String toString() {
        return "MapSnapshot[region=" + region + ", version=" + version + ", configurationVersion="
                + configurationVersion + ", shards=" + owners.length + "]";
    }
}
