package lilaclever.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import lilaclever.DecisionModule.KeyScope;
import lilaclever.DecisionModule.MessageClass;
import lilaclever.DecisionModule.RepeatSafety;
import lilaclever.routing.MessageClasses.TooManyVersionsException;
import org.junit.jupiter.api.Test;

/** Numbers of class versions within one process. */
class MessageClassesTest {
    private static MessageClass definition(double worth, RepeatSafety repeat) {
        return new MessageClass(1, 20, worth, repeat, KeyScope.ALL, 5, false);
    }

    private static final MessageClass STATUS = definition(1, RepeatSafety.SAFE),
            PAYMENT = definition(3, RepeatSafety.UNSAFE);

    private final MessageClasses classes = new MessageClasses(List.of("status", "payment"), List.of(STATUS, PAYMENT));

    private void reload(List<String> names, List<MessageClass> definitions) throws TooManyVersionsException {
        classes.apply(classes.prepare(names, definitions));
    }

    /** Guards against a number that changes its meaning by a reload. */
    @Test
    void versionsKeepTheirNumbers() throws Exception {
        reload(List.of("payment", "status"), List.of(STATUS, STATUS));
        assertEquals(new ClassVersion(2, "payment", STATUS), classes.current("payment"));
        assertEquals(new ClassVersion(0, "status", STATUS), classes.current("status"));
        reload(List.of("payment"), List.of(PAYMENT));
        assertEquals(new ClassVersion(1, "payment", PAYMENT), classes.current("payment"));
        assertNull(classes.current("status"));
        assertEquals(List.of(STATUS, PAYMENT, STATUS), classes.definitions());
    }

    /** Guards against a number with two meanings where a second reload comes before the first has taken effect. */
    @Test
    void overlappingReloadsShareNoNumber() throws Exception {
        MessageClass gentler = definition(2, RepeatSafety.SAFE);
        MessageClass refund = definition(9, RepeatSafety.UNSAFE);
        MessageClasses.Update first = classes.prepare(List.of("refund"), List.of(refund));
        MessageClasses.Update second = classes.prepare(List.of("refund"), List.of(gentler));
        classes.apply(first);
        ClassVersion unsafe = classes.current("refund");
        classes.apply(second);
        assertEquals(new ClassVersion(2, "refund", refund), unsafe);
        assertEquals(new ClassVersion(3, "refund", gentler), classes.current("refund"));
        assertEquals(refund, second.definitions().get(unsafe.number()));
    }

    /** Guards against a held message's class that clients could submit again although the configuration dropped it. */
    @Test
    void restoredVersionIsNotCurrent() {
        assertEquals(classes.current("payment"), classes.restore("payment", PAYMENT));
        assertEquals(2, classes.restore("recall", STATUS).number());
        assertEquals(3, classes.restore("payment", STATUS).number());
        assertNull(classes.current("recall"));
        assertEquals(PAYMENT, classes.current("payment").definition());
    }

    /** Guards against a message of unknown class that gets a repeatable one after a reload. */
    @Test
    void unknownClassIsNeverRepeatable() throws Exception {
        assertEquals(PAYMENT, classes.currentOrUnsafe("other").definition());
        reload(List.of("payment", "refund"), List.of(STATUS, definition(9, RepeatSafety.UNSAFE)));
        assertEquals("refund", classes.currentOrUnsafe("other").name());
        reload(List.of("payment"), List.of(STATUS));
        assertEquals("refund", classes.currentOrUnsafe("other").name());
        assertEquals(STATUS, classes.currentOrUnsafe("payment").definition());
    }

    /** Guards against a table that grows without end, and against a start that fails because of it. */
    @Test
    void onlyReloadsAreRefusedAtTheLimit() throws Exception {
        for (int i = 0; i < MessageClasses.MAX_VERSIONS + 10; i++) {
            classes.restore("held", definition(i, RepeatSafety.SAFE));
        }
        reload(List.of("payment"), List.of(PAYMENT)); // needs no further number
        assertThrows(
                TooManyVersionsException.class,
                () -> reload(List.of("new"), List.of(definition(0.5, RepeatSafety.SAFE))));
        assertEquals(PAYMENT, classes.current("payment").definition());
        assertNull(classes.current("new"));
    }
}
