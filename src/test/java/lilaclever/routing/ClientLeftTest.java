package lilaclever.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import lilaclever.DecisionModule;
import lilaclever.DecisionModule.AttemptResult;
import lilaclever.DecisionModule.Presence;
import lilaclever.identity.Identity;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Messages whose client leaves before their acceptance is told to it. */
class ClientLeftTest {
    private static final long SECOND_MICROS = 1_000_000, ROUND_MICROS = 5_000;
    private static final int DESTINATION = 7;
    private static final String IDENTITY = new Identity("north", "order-1").text();

    @TempDir
    private Path state;

    private final ManualClock clock = new ManualClock(SECOND_MICROS);
    private final List<Call> started = new ArrayList<>();
    private final List<String> finalStatuses = new ArrayList<>();
    private final Front http = new RecordingFront("http");
    private final Front mllp = new RecordingFront("mllp");
    private Core core;

    /** Starts calls that the test ends; what is handed to it can't be taken back. */
    private final class StartedCalls implements Deliverer {
        @Override
        public void start(Call call) {
            started.add(call);
        }

        @Override
        public void abort(Call call) {}

        @Override
        public void cancelUnsent(Call call) {}

        @Override
        public void closeIdle(Call.Endpoint endpoint) {}

        @Override
        public void probe(Call.Endpoint endpoint) {}
    }

    /** Records the final statuses that its clients are told. */
    private final class RecordingFront implements Front {
        private final String name;

        RecordingFront(String name) {
            this.name = name;
        }

        @Override
        public String name() {
            return name;
        }

        @Override
        public void onAccepted(Message message) {}

        @Override
        public void onRejected(Message message, FinalStatus status) {
            finalStatuses.add(name + ' ' + message.id() + ' ' + status.kind());
        }

        @Override
        public void onFinalStatus(Message message, String id, FinalStatus status, Runnable settled) {
            finalStatuses.add(name + ' ' + id + ' ' + status.kind());
            settled.run();
        }
    }

    @BeforeEach
    void start() throws Exception {
        core = TestCore.create(state, clock);
        core.add(http);
        core.add(mllp);
        Core.ListedEndpoint endpoint = new Core.ListedEndpoint(
                new DecisionModule.EndpointEntry("e1", DESTINATION, 0, 0, Presence.ACTIVE, 1, 0),
                new Call.Endpoint("e1", "127.0.0.1:9", DESTINATION, 0, 1, false, new StartedCalls()));
        core.runFirstTurn(List.of(endpoint), 1);
    }

    private Message submit(Front front, String id, String identity) {
        Message message = core.submit(
                front,
                new Submission(
                        id,
                        identity,
                        new ClassVersion(1, TestCore.UNSAFE_CLASS, paymentClass()),
                        DESTINATION,
                        null,
                        new byte[] {1},
                        false,
                        false,
                        20 * SECOND_MICROS));
        runTurn();
        return message;
    }

    private static DecisionModule.MessageClass paymentClass() {
        try {
            return TestCore.settings().classes().get(1);
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }

    private void runTurn() {
        clock.nowMicros += ROUND_MICROS;
        core.runTurn();
    }

    private void endCall(Message message, AttemptResult result) {
        core.attemptEnded(started.get(started.size() - 1), message, result, 0, false, false);
        runTurn();
    }

    /** A payment ran twice: its client left while its call was out, and the same message came on another port. */
    @Test
    void messageIsKnownAgainOnAnotherPortWhileItsCallIsOut() {
        Message message = submit(http, "m", IDENTITY);
        core.withdrawSubmitter(message, http, "m");
        runTurn();
        assertEquals(message, submit(mllp, "m2", IDENTITY));
        assertEquals(1, started.size());
        endCall(message, AttemptResult.DELIVERED);
        assertEquals(List.of("mllp m2 DELIVERED"), finalStatuses);
    }

    /** A payment ran twice: its client left while its call was out, which ended before the message came again. */
    @Test
    void endIsRememberedOfAMessageWhoseClientHasLeft() {
        Message message = submit(http, "m", IDENTITY);
        core.withdrawSubmitter(message, http, "m");
        endCall(message, AttemptResult.TIMED_OUT);
        submit(mllp, "m2", IDENTITY);
        assertEquals(1, started.size());
        assertEquals(List.of("mllp m2 FAILED"), finalStatuses);
    }

    /** An id without an identity ran twice when it came again on a new connection of its client. */
    @Test
    void idIsKnownAgainAfterItsClientHasLeft() {
        Message message = submit(http, "m", null);
        core.withdrawSubmitter(message, http, "m");
        runTurn();
        assertEquals(message, submit(http, "m", null));
        assertEquals(1, started.size());
        endCall(message, AttemptResult.TIMED_OUT);
        assertEquals(List.of("http m FAILED"), finalStatuses, "the client that came again is owed the end, once");
        submit(http, "m", null);
        assertEquals(1, started.size());
    }

    /** The client that came again under its own id was recorded twice, and would be told twice after a restart. */
    @Test
    void clientThatComesAgainUnderItsIdIsOwedOneEnd() {
        Message message = submit(http, "m", IDENTITY);
        core.withdrawSubmitter(message, http, "m");
        assertEquals(message, submit(http, "m", IDENTITY));
        endCall(message, AttemptResult.TIMED_OUT);
        assertEquals(List.of("http m FAILED"), finalStatuses);
    }

    /** A refusal that may be the copy of an earlier one does not show that the message never ran. */
    @Test
    void messageIsKeptWhileItsRefusalIsNotConfirmed() {
        Message message = submit(http, "m", IDENTITY);
        core.answers().received(started.get(0), message, Answer.failure(AttemptResult.FULL), false, 0);
        core.withdrawSubmitter(message, http, "m");
        runTurn();
        assertTrue(message.isOpen());
        core.answers().refuted(started.get(0), Refutation.BY_CLOSE);
        runTurn();
        submit(mllp, "m2", IDENTITY);
        assertEquals(1, started.size());
    }

    /** A permanent refusal has to hold for the message's identity, though it never ran. */
    @Test
    void rejectionIsRememberedOfAMessageWhoseClientHasLeft() {
        Message message = submit(http, "m", IDENTITY);
        core.withdrawSubmitter(message, http, "m");
        core.answers().received(started.get(0), message, Answer.REJECTED, true, 0);
        runTurn();
        submit(mllp, "m2", IDENTITY);
        assertEquals(1, started.size());
        assertEquals(List.of("mllp m2 FAILED"), finalStatuses);
    }

    /** What surely never ran is not sent for a client that has left. */
    @Test
    void messageIsWithdrawnOnceItsCallIsKnownNotToHaveRun() {
        Message message = submit(http, "m", IDENTITY);
        core.withdrawSubmitter(message, http, "m");
        endCall(message, AttemptResult.FULL);
        assertFalse(message.isOpen());
        clock.nowMicros += SECOND_MICROS;
        runTurn();
        assertEquals(1, started.size());
        assertEquals(1, core.counters().get(Counters.Name.WITHDRAWN));
    }
}
