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
final class Listeners {
    private static final long LOOK = 10_000;

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
            server = Ports.listen();
            port = server.getLocalPort();
            accept(server);
        }

        private void accept(ServerSocket from) {
            Threads.start("listener " + host, () -> {
                while (true) {
                    Socket socket = from.accept();
                    time.post(() -> accepted(socket));
                }
            });
        }

        private void accepted(Socket socket) {
            try {
                if (server == null) {
                    socket.setSoLinger(true, 0);
                    socket.close();
                    return;
                }
                world.auditor().service().addConnection();
                PartnerConnection c = new PartnerConnection(
                        world,
                        time,
                        new Wire(socket),
                        partner,
                        host,
                        forwarder,
                        partner.connect(host, forwarder),
                        connections::remove);
                connections.add(c);
                c.start();
            } catch (IOException e) {
                // it has gone already
            }
        }

        void shut() {
            try {
                server.close();
            } catch (IOException e) {
                troubles++;
            }
            server = null;
            List.copyOf(connections).forEach(PartnerConnection::cut);
        }

        void open() {
            try {
                server = Ports.listen(port);
                accept(server);
            } catch (IOException e) {
                troubles++; // somebody has taken its port: the partner seems down for longer than it is
            }
        }
    }

    private final World world;
    private final RealTime time;
    private final Map<String, Listener> listeners = new HashMap<>();
    private long troubles;

    Listeners(World world, RealTime time) {
        this.world = world;
        this.time = time;
    }

    /** Looks from now on, again and again, which partners are down. */
    void watch() {
        for (Listener l : listeners.values()) {
            boolean down = l.partner.isDown(time.now());
            if (down && l.server != null) {
                l.shut();
            } else if (!down && l.server == null) {
                l.open();
            }
        }
        time.after(LOOK, this::watch);
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
            listener.shut();
        }
    }

    /** What went wrong here. */
    long troubles() {
        return troubles;
    }

    /** Shuts all. */
    void close() {
        for (Listener l : new ArrayList<>(listeners.values())) {
            if (l.server != null) {
                l.shut();
            }
        }
        listeners.clear();
    }
}
