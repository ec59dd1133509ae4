package lilaclever;

import static lilaclever.DecisionModuleHarness.KEYED;
import static lilaclever.DecisionModuleHarness.MILLISECOND_MICROS;
import static lilaclever.DecisionModuleHarness.SAFE;
import static lilaclever.DecisionModuleHarness.SECOND_MICROS;
import static lilaclever.DecisionModuleHarness.UNSAFE;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import lilaclever.DecisionModule.Action;
import lilaclever.PolicyState.Endpoint;
import lilaclever.PolicyState.Message;
import org.junit.jupiter.api.Test;

/** Message classes have an aim of 2 s, keyed ones a repeat window of 5 s; there are four slots. */
class CallTimeoutsTest {
    private final PolicyFixture fixture = new PolicyFixture();
    private final TransientFailures failures = new TransientFailures(fixture.state);
    private final CallTimeouts timeouts = new CallTimeouts(fixture.state, failures);
    private final Endpoint endpoint = fixture.addEndpoint();

    private long timeoutMicros(int messageClass) {
        return timeouts.timeoutMicros(fixture.addMessage(messageClass), fixture.limit);
    }

    @Test
    void beforeAnyAnswerTheTimeoutIsTheAimAndTwiceThatForUnsafeMessages() {
        assertEquals(2 * SECOND_MICROS, timeoutMicros(SAFE));
        assertEquals(4 * SECOND_MICROS, timeoutMicros(UNSAFE));
    }

    @Test
    void theTimeoutIsSixTimesTheUsualAnswerTimeAndAtLeastHalfTheAim() {
        timeouts.onDelivered(fixture.limit, 100 * MILLISECOND_MICROS);
        assertEquals(SECOND_MICROS, timeoutMicros(SAFE));
        timeouts.onDelivered(fixture.limit, 10_100 * MILLISECOND_MICROS);
        assertEquals(
                1_100 * MILLISECOND_MICROS,
                (long) fixture.limit.meanResponseMicros,
                "moved by a tenth towards the new answer time");
        assertEquals(6_600 * MILLISECOND_MICROS, timeoutMicros(SAFE));
    }

    @Test
    void theFirstAttemptOfAKeyedMessageLeavesHalfItsRepeatWindow() {
        fixture.limit.meanResponseMicros = 2 * SECOND_MICROS;
        assertEquals(2_500 * MILLISECOND_MICROS, timeoutMicros(KEYED));
        Message repeated = fixture.addMessage(KEYED);
        repeated.mayHaveRun = true;
        assertEquals(12 * SECOND_MICROS, timeouts.timeoutMicros(repeated, fixture.limit));
    }

    @Test
    void timedOutCallsLengthenTheTimeoutUpToFourfoldUntilAPromptAnswer() {
        timeouts.onDelivered(fixture.limit, 100 * MILLISECOND_MICROS);
        for (int i = 0; i < 3; i++) {
            timeouts.lengthen(fixture.limit);
        }
        assertEquals(4 * SECOND_MICROS, timeoutMicros(SAFE));
        timeouts.onDelivered(fixture.limit, 400 * MILLISECOND_MICROS);
        assertEquals(2_800 * MILLISECOND_MICROS, timeoutMicros(SAFE), "a slow answer takes 30 % off");
        timeouts.onDelivered(fixture.limit, 100 * MILLISECOND_MICROS);
        assertEquals(SECOND_MICROS, timeoutMicros(SAFE));
    }

    @Test
    void oneSlowDestinationHardlyMovesTheUsualAnswerTime() {
        timeouts.onDelivered(fixture.limit, 100 * MILLISECOND_MICROS);
        timeouts.onDelivered(fixture.limit, 10 * SECOND_MICROS);
        assertEquals(
                107_500, fixture.state.overallMeanResponseMicros, 1, "moved by a fortieth of 300 ms, not of 9.9 s");
        assertEquals(430_000, timeouts.slowResponseMicros(), 4);
    }

    @Test
    void whereCallsAreOftenLostTheLastFreeSlotGetsAShorterTimeout() {
        for (int i = 0; i < 2; i++) {
            endpoint.failingSinceMicros = fixture.state.nowMicros;
            failures.onFailure(endpoint, false);
            failures.onDelivered(endpoint);
        }
        assertEquals(2 * SECOND_MICROS, timeoutMicros(SAFE));
        fixture.state.slotsInUse = 3;
        assertEquals(1_200 * MILLISECOND_MICROS, timeoutMicros(SAFE));
        assertEquals(4 * SECOND_MICROS, timeoutMicros(UNSAFE));
    }

    @Test
    void overdueCallsAreCancelledOnlyAsFarAsSlotsAreNeeded() {
        timeouts.onDelivered(fixture.limit, 100 * MILLISECOND_MICROS);
        Message first = fixture.addMessage(SAFE);
        Message unsafe = fixture.addMessage(UNSAFE);
        Message second = fixture.addMessage(SAFE);
        for (Message message : List.of(first, unsafe, second)) {
            fixture.startCall(message, endpoint);
        }
        assertEquals(
                fixture.state.nowMicros + 800 * MILLISECOND_MICROS, timeouts.cancelOverdue(1), "eight times 100 ms");
        fixture.advanceClock(800 * MILLISECOND_MICROS);
        timeouts.cancelOverdue(1);
        assertEquals(List.of(new Action.Cancel(first.id, 0)), fixture.state.actions);
        fixture.advanceClock(MILLISECOND_MICROS);
        timeouts.cancelOverdue(1);
        assertTrue(fixture.state.actions.isEmpty(), "the slot that is needed is about to be free");
        long nextCheckMicros = timeouts.cancelOverdue(3);
        assertEquals(List.of(new Action.Cancel(second.id, 0)), fixture.state.actions);
        assertEquals(
                fixture.state.nowMicros - 801 * MILLISECOND_MICROS + 2_400 * MILLISECOND_MICROS,
                nextCheckMicros,
                "24 times 100 ms for the unsafe message");
    }

    @Test
    void noCallIsCancelledWhereTheSettingsForbidIt() {
        PolicyFixture fixtureWithoutCancel = new PolicyFixture(withoutCancel());
        fixtureWithoutCancel.startCall(fixtureWithoutCancel.addMessage(SAFE), fixtureWithoutCancel.addEndpoint());
        fixtureWithoutCancel.advanceClock(60 * SECOND_MICROS);
        new CallTimeouts(fixtureWithoutCancel.state, new TransientFailures(fixtureWithoutCancel.state))
                .cancelOverdue(1);
        assertTrue(fixtureWithoutCancel.state.actions.isEmpty());
    }

    private static DecisionModule.Settings withoutCancel() {
        DecisionModule.Settings settings = DecisionModuleHarness.settings(4, 50, 6, false);
        DecisionModule.Limits limits = settings.limits();
        return new DecisionModule.Settings(
                settings.self(),
                settings.forwarders(),
                settings.zone(),
                settings.zones(),
                settings.roundMicros(),
                settings.mustWatchList(),
                settings.weightMeaning(),
                settings.limitReports(),
                settings.overQuotaWorthFactor(),
                settings.classes(),
                settings.kinds(),
                settings.tenants(),
                new DecisionModule.Limits(
                        limits.maxAttempts(),
                        limits.maxOpenMessages(),
                        limits.slots(),
                        false,
                        limits.mayProbe(),
                        limits.mayMessagePeers(),
                        limits.callsPerConnection(),
                        limits.connectTimeoutMicros(),
                        limits.keepAliveMicros(),
                        limits.sendsRetryAfter(),
                        limits.maxRetryAfterMicros()),
                settings.rules());
    }
}
