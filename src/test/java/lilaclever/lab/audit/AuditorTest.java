package lilaclever.lab.audit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Set;
import lilaclever.DecisionModule;
import lilaclever.lab.audit.Breach.Rule;
import lilaclever.lab.model.MessageClass;
import org.junit.jupiter.api.Test;

/** Each rule, kept and broken, as the auditor sees it. */
class AuditorTest {
    private static final long S = 1_000_000;
    private static final int ORDER = 0, STATUS = 1, PAYMENT = 2;

    private final Auditor auditor = new Auditor(
            List.of(
                    of("order", DecisionModule.RepeatSafety.KEYED, 4, 20, 0.5),
                    of("status", DecisionModule.RepeatSafety.SAFE, 1, 6, 0),
                    of("payment", DecisionModule.RepeatSafety.UNSAFE, 4, 28, 0.5)),
            S / 2);

    private static MessageClass of(
            String name, DecisionModule.RepeatSafety repeat, long aim, long deadline, double late) {
        return new MessageClass(
                name,
                1 / 3.0,
                new long[] {1, 1},
                new DecisionModule.MessageClass(
                        aim * S, deadline * S, 1, repeat, DecisionModule.KeyScope.ALL, 5 * S, false, late, true));
    }

    private void taken(int n, int messageClass, long at) {
        auditor.messageArrived(n, messageClass, 7, 1000, at);
        auditor.submitted(n, 0, at);
        auditor.accepted(n, 0, at);
    }

    private void attempt(int n, long at, String how, boolean neverRan) {
        auditor.attemptStarted(n, 0, "e", 7, at);
        if (how != null) {
            auditor.attemptEnded(n, how, neverRan, at + 1000);
        }
    }

    private Set<Rule> broken() {
        auditor.finish(300 * S);
        return auditor.breachCounts().keySet();
    }

    @Test
    void aGoodStoryBreaksNothing() {
        taken(1, PAYMENT, 0);
        attempt(1, S, "full", true);
        attempt(1, 2 * S, "delivered", false);
        auditor.delivered(1, 2 * S);
        taken(2, ORDER, 0);
        attempt(2, S, "error", false);
        attempt(2, 5 * S, "error", false); // within its window
        auditor.noticeReceived(2, "undeliverable", 19 * S);
        taken(3, STATUS, 0);
        attempt(3, S, "given up", false);
        attempt(3, 6 * S, "delivered", false);
        auditor.delivered(3, 6 * S - 1);
        assertEquals(Set.of(), broken());
        assertEquals(1, auditor.service().ofClass(PAYMENT));
        assertEquals(0, auditor.service().ofClass(ORDER));
        assertEquals(Math.pow(0.5, (5 * S - 1.0) / S), auditor.service().ofClass(STATUS), 1e-6);
    }

    @Test
    void aPaymentThatMayHaveRunIsNotResent() {
        taken(1, PAYMENT, 0);
        attempt(1, S, "given up", false);
        attempt(1, 2 * S, null, false);
        auditor.noticeReceived(1, "undeliverable", 3 * S);
        assertEquals(Set.of(Rule.REPEAT), broken());
        assertTrue(auditor.breaches().get(0).history().stream().anyMatch(l -> l.contains("given up")));
    }

    @Test
    void anOrderIsNotResentAfterItsWindow() {
        taken(1, ORDER, 0);
        attempt(1, S, "error", false);
        attempt(1, 6 * S + 100_000, "delivered", false);
        auditor.delivered(1, 7 * S);
        assertEquals(Set.of(Rule.REPEAT), broken());
    }

    @Test
    void oneAttemptIsOutAtMost() {
        taken(1, STATUS, 0);
        attempt(1, S, null, false);
        attempt(1, S + 10, "delivered", false);
        auditor.delivered(1, 2 * S);
        assertEquals(Set.of(Rule.ONE_ATTEMPT), broken());
    }

    @Test
    void whatWasTakenOnHasOneEndInTime() {
        taken(1, STATUS, 0);
        assertEquals(Set.of(Rule.ONE_END), broken());
    }

    @Test
    void lateAndDoubleEndsAreSeen() {
        taken(1, STATUS, 0);
        auditor.noticeReceived(1, "undeliverable", 6 * S + 400_000);
        taken(2, STATUS, S);
        auditor.noticeReceived(2, "deferred", 2 * S);
        auditor.noticeReceived(2, "deferred", 3 * S); // a second notice of the same does no harm
        assertEquals(1, auditor.breachCounts().get(Rule.ONE_END));
        auditor.noticeReceived(2, "undeliverable", 3 * S);
        attempt(2, 4 * S, "full", true);
        assertEquals(3, auditor.breachCounts().get(Rule.ONE_END));
    }

    /** While a forwarder is away, and shortly after, no end is overdue. */
    @Test
    void aRestartPutsEndsOff() {
        taken(1, STATUS, 0);
        auditor.forwarderDied(0, 5 * S);
        auditor.forwarderReady(0, 8 * S);
        auditor.noticeReceived(1, "undeliverable", 9 * S);
        taken(2, STATUS, 20 * S);
        auditor.forwarderDied(0, 25 * S);
        auditor.forwarderReady(0, 26 * S);
        auditor.noticeReceived(2, "undeliverable", 28 * S);
        assertEquals(1, auditor.breachCounts().get(Rule.ONE_END));
    }

    @Test
    void nothingGoesToADrainingEndpointAfterItsGrace() {
        taken(1, STATUS, 0);
        auditor.endpointReported(0, "e", false, S);
        attempt(1, S + 540_000, "full", true);
        assertEquals(Set.of(), auditor.breachCounts().keySet());
        attempt(1, S + 560_000, "full", true);
        assertEquals(Set.of(Rule.DRAIN), auditor.breachCounts().keySet());
    }

    @Test
    void toldWaitsAreKeptUntilARestart() {
        taken(1, STATUS, 0);
        auditor.retryAfterReceived(0, 7, S, S);
        attempt(1, S + 90_000, "full", true); // it crossed the telling
        auditor.attemptStarted(1, 1, "e", 7, S + 500_000); // another forwarder was not told
        auditor.attemptEnded(1, "full", true, S + 500_001);
        assertEquals(Set.of(), auditor.breachCounts().keySet());
        attempt(1, S + 500_010, "full", true);
        assertEquals(Set.of(Rule.WAIT), auditor.breachCounts().keySet());
        auditor.forwarderDied(0, S + 600_000);
        attempt(1, S + 700_000, "full", true);
        assertEquals(1, auditor.breachCounts().get(Rule.WAIT));
    }

    @Test
    void theFigureIsMadeOfItsParts() {
        for (int i = 0; i < 20; i++) {
            taken(i, ORDER, i * S);
            if (i >= 10) {
                attempt(i, i * S, "delivered", false);
                auditor.delivered(i, i * S + 1000);
            }
        }
        auditor.finish(300 * S);
        Service s = auditor.service();
        assertEquals(0.5, s.wholeRun(), 1e-9);
        assertEquals(0, s.worstWindow(), 1e-9);
        assertEquals(0.5, s.worstClass(), 1e-9);
        assertEquals(0.45 * 0.5 + 0.2 * 0.5, s.figure(new DeductionRates(0, 0, 0, 0)), 1e-9);
        s.addConnection();
        assertEquals(0.06 / 20, s.deductions(new DeductionRates(6, 3, 3, 1.4)), 1e-9);
    }
}
