package lilaclever.soak;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import lilaclever.program.StandInThreads;

/** Clients that connect and send nothing. They stay, or leave and come back all the time. */
final class IdleClients implements AutoCloseable {
    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;
    private static final int RETURN_MILLIS = 20;

    private final List<Socket> sockets = new ArrayList<>();
    private volatile boolean isClosed;

    /** Opens so many connections; those that the forwarder has no room for are left out. */
    void connect(InetSocketAddress address, int count, boolean isRestless) throws IOException {
        List<Socket> opened = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            opened.add(connect(address));
        }
        if (isRestless && count > 0) {
            StandInThreads.start("restless clients of " + address, () -> returnInTurn(address, opened));
        }
    }

    private Socket connect(InetSocketAddress address) throws IOException {
        Socket socket = new Socket();
        synchronized (sockets) {
            sockets.add(socket);
        }
        socket.connect(address, CONNECT_TIMEOUT_MILLIS);
        return socket;
    }

    /** Ends one connection after the other and opens it again; while the forwarder is away none is opened. */
    private void returnInTurn(InetSocketAddress address, List<Socket> opened) throws InterruptedException {
        for (int i = 0; !isClosed; i = (i + 1) % opened.size()) {
            Thread.sleep(RETURN_MILLIS);
            try {
                leave(opened.get(i));
                opened.set(i, connect(address));
            } catch (IOException e) {
                // the forwarder is away: the next one tries again
            }
        }
    }

    private void leave(Socket socket) throws IOException {
        synchronized (sockets) {
            sockets.remove(socket);
        }
        socket.close();
    }

    @Override
    public void close() throws IOException {
        isClosed = true;
        synchronized (sockets) {
            for (Socket socket : sockets) {
                socket.close();
            }
        }
    }
}
