package lilaclever.simulation.sockets;

import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.concurrent.ThreadLocalRandom;

/**
 * Ports on the loopback interface for a run, outside of the range of ephemeral ports. A port that is closed, such as
 * that of a removed endpoint, would otherwise soon be given to another run, and forwarders that have not learned of the
 * removal would call there.
 */
final class LoopbackPorts {
    /** Ports in the range that is used. */
    static final int PORT_COUNT = 12_000;

    private static final int FIRST_PORT = 20_000, MAX_TRIES = 100, BACKLOG = 256;

    private LoopbackPorts() {}

    /** Listens on a free port. */
    static ServerSocket listen() throws IOException {
        for (int tries = 0; tries < MAX_TRIES; tries++) {
            try {
                return listen(FIRST_PORT + ThreadLocalRandom.current().nextInt(PORT_COUNT));
            } catch (BindException e) {
                continue; // the port is in use
            }
        }
        throw new IOException("no free port between " + FIRST_PORT + " and " + (FIRST_PORT + PORT_COUNT));
    }

    /** Listens on this port. */
    static ServerSocket listen(int port) throws IOException {
        ServerSocket s = new ServerSocket();
        try {
            s.setReuseAddress(true);
            s.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), BACKLOG);
            return s;
        } catch (IOException e) {
            s.close();
            throw e;
        }
    }

    /** An address on which no socket listens at present. */
    static InetSocketAddress unusedAddress() throws IOException {
        try (ServerSocket probe = listen()) {
            return new InetSocketAddress(InetAddress.getLoopbackAddress(), probe.getLocalPort());
        }
    }
}
