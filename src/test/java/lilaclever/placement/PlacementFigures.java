package lilaclever.placement;

import java.util.Arrays;
import java.util.List;
import java.util.stream.IntStream;
import lilaclever.placement.DistributionTree.TreeMember;
import org.HdrHistogram.Histogram;

/**
 * Measures a region's controller at a given size: {@code PlacementFigures MEMBERS SHARDS REASSIGNMENTS_PER_SECOND}.
 * Prints the time of a join and of a loss, the number of shards moved, the load and the size of the map, and finally
 * the same for the loss of a zone. Not part of CI.
 */
final class PlacementFigures {
    private static final long SECOND_MICROS = 1_000_000;
    private static final int ZONES = 3;
    private static final int ROUNDS = 100;
    private static final int WARM_UP_ROUNDS = 40;

    private PlacementFigures() {}

    public static void main(String[] arguments) {
        int members = Integer.parseInt(arguments[0]);
        int shards = Integer.parseInt(arguments[1]);
        int reassignmentsPerSecond = Integer.parseInt(arguments[2]);
        long emptyHeap = usedHeap();
        TestRegion region = new TestRegion(TestRegion.settings(shards, ZONES, reassignmentsPerSecond));
        long startNanos = System.nanoTime();
        for (int member = 0; member < members; member++) {
            region.join(member, member % ZONES);
        }
        System.out.printf(
                "%d members, %d shards, %d reassignments per second%n", members, shards, reassignmentsPerSecond);
        System.out.printf(
                "all members join at once: %.0f ms, including the harness%n", (System.nanoTime() - startNanos) / 1e6);
        region.runUntilAllOwned(100_000);
        region.run(30 * SECOND_MICROS);
        System.out.printf(
                "maximum to mean load %.3f, snapshot %d bytes%n",
                region.maxToMeanLoad(), region.controller.snapshot().encodedBytes());
        System.out.printf("heap of controller, map and harness: %.1f MB%n", (usedHeap() - emptyHeap) / 1e6);
        printHeartbeats(region, members);
        region.measuresCpuTime = true;
        printLossesAndJoins(region, members, shards);
        printZoneLoss(region, members);
        printTree(members);
    }

    private static long usedHeap() {
        System.gc();
        Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }

    private static void printHeartbeats(TestRegion region, int members) {
        long startNanos = System.nanoTime();
        region.run(10 * SECOND_MICROS);
        System.out.printf(
                "heartbeat: %.2f microseconds, including the harness%n",
                (System.nanoTime() - startNanos) / 1e3 / (10.0 * members));
    }

    private static void printLossesAndJoins(TestRegion region, int members, int shards) {
        Histogram joinMicros = new Histogram(3);
        Histogram lossMicros = new Histogram(3);
        long joinMoves = 0;
        long joinGains = 0;
        long lossMoves = 0;
        long lostShards = 0;
        double maxToMean = 0;
        long deltaBytes = region.deltaBytes;
        long deltas = region.deltaCount;
        for (int round = 0; round < WARM_UP_ROUNDS + ROUNDS; round++) {
            int member = (int) (round * 7919L % members);
            int[] before = region.owners();
            int lost =
                    (int) Arrays.stream(before).filter(owner -> owner == member).count();
            region.kill(List.of(member));
            region.run(8 * SECOND_MICROS);
            long lossNanos = region.lastExpiryCpuNanos;
            int lossMoved = region.shardsMovedSince(before);
            maxToMean = Math.max(maxToMean, region.maxToMeanLoad());

            int[] without = region.owners();
            region.maxCommandCpuNanos = 0;
            region.join(member, member % ZONES);
            long joinNanos = region.maxCommandCpuNanos;
            region.run(2 * SECOND_MICROS);
            maxToMean = Math.max(maxToMean, region.maxToMeanLoad());
            if (round >= WARM_UP_ROUNDS) {
                lossMicros.recordValue(lossNanos / 1000);
                joinMicros.recordValue(joinNanos / 1000);
                lostShards += lost;
                lossMoves += lossMoved;
                joinGains += region.controller.shardsHeldBy(new MemberId(member));
                joinMoves += region.shardsMovedSince(without);
            }
        }
        print("join", joinMicros);
        print("loss", lossMicros);
        System.out.printf(
                "a loss moves %.2f shards, the lost member had %.2f%n",
                lossMoves / (double) ROUNDS, lostShards / (double) ROUNDS);
        System.out.printf(
                "a join moves %.2f shards, the new member gets %.2f, its fair share is %.2f%n",
                joinMoves / (double) ROUNDS, joinGains / (double) ROUNDS, shards / (double) members);
        System.out.printf("maximum to mean load, worst of the rounds: %.3f%n", maxToMean);
        System.out.printf(
                "a loss and a join: %.1f deltas, %.0f bytes%n",
                (region.deltaCount - deltas) / (double) (WARM_UP_ROUNDS + ROUNDS),
                (region.deltaBytes - deltaBytes) / (double) (WARM_UP_ROUNDS + ROUNDS));
    }

    private static void print(String name, Histogram micros) {
        System.out.printf(
                "%s: median %d, 99th percentile %d, maximum %d microseconds of CPU time, %d commands%n",
                name,
                micros.getValueAtPercentile(50),
                micros.getValueAtPercentile(99),
                micros.getMaxValue(),
                micros.getTotalCount());
    }

    private static void printZoneLoss(TestRegion region, int members) {
        int[] before = region.owners();
        long deltaBytes = region.deltaBytes;
        long deltas = region.deltaCount;
        List<Integer> zone = IntStream.range(0, members)
                .filter(member -> member % ZONES == 1)
                .boxed()
                .toList();
        int lost =
                (int) Arrays.stream(before).filter(owner -> owner % ZONES == 1).count();
        long killedAtMicros = region.nowMicros;
        region.kill(zone);
        region.run(TestRegion.TIMING.safeExpiryDelayMicros() - TestRegion.TIMING.heartbeatMicros());
        region.maxCommandCpuNanos = 0;
        region.run(TestRegion.TIMING.heartbeatMicros() + 1);
        region.runUntilAllOwned(100_000);
        System.out.printf(
                "loss of a zone: %d members had %d shards; %d moved; all owned after %.2f s; "
                        + "longest command %.1f ms of CPU time; %d deltas, %d bytes; maximum to mean load %.3f%n",
                zone.size(),
                lost,
                region.shardsMovedSince(before),
                (region.nowMicros - killedAtMicros) / 1e6,
                region.maxCommandCpuNanos / 1e6,
                region.deltaCount - deltas,
                region.deltaBytes - deltaBytes,
                region.maxToMeanLoad());
    }

    private static void printTree(int members) {
        List<TreeMember> list = IntStream.range(0, members)
                .mapToObj(member -> new TreeMember(new MemberId(member), member % ZONES))
                .toList();
        for (int degree : new int[] {4, 8, 16}) {
            long startNanos = System.nanoTime();
            DistributionTree tree = new DistributionTree(list, 1, degree);
            System.out.printf(
                    "tree of degree %d: depth %d, built in %.1f ms%n",
                    degree, tree.depth(), (System.nanoTime() - startNanos) / 1e6);
        }
    }
}
