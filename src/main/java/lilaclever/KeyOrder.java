package lilaclever;

import java.util.Map;
import lilaclever.PolicyState.Message;
import lilaclever.PolicyState.OrderedKey;

/**
 * Order of messages with the same key, in ordered classes: only the first one of a key may be sent, and after an
 * attempt was given up no other one for some time, as that attempt may still be running.
 */
final class KeyOrder {
    private final PolicyState state;
    private final Map<String, OrderedKey> keys;

    /** {@code keys} holds the keys that have open messages or are paused; it is updated here. */
    KeyOrder(PolicyState state, Map<String, OrderedKey> keys) {
        this.state = state;
        this.keys = keys;
    }

    /** Adds a message behind all others of its key. */
    void add(Message message, String key) {
        message.orderedKey = keys.computeIfAbsent(key, k -> new OrderedKey());
        message.orderedKey.messages.add(message);
        message.key = key;
    }

    /** Whether the order allows the message to be sent now. */
    boolean permits(Message message) {
        OrderedKey key = message.orderedKey;
        if (key == null) {
            return true;
        }
        boolean isPaused = key.pauseExempt != message && state.nowMicros < key.pausedUntilMicros;
        return key.messages.peek() == message && !isPaused;
    }

    /** Pauses the key of a message whose attempt was given up, for all others of the key. */
    void pause(Message message) {
        message.orderedKey.pausedUntilMicros =
                state.nowMicros + state.settings.rules().orderPauseMicros();
        message.orderedKey.pauseExempt = message;
    }

    /** Removes a finished message from its key, if it has one. */
    void remove(Message message) {
        if (message.orderedKey != null) {
            message.orderedKey.messages.remove(message);
        }
        removeIfUnused(message);
    }

    /** Removes the message's key if it has no messages left and its pause is over. */
    void removeIfUnused(Message message) {
        OrderedKey key = message.orderedKey;
        if (key != null && key.messages.isEmpty() && key.pausedUntilMicros <= state.nowMicros) {
            keys.remove(message.key, key);
        }
    }
}
