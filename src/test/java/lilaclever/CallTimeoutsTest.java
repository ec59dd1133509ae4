package lilaclever;

import static lilaclever.Rig.KEYED;
import static lilaclever.Rig.MS;
import static lilaclever.Rig.S;
import static lilaclever.Rig.SAFE;
import static lilaclever.Rig.UNSAFE;
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
    private final Endpoint endpoint = fixture.endpoint();

    private long timeout(int messageClass) {
        return timeouts.timeout(fixture.message(messageClass), fixture.limit);
    }

    @Test
    void beforeAnyAnswerACallMayTakeItsAim() {
        assertEquals(2 * S, timeout(SAFE));
        assertEquals(4 * S, timeout(UNSAFE));
    }

    @Test
    void afterThatItIsSixTimesTheUsualAnswerAndAtLeastHalfTheAim() {
        timeouts.onDelivered(fixture.limit, 100 * MS);
        assertEquals(S, timeout(SAFE));
        timeouts.onDelivered(fixture.limit, 10_100 * MS);
        assertEquals(1_100 * MS, (long) fixture.limit.answerTime, "moved by a tenth towards the new answer time");
        assertEquals(6_600 * MS, timeout(SAFE));
    }

    @Test
    void aKeyedMessagesFirstAttemptLeavesHalfItsWindow() {
        fixture.limit.answerTime = 2 * S;
        assertEquals(2_500 * MS, timeout(KEYED));
        Message repeated = fixture.message(KEYED);
        repeated.mayHaveRun = true;
        assertEquals(12 * S, timeouts.timeout(repeated, fixture.limit));
    }

    @Test
    void timeOutsLengthenItUpToFourTimesUntilAPromptAnswer() {
        timeouts.onDelivered(fixture.limit, 100 * MS);
        for (int i = 0; i < 3; i++) {
            timeouts.lengthen(fixture.limit);
        }
        assertEquals(4 * S, timeout(SAFE));
        timeouts.onDelivered(fixture.limit, 400 * MS);
        assertEquals(2_800 * MS, timeout(SAFE), "a slow answer takes 30 % off");
        timeouts.onDelivered(fixture.limit, 100 * MS);
        assertEquals(S, timeout(SAFE));
    }

    @Test
    void oneSlowDestinationHardlyMovesTheUsualAnswerTime() {
        timeouts.onDelivered(fixture.limit, 100 * MS);
        timeouts.onDelivered(fixture.limit, 10 * S);
        assertEquals(107_500, fixture.state.usualAnswerTime, 1, "moved by a fortieth of 300 ms, not of 9.9 s");
        assertEquals(430_000, timeouts.slowAnswerTime(), 4);
    }

    @Test
    void whereCallsAreLostTheLastSlotGetsLess() {
        for (int i = 0; i < 2; i++) {
            endpoint.failingSince = fixture.state.now;
            failures.onFailure(endpoint, false);
            failures.onDelivered(endpoint);
        }
        assertEquals(2 * S, timeout(SAFE));
        fixture.state.slotsInUse = 3;
        assertEquals(1_200 * MS, timeout(SAFE));
        assertEquals(4 * S, timeout(UNSAFE));
    }

    @Test
    void overdueCallsAreGivenUpAsFarAsOthersCouldUseTheirSlots() {
        timeouts.onDelivered(fixture.limit, 100 * MS);
        Message first = fixture.message(SAFE);
        Message unsafe = fixture.message(UNSAFE);
        Message second = fixture.message(SAFE);
        for (Message message : List.of(first, unsafe, second)) {
            fixture.call(message, endpoint);
        }
        assertEquals(fixture.state.now + 800 * MS, timeouts.cancelOverdue(1), "eight times 100 ms");
        fixture.later(800 * MS);
        timeouts.cancelOverdue(1);
        assertEquals(List.of(new Action.Cancel(first.id, 0)), fixture.state.actions);
        fixture.later(MS);
        timeouts.cancelOverdue(1);
        assertTrue(fixture.state.actions.isEmpty(), "the slot that is needed is about to be free");
        long next = timeouts.cancelOverdue(3);
        assertEquals(List.of(new Action.Cancel(second.id, 0)), fixture.state.actions);
        assertEquals(fixture.state.now - 801 * MS + 2_400 * MS, next, "24 times 100 ms for the unsafe message");
    }

    @Test
    void nothingIsGivenUpWhereTheSettingsForbidIt() {
        PolicyFixture forbidden = new PolicyFixture(withoutCancel());
        forbidden.call(forbidden.message(SAFE), forbidden.endpoint());
        forbidden.later(60 * S);
        new CallTimeouts(forbidden.state, new TransientFailures(forbidden.state)).cancelOverdue(1);
        assertTrue(forbidden.state.actions.isEmpty());
    }

    private static DecisionModule.Settings withoutCancel() {
        DecisionModule.Settings s = Rig.settings(4, 50, 6, false);
        DecisionModule.Limits l = s.limits();
        return new DecisionModule.Settings(
                s.self(),
                s.relays(),
                s.zone(),
                s.zones(),
                s.roundMicros(),
                s.askForList(),
                s.weights(),
                s.reports(),
                s.overShareWorth(),
                s.classes(),
                s.kinds(),
                s.tenants(),
                new DecisionModule.Limits(
                        l.maxAttempts(),
                        l.maxOpen(),
                        l.slots(),
                        false,
                        l.probing(),
                        l.peers(),
                        l.callsPerConnection(),
                        l.connectTimeoutMicros(),
                        l.keepAliveMicros(),
                        l.comeBack(),
                        l.maxComeBackMicros()),
                s.rules());
    }
}
