package lilaclever.protocol.mail;

import java.util.ArrayDeque;

/** Lines that were read together, and what they take of the limits on input until they are handled. */
final class LineBlock {
    /** What a line takes in memory beside its characters. */
    private static final int LINE_OVERHEAD_BYTES = 48;
    /** From this size on a block is full. */
    private static final int FULL_BYTES = 4 * 1024;

    private final ArrayDeque<String> lines = new ArrayDeque<>();
    private int bytes;

    void add(String line) {
        lines.add(line);
        bytes += line.length() + LINE_OVERHEAD_BYTES;
    }

    boolean isFull() {
        return bytes >= FULL_BYTES;
    }

    boolean isEmpty() {
        return lines.isEmpty();
    }

    /** Removes the first line that is left. */
    String takeLine() {
        return lines.remove();
    }

    /** The size of all its lines, also of those taken, in bytes. */
    int bytes() {
        return bytes;
    }
}
