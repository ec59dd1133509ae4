package lilaclever.transport;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Path;
import lilaclever.routing.Clock;
import lilaclever.routing.Core;
import lilaclever.routing.TestCore;
import lilaclever.simulation.sockets.StandInConnection;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.io.TempDir;

/** A core whose event loop can be held, and a port of it that clients connect to. */
public abstract class InputFixture {
    /** Tasks of timers and of the test. */
    protected static final int OTHER_TASKS = 10;

    private static final int READ_TIMEOUT_MILLIS = 20_000;

    @TempDir
    protected Path state;

    protected Transport transport;
    protected Core core;
    protected InputProbe probe;
    /** The address of the tested port. */
    protected InetSocketAddress address;

    @BeforeEach
    void createCore() throws Exception {
        transport = new Transport();
        core = TestCore.create(state, Clock.system());
        probe = new InputProbe(core, transport);
    }

    @AfterEach
    void stopCore() throws Exception {
        probe.close();
        core.stop();
        transport.close();
    }

    /** Connects a client to the tested port. */
    protected StandInConnection open() throws IOException {
        StandInConnection client = new StandInConnection(new Socket(address.getAddress(), address.getPort()));
        client.setReadTimeout(READ_TIMEOUT_MILLIS);
        return client;
    }

    /** Holds the loop while clients connect, send the texts in turn and leave; returns how many tasks wait then. */
    protected int tasksLeftByConnections(int count, String... texts) throws Exception {
        probe.blockLoop();
        for (int i = 0; i < count; i++) {
            StandInConnection client = open();
            client.writeText(texts[i % texts.length]);
            client.close();
        }
        probe.awaitSelections();
        return probe.counter("entries_tasks");
    }
}
