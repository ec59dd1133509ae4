package lilaclever.placement;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.TreeSet;
import lilaclever.placement.MapDelta.OwnerChange;
import lilaclever.placement.MapFormatException.Problem;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;

/** The wire format of the map: what is encoded is decoded again, and nothing else is accepted. */
class MapCodecProperties {
    private static final int NO_OWNER_INTERVAL = 5;

    @Provide
    Arbitrary<MapDelta> deltas() {
        Arbitrary<Long> versions = Arbitraries.longs().between(0, Long.MAX_VALUE / 2);
        Arbitrary<List<Integer>> shards = Arbitraries.integers()
                .between(0, ControllerSettings.MAX_SHARDS - 1)
                .list()
                .uniqueElements()
                .ofMaxSize(60);
        Arbitrary<Integer> owners = Arbitraries.integers().between(0, Integer.MAX_VALUE);
        Arbitrary<Long> epochs = Arbitraries.longs().between(0, Long.MAX_VALUE);
        Arbitrary<Long> steps = Arbitraries.longs().between(1, Long.MAX_VALUE / 2);
        return Combinators.combine(
                        owners,
                        versions,
                        steps,
                        epochs,
                        shards,
                        owners.list().ofSize(60),
                        epochs.list().ofSize(60))
                .as((region, from, step, configuration, numbers, ownerNumbers, epochNumbers) -> {
                    List<OwnerChange> changes = new ArrayList<>();
                    for (int shard : new TreeSet<>(numbers)) {
                        int i = changes.size();
                        MemberId owner = i % NO_OWNER_INTERVAL == 0 ? null : new MemberId(ownerNumbers.get(i));
                        changes.add(new OwnerChange(shard, owner, epochNumbers.get(i)));
                    }
                    return new MapDelta(region, from, from + step, configuration, changes);
                });
    }

    @Provide
    Arbitrary<MapSnapshot> snapshots() {
        Arbitrary<Integer> owners = Arbitraries.integers().between(-1, Integer.MAX_VALUE);
        Arbitrary<Long> numbers = Arbitraries.longs().between(0, Long.MAX_VALUE);
        return Arbitraries.integers()
                .between(1, 50)
                .flatMap(shards -> Combinators.combine(
                                Arbitraries.integers().between(0, 100),
                                numbers,
                                numbers,
                                owners.array(int[].class).ofSize(shards),
                                numbers.array(long[].class).ofSize(shards))
                        .as(MapSnapshot::new));
    }

    @Property(tries = 500, seed = "1")
    void encodedDeltaDecodesToTheSameDelta(@ForAll("deltas") MapDelta delta) throws MapFormatException {
        byte[] bytes = MapCodec.encode(delta);
        assertEquals(delta, MapCodec.decodeDelta(bytes));
        assertEquals(bytes.length, delta.encodedBytes());
    }

    @Property(tries = 500, seed = "2")
    void encodedSnapshotDecodesToTheSameSnapshot(@ForAll("snapshots") MapSnapshot snapshot) throws MapFormatException {
        byte[] bytes = MapCodec.encode(snapshot);
        assertEquals(snapshot, MapCodec.decodeSnapshot(bytes));
        assertEquals(bytes.length, snapshot.encodedBytes());
    }

    @Property(tries = 200, seed = "3")
    void truncatedOrExtendedDeltaIsRejected(@ForAll("deltas") MapDelta delta) {
        byte[] bytes = MapCodec.encode(delta);
        for (int length = 0; length < bytes.length; length++) {
            assertEquals(Problem.TRUNCATED, problemOfDelta(Arrays.copyOf(bytes, length)));
        }
        assertEquals(Problem.TRAILING_BYTES, problemOfDelta(Arrays.copyOf(bytes, bytes.length + 1)));
    }

    @Property(tries = 200, seed = "4")
    void truncatedOrExtendedSnapshotIsRejected(@ForAll("snapshots") MapSnapshot snapshot) {
        byte[] bytes = MapCodec.encode(snapshot);
        for (int length = 0; length < bytes.length; length++) {
            byte[] truncated = Arrays.copyOf(bytes, length);
            assertEquals(
                    Problem.TRUNCATED,
                    assertThrows(MapFormatException.class, () -> MapCodec.decodeSnapshot(truncated))
                            .problem());
        }
        byte[] extended = Arrays.copyOf(bytes, bytes.length + 1);
        assertEquals(
                Problem.TRAILING_BYTES,
                assertThrows(MapFormatException.class, () -> MapCodec.decodeSnapshot(extended))
                        .problem());
    }

