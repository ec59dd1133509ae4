package lilaclever.soak;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;

/** Clients that connect, send nothing and stay. */
final class IdleClients implements AutoCloseable {
    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;

    private final List<Socket> sockets = new ArrayList<>();

    /** Opens so many connections; those that the forwarder has no room for are left out. */
    void connect(InetSocketAddress address, int count) throws IOException {
        for (int i = 0; i < count; i++) {
            Socket socket = new Socket();
            sockets.add(socket);
            socket.connect(address, CONNECT_TIMEOUT_MILLIS);
        }
    }

    @Override
    public void close() throws IOException {
        for (Socket socket : sockets) {
            socket.close();
        }
    }
}
