package lilaclever.program;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import lilaclever.program.DrainAuditor.AnswerQuality;
import lilaclever.program.DrainChange.Status;
import lilaclever.program.DrainChange.Target;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Checks that the auditor reports a call that is too late, accepts one in time, and computes when a change counts as
 * notified.
 */
class DrainAuditorTest {
    private static final long NANOS_PER_MILLI = DrainAuditor.NANOS_PER_MILLI;
    /** Drain grace plus the tolerance for sockets. */
    private static final long GRACE_AND_TOLERANCE_MILLIS = 550;

    private final DrainAuditor auditor = new DrainAuditor();
    private int calls;

    private static DrainChange change(int version, Status status) {
        return new DrainChange(version, "e1", "here", 7, status);
    }

    @BeforeEach
    void startWithListedEndpoint() {
        change("a", 1, Status.ACTIVE, 0);
        auditor.started("a", 10 * NANOS_PER_MILLI);
    }

    private void change(String agent, int version, Status status, long atMs) {
        auditor.changed(change(version, status), atMs * NANOS_PER_MILLI);
        auditor.received(agent, change(version, status), atMs * NANOS_PER_MILLI);
    }

    private void callAt(long atMs) {
        auditor.called("m" + ++calls, new Target("here", 7), atMs * NANOS_PER_MILLI);
    }

    /**
     * Checks the last allowed time of a call, in milliseconds: a call then is accepted, and one a millisecond later is
     * reported.
     */
    private void assertLastAllowedCall(long atMs) {
        callAt(atMs);
        assertEquals(List.of(), auditor.violations(), "in time");
        callAt(atMs + 1);
        List<DrainAuditor.Violation> found = auditor.violations();
        assertEquals(1, found.size(), "one call is too late");
        assertEquals("m" + calls, found.get(0).call());
        assertEquals(NANOS_PER_MILLI, found.get(0).lateNanos());
    }

    @Test
    void changeAtAnAnsweringAgentCountsAtOnce() {
        change("a", 2, Status.LEAVING, 1_000);
        assertLastAllowedCall(1_000 + GRACE_AND_TOLERANCE_MILLIS);
    }

    @Test
    void graceStartsWithTheFirstSignOfRemoval() {
        change("a", 2, Status.LEAVING, 1_000);
        change("a", 3, Status.LEFT, 1_400);
        assertLastAllowedCall(1_000 + GRACE_AND_TOLERANCE_MILLIS);
    }

    @Test
    void relistedEndpointTakesCalls() {
        change("a", 2, Status.LEAVING, 1_000);
        change("a", 3, Status.ACTIVE, 2_000);
        callAt(2_001);
        change("a", 4, Status.LEFT, 3_000);
        assertLastAllowedCall(3_000 + GRACE_AND_TOLERANCE_MILLIS);
    }

    @Test
    void graceOfAnEarlierChangeStartsWithTheNewProcess() {
        change("a", 2, Status.LEAVING, 1_000);
        auditor.ended(1_200 * NANOS_PER_MILLI);
        auditor.started("a", 3_000 * NANOS_PER_MILLI);
        assertLastAllowedCall(3_000 + GRACE_AND_TOLERANCE_MILLIS);
    }

    @Test
    void changeKnownToAnEarlierProcessCountsThoughTheAgentIsSilent() {
        change("a", 2, Status.LEAVING, 1_000);
        auditor.ended(1_200 * NANOS_PER_MILLI);
        auditor.answerQualityChanged("a", AnswerQuality.SILENT, 1_300 * NANOS_PER_MILLI);
        auditor.started("a", 3_000 * NANOS_PER_MILLI);
        assertLastAllowedCall(3_000 + GRACE_AND_TOLERANCE_MILLIS);
    }

    @Test
    void changeAtASilentAgentCountsFromItsReturn() {
        auditor.ended(900 * NANOS_PER_MILLI);
        change("a", 2, Status.LEAVING, 1_000);
        auditor.answerQualityChanged("a", AnswerQuality.SILENT, 1_300 * NANOS_PER_MILLI);
        auditor.started("a", 3_000 * NANOS_PER_MILLI);
        auditor.answerQualityChanged("a", AnswerQuality.AT_ONCE, 7_000 * NANOS_PER_MILLI);
        assertLastAllowedCall(7_000 + GRACE_AND_TOLERANCE_MILLIS);
    }

    @Test
    void changeAtAPoorlyAnsweringAgentCountsAfterSixSeconds() {
        auditor.answerQualityChanged("a", AnswerQuality.POORLY, 500 * NANOS_PER_MILLI);
        change("a", 2, Status.LEAVING, 1_000);
        assertLastAllowedCall(7_000 + GRACE_AND_TOLERANCE_MILLIS);
    }

    @Test
    void changeMissedByASilentWatchCountsAfterSixSeconds() {
        auditor.watchFellSilent("a", 500 * NANOS_PER_MILLI);
        change("a", 2, Status.LEAVING, 1_000);
        assertLastAllowedCall(6_500 + GRACE_AND_TOLERANCE_MILLIS);
    }

    @Test
    void changeKnownOnlyToTheNewAgentCountsFourSecondsAfterSighup() {
        auditor.changed(change(2, Status.LEAVING), 1_000 * NANOS_PER_MILLI);
        auditor.received("b", change(2, Status.LEAVING), 1_000 * NANOS_PER_MILLI);
        auditor.reloaded("b", 2_000 * NANOS_PER_MILLI);
        assertLastAllowedCall(6_000 + GRACE_AND_TOLERANCE_MILLIS);
    }

    @Test
    void changeKnownToTheOldAgentStillCountsAfterSighup() {
        change("a", 2, Status.LEAVING, 1_000);
        auditor.reloaded("b", 1_100 * NANOS_PER_MILLI);
        assertLastAllowedCall(1_000 + GRACE_AND_TOLERANCE_MILLIS);
    }

    /** An endpoint listed with another address or group takes no calls at the old one. */
    @Test
    void oldAddressAndOldGroupTakeNoCalls() {
        DrainChange moved = new DrainChange(2, "e1", "there", 7, Status.ACTIVE);
        auditor.changed(moved, 1_000 * NANOS_PER_MILLI);
        auditor.received("a", moved, 1_000 * NANOS_PER_MILLI);
        auditor.called("other", new Target("there", 7), 9_000 * NANOS_PER_MILLI);
        assertLastAllowedCall(1_000 + GRACE_AND_TOLERANCE_MILLIS);
    }

    @Test
    void callToAnUnlistedTargetIsMisdirected() {
        callAt(100);
        assertEquals(List.of(), auditor.misdirected());
        auditor.called("other", new Target("here", 8), 100 * NANOS_PER_MILLI);
        assertEquals(1, auditor.misdirected().size());
    }
}
