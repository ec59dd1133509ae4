package lilaclever.program;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import lilaclever.program.Peer.Request;
import lilaclever.program.Peer.Wire;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** An attempt keeps its zone across restarts, whatever the order of the zones in the settings by then. */
class ZoneMeaningTest {
    private static final String ENDPOINT =
            "{\"name\":\"%s\",\"address\":\"%s\",\"zone\":\"%s\",\"type\":\"lab\",\"group\":7,\"status\":\"active\"}";

    @TempDir
    private Path folder;

    private final LinkedBlockingQueue<String> notices = new LinkedBlockingQueue<>();
    private final LinkedBlockingQueue<String> calls = new LinkedBlockingQueue<>();
    private final CountDownLatch answersAllowed = new CountDownLatch(1);
    private volatile String list;
    private Peer platform, inNorth, inSouth;
    private Forwarder forwarder, restarted;

    @BeforeEach
    void startPeers() throws IOException {
        platform = Peer.platform(() -> list, notices);
        inNorth = endpoint("north");
        inSouth = endpoint("south");
    }

    private Peer endpoint(String zone) throws IOException {
        return new Peer(wire -> {
            for (Request r = wire.readRequest(); r != null; r = wire.readRequest()) {
                calls.add(zone);
                answersAllowed.await();
                wire.writeResponse("200 OK", "");
            }
        });
    }

    @AfterEach
    void stop() throws IOException {
        answersAllowed.countDown();
        for (Forwarder each : new Forwarder[] {forwarder, restarted}) {
            if (each != null) {
                each.stop();
            }
        }
        platform.close();
        inNorth.close();
        inSouth.close();
    }

    private Forwarder start(String stateName, String zones, String... endpoints) throws Exception {
        list = "{\"index\":1,\"snapshot\":true,\"endpoints\":[" + String.join(",", endpoints) + "]}";
        Path state = folder.resolve(stateName);
        String text = ForwarderSetup.configText(platform.address(), state, null, 3)
                .replace("\"known\": null", "\"known\": " + list)
                .replace("\"zones\": [\"z\"]", "\"zones\": [" + zones + "]")
                .replace("\"repeat\": \"idempotency_key\"", "\"repeat\": \"idempotency_key\", \"group\": \"zone\"");
        return Forwarder.start(Config.parse(text, Map.of()), null);
    }

    /** Guards against a keyed order that runs in two zones after a restart that finds zones in another order. */
    @Test
    void orderStaysInTheZoneOfItsFirstAttemptWhenZonesAreReordered() throws Exception {
        String north = ENDPOINT.formatted("n1", inNorth.address(), "north");
        String south = ENDPOINT.formatted("s1", inSouth.address(), "south");
        Files.createDirectories(folder.resolve("first"));
        forwarder = start("first", "\"north\", \"south\"", north);
        try (Wire client = Wire.connect(forwarder.addresses().get(0))) {
            assertEquals(
                    "202",
                    client.submit("a", "order", 20, "Idempotency-Key: k\r\n").substring(0, 3));
        }
        assertEquals("north", Peer.take(calls));
        ForwarderSetup.copyState(folder.resolve("first"), Files.createDirectories(folder.resolve("after-kill")));
        restarted = start("after-kill", "\"south\", \"north\"", north, south);
        assertEquals("north", Peer.take(calls), "where the order is repeated");
    }
}
