package lilaclever.program;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/** A scripted peer on a loopback socket: the script handles each connection on a thread of its own. */
final class Peer implements AutoCloseable {
    interface Script {
        void run(Wire wire) throws IOException, InterruptedException;
    }

    private final ServerSocket server = new ServerSocket(0, 100, InetAddress.getLoopbackAddress());

    Peer(Script script) throws IOException {
        startThread(() -> {
            while (true) {
                Wire wire = new Wire(server.accept());
                startThread(() -> {
                    try (wire) {
                        script.run(wire);
                    }
                });
            }
        });
    }

    private interface Task {
        void run() throws IOException, InterruptedException;
    }

    private static void startThread(Task task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (IOException | InterruptedException e) {
                // a closed socket ends the script
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    @Override
    public void close() throws IOException {
        server.close();
    }

    /**
     * A platform: answers requests for the whole list, collects notices and never answers watches. Where the list is
     * empty it gives the known list of the forwarder's configuration.
     */
    static Peer platform(String list, LinkedBlockingQueue<String> notices) throws IOException {
        return platform(() -> list.isEmpty() ? ForwarderSetup.knownList() : list, notices);
    }

    /** Gives the directory's list, and may block until it is available. */
    interface ListSource {
        String next() throws InterruptedException;
    }

    /** A platform whose list may become available later. */
    static Peer platform(ListSource lists, LinkedBlockingQueue<String> notices) throws IOException {
        return new Peer(wire -> {
            for (Request r = wire.readRequest(); r != null; r = wire.readRequest()) {
                if (r.path.equals("/status")) {
                    r.body.lines().forEach(notices::add);
                    wire.writeResponse("204 No Content", "");
                } else if (!r.path.contains("?")) {
                    wire.writeResponse("200 OK", lists.next());
                } // a watch is never answered, as nothing changes
            }
        });
    }

    static String take(LinkedBlockingQueue<String> queue) throws InterruptedException {
        String value = queue.poll(20, TimeUnit.SECONDS);
        if (value == null) {
            throw new AssertionError("nothing received in time");
        }
        return value;
    }

    record Request(String path, Map<String, String> headers, String body) {}

    /** One connection, as client or server, with what scripts send and receive. */
    static final class Wire extends lilaclever.simulation.sockets.StandInConnection {
        private static final int READ_TIMEOUT_MILLIS = 30_000;

        private final Socket socket;

        Wire(Socket socket) throws IOException {
            super(socket);
            this.socket = socket;
            setReadTimeout(READ_TIMEOUT_MILLIS);
        }

        static Wire connect(java.net.SocketAddress address) throws IOException {
            Socket socket = new Socket();
            socket.connect(address, 5_000);
            return new Wire(socket);
        }

        /** Waits until bytes have arrived, and leaves them unread in the socket. */
        void awaitUnread() throws Exception {
            for (int i = 0; i < READ_TIMEOUT_MILLIS && socket.getInputStream().available() == 0; i++) {
                Thread.sleep(1);
            }
            assertTrue(socket.getInputStream().available() > 0, "nothing has arrived");
        }

        /** Sends a line and returns the last line of the reply. */
        String sendCommand(String line) throws IOException {
            writeText(line + "\r\n");
            return readReply();
        }

        String readReply() throws IOException {
            String reply = readLine();
            while (reply != null && reply.length() > 3 && reply.charAt(3) == '-') {
                reply = readLine();
            }
            return reply;
        }

        /** The next request, or an answer with its status as the path; null at the end of the connection. */
        Request readRequest() throws IOException {
            HttpMessage head = readHttp();
            return head == null
                    ? null
                    : new Request(head.target(), head.headers(), new String(head.body(), StandardCharsets.ISO_8859_1));
        }

        /** Submits a message and returns the status and the headers of the answer. */
        String submit(String id, String messageClass, double deadline, String body) throws IOException {
            return submit(id, messageClass, 7, deadline, body);
        }

        String submit(String id, String messageClass, int destination, double deadline, String body)
                throws IOException {
            writeText("POST /api HTTP/1.1\r\nHost: app.svc\r\nReq-Id: " + id + "\r\nReq-Kind: " + messageClass
                    + "\r\nReq-Deadline: "
                    + deadline + "\r\nIdempotency-Key: k-" + id + "\r\nX-Envelope: dest=" + destination
                    + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
            Request answer = readRequest();
            return answer == null ? "closed" : answer.path + ' ' + answer.headers;
        }

        @Override
        public void close() {
            reset(); // resets the connection, as a dying process would
        }

        /** Closes the connection in order, as a client does that has read everything. */
        void closeInOrder() {
            super.close();
        }

        void readWithoutAnswering() throws IOException {
            while (readLine() != null) {
                continue; // reads everything, answers nothing
            }
        }
    }
}
