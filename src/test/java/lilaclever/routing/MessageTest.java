package lilaclever.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import lilaclever.DecisionModule.MessageClass;
import org.junit.jupiter.api.Test;

/** What a message's duplicates are compared by. */
class MessageTest {
    private static Message message(ClassVersion version) {
        return new Message(
                new Submission("m", "id/north/k", version, 7, "k", new byte[3], false, false, 5_000_000), null, 0);
    }

    /** Guards against a repeat that is refused as other content because numbers of classes have changed. */
    @Test
    void fingerprintDependsOnTheNameOfTheClassAlone() throws Exception {
        MessageClass definition = TestCore.settings().classes().get(0);
        MessageClass other = TestCore.settings().classes().get(1);
        Message first = message(new ClassVersion(0, "order", definition));
        assertEquals(
                first.fingerprint(),
                message(new ClassVersion(3, "order", other)).fingerprint());
        assertNotEquals(
                first.fingerprint(),
                message(new ClassVersion(0, "refund", definition)).fingerprint());
    }

    /** Guards against a repeat that is refused because the class of an earlier format's message was a guess. */
    @Test
    void messageOfANamelessClassIsNotComparedByContent() throws Exception {
        MessageClass definition = TestCore.settings().classes().get(1);
        assertNull(message(new ClassVersion(0, "", definition)).fingerprint());
    }
}
