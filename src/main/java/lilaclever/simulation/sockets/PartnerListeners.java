package lilaclever.simulation.sockets;

import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import lilaclever.simulation.model.Partner;
import lilaclever.simulation.world.World;

/**
 * The partners' listening sockets: one for each pair of endpoint and forwarder, so that the caller is known. While a
 * partner is down its listeners are closed, and its connections are reset. Everything runs on the timeline's thread,
 * except for accepting connections and reading from them.
 */
final class PartnerListeners {
    private static final long POLL_INTERVAL_MICROS = 10_000;

    private final class Listener {
        final Partner partner;
        final String host;
        final int forwarder, port;
        final Set<PartnerConnection> connections = new HashSet<>();
        ServerSocket server;

        Listener(Partner partner, String host, int forwarder) throws IOException {
            this.partner = partner;
            this.host = host;
            this.forwarder = forwarder;
            server = LoopbackPorts.listen();
            port = server.getLocalPort();
            startAccepting(server);
        }

        private void startAccepting(ServerSocket listening) {
            SocketThreads.start("listener " + host, () -> {
                while (true) {
                    Socket socket = listening.accept();
                    timeline.post(() -> onAccepted(socket));
                }
            });
        }

        private void onAccepted(Socket socket) {
            try {
                if (server == null) {
                    socket.setSoLinger(true, 0);
                    socket.close();
                    return;
                }
                world.auditor().service().addConnection();
                PartnerConnection connection = new PartnerConnection(
                        world,
                        timeline,
                        new StandInConnection(socket),
                        partner,
                        host,
                        forwarder,
                        partner.connect(host, forwarder),
                        connections::remove);
                connections.add(connection);
                connection.start();
            } catch (IOException e) {
                // the forwarder has already closed the connection
            }
        }

        void closeAndReset() {
            try {
                server.close();
            } catch (IOException e) {
                errorCount++;
            }
            server = null;
            List.copyOf(connections).forEach(PartnerConnection::reset);
        }

        void reopen() {
            try {
                server = LoopbackPorts.listen(port);
                startAccepting(server);
            } catch (IOException e) {
                errorCount++; // another process took the port: the partner seems down for longer than planned
            }
        }
    }

    private final World world;
    private final RealTimeline timeline;
    private final Map<String, Listener> listeners = new HashMap<>();
    private long errorCount;

    PartnerListeners(World world, RealTimeline timeline) {
        this.world = world;
        this.timeline = timeline;
    }

    /** Polls from now on which partners are down, and closes or reopens their listeners. */
    void pollOutages() {
        for (Listener listener : listeners.values()) {
            boolean isDown = listener.partner.isDown(timeline.nowMicros());
            if (isDown && listener.server != null) {
                listener.closeAndReset();
            } else if (!isDown && listener.server == null) {
                listener.reopen();
            }
        }
        timeline.after(POLL_INTERVAL_MICROS, this::pollOutages);
    }

    /** The address at which this forwarder reaches the endpoint; opens its listener if there is none yet. */
    String address(Partner partner, String host, int forwarder) {
        Listener listener = listeners.computeIfAbsent(host + ' ' + forwarder, k -> {
            try {
                return new Listener(partner, host, forwarder);
            } catch (IOException e) {
                throw new java.io.UncheckedIOException("cannot listen for a partner's endpoint", e);
            }
        });
        return "127.0.0.1:" + listener.port;
    }

    /** Closes the listener of an endpoint that left the directory, and resets its connections. */
    void remove(String host, int forwarder) {
        Listener listener = listeners.remove(host + ' ' + forwarder);
        if (listener != null && listener.server != null) {
            listener.closeAndReset();
        }
    }

    /** The number of failures to close or reopen a listener. */
    long errorCount() {
        return errorCount;
    }

    /** Closes all listeners and resets their connections. */
    void close() {
        for (Listener listener : new ArrayList<>(listeners.values())) {
            if (listener.server != null) {
                listener.closeAndReset();
            }
        }
        listeners.clear();
    }
}
