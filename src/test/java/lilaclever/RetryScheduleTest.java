package lilaclever;

import static lilaclever.DecisionModuleHarness.KEYED;
import static lilaclever.DecisionModuleHarness.MILLISECOND;
import static lilaclever.DecisionModuleHarness.SAFE;
import static lilaclever.DecisionModuleHarness.SECOND;
import static lilaclever.DecisionModuleHarness.UNSAFE;
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

    private Message messageThatMayHaveRun(int messageClass) {
        Message message = fixture.addMessage(messageClass);
        message.attempts = 1;
        message.mayHaveRun = true;
        message.mayHaveRunSince = fixture.state.now;
        return message;
    }

    @ParameterizedTest
    @CsvSource({"0, 200", "1, 200", "2, 600", "3, 2400", "4, 6000", "5, 6000", "60, 6000"})
    void delaysGrowInStepsAndAreSpreadByChance(int attempts, long stepMillis) {
        Message message = fixture.addMessage(SAFE);
        message.attempts = attempts;
        long shortestMicros = Long.MAX_VALUE;
        long longestMicros = 0;
        for (int i = 0; i < 200; i++) {
            retries.pause(message);
            long delayMicros = message.notBefore - fixture.state.now;
            shortestMicros = Math.min(shortestMicros, delayMicros);
            longestMicros = Math.max(longestMicros, delayMicros);
        }
        assertEquals(stepMillis * 0.5, shortestMicros / (double) MILLISECOND, 0.05 * stepMillis);
        assertEquals(stepMillis * 1.5, longestMicros / (double) MILLISECOND, 0.05 * stepMillis);
    }

    @Test
    void noRetryIsAllowedAfterTheLastAttempt() {
        Message message = fixture.addMessage(SAFE);
        message.attempts = 5;
        assertTrue(retries.canTryAgain(message));
        message.attempts = 6;
        assertFalse(retries.canTryAgain(message));
    }

    @Test
    void noRetryIsAllowedWhereTheShortestCallWouldPassTheDeadline() {
        Message message = fixture.addMessage(SAFE);
        message.notBefore = message.deadline - CallTimeouts.SHORTEST;
        assertTrue(retries.canTryAgain(message));
        message.notBefore++;
        assertFalse(retries.canTryAgain(message));
    }

    @Test
    void anUnsafeMessageThatMayHaveRunIsNotRepeated() {
        assertTrue(retries.isExhausted(messageThatMayHaveRun(UNSAFE)));
        assertFalse(retries.isExhausted(messageThatMayHaveRun(SAFE)));
        Message messageThatNeverRan = fixture.addMessage(UNSAFE);
        messageThatNeverRan.attempts = 1;
        assertTrue(retries.canTryAgain(messageThatNeverRan));
    }

    @Test
    void onlyAKeyedMessageThatMayHaveRunHasARepeatWindow() {
        assertEquals(Long.MAX_VALUE, retries.windowEnd(fixture.addMessage(KEYED)));
        assertEquals(Long.MAX_VALUE, retries.windowEnd(messageThatMayHaveRun(SAFE)));
        assertEquals(fixture.state.now + 5 * SECOND - 5 * MILLISECOND, retries.windowEnd(messageThatMayHaveRun(KEYED)));
    }

    @Test
    void aDelayLeavesTimeToConnectWithinTheRepeatWindow() {
        Message message = messageThatMayHaveRun(KEYED);
        message.attempts = 5;
        fixture.advanceClock(3 * SECOND);
        retries.pause(message);
        assertEquals(message.mayHaveRunSince + 4 * SECOND - 5 * MILLISECOND, message.notBefore);
        assertTrue(retries.canTryAgain(message));
        fixture.advanceClock(SECOND);
        retries.pause(message);
        assertFalse(retries.canTryAgain(message), "the step is longer than the rest of the repeat window");
    }
}
