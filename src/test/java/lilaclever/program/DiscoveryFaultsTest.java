package lilaclever.program;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Partly unreadable lists: the readable part is applied, and the log names the fault. */
class DiscoveryFaultsTest extends DiscoveryFixture {
    private static final Logger LOGGER = Logger.getLogger("lilaclever.directory");

    private final LinkedBlockingQueue<String> log = new LinkedBlockingQueue<>();
    private final Handler handler = new Handler() {
        @Override
        public void publish(LogRecord line) {
            log.add(line.getMessage());
        }

        @Override
        public void flush() {
            // nothing is buffered
        }

        @Override
        public void close() {
            // no resources
        }
    };

    @BeforeEach
    void addLogHandler() {
        LOGGER.addHandler(handler);
    }

    @AfterEach
    void removeLogHandler() {
        LOGGER.removeHandler(handler);
    }

    private void awaitLogged(String part) throws InterruptedException {
        String line = take(log);
        while (!line.contains(part)) {
            line = take(log);
        }
    }

    /** The unreadable entry is logged by number, name and key; the entries before and after it are applied. */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '#',
            value = {
                "\"status\":\"active\" | \"status\":\"resting\" | status: can't be read: resting",
                "\"status\":\"active\" | \"status\":null | status: neither text nor number",
                "\"status\":\"active\" | \"x\":1 | status: missing",
                "\"group\":7 | \"group\":\"seven\" | group: can't be read: seven",
                "\"address\":\"127.0.0.1:9\" | \"address\":\"lab.example:9\" | address: can't be read: lab.example:9",
                "\"address\":\"127.0.0.1:9\" | \"address\":\"127.0.0.1:99999\" | address: can't be read",
                "\"address\":\"127.0.0.1:9\" | \"address\":\"300.0.0.1:9\" | address: can't be read",
                "\"zone\":\"z\" | \"zone\":{\"deep\":[1]} | zone: neither text nor number; the default counts",
                "\"zone\":\"z\" | \"zone\":\"z\",\"weight\":\"much\" | weight: can't be read: much; the default",
                "\"zone\":\"z\" | \"zone\":\"z\",\"since_ms\":1e30 | since_ms: can't be read: 1e30; the default",
            })
    void unreadableEntryIsLoggedAndTheRestIsApplied(String good, String bad, String problem) throws Exception {
        String e1 = endpoint("e1");
        String e3 = endpoint("e3");
        String faulty = entry("e2", "127.0.0.1:9", "active").replace(good, bad);
        assertTrue(faulty.contains(bad));
        Agent agent = new Agent(request -> {
            if (request.number() == 1) {
                request.answer(wholeList(2, entry("e1", e1, "leaving"), faulty, entry("e3", e3, "active")));
            }
        });
        start(agent, wholeList(1, entry("e1", e1, "active")));
        submit("a");
        awaitLogged("entry 2 (e2): " + problem);
        agent.nextRequest();
        AgentRequest second = agent.nextRequest();
        assertTrue(second.isForWholeList(), second.path());
        assertEquals("e3 a", take(calls));
        assertEquals(0, calls.size());
    }

    /** An endpoint whose entry has become unreadable gets no new messages. */
    @Test
    void endpointWithAnUnreadableEntryGetsNoNewMessages() throws Exception {
        String e1 = endpoint("e1");
        String e2 = endpoint("e2");
        CountDownLatch submitted = new CountDownLatch(1);
        Agent agent = new Agent(request -> {
            if (request.number() == 1) {
                submitted.await();
                request.answer(wholeList(2, entry("e1", e1, "drained"), entry("e2", e2, "active")));
            }
        });
        start(agent, wholeList(1, entry("e1", e1, "active")));
        submit("a");
        submitted.countDown();
        assertEquals("e2 a", take(calls));
    }

    /** A list without its index or kind adds no endpoints, but its removals are applied. */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '#',
            value = {
                "\"index\":2 | \"index\":\"two\" | list: index: can't be read: two",
                "\"snapshot\":true | \"snapshot\":1 | list: snapshot: can't be read: 1",
            })
    void removalsInAListWithoutIndexOrKindAreApplied(String good, String bad, String problem) throws Exception {
        String e1 = endpoint("e1");
        Agent agent = new Agent(request -> {
            if (request.number() == 1) {
                request.answer(wholeList(2, entry("e1", e1, "left")).replace(good, bad));
            }
        });
        start(agent, wholeList(1, entry("e1", e1, "active")));
        awaitCounter("entries_endpoints 0");
        awaitLogged(problem);
    }

    /** While a fault persists the whole list is requested rarely, and changes are still received at once. */
    @Test
    void persistentFaultIsPolledRarelyAndChangesAreStillReceived() throws Exception {
        String e1 = endpoint("e1");
        String bad = entry("e2", "127.0.0.1:9", "resting");
        CountDownLatch endpointLeft = new CountDownLatch(1);
        Agent agent = new Agent(request -> {
            if (request.isForWholeList()) {
                request.answer(wholeList(endpointLeft.getCount() == 0 ? 3 : 2, bad));
            } else if (request.isAfter(1)) {
                request.answer(changes(2, bad, entry("e1", e1, "active")));
            } else if (endpointLeft.getCount() == 0 && request.isAfter(2)) {
                request.answer(changes(3, entry("e1", e1, "left")));
            }
        });
        serveWithKnownList(agent, wholeList(1, entry("e1", e1, "active")));
        int wholeListRequests = 0;
        int watches = 0;
        for (long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(5); System.nanoTime() < end; ) {
            AgentRequest next = agent.nextRequest();
            wholeListRequests += next.isForWholeList() ? 1 : 0;
            watches += next.isAfter(2) ? 1 : 0;
        }
        assertTrue(wholeListRequests >= 2 && wholeListRequests <= 12, "whole lists in 5 s: " + wholeListRequests);
        assertTrue(watches >= 2, "watches: " + watches);
        endpointLeft.countDown();
        awaitCounter("entries_endpoints 0");
    }
}
