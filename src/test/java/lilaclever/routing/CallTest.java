package lilaclever.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class CallTest {
    private static Message message(String id) {
        return new Message(new Submission(id, null, 0, 7, null, new byte[0], false, false, 5_000_000), null, 0);
    }

    /**
     * Guards against sending a message of a shared call after its attempt has expired: the first turn after a restart
     * was long, the connection was established after two of three messages had expired, and all three were written,
     * as the call itself waits for the last of them.
     */
    @Test
    void callIsWrittenOnlyWhileAllItsMessagesMayBeSent() {
        Call call = new Call(new Call.Endpoint("e", "127.0.0.1:9", 7, 0, 20, false, null), 1_000_000);
        Message first = message("first");
        Message last = message("last");
        call.addMessage(last, 9_000_000, 20_000_000);
        call.addMessage(first, 3_000_000, 7_000_000);
        assertEquals(3_000_000, call.writeByMicros());
        assertEquals(7_000_000, call.expiresAtMicros(), "the first message's deadline");
        call.removeMessage(first);
        assertEquals(9_000_000, call.expiresAtMicros(), "the attempt of the other message");
        assertEquals(9_000_000, call.writeByMicros());
    }
}
