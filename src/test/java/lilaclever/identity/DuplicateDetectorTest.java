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
class DuplicateDetectorTest {
    private static final Fingerprint A = Fingerprint.of("order", 7, new byte[] {1}),
            B = Fingerprint.of("order", 7, new byte[] {2});
    private static final String ONE = new Identity("north", "k1").text(), TWO = new Identity("south", "k1").text();

    private static final class MapStore implements CompletedMessageStore<String> {
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
        public void put(String identity, CompletedMessage<String> completed) {
            all.put(identity, completed);
        }

        @Override
        public void removeSoonestExpiring() {
            all.remove(all.entrySet().stream()
                    .min(Comparator.comparingLong(e -> e.getValue().untilWallMicros()))
                    .orElseThrow()
                    .getKey());
        }
    }

    private static final IdempotencyWindows WINDOWS =
            new IdempotencyWindows(Map.of("class0", 100L, "class1", 10L), 50, 3);

    private final MapStore store = new MapStore();
    private final DuplicateDetector<String, String> detector = new DuplicateDetector<>(WINDOWS, store);

    /** Completes a message; the windows are 100 for class 0 and 10 for class 1. */
    private static void complete(
            DuplicateDetector<String, String> detector,
            String identity,
            Fingerprint fingerprint,
            int messageClass,
            String result,
            long nowMicros) {
        long windowMicros = WINDOWS.windowMicros(identity, "class" + messageClass, false);
        detector.addCompleted(identity, fingerprint, windowMicros, result, nowMicros);
    }

    /** Guards against payments being forgotten after an hour because their class came with a reload. */
    @Test
    void classWithoutAWindowHasTheDefaultOfItsKind() {
        assertEquals(24 * 3_600_000_000L, WINDOWS.windowMicros(ONE, "payment", true));
        assertEquals(3_600_000_000L, WINDOWS.windowMicros(ONE, "status", false));
        assertEquals(50, WINDOWS.windowMicros("<1@x> a@b", "payment", true));
    }

    @Test
    void messageIsNewThenPendingThenCompleted() {
        assertEquals(new DuplicateCheckResult.NewMessage<>(), detector.check(ONE, A, 0));
        detector.addPending(ONE, A, "m");
        assertEquals(new DuplicateCheckResult.PendingDuplicate<>("m"), detector.check(ONE, A, 0));
        detector.removePending(ONE, "m");
        assertEquals(new DuplicateCheckResult.NewMessage<>(), detector.check(ONE, A, 0)); // as after a refusal
        complete(detector, ONE, A, 0, "delivered", 5);
        assertEquals(new DuplicateCheckResult.CompletedDuplicate<>("delivered"), detector.check(ONE, A, 104));
        assertEquals(new DuplicateCheckResult.NewMessage<>(), detector.check(ONE, A, 105));
    }

    /** Guards against treating messages of two practices that use the same keys as duplicates. */
    @Test
    void equalKeysOfTwoPracticesAreDistinct() {
        detector.addPending(ONE, A, "m");
        assertEquals(new DuplicateCheckResult.NewMessage<>(), detector.check(TWO, A, 0));
    }

    /** Guards against answering a different message with the result of the first, without delivering it. */
    @Test
    void otherContentConflictsWhileTheFirstIsKnown() {
        detector.addPending(ONE, A, "m");
        assertEquals(new DuplicateCheckResult.Conflict<>(true), detector.check(ONE, B, 0));
        detector.removePending(ONE, "m");
        complete(detector, ONE, A, 1, "delivered", 0);
        assertEquals(new DuplicateCheckResult.Conflict<>(false), detector.check(ONE, B, 9));
        assertEquals(new DuplicateCheckResult.NewMessage<>(), detector.check(ONE, B, 10));
    }

    /** Mails have no fingerprint, nor have results remembered in the first journal format. */
    @Test
    void messageWithoutFingerprintNeverConflicts() {
        complete(detector, "<1@x> a@b", null, 1, "delivered", 0);
        assertEquals(new DuplicateCheckResult.CompletedDuplicate<>("delivered"), detector.check("<1@x> a@b", null, 49));
        assertEquals(new DuplicateCheckResult.CompletedDuplicate<>("delivered"), detector.check("<1@x> a@b", A, 49));
        assertEquals(new DuplicateCheckResult.NewMessage<>(), detector.check("<1@x> a@b", null, 50));
    }

    /** When the capacity is reached, the result that expires first is removed. */
    @Test
    void soonestExpiringIsEvictedWhenFull() {
        complete(detector, "a", null, 0, "1", 0);
        complete(detector, ONE, A, 0, "2", 0);
        complete(detector, TWO, A, 1, "3", 0);
        complete(detector, "b", null, 0, "4", 0);
        assertEquals(3, store.size());
        assertEquals(1, detector.removedEarly());
        assertFalse(store.all.containsKey(TWO)); // the window of its class is the shortest
        complete(detector, "b", null, 0, "5", 1);
        assertEquals(1, detector.removedEarly()); // replacing a result needs no further capacity
    }

    @Test
    void identityPartsAreBoundedAndHaveNoWhiteSpace() {
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

    /** One step on one of a few identities. {@code action}: 0 submits, 1 completes, 2 removes the message. */
    record Step(int action, int identity, boolean otherContent, int messageClass, int elapsedMicros) {}

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
    void agreesWithASimpleModel(@ForAll("steps") List<Step> steps) {
        MapStore store = new MapStore();
        DuplicateDetector<String, String> detector = new DuplicateDetector<>(WINDOWS, store);
        Map<String, Fingerprint> pending = new HashMap<>();
        long nowMicros = 0;
        for (Step step : steps) {
            nowMicros += step.elapsedMicros();
            String id = new Identity("p", "k" + step.identity()).text().intern(); // also stands for the message
            Fingerprint content = step.otherContent() ? B : A;
            CompletedMessage<String> completed = store.all.get(id);
            boolean known = completed != null && completed.untilWallMicros() > nowMicros;
            switch (step.action()) {
                case 0 -> {
                    DuplicateCheckResult<String, String> actual = detector.check(id, content, nowMicros);
                    DuplicateCheckResult<String, String> expected = pending.containsKey(id)
                            ? pending.get(id).equals(content)
                                    ? new DuplicateCheckResult.PendingDuplicate<>(id)
                                    : new DuplicateCheckResult.Conflict<>(true)
                            : !known
                                    ? new DuplicateCheckResult.NewMessage<>()
                                    : completed.fingerprint().equals(content)
                                            ? new DuplicateCheckResult.CompletedDuplicate<>(completed.finalStatus())
                                            : new DuplicateCheckResult.Conflict<>(false);
                    assertEquals(expected, actual);
                    if (actual instanceof DuplicateCheckResult.NewMessage<String, String>) {
                        detector.addPending(id, content, id);
                        pending.put(id, content);
                    }
                }
                case 1 -> {
                    detector.removePending(id, id);
                    if (pending.containsKey(id)) {
                        complete(
                                detector,
                                id,
                                pending.remove(id),
                                step.messageClass(),
                                "end at " + nowMicros,
                                nowMicros);
                        assertEquals(
                                nowMicros + (step.messageClass() == 0 ? 100 : 10),
                                store.all.get(id).untilWallMicros());
                    }
                }
                default -> {
                    detector.removePending(id, id);
                    pending.remove(id);
                }
            }
            assertEquals(pending.size(), detector.pendingCount());
            assertTrue(store.size() <= 3);
        }
    }
}
