package lilaclever.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import java.util.Map;
import lilaclever.soak.SoakAccount.CallEnd;
import lilaclever.soak.SoakAccount.Repeat;
import lilaclever.soak.SoakAccount.Rule;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** For each rule, a record that just keeps it and one that breaks it by the least amount. */
class SoakAccountTest {
    private static final long MILLI = SoakAccount.NANOS_PER_MILLI;
    private static final long DEADLINE = 2_000 * MILLI, WINDOW = 1_000 * MILLI;
    private static final Map<String, String> LIMITS = Map.of("e0", "destination 0", "e1", "destination 0");

    private final SoakAccount account = new SoakAccount(0);

    private void take(String id, Repeat repeat) {
        account.handedIn(id, "n0", repeat, 0, DEADLINE, WINDOW);
        account.answered(id, 202, 1 * MILLI);
    }

    private int call(String id, String endpoint, long nanos) {
        return account.called(id, endpoint, nanos, nanos);
    }

    private List<Rule> broken() {
        return account.violations(LIMITS).stream()
                .map(SoakAccount.Violation::rule)
                .toList();
    }

    private static List<Rule> expected(boolean isBroken, Rule rule) {
        return isBroken ? List.of(rule) : List.of();
    }

    @ParameterizedTest
    @CsvSource({"2350, 0, false", "2350, 1, true"})
    void aMessageIsLostOnceItsNoticeIsOverdue(long millis, long nanos, boolean isBroken) {
        take("m", Repeat.UNSAFE);
        account.noticed("m", "undeliverable", millis * MILLI + nanos);
        assertEquals(expected(isBroken, Rule.LOST), broken());
    }

    @ParameterizedTest
    @CsvSource({"2350, 0, false", "2350, 1, true"})
    void aMessageIsLostOnceItsDeliveryIsOverdue(long millis, long nanos, boolean isBroken) {
        take("m", Repeat.UNSAFE);
        account.callEnded("m", call("m", "e0", 2 * MILLI), CallEnd.DELIVERED, millis * MILLI + nanos);
        assertEquals(expected(isBroken, Rule.LOST), broken());
    }

    @Test
    void aMessageIsLostIfItIsNeitherDeliveredNorEnded() {
        take("m", Repeat.SAFE);
        account.callEnded("m", call("m", "e0", 2 * MILLI), CallEnd.NEVER_RAN, 3 * MILLI);
        assertEquals(List.of(Rule.LOST), broken());
    }

    @Test
    void aRefusedMessageIsOwedNothing() {
        account.handedIn("m", "n0", Repeat.SAFE, 0, DEADLINE, WINDOW);
        account.answered("m", 503, 1 * MILLI);
        assertEquals(List.of(), broken());
    }

    /** No notice is overdue from the signal until 1.5 s after the forwarder is ready again. */
    @ParameterizedTest
    @CsvSource({
        "2350, 5000, 6550, 0, false",
        "2350, 5000, 6550, 1, true",
        "2351, 5000, 2350, 1, true",
        "1000, 1500, 3050, 0, false"
    })
    void aRestartExcusesWhatFallsDueInIt(long signal, long ready, long notice, long nanos, boolean isBroken) {
        take("m", Repeat.UNSAFE);
        account.restarted("n0", signal * MILLI, ready * MILLI);
        account.noticed("m", "undeliverable", notice * MILLI + nanos);
        assertEquals(expected(isBroken, Rule.LOST), broken());
    }

    @ParameterizedTest
    @CsvSource({
        "UNSAFE, NEVER_RAN, 10, false",
        "UNSAFE, MAY_HAVE_RUN, 10, true",
        "UNSAFE, DELIVERED, 10, true",
        "SAFE, DELIVERED, 10, false",
        "KEYED, DELIVERED, 1052, false",
        "KEYED, DELIVERED, 1053, true",
        "KEYED, MAY_HAVE_RUN, 1053, true",
        "KEYED, NEVER_RAN, 1053, false"
    })
    void aMessageThatMayHaveRunIsSentAgainOnlyAsItsClassAllows(
            Repeat repeat, CallEnd first, long againMillis, boolean isBroken) {
        take("m", repeat);
        account.callEnded("m", call("m", "e0", 2 * MILLI), first, 5 * MILLI);
        account.callEnded("m", call("m", "e1", againMillis * MILLI), CallEnd.DELIVERED, againMillis * MILLI + 1);
        assertEquals(expected(isBroken, Rule.DUPLICATE), broken());
    }

    @ParameterizedTest
    @CsvSource({
        "OVER, 55, 0, false",
        "OVER, 55, 1, true",
        "NO_ATTEMPTS_LEFT, 55, 0, false",
        "NO_ATTEMPTS_LEFT, 55, 1, true",
        "NEVER_RAN, 55, 1, false"
    })
    void noCallFollowsAnAnswerThatEndsItsMessage(CallEnd first, long againMillis, long nanos, boolean isBroken) {
        take("m", Repeat.SAFE);
        account.callEnded("m", call("m", "e0", 2 * MILLI), first, 5 * MILLI);
        account.callEnded("m", call("m", "e1", againMillis * MILLI + nanos), CallEnd.DELIVERED, 99 * MILLI);
        assertEquals(expected(isBroken, Rule.AFTER_END), broken());
    }

    /** What was written just before a kill may not have been read. */
    @ParameterizedTest
    @CsvSource({"154, 999999, false", "155, 0, true", "4, 999999, true"})
    void aKillExcusesACallOnlyJustAfterTheAnswer(long killMillis, long killNanos, boolean isBroken) {
        take("m", Repeat.SAFE);
        account.callEnded("m", call("m", "e0", 2 * MILLI), CallEnd.OVER, 5 * MILLI);
        account.killed("n0", killMillis * MILLI + killNanos);
        account.callEnded("m", call("m", "e1", 900 * MILLI), CallEnd.DELIVERED, 901 * MILLI);
        assertEquals(expected(isBroken, Rule.AFTER_END), broken());
    }

