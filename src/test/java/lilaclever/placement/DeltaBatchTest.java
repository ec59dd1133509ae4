package lilaclever.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import lilaclever.placement.MapDelta.OwnerChange;
import org.junit.jupiter.api.Test;

class DeltaBatchTest {
    private static final MapDelta FIRST = delta(0, 1, 4, new OwnerChange(9, null, 1), new OwnerChange(11, id(1), 1));
    private static final MapDelta SECOND = delta(1, 2, 5, new OwnerChange(3, id(2), 1), new OwnerChange(9, id(2), 2));

    private final DeltaBatch batch = new DeltaBatch();

    @Test
    void mergesDeltasIntoOneWithTheLastChangeOfEachShard() {
        batch.add(FIRST);
        batch.add(SECOND);
        assertEquals(
                delta(
                        0,
                        2,
                        5,
                        new OwnerChange(3, id(2), 1),
                        new OwnerChange(9, id(2), 2),
                        new OwnerChange(11, id(1), 1)),
                batch.take());
        assertTrue(batch.isEmpty());
        assertThrows(IllegalStateException.class, batch::take);
    }

    @Test
    void mergedDeltaGivesTheSameMapAsTheSingleDeltas() {
        ShardMap single = new ShardMap(0, 16);
        single.apply(FIRST);
        single.apply(SECOND);
        batch.add(FIRST);
        batch.add(SECOND);
        ShardMap merged = new ShardMap(0, 16);
        merged.apply(batch.take());
        assertEquals(single.snapshot(), merged.snapshot());
    }

    @Test
    void rejectsADeltaThatDoesNotFollowTheLastOne() {
        batch.add(FIRST);
        assertThrows(IllegalArgumentException.class, () -> batch.add(delta(2, 3, 5)));
        assertThrows(IllegalArgumentException.class, () -> batch.add(new MapDelta(1, 1, 2, 5, List.of())));
    }

    private static MapDelta delta(long from, long to, long configuration, OwnerChange... changes) {
        return new MapDelta(0, from, to, configuration, List.of(changes));
    }

    private static MemberId id(int number) {
        return new MemberId(number);
    }
}
