package lilaclever.identity;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.junit.jupiter.api.Test;

/** Duplicate detection, by its rules and by random sequences against a simple model. */
class IdentitiesTest {
    private static final Fingerprint A = Fingerprint.of(0, 7, new byte[] {1}), B = Fingerprint.of(0, 7, new byte[] {2});
    private static final String ONE = new Identity("north", "k1").text(), TWO = new Identity("south", "k1").text();

    private static final class Plain implements CompletedMessageStore<String> {
        final Map<String, CompletedMessage<String>> all = new HashMap<>();

        @Override
        public CompletedMessage<String> find(String identity) {
            return all.get(identity);
        }

        @Override
        public int size() {
            return all.size();
        }

        @Override
        public void put(String identity, CompletedMessage<String> past) {
            all.put(identity, past);
        }

        @Override
        public void removeSoonestExpiring() {
            all.remove(all.entrySet().stream()
                    .min(Comparator.comparingLong(e -> e.getValue().untilWallMicros()))
                    .orElseThrow()
                    .getKey());
        }
    }

    private final Plain memory = new Plain();
    private final DuplicateDetector<String, String> identities =
            new DuplicateDetector<>(new IdempotencyWindows(List.of(100L, 10L), 50, 3), memory);

    @Test
    void aMessageIsFreshThenHeldThenOver() {
        assertEquals(new DuplicateCheckResult.NewMessage<>(), identities.check(ONE, A, 0));
        identities.addPending(ONE, A, "m");
        assertEquals(new DuplicateCheckResult.PendingDuplicate<>("m"), identities.check(ONE, A, 0));
        identities.removePending(ONE, "m");
        assertEquals(new DuplicateCheckResult.NewMessage<>(), identities.check(ONE, A, 0)); // as after a refusal
        identities.addCompleted(ONE, A, 0, "delivered", 5);
        assertEquals(new DuplicateCheckResult.CompletedDuplicate<>("delivered"), identities.check(ONE, A, 104));
        assertEquals(new DuplicateCheckResult.NewMessage<>(), identities.check(ONE, A, 105));
    }

    /** Guards against treating messages of two practices that use the same keys as duplicates. */
    @Test
    void practicesShareNoKeys() {
        identities.addPending(ONE, A, "m");
        assertEquals(new DuplicateCheckResult.NewMessage<>(), identities.check(TWO, A, 0));
    }

    /** Guards against answering a different message with the result of the first, without delivering it. */
    @Test
    void otherContentClashesForAsLongAsTheFirstIsKnown() {
        identities.addPending(ONE, A, "m");
        assertEquals(new DuplicateCheckResult.Conflict<>(true), identities.check(ONE, B, 0));
        identities.removePending(ONE, "m");
        identities.addCompleted(ONE, A, 1, "delivered", 0);
        assertEquals(new DuplicateCheckResult.Conflict<>(false), identities.check(ONE, B, 9));
        assertEquals(new DuplicateCheckResult.NewMessage<>(), identities.check(ONE, B, 10));
    }

    /** Mails have no fingerprint, nor have results remembered in the first journal format. */
    @Test
    void whatIsNotComparedNeverClashes() {
        identities.addCompleted("<1@x> a@b", null, 1, "delivered", 0);
        assertEquals(new DuplicateCheckResult.CompletedDuplicate<>("delivered"), identities.check("<1@x> a@b", null, 49));
        assertEquals(new DuplicateCheckResult.CompletedDuplicate<>("delivered"), identities.check("<1@x> a@b", A, 49));
        assertEquals(new DuplicateCheckResult.NewMessage<>(), identities.check("<1@x> a@b", null, 50));
    }

