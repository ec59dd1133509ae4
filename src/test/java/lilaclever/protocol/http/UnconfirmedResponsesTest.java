package lilaclever.protocol.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import lilaclever.routing.Refutation;
import org.junit.jupiter.api.Test;

/** Responses that wait for silence, and the history that they are compared with. */
class UnconfirmedResponsesTest {
    private static final byte[] BODY = {1}, OTHER_BODY = {2};
    private static final long SECOND_MICROS = 1_000_000;

    private final List<String> heard = new ArrayList<>();
    private final UnconfirmedResponses responses = new UnconfirmedResponses();

    private void add(String name, long byMicros, long nowMicros) {
        responses.add(
                new UnconfirmedResponses.Listener() {
                    @Override
                    public void onConfirmed() {
                        heard.add(name + " confirmed");
                    }

                    @Override
                    public void onRefuted(Refutation refutation) {
                        heard.add(name + " refuted");
                    }
                },
                byMicros,
                nowMicros);
    }

    @Test
    void eachResponseIsConfirmedOrRefutedOnce() {
        add("a", Long.MAX_VALUE, 0);
        add("b", Long.MAX_VALUE, 1);
        responses.confirmAll();
        add("c", Long.MAX_VALUE, 2);
        responses.refuteAll(Refutation.BY_CLOSE);
        responses.confirmAll();
        assertEquals(List.of("a confirmed", "b confirmed", "c refuted"), heard);
        assertTrue(responses.isEmpty());
    }

    @Test
    void aConnectionIsLeftSilentOnceItsOldestResponseHasWaitedForLong() {
        add("a", Long.MAX_VALUE, 0);
        add("b", Long.MAX_VALUE, SECOND_MICROS);
        assertFalse(responses.needSilence(3 * SECOND_MICROS / 2 - 1));
        assertTrue(responses.needSilence(3 * SECOND_MICROS / 2));
        responses.confirmAll();
        assertFalse(responses.needSilence(9 * SECOND_MICROS));
        add("c", Long.MAX_VALUE, 9 * SECOND_MICROS);
        assertFalse(responses.needSilence(10 * SECOND_MICROS));
    }

    @Test
    void aConnectionIsLeftSilentInTimeForTheFirstThatIsDue() {
        add("a", Long.MAX_VALUE, 0);
        add("b", SECOND_MICROS, 1);
        assertFalse(responses.needSilence(SECOND_MICROS - UnconfirmedResponses.SILENCE_MICROS - 1));
        assertTrue(responses.needSilence(SECOND_MICROS - UnconfirmedResponses.SILENCE_MICROS));
        responses.confirmAll();
        add("c", Long.MAX_VALUE, 2);
        assertFalse(responses.needSilence(SECOND_MICROS));
    }

    @Test
    void aResponseMayRepeatAnEarlierOneOfTheSameStatusForTwoSeconds() {
        ResponseHistory history = new ResponseHistory();
        history.add(200, BODY, 0);
        assertTrue(history.mayRepeat(200, 2 * SECOND_MICROS));
        assertFalse(history.mayRepeat(503, 2 * SECOND_MICROS));
        assertTrue(history.hasEqual(200, BODY, 2 * SECOND_MICROS));
        assertFalse(history.hasEqual(200, OTHER_BODY, 2 * SECOND_MICROS));
        assertFalse(history.mayRepeat(200, 2 * SECOND_MICROS + 1));
    }
}
