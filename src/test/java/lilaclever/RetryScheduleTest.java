package lilaclever;

import static lilaclever.Rig.KEYED;
import static lilaclever.Rig.MS;
import static lilaclever.Rig.S;
import static lilaclever.Rig.SAFE;
import static lilaclever.Rig.UNSAFE;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import lilaclever.PolicyState.Message;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The rig allows six attempts in 20 s, a window of 5 s, and 1 s for a connection; a round is 5 ms. */
class RetryScheduleTest {
    private final PolicyFixture fixture = new PolicyFixture();
    private final RetrySchedule retries = new RetrySchedule(fixture.state);

    private Message mayHaveRun(int messageClass) {
        Message message = fixture.message(messageClass);
        message.attempts = 1;
        message.mayHaveRun = true;
        message.uncertainSentAtMicros = fixture.state.nowMicros;
        return message;
    }

    @ParameterizedTest
    @CsvSource({"0, 200", "1, 200", "2, 600", "3, 2400", "4, 6000", "5, 6000", "60, 6000"})
    void pausesGrowByTheDesignsStepsAndAreSpread(int attempts, long stepMillis) {
        Message message = fixture.message(SAFE);
        message.attempts = attempts;
        long least = Long.MAX_VALUE;
        long most = 0;
        for (int i = 0; i < 200; i++) {
            retries.scheduleRetry(message);
            long pause = message.notBeforeMicros - fixture.state.nowMicros;
            least = Math.min(least, pause);
            most = Math.max(most, pause);
        }
        assertEquals(stepMillis * 0.5, least / (double) MS, 0.05 * stepMillis);
        assertEquals(stepMillis * 1.5, most / (double) MS, 0.05 * stepMillis);
    }

    @Test
    void theLimitOfAttemptsEndsIt() {
        Message message = fixture.message(SAFE);
        message.attempts = 5;
        assertTrue(retries.canRetry(message));
        message.attempts = 6;
        assertFalse(retries.canRetry(message));
    }

    @Test
    void theDeadlineEndsItWhileAShortestCallWouldNotFit() {
        Message message = fixture.message(SAFE);
        message.notBeforeMicros = message.deadlineAtMicros - CallTimeouts.MIN_TIMEOUT_MICROS;
        assertTrue(retries.canRetry(message));
        message.notBeforeMicros++;
        assertFalse(retries.canRetry(message));
    }

    @Test
    void anUnsafeMessageThatMayHaveRunIsNotRepeated() {
        assertTrue(retries.isExhausted(mayHaveRun(UNSAFE)));
        assertFalse(retries.isExhausted(mayHaveRun(SAFE)));
        Message never = fixture.message(UNSAFE);
        never.attempts = 1;
        assertTrue(retries.canRetry(never));
    }

    @Test
    void onlyAKeyedMessageThatMayHaveRunHasAWindow() {
        assertEquals(Long.MAX_VALUE, retries.repeatWindowEndMicros(fixture.message(KEYED)));
        assertEquals(Long.MAX_VALUE, retries.repeatWindowEndMicros(mayHaveRun(SAFE)));
        assertEquals(fixture.state.nowMicros + 5 * S - 5 * MS, retries.repeatWindowEndMicros(mayHaveRun(KEYED)));
    }

    @Test
    void aPauseEndsWhileAConnectionMayStillComeUpInTheWindow() {
        Message message = mayHaveRun(KEYED);
        message.attempts = 5;
        fixture.later(3 * S);
        retries.scheduleRetry(message);
        assertEquals(message.uncertainSentAtMicros + 4 * S - 5 * MS, message.notBeforeMicros);
        assertTrue(retries.canRetry(message));
        fixture.later(S);
        retries.scheduleRetry(message);
        assertFalse(retries.canRetry(message), "the step is longer than what is left of the window");
    }
}