    /** When the capacity is reached, the result that expires first is removed. */
    @Test
    void roomIsMadeByForgettingTheSoonest() {
        identities.addCompleted("a", null, 0, "1", 0);
        identities.addCompleted(ONE, A, 0, "2", 0);
        identities.addCompleted(TWO, A, 1, "3", 0);
        identities.addCompleted("b", null, 0, "4", 0);
        assertEquals(3, memory.size());
        assertEquals(1, identities.forgottenEarly());
        assertFalse(memory.all.containsKey(TWO)); // the window of its class is the shortest
        identities.addCompleted("b", null, 0, "5", 1);
        assertEquals(1, identities.forgottenEarly()); // replacing a result needs no further capacity
    }

    @Test
    void identitiesAreBoundedWords() {
        assertEquals(new Identity("a", "b/c"), Identity.parse(new Identity("a", "b/c").text()));
        assertTrue(Identity.isShared(ONE));
        assertFalse(Identity.isShared("<1@x> a@b"));
        assertFalse(Identity.isShared(null));
        for (String bad : List.of("", "a b", "a\r", "a/b", "x".repeat(65))) {
            assertThrows(IllegalArgumentException.class, () -> new Identity(bad, "k"));
        }
        assertThrows(IllegalArgumentException.class, () -> new Identity("a", "x".repeat(257)));
        assertThrows(IllegalArgumentException.class, () -> Identity.parse("id/nothing"));
    }

    /** One step on one of a few identities. {@code what}: 0 submits, 1 completes, 2 removes the message. */
    record Step(int what, int identity, boolean other, int messageClass, int time) {}

    @Provide
    Arbitrary<List<Step>> steps() {
        Arbitrary<Integer> few = Arbitraries.integers().between(0, 4);
        return Combinators.combine(
                        Arbitraries.integers().between(0, 2),
                        few,
                        Arbitraries.of(true, false),
                        Arbitraries.integers().between(0, 1),
                        Arbitraries.integers().between(0, 30))
                .as(Step::new)
                .list()
                .ofMaxSize(80);
    }

    /** Guards against duplicate delivery, a result returned for the wrong message, and an exceeded capacity. */
    @Property(tries = 500, seed = "-1")
    void itSaysWhatAPlainModelSays(@ForAll("steps") List<Step> steps) {
        Plain kept = new Plain();
        DuplicateDetector<String, String> tested = new DuplicateDetector<>(new IdempotencyWindows(List.of(100L, 10L), 50, 3), kept);
        Map<String, Fingerprint> held = new HashMap<>();
        long now = 0;
        for (Step s : steps) {
            now += s.time();
            String id = new Identity("p", "k" + s.identity()).text().intern(); // also stands for the message
            Fingerprint content = s.other() ? B : A;
            CompletedMessage<String> past = kept.all.get(id);
            boolean known = past != null && past.untilWallMicros() > now;
            switch (s.what()) {
                case 0 -> {
                    DuplicateCheckResult<String, String> is = tested.check(id, content, now);
                    DuplicateCheckResult<String, String> should = held.containsKey(id)
                            ? held.get(id).equals(content)
                                    ? new DuplicateCheckResult.PendingDuplicate<>(id)
                                    : new DuplicateCheckResult.Conflict<>(true)
                            : !known
                                    ? new DuplicateCheckResult.NewMessage<>()
                                    : past.fingerprint().equals(content)
                                            ? new DuplicateCheckResult.CompletedDuplicate<>(past.result())
                                            : new DuplicateCheckResult.Conflict<>(false);
                    assertEquals(should, is);
                    if (is instanceof DuplicateCheckResult.NewMessage<String, String>) {
                        tested.addPending(id, content, id);
                        held.put(id, content);
                    }
                }
                case 1 -> {
                    tested.removePending(id, id);
                    if (held.containsKey(id)) {
                        tested.addCompleted(id, held.remove(id), s.messageClass(), "end at " + now, now);
                        assertEquals(
                                now + (s.messageClass() == 0 ? 100 : 10),
                                kept.all.get(id).untilWallMicros());
                    }
                }
                default -> {
                    tested.removePending(id, id);
                    held.remove(id);
                }
            }
            assertEquals(held.size(), tested.pendingCount());
            assertTrue(kept.size() <= 3);
        }
    }
}
