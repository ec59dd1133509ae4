package lilaclever.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import lilaclever.placement.MapDelta.OwnerChange;
import org.junit.jupiter.api.Test;

/** A forwarder's copy of the map with deltas in order, repeated, late and with gaps. */
class ShardMapTest {
    private static final MemberId A = new MemberId(0);
    private static final MemberId B = new MemberId(7);

    private final ShardMap map = new ShardMap(2, 4);

    private static MapDelta delta(long from, long to, OwnerChange... changes) {
        return new MapDelta(2, from, to, 5, List.of(changes));
    }

    @Test
    void startsEmpty() {
        assertNull(map.ownerOf(3));
        assertEquals(0, map.epochOf(3));
        assertEquals(0, map.version());
        assertEquals(0, map.configurationVersion());
    }

    @Test
    void appliesDeltasInOrderAndIgnoresOldOnes() {
        assertEquals(MapUpdate.APPLIED, map.apply(delta(0, 1, new OwnerChange(1, A, 1))));
        assertEquals(MapUpdate.APPLIED, map.apply(delta(1, 2, new OwnerChange(1, B, 2), new OwnerChange(2, A, 1))));
        assertEquals(MapUpdate.ALREADY_APPLIED, map.apply(delta(0, 1, new OwnerChange(1, A, 1))));
        assertEquals(MapUpdate.ALREADY_APPLIED, map.apply(delta(1, 2, new OwnerChange(1, A, 9))));
        assertEquals(B, map.ownerOf(1));
        assertEquals(2, map.epochOf(1));
        assertEquals(A, map.ownerOf(2));
        assertEquals(2, map.version());
        assertEquals(5, map.configurationVersion());
    }

    @Test
    void reportsAGapAndLoadsASnapshot() {
        ShardMap ahead = new ShardMap(2, 4);
        ahead.apply(delta(0, 1, new OwnerChange(0, A, 1)));
        ahead.apply(delta(1, 2, new OwnerChange(0, null, 1)));
        MapDelta third = delta(2, 3, new OwnerChange(3, B, 1));

        assertEquals(MapUpdate.GAP, map.apply(third));
        assertEquals(0, map.version());
        assertNull(map.ownerOf(3));
        assertEquals(MapUpdate.APPLIED, map.load(ahead.snapshot()));
        assertEquals(MapUpdate.APPLIED, map.apply(third));
        ahead.apply(third);
        assertEquals(ahead.snapshot(), map.snapshot());
        assertNull(map.ownerOf(0));
        assertEquals(1, map.epochOf(0));
    }

    @Test
    void snapshotIsImmutableAndNotLoadedOverANewerMap() {
        map.apply(delta(0, 1, new OwnerChange(0, A, 1)));
        MapSnapshot first = map.snapshot();
        map.apply(delta(1, 2, new OwnerChange(0, B, 2)));
        assertEquals(A, first.ownerOf(0));
        assertEquals(MapUpdate.ALREADY_APPLIED, map.load(first));
        assertEquals(B, map.ownerOf(0));
    }

    @Test
    void deltaOverSeveralVersionsMayStartBeforeTheMapsVersion() {
        map.apply(delta(0, 1, new OwnerChange(0, A, 1)));
        assertEquals(MapUpdate.APPLIED, map.apply(delta(0, 3, new OwnerChange(0, B, 2), new OwnerChange(1, A, 1))));
        assertEquals(B, map.ownerOf(0));
        assertEquals(3, map.version());
    }

    @Test
    void rejectsInvalidDeltasAndSnapshotsWithoutAnyChange() {
        map.apply(delta(0, 1, new OwnerChange(0, A, 4)));
        MapSnapshot before = map.snapshot();
        assertRejected(new MapDelta(3, 1, 2, 5, List.of()));
        assertRejected(new MapDelta(2, 1, 2, 4, List.of()));
        assertRejected(delta(1, 2, new OwnerChange(1, B, 1), new OwnerChange(4, B, 1)));
        assertRejected(delta(1, 2, new OwnerChange(1, B, 1), new OwnerChange(-1, B, 1)));
        assertRejected(delta(1, 2, new OwnerChange(1, B, 1), new OwnerChange(0, B, 3)));
        assertEquals(before, map.snapshot());
        assertThrows(IllegalArgumentException.class, () -> map.load(new ShardMap(2, 5).snapshot()));
        assertThrows(IllegalArgumentException.class, () -> map.load(new ShardMap(1, 4).snapshot()));
        assertThrows(IllegalArgumentException.class, () -> new ShardMap(1, 0));
    }

    private void assertRejected(MapDelta delta) {
        assertThrows(IllegalArgumentException.class, () -> map.apply(delta));
    }
}
