package lilaclever.lab.sockets;

import java.io.IOException;

/** Threads that wait for sockets. They end with their socket, and with the program. */
final class Threads {
    private static final long STACK = 128 << 10;

    /** What a thread does until its socket ends. */
    interface Task {
        void run() throws IOException, InterruptedException;
    }

    private Threads() {}

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
                STACK);
        thread.setDaemon(true);
        thread.start();
    }
}
