package lilaclever.program;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/** A scripted peer on a loopback socket: each connection is talked to by the script on a thread of its own. */
final class Peer implements AutoCloseable {
    interface Script {
        void talk(Wire wire) throws IOException, InterruptedException;
    }

    private final ServerSocket server = new ServerSocket(0, 100, InetAddress.getLoopbackAddress());

    Peer(Script script) throws IOException {
        start(() -> {
            while (true) {
                Wire wire = new Wire(server.accept());
                start(() -> {
                    try (wire) {
                        script.talk(wire);
                    }
                });
            }
        });
    }

    private interface Task {
        void run() throws IOException, InterruptedException;
    }

    private static void start(Task task) {
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

    /** A platform: answers the directory's list, keeps notices, and hangs watches. */
    static Peer platform(String list, LinkedBlockingQueue<String> notices) throws IOException {
        return new Peer(wire -> {
            for (Request r = wire.request(); r != null; r = wire.request()) {
                if (r.path.equals("/status")) {
                    r.body.lines().forEach(notices::add);
                    wire.answer("204 No Content", "");
                } else if (!r.path.contains("?")) {
                    wire.answer("200 OK", list);
                } // a watch: nothing ever changes
            }
        });
    }

    static String next(LinkedBlockingQueue<String> queue) throws InterruptedException {
        String value = queue.poll(20, TimeUnit.SECONDS);
        if (value == null) {
            throw new AssertionError("nothing came");
        }
        return value;
    }

    record Request(String path, Map<String, String> headers, String body) { }

    /** One connection, either side of it. */
    static final class Wire implements AutoCloseable {
        private final Socket socket;
        private final InputStream in;
        private final OutputStream out;

        Wire(Socket socket) throws IOException {
            this.socket = socket;
            socket.setSoTimeout(30_000);
            in = new BufferedInputStream(socket.getInputStream());
            out = socket.getOutputStream();
        }

        static Wire to(java.net.SocketAddress address) throws IOException {
            Socket socket = new Socket();
            socket.connect(address, 5_000);
            return new Wire(socket);
        }

        /** The next line, or null at the end. */
        String line() throws IOException {
            ByteArrayOutputStream line = new ByteArrayOutputStream();
            for (int c = in.read(); c >= 0; c = in.read()) {
                if (c == '\n') {
                    return line.toString(StandardCharsets.ISO_8859_1).replace("\r", "");
                }
                line.write(c);
            }
            return null;
        }

        void say(String text) throws IOException {
            out.write(text.getBytes(StandardCharsets.ISO_8859_1));
            out.flush();
        }

        /** Says a line and gives the last line of the reply. */
        String ask(String line) throws IOException {
            say(line + "\r\n");
            return reply();
        }

        String reply() throws IOException {
            String reply = line();
            while (reply != null && reply.length() > 3 && reply.charAt(3) == '-') {
                reply = line();
            }
            return reply;
        }

        Request request() throws IOException {
            String first = line();
            if (first == null) {
                return null;
            }
            Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
            for (String h = line(); h != null && !h.isEmpty(); h = line()) {
                headers.put(h.substring(0, h.indexOf(':')), h.substring(h.indexOf(':') + 1).strip());
            }
            byte[] body = in.readNBytes(Integer.parseInt(headers.getOrDefault("content-length", "0")));
            return new Request(first.split(" ").length > 1 ? first.split(" ")[1] : first, headers,
                    new String(body, StandardCharsets.ISO_8859_1));
        }

        void answer(String status, String body, String... headers) throws IOException {
            StringBuilder all = new StringBuilder("HTTP/1.1 " + status + "\r\n");
            for (String h : headers) {
                all.append(h).append("\r\n");
            }
            say(all + (status.startsWith("204") ? "" : "Content-Length: " + body.length() + "\r\n") + "\r\n" + body);
        }

        /** Sends a message in a frame of MLLP. */
        void frame(String message) throws IOException {
            say("\u000b" + message + "\u001c\r");
        }

        /** The next message in a frame, or null at the end. */
        String frame() throws IOException {
            ByteArrayOutputStream message = new ByteArrayOutputStream();
            for (int c = in.read(); c >= 0; c = in.read()) {
                if (c == 0x1c) {
                    in.read();
                    return message.toString(StandardCharsets.ISO_8859_1).substring(1);
                }
                message.write(c);
            }
            return null;
        }

        /** Hands a message in and gives the answer's first line and headers. */
        String handIn(String id, String kind, double deadline, String body) throws IOException {
            return handIn(id, kind, 7, deadline, body);
        }

        String handIn(String id, String kind, int destination, double deadline, String body) throws IOException {
            say("POST /api HTTP/1.1\r\nHost: app.svc\r\nReq-Id: " + id + "\r\nReq-Kind: " + kind + "\r\nReq-Deadline: "
                    + deadline + "\r\nIdempotency-Key: k-" + id + "\r\nX-Envelope: dest=" + destination
                    + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
            Request answer = request();
            return answer == null ? "closed" : answer.path + ' ' + answer.headers;
        }

        @Override
        public void close() throws IOException {
            socket.setSoLinger(true, 0); // a dying process resets its connections
            socket.close();
        }

        /** True if the other side has not closed it; only where nothing is expected from there now. */
        boolean isOpen() {
            try {
                socket.setSoTimeout(1);
                return in.read() >= 0;
            } catch (java.net.SocketTimeoutException e) {
                return true;
            } catch (IOException e) {
                return false;
            } finally {
                try {
                    socket.setSoTimeout(30_000);
                } catch (IOException e) {
                    // closed on this side
                }
            }
        }

        void hang() throws IOException {
            while (line() != null) {
                continue; // takes everything, says nothing
            }
        }
    }
}
