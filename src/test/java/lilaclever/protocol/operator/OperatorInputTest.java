package lilaclever.protocol.operator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import lilaclever.routing.Clock;
import lilaclever.routing.Core;
import lilaclever.routing.ManualDrains;
import lilaclever.routing.TestCore;
import lilaclever.simulation.sockets.StandInConnection;
import lilaclever.transport.InputProbe;
import lilaclever.transport.Transport;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** What callers of the operator port can queue for the event loop, which the tests hold meanwhile. */
class OperatorInputTest {
    private static final int CALLERS = 200;
    /** Tasks of timers and of the test. */
    private static final int OTHER_TASKS = 10;

    @TempDir
    private Path state;

    private Transport transport;
    private Core core;
    private InetSocketAddress address;
    private InputProbe probe;

    @BeforeEach
    void serve() throws Exception {
        transport = new Transport();
        core = TestCore.create(state, Clock.system());
        core.start(List.of(), 0);
        OperatorPort port = new OperatorPort(core, new ManualDrains(core, Set.of(), ids -> {}));
        address = (InetSocketAddress) port.listen(transport, new InetSocketAddress("127.0.0.1", 0));
        probe = new InputProbe(core, transport);
    }

    @AfterEach
    void stop() throws Exception {
        probe.close();
        core.stop();
        transport.close();
    }

    private StandInConnection connectAndSend(String command) throws IOException {
        StandInConnection caller = new StandInConnection(new Socket(address.getAddress(), address.getPort()));
        caller.setReadTimeout(20_000);
        caller.writeText(command);
        return caller;
    }

    /** Guards against callers that connect, send a command or none, and leave tasks for the event loop behind. */
    @Test
    @Timeout(60)
    void callersThatHaveLeftLeaveTasksWithinTheBound() throws Exception {
        probe.blockLoop();
        for (int i = 0; i < CALLERS; i++) {
            connectAndSend(i % 2 == 0 ? "STATUS\r\n" : "").close();
        }
        probe.awaitSelections();
        int queued = probe.counter("entries_tasks");
        assertTrue(queued <= OperatorPort.MAX_CONNECTIONS + OTHER_TASKS, "queued: " + queued);
        probe.releaseAndAwaitTasks();
        try (StandInConnection caller = connectAndSend("STATUS\r\n")) {
            assertEquals("200 ready", caller.readLine());
        }
    }
}
