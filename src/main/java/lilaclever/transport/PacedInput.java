package lilaclever.transport;

import java.io.IOException;
import java.util.Arrays;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.IOEvent;

/**
 * Reads one connection no faster than its input is handled. Bytes are split into pieces on the selector thread, and
 * each piece counts from its reading until the event loop has handled it. At a limit, of the connection or of the
 * budget that it shares with others, the rest of the bytes waits and the socket is not read, so that the client waits
 * too.
 */
public final class PacedInput {
    /** Splits the input. Selector thread. */
    public interface Parser {
        /**
         * Reads on from an offset, up to the end of one piece at most, and passes a complete piece on after {@link
         * PacedInput#begin}. Returns the offset of the next byte to read, which is the length to drop the rest.
         */
        int parse(byte[] input, int from);
    }

    private static final byte[] NOTHING = {};

    private final Connection<?> connection;
    private final InputBudget budget;
    private final int maxPieces;
    private final long maxBytes;
    private final Parser parser;

    /** Bytes that are read from the socket and not parsed, from the offset on. Selector thread. */
    private byte[] unparsed = NOTHING;

    private int offset;
    private boolean isReadingSuspended;

    /** Guarded by this object. */
    private int pieces;

    private long bytes;
    /** Parsing has stopped at a limit of this connection, and goes on once a piece is handled. */
    private boolean isAtOwnLimit;

    private volatile boolean isPaused;

    /** Creates an input of which at most this much is read and not handled. */
    public PacedInput(Connection<?> connection, InputBudget budget, int maxPieces, long maxBytes, Parser parser) {
        this.connection = connection;
        this.budget = budget;
        this.maxPieces = maxPieces;
        this.maxBytes = maxBytes;
        this.parser = parser;
    }

    /** Whether the connection is not read because of a limit. Any thread. */
    public boolean isPaused() {
        return isPaused;
    }

    /** Parses bytes from the socket, as far as the limits allow. Selector thread. */
    public void received(byte[] input) {
        if (offset == unparsed.length) {
            unparsed = input;
            offset = 0;
        } else { // reading was suspended within a selection that had more
            byte[] joined = Arrays.copyOfRange(unparsed, offset, unparsed.length + input.length);
            System.arraycopy(input, 0, joined, unparsed.length - offset, input.length);
            unparsed = joined;
            offset = 0;
        }
        if (!isPaused) {
            parse(false);
        }
    }

    /** Counts a piece that is passed on to the event loop. Selector thread. */
    public void begin(int pieceBytes) {
        synchronized (this) {
            pieces++;
            bytes += pieceBytes;
        }
        budget.add(pieceBytes);
    }

    /** Counts a piece as handled. Any thread, once for each piece. */
    public void handled(int pieceBytes) {
        handled(1, pieceBytes);
    }

    /** Counts pieces as handled. Any thread, once for each piece. */
    public void handled(int handledPieces, long handledBytes) {
        boolean resumes;
        synchronized (this) {
            pieces -= handledPieces;
            bytes -= handledBytes;
            resumes = isAtOwnLimit && hasOwnRoom();
            isAtOwnLimit &= !resumes;
        }
        budget.remove(handledPieces, handledBytes);
        if (resumes) {
            Transport.runOnSelector(connection, () -> resume(false));
        }
    }

    /** Goes on reading, as the next of those that wait for the budget. */
    void resumeInTurn() {
        if (connection.isOpen()) {
            Transport.runOnSelector(connection, () -> resume(true));
        } else {
            budget.resumeNext();
        }
    }

    private void resume(boolean isNextInTurn) {
        isPaused = false;
        if (connection.isOpen()) {
            parse(isNextInTurn);
        }
        budget.resumeNext(); // this one may have left room, also where it has to wait for its next turn
    }

    private void parse(boolean isNextInTurn) {
        boolean mayGoFirst = isNextInTurn;
        while (offset < unparsed.length) {
            if (!hasOwnRoomOrWait() || !budget.hasRoomOrWait(this, mayGoFirst)) {
                pause();
                return;
            }
            mayGoFirst = false;
            offset = parser.parse(unparsed, offset);
        }
        unparsed = NOTHING;
        offset = 0;
        if (isReadingSuspended) {
            isReadingSuspended = false;
            setReading(true);
        }
    }

    private synchronized boolean hasOwnRoomOrWait() {
        isAtOwnLimit = !hasOwnRoom();
        return !isAtOwnLimit;
    }

    private boolean hasOwnRoom() {
        return pieces < maxPieces && bytes < maxBytes;
    }

    private void pause() {
        isPaused = true;
        if (!isReadingSuspended) {
            isReadingSuspended = true;
            setReading(false);
        }
    }

    private void setReading(boolean isEnabled) {
        try {
            if (isEnabled) {
                connection.enableIOEvent(IOEvent.READ);
            } else {
                connection.disableIOEvent(IOEvent.READ);
            }
        } catch (IOException e) {
            connection.closeSilently(); // it is closed already
        }
    }
}
