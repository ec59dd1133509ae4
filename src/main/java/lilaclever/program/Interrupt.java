package lilaclever.program;

/**
 * Ctrl-C (SIGINT) or SIGTERM during long work: the first tells it to end and to write what it has, the second ends the
 * program at once. Not by a hook of the machine's end: plots can't be drawn while that runs.
 */
final class Interrupt {
    /** What a shell gives for a program that Ctrl-C has ended. */
    static final int EXIT_CODE = 130;

    private volatile boolean come, done;

    /** From now on, until {@link #done}, signals are kept from ending the program. */
    void watch() {
        Signals.on("INT", this::signal);
        Signals.on("TERM", this::signal);
    }

    private void signal() {
        if (come || done) {
            Runtime.getRuntime().halt(EXIT_CODE);
        }
        come = true;
    }

    /** True once the program was told to end. */
    boolean come() {
        return come;
    }

    /** The work is over. */
    void done() {
        done = true;
    }
}
