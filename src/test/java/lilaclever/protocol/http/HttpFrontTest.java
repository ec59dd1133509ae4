package lilaclever.protocol.http;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.lang.reflect.Proxy;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.List;
import java.util.Map;
import lilaclever.identity.IdempotencyWindows;
import lilaclever.routing.Core;
import lilaclever.routing.Counters;
import lilaclever.routing.Journal;
import lilaclever.routing.MessageClasses;
import lilaclever.simhost.SettingsReader;
import lilaclever.simulation.sockets.StandInConnection;
import org.junit.jupiter.api.Test;

/** The HTTP front when the layers below it fail. */
class HttpFrontTest extends TwoThreadFixture {
    /** A journal that fails when a finished message is looked up. */
    private static Journal failingJournal() {
        return (Journal) Proxy.newProxyInstance(
                Journal.class.getClassLoader(), new Class<?>[] {Journal.class}, (proxy, method, arguments) -> {
                    if (method.getName().equals("remembered")) {
                        throw new IllegalStateException("journal failure");
                    }
                    return switch (method.getName()) {
                        case "pendingMessages" -> List.of();
                        case "rememberedCount" -> 0;
                        default -> null;
                    };
                });
    }

    /** A message that can't be accepted because of an internal error gets an error response. */
    @Test
    void aMessageThatFailsToBeAcceptedGetsAnErrorResponse() throws Exception {
        var settings = SettingsReader.read(SETTINGS, 0);
        Core faulty = new Core(
                settings, 1, failingJournal(), new Counters(), new IdempotencyWindows(Map.of(), 60_000_000, 1));
        HttpFront front = new HttpFront(
                faulty, new MessageClasses(List.of("status"), settings.classes()), 10, 10, null, "x-practice");
        faulty.add(front);
        faulty.start(List.of(), 0);
        try {
            InetSocketAddress address =
                    (InetSocketAddress) front.listen(transport, new InetSocketAddress("127.0.0.1", 0));
            try (StandInConnection client =
                    new StandInConnection(new Socket(address.getAddress(), address.getPort()))) {
                client.setReadTimeout(10_000);
                client.writeText("POST /api HTTP/1.1\r\nReq-Id: a\r\nReq-Kind: status\r\nReq-Deadline: 5\r\n"
                        + "X-Practice: p\r\nIdempotency-Key: k\r\nX-Envelope: dest=7\r\nContent-Length: 0\r\n\r\n");
                StandInConnection.HttpMessage head = client.readHttp();
                assertEquals("500", head == null ? "closed" : head.target());
            }
        } finally {
            faulty.stop();
        }
    }
}
