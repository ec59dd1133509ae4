package lilaclever.lab.sockets;

import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import lilaclever.lab.model.Partner;
import lilaclever.lab.world.World;

/**
 * The partners' listening sockets: one for each endpoint and forwarder, so that it is known who calls. While a partner
 * is down they are closed, and its connections are reset. All but the threads that wait for connections and bytes runs
 * on the timeline's thread.
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
                world.auditor().service().connection();
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
                // it has gone already
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
                errorCount++; // somebody has taken its port: the partner seems down for longer than it is
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

    /** Looks from now on, again and again, which partners are down. */
    void pollOutages() {
        for (Listener listener : listeners.values()) {
            boolean down = listener.partner.isDown(timeline.nowMicros());
            if (down && listener.server != null) {
                listener.closeAndReset();
            } else if (!down && listener.server == null) {
                listener.reopen();
            }
        }
        timeline.after(POLL_INTERVAL_MICROS, this::pollOutages);
    }

    /** Where a forwarder finds an endpoint. */
    String address(Partner partner, String host, int forwarder) {
        Listener listener = listeners.computeIfAbsent(host + ' ' + forwarder, k -> {
            try {
                return new Listener(partner, host, forwarder);
            } catch (IOException e) {
                throw new java.io.UncheckedIOException("no port for a partner's endpoint", e);
            }
        });
        return "127.0.0.1:" + listener.port;
    }

    /** An endpoint is gone. */
    void remove(String host, int forwarder) {
        Listener listener = listeners.remove(host + ' ' + forwarder);
        if (listener != null && listener.server != null) {
            listener.closeAndReset();
        }
    }

    /** What went wrong here. */
    long errorCount() {
        return errorCount;
    }

    /** Shuts all. */
    void close() {
        for (Listener listener : new ArrayList<>(listeners.values())) {
            if (listener.server != null) {
                listener.closeAndReset();
            }
        }
        listeners.clear();
    }
}
