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

/** Ends that are owed: each leaves by one way, and no more are kept than may be. */
class PendingAnswersTest {
    @Test
    void practiceReceivesItsAnswersInOrder() {
        PendingAnswers<String> owed = new PendingAnswers<>(10, 100);
        owed.add("1", "north", "a", 0);
        owed.add("2", "south", "b", 0);
        owed.add("3", "north", "c", 0);
        assertEquals(List.of("a"), owed.take("north", 1));
        assertEquals(List.of("c"), owed.take("north", 5));
        assertEquals("b", owed.withdraw("2"));
        assertNull(owed.withdraw("2"));
        assertEquals(0, owed.discardedCount());
    }

    /** Guards against clients that never come back filling the journal and the memory. */
    @Test
    void oldestAnswersExpireOrAreEvicted() {
        PendingAnswers<String> owed = new PendingAnswers<>(2, 100);
        owed.add("1", "p", "a", 0);
        owed.add("2", "p", "b", 50);
        assertEquals(List.of("a"), owed.add("3", "p", "c", 60));
        assertEquals(List.of("b"), owed.expired(150));
        assertEquals(List.of("c"), owed.add("3", "p", "d", 151)); // its end came anew
        assertEquals(3, owed.discardedCount());
        assertEquals(List.of("d"), owed.take("p", 5));
    }

    @Provide
    Arbitrary<List<Integer>> steps() {
        return Arbitraries.integers().between(0, 399).list().ofMaxSize(120);
    }

    /** Each answer that went in comes out once, whatever happens in between. */
    @Property(tries = 300, seed = "-1")
    void eachAnswerIsReturnedExactlyOnce(@ForAll("steps") List<Integer> steps) {
        PendingAnswers<Integer> owed = new PendingAnswers<>(4, 30);
        Map<Integer, Integer> out = new HashMap<>();
        int in = 0;
        long now = 0;
        for (int s : steps) {
            now += s % 7;
            String identity = "i" + s % 6, practice = "p" + s % 3;
            List<Integer> left = new ArrayList<>();
            switch (s / 100) {
                case 0, 1 -> left.addAll(owed.add(identity, practice, in++, now));
                case 2 -> left.addAll(s % 2 == 0 ? owed.take(practice, 2) : owed.expired(now));
                default -> {
                    Integer one = owed.withdraw(identity);
                    left.addAll(one == null ? List.of() : List.of(one));
                }
            }
            left.forEach(x -> out.merge(x, 1, Integer::sum));
            assertTrue(owed.size() <= 4);
        }
        assertTrue(out.values().stream().allMatch(n -> n == 1));
        assertEquals(in, out.size() + owed.size());
    }
}