    @ParameterizedTest
    @CsvSource({"150, 0, false", "150, 1, true"})
    void noCallFollowsANotice(long millis, long nanos, boolean isBroken) {
        take("m", Repeat.SAFE);
        account.noticed("m", "undeliverable", 100 * MILLI);
        account.callEnded("m", call("m", "e0", millis * MILLI + nanos), CallEnd.MAY_HAVE_RUN, 200 * MILLI);
        assertEquals(expected(isBroken, Rule.AFTER_END), broken());
    }

    @ParameterizedTest
    @CsvSource({"51, 0, false", "51, 1, true"})
    void noCallFollowsARefusalToTheClient(long millis, long nanos, boolean isBroken) {
        account.handedIn("m", "n0", Repeat.SAFE, 0, DEADLINE, WINDOW);
        account.answered("m", 503, 1 * MILLI);
        account.callEnded("m", call("m", "e0", millis * MILLI + nanos), CallEnd.MAY_HAVE_RUN, 200 * MILLI);
        assertEquals(expected(isBroken, Rule.AFTER_END), broken());
    }

    /** 410 owes nothing more, 504 owes the end. */
    @ParameterizedTest
    @CsvSource({"OVER, false", "NO_ATTEMPTS_LEFT, true"})
    void aMessageIsLostWithoutANoticeUnlessItIsOver(CallEnd end, boolean isBroken) {
        take("m", Repeat.SAFE);
        account.callEnded("m", call("m", "e0", 2 * MILLI), end, 5 * MILLI);
        assertEquals(expected(isBroken, Rule.LOST), broken());
    }

    /** A call may still run until its refusal is written. */
    @ParameterizedTest
    @CsvSource({"0, false", "1, true"})
    void aPaymentIsNotSentAgainBeforeTheFirstCallEnds(long beforeNanos, boolean isBroken) {
        take("m", Repeat.UNSAFE);
        account.callEnded("m", call("m", "e0", 2 * MILLI), CallEnd.NEVER_RAN, 5 * MILLI);
        account.callEnded("m", call("m", "e1", 5 * MILLI - beforeNanos), CallEnd.DELIVERED, 9 * MILLI);
        assertEquals(expected(isBroken, Rule.DUPLICATE), broken());
    }

    @ParameterizedTest
    @CsvSource({"0, false", "1, true"})
    void aCallToADepartedEndpointBreaksTheDrainAfterTheGrace(long nanos, boolean isBroken) {
        take("m", Repeat.SAFE);
        account.toldOfDeparture("n0", "e0", 100 * MILLI);
        account.toldOfDeparture("n1", "e0", 0);
        account.callEnded("m", call("m", "e0", 650 * MILLI + nanos), CallEnd.DELIVERED, 700 * MILLI);
        assertEquals(expected(isBroken, Rule.DRAIN), broken());
    }

    @ParameterizedTest
    @CsvSource({"n0, 250, 0, false", "n0, 250, 1, true", "n0, 600, -1, true", "n0, 600, 0, false", "n1, 250, 1, false"})
    void aCallWithinAToldWaitBreaksIt(String toldForwarder, long millis, long nanos, boolean isBroken) {
        take("m", Repeat.SAFE);
        account.toldToWait(toldForwarder, "destination 0", 100 * MILLI, 100 * MILLI, 500 * MILLI);
        account.callEnded("m", call("m", "e1", millis * MILLI + nanos), CallEnd.DELIVERED, 700 * MILLI);
        assertEquals(expected(isBroken, Rule.WAIT), broken());
    }

    @Test
    void aRestartEndsAWait() {
        take("m", Repeat.SAFE);
        account.toldToWait("n0", "destination 0", 100 * MILLI, 100 * MILLI, 500 * MILLI);
        account.restarted("n0", 110 * MILLI, 120 * MILLI);
        account.callEnded("m", call("m", "e1", 300 * MILLI), CallEnd.DELIVERED, 700 * MILLI);
        assertEquals(List.of(), broken());
    }

    @Test
    void aRequestThatWasReadNeedsAnAnswer() {
        account.handedIn("m", "n0", Repeat.SAFE, 0, DEADLINE, WINDOW);
        account.endedWithoutAnswer("m", 5 * MILLI);
        assertEquals(List.of(Rule.UNANSWERED), broken());
    }

    @ParameterizedTest
    @CsvSource({"0, false", "1, true"})
    void aForwarderIsReadyInTime(long nanos, boolean isBroken) {
        account.ready("n0", 0, SoakAccount.READY_LIMIT_NANOS + nanos);
        assertEquals(expected(isBroken, Rule.NOT_READY), broken());
    }

    @Test
    void aCrashIsFound() {
        account.crashed("n0", "exit code 1");
        assertEquals(List.of(Rule.CRASH), broken());
    }

    @ParameterizedTest
    @CsvSource({
        "x, 1, SEED: not a whole number: x",
        "1, 0, COUNT: not from 1 to 10000: 0",
        "1, many, COUNT: not a whole number: many"
    })
    void aWrongArgumentIsNamed(String seed, String count, String message) {
        IllegalArgumentException thrown = assertThrows(
                IllegalArgumentException.class, () -> SoakMain.parse(new String[] {seed, count}, Map.of()));
        assertEquals(message, thrown.getMessage());
    }

    @Test
    void theSameSeedDrawsTheSamePlan() {
        assertEquals(SoakPlan.draw(7, 30, SoakPlan.Faults.DRAWN), SoakPlan.draw(7, 30, SoakPlan.Faults.DRAWN));
    }
}
