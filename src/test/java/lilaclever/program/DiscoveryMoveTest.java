package lilaclever.program;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;

/** Reloads that move discovery to another agent, also in quick succession. */
class DiscoveryMoveTest extends DiscoveryFixture {
    private static final String KNOWN_NAME = "e1";

    private String knownList(String address) {
        return wholeList(1, entry(KNOWN_NAME, address, "active"));
    }

    /** An agent that answers the first request, and its watch once the latch is released. */
    private Agent agentWithWatch(String e1, CountDownLatch endpointLeft) throws Exception {
        return new Agent(request -> {
            if (request.number() == 1) {
                request.answer(knownList(e1));
            } else if (request.number() == 2) {
                endpointLeft.await();
                request.answer(changes(2, entry(KNOWN_NAME, e1, "left")));
            }
        });
    }

    /** A reload with the same address keeps the request in flight, and its answer is used. */
    @Test
    void reloadWithTheSameAddressKeepsThePendingRequest() throws Exception {
        String e1 = endpoint(KNOWN_NAME);
        CountDownLatch reloaded = new CountDownLatch(1);
        Agent agent = agentWithWatch(e1, reloaded);
        start(agent, knownList(e1));
        agent.nextRequest();
        assertTrue(agent.nextRequest().isWatch());
        for (int i = 0; i < 3; i++) {
            reload(agent, knownList(e1));
        }
        reloaded.countDown();
        awaitCounter("entries_endpoints 0");
        assertTrue(agent.nextRequest().isAfter(2));
    }

    /** The previous agent is used until the new one has given its whole list; then its connection is closed. */
    @Test
    void previousAgentIsUsedUntilTheNewOneAnswers() throws Exception {
        String e1 = endpoint(KNOWN_NAME);
        String e2 = endpoint("e2");
        CountDownLatch endpointLeft = new CountDownLatch(1);
        CountDownLatch answers = new CountDownLatch(1);
        Agent before = agentWithWatch(e1, endpointLeft);
        Agent after = new Agent(request -> {
            answers.await();
            if (request.isForWholeList()) {
                request.answer(wholeList(70, entry("e2", e2, "active")));
            }
        });
        start(before, knownList(e1));
        before.nextRequest();
        assertTrue(before.nextRequest().isWatch());
        reload(after, knownList(e1));
        assertTrue(after.nextRequest().isForWholeList());
        endpointLeft.countDown();
        awaitCounter("entries_endpoints 0");
        assertEquals(0, before.closedRequests.size());
        answers.countDown();
        submit("a");
        assertEquals("e2 a", take(calls));
        take(before.closedRequests);
        AgentRequest watch = after.nextRequest();
        while (watch.isForWholeList()) {
            watch = after.nextRequest();
        }
        assertTrue(watch.isAfter(70));
    }

    /** Several reloads in a row keep the agent that has answered and the newest one; those between are closed. */
    @Test
    void successiveReloadsKeepTheAgentThatHasAnswered() throws Exception {
        String e1 = endpoint(KNOWN_NAME);
        CountDownLatch endpointLeft = new CountDownLatch(1);
        Agent first = agentWithWatch(e1, endpointLeft);
        Agent second = new Agent(request -> {});
        Agent third = new Agent(request -> {});
        start(first, knownList(e1));
        first.nextRequest();
        assertTrue(first.nextRequest().isWatch());
        reload(second, knownList(e1));
        assertTrue(second.nextRequest().isForWholeList());
        reload(third, knownList(e1));
        assertTrue(third.nextRequest().isForWholeList());
        assertEquals(1, take(second.closedRequests), "its first request");
        assertEquals(0, first.closedRequests.size());
        endpointLeft.countDown();
        awaitCounter("entries_endpoints 0");
    }

    /** After a reload to another agent and back, the watch that is open at the first agent is continued. */
    @Test
    void reloadBackToTheFirstAgentKeepsItsOpenWatch() throws Exception {
        String e1 = endpoint(KNOWN_NAME);
        CountDownLatch endpointLeft = new CountDownLatch(1);
        Agent first = agentWithWatch(e1, endpointLeft);
        Agent second = new Agent(request -> {});
        start(first, knownList(e1));
        first.nextRequest();
        assertTrue(first.nextRequest().isWatch());
        for (int i = 0; i < 3; i++) {
            reload(second, knownList(e1));
            assertTrue(second.nextRequest().isForWholeList());
            reload(first, knownList(e1));
            take(second.closedRequests);
        }
        endpointLeft.countDown();
        awaitCounter("entries_endpoints 0");
        assertTrue(first.nextRequest().isAfter(2));
    }
}
