package lilaclever.program;

/**
 * Ctrl-C (SIGINT) or SIGTERM during long work: the first tells it to end and to write what it has, the second ends the
 * program at once. Not by a hook of the machine's end: plots can't be drawn while that runs.
 */
final class Interrupt {
    /** What a shell gives for a program that Ctrl-C has ended. */
    static final int EXIT_CODE = 130;

    private volatile boolean requested, finished;

    /** From now on, until {@link #finished}, signals are kept from ending the program. */
    void handleSignals() {
        Signals.onSignal("INT", this::onSignal);
        Signals.onSignal("TERM", this::onSignal);
    }

    private void onSignal() {
        if (requested || finished) {
            Runtime.getRuntime().halt(EXIT_CODE);
        }
        requested = true;
    }

    /** True once the program was told to end. */
    boolean isRequested() {
        return requested;
    }

    /** The work is over. */
    void finish() {
        finished = true;
    }
}
