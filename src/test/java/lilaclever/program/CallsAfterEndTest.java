package lilaclever.program;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import lilaclever.program.Peer.Request;
import lilaclever.program.Peer.Wire;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * What an answer says, by what becomes of it on the wire ({@code docs/answers.md}): who is called again, and who gets a
 * notice. Each cell has a destination of its own; all are played at once by one process.
 */
class CallsAfterEndTest extends RealProcessFixture {
    private static final int FIRST_DESTINATION = 100;
    private static final int END_DELAY_MILLIS = 150;
    private static final int KILL_DELAY_MILLIS = 2 * END_DELAY_MILLIS;
    private static final int START_MILLIS = 1_500;
    /** After this time an answer of the same status counts as a new one. */
    private static final long MAX_REPETITION_NANOS = 2_000_000_000;

    /** A quarter of them may be idle connections, of which each cell needs one. */
    private static final int DESCRIPTORS = 1_024;

    /** No answer is confirmed sooner. */
    private static final long MIN_CONFIRMATION_NANOS = 500_000_000;

    /** When the process was killed. */
    private long endedNanos;

    /** What an endpoint answers. */
    private enum Meaning {
        DELIVERED("200 OK"),
        MAY_HAVE_RUN("500 Internal Server Error"),
        NEVER_RAN("503 Service Unavailable"),
        OVER("410 Gone"),
        NO_ATTEMPTS_LEFT("504 Gateway Timeout");

        private final String status;

        Meaning(String status) {
            this.status = status;
        }

        private boolean isForbidding() {
            return this == OVER || this == NO_ATTEMPTS_LEFT;
        }
    }

    /** What becomes of the answer. */
    private enum Fate {
        STAYS,
        CONNECTION_ENDS,
        CUT_IN_STATUS_LINE,
        CUT_IN_HEADER,
        CUT_IN_BODY,
        NEVER_ENDED,
        FOLLOWED_BY_COPY
    }

    /** Whether and how the process ends after the answers were written. */
    private enum ProcessEnd {
        NONE,
        TERMINATED,
        KILLED
    }

    /**
     * One destination, whose endpoint answers the first calls of two messages with the same status, one after the
     * other, and plays the fate with the answer to one of them.
     */
    private final class Cell {
        private final int number;
        private final Meaning meaning;
        private final Fate fate;
        private final boolean playsSecond;
        private final String messageClass;
        private final Peer endpoint;
        private final Set<String> calledIds = ConcurrentHashMap.newKeySet();
        /** Whether a recent answer of the connection had the same status. */
        private volatile boolean mayBeRepetition;

        private volatile long answeredNanos;
        /** When the fate of the answer was played out: late where the stand-in had no processor. */
        private volatile long playedNanos;

        Cell(int number, Meaning meaning, Fate fate, boolean playsSecond, String messageClass) throws IOException {
            this.number = number;
            this.meaning = meaning;
            this.fate = fate;
            this.playsSecond = playsSecond;
            this.messageClass = messageClass;
            this.endpoint = new Peer(this::serve);
        }

        private String id(String which) {
            return "cell" + number + '-' + which;
        }

        private String playedId() {
            return id(playsSecond ? "second" : "first");
        }

        private String listEntry() {
            return "{\"name\":\"e" + number + "\",\"address\":\"" + endpoint.address()
                    + "\",\"zone\":\"z\",\"type\":\"lab\",\"group\":" + (FIRST_DESTINATION + number)
                    + ",\"status\":\"active\"}";
        }

        private void serve(Wire wire) throws IOException, InterruptedException {
            Map<String, Long> answeredNanosByStatus = new HashMap<>();
            for (Request r = wire.readRequest(); r != null; r = wire.readRequest()) {
                String id = r.headers().get("req-id");
                boolean isFirstCall = calledIds.add(id);
                String status = isFirstCall ? meaning.status : "200 OK";
                boolean isPlayed = isFirstCall && id.equals(playedId());
                long nowNanos = System.nanoTime();
                Long earlierNanos = answeredNanosByStatus.put(status, nowNanos);
                mayBeRepetition |= isPlayed && earlierNanos != null && nowNanos - earlierNanos < MAX_REPETITION_NANOS;
                String answer = "HTTP/1.1 " + status + "\r\nServer: scripted\r\nContent-Length: 4\r\n\r\nbody";
                if (isPlayed) {
                    run(r);
                    answeredNanos = nowNanos;
                    play(wire, answer);
                } else {
                    wire.writeText(answer);
                    run(r);
                }
            }
        }

