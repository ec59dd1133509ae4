package lilaclever.simulation.audit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Set;
import lilaclever.DecisionModule;
import lilaclever.simulation.audit.Breach.Rule;
import lilaclever.simulation.model.MessageClass;
import org.junit.jupiter.api.Test;

/** Checks that the auditor detects each broken rule and reports none where all are kept. */
class AuditorTest {
    private static final long SECOND_MICROS = 1_000_000;
    private static final int ORDER = 0, STATUS = 1, PAYMENT = 2;

    private final Auditor auditor = new Auditor(
            List.of(
                    messageClass("order", DecisionModule.RepeatSafety.KEYED, 4, 20, 0.5),
                    messageClass("status", DecisionModule.RepeatSafety.SAFE, 1, 6, 0),
                    messageClass("payment", DecisionModule.RepeatSafety.UNSAFE, 4, 28, 0.5)),
            SECOND_MICROS / 2);

    private static MessageClass messageClass(
            String name, DecisionModule.RepeatSafety repeat, long aimSeconds, long deadlineSeconds, double lateShare) {
        return new MessageClass(
                name,
                1 / 3.0,
                new long[] {1, 1},
                new DecisionModule.MessageClass(
                        aimSeconds * SECOND_MICROS,
                        deadlineSeconds * SECOND_MICROS,
                        1,
                        repeat,
                        DecisionModule.KeyScope.ALL,
                        5 * SECOND_MICROS,
                        false,
                        lateShare,
                        true));
    }

    private void acceptMessage(int number, int messageClass, long atMicros) {
        auditor.messageArrived(number, messageClass, 7, 1000, atMicros);
        auditor.submitted(number, 0, atMicros);
        auditor.accepted(number, 0, atMicros);
    }

    private void attempt(int number, long atMicros, String outcome, boolean neverRan) {
        auditor.attemptStarted(number, 0, "e", 7, atMicros);
        if (outcome != null) {
            auditor.attemptEnded(number, outcome, neverRan, atMicros + 1000);
        }
    }

    private Set<Rule> brokenRules() {
        auditor.finish(300 * SECOND_MICROS);
        return auditor.breachCounts().keySet();
    }

    @Test
    void correctHistoriesBreakNoRule() {
        acceptMessage(1, PAYMENT, 0);
        attempt(1, SECOND_MICROS, "full", true);
        attempt(1, 2 * SECOND_MICROS, "delivered", false);
        auditor.delivered(1, 2 * SECOND_MICROS);
        acceptMessage(2, ORDER, 0);
        attempt(2, SECOND_MICROS, "error", false);
        attempt(2, 5 * SECOND_MICROS, "error", false); // within the repeat window
        auditor.noticeReceived(2, "undeliverable", 19 * SECOND_MICROS);
        acceptMessage(3, STATUS, 0);
        attempt(3, SECOND_MICROS, "given up", false);
        attempt(3, 6 * SECOND_MICROS, "delivered", false);
        auditor.delivered(3, 6 * SECOND_MICROS - 1);
        assertEquals(Set.of(), brokenRules());
        assertEquals(1, auditor.service().ofClass(PAYMENT));
        assertEquals(0, auditor.service().ofClass(ORDER));
        assertEquals(
                Math.pow(0.5, (5 * SECOND_MICROS - 1.0) / SECOND_MICROS),
                auditor.service().ofClass(STATUS),
                1e-6);
    }

    @Test
    void aPaymentThatMayHaveRunIsNotResent() {
        acceptMessage(1, PAYMENT, 0);
        attempt(1, SECOND_MICROS, "given up", false);
        attempt(1, 2 * SECOND_MICROS, null, false);
        auditor.noticeReceived(1, "undeliverable", 3 * SECOND_MICROS);
        assertEquals(Set.of(Rule.REPEAT), brokenRules());
        assertTrue(auditor.breaches().get(0).history().stream().anyMatch(l -> l.contains("given up")));
    }

    @Test
    void anOrderIsNotResentAfterItsWindow() {
        acceptMessage(1, ORDER, 0);
        attempt(1, SECOND_MICROS, "error", false);
        attempt(1, 6 * SECOND_MICROS + 100_000, "delivered", false);
        auditor.delivered(1, 7 * SECOND_MICROS);
        assertEquals(Set.of(Rule.REPEAT), brokenRules());
    }

    @Test
    void twoAttemptsAtOnceAreABreach() {
        acceptMessage(1, STATUS, 0);
        attempt(1, SECOND_MICROS, null, false);
        attempt(1, SECOND_MICROS + 10, "delivered", false);
        auditor.delivered(1, 2 * SECOND_MICROS);
        assertEquals(Set.of(Rule.ONE_ATTEMPT), brokenRules());
    }

