package lilaclever.program;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Lists with a lower index than the current one, and the first answers after a start. */
class DiscoveryOrderTest extends DiscoveryFixture {
    /** A removed endpoint stays removed until a list in order contains it again; that list is requested. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void olderListDoesNotRestoreARemovedEndpoint(boolean isWhole) throws Exception {
        String e1 = endpoint("e1");
        String e2 = endpoint("e2");
        CountDownLatch submitted = new CountDownLatch(1);
        Agent agent = new Agent(request -> {
            if (request.number() == 1) {
                request.answer(changes(5, entry("e1", e1, "left")));
            } else if (request.number() == 2) {
                submitted.await();
                String older = entry("e1", e1, "active");
                request.answer(isWhole ? wholeList(3, older) : changes(3, older));
            } else if (request.isForWholeList()) {
                request.answer(wholeList(6, entry("e2", e2, "active")));
            }
        });
        serveWithKnownList(agent, wholeList(1, entry("e1", e1, "active")));
        awaitCounter("entries_endpoints 0");
        submit("a");
        submitted.countDown();
        assertEquals("e2 a", take(calls));
        assertTrue(agent.nextRequest().isAfter(1));
        assertTrue(agent.nextRequest().isAfter(5));
        assertTrue(agent.nextRequest().isForWholeList(), "changes are not requested after an older list");
        assertTrue(agent.nextRequest().isAfter(6));
        assertEquals(0, calls.size());
    }

    /**
     * An endpoint that an older list names as left, or that an older whole list omits, is removed at once: that is safe
     * whatever newer lists contain.
     */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void removalsInAnOlderListAreAppliedAtOnce(boolean isWhole) throws Exception {
        String e1 = endpoint("e1");
        Agent agent = new Agent(request -> {
            if (request.number() == 1) {
                request.answer(changes(5));
            } else if (request.number() == 2) {
                request.answer(isWhole ? wholeList(3) : changes(3, entry("e1", e1, "left")));
            } // all other requests are never answered
        });
        serveWithKnownList(agent, wholeList(1, entry("e1", e1, "active")));
        awaitCounter("entries_endpoints 0");
        agent.nextRequest();
        assertTrue(agent.nextRequest().isAfter(5));
        assertTrue(agent.nextRequest().isForWholeList());
    }

    /** After discovery restarts its index, its changes are applied at once, not only a minute later. */
    @Test
    void changesAfterADiscoveryRestartAreApplied() throws Exception {
        String e1 = endpoint("e1");
        String e2 = endpoint("e2");
        Agent agent = new Agent(request -> {
            if (request.isForWholeList()) {
                request.answer(wholeList(3, entry("e1", e1, "active")));
            } else if (request.isAfter(3)) {
                request.answer(changes(4, entry("e1", e1, "left"), entry("e2", e2, "active")));
            } else if (request.isAfter(41)) {
                request.answer(changes(3));
            } // a watch after 4 is never answered, as nothing changes
        });
        serveWithKnownList(agent, wholeList(41, entry("e1", e1, "active")));
        assertTrue(agent.nextRequest().isAfter(41));
        assertTrue(agent.nextRequest().isForWholeList());
        assertTrue(agent.nextRequest().isAfter(3));
        assertTrue(agent.nextRequest().isAfter(4));
        submit("a");
        assertEquals("e2 a", take(calls));
        assertEquals(0, calls.size());
    }

    /**
     * Changes that the agent has count from the process's first moment, so the known list is not used before the agent
     * answers.
     */
    @Test
    void noCallIsMadeBeforeTheFirstDiscoveryAnswer() throws Exception {
        String e1 = endpoint("e1");
        String e2 = endpoint("e2");
        CountDownLatch submitted = new CountDownLatch(1);
        Agent agent = new Agent(request -> {
            if (request.number() == 1) {
                submitted.await();
                request.answer(wholeList(2, entry("e1", e1, "leaving"), entry("e2", e2, "active")));
            }
        });
        start(agent, wholeList(1, entry("e1", e1, "active")));
        submit("a");
        submitted.countDown();
        assertEquals("e2 a", take(calls));
    }

    /** An unresponsive agent delays the use of the known list only briefly. */
    @Test
    void knownListIsUsedWhenTheAgentDoesNotAnswer() throws Exception {
        String e1 = endpoint("e1");
        Agent agent = new Agent(request -> {});
        start(agent, wholeList(1, entry("e1", e1, "active")));
        submit("a");
        assertEquals("e1 a", take(calls));
        assertTrue(agent.nextRequest().isForWholeList(), "the index of the known list may be that of another agent");
    }
}
