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

/** The settings allow six attempts in 20 s, a repeat window of 5 s and 1 s for a connect; a round is 5 ms. */
class RetryScheduleTest {
    private final PolicyFixture fixture = new PolicyFixture();
    private final RetrySchedule retries = new RetrySchedule(fixture.state);

    private Message mayHaveRun(int messageClass) {
        Message message = fixture.message(messageClass);
        message.attempts = 1;
        message.mayHaveRun = true;
        message.mayHaveRunSince = fixture.state.now;
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
            retries.pause(message);
            long pause = message.notBefore - fixture.state.now;
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
        assertTrue(retries.canTryAgain(message));
        message.attempts = 6;
        assertFalse(retries.canTryAgain(message));
    }

    @Test
    void theDeadlineEndsItWhileAShortestCallWouldNotFit() {
        Message message = fixture.message(SAFE);
        message.notBefore = message.deadline - CallTimeouts.SHORTEST;
        assertTrue(retries.canTryAgain(message));
        message.notBefore++;
        assertFalse(retries.canTryAgain(message));
    }

    @Test
    void anUnsafeMessageThatMayHaveRunIsNotRepeated() {
        assertTrue(retries.isExhausted(mayHaveRun(UNSAFE)));
        assertFalse(retries.isExhausted(mayHaveRun(SAFE)));
        Message never = fixture.message(UNSAFE);
        never.attempts = 1;
        assertTrue(retries.canTryAgain(never));
    }

    @Test
    void onlyAKeyedMessageThatMayHaveRunHasAWindow() {
        assertEquals(Long.MAX_VALUE, retries.windowEnd(fixture.message(KEYED)));
        assertEquals(Long.MAX_VALUE, retries.windowEnd(mayHaveRun(SAFE)));
        assertEquals(fixture.state.now + 5 * S - 5 * MS, retries.windowEnd(mayHaveRun(KEYED)));
    }

    @Test
    void aPauseEndsWhileAConnectionMayStillComeUpInTheWindow() {
        Message message = mayHaveRun(KEYED);
        message.attempts = 5;
        fixture.later(3 * S);
        retries.pause(message);
        assertEquals(message.mayHaveRunSince + 4 * S - 5 * MS, message.notBefore);
        assertTrue(retries.canTryAgain(message));
        fixture.later(S);
        retries.pause(message);
        assertFalse(retries.canTryAgain(message), "the step is longer than the rest of the repeat window");
    }
}
