package lilaclever.simulation.sockets;

import java.io.IOException;

/** Daemon threads for blocking socket operations. Each ends when its socket is closed. */
final class SocketThreads {
    private static final long STACK_BYTES = 128 << 10;

    /** The work of a thread, until its socket is closed. */
    interface Task {
        void run() throws IOException, InterruptedException;
    }

    private SocketThreads() {}

    static void start(String name, Task task) {
        Thread thread = new Thread(
                null,
                () -> {
                    try {
                        task.run();
                    } catch (IOException | InterruptedException e) {
                        // the socket was closed: the thread ends
                    }
                },
                name,
                STACK_BYTES);
        thread.setDaemon(true);
        thread.start();
    }
}