    @Test
    void acceptedMessageWithoutAFinalStatusIsABreach() {
        acceptMessage(1, STATUS, 0);
        assertEquals(Set.of(Rule.ONE_END), brokenRules());
    }

    @Test
    void lateAndSecondFinalStatusesAreBreaches() {
        acceptMessage(1, STATUS, 0);
        auditor.noticeReceived(1, "undeliverable", 6 * SECOND_MICROS + 400_000);
        acceptMessage(2, STATUS, SECOND_MICROS);
        auditor.noticeReceived(2, "deferred", 2 * SECOND_MICROS);
        auditor.noticeReceived(2, "deferred", 3 * SECOND_MICROS); // a repeated notice of the same status is allowed
        assertEquals(1, auditor.breachCounts().get(Rule.ONE_END));
        auditor.noticeReceived(2, "undeliverable", 3 * SECOND_MICROS);
        attempt(2, 4 * SECOND_MICROS, "full", true);
        assertEquals(3, auditor.breachCounts().get(Rule.ONE_END));
    }

    /** While a forwarder is down, and shortly after, no final status is overdue. */
    @Test
    void restartExtendsTheTimeForAFinalStatus() {
        acceptMessage(1, STATUS, 0);
        auditor.forwarderDied(0, 5 * SECOND_MICROS);
        auditor.forwarderReady(0, 8 * SECOND_MICROS);
        auditor.noticeReceived(1, "undeliverable", 9 * SECOND_MICROS);
        acceptMessage(2, STATUS, 20 * SECOND_MICROS);
        auditor.forwarderDied(0, 25 * SECOND_MICROS);
        auditor.forwarderReady(0, 26 * SECOND_MICROS);
        auditor.noticeReceived(2, "undeliverable", 28 * SECOND_MICROS);
        assertEquals(1, auditor.breachCounts().get(Rule.ONE_END));
    }

    @Test
    void sendingToADrainingEndpointAfterTheGracePeriodIsABreach() {
        acceptMessage(1, STATUS, 0);
        auditor.endpointReported(0, "e", false, SECOND_MICROS);
        attempt(1, SECOND_MICROS + 540_000, "full", true);
        assertEquals(Set.of(), auditor.breachCounts().keySet());
        attempt(1, SECOND_MICROS + 560_000, "full", true);
        assertEquals(Set.of(Rule.DRAIN), auditor.breachCounts().keySet());
    }

    @Test
    void retryAfterPeriodsHoldUntilARestart() {
        acceptMessage(1, STATUS, 0);
        auditor.retryAfterReceived(0, 7, SECOND_MICROS, SECOND_MICROS);
        attempt(1, SECOND_MICROS + 90_000, "full", true); // it crossed the answer with the retry-after period
        auditor.attemptStarted(1, 1, "e", 7, SECOND_MICROS + 500_000); // another forwarder has not received the answer
        auditor.attemptEnded(1, "full", true, SECOND_MICROS + 500_001);
        assertEquals(Set.of(), auditor.breachCounts().keySet());
        attempt(1, SECOND_MICROS + 500_010, "full", true);
        assertEquals(Set.of(Rule.WAIT), auditor.breachCounts().keySet());
        auditor.forwarderDied(0, SECOND_MICROS + 600_000);
        attempt(1, SECOND_MICROS + 700_000, "full", true);
        assertEquals(1, auditor.breachCounts().get(Rule.WAIT));
    }

    @Test
    void serviceFigureIsTheWeightedSumOfItsParts() {
        for (int i = 0; i < 20; i++) {
            acceptMessage(i, ORDER, i * SECOND_MICROS);
            if (i >= 10) {
                attempt(i, i * SECOND_MICROS, "delivered", false);
                auditor.delivered(i, i * SECOND_MICROS + 1000);
            }
        }
        auditor.finish(300 * SECOND_MICROS);
        Service service = auditor.service();
        assertEquals(0.5, service.wholeRun(), 1e-9);
        assertEquals(0, service.worstWindow(), 1e-9);
        assertEquals(0.5, service.worstClass(), 1e-9);
        assertEquals(0.45 * 0.5 + 0.2 * 0.5, service.figure(new DeductionRates(0, 0, 0, 0)), 1e-9);
        service.addConnection();
        assertEquals(0.06 / 20, service.deductions(new DeductionRates(6, 3, 3, 1.4)), 1e-9);
    }
}
