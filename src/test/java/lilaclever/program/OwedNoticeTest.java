package lilaclever.program;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.LinkedBlockingQueue;
import lilaclever.program.Peer.Request;
import lilaclever.program.Peer.Wire;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Notices that the platform does not confirm for long. */
class OwedNoticeTest {
    private static final int FAILED_MESSAGES = 24;

    @TempDir
    private Path state;

    private final LinkedBlockingQueue<String> notices = new LinkedBlockingQueue<>();
    private volatile boolean confirmsNotices;

    private Peer platform() throws Exception {
        return new Peer(wire -> {
            for (Request r = wire.readRequest(); r != null; r = wire.readRequest()) {
                if (r.path().equals("/status")) {
                    if (!confirmsNotices) {
                        return;
                    }
                    r.body().lines().forEach(notices::add);
                    wire.writeResponse("204 No Content", "");
                } else if (!r.path().contains("?")) {
                    wire.writeResponse("200 OK", ForwarderSetup.knownList());
                }
            }
        });
    }

    /** Guards against messages that are turned away since the notices owed to the platform fill the journal. */
    @Test
    void noticesThatAreOwedTakeNoRoomFromOtherMessages() throws Exception {
        try (Peer platform = platform();
                Peer endpoint = new Peer(wire -> {
                    for (Request r = wire.readRequest(); r != null; r = wire.readRequest()) {
                        if (r.body().startsWith("x")) {
                            return; // it may have run, so a payment fails
                        }
                        wire.writeResponse("200 OK", "");
                    }
                })) {
            Config config = Config.parse(
                    ForwarderSetup.configText(platform.address(), state, endpoint.address(), 0.3)
                            .replace("\"kindBatch\": [20]", "\"kindBatch\": [1]"),
                    Map.of());
            Forwarder forwarder = Forwarder.start(config, null);
            try (Wire client = Wire.connect(forwarder.addresses().get(0))) {
                for (int i = 0; i < FAILED_MESSAGES; i++) {
                    // One that is delivered after each that fails keeps the endpoint from being considered down.
                    for (String body : new String[] {"x".repeat(30_000), "delivered"}) {
                        String answer = client.submit("m" + i + body.charAt(0), "payment", 20, body);
                        assertTrue(answer.startsWith("202"), "message " + i + ": " + answer);
                        awaitEnd(forwarder);
                    }
                }
            }
            confirmsNotices = true;
            Set<String> told = new TreeSet<>();
            while (told.size() < FAILED_MESSAGES) {
                told.add(Peer.take(notices));
            }
            forwarder.stop();
        }
    }

    private static void awaitEnd(Forwarder forwarder) throws Exception {
        long until = System.nanoTime() + 20_000_000_000L;
        String counters = "";
        while (!counters.contains("\nentries_held 0\n")) {
            assertTrue(System.nanoTime() < until, counters);
            try (Wire wire = Wire.connect(forwarder.addresses().get(0))) {
                wire.writeText("GET /counters HTTP/1.1\r\nHost: app.svc\r\nConnection: close\r\n\r\n");
                counters = wire.readRequest().body();
            }
        }
    }
}
