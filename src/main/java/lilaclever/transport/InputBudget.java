package lilaclever.transport;

import java.util.LinkedHashSet;
import java.util.Set;

/**
 * Limits the input of many connections that has been read and not been handled yet, in pieces and bytes. A connection
 * that finds no room waits, and is read again in turn as others' input is handled. Any thread.
 */
public final class InputBudget {
    private final int maxPieces;
    private final long maxBytes;
    private final Set<PacedInput> waiting = new LinkedHashSet<>();
    private int pieces;
    private long bytes;

    /** Creates a budget of which nothing is in use. */
    public InputBudget(int maxPieces, long maxBytes) {
        this.maxPieces = maxPieces;
        this.maxBytes = maxBytes;
    }

    /** The number of pieces that have been read and not been handled yet. */
    public synchronized int pieces() {
        return pieces;
    }

    /** The bytes of these pieces. */
    public synchronized long bytes() {
        return bytes;
    }

    /** Whether one more piece may be read; if not, the input is resumed once it may. Those that wait go first. */
    synchronized boolean hasRoomOrWait(PacedInput input, boolean isNextInTurn) {
        boolean mayRead = hasRoom() && (isNextInTurn || waiting.isEmpty());
        if (!mayRead) {
            waiting.add(input);
        }
        return mayRead;
    }

    /** Whether one more piece may be read, for input that is turned away and does not wait where there is no room. */
    public synchronized boolean hasRoom() {
        return pieces < maxPieces && bytes < maxBytes;
    }

    /** Counts a piece that has been read. */
    public synchronized void add(int newBytes) {
        pieces++;
        bytes += newBytes;
    }

    /** Counts pieces as handled, which lets the next input that waits go on. */
    public void remove(int handledPieces, long handledBytes) {
        synchronized (this) {
            pieces -= handledPieces;
            bytes -= handledBytes;
        }
        resumeNext();
    }

    /** Resumes the input that has waited for longest, if there is room. */
    void resumeNext() {
        PacedInput next;
        synchronized (this) {
            if (waiting.isEmpty() || !hasRoom()) {
                return;
            }
            next = waiting.iterator().next();
            waiting.remove(next);
        }
        next.resumeInTurn();
    }
}
