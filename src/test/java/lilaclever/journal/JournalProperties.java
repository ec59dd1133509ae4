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

    /** Whatever faults the disk has meanwhile, memory and folder agree once it works again. */
    @Property(tries = 150, seed = "4711", shrinking = ShrinkingMode.BOUNDED)
    void memoryAndFolderAgreeAfterAnySequenceOfFaults(
            @ForAll @Size(min = 10, max = 400) List<@IntRange(max = 1 << 30) Integer> draws) throws IOException {
        Iterator<Integer> source = draws.iterator();
        SimDisk disk = new SimDisk();
        long[] clockMicros = {0};
        RandomRun randomRun = new RandomRun(disk, bound -> source.hasNext() ? source.next() % bound : bound - 1);
        SegmentedJournal journal = open(disk, clockMicros);
        randomRun.useJournal(journal);
        while (source.hasNext()) {
            switch (source.next() % 12) {
                case 0 -> disk.writesFail = !disk.writesFail;
                case 1 -> disk.quotaBytes = disk.quotaBytes == Long.MAX_VALUE ? disk.totalBytes() : Long.MAX_VALUE;
                case 2 -> disk.maxFileBytes = disk.maxFileBytes == Long.MAX_VALUE ? 5000 : Long.MAX_VALUE;
                case 3 -> {
                    if (journal.unwrittenCount() == 0) {
                        journal.close();
                        journal = open(disk, clockMicros);
                        randomRun.useJournal(journal);
                        assertEquals(randomRun.describeModel(), describePending(journal));
                    }
                }
                default -> randomRun.run(5, 2000, 40);
            }
            clockMicros[0] += SpacePolicy.DISK_RETRY_DELAY_MICROS / 2;
            assertEquals(randomRun.describeModel(), describePending(journal));
            assertTrue(disk.totalBytes() <= QUOTA_BYTES, "bytes: " + disk.totalBytes());
        }
        disk.writesFail = false;
        disk.quotaBytes = Long.MAX_VALUE;
        disk.maxFileBytes = Long.MAX_VALUE;
        clockMicros[0] += 10 * SpacePolicy.DISK_RETRY_DELAY_MICROS;
        journal.maintain(randomRun.nowMicros);
        assertEquals(0, journal.unwrittenCount());
        journal.close();
        assertEquals(randomRun.describeModel(), describePending(open(disk, clockMicros)));
    }

    /**
     * On a working disk no attempt and no result lacks space, whatever the record sizes, even without turns in between.
     */
    @Property(tries = 30, seed = "4711", shrinking = ShrinkingMode.BOUNDED)
    void acceptedMessagesNeverLackSpace(
            @ForAll @IntRange(min = 100, max = 66_000) int maxBodyBytes,
            @ForAll @IntRange(min = 10, max = 600) int targetPending,
            @ForAll long seed)
            throws IOException {
        SimDisk disk = new SimDisk();
        RandomRun randomRun = new RandomRun(disk, seed);
        try (SegmentedJournal journal = RandomRun.open(disk, 3 * QUOTA_BYTES, Durability.NONE)) {
            randomRun.useJournal(journal);
            randomRun.runWithoutCheckpoints(2500, maxBodyBytes, targetPending);
            assertEquals(0, randomRun.rejectedAttempts + journal.unwrittenCount() + (int) journal.failureCount());
            assertTrue(disk.totalBytes() <= 3 * QUOTA_BYTES);
        }
    }

    private static SegmentedJournal open(SimDisk disk, long[] clockMicros) throws IOException {
        return new SegmentedJournal(
                disk, QUOTA_BYTES, Durability.NONE, RandomRun.clocks(() -> clockMicros[0]), new SplittableRandom(9));
    }

    private static String describePending(SegmentedJournal journal) {
        TreeMap<String, PendingMessage> pending = new TreeMap<>();
        journal.pendingMessages()
                .forEach(message -> pending.put(message.submission().id(), message));
        return RandomRun.describe(pending, Map.of());
    }

    // Space policy

    /** What the policy promises fits, whatever the order of the records. */
    @Property(tries = 500, seed = "4711")
    void promisedBytesFitInAnyOrder(
            @ForAll @IntRange(min = 5, max = 200) int files,
            @ForAll @Size(min = 1, max = 300) List<@IntRange(min = 50, max = 20_000) Integer> sizes) {
        SpacePolicy policy = new SpacePolicy(3 << 20);
        long capacity = policy.segmentBytes() - SegmentFormat.OVERHEAD_BYTES;
        long largest = sizes.stream().mapToInt(Integer::intValue).max().orElse(0);
        long promised = policy.usableBytes(files * policy.segmentBytes(), largest);
        long filesInUse = 0, usedInFile = 0, total = 0;
        for (int i = 0; total + sizes.get(i % sizes.size()) <= promised; i++) {
            int size = sizes.get(i % sizes.size());
            total += size;
            if (filesInUse == 0 || usedInFile + size > capacity) {
                filesInUse++;
                usedInFile = 0;
            }
            usedInFile += size;
        }
        assertTrue(filesInUse <= files - 3, filesInUse + " of " + files + " files for " + total + " bytes");
    }

    /** Space is never promised where there is none, and one more live record never makes space for a later one. */
    @Property(tries = 500, seed = "4711")
    void spaceShrinksWithLiveRecords(
            @ForAll @IntRange(max = 4 << 20) int allocatedBytes,
            @ForAll @IntRange(max = 4 << 20) int liveBytes,
            @ForAll @IntRange(max = 1 << 20) int growthBytes,
            @ForAll @IntRange(max = 70_000) int recordBytes) {
        SpacePolicy policy = new SpacePolicy(4 << 20);
        SpacePolicy.SpaceUsage usage =
                new SpacePolicy.SpaceUsage(4 << 20, allocatedBytes, 0, liveBytes, growthBytes, 300, 0);
        SpacePolicy.SpaceUsage fullerUsage =
                new SpacePolicy.SpaceUsage(4 << 20, allocatedBytes, 0, liveBytes + 1000, growthBytes, 300, 0);
        assertTrue(
                !policy.hasSpace(usage, recordBytes, 640) || liveBytes + growthBytes + recordBytes <= allocatedBytes);
        assertTrue(!policy.hasSpace(fullerUsage, recordBytes, 640) || policy.hasSpace(usage, recordBytes, 640));
        List<Long> lengths = new ArrayList<>();
        for (int r : new int[] {recordBytes, recordBytes + 1000, recordBytes + 100_000}) {
            lengths.add(policy.segmentBytesFor(r));
            assertTrue(policy.segmentBytesFor(r) >= r + SegmentFormat.OVERHEAD_BYTES
                    && policy.segmentBytesFor(r) % SegmentFormat.BLOCK_BYTES == 0);
        }
        assertEquals(lengths, lengths.stream().sorted().toList());
    }
}
