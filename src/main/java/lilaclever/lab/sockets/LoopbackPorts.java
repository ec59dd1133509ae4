package lilaclever.lab.sockets;

import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.concurrent.ThreadLocalRandom;

/**
 * Ports for a run, on the loopback: none of those that the system gives to whoever asks for any. A port that is given
 * up, such as that of an endpoint that is gone, would otherwise be another run's a moment later, and callers that have
 * not heard would call there.
 */
final class LoopbackPorts {
    /** How many there are. */
    static final int PORT_COUNT = 12_000;

    private static final int FIRST_PORT = 20_000, MAX_TRIES = 100, BACKLOG = 256;

    private LoopbackPorts() {}

    /** Listens at a port that was free. */
    static ServerSocket listen() throws IOException {
        for (int tries = 0; tries < MAX_TRIES; tries++) {
            try {
                return listen(FIRST_PORT + ThreadLocalRandom.current().nextInt(PORT_COUNT));
            } catch (BindException e) {
                continue; // taken
            }
        }
        throw new IOException("no free port between " + FIRST_PORT + " and " + (FIRST_PORT + PORT_COUNT));
    }

    /** Listens at this port. */
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

    /** An address that nobody listens at now. */
    static InetSocketAddress unusedAddress() throws IOException {
        try (ServerSocket probe = listen()) {
            return new InetSocketAddress(InetAddress.getLoopbackAddress(), probe.getLocalPort());
        }
    }
}
