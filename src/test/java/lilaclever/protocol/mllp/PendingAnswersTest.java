package lilaclever.protocol.mllp;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.junit.jupiter.api.Test;

/** Pending answers: each is removed in exactly one way, and the limit holds. */
class PendingAnswersTest {
    @Test
    void practiceReceivesItsAnswersInOrder() {
        PendingAnswers<String> pending = new PendingAnswers<>(10, 100);
        pending.add("1", "north", "a", 0);
        pending.add("2", "south", "b", 0);
        pending.add("3", "north", "c", 0);
        assertEquals(List.of("a"), pending.take("north", 1));
        assertEquals(List.of("c"), pending.take("north", 5));
        assertEquals("b", pending.withdraw("2"));
        assertNull(pending.withdraw("2"));
        assertEquals(0, pending.discardedCount());
    }

    /** Guards against filling the journal and the memory with answers for clients that never reconnect. */
    @Test
    void oldestAnswersExpireOrAreEvicted() {
        PendingAnswers<String> pending = new PendingAnswers<>(2, 100);
        pending.add("1", "p", "a", 0);
        pending.add("2", "p", "b", 50);
        assertEquals(List.of("a"), pending.add("3", "p", "c", 60));
        assertEquals(List.of("b"), pending.expired(150));
        assertEquals(List.of("c"), pending.add("3", "p", "d", 151)); // replaces the previous answer
        assertEquals(3, pending.discardedCount());
        assertEquals(List.of("d"), pending.take("p", 5));
    }

    /** Guards against a practice that stays away and pushes out what is owed to the others. */
    @Test
    void practiceThatStaysAwayTakesNoRoomFromOthers() {
        PendingAnswers<String> pending = new PendingAnswers<>(3, 100);
        pending.add("1", "north", "owed to north", 0);
        List<String> discarded = new ArrayList<>();
        for (int i = 2; i < 10; i++) {
            discarded.addAll(pending.add("" + i, "south", "s" + i, i));
        }
        assertEquals(List.of("s2", "s3", "s4", "s5", "s6", "s7"), discarded);
        assertEquals(List.of("owed to north"), pending.take("north", 5));
    }

    @Provide
    Arbitrary<List<Integer>> steps() {
        return Arbitraries.integers().between(0, 399).list().ofMaxSize(120);
    }

    /** Each added answer is returned exactly once, whatever the sequence of operations. */
    @Property(tries = 300, seed = "-1")
    void eachAnswerIsReturnedExactlyOnce(@ForAll("steps") List<Integer> steps) {
        PendingAnswers<Integer> pending = new PendingAnswers<>(4, 30);
        Map<Integer, Integer> returned = new HashMap<>();
        int addedCount = 0;
        long now = 0;
        for (int step : steps) {
            now += step % 7;
            String identity = "i" + step % 6, practice = "p" + step % 3;
            List<Integer> removed = new ArrayList<>();
            switch (step / 100) {
                case 0, 1 -> removed.addAll(pending.add(identity, practice, addedCount++, now));
                case 2 -> removed.addAll(step % 2 == 0 ? pending.take(practice, 2) : pending.expired(now));
                default -> {
                    Integer one = pending.withdraw(identity);
                    removed.addAll(one == null ? List.of() : List.of(one));
                }
            }
            removed.forEach(x -> returned.merge(x, 1, Integer::sum));
            assertTrue(pending.size() <= 4);
        }
        assertTrue(returned.values().stream().allMatch(n -> n == 1));
        assertEquals(addedCount, returned.size() + pending.size());
    }
}
