package lilaclever.program;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Lists with a lower index than the one held, and the first moments after a start. */
class DiscoveryOrderTest extends DiscoveryFixture {
    /** What has left stays so until a list in order brings it back; that list is asked for. */
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
        assertEquals("e2 a", next(calls));
        assertTrue(agent.nextRequest().isAfter(1));
        assertTrue(agent.nextRequest().isAfter(5));
        assertTrue(agent.nextRequest().isForWholeList(), "nothing is built on an older list");
        assertTrue(agent.nextRequest().isAfter(6));
        assertEquals(0, calls.size());
    }

    /** What an older list says or shows to have left counts at once: it is safe whatever has overtaken the list. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void removalsInAnOlderListAreAppliedAtOnce(boolean isWhole) throws Exception {
        String e1 = endpoint("e1");
        Agent agent = new Agent(request -> {
            if (request.number() == 1) {
                request.answer(changes(5));
            } else if (request.number() == 2) {
                request.answer(isWhole ? wholeList(3) : changes(3, entry("e1", e1, "left")));
            } // all others are never answered
        });
        serveWithKnownList(agent, wholeList(1, entry("e1", e1, "active")));
        awaitCounter("entries_endpoints 0");
        agent.nextRequest();
        assertTrue(agent.nextRequest().isAfter(5));
        assertTrue(agent.nextRequest().isForWholeList());
    }

    /** Discovery begins to count anew: its changes are heard from there on, not only a minute later. */
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
            } // a watch after 4: nothing ever changes
        });
        serveWithKnownList(agent, wholeList(41, entry("e1", e1, "active")));
        assertTrue(agent.nextRequest().isAfter(41));
        assertTrue(agent.nextRequest().isForWholeList());
        assertTrue(agent.nextRequest().isAfter(3));
        assertTrue(agent.nextRequest().isAfter(4));
        submit("a");
        assertEquals("e2 a", next(calls));
        assertEquals(0, calls.size());
    }

    /** What the agent has counts as told from the first moment: the known list is not acted upon before it answers. */
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
        assertEquals("e2 a", next(calls));
    }

    /** An agent that says nothing does not hold the known list back for long. */
    @Test
    void knownListIsUsedWhenTheAgentDoesNotAnswer() throws Exception {
        String e1 = endpoint("e1");
        Agent agent = new Agent(request -> {});
        start(agent, wholeList(1, entry("e1", e1, "active")));
        submit("a");
        assertEquals("e1 a", next(calls));
        assertTrue(agent.nextRequest().isForWholeList(), "its index may be of another agent's count");
    }
}
