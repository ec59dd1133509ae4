package lilaclever.program;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;

/** New configurations that move discovery, also in quick succession. */
class DiscoveryMoveTest extends DiscoveryRig {
    private static final String KNOWN_NAME = "e1";

    private String known(String address) {
        return whole(1, entry(KNOWN_NAME, address, "active"));
    }

    /** An agent that answers the first request, and its watch once it may. */
    private Agent watched(String e1, CountDownLatch departs) throws Exception {
        return new Agent(asked -> {
            if (asked.number() == 1) {
                asked.answer(known(e1));
            } else if (asked.number() == 2) {
                departs.await();
                asked.answer(changes(2, entry(KNOWN_NAME, e1, "left")));
            }
        });
    }

    /** A configuration with the same address leaves the request alone that is out: it is the one that is answered. */
    @Test
    void aMoveToTheSameAddressChangesNothing() throws Exception {
        String e1 = endpoint(KNOWN_NAME);
        CountDownLatch reloaded = new CountDownLatch(1);
        Agent agent = watched(e1, reloaded);
        start(agent, known(e1));
        agent.next();
        assertTrue(agent.next().isWatch());
        for (int i = 0; i < 3; i++) {
            reload(agent, known(e1));
        }
        reloaded.countDown();
        until("entries_endpoints 0");
        assertTrue(agent.next().isAfter(2));
    }

    /** The agent before is heard until the new one has given its whole list; then it is closed. */
    @Test
    void theAgentBeforeIsHeardUntilTheNewOneAnswers() throws Exception {
        String e1 = endpoint(KNOWN_NAME);
        String e2 = endpoint("e2");
        CountDownLatch departs = new CountDownLatch(1);
        CountDownLatch answers = new CountDownLatch(1);
        Agent before = watched(e1, departs);
        Agent after = new Agent(asked -> {
            answers.await();
            if (asked.isWhole()) {
                asked.answer(whole(70, entry("e2", e2, "active")));
            }
        });
        start(before, known(e1));
        before.next();
        assertTrue(before.next().isWatch());
        reload(after, known(e1));
        assertTrue(after.next().isWhole());
        departs.countDown();
        until("entries_endpoints 0");
        assertEquals(0, before.closed.size());
        answers.countDown();
        handIn("a");
        assertEquals("e2 a", next(calls));
        next(before.closed);
        Asked watch = after.next();
        while (watch.isWhole()) {
            watch = after.next();
        }
        assertTrue(watch.isAfter(70));
    }

    /** Several moves in a row keep the agent that has answered, and the newest; those between are closed. */
    @Test
    void movesInARowKeepTheAgentThatHasAnswered() throws Exception {
        String e1 = endpoint(KNOWN_NAME);
        CountDownLatch departs = new CountDownLatch(1);
        Agent first = watched(e1, departs);
        Agent second = new Agent(asked -> {});
        Agent third = new Agent(asked -> {});
        start(first, known(e1));
        first.next();
        assertTrue(first.next().isWatch());
        reload(second, known(e1));
        assertTrue(second.next().isWhole());
        reload(third, known(e1));
        assertTrue(third.next().isWhole());
        assertEquals(1, next(second.closed), "its first request");
        assertEquals(0, first.closed.size());
        departs.countDown();
        until("entries_endpoints 0");
    }

    /** A move there and back: the watch that is open at the first address is the one that goes on. */
    @Test
    void aMoveBackGoesOnWithTheWatchThatIsOpen() throws Exception {
        String e1 = endpoint(KNOWN_NAME);
        CountDownLatch departs = new CountDownLatch(1);
        Agent first = watched(e1, departs);
        Agent second = new Agent(asked -> {});
        start(first, known(e1));
        first.next();
        assertTrue(first.next().isWatch());
        for (int i = 0; i < 3; i++) {
            reload(second, known(e1));
            assertTrue(second.next().isWhole());
            reload(first, known(e1));
            next(second.closed);
        }
        departs.countDown();
        until("entries_endpoints 0");
        assertTrue(first.next().isAfter(2));
    }
}
