package lilaclever.program;

import java.io.IOException;

/** Daemon threads of stand-ins, which end when their sockets are closed. */
public final class StandInThreads {
    private StandInThreads() {}

    /** A task that ends when its socket is closed. */
    public interface Task {
        void run() throws IOException, InterruptedException;
    }

    /** Starts a daemon thread. */
    public static Thread start(String name, Task task) {
        Thread thread = new Thread(
                () -> {
                    try {
                        task.run();
                    } catch (IOException | InterruptedException e) {
                        // a closed socket ends a stand-in's thread
                    }
                },
                name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }
}
