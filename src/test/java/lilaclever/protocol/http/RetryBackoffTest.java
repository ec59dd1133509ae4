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
class RetryBackoffTest {
    private static final long INITIAL_MICROS = 50_000, MAX_MICROS = 300_000;

    @Test
    void delaysGrowToTheLimit() {
        RetryBackoff backoff = new RetryBackoff(INITIAL_MICROS, MAX_MICROS, new SplittableRandom(1));
        for (long step : List.of(50_000L, 100_000L, 200_000L, MAX_MICROS, MAX_MICROS, MAX_MICROS)) {
            long next = backoff.nextDelayMicros();
            assertTrue(next >= step * 3 / 4 && next <= step, next + " at a step of " + step);
        }
    }

    @Test
    void delaysOfManyClientsAreSpread() {
        Set<Long> lengths = new HashSet<>();
        IntStream.range(0, 100)
                .forEach(i -> lengths.add(
                        new RetryBackoff(INITIAL_MICROS, MAX_MICROS, new SplittableRandom(i)).nextDelayMicros()));
        assertTrue(lengths.size() > 90, "distinct delays of 100 clients: " + lengths.size());
    }

    @Test
    void resetRestoresTheInitialDelay() {
        RetryBackoff backoff = new RetryBackoff(INITIAL_MICROS, MAX_MICROS, new SplittableRandom(2));
        long grown = IntStream.range(0, 5)
                .mapToLong(i -> backoff.nextDelayMicros())
                .max()
                .orElseThrow();
        assertTrue(grown > INITIAL_MICROS);
        backoff.reset();
        assertTrue(backoff.nextDelayMicros() <= INITIAL_MICROS);
    }

    @Test
    void theSameSeedGivesTheSameDelays() {
        RetryBackoff one = new RetryBackoff(INITIAL_MICROS, MAX_MICROS, new SplittableRandom(3));
        RetryBackoff other = new RetryBackoff(INITIAL_MICROS, MAX_MICROS, new SplittableRandom(3));
        IntStream.range(0, 10).forEach(i -> assertEquals(one.nextDelayMicros(), other.nextDelayMicros()));
    }
}