        private void play(Wire wire, String answer) throws IOException, InterruptedException {
            wire.writeText(
                    switch (fate) {
                        case CUT_IN_STATUS_LINE -> answer.substring(0, "HTTP/1.1 200 ".length());
                        case CUT_IN_HEADER, NEVER_ENDED -> answer.substring(0, answer.indexOf("\r\n\r\n") - 1);
                        case CUT_IN_BODY -> answer.substring(0, answer.length() - 1);
                        default -> answer;
                    });
            Thread.sleep(END_DELAY_MILLIS); // read before the connection ends
            switch (fate) {
                case FOLLOWED_BY_COPY -> wire.writeText(answer);
                case STAYS, NEVER_ENDED -> {}
                default -> wire.close();
            }
            playedNanos = System.nanoTime();
        }

        private void submit(String which) throws IOException {
            try (Wire client = Wire.connect(address)) {
                assertTrue(client.submit(id(which), messageClass, FIRST_DESTINATION + number, DEADLINE_SECONDS, "")
                        .startsWith("202"));
            }
        }

        private boolean mayRepeat() {
            return messageClass.equals("status");
        }

        private boolean isOwn() {
            return !mayBeRepetition && fate != Fate.CUT_IN_STATUS_LINE;
        }

        /** What is wrong with the end of the message whose answer was played, or null. */
        private String problem(ProcessEnd processEnd) {
            int calls = runsOf(playedId());
            boolean hasNotice = hasNotice(playedId());
            boolean isRightEnd = meaning.isForbidding()
                    ? calls == 1 && isRightNotice(hasNotice, processEnd)
                    : meaning == Meaning.DELIVERED
                            ? isRightAfterDelivery(calls, hasNotice, processEnd)
                            : isRightAfterFailure(calls, hasNotice, processEnd);
            return isRightEnd
                    ? null
                    : "cell " + number + ": " + meaning + ", " + fate + ", " + messageClass
                            + (mayBeRepetition ? ", may be a repetition: " : ", own: ") + calls + " calls, "
                            + (hasNotice ? "a notice" : "no notice") + ", played out "
                            + TimeUnit.NANOSECONDS.toMillis(playedNanos - answeredNanos) + " ms after the answer";
        }

        private boolean isRightNotice(boolean hasNotice, ProcessEnd processEnd) {
            if (meaning == Meaning.NO_ATTEMPTS_LEFT) {
                return hasNotice;
            }
            return processEnd != ProcessEnd.NONE || (fate == Fate.STAYS ? !hasNotice : isOwn() || hasNotice);
        }

        private boolean isRightAfterDelivery(int calls, boolean hasNotice, ProcessEnd processEnd) {
            if (fate == Fate.STAYS && processEnd == ProcessEnd.NONE || isOwn() && processEnd != ProcessEnd.KILLED) {
                return calls == 1 && !hasNotice;
            }
            if (fate == Fate.STAYS && endedNanos - answeredNanos >= MIN_CONFIRMATION_NANOS && calls == 1) {
                return true; // it may have been confirmed before the end of the process
            }
            return mayRepeat() ? calls > 1 || hasNotice || isOwn() : calls == 1 && (hasNotice || isOwn());
        }

        private boolean isRightAfterFailure(int calls, boolean hasNotice, ProcessEnd processEnd) {
            if (mayRepeat()) {
                // After a restart that took longer than the test assumes, the time may be up with the first call.
                boolean isLate = answeredNanos - endedNanos > TimeUnit.MILLISECONDS.toNanos(START_MILLIS);
                return calls > 1
                        || processEnd != ProcessEnd.NONE
                                && meaning == Meaning.NEVER_RAN
                                && isLate
                                && isDeferred(playedId());
            }
            boolean isWhole = fate == Fate.STAYS || fate == Fate.CONNECTION_ENDS || fate == Fate.FOLLOWED_BY_COPY;
            boolean neverRan = meaning == Meaning.NEVER_RAN && isWhole && (isOwn() || fate == Fate.STAYS);
            if (neverRan && processEnd != ProcessEnd.NONE) {
                return calls <= 2; // it was called again before the end, or counts as one that may have run
            }
            boolean isGivenUp = calls == 1 && hasNotice;
            if (neverRan && playsSecond && fate != Fate.STAYS) {
                return calls == 2 || isGivenUp; // other answers of the connection may wait for confirmation
            }
            return neverRan ? calls == 2 : isGivenUp;
        }
    }

    private List<Cell> cells() throws IOException {
        List<Cell> cells = new ArrayList<>();
        for (Meaning meaning : Meaning.values()) {
            for (Fate fate : Fate.values()) {
                for (String messageClass : List.of("status", "payment")) {
                    if (fate != Fate.FOLLOWED_BY_COPY) { // else all connections would rest before the second calls
                        cells.add(new Cell(cells.size(), meaning, fate, false, messageClass));
                    }
                    cells.add(new Cell(cells.size(), meaning, fate, true, messageClass));
                }
            }
        }
        return cells;
    }

