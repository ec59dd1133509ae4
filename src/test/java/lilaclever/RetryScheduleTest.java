package lilaclever;

import static lilaclever.DecisionModuleHarness.KEYED;
import static lilaclever.DecisionModuleHarness.MILLISECOND_MICROS;
import static lilaclever.DecisionModuleHarness.SAFE;
import static lilaclever.DecisionModuleHarness.SECOND_MICROS;
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
        message.uncertainSentAtMicros = fixture.state.nowMicros;
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
            retries.scheduleRetry(message);
            long delayMicros = message.notBeforeMicros - fixture.state.nowMicros;
            shortestMicros = Math.min(shortestMicros, delayMicros);
            longestMicros = Math.max(longestMicros, delayMicros);
        }
        assertEquals(stepMillis * 0.5, shortestMicros / (double) MILLISECOND_MICROS, 0.05 * stepMillis);
        assertEquals(stepMillis * 1.5, longestMicros / (double) MILLISECOND_MICROS, 0.05 * stepMillis);
    }

    @Test
    void noRetryIsAllowedAfterTheLastAttempt() {
        Message message = fixture.addMessage(SAFE);
        message.attempts = 5;
        assertTrue(retries.canRetry(message));
        message.attempts = 6;
        assertFalse(retries.canRetry(message));
    }

    @Test
    void noRetryIsAllowedWhereTheShortestCallWouldPassTheDeadline() {
        Message message = fixture.addMessage(SAFE);
        message.notBeforeMicros = message.deadlineAtMicros - CallTimeouts.MIN_TIMEOUT_MICROS;
        assertTrue(retries.canRetry(message));
        message.notBeforeMicros++;
        assertFalse(retries.canRetry(message));
    }

    @Test
    void anUnsafeMessageThatMayHaveRunIsNotRepeated() {
        assertTrue(retries.isExhausted(messageThatMayHaveRun(UNSAFE)));
        assertFalse(retries.isExhausted(messageThatMayHaveRun(SAFE)));
        Message messageThatNeverRan = fixture.addMessage(UNSAFE);
        messageThatNeverRan.attempts = 1;
        assertTrue(retries.canRetry(messageThatNeverRan));
    }

    @Test
    void onlyAKeyedMessageThatMayHaveRunHasARepeatWindow() {
        assertEquals(Long.MAX_VALUE, retries.repeatWindowEndMicros(fixture.addMessage(KEYED)));
        assertEquals(Long.MAX_VALUE, retries.repeatWindowEndMicros(messageThatMayHaveRun(SAFE)));
        assertEquals(
                fixture.state.nowMicros + 5 * SECOND_MICROS - 5 * MILLISECOND_MICROS,
                retries.repeatWindowEndMicros(messageThatMayHaveRun(KEYED)));
    }

    @Test
    void aDelayLeavesTimeToConnectWithinTheRepeatWindow() {
        Message message = messageThatMayHaveRun(KEYED);
        message.attempts = 5;
        fixture.advanceClock(3 * SECOND_MICROS);
        retries.scheduleRetry(message);
        assertEquals(
                message.uncertainSentAtMicros + 4 * SECOND_MICROS - 5 * MILLISECOND_MICROS, message.notBeforeMicros);
        assertTrue(retries.canRetry(message));
        fixture.advanceClock(SECOND_MICROS);
        retries.scheduleRetry(message);
        assertFalse(retries.canRetry(message), "the step is longer than the rest of the repeat window");
    }
}
