package lilaclever;

import static lilaclever.DecisionModuleHarness.MILLISECOND_MICROS;
import static lilaclever.DecisionModuleHarness.UNSAFE;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import lilaclever.PolicyState.Message;
import lilaclever.PolicyState.OrderedKey;
import org.junit.jupiter.api.Test;

/** The rules delay a key for 100 ms after an abandoned attempt. */
class KeyOrderTest {
    private final PolicyFixture fixture = new PolicyFixture();
    private final Map<String, OrderedKey> keys = new HashMap<>();
    private final KeyOrder order = new KeyOrder(fixture.state, keys);

    private Message addMessage(String key) {
        Message message = fixture.addMessage(UNSAFE);
        order.add(message, key);
        return message;
    }

    @Test
    void onlyTheFirstMessageOfAKeyMayBeSent() {
        Message first = addMessage("a");
        Message second = addMessage("a");
        assertTrue(order.permits(first));
        assertFalse(order.permits(second));
        assertTrue(order.permits(addMessage("b")));
        assertTrue(order.permits(fixture.addMessage(UNSAFE)), "a message without a key");
        order.remove(first);
        assertTrue(order.permits(second));
    }

    @Test
    void anAbandonedAttemptDelaysOtherMessagesOfItsKey() {
        Message first = addMessage("a");
        Message second = addMessage("a");
        order.pause(first);
        assertTrue(order.permits(first));
        order.remove(first);
        fixture.advanceClock(100 * MILLISECOND_MICROS - 1);
        assertFalse(order.permits(second));
        fixture.advanceClock(1);
        assertTrue(order.permits(second));
    }

    @Test
    void aKeyIsRemovedWhenItHasNoMessagesAndItsDelayIsOver() {
        Message message = addMessage("a");
        order.pause(message);
        order.remove(message);
        assertEquals(Set.of("a"), keys.keySet());
        fixture.advanceClock(100 * MILLISECOND_MICROS);
        order.removeIfUnused(message);
        assertEquals(Set.of(), keys.keySet());
    }

    @Test
    void removingAnOldKeyLeavesANewerOneOfTheSameName() {
        Message earlier = addMessage("a");
        order.remove(earlier);
        Message later = addMessage("a");
        order.removeIfUnused(earlier);
        assertEquals(later.orderedKey, keys.get("a"));
    }
}
