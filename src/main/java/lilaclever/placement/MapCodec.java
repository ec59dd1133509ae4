package lilaclever.placement;

import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.List;
import lilaclever.placement.MapDelta.OwnerChange;
import lilaclever.placement.MapFormatException.Problem;

/**
 * Wire format of the shard map. Numbers are unsigned LEB128: groups of seven bits, the lowest first, with the eighth
 * bit set on all bytes but the last, in the shortest form.
 *
 * <ul>
 * <li>Delta: {@code 'D'}, region, from-version, versions from there to to-version, configuration version, number of
 * changes, and for each change by ascending shard: distance from the previous shard (the first from -1), owner's number
 * plus 1 or 0 for none, epoch.
 * <li>Snapshot: {@code 'S'}, region, version, configuration version, number of shards, and for each shard from 0:
 * owner's number plus 1 or 0 for none, epoch.
 * </ul>
 */
public final class MapCodec {
    private static final byte DELTA_TAG = 'D';
    private static final byte SNAPSHOT_TAG = 'S';
    private static final int GROUP_BITS = 7;
    private static final int GROUP_MASK = (1 << GROUP_BITS) - 1;
    private static final int CONTINUATION_BIT = 1 << GROUP_BITS;
    private static final int MAX_GROUPS = 9;
    private static final int MIN_CHANGE_BYTES = 3;
    private static final int MIN_SHARD_BYTES = 2;

    private MapCodec() {}

