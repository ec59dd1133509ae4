package lilaclever.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** A region of the planned fleet: 19,000 forwarders and 262,144 shards in 9 regions. */
class RealSizeTest {
    private static final long SECOND_MICROS = 1_000_000;
    private static final int MEMBERS = 2_111;
    private static final int SHARDS = 29_128;
    private static final int ZONES = 3;
    private static final int REASSIGNMENTS_PER_SECOND = 5_000;

    @Test
    void lossJoinAndZoneLossMoveFewShardsAndKeepTheLoadBound() {
        TestRegion region = new TestRegion(TestRegion.settings(SHARDS, ZONES, REASSIGNMENTS_PER_SECOND));
        for (int member = 0; member < MEMBERS; member++) {
            region.join(member, member % ZONES);
        }
        region.runUntilAllOwned(2_000);
        region.run(20 * SECOND_MICROS);
        assertLoadBound(region);

        int[] initial = region.owners();
        int lost = (int) Arrays.stream(initial).filter(owner -> owner == 1000).count();
        region.kill(List.of(1000));
        region.run(10 * SECOND_MICROS);
        assertEquals(0, region.unownedShards());
        assertEquals(lost, region.shardsMovedSince(initial));
        assertLoadBound(region);

        int[] beforeJoin = region.owners();
        region.join(1000, 1000 % ZONES);
        region.run(3 * SECOND_MICROS);
        assertEquals(region.controller.shardsHeldBy(new MemberId(1000)), region.shardsMovedSince(beforeJoin));
        assertLoadBound(region);

        int[] beforeZoneLoss = region.owners();
        int lostZone = (int) Arrays.stream(beforeZoneLoss)
                .filter(owner -> owner % ZONES == 1)
                .count();
        region.kill(IntStream.range(0, MEMBERS)
                .filter(member -> member % ZONES == 1)
                .boxed()
                .toList());
        region.run(TestRegion.TIMING.safeExpiryDelayMicros());
        long reassignmentMicros = region.runUntilAllOwned(2_000);
        assertTrue(
                reassignmentMicros <= (lostZone / REASSIGNMENTS_PER_SECOND + 1) * SECOND_MICROS,
                () -> "microseconds until all owned: " + reassignmentMicros);
        region.run(SECOND_MICROS);
        assertEquals(lostZone, region.shardsMovedSince(beforeZoneLoss));
        assertLoadBound(region);
    }

    private static void assertLoadBound(TestRegion region) {
        double maxToMean = region.maxToMeanLoad();
        assertTrue(maxToMean <= 1.25, () -> "maximum to mean load " + maxToMean);
    }
}
