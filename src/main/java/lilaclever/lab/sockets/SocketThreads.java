package lilaclever.lab.sockets;

import java.io.IOException;

/** Threads that wait for sockets. They end with their socket, and with the program. */
final class SocketThreads {
    private static final long STACK_BYTES = 128 << 10;

    /** What a thread does until its socket ends. */
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
                        // the socket is closed: that ends it
                    }
                },
                name,
                STACK_BYTES);
        thread.setDaemon(true);
        thread.start();
    }
}
