package lilaclever.protocol.mail;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * Splits the byte stream of SMTP and LMTP into lines that end in CRLF, one character per octet. A bare CR or LF stays
 * part of its line, so that it is never taken for a line ending. Selector thread.
 */
final class LineReader {
    /** More than any line that the standards allow. */
    private static final int MAX_LINE_BYTES = 16 * 1024;

    private static final int INITIAL_BUFFER_BYTES = 128;

    /** A line is longer than any that the standards allow. */
    static final class LineTooLongException extends Exception {
        private static final long serialVersionUID = 1;

        private LineTooLongException() {
            super("a line of more than " + MAX_LINE_BYTES + " bytes");
        }
    }

    private byte[] buffer = {};
    private int size;
    private String line;

    /**
     * Reads bytes from an offset up to the end of a line at most, and returns the offset of the next byte to read. A
     * line that was completed is then returned by {@link #takeLine}.
     */
    int read(byte[] input, int from) throws LineTooLongException {
        for (int at = from; at < input.length; at++) {
            if (input[at] == '\n' && size > 0 && buffer[size - 1] == '\r') {
                line = text(size - 1);
                size = 0;
                // Idle connections should hold little memory.
                buffer = buffer.length > INITIAL_BUFFER_BYTES ? new byte[0] : buffer;
                return at + 1;
            }
            append(input[at]);
        }
        return input.length;
    }

    private void append(byte b) throws LineTooLongException {
        if (size > MAX_LINE_BYTES) {
            throw new LineTooLongException();
        }
        if (size == buffer.length) {
            buffer = Arrays.copyOf(buffer, Math.max(INITIAL_BUFFER_BYTES, 2 * size));
        }
        buffer[size++] = b;
    }

    private String text(int length) {
        return new String(buffer, 0, length, StandardCharsets.ISO_8859_1);
    }

    /** Returns the line that the last read completed, once; null if it completed none. */
    String takeLine() {
        String taken = line;
        line = null;
        return taken;
    }

    /** What was read of a line that has not ended; empty if nothing was. */
    String unfinishedLine() {
        return text(size);
    }
}
