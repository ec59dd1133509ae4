package lilaclever.protocol.operator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Set;
import lilaclever.routing.ManualDrains;
import lilaclever.simulation.sockets.StandInConnection;
import lilaclever.transport.InputFixture;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** What callers of the operator port can queue for the event loop, which the tests hold meanwhile. */
class OperatorInputTest extends InputFixture {
    private static final int CALLERS = 200;

    @BeforeEach
    void serve() throws Exception {
        core.start(List.of(), 0);
        OperatorPort port = new OperatorPort(core, new ManualDrains(core, Set.of(), ids -> {}));
        address = (InetSocketAddress) port.listen(transport, new InetSocketAddress("127.0.0.1", 0));
    }

    /** Guards against callers that connect, send a command or none, and leave tasks for the event loop behind. */
    @Test
    @Timeout(60)
    void callersThatHaveLeftLeaveTasksWithinTheBound() throws Exception {
        int queued = tasksLeftByConnections(CALLERS, "STATUS\r\n", "");
        assertTrue(queued <= OperatorPort.MAX_CONNECTIONS + OTHER_TASKS, "queued: " + queued);
        probe.releaseAndAwaitTasks();
        try (StandInConnection caller = open()) {
            caller.writeText("STATUS\r\n");
            assertEquals("200 ready", caller.readLine());
        }
    }
}
