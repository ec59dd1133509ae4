package lilaclever.simulation.sockets;

import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Ports on the loopback interface for a run, outside of the range of ephemeral ports. A port that is closed, such as
 * that of a removed endpoint, would otherwise soon be given to another run, and forwarders that have not learned of
 * the removal would call there. Ports are given out in a random order, and each again only after all others: an
 * address that is kept for later is not taken meanwhile.
 */
final class LoopbackPorts {
    /** Ports in the range that is used. */
    static final int PORT_COUNT = 12_000;

    private static final int FIRST_PORT = 20_000, MAX_TRIES = 100, BACKLOG = 256;

    private static final List<Integer> PORTS = shuffledPorts();
    private static final AtomicInteger GIVEN_OUT = new AtomicInteger();

    private LoopbackPorts() {}

    private static List<Integer> shuffledPorts() {
        List<Integer> ports = new ArrayList<>();
        for (int i = 0; i < PORT_COUNT; i++) {
            ports.add(FIRST_PORT + i);
        }
        Collections.shuffle(ports);
        return ports;
    }

    private static int nextPort() {
        return PORTS.get(Math.floorMod(GIVEN_OUT.getAndIncrement(), PORT_COUNT));
    }

    /** Listens on a free port. */
    static ServerSocket listen() throws IOException {
        for (int tries = 0; tries < MAX_TRIES; tries++) {
            try {
                return listen(nextPort());
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
