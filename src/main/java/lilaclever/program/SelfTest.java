package lilaclever.program;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import lilaclever.conf.ConfigurationException;

/**
 * Checks that the program can start and deliver on this machine: a forwarder with a built-in configuration delivers one
 * message over the loopback to a peer that acts as discovery service and endpoint. The build runs it too, to record
 * the classes that a start loads: with a class data archive of them a start takes half the processor time.
 */
final class SelfTest {
    private static final String CONFIG = """
            {"name": "selftest", "listen": "127.0.0.1:0", "discovery": "%1$s", "state": "%2$s", "seed": "1",
             "known": %3$s,
             "settings": {"roundS": 0.005, "groupSize": 1, "shapes": ["any"], "zones": ["z"],
              "familyInfo": {"callSlots": 4, "kindBatch": [1], "ownLimits": [false]},
              "limits": {"maxAttempts": 2, "openCap": 10, "connectTimeoutS": 1.5, "keepaliveS": 15},
              "requestClasses": [{"name": "any", "aimS": 1, "deadlineS": 5, "repeat": "read_like"}],
              "rules": {"answerSlackS": 0.02, "coldFrom": 0.2, "tipMultiple": 1.5, "rampTimeS": 9, "overloadForS": 3,
               "drainGraceS": 0.5, "askWithinS": 10}}}""";
    private static final String ENDPOINT_LIST = """
            {"index": 1, "snapshot": true, "endpoints": [{"name": "peer", "address": "%s", "zone": "z", "type": "any",
             "group": 1, "status": "active"}]}""";

    private final CountDownLatch delivered = new CountDownLatch(1);
    private final ServerSocket peer;
    private final String endpointList;

    private SelfTest() throws IOException {
        peer = new ServerSocket(0, 5, InetAddress.getByName("127.0.0.1"));
        endpointList = ENDPOINT_LIST.formatted(peerAddress());
    }

    private String peerAddress() {
        return "127.0.0.1:" + peer.getLocalPort();
    }

    /** Returns the exit code. */
    static int run() throws IOException, InterruptedException, ConfigurationException {
        Path state = Files.createTempDirectory("lilaclever");
        try {
            boolean good = new SelfTest().deliversMessage(state);
            System.out.println("selftest: " + (good ? "a message went through" : "no message came through"));
            return good ? 0 : 1;
        } finally {
            try (Stream<Path> files = Files.walk(state)) {
                files.sorted(Comparator.reverseOrder()).forEach(f -> f.toFile().delete());
            }
        }
    }

    private boolean deliversMessage(Path state) throws IOException, InterruptedException, ConfigurationException {
        Thread accepting = new Thread(this::acceptConnections, "peer");
        accepting.setDaemon(true);
        accepting.start();
        Forwarder forwarder =
                Forwarder.start(Config.parse(CONFIG.formatted(peerAddress(), state, endpointList), Map.of()), null);
        Signals.onHangup(() -> {});
        try (Socket client = new Socket()) {
            client.connect(forwarder.addresses().get(0), 5_000);
            client.getOutputStream()
                    .write(("POST /api HTTP/1.1\r\nReq-Id: 1\r\nReq-Kind: any\r\nReq-Deadline: 5\r\n"
                                    + "X-Envelope: dest=1\r\nContent-Length: 2\r\n\r\nhi")
                            .getBytes(StandardCharsets.US_ASCII));
            return reader(client).readLine().contains(" 202 ") && delivered.await(5, TimeUnit.SECONDS);
        }
    }

    private void acceptConnections() {
        try {
            while (true) {
                Socket socket = peer.accept();
                Thread connection = new Thread(() -> serveConnection(socket), "talk");
                connection.setDaemon(true);
                connection.start();
            }
        } catch (IOException e) {
            System.err.println("selftest: " + e);
        }
    }

    private void serveConnection(Socket socket) {
        try (socket) {
            BufferedReader in = reader(socket);
            for (String requestLine = in.readLine(); requestLine != null; requestLine = in.readLine()) {
                int length = 0;
                for (String header = in.readLine(); header != null && !header.isEmpty(); header = in.readLine()) {
                    length = header.startsWith("Content-Length: ") ? Integer.parseInt(header.substring(16)) : length;
                }
                in.skip(length);
                boolean isWatch = requestLine.startsWith("GET") && requestLine.contains("wait_ms");
                if (!isWatch) { // a watch is never answered: the list does not change
                    String body = requestLine.startsWith("GET") ? endpointList : "";
                    socket.getOutputStream()
                            .write(("HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body)
                                    .getBytes(StandardCharsets.US_ASCII));
                }
                if (requestLine.startsWith("POST /receive ")) {
                    delivered.countDown();
                }
            }
        } catch (IOException e) {
            System.err.println("selftest: " + e);
        }
    }

    private static BufferedReader reader(Socket socket) throws IOException {
        return new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
    }
}
