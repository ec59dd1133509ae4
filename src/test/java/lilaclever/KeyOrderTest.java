package lilaclever;

import static lilaclever.Rig.MS;
import static lilaclever.Rig.UNSAFE;
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

    private Message message(String key) {
        Message message = fixture.message(UNSAFE);
        order.add(message, key);
        return message;
    }

    @Test
    void onlyTheFirstOfAKeyMayGo() {
        Message first = message("a");
        Message second = message("a");
        assertTrue(order.permits(first));
        assertFalse(order.permits(second));
        assertTrue(order.permits(message("b")));
        assertTrue(order.permits(fixture.message(UNSAFE)), "a message without a key");
        order.remove(first);
        assertTrue(order.permits(second));
    }

    @Test
    void afterAnAttemptThatWasGivenUpTheOthersPause() {
        Message first = message("a");
        Message second = message("a");
        order.pause(first);
        assertTrue(order.permits(first));
        order.remove(first);
        fixture.later(100 * MS - 1);
        assertFalse(order.permits(second));
        fixture.later(1);
        assertTrue(order.permits(second));
    }

    @Test
    void aKeyIsForgottenWhenNothingIsLeftAndItsPauseIsOver() {
        Message message = message("a");
        order.pause(message);
        order.remove(message);
        assertEquals(Set.of("a"), keys.keySet());
        fixture.later(100 * MS);
        order.forget(message);
        assertEquals(Set.of(), keys.keySet());
    }

    @Test
    void anOlderKeyOfTheSameNameIsNotForgottenForANewerOne() {
        Message old = message("a");
        order.remove(old);
        Message fresh = message("a");
        order.forget(old);
        assertEquals(fresh.orderedKey, keys.get("a"));
    }
}
