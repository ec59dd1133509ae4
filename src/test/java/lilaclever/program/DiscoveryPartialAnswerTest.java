package lilaclever.program;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Semaphore;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import lilaclever.program.Peer.Wire;
import org.junit.jupiter.api.Test;

/** Answers that stall, trickle, break off or exceed the size limit. */
class DiscoveryPartialAnswerTest extends DiscoveryFixture {
    private static final int MAX_LIST_BYTES = 4 << 20;

    private static String responseHead(int length) {
        return "HTTP/1.1 200 OK\r\nContent-Length: " + length + "\r\n\r\n";
    }

    /** Sends an answer up to the mark in its text; returns the rest. */
    private static String sendUpTo(Wire wire, String list, String mark) throws IOException {
        int at = list.indexOf(mark);
        wire.writeText(responseHead(list.length()) + list.substring(0, at));
        return list.substring(at);
    }

    /** An answer that stops halfway for longer than the timeout of an endpoint's answer, and then continues. */
    @Test
    void stalledAnswerIsReadWhenItContinues() throws Exception {
        String e1 = endpoint("e1");
        CountDownLatch secondRequest = new CountDownLatch(2);
        Agent agent = new Agent(request -> {
            secondRequest.countDown();
            if (request.number() == 1) {
                String rest = sendUpTo(request.wire(), changes(2, entry("e1", e1, "left")), "\"name\"");
                secondRequest.await();
                request.wire().writeText(rest);
            }
        });
        serveWithKnownList(agent, wholeList(1, entry("e1", e1, "active")));
        awaitCounter("entries_endpoints 0");
    }

    /** An answer that never ends is aborted, and the removals received so far are applied. */
    @Test
    void tricklingAnswerIsAbortedAndItsRemovalsAreApplied() throws Exception {
        String e1 = endpoint("e1");
        Semaphore pieces = new Semaphore(0);
        Agent agent = new Agent(request -> {
            pieces.release();
            if (request.number() == 1) {
                request.wire()
                        .writeText(responseHead(1_000_000)
                                + changes(2, entry("e1", e1, "left")).replace("]}", ""));
                while (true) {
                    pieces.acquire(); // released by each further request
                    request.wire().writeText(" ");
                }
            }
        });
        serveWithKnownList(agent, wholeList(1, entry("e1", e1, "active")));
        awaitCounter("entries_endpoints 0");
        AgentRequest next = agent.nextRequest();
        while (!next.isForWholeList()) {
            next = agent.nextRequest();
        }
    }

    /** Removals in a truncated answer are applied; endpoints that it does not contain stay listed. */
    @Test
    void removalsInATruncatedAnswerAreAppliedAndTheWholeListIsRequested() throws Exception {
        String e1 = endpoint("e1");
        String e2 = endpoint("e2");
        Agent agent = new Agent(request -> {
            if (request.number() == 1) {
                sendUpTo(request.wire(), wholeList(2, entry("e1", e1, "leaving"), entry("e2", e2, "active")), "\"e2\"");
                throw new IOException("the agent dies");
            }
        });
        start(agent, wholeList(1, entry("e1", e1, "active"), entry("e2", e2, "active")));
        submit("a");
        assertEquals("e2 a", take(calls));
        assertTrue(agent.nextRequest().isForWholeList());
        AgentRequest second = agent.nextRequest();
        assertTrue(second.isForWholeList() || agent.nextRequest().isForWholeList());
    }

    /** Where an agent's whole list exceeds the limit, its changes and the part read are applied. */
    @Test
    void changesAreAppliedWhereTheWholeListIsTooLarge() throws Exception {
        String e1 = endpoint("e1");
        String e2 = endpoint("e2");
        CountDownLatch removalApplied = new CountDownLatch(1);
        Agent agent = new Agent(request -> {
            if (request.isForWholeList()) {
                String first = wholeList(50, entry("e1", e1, "left")).replace("]}", ",");
                request.wire()
                        .writeText(responseHead(MAX_LIST_BYTES + 100_000)
                                + first
                                + " ".repeat(MAX_LIST_BYTES + 100_000 - first.length()));
            } else if (request.isAfter(41)) {
                removalApplied.await();
                request.answer(changes(51, entry("e2", e2, "active")));
            }
        });
        start(agent, wholeList(41, entry("e1", e1, "active")));
        awaitCounter("entries_endpoints 0");
        removalApplied.countDown();
        submit("a");
        assertEquals("e2 a", take(calls));
        assertTrue(agent.nextRequest().isForWholeList());
        assertTrue(agent.nextRequest().isAfter(41));
    }

    /** The largest allowed list fits into the heap of a small machine. */
    @Test
    void largestListFitsInASmallHeap() throws Exception {
        String e1 = endpoint("e1");
        String others = IntStream.range(0, 20_000)
                .mapToObj(i -> entry("s-" + i + "-" + "x".repeat(106), "127.0.0.1:9", "leaving"))
                .collect(Collectors.joining(","));
        String list = wholeList(2, others, entry("e1", e1, "active"));
        int length = list.getBytes(StandardCharsets.UTF_8).length;
        assertTrue(length < MAX_LIST_BYTES && length > MAX_LIST_BYTES * 9 / 10, "bytes: " + length);
        Agent agent = new Agent(request -> {
            if (request.isForWholeList()) {
                request.answer(list);
            }
        });
        Process process =
                ForwarderSetup.startProcess(state, configText(agent, "null"), "export JAVA_TOOL_OPTIONS=-Xmx64m");
        try {
            var log = process.errorReader();
            String line = log.readLine();
            while (!line.contains("serves at")) {
                line = log.readLine();
            }
            Thread logReader = new Thread(() -> log.lines().forEach(System.err::println));
            logReader.setDaemon(true);
            logReader.start();
            int port = Integer.parseInt(line.replaceAll(".*:(\\d+)]", "$1"));
            try (Wire client = Wire.connect(new java.net.InetSocketAddress("127.0.0.1", port))) {
                assertTrue(client.submit("a", "payment", 20, "").startsWith("202"));
            }
            assertEquals("e1 a", take(calls));
            assertTrue(agent.nextRequest().isForWholeList());
            AgentRequest second = agent.nextRequest();
            while (second.isForWholeList()) {
                second = agent.nextRequest();
            }
            assertTrue(second.isAfter(2));
        } finally {
            process.destroyForcibly().waitFor();
        }
    }
}
