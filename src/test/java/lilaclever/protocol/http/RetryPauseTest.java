package lilaclever.protocol.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Delays before an unreachable server is tried again. */
class RetryPauseTest {
    private static final long FIRST = 50_000, LONGEST = 300_000;

    @Test
    void pausesGrowToTheBoundAndStayUnderIt() {
        RetryPause pause = new RetryPause(FIRST, LONGEST, new SplittableRandom(1));
        for (long step : List.of(50_000L, 100_000L, 200_000L, LONGEST, LONGEST, LONGEST)) {
            long next = pause.next();
            assertTrue(next >= step * 3 / 4 && next <= step, next + " at a step of " + step);
        }
    }

    @Test
    void pausesOfManyClientsAreSpread() {
        Set<Long> lengths = new HashSet<>();
        IntStream.range(0, 100)
                .forEach(i -> lengths.add(new RetryPause(FIRST, LONGEST, new SplittableRandom(i)).next()));
        assertTrue(lengths.size() > 90, "distinct delays of 100 clients: " + lengths.size());
    }

    @Test
    void anAnswerBringsBackTheFirstPause() {
        RetryPause pause = new RetryPause(FIRST, LONGEST, new SplittableRandom(2));
        long grown = IntStream.range(0, 5).mapToLong(i -> pause.next()).max().orElseThrow();
        assertTrue(grown > FIRST);
        pause.reset();
        assertTrue(pause.next() <= FIRST);
    }

    @Test
    void theSameSeedGivesTheSamePauses() {
        RetryPause one = new RetryPause(FIRST, LONGEST, new SplittableRandom(3));
        RetryPause other = new RetryPause(FIRST, LONGEST, new SplittableRandom(3));
        IntStream.range(0, 10).forEach(i -> assertEquals(one.next(), other.next()));
    }
}
