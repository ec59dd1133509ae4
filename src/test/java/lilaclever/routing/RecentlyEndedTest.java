package lilaclever.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import lilaclever.routing.FinalStatus.Kind;
import org.junit.jupiter.api.Test;

class RecentlyEndedTest {
    private static final long SECOND_MICROS = 1_000_000;
    private static final int MAX_ENTRIES = 4_096;

    private final RecentlyEnded ended = new RecentlyEnded();

    @Test
    void anEndIsRememberedForFiveSeconds() {
        ended.add("a", FinalStatus.of(Kind.DELIVERED), 0);
        assertEquals(Kind.DELIVERED, ended.find("a", 5 * SECOND_MICROS - 1).kind());
        assertNull(ended.find("a", 5 * SECOND_MICROS));
        assertNull(ended.find("b", 0));
    }

    @Test
    void expiredEndsAreRemovedAndTheOldestMakesRoom() {
        ended.add("old", FinalStatus.of(Kind.FAILED), 0);
        ended.add("new", FinalStatus.of(Kind.FAILED), 5 * SECOND_MICROS);
        ended.removeExpired(5 * SECOND_MICROS - 1);
        assertEquals(2, ended.size());
        ended.removeExpired(5 * SECOND_MICROS);
        assertEquals(1, ended.size());
        for (int i = 0; i < MAX_ENTRIES; i++) {
            ended.add("m" + i, FinalStatus.of(Kind.DELIVERED), 5 * SECOND_MICROS);
        }
        assertEquals(MAX_ENTRIES, ended.size());
        assertNull(ended.find("new", 5 * SECOND_MICROS));
        assertEquals(Kind.DELIVERED, ended.find("m0", 5 * SECOND_MICROS).kind());
    }
}