    private String config(List<Cell> cells, Peer platform) {
        String list = "{\"index\":1,\"snapshot\":true,\"endpoints\":["
                + cells.stream().map(Cell::listEntry).collect(Collectors.joining(",")) + "]}";
        return ForwarderSetup.configText(platform.address(), state, null, 3)
                .replace("\"known\": null", "\"known\": " + list)
                .replace("\"callSlots\": 20, \"kindBatch\": [20]", "\"callSlots\": 400, \"kindBatch\": [1]")
                .replace("\"openCap\": 200", "\"openCap\": 1000");
    }

    private void endProcess(ProcessEnd processEnd, String config) throws IOException, InterruptedException {
        if (processEnd == ProcessEnd.NONE) {
            return;
        }
        if (processEnd == ProcessEnd.TERMINATED) {
            process.destroy();
            Thread.sleep(END_DELAY_MILLIS);
        }
        endedNanos = System.nanoTime();
        process.destroyForcibly().waitFor();
        startProcess(config, DESCRIPTORS);
        Thread.sleep(START_MILLIS);
    }

    /** A message whose endpoint had said 410 or 504 was called again where the answer was not confirmed, or was cut. */
    @ParameterizedTest
    @EnumSource
    void eachAnswerHoldsAsFarAsItIsCertain(ProcessEnd processEnd) throws Exception {
        List<Cell> cells = cells();
        String[] list = {""};
        try (Peer platform = Peer.platform(() -> list[0], notices)) {
            String config = config(cells, platform);
            list[0] = config.replaceAll("(?s).*\"known\": (\\{.*?]}).*", "$1");
            startProcess(config, DESCRIPTORS);
            for (String which : List.of("first", "second")) {
                for (Cell cell : cells) {
                    if (which.equals("first") || cell.playsSecond) {
                        cell.submit(which);
                    }
                }
            }
            Thread.sleep(KILL_DELAY_MILLIS);
            endProcess(processEnd, config);
            Thread.sleep((long) (DEADLINE_SECONDS * 1_000) + NOTICE_SLACK_MILLIS);
            assertEquals(
                    List.of(),
                    cells.stream()
                            .map(cell -> cell.problem(processEnd))
                            .filter(problem -> problem != null)
                            .toList());
        } finally {
            for (Cell cell : cells) {
                cell.endpoint.close();
            }
        }
    }

    /** The lines of a cut answer to a call of several said that messages are over; they were called again. */
    @Test
    void noCallFollowsAResultInACutAnswerThatEndsItsMessage() throws Exception {
        AtomicInteger batchCount = new AtomicInteger();
        Peer script = new Peer(wire -> {
            for (Request r = wire.readRequest(); r != null; r = wire.readRequest()) {
                boolean isBatch = r.path().equals("/receive-many");
                if (!isBatch && !r.headers().get("req-id").startsWith("member")) {
                    wire.writeResponse("429 Too Many Requests", "", "X-Retry-In-Ms: 500");
                } else if (!isBatch) {
                    run(r);
                    wire.writeResponse("200 OK", "");
                } else if (batchCount.getAndIncrement() == 0) {
                    memberIds(r).forEach(this::run);
                    wire.writeText("HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\nmember-0 expired\r\n"
                            + "member-1 no_more\r\nmember-2 accepted\r\nmember-3 expi");
                    Thread.sleep(END_DELAY_MILLIS);
                    return;
                } else {
                    memberIds(r).forEach(this::run);
                    wire.writeResponse(
                            "200 OK",
                            memberIds(r).stream()
                                    .map(id -> id + " accepted\r\n")
                                    .collect(Collectors.joining()));
                }
            }
        });
        try (Peer endpoint = script;
                Peer platform = Peer.platform("", notices)) {
            startProcess(ForwarderSetup.configText(platform.address(), state, endpoint.address(), 3)
                    .replace("\"kindBatch\": [20]", "\"kindBatch\": [8]"));
            submit("holding", "payment");
            Thread.sleep(END_DELAY_MILLIS);
            for (int i = 0; i < 4; i++) {
                submit("member-" + i, "status");
            }
            Thread.sleep((long) (DEADLINE_SECONDS * 1_000) + NOTICE_SLACK_MILLIS);
            assertTrue(batchCount.get() > 0, "no call of several was made");
            assertEquals(
                    List.of(1, 1, 2, 2),
                    IntStream.range(0, 4).mapToObj(i -> runsOf("member-" + i)).toList());
            assertTrue(hasNotice("member-0") && hasNotice("member-1"), "notices: " + notices);
        }
    }

    private static List<String> memberIds(Request batch) {
        return batch.body()
                .lines()
                .filter(line -> line.startsWith("member"))
                .map(line -> line.split(" ")[0])
                .toList();
    }
}
