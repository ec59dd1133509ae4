package lilaclever.scale;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import lilaclever.simulation.sockets.StandInConnection;

/** Stand-in for the discovery agent of an idle forwarder: it never reports a change, and may misbehave. */
final class AgentStandIn implements AutoCloseable {
    /** How the agent answers calls. */
    enum Behaviour {
        ANSWERS,
        REFUSES,
        SILENT,
        UNREADABLE
    }

    private static final Pattern WAIT_MILLIS = Pattern.compile("wait_ms=(\\d+)");
    private static final String NO_CHANGE = "{\"index\":1,\"snapshot\":false,\"endpoints\":[]}";

    private final Behaviour behaviour;
    private final ServerSocket server;
    /** Bound to a port without listening, so that connections to it are refused. */
    private final Socket boundSocket;

    AgentStandIn(Behaviour behaviour) throws IOException {
        this.behaviour = behaviour;
        InetSocketAddress any = new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0);
        server = new ServerSocket();
        boundSocket = new Socket();
        if (behaviour == Behaviour.REFUSES) {
            boundSocket.bind(any);
        } else {
            server.bind(any);
            startDaemon(this::accept);
        }
    }

    String address() {
        return "127.0.0.1:" + (behaviour == Behaviour.REFUSES ? boundSocket.getLocalPort() : server.getLocalPort());
    }

    static void startDaemon(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = server.accept();
                startDaemon(() -> serve(socket));
            }
        } catch (IOException e) {
            // closed at the end of the run
        }
    }

    private void serve(Socket socket) {
        try (StandInConnection wire = new StandInConnection(socket)) {
            for (StandInConnection.HttpMessage call = wire.readHttp(); call != null; call = wire.readHttp()) {
                if (call.target().equals("/status")) {
                    wire.writeResponse("204 No Content", "");
                } else if (behaviour == Behaviour.UNREADABLE) {
                    wire.writeResponse("503 Service Unavailable", "");
                } else if (behaviour == Behaviour.ANSWERS) {
                    Matcher wait = WAIT_MILLIS.matcher(call.target());
                    Thread.sleep(wait.find() ? Long.parseLong(wait.group(1)) : 0);
                    wire.writeResponse("200 OK", NO_CHANGE);
                }
            }
        } catch (IOException | InterruptedException e) {
            // the forwarder has stopped
        }
    }

    @Override
    public void close() throws IOException {
        server.close();
        boundSocket.close();
    }
}
