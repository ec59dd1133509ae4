package lilaclever.simulation.sockets;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** The ports that a rehearsal over sockets uses. */
class LoopbackPortsTest {
    private static final int COUNT = 1_000;

    /** Guards against an address that is kept for a forwarder and given to a stand-in before the forwarder listens. */
    @Test
    void unusedAddressIsNotGivenOutAgainSoon() throws Exception {
        Set<Integer> ports = new HashSet<>();
        for (int i = 0; i < COUNT; i++) {
            int port = LoopbackPorts.unusedAddress().getPort();
            assertTrue(ports.add(port), "given out twice: " + port);
        }
    }
}
