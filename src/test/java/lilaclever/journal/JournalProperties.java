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
    private static final long MOST = 160 * 1024;

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
        long[] clock = {0};
        Script script = new Script(disk, bound -> source.hasNext() ? source.next() % bound : bound - 1);
        SegmentedJournal journal = open(disk, clock);
        script.use(journal);
        while (source.hasNext()) {
            switch (source.next() % 12) {
                case 0 -> disk.writesFail = !disk.writesFail;
                case 1 -> disk.most = disk.most == Long.MAX_VALUE ? disk.total() : Long.MAX_VALUE;
                case 2 -> disk.mostOfAFile = disk.mostOfAFile == Long.MAX_VALUE ? 5000 : Long.MAX_VALUE;
                case 3 -> {
                    if (journal.unwritten() == 0) {
                        journal.close();
                        journal = open(disk, clock);
                        script.use(journal);
                        assertEquals(script.model(), owed(journal));
                    }
                }
                default -> script.run(5, 2000, 40);
            }
            clock[0] += Plan.PAUSE / 2;
            assertEquals(script.model(), owed(journal));
            assertTrue(disk.total() <= MOST, "bytes: " + disk.total());
        }
        disk.writesFail = false;
        disk.most = Long.MAX_VALUE;
        disk.mostOfAFile = Long.MAX_VALUE;
        clock[0] += 10 * Plan.PAUSE;
        journal.tidy(script.now);
        assertEquals(0, journal.unwritten());
        journal.close();
        assertEquals(script.model(), owed(open(disk, clock)));
    }

    /**
     * On a working disk no attempt and no result lacks space, whatever the record sizes, even without turns in between.
     */
    @Property(tries = 30, seed = "4711", shrinking = ShrinkingMode.BOUNDED)
    void whatWasTakenNeverLacksRoom(
            @ForAll @IntRange(min = 100, max = 66_000) int largest,
            @ForAll @IntRange(min = 10, max = 600) int hold,
            @ForAll long seed)
            throws IOException {
        SimDisk disk = new SimDisk();
        Script script = new Script(disk, seed);
        try (SegmentedJournal journal = Script.open(disk, 3 * MOST, Durability.NONE)) {
            script.use(journal);
            script.runOn(2500, largest, hold);
            assertEquals(0, script.attemptsRefused + journal.unwritten() + (int) journal.failures());
            assertTrue(disk.total() <= 3 * MOST);
        }
    }

    private static SegmentedJournal open(SimDisk disk, long[] clock) throws IOException {
        return new SegmentedJournal(disk, MOST, Durability.NONE, Script.times(() -> clock[0]), new SplittableRandom(9));
    }

    private static String owed(SegmentedJournal journal) {
        TreeMap<String, PendingMessage> owed = new TreeMap<>();
        journal.owed().forEach(o -> owed.put(o.submission().id(), o));
        return Script.text(owed, Map.of());
    }

    // Space policy

    /** What the policy promises fits, whatever the order of the records. */
    @Property(tries = 500, seed = "4711")
    void whatIsPromisedFitsInAnyOrder(
            @ForAll @IntRange(min = 5, max = 200) int files,
            @ForAll @Size(min = 1, max = 300) List<@IntRange(min = 50, max = 20_000) Integer> sizes) {
        Plan plan = new Plan(3 << 20);
        long proper = plan.segment() - Format.OVERHEAD;
        long largest = sizes.stream().mapToInt(Integer::intValue).max().orElse(0);
        long promised = plan.usable(files * plan.segment(), largest);
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

    /** Space is never promised where there is none, and one more live record never makes space for a later one. */
    @Property(tries = 500, seed = "4711")
    void roomShrinksWithWhatIsHeld(
            @ForAll @IntRange(max = 4 << 20) int allocated,
            @ForAll @IntRange(max = 4 << 20) int live,
            @ForAll @IntRange(max = 1 << 20) int growth,
            @ForAll @IntRange(max = 70_000) int record) {
        Plan plan = new Plan(4 << 20);
        Plan.Space s = new Plan.Space(4 << 20, allocated, 0, live, growth, 300, 0);
        Plan.Space fuller = new Plan.Space(4 << 20, allocated, 0, live + 1000, growth, 300, 0);
        assertTrue(!plan.hasRoom(s, record, 640) || live + growth + record <= allocated);
        assertTrue(!plan.hasRoom(fuller, record, 640) || plan.hasRoom(s, record, 640));
        List<Long> lengths = new ArrayList<>();
        for (int r : new int[] {record, record + 1000, record + 100_000}) {
            lengths.add(plan.lengthFor(r));
            assertTrue(plan.lengthFor(r) >= r + Format.OVERHEAD && plan.lengthFor(r) % Format.BLOCK == 0);
        }
        assertEquals(lengths, lengths.stream().sorted().toList());
    }
}
