package lilaclever.program;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;

/** Agents that answer late; late is measured in requests, so that an answer arrives after the next requests. */
class DiscoverySlowTest extends DiscoveryFixture {
    private static final long MAX_OPEN_NANOS = 3_000_000_000L, MIN_OPEN_NANOS = 2_900_000_000L;

    /** Where every poll takes longer than the poll timeout, the answer to the first one is still used. */
    @Test
    void answerSlowerThanThePollTimeoutIsUsed() throws Exception {
        String e1 = endpoint("e1");
        CountDownLatch thirdRequest = new CountDownLatch(3);
        Agent agent = new Agent(request -> {
            thirdRequest.countDown();
            if (request.number() == 1) {
                thirdRequest.await();
                request.answer(wholeList(2));
            }
        });
        start(agent, wholeList(1, entry("e1", e1, "active")));
        awaitCounter("entries_endpoints 0");
        AgentRequest watch = agent.nextRequest();
        while (!watch.isWatch()) {
            watch = agent.nextRequest();
        }
        assertTrue(watch.isAfter(2), "a slow agent is watched like any other");
    }

    /** A late watch answer is used, although discovery has been polled again. */
    @Test
    void lateWatchAnswerIsUsedAfterANewPoll() throws Exception {
        String e1 = endpoint("e1");
        CountDownLatch polledAgain = new CountDownLatch(1);
        Agent agent = new Agent(request -> {
            if (request.isWatch()) {
                polledAgain.await();
                request.answer(changes(2, entry("e1", e1, "left")));
            } else {
                polledAgain.countDown();
            }
        });
        serveWithKnownList(agent, wholeList(1, entry("e1", e1, "active")));
        awaitCounter("entries_endpoints 0");
    }

    /** An answer that arrives after that of a later request is older, and does not reset the index of the watch. */
    @Test
    void answerOvertakenByALaterOneIsIgnored() throws Exception {
        String e1 = endpoint("e1");
        String e2 = endpoint("e2");
        CountDownLatch overtaken = new CountDownLatch(1);
        CountDownLatch answered = new CountDownLatch(1);
        Agent agent = new Agent(request -> {
            if (request.number() == 1) {
                overtaken.await();
                request.answer(wholeList(2, entry("e1", e1, "active"), entry("e2", e2, "active")));
                answered.countDown();
            } else if (request.number() == 2) {
                request.answer(wholeList(3, entry("e2", e2, "active")));
            } else if (request.isAfter(3)) {
                overtaken.countDown();
                answered.await();
                request.answer(changes(4));
            }
        });
        start(agent, wholeList(1, entry("e1", e1, "active")));
        assertTrue(agent.nextRequest().isForWholeList());
        assertTrue(agent.nextRequest().isForWholeList());
        assertTrue(agent.nextRequest().isAfter(3));
        assertTrue(agent.nextRequest().isAfter(4));
        submit("a");
        assertEquals("e2 a", take(calls));
    }

    /**
     * An unresponsive agent is polled again and again; beside the current poll one late request stays open, for 3 s at
     * most.
     */
    @Test
    void oneLateRequestStaysOpenForALimitedTime() throws Exception {
        Agent agent = new Agent(request -> {});
        serveWithKnownList(agent, "null");
        agent.nextRequest();
        long first = System.nanoTime();
        int before = 0;
        for (int number = take(agent.closedRequests); number != 1; number = take(agent.closedRequests)) {
            assertTrue(number > before, "later requests are closed in order");
            before = number;
        }
        long openNanos = System.nanoTime() - first;
        assertTrue(before >= 2, "short polls were closed before");
        assertTrue(openNanos >= MIN_OPEN_NANOS && openNanos < 2 * MAX_OPEN_NANOS, "open for " + openNanos + " ns");
    }
}
