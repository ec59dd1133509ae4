package lilaclever.program;

/**
 * Handles Ctrl-C (SIGINT) and SIGTERM during long work: the first signal asks the work to stop and write its results,
 * the second ends the process at once. A shutdown hook can't replace this, since plots can't be drawn while the JVM
 * shuts down.
 */
final class Interrupt {
    /** Exit code of a program that was terminated by SIGINT, as shells report it. */
    static final int EXIT_CODE = 130;

    private volatile boolean requested, finished;

    /** From now on, until {@link #finish}, the first signal does not end the process. */
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

    /** Returns whether a signal has asked the work to stop. */
    boolean isRequested() {
        return requested;
    }

    /** Marks the work as finished; the next signal ends the process. */
    void finish() {
        finished = true;
    }
}