    /** A delta has exactly one encoding: any bytes that are decoded give the same bytes when encoded again. */
    @Property(tries = 5000, seed = "5")
    void randomBytesAreRejectedOrCanonical(@ForAll byte[] tail) {
        byte[] bytes = new byte[tail.length + 1];
        System.arraycopy(tail, 0, bytes, 1, tail.length);
        bytes[0] = 'D';
        try {
            assertArrayEquals(bytes, MapCodec.encode(MapCodec.decodeDelta(bytes)));
        } catch (MapFormatException expected) {
            assertEquals(expected.problem(), problemOfDelta(bytes));
        }
    }

    @Property(tries = 500, seed = "6")
    void changedByteIsRejectedOrCanonical(@ForAll("deltas") MapDelta delta, @ForAll int position, @ForAll byte value) {
        byte[] bytes = MapCodec.encode(delta);
        bytes[Math.floorMod(position, bytes.length)] = value;
        try {
            assertArrayEquals(bytes, MapCodec.encode(MapCodec.decodeDelta(bytes)));
        } catch (MapFormatException expected) {
            assertEquals(expected.problem(), problemOfDelta(bytes));
        }
    }

    @Example
    void encodingIsAsDocumented() {
        MapDelta delta = new MapDelta(
                3, 300, 301, 7, List.of(new OwnerChange(0, new MemberId(0), 1), new OwnerChange(200, null, 2)));
        assertArrayEquals(bytes('D', 3, 0xac, 2, 1, 7, 2, 1, 1, 1, 0xc8, 1, 0, 2), MapCodec.encode(delta));
        ShardMap map = new ShardMap(3, 2);
        map.apply(new MapDelta(3, 0, 1, 7, List.of(new OwnerChange(1, new MemberId(127), 5))));
        assertArrayEquals(bytes('S', 3, 1, 7, 2, 0, 0, 0x80, 1, 5), MapCodec.encode(map.snapshot()));
    }

    @Example
    void eachFormatErrorIsReported() {
        assertEquals(Problem.WRONG_KIND, problemOfDelta(bytes('S', 0, 0, 1, 0, 0)));
        assertEquals(Problem.TRUNCATED, problemOfDelta(bytes('D', 0, 0, 1, 0, 1, 1)));
        assertEquals(Problem.OVERSIZED, problemOfDelta(bytes('D', 0, 0, 1, 0, 0x81, 0x80, 0x40)));
        assertEquals(Problem.UNSORTED, problemOfDelta(bytes('D', 0, 0, 1, 0, 1, 0, 1, 1)));
        assertEquals(Problem.INVALID_NUMBER, problemOfDelta(bytes('D', 0, 0, 0, 0, 0)), "no version step");
        assertEquals(Problem.INVALID_NUMBER, problemOfDelta(bytes('D', 0x80, 0, 0, 1, 0, 0)), "not the shortest form");
        assertEquals(
                Problem.INVALID_NUMBER,
                problemOfDelta(bytes('D', 0, 0, 1, 0, 1, 0x81, 0x80, 0x40, 1, 1)),
                "shard out of range");
        assertEquals(
                Problem.INVALID_NUMBER,
                problemOfDelta(bytes('D', 0x80, 0x80, 0x80, 0x80, 8, 0, 1, 0, 0)),
                "region out of range");
        assertEquals(
                Problem.INVALID_NUMBER,
                problemOfDelta(bytes('D', 0, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 1, 1, 0, 0)),
                "above 63 bits");
        assertEquals(
                Problem.INVALID_NUMBER,
                assertThrows(MapFormatException.class, () -> MapCodec.decodeSnapshot(bytes('S', 0, 0, 0, 0)))
                        .problem());
    }

    @Example
    void encodingRequiresSortedChangesAndValidNumbers() {
        OwnerChange first = new OwnerChange(1, null, 1);
        OwnerChange second = new OwnerChange(2, null, 1);
        assertNotEncodable(new MapDelta(0, 0, 1, 0, List.of(second, first)));
        assertNotEncodable(new MapDelta(0, 0, 1, 0, List.of(first, first)));
        assertNotEncodable(new MapDelta(0, 1, 1, 0, List.of(first)));
        assertNotEncodable(new MapDelta(0, 0, 1, -1, List.of(first)));
    }

    private static void assertNotEncodable(MapDelta delta) {
        assertThrows(IllegalArgumentException.class, () -> MapCodec.encode(delta));
    }

    private static Problem problemOfDelta(byte[] bytes) {
        return assertThrows(MapFormatException.class, () -> MapCodec.decodeDelta(bytes))
                .problem();
    }

    private static byte[] bytes(int... values) {
        byte[] bytes = new byte[values.length];
        for (int i = 0; i < values.length; i++) {
            bytes[i] = (byte) values[i];
        }
        return bytes;
    }
}
