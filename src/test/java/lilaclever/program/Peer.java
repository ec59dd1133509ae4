package lilaclever.program;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/** A scripted peer on a loopback socket: each connection is talked to by the script on a thread of its own. */
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
                // a closed socket ends a script
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
     * A platform: answers the directory's list, keeps notices, and hangs watches. Where the list is empty all is as the
     * forwarder's configuration has it.
     */
    static Peer platform(String list, LinkedBlockingQueue<String> notices) throws IOException {
        return platform(() -> list.isEmpty() ? ForwarderSetup.knownList() : list, notices);
    }

    /** Gives the directory's list once it is to be told. */
    interface ListSource {
        String next() throws InterruptedException;
    }

    /** The same whose list may come later. */
    static Peer platform(ListSource lists, LinkedBlockingQueue<String> notices) throws IOException {
        return new Peer(wire -> {
            for (Request r = wire.readRequest(); r != null; r = wire.readRequest()) {
                if (r.path.equals("/status")) {
                    r.body.lines().forEach(notices::add);
                    wire.answer("204 No Content", "");
                } else if (!r.path.contains("?")) {
                    wire.answer("200 OK", lists.next());
                } // a watch: nothing ever changes, and it is silent
            }
        });
    }

    static String take(LinkedBlockingQueue<String> queue) throws InterruptedException {
        String value = queue.poll(20, TimeUnit.SECONDS);
        if (value == null) {
            throw new AssertionError("nothing came");
        }
        return value;
    }

    record Request(String path, Map<String, String> headers, String body) {}

    /** One connection, either side of it: the stand-ins' own, with what scripts say and ask. */
    static final class Wire extends lilaclever.lab.sockets.Wire {
        private static final int READ_TIMEOUT_MILLIS = 30_000;

        Wire(Socket socket) throws IOException {
            super(socket);
            patience(READ_TIMEOUT_MILLIS);
        }

        static Wire connect(java.net.SocketAddress address) throws IOException {
            Socket socket = new Socket();
            socket.connect(address, 5_000);
            return new Wire(socket);
        }

        /** Says a line and gives the last line of the reply. */
        String sendCommand(String line) throws IOException {
            say(line + "\r\n");
            return readReply();
        }

        String readReply() throws IOException {
            String reply = line();
            while (reply != null && reply.length() > 3 && reply.charAt(3) == '-') {
                reply = line();
            }
            return reply;
        }

        /** The next request, or an answer with its status as the path; null at the end. */
        Request readRequest() throws IOException {
            Head head = read();
            return head == null
                    ? null
                    : new Request(head.target(), head.headers(), new String(head.body(), StandardCharsets.ISO_8859_1));
        }

        /** Hands a message in and gives the answer's first line and headers. */
        String submit(String id, String kind, double deadline, String body) throws IOException {
            return submit(id, kind, 7, deadline, body);
        }

        String submit(String id, String kind, int destination, double deadline, String body) throws IOException {
            say("POST /api HTTP/1.1\r\nHost: app.svc\r\nReq-Id: " + id + "\r\nReq-Kind: " + kind + "\r\nReq-Deadline: "
                    + deadline + "\r\nIdempotency-Key: k-" + id + "\r\nX-Envelope: dest=" + destination
                    + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
            Request answer = readRequest();
            return answer == null ? "closed" : answer.path + ' ' + answer.headers;
        }

        @Override
        public void close() {
            reset(); // as a dying process would
        }

        void readWithoutAnswering() throws IOException {
            while (line() != null) {
                continue; // takes everything, says nothing
            }
        }
    }
}
