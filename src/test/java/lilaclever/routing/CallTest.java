package lilaclever.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class CallTest {
    private static Message message(String id) {
        return new Message(new Submission(id, null, 0, 7, null, new byte[0], false, false, 5_000_000), null, 0);
    }

    /**
     * Guards windows where several share a call: a restart's first turn was long, the connection came up after the
     * window of two of three messages, and all three were written, as the call itself may wait for the last of them.
     */
    @Test
    void callIsWrittenOnlyWhileAllItsMessagesMayBeSent() {
        Call call = new Call(new Call.Endpoint("e", "127.0.0.1:9", 7, 0, 20, false, null), 1_000_000);
        Message first = message("first");
        Message last = message("last");
        call.addMessage(last, 9_000_000, 20_000_000);
        call.addMessage(first, 3_000_000, 7_000_000);
        assertEquals(3_000_000, call.writeByMicros());
        assertEquals(7_000_000, call.expiresAtMicros(), "the first message's time");
        call.removeMessage(first);
        assertEquals(9_000_000, call.expiresAtMicros(), "as long as the other may wait");
        assertEquals(9_000_000, call.writeByMicros());
    }
}
