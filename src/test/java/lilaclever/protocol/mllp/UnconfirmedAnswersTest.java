package lilaclever.protocol.mllp;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Answers that are written and not confirmed: each is returned once, and the limit holds. */
class UnconfirmedAnswersTest {
    private final UnconfirmedAnswers<String, String> answers = new UnconfirmedAnswers<>(3, 100);

    /** Guards against an answer that counts as read since a message came that was sent before it. */
    @Test
    void messageConfirmsOnlyWhatWasWrittenWellBeforeOnItsSession() {
        answers.add("s", "1", "a", 0);
        answers.add("s", "2", "b", 50);
        answers.add("other", "3", "c", 0);
        assertEquals(List.of(), answers.confirmedBy("s", 99));
        assertEquals(List.of("a"), answers.confirmedBy("s", 100));
        assertEquals(List.of("b"), answers.removeAll("s"));
        assertFalse(answers.has("s"));
        assertTrue(answers.has("other"));
    }

    /** Guards against a debt that is settled twice, or never, when its answer is replaced or withdrawn. */
    @Test
    void answerIsReturnedOnce() {
        answers.add("s", "1", "a", 0);
        assertEquals(List.of("a"), answers.add("t", "1", "again", 0));
        assertEquals("again", answers.withdraw("1"));
        assertNull(answers.withdraw("1"));
        assertEquals(List.of(), answers.removeAll("s"));
        assertEquals(List.of(), answers.removeAll("t"));
        assertEquals(0, answers.size());
    }

    /** Guards against a silent client whose unread answers push out the only one of another client. */
    @Test
    void oldestOfTheSessionWithTheMostGoesAtTheLimit() {
        answers.add("honest", "1", "a", 0);
        answers.add("silent", "2", "b", 0);
        answers.add("silent", "3", "c", 0);
        assertEquals(List.of("b"), answers.add("silent", "4", "d", 0));
        assertEquals(3, answers.size());
        assertEquals(List.of("a"), answers.removeAll("honest"));
    }
}
