package lilaclever.journal;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import lilaclever.routing.PendingMessage;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

/** Properties over random sequences; a failing one is shrunk to the fewest steps that still fail. */
class JournalProperties {
    private static final long QUOTA_BYTES = 160 * 1024;

    @Provide
    Arbitrary<Integer> draws() {
        return Arbitraries.integers().between(0, Integer.MAX_VALUE);
    }

    /** Whatever happens to the disk meanwhile, memory and folder are the same once the disk works again. */
    @Property(tries = 150, seed = "4711", shrinking = ShrinkingMode.BOUNDED)
    void memoryAndFolderAgreeAfterAnySequenceOfFaults(
            @ForAll @Size(min = 10, max = 400) List<@IntRange(max = 1 << 30) Integer> draws) throws IOException {
        Iterator<Integer> source = draws.iterator();
        SimDisk disk = new SimDisk();
        long[] clock = {0};
        RandomRun script = new RandomRun(disk, bound -> source.hasNext() ? source.next() % bound : bound - 1);
        SegmentedJournal journal = open(disk, clock);
        script.useJournal(journal);
        while (source.hasNext()) {
            switch (source.next() % 12) {
                case 0 -> disk.writesFail = !disk.writesFail;
                case 1 -> disk.quotaBytes = disk.quotaBytes == Long.MAX_VALUE ? disk.totalBytes() : Long.MAX_VALUE;
                case 2 -> disk.maxFileBytes = disk.maxFileBytes == Long.MAX_VALUE ? 5000 : Long.MAX_VALUE;
                case 3 -> {
                    if (journal.unwrittenCount() == 0) {
                        journal.close();
                        journal = open(disk, clock);
                        script.useJournal(journal);
                        assertEquals(script.describeModel(), describePending(journal));
                    }
                }
                default -> script.run(5, 2000, 40);
            }
            clock[0] += SpacePolicy.DISK_RETRY_DELAY_MICROS / 2;
            assertEquals(script.describeModel(), describePending(journal));
            assertTrue(disk.totalBytes() <= QUOTA_BYTES, "bytes: " + disk.totalBytes());
        }
        disk.writesFail = false;
        disk.quotaBytes = Long.MAX_VALUE;
        disk.maxFileBytes = Long.MAX_VALUE;
        clock[0] += 10 * SpacePolicy.DISK_RETRY_DELAY_MICROS;
        journal.maintain(script.nowMicros);
        assertEquals(0, journal.unwrittenCount());
        journal.close();
        assertEquals(script.describeModel(), describePending(open(disk, clock)));
    }

    /** On a disk that works no attempt and no end ever lacks room, whatever the sizes, also without a turn between. */
    @Property(tries = 30, seed = "4711", shrinking = ShrinkingMode.BOUNDED)
    void acceptedMessagesNeverLackSpace(
            @ForAll @IntRange(min = 100, max = 66_000) int largest,
            @ForAll @IntRange(min = 10, max = 600) int hold,
            @ForAll long seed)
            throws IOException {
        SimDisk disk = new SimDisk();
        RandomRun script = new RandomRun(disk, seed);
        try (SegmentedJournal journal = RandomRun.open(disk, 3 * QUOTA_BYTES, Durability.NONE)) {
            script.useJournal(journal);
            script.runWithoutCheckpoints(2500, largest, hold);
            assertEquals(0, script.rejectedAttempts + journal.unwrittenCount() + (int) journal.failureCount());
            assertTrue(disk.totalBytes() <= 3 * QUOTA_BYTES);
        }
    }

    private static SegmentedJournal open(SimDisk disk, long[] clock) throws IOException {
        return new SegmentedJournal(disk, QUOTA_BYTES, Durability.NONE, RandomRun.clocks(() -> clock[0]), new SplittableRandom(9));
    }

    private static String describePending(SegmentedJournal journal) {
        TreeMap<String, PendingMessage> owed = new TreeMap<>();
        journal.pendingMessages().forEach(o -> owed.put(o.submission().id(), o));
        return RandomRun.describe(owed, Map.of());
    }

    // ---- the plan ---------------------------------------------------------------------------------------
    /** What the plan promises fits, in whatever order the records come. */
    @Property(tries = 500, seed = "4711")
    void promisedBytesFitInAnyOrder(
            @ForAll @IntRange(min = 5, max = 200) int files,
            @ForAll @Size(min = 1, max = 300) List<@IntRange(min = 50, max = 20_000) Integer> sizes) {
        SpacePolicy plan = new SpacePolicy(3 << 20);
        long proper = plan.segmentBytes() - SegmentFormat.OVERHEAD_BYTES;
        long largest = sizes.stream().mapToInt(Integer::intValue).max().orElse(0);
        long promised = plan.usableBytes(files * plan.segmentBytes(), largest);
        long inUse = 0, used = 0, sum = 0;
        for (int i = 0; sum + sizes.get(i % sizes.size()) <= promised; i++) {
            int size = sizes.get(i % sizes.size());
            sum += size;
            if (inUse == 0 || used + size > proper) {
                inUse++;
                used = 0;
            }
            used += size;
        }
        assertTrue(inUse <= files - 3, inUse + " of " + files + " files for " + sum + " bytes");
    }

    /** Room is never promised where there is none, and a record more never gives room to a later one. */
    @Property(tries = 500, seed = "4711")
    void spaceShrinksWithLiveRecords(
            @ForAll @IntRange(max = 4 << 20) int allocated,
            @ForAll @IntRange(max = 4 << 20) int live,
            @ForAll @IntRange(max = 1 << 20) int growth,
            @ForAll @IntRange(max = 70_000) int record) {
        SpacePolicy plan = new SpacePolicy(4 << 20);
        SpacePolicy.SpaceUsage s = new SpacePolicy.SpaceUsage(4 << 20, allocated, 0, live, growth, 300, 0);
        SpacePolicy.SpaceUsage fuller = new SpacePolicy.SpaceUsage(4 << 20, allocated, 0, live + 1000, growth, 300, 0);
        assertTrue(!plan.hasSpace(s, record, 640) || live + growth + record <= allocated);
        assertTrue(!plan.hasSpace(fuller, record, 640) || plan.hasSpace(s, record, 640));
        List<Long> lengths = new ArrayList<>();
        for (int r : new int[] {record, record + 1000, record + 100_000}) {
            lengths.add(plan.segmentBytesFor(r));
            assertTrue(plan.segmentBytesFor(r) >= r + SegmentFormat.OVERHEAD_BYTES && plan.segmentBytesFor(r) % SegmentFormat.BLOCK_BYTES == 0);
        }
        assertEquals(lengths, lengths.stream().sorted().toList());
    }
}