    /**
     * Encodes a delta.
     *
     * @throws IllegalArgumentException if the changes are not sorted by shard, a number is negative, or
     *         {@code toVersion} is not after {@code fromVersion}
     */
    public static byte[] encode(MapDelta delta) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        out.write(DELTA_TAG);
        write(out, delta.region());
        write(out, delta.fromVersion());
        requireAscending(delta.fromVersion(), delta.toVersion());
        write(out, delta.toVersion() - delta.fromVersion());
        write(out, delta.configurationVersion());
        write(out, delta.changes().size());
        int shard = -1;
        for (OwnerChange change : delta.changes()) {
            requireAscending(shard, change.shard());
            write(out, change.shard() - shard);
            write(out, change.owner() == null ? 0 : change.owner().number() + 1L);
            write(out, change.epoch());
            shard = change.shard();
        }
        return out.toByteArray();
    }

    /** Encodes a snapshot. */
    public static byte[] encode(MapSnapshot snapshot) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        out.write(SNAPSHOT_TAG);
        write(out, snapshot.region());
        write(out, snapshot.version());
        write(out, snapshot.configurationVersion());
        write(out, snapshot.shards());
        for (int shard = 0; shard < snapshot.shards(); shard++) {
            write(out, snapshot.ownerNumber(shard) + 1L);
            write(out, snapshot.epochOf(shard));
        }
        return out.toByteArray();
    }

    /**
     * Decodes a delta.
     *
     * @throws MapFormatException if the bytes are not exactly one delta as {@link #encode} writes it
     */
    public static MapDelta decodeDelta(byte[] bytes) throws MapFormatException {
        Reader in = new Reader(bytes, DELTA_TAG);
        int region = in.readInt();
        long fromVersion = in.readLong();
        long versions = in.readLong();
        if (versions == 0 || versions > Long.MAX_VALUE - fromVersion) {
            throw in.failure(Problem.INVALID_NUMBER);
        }
        long configurationVersion = in.readLong();
        int count = in.readCount(MIN_CHANGE_BYTES);
        List<OwnerChange> changes = new ArrayList<>(count);
        int shard = -1;
        for (int i = 0; i < count; i++) {
            int distance = in.readInt();
            if (distance == 0) {
                throw in.failure(Problem.UNSORTED);
            }
            if (distance >= ControllerSettings.MAX_SHARDS - shard) {
                throw in.failure(Problem.INVALID_NUMBER);
            }
            shard += distance;
            int owner = in.readOwner();
            MemberId member = owner == MapSnapshot.NO_OWNER ? null : new MemberId(owner);
            changes.add(new OwnerChange(shard, member, in.readLong()));
        }
        in.requireEnd();
        return new MapDelta(region, fromVersion, fromVersion + versions, configurationVersion, changes);
    }

    /**
     * Decodes a snapshot.
     *
     * @throws MapFormatException if the bytes are not exactly one snapshot as {@link #encode} writes it
     */
    public static MapSnapshot decodeSnapshot(byte[] bytes) throws MapFormatException {
        Reader in = new Reader(bytes, SNAPSHOT_TAG);
        int region = in.readInt();
        long version = in.readLong();
        long configurationVersion = in.readLong();
        int shards = in.readCount(MIN_SHARD_BYTES);
        if (shards == 0) {
            throw in.failure(Problem.INVALID_NUMBER);
        }
        int[] owners = new int[shards];
        long[] epochs = new long[shards];
        for (int shard = 0; shard < shards; shard++) {
            owners[shard] = in.readOwner();
            epochs[shard] = in.readLong();
        }
        in.requireEnd();
        return new MapSnapshot(region, version, configurationVersion, owners, epochs);
    }

    private static void requireAscending(long before, long after) {
        if (after <= before) {
            throw new IllegalArgumentException(after + " must be greater than " + before);
        }
    }

    private static void write(ByteArrayOutputStream out, long number) {
        if (number < 0) {
            throw new IllegalArgumentException("number must not be negative: " + number);
        }
        long remaining = number;
        while (remaining > GROUP_MASK) {
            out.write((int) (remaining & GROUP_MASK) | CONTINUATION_BIT);
            remaining >>>= GROUP_BITS;
        }
        out.write((int) remaining);
    }

    /** Reads numbers sequentially, never past the end. */
    private static final class Reader {
        private final byte[] bytes;
        private int offset;

        Reader(byte[] bytes, byte tag) throws MapFormatException {
            this.bytes = bytes;
            if (bytes.length == 0) {
                throw failure(Problem.TRUNCATED);
            }
            if (bytes[0] != tag) {
                throw failure(Problem.WRONG_KIND);
            }
            offset = 1;
        }

        /** A number from 0 to {@link Long#MAX_VALUE}. */
        long readLong() throws MapFormatException {
            long number = 0;
            for (int group = 0; group < MAX_GROUPS; group++) {
                if (offset == bytes.length) {
                    throw failure(Problem.TRUNCATED);
                }
                int next = bytes[offset++];
                number |= (long) (next & GROUP_MASK) << group * GROUP_BITS;
                if ((next & CONTINUATION_BIT) == 0) {
                    if (next == 0 && group > 0) {
                        throw failure(Problem.INVALID_NUMBER);
                    }
                    return number;
                }
            }
            throw failure(Problem.INVALID_NUMBER);
        }

        int readInt() throws MapFormatException {
            return readUpTo(Integer.MAX_VALUE);
        }

        /** An owner's number, or {@link MapSnapshot#NO_OWNER}. */
        int readOwner() throws MapFormatException {
            return (int) (readLongUpTo(Integer.MAX_VALUE + 1L) - 1);
        }

        /** Number of entries that follow, each of at least {@code minEntryBytes} bytes. */
        int readCount(int minEntryBytes) throws MapFormatException {
            long count = readLong();
            if (count > ControllerSettings.MAX_SHARDS) {
                throw failure(Problem.OVERSIZED);
            }
            if (count > (bytes.length - offset) / minEntryBytes) {
                throw failure(Problem.TRUNCATED);
            }
            return (int) count;
        }

        void requireEnd() throws MapFormatException {
            if (offset != bytes.length) {
                throw failure(Problem.TRAILING_BYTES);
            }
        }

        MapFormatException failure(Problem problem) {
            return new MapFormatException(problem, offset);
        }

        private int readUpTo(int bound) throws MapFormatException {
            return (int) readLongUpTo(bound);
        }

        private long readLongUpTo(long bound) throws MapFormatException {
            long number = readLong();
            if (number > bound) {
                throw failure(Problem.INVALID_NUMBER);
            }
            return number;
        }
    }
}
