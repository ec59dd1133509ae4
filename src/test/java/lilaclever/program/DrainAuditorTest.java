package lilaclever.program;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import lilaclever.program.DrainAuditor.Answering;
import lilaclever.program.DrainChange.Status;
import lilaclever.program.DrainChange.Target;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** The auditor itself: it reports a call that is too late, accepts one in time, and knows when a change is told. */
class DrainAuditorTest {
    private static final long MS = DrainAuditor.MS;
    /** Grace and slack of sockets. */
    private static final long GRACE_MS = 550;

    private final DrainAuditor auditor = new DrainAuditor();
    private int calls;

    private static DrainChange change(int version, Status status) {
        return new DrainChange(version, "e1", "here", 7, status);
    }

    @BeforeEach
    void listed() {
        change("a", 1, Status.ACTIVE, 0);
        auditor.started("a", 10 * MS);
    }

    private void change(String agent, int version, Status status, long atMs) {
        auditor.changed(change(version, status), atMs * MS);
        auditor.received(agent, change(version, status), atMs * MS);
    }

    private void call(long atMs) {
        auditor.called("m" + ++calls, new Target("here", 7), atMs * MS);
    }

    /** The last moment at which a call may come, in milliseconds: a call is tried then, and one just after. */
    private void assertLastCall(long atMs) {
        call(atMs);
        assertEquals(List.of(), auditor.violations(), "in time");
        call(atMs + 1);
        List<DrainAuditor.Violation> found = auditor.violations();
        assertEquals(1, found.size(), "one is too late");
        assertEquals("m" + calls, found.get(0).call());
        assertEquals(MS, found.get(0).lateNanos());
    }

    @Test
    void anAgentThatAnswersHasToldAtOnce() {
        change("a", 2, Status.LEAVING, 1_000);
        assertLastCall(1_000 + GRACE_MS);
    }

    @Test
    void theFirstSignThatItLeavesCounts() {
        change("a", 2, Status.LEAVING, 1_000);
        change("a", 3, Status.LEFT, 1_400);
        assertLastCall(1_000 + GRACE_MS);
    }

    @Test
    void oneThatIsBackTakesCalls() {
        change("a", 2, Status.LEAVING, 1_000);
        change("a", 3, Status.ACTIVE, 2_000);
        call(2_001);
        change("a", 4, Status.LEFT, 3_000);
        assertLastCall(3_000 + GRACE_MS);
    }

    @Test
    void aNewProcessKnowsWhatWasToldBefore() {
        change("a", 2, Status.LEAVING, 1_000);
        auditor.ended(1_200 * MS);
        auditor.started("a", 3_000 * MS);
        assertLastCall(3_000 + GRACE_MS);
    }

    @Test
    void whatAnEarlierProcessWasToldIsToldThoughTheAgentIsSilent() {
        change("a", 2, Status.LEAVING, 1_000);
        auditor.ended(1_200 * MS);
        auditor.answers("a", Answering.SILENT, 1_300 * MS);
        auditor.started("a", 3_000 * MS);
        assertLastCall(3_000 + GRACE_MS);
    }

    @Test
    void whatASilentAgentToldNobodyCountsFromItsReturn() {
        auditor.ended(900 * MS);
        change("a", 2, Status.LEAVING, 1_000);
        auditor.answers("a", Answering.SILENT, 1_300 * MS);
        auditor.started("a", 3_000 * MS);
        auditor.answers("a", Answering.AT_ONCE, 7_000 * MS);
        assertLastCall(7_000 + GRACE_MS);
    }

    @Test
    void anAgentThatAnswersPoorlyHasToldAfterSixSeconds() {
        auditor.answers("a", Answering.POORLY, 500 * MS);
        change("a", 2, Status.LEAVING, 1_000);
        assertLastCall(7_000 + GRACE_MS);
    }

    @Test
    void aWatchThatFellSilentHasToldSixSecondsAfterThat() {
        auditor.watchFellSilent("a", 500 * MS);
        change("a", 2, Status.LEAVING, 1_000);
        assertLastCall(6_500 + GRACE_MS);
    }

    @Test
    void afterASighupWhatOnlyTheNewAgentHasCountsFourSecondsLater() {
        auditor.changed(change(2, Status.LEAVING), 1_000 * MS);
        auditor.received("b", change(2, Status.LEAVING), 1_000 * MS);
        auditor.reloaded("b", 2_000 * MS);
        assertLastCall(6_000 + GRACE_MS);
    }

    @Test
    void afterASighupWhatTheOldAgentToldStaysTold() {
        change("a", 2, Status.LEAVING, 1_000);
        auditor.reloaded("b", 1_100 * MS);
        assertLastCall(1_000 + GRACE_MS);
    }

    /** An id that gets another address or group takes no calls any more where it was. */
    @Test
    void theOldAddressAndTheOldGroupTakeNoCalls() {
        DrainChange moved = new DrainChange(2, "e1", "there", 7, Status.ACTIVE);
        auditor.changed(moved, 1_000 * MS);
        auditor.received("a", moved, 1_000 * MS);
        auditor.called("other", new Target("there", 7), 9_000 * MS);
        assertLastCall(1_000 + GRACE_MS);
    }

    @Test
    void aCallToWhatWasNeverListedIsMisdirected() {
        call(100);
        assertEquals(List.of(), auditor.misdirected());
        auditor.called("other", new Target("here", 8), 100 * MS);
        assertEquals(1, auditor.misdirected().size());
    }
}
